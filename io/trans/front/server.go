package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"camphorridge/core/state/clock"
)

// The timeouts of the connections from callers.
const (
	// readHeaderTimeout bounds the reading of a request header.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the reading of a whole request. It exceeds the
	// default of Settings.MaxTimeout, so that the request timeout applies
	// first.
	readTimeout = 75 * time.Second
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

// NewServer returns a server for a handler that refuses headers larger than
// maxHeader bytes. net/http itself refuses headers from about twice that size.
func NewServer(h http.Handler, maxHeader int) *Server {
	return &Server{http: &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    2 * maxHeader,
		// The handler answers OPTIONS * itself, with an outcome header.
		DisableGeneralOptionsHandler: true,
	}}
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
