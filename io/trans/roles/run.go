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
	"github.com/rcrowley/go-metrics"

	"camphorridge/core/state/clock"
	"camphorridge/io/proto/conf"
	"camphorridge/io/proto/wirepb"
	"camphorridge/io/trans/admin"
	"camphorridge/io/trans/intake"
	"camphorridge/io/trans/peers"
)

// Kind classifies the errors of the package.
type Kind int

// The kinds of error.
const (
	// KindListen means that an address could not be listened on.
	KindListen Kind = iota
	// KindStore means that an operation on the data folder failed.
	KindStore
	// KindServe means that a component failed, or could not do what it was asked.
	KindServe
)

// Error is the error type of the package. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ExitForced is the exit status when a second signal ends the process before its
// graceful stop is complete.
const ExitForced = 3

// Component is a part of a process that runs in its own goroutine. Run returns
// after Stop is called, or with an error.
type Component interface {
	Run() error
	Stop()
}

// addComponent adds a component to the group. Components are stopped in the order in
// which they were added, so those that serve requests must be added first.
func addComponent(g *run.Group, d Component) {
	g.Add(d.Run, func(error) { d.Stop() })
}

// addSignals stops the group on the first SIGTERM or SIGINT, and exits the process
// on the second.
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

// listen opens a TCP listener. what describes who connects to it and is used in
// the error.
func listen(what, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen for " + what, Kind: KindListen, Err: err}
	}
	return l, nil
}

// Limits of the servers that addServer adds.
const (
	peerIdleTimeout = 60 * time.Second
	maxHeaderBytes  = 16 << 10
)

// addServer adds an HTTP server to the group, with the limits of the gate. When it is
// stopped, it waits for open requests, for stopTimeout at most, and then closes their
// connections.
func addServer(g *run.Group, gate *intake.Gate, l net.Listener, h http.Handler, o intake.Options, stopTimeout clock.Millis) {
	o.MaxHeaderBytes, o.IdleTimeout = maxHeaderBytes, peerIdleTimeout
	s := gate.Server(h, o)
	g.Add(func() error {
		err := s.Serve(gate.Listener(l, o.Class))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return &Error{Op: "serve " + l.Addr().String(), Kind: KindServe, Err: err}
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout.Duration())
		defer cancel()
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	})
}

// Limits of the requests from members of the group, and of those without a body. A
// request from a member is read, copied and decoded.
var (
	memberLimits = intake.Options{
		Class: intake.Members, MaxBodyBytes: int64(peers.MaxRequestBytes), Copies: 3, Eager: true, DecodedBytes: peers.DecodedBytes,
		// Large submissions must not displace the messages of the group.
		ConsensusPath: wirepb.ConsensusPathPrefix,
	}
	emptyLimits = intake.Options{Class: intake.Clients}
)

// newGate returns the gate of a process. outgoing is set if the process opens a
// connection for each request that it serves.
func newGate(cfg conf.Intake, outgoing bool, c clock.Clock, lg *log.Logger) *intake.Gate {
	s := intake.Defaults(int64(cfg.MemoryMiB)<<20, cfg.Descriptors)
	s.OutgoingPerClient = outgoing
	for _, x := range []struct{ value, setting *clock.Millis }{
		{&cfg.ProgressMillis, &s.ProgressMillis}, {&cfg.BodyMillis, &s.BodyMillis}, {&cfg.WriteMillis, &s.WriteMillis},
	} {
		if *x.value > 0 {
			*x.setting = *x.value
		}
	}
	return intake.New(s, c, lg)
}

// registerGate registers the metrics of a gate.
func registerGate(r metrics.Registry, gate *intake.Gate) {
	for _, c := range gate.Counts() {
		registerCounters(r, []counter{{c.Name, c.Value}})
	}
	for _, c := range gate.Gauges() {
		_ = admin.RegisterGauge(r, c.Name, c.Value)
	}
}
