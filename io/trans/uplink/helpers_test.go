package uplink

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"camphorridge/core/state/clock"

	"gotest.tools/v3/assert"
)

// scriptedUpstream is an upstream that records every byte it receives and whose
// responses a test writes as raw bytes.
type scriptedUpstream struct {
	listener net.Listener
	mu       sync.Mutex
	// received holds the bytes received on each connection.
	received []*bytes.Buffer
	// serve handles one connection; n counts the connections from 0.
	serve        func(n int, c net.Conn)
	conns        []net.Conn
	openConns    int
	maxOpenConns int
}

func newScriptedUpstream(t testing.TB, serve func(n int, c net.Conn)) *scriptedUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &scriptedUpstream{listener: l, serve: serve}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			n := len(u.received)
			u.received = append(u.received, &bytes.Buffer{})
			u.conns = append(u.conns, c)
			u.openConns++
			u.maxOpenConns = max(u.maxOpenConns, u.openConns)
			u.mu.Unlock()
			wg.Go(func() {
				u.serve(n, &recordedConn{Conn: c, up: u, n: n})
				_ = c.Close()
				u.mu.Lock()
				u.openConns--
				u.mu.Unlock()
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		u.mu.Lock()
		for _, c := range u.conns {
			_ = c.Close()
		}
		u.mu.Unlock()
		wg.Wait()
	})
	return u
}

type recordedConn struct {
	net.Conn
	up *scriptedUpstream
	n  int
}

func (r *recordedConn) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.up.mu.Lock()
	r.up.received[r.n].Write(p[:n])
	r.up.mu.Unlock()
	return n, err
}

// arrivals returns how often a request ID arrived, over all connections.
func (u *scriptedUpstream) arrivals(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, b := range u.received {
		n += strings.Count(b.String(), id)
	}
	return n
}

func (u *scriptedUpstream) upstream() Upstream {
	return Upstream{Name: "ia", Address: u.listener.Addr().String(), Incarnation: 1, MaxConnections: 8}
}

// respondWith returns a connection handler that calls write to answer each
// request, until write returns false. k counts the requests of a connection
// from 0.
func respondWith(write func(k int, c net.Conn, r *http.Request) bool) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		in := bufio.NewReader(c)
		for k := 0; ; k++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err = io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if !write(k, c, r) {
				return
			}
		}
	}
}

// respondOK answers with the request ID as the body.
func respondOK(c net.Conn, r *http.Request) bool {
	id := r.Header.Get(HeaderRequestID)
	head := "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(id)) + "\r\n\r\n"
	if r.Method == http.MethodHead {
		id = ""
	}
	_, err := io.WriteString(c, head+id)
	return err == nil
}

func request(t testing.TB, method, id, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://caller/svc/x", nil)
	assert.NilError(t, err)
	r.Header.Set(HeaderRequestID, id)
	if body != "" {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	return r
}

// call sends a request with the given timeout, reads the response and returns its
// body.
func call(t testing.TB, cl *Client, up Upstream, r *http.Request, timeout time.Duration) (string, Result, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	resp, res, err := cl.Do(ctx, up, r)
	if err != nil {
		return "", res, err
	}
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, resp.Body.Close())
	return string(b), res, err
}

func newClient(t testing.TB) *Client {
	t.Helper()
	cl := New(Defaults(), clock.Real())
	t.Cleanup(cl.Stop)
	return cl
}

// longTimeout bounds waits that are expected to end.
const longTimeout = 30 * time.Second

// relay forwards TCP connections to a target and can silently drop their
// traffic without closing them.
type relay struct {
	listener   net.Listener
	mu         sync.Mutex
	forwarders []*forwarder
	conns      []net.Conn
}

// forwarder copies the traffic of one connection, in both directions. While
// dropping is set, it discards what it reads.
type forwarder struct{ dropping atomic.Bool }

func (f *forwarder) forward(to io.Writer, from io.ReadCloser) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if f.dropping.Load() && err == nil {
			continue
		}
		if err == nil {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			if c, ok := to.(io.Closer); ok {
				_ = c.Close()
			}
			_ = from.Close()
			return
		}
	}
}

// dropTraffic drops all further traffic of the current connections without
// closing them. Connections opened later work.
func (r *relay) dropTraffic() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.forwarders {
		m.dropping.Store(true)
	}
}

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: l}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			fwd := &forwarder{}
			r.mu.Lock()
			r.conns = append(r.conns, in, out)
			r.forwarders = append(r.forwarders, fwd)
			r.mu.Unlock()
			wg.Go(func() { fwd.forward(out, in) })
			wg.Go(func() { fwd.forward(in, out) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		r.mu.Lock()
		for _, c := range r.conns {
			_ = c.Close()
		}
		r.mu.Unlock()
		wg.Wait()
	})
	return r
}
