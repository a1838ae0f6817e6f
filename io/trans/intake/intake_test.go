package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
)

// testSettings returns settings with 1 MiB for large bodies of clients.
func testSettings() Settings {
	s := Defaults(8<<20, 200)
	s.ProgressMillis, s.WriteMillis, s.BodyMillis = 300, 300, 5*clock.Second
	return s
}

// testServer serves the gate's limits. Its handler reads the whole body and answers with
// its size, or refuses the request.
func testServer(t testing.TB, g *Gate, o Options, limits BodyLimits) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	o.MaxHeaderBytes, o.IdleTimeout = 16<<10, time.Minute
	o.MaxBodyBytes = limits.MaxBytes
	s := g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := ReadAll(r, limits)
		if err != nil {
			Refuse(w, err)
			return
		}
		fmt.Fprint(w, len(b))
	}), o)
	go func() { _ = s.Serve(g.Listener(l, o.Class)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// exchange sends raw bytes and returns the status of the response; 0 if there is none.
func exchange(t testing.TB, address, text string) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	_, _ = io.WriteString(c, text)
	return statusOf(c)
}

func statusOf(c net.Conn) int {
	var status int
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	_, _ = fmt.Fscanf(c, "HTTP/1.1 %d", &status)
	return status
}

func withLength(n int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", n, body)
}

func withChunks(size, total int) string {
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
	for sent := 0; sent < total; sent += size {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// TestBodiesAreServedOrRefused guards against a limit that refuses a legal body, or that
// serves a body beyond its limit.
func TestBodiesAreServedOrRefused(t *testing.T) {
	const limit = 256 << 10
	g := New(testSettings(), clock.Real(), nil)
	address := testServer(t, g, Options{}, BodyLimits{MaxBytes: limit, Copies: 1})
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"empty", withLength(0, ""), 200},
		{"largest", withLength(limit, strings.Repeat("x", limit)), 200},
		{"largest-chunked", withChunks(16<<10, limit), 200},
		{"small-chunks", withChunks(16, limit/2), 200},
		{"announced-too-large", withLength(limit+1, ""), 413},
		{"sent-too-large", withChunks(16<<10, 2*limit), 413},
		{"one-byte-chunks", withChunks(1, limit), 400},
		{"stopping-short", withLength(1000, "x"), 408},
		{"chunked-stopping-short", strings.TrimSuffix(withChunks(1000, 1000), "0\r\n\r\n"), 408},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, exchange(t, address, c.text), c.status) })
	}
	assertReleased(t, g)
}

// assertReleased waits until a gate has no bytes reserved.
func assertReleased(t testing.TB, g *Gate) {
	t.Helper()
	held := g.Gauges()[0].Value
	for deadline := time.Now().Add(30 * time.Second); held() != 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d bytes are still reserved", held())
	}
}

// TestSmallBodyWhileLargeOnesFillTheBudget guards against large bodies that take the room
// of small ones, and against a refusal that reads the body first.
func TestSmallBodyWhileLargeOnesFillTheBudget(t *testing.T) {
	s := testSettings()
	s.ProgressMillis = clock.Minute
	g := New(s, clock.Real(), nil)
	const large = 600 << 10
	address := testServer(t, g, Options{}, BodyLimits{MaxBytes: large, Copies: 1})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, withLength(large, "x"))
	assert.NilError(t, err)
	for deadline := time.Now().Add(30 * time.Second); g.large.Used() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the large body was not admitted")
	}
	assert.Equal(t, exchange(t, address, withLength(large, "")), 503)
	assert.Equal(t, exchange(t, address, withLength(5, "hello")), 200)
	_, err = io.WriteString(c, strings.Repeat("x", large-1))
	assert.NilError(t, err)
	assert.Equal(t, statusOf(c), 200)
	assertReleased(t, g)
}

// TestSlowSmallBodyMovesToLargeBudget guards against slow small bodies that use up the
// part that is reserved for small ones.
func TestSlowSmallBodyMovesToLargeBudget(t *testing.T) {
	s := testSettings()
	s.ProgressMillis = clock.Minute
	g := New(s, clock.Real(), nil)
	address := testServer(t, g, Options{}, BodyLimits{MaxBytes: 1 << 20, Copies: 1})
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, withLength(1000, "x"))
	assert.NilError(t, err)
	for deadline := time.Now().Add(30 * time.Second); g.large.Used() != 1000; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d bytes in the large budget", g.large.Used())
	}
	assert.Equal(t, g.small.Used(), int64(0))
	_, err = io.WriteString(c, strings.Repeat("x", 999))
	assert.NilError(t, err)
	assert.Equal(t, statusOf(c), 200)
	assertReleased(t, g)
}

// TestIdleConnectionMakesRoom guards against idle connections that keep new clients out.
func TestIdleConnectionMakesRoom(t *testing.T) {
	g := New(testSettings(), clock.Real(), nil)
	address := testServer(t, g, Options{}, BodyLimits{MaxBytes: 1 << 20, Copies: 1})
	for range 3 * g.connections[Clients].most {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer c.Close()
	}
	assert.Equal(t, exchange(t, address, withLength(5, "hello")), 200)
	assert.Assert(t, g.connections[Clients].count() <= g.connections[Clients].most)
	assert.Assert(t, g.counts[KindIdle].Load() > 0)
}

// TestUnreadResponseIsCut guards against a client that holds its connection and the
// response by not reading.
func TestUnreadResponseIsCut(t *testing.T) {
	g := New(testSettings(), clock.Real(), nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	failed := make(chan error, 1)
	s := g.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 64<<20))
		failed <- err
	}), Options{IdleTimeout: time.Minute})
	go func() { _ = s.Serve(g.Listener(l, Clients)) }()
	t.Cleanup(func() { _ = s.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	assert.Assert(t, <-failed != nil)
	assert.Equal(t, g.counts[KindWrite].Load(), int64(1))
}

// TestLargeDecodesWaitForEachOther guards against decoding that takes more memory than
// the process has, and against small requests that wait for large ones.
func TestLargeDecodesWaitForEachOther(t *testing.T) {
	g := New(testSettings(), clock.Real(), nil)
	release, err := g.Decode(context.Background(), 1<<40)
	assert.NilError(t, err)
	releaseSmall, err := g.Decode(context.Background(), smallDecodeBytes)
	assert.NilError(t, err)
	releaseSmall()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = g.Decode(ctx, 2<<20)
	var e *Error
	assert.Assert(t, errors.As(err, &e) && e.Kind == KindDecoding && e.Status() == 503)
	var running, most atomic.Int64
	done := make(chan error)
	for range 20 {
		go func() {
			release, err := g.Decode(context.Background(), 2<<20)
			if err == nil {
				most.Store(max(most.Load(), running.Add(1)))
				time.Sleep(time.Millisecond)
				running.Add(-1)
				release()
			}
			done <- err
		}()
	}
	release()
	for range 20 {
		assert.NilError(t, <-done)
	}
	assert.Equal(t, most.Load(), int64(1))
	assert.Equal(t, g.largeDecode.used, int64(0))
}

// BenchmarkSmallBody measures a request with a body of 1 KiB on an open connection, with
// a gate and without.
func BenchmarkSmallBody(b *testing.B) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p, _ := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
		fmt.Fprint(w, len(p))
	}), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: time.Minute}
	go func() { _ = s.Serve(plain) }()
	defer s.Close()
	g := New(Defaults(1<<30, 1024), clock.Real(), nil)
	limited := testServer(b, g, Options{}, BodyLimits{MaxBytes: 1 << 20, Copies: 2})
	request := withLength(1024, strings.Repeat("x", 1024))
	for _, c := range []struct{ name, address string }{{"plain", plain.Addr().String()}, {"gate", limited}} {
		b.Run(c.name, func(b *testing.B) {
			conn, err := net.Dial("tcp", c.address)
			assert.NilError(b, err)
			defer conn.Close()
			response := make([]byte, 4096)
			for b.Loop() {
				_, _ = io.WriteString(conn, request)
				if _, err := conn.Read(response); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
