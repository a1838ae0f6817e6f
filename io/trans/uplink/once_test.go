package uplink

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// killed serves a first request when the connection is to be reused, and then
// ends it at the given moment of the next request.
func killed(moment string, reused bool) func(int, net.Conn) {
	return func(n int, c net.Conn) {
		in := bufio.NewReader(c)
		if reused && n == 0 {
			r, err := http.ReadRequest(in)
			if err != nil || !ok(c, r) {
				return
			}
		}
		switch moment {
		case "before":
			if n > 0 {
				// The connection that replaces the killed one works.
				answers(func(_ int, c net.Conn, r *http.Request) bool { return ok(c, r) })(n, c)
			}
		case "during":
			_, _ = in.Peek(1)
		case "after":
			if r, err := http.ReadRequest(in); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
		}
		if tcp, isTCP := c.(*recorded).Conn.(*net.TCPConn); isTCP && moment == "during" {
			_ = tcp.SetLinger(0)
		}
	}
}

// bodies returns the ways to give a request its body.
var bodies = map[string]func(r *http.Request){
	"none": func(*http.Request) {},
	"stream": func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("body")), 4
	},
	"rewindable": func(r *http.Request) {
		r.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader("body")), nil }
		r.Body, _ = r.GetBody()
		r.ContentLength = 4
	},
}

// Guards against a request that reaches the upstream twice, for every kind of
// request that net/http would send again by itself, and against a not-run that
// is not true. The upstream's record of received bytes is the judge.
func TestNoRequestIsSentTwice(t *testing.T) {
	for _, moment := range []string{"before", "during", "after"} {
		for _, reused := range []bool{false, true} {
			for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE"} {
				for kind, with := range bodies {
					for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
						name := fmt.Sprint(moment, reused, method, kind, key)
						once(t, name, moment, reused, func(id string) *http.Request {
							r := request(t, method, id, "")
							if key != "" {
								r.Header.Set(key, "k")
							}
							with(r)
							return r
						})
					}
				}
			}
		}
	}
}

func once(t *testing.T, name, moment string, reused bool, build func(id string) *http.Request) {
	t.Helper()
	u := newRaw(t, killed(moment, reused))
	l := newLink(t)
	if reused {
		_, _, err := call(t, l, u.upstream(), request(t, "GET", "first", ""), long)
		assert.NilError(t, err, name)
	}
	_, res, err := call(t, l, u.upstream(), build("second"), long)
	seen := u.seen("second")
	assert.Assert(t, seen <= 1, "%s: the request arrived %d times", name, seen)
	if res.NotRun {
		assert.Equal(t, seen, 0, name)
	}
	assert.Equal(t, res.NotRun, !res.BytesWritten, name)
	if err == nil {
		assert.Equal(t, seen, 1, name)
	}
	if moment == "after" {
		assert.Assert(t, err != nil && !res.NotRun, name)
	}
}

// Guards against a seal that says not-run while net/http still writes: the
// deadline falls into every phase of opening and writing.
func TestDeadlinesAreToldTruthfully(t *testing.T) {
	u := newRaw(t, answers(func(_ int, c net.Conn, r *http.Request) bool {
		time.Sleep(200 * time.Microsecond)
		return ok(c, r)
	}))
	l := newLink(t)
	up := u.upstream()
	up.MaxConnections = 64
	var wg sync.WaitGroup
	var mu sync.Mutex
	notRun := map[string]bool{}
	for w := range 16 {
		wg.Go(func() {
			for k := range 200 {
				id := fmt.Sprintf("<%d.%d>", w, k)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(k*5)*time.Microsecond)
				resp, res, err := l.Do(ctx, up, request(t, "POST", id, "body"))
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				cancel()
				mu.Lock()
				notRun[id] = res.NotRun
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	l.Stop()
	for id, not := range notRun {
		seen := u.seen(id)
		assert.Assert(t, seen <= 1, "%s arrived %d times", id, seen)
		assert.Assert(t, !not || seen == 0, "%s arrived and was called not-run", id)
	}
}

// Guards against a not-run that the upstream told being lost, and against a
// connection error that is called unknown.
func TestNotRunIsRecognized(t *testing.T) {
	u := newRaw(t, answers(func(_ int, c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nCamphorridge-Outcome: not-run\r\n\r\n")
		return err == nil
	}))
	l := newLink(t)
	_, res, err := call(t, l, u.upstream(), request(t, "POST", "a", "x"), long)
	assert.NilError(t, err)
	assert.Assert(t, res.NotRun && res.BytesWritten)

	up := u.upstream()
	up.Name, up.Address = "ib", "127.0.0.1:1"
	_, res, err = call(t, l, up, request(t, "POST", "b", "x"), long)
	var e *Error
	assert.Assert(t, errors.As(err, &e) && e.Kind == KindConnect)
	assert.Assert(t, res.NotRun && !res.BytesWritten)
	assert.Equal(t, l.OpenConnections("ib"), 0)
}

// Guards against a request of an earlier incarnation on a connection to the
// present process, which may serve another pool.
func TestEarlierIncarnationIsRefused(t *testing.T) {
	u := newRaw(t, answers(func(_ int, c net.Conn, r *http.Request) bool { return ok(c, r) }))
	l := newLink(t)
	up := u.upstream()
	_, _, err := call(t, l, up, request(t, "GET", "a", ""), long)
	assert.NilError(t, err)
	next := up
	next.Incarnation = 2
	_, res, err := call(t, l, next, request(t, "GET", "b", ""), long)
	assert.NilError(t, err)
	assert.Assert(t, !res.Reused)
	_, res, err = call(t, l, up, request(t, "GET", "<c>", ""), long)
	assert.Assert(t, err != nil && res.NotRun)
	assert.Equal(t, u.seen("<c>"), 0)
}
