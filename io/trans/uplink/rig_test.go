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

// raw is an upstream that keeps every byte that it received, and whose answers
// are scripted byte by byte.
type raw struct {
	l  net.Listener
	mu sync.Mutex
	// got holds the bytes received on each connection.
	got []*bytes.Buffer
	// serve handles one connection; n counts the connections from 0.
	serve func(n int, c net.Conn)
	conns []net.Conn
	open  int
	most  int
}

func newRaw(t testing.TB, serve func(n int, c net.Conn)) *raw {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	u := &raw{l: l, serve: serve}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			n := len(u.got)
			u.got = append(u.got, &bytes.Buffer{})
			u.conns = append(u.conns, c)
			u.open++
			u.most = max(u.most, u.open)
			u.mu.Unlock()
			wg.Go(func() {
				u.serve(n, &recorded{Conn: c, up: u, n: n})
				_ = c.Close()
				u.mu.Lock()
				u.open--
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

type recorded struct {
	net.Conn
	up *raw
	n  int
}

func (r *recorded) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.up.mu.Lock()
	r.up.got[r.n].Write(p[:n])
	r.up.mu.Unlock()
	return n, err
}

// seen counts how often a request identity arrived, over all connections.
func (u *raw) seen(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, b := range u.got {
		n += strings.Count(b.String(), id)
	}
	return n
}

func (u *raw) upstream() Upstream {
	return Upstream{Name: "ia", Address: u.l.Addr().String(), Incarnation: 1, MaxConnections: 8}
}

// answers serves requests with write until it returns false.
func answers(write func(k int, c net.Conn, r *http.Request) bool) func(int, net.Conn) {
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

// ok answers with the identity of the request as the body.
func ok(c net.Conn, r *http.Request) bool {
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

// call sends a request and returns the body of its response.
func call(t testing.TB, l *Client, up Upstream, r *http.Request, limit time.Duration) (string, Result, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	resp, res, err := l.Do(ctx, up, r)
	if err != nil {
		return "", res, err
	}
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, resp.Body.Close())
	return string(b), res, err
}

func newLink(t testing.TB) *Client {
	t.Helper()
	l := New(Defaults(), clock.Real())
	t.Cleanup(l.Stop)
	return l
}

// long bounds waits that are expected to end.
const long = 30 * time.Second

// relay forwards one TCP connection after the other and can stop forwarding
// without closing anything.
type relay struct {
	l     net.Listener
	mu    sync.Mutex
	mutes []*mute
	conns []net.Conn
}

// mute is the switch of one connection.
type mute struct{ on atomic.Bool }

func (m *mute) forward(to io.Writer, from io.ReadCloser) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if m.on.Load() && err == nil {
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

// silence makes all present connections lose everything from now on; later
// ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.mutes {
		m.on.Store(true)
	}
}

func newRelay(t testing.TB, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{l: l}
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
			mute := &mute{}
			r.mu.Lock()
			r.conns = append(r.conns, in, out)
			r.mutes = append(r.mutes, mute)
			r.mu.Unlock()
			wg.Go(func() { mute.forward(out, in) })
			wg.Go(func() { mute.forward(in, out) })
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
