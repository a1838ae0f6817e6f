package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"camphorridge/core/state/clock"
	"camphorridge/io/trans/intake"
)

// The timeouts of the connections from callers.
const (
	// writeTimeout bounds a request from its header to the end of its
	// response.
	writeTimeout = 90 * time.Second
	// idleTimeout exceeds the idle timeout of common clients and load
	// balancers, so that they close an idle connection before the server does.
	idleTimeout = 2 * time.Minute
)

// Server is the HTTP server for callers.
type Server struct {
	http *http.Server
}

// BodyLimits returns the limits of the bodies of requests for a Handler.
func BodyLimits(s Settings) intake.Options {
	return intake.Options{MaxBodyBytes: s.MaxBodyBytes, HeldBytes: int64(s.BufferBytes), Streamed: true}
}

// NewServer returns a server for a handler that refuses headers larger than
// maxHeader bytes. net/http itself refuses headers from about twice that size. The
// gate and bodies limit the bodies of requests. Serve must be given a listener of the
// gate.
func NewServer(gate *intake.Gate, h http.Handler, maxHeader int, bodies intake.Options) *Server {
	bodies.Class, bodies.IdleTimeout, bodies.MaxHeaderBytes = intake.Clients, idleTimeout, 2*maxHeader
	s := gate.Server(h, bodies)
	s.WriteTimeout = writeTimeout
	// The handler answers OPTIONS * itself, with an outcome header.
	s.DisableGeneralOptionsHandler = true
	return &Server{http: s}
}

// Serve accepts connections until Shutdown and then returns nil. Any other
// failure is a KindServe error.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return newError("serve", KindServe, 0, "%w", err)
	}
	return nil
}

// Shutdown stops accepting connections and waits up to timeout for the requests
// in flight. If some are still in flight after that, it closes their connections
// and returns a KindServe error.
func (s *Server) Shutdown(timeout clock.Millis) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	_ = s.http.Close()
	return newError("shutdown", KindServe, 0, "requests were still in flight: %w", err)
}
