package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"camphorridge/core/state/clock"
)

// The bounds of a connection of a caller.
const (
	// readHeader bounds the reading of a request header.
	readHeader = 5 * time.Second
	// readAll bounds the reading of a whole request: the largest timeout and
	// some more, so that the timeout is what callers meet.
	readAll = 75 * time.Second
	// writeAll bounds a request from its header to the end of its response.
	writeAll = 90 * time.Second
	// idle is above the idle time of usual clients and balancers, so that they
	// close first.
	idle = 2 * time.Minute
)

// Server accepts the connections of callers.
type Server struct {
	http *http.Server
}

// NewServer returns a server for a handler. Headers beyond maxHeader are
// answered by the handler; those far beyond by net/http itself.
func NewServer(h http.Handler, maxHeader int) *Server {
	return &Server{http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeader,
		ReadTimeout:       readAll,
		WriteTimeout:      writeAll,
		IdleTimeout:       idle,
		MaxHeaderBytes:    2 * maxHeader,
		// The handler answers OPTIONS * itself, with an outcome.
		DisableGeneralOptionsHandler: true,
	}}
}

// Serve accepts connections until Shutdown; a nil error means that.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fail("serve", KindServe, 0, "%w", err)
	}
	return nil
}

// Shutdown stops accepting and waits for the requests in flight, at most for
// the bound. Those that last longer are cut off, which is a KindServe error.
func (s *Server) Shutdown(bound clock.Millis) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound.Duration())
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	_ = s.http.Close()
	return fail("shutdown", KindServe, 0, "requests were still in flight: %w", err)
}
