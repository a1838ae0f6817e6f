package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/report"
)

// Bounds of the endpoint.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	// PageSize is the largest number of events in one response. At about 200
	// bytes each the response stays near 2 MB.
	PageSize = 10_000
)

// Config describes the endpoint of one process.
type Config struct {
	// Address is ip:port; port 0 picks a free one.
	Address  string
	Labels   []Label
	Registry metrics.Registry
	// Ready returns the reason why the process is not ready; empty when it is.
	Ready func() string
	// Events returns at most limit events with a sequence number above since,
	// oldest first.
	Events func(since uint64, limit int) []model.Event
	// StopMillis bounds a graceful stop.
	StopMillis clock.Millis
	// ErrorLog takes the errors of connections; nil drops them.
	ErrorLog *log.Logger
}

// Server serves the endpoint.
type Server struct {
	cfg      Config
	listener net.Listener
	http     *http.Server
	done     chan struct{}
	stop     sync.Once
}

// New listens on the configured address.
func New(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: fmt.Errorf("admin address: %w", err)}
	}
	if cfg.ErrorLog == nil {
		cfg.ErrorLog = log.New(io.Discard, "", 0)
	}
	s := &Server{cfg: cfg, listener: l, done: make(chan struct{})}
	s.http = &http.Server{
		Handler: s.Handler(), ErrorLog: cfg.ErrorLog,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return s, nil
}

// Addr is the address listened on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until Stop, then lets the requests in progress end within the
// bound.
func (s *Server) Run() error {
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(s.listener) }()
	select {
	case err := <-served:
		return &Error{Op: "serve", Kind: KindListen, Err: err}
	case <-s.done:
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.StopMillis.Duration())
	defer cancel()
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = &Error{Op: "stop", Kind: KindStop, Err: errors.Join(err, s.http.Close())}
	}
	<-served
	return err
}

// Stop ends Run; it may be called more than once.
func (s *Server) Stop() { s.stop.Do(func() { close(s.done) }) }

// Handler serves the paths of the endpoint.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.HandleFunc("GET /events", s.events)
	return mux
}

func writeText(w http.ResponseWriter, status int, line string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	// A failed write means that the client is gone; there is nobody to tell.
	_, _ = io.WriteString(w, line+"\n")
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = Expose(w, s.cfg.Registry, s.cfg.Labels)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := s.cfg.Ready(); reason != "" {
		writeText(w, http.StatusServiceUnavailable, "not ready: "+reason)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

// events answers with at most PageSize events; the client asks again with the
// last sequence number until the list is empty.
func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	var since uint64
	if v := r.URL.Query().Get("since"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			writeText(w, http.StatusBadRequest, fmt.Sprintf("since = %q is not a sequence number of 0 or more", v))
			return
		}
		since = n
	}
	data, err := report.EventsToJSON(s.cfg.Events(since, PageSize))
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
