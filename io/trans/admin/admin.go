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
	"camphorridge/io/trans/intake"
)

// Limits of the endpoint.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	writeTimeout      = 30 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	// PageSize is the maximum number of events in one response. An event takes about
	// 200 bytes, so a full response is about 2 MB.
	PageSize = 10_000
)

// Config configures the endpoint of one process.
type Config struct {
	// Address is the ip:port to listen on; with port 0 a free port is used.
	Address string
	// Labels are added to every metric.
	Labels   []Label
	Registry metrics.Registry
	// NotReadyReason returns why the process is not ready, or "" if it is ready.
	NotReadyReason func() string
	// Events returns the events with a sequence number above since, oldest first,
	// and at most limit of them.
	Events func(since uint64, limit int) []model.Event
	// StopMillis is the maximum time that Run waits, after Stop, for requests in
	// progress.
	StopMillis clock.Millis
	// ErrorLog logs the errors of connections. If it is nil, they are discarded.
	ErrorLog *log.Logger
	// Gate limits the connections and requests. If it is nil, they are not limited.
	Gate *intake.Gate
}

// Server serves the endpoint of one process.
type Server struct {
	cfg      Config
	listener net.Listener
	http     *http.Server
	done     chan struct{}
	stopOnce sync.Once
}

// New returns a server that listens on the configured address; Run serves it. The
// error is of KindListen.
func New(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: fmt.Errorf("admin address: %w", err)}
	}
	if cfg.ErrorLog == nil {
		cfg.ErrorLog = log.New(io.Discard, "", 0)
	}
	h := (&Server{cfg: cfg}).Handler()
	if cfg.Gate != nil {
		l, h = cfg.Gate.Listener(l, intake.Clients), cfg.Gate.Handler(h, intake.Options{})
	}
	s := &Server{cfg: cfg, listener: l, done: make(chan struct{})}
	s.http = &http.Server{
		Handler: h, ErrorLog: cfg.ErrorLog,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: intake.ConnState,
	}
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until Stop is called, and then waits for the requests in progress, at
// most for StopMillis. It returns a KindStop error if they take longer, and a
// KindListen error if serving fails.
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

// Stop ends Run. It may be called more than once.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.done) }) }

// Handler returns the handler of the paths /metrics, /healthz, /readyz and /events.
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
	// A write only fails if the client has disconnected, so the error is ignored.
	_, _ = io.WriteString(w, line+"\n")
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = Expose(w, s.cfg.Registry, s.cfg.Labels)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := s.cfg.NotReadyReason(); reason != "" {
		writeText(w, http.StatusServiceUnavailable, "not ready: "+reason)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

// events writes at most PageSize events as JSON. To get the rest, the client repeats
// the request with the last sequence number as since, until the list is empty.
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
