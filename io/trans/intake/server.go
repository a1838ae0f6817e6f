package intake

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"camphorridge/core/state/clock"
)

// Limits of the servers of all listeners.
const (
	readHeaderTimeout = 5 * time.Second
	// writeTimeout bounds a request from its header to the end of its response. It
	// exceeds the time that the largest body may take.
	writeTimeout = 5 * time.Minute
	retryAfter   = clock.Second
)

// Options are the limits of the requests of one listener.
type Options struct {
	Class Class
	// MaxHeaderBytes is the largest size of a header, to which net/http adds 4 KiB, and
	// MaxBodyBytes that of a body.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeldBytes is the largest part of a body that is in memory at once; 0 means that a
	// body is held whole.
	HeldBytes int64
	// Copies is the number of copies of a body that handling it makes, with the body
	// itself. ReadAll replaces it.
	Copies int64
	// Streamed is set if handlers read a body as fast as another process takes it. The
	// time of the whole body is not limited then.
	Streamed bool
	// Eager is set if memory is to be reserved before the handler is called, which then
	// need not know this package. Otherwise it is reserved at the first read.
	Eager bool
	// DecodedBytes returns the memory that decoding a body takes at most beyond its copies,
	// and false for a body that must not be decoded. If it is set, Eager bodies are read
	// before the handler is called, which then runs with that memory reserved.
	DecodedBytes func(r *http.Request, body []byte) (int64, bool)
	// ConsensusPath is the prefix of the paths of requests whose large bodies have a budget
	// of their own; empty if there are none.
	ConsensusPath string
	// IdleTimeout is the longest time that a connection waits for a request.
	IdleTimeout time.Duration
}

// Server returns a server for a handler, whose listener must be one of Listener.
func (g *Gate) Server(h http.Handler, o Options) *http.Server {
	return &http.Server{
		Handler:           g.Handler(h, o),
		ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout, IdleTimeout: o.IdleTimeout,
		MaxHeaderBytes: o.MaxHeaderBytes,
		ConnState:      ConnState, ConnContext: connContext,
	}
}

// Handler returns a handler that limits the bodies of the requests for next.
func (g *Gate) Handler(next http.Handler, o Options) http.Handler {
	budgets := Budgets{Small: &g.small, Large: &g.large}
	if o.Class == Members {
		budgets.Large = &g.members
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		b := &body{
			gate: g, src: r.Body, controller: http.NewResponseController(w), options: o,
			limit: o.MaxBodyBytes, length: r.ContentLength, charge: charge{budgets: budgets},
		}
		if o.ConsensusPath != "" && strings.HasPrefix(r.URL.Path, o.ConsensusPath) {
			b.charge.budgets.Large = &g.consensus
		}
		if b.conn, _ = r.Context().Value(connKey{}).(*conn); b.conn != nil {
			b.received = b.conn.received.Load()
		}
		defer b.release()
		if o.Eager {
			if e := b.admit(); e != nil {
				Refuse(w, e)
				return
			}
		}
		limited := *r
		limited.Body = b
		if o.DecodedBytes != nil && (r.ContentLength < 0 || r.ContentLength > freeBodyBytes) {
			if err := b.readAhead(&limited); err != nil {
				Refuse(w, err)
				return
			}
		}
		next.ServeHTTP(w, &limited)
	})
}

// freeBodyBytes is the announced size up to which decoding needs no reservation. Decoding
// such a body takes so little time that hardly more requests than processors do so at
// once.
const freeBodyBytes = 2 << 10

// readAhead reads the body of a request and reserves memory for decoding it. The request
// then has the bytes that were read as its body.
func (b *body) readAhead(r *http.Request) error {
	p, err := b.readAll()
	if err != nil {
		return err
	}
	n, ok := b.options.DecodedBytes(r, p)
	// A reservation of more than the whole budget is possible for a large body, but not
	// for its decoded form, whose size has no other limit.
	if !ok || n > b.charge.budgets.Large.Capacity {
		return b.fail(newError(KindFragmented, "decoding the message takes %d bytes or its packed fields have too many parts; allowed: %d bytes", n, b.charge.budgets.Large.Capacity))
	}
	b.decoded = n
	if e := b.grow(int64(len(p))); e != nil {
		return e
	}
	r.Body = io.NopCloser(bytes.NewReader(p))
	return nil
}

// SetHeader sets the header of a response that refuses a request because of err, and
// returns its status. A request that was refused for lack of room may be sent again.
func SetHeader(h http.Header, err error) int {
	e := asError(err)
	h.Set("Connection", "close")
	if e.Status() == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(int(retryAfter/clock.Second)))
	}
	return e.Status()
}

// NotRun is the beginning of the body of a response of Refuse.
const NotRun = "not run: "

// Refuse answers a request that was refused because of err before it was handled.
func Refuse(w http.ResponseWriter, err error) {
	http.Error(w, NotRun+errors.Unwrap(asError(err)).Error(), SetHeader(w.Header(), err))
}
