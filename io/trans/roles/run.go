package roles

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"

	"camphorridge/core/state/clock"
)

// Kind tells the errors of the package apart.
type Kind int

// The kinds of error.
const (
	// KindListen means that an address could not be listened on.
	KindListen Kind = iota
	// KindStore means that the data folder could not be opened.
	KindStore
	// KindServe means that a part of the process ended with an error.
	KindServe
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ExitForced is the exit status after a second signal.
const ExitForced = 3

// Component is a part of a process with one goroutine of its own.
type Component interface {
	Run() error
	Stop()
}

// addComponent adds a duty to the group. Parts are interrupted in the order in which
// they were added, so that those that serve requests go first.
func addComponent(g *run.Group, d Component) {
	g.Add(d.Run, func(error) { d.Stop() })
}

// addSignals ends the group at the first SIGTERM or SIGINT and the process at
// the second one.
func addSignals(g *run.Group, lg *log.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan struct{})
	g.Add(func() error {
		select {
		case s := <-signals:
			lg.Info("stopping", "signal", s.String())
			go func() {
				<-signals
				os.Exit(ExitForced)
			}()
		case <-done:
		}
		return nil
	}, func(error) { close(done) })
}

// listen opens a TCP listener.
func listen(what, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen for " + what, Kind: KindListen, Err: err}
	}
	return l, nil
}

// Bounds of the servers for other processes.
const (
	readHeaderTimeout = 5 * time.Second
	peerIdleTimeout   = 60 * time.Second
)

// addServer adds an HTTP server that stops gracefully within the bound.
func addServer(g *run.Group, l net.Listener, h http.Handler, bound clock.Millis) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: peerIdleTimeout}
	g.Add(func() error {
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return &Error{Op: "serve " + l.Addr().String(), Kind: KindServe, Err: err}
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), bound.Duration())
		defer cancel()
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	})
}
