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

// closeAt returns a connection handler that closes the connection before, during
// or after the arrival of a request, depending on moment. If reused is set, the
// first connection answers one request before that.
func closeAt(moment string, reused bool) func(int, net.Conn) {
	return func(n int, c net.Conn) {
		in := bufio.NewReader(c)
		if reused && n == 0 {
			r, err := http.ReadRequest(in)
			if err != nil || !respondOK(c, r) {
				return
			}
		}
		switch moment {
		case "before":
			if n > 0 {
				// The connection that replaces the closed one works.
				respondWith(func(_ int, c net.Conn, r *http.Request) bool { return respondOK(c, r) })(n, c)
			}
		case "during":
			_, _ = in.Peek(1)
		case "after":
			if r, err := http.ReadRequest(in); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
		}
		if tcp, isTCP := c.(*recordedConn).Conn.(*net.TCPConn); isTCP && moment == "during" {
			_ = tcp.SetLinger(0)
		}
	}
}

// requestBodies maps each kind of request body to a function that sets it.
var requestBodies = map[string]func(r *http.Request){
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

// TestNoRequestIsSentTwice guards against a request that reaches the upstream
// twice, for every kind of request that net/http itself would retry, and against
// a false NotRun. Both are checked against the bytes that the upstream received.
func TestNoRequestIsSentTwice(t *testing.T) {
	for _, moment := range []string{"before", "during", "after"} {
		for _, reused := range []bool{false, true} {
			for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE"} {
				for kind, setBody := range requestBodies {
					for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
						name := fmt.Sprint(moment, reused, method, kind, key)
						checkSentOnce(t, name, moment, reused, func(id string) *http.Request {
							r := request(t, method, id, "")
							if key != "" {
								r.Header.Set(key, "k")
							}
							setBody(r)
							return r
						})
					}
				}
			}
		}
	}
}

func checkSentOnce(t *testing.T, name, moment string, reused bool, build func(id string) *http.Request) {
	t.Helper()
	u := newScriptedUpstream(t, closeAt(moment, reused))
	cl := newClient(t)
	if reused {
		_, _, err := call(t, cl, u.upstream(), request(t, "GET", "first", ""), longTimeout)
		assert.NilError(t, err, name)
	}
	_, res, err := call(t, cl, u.upstream(), build("second"), longTimeout)
	arrivals := u.arrivals("second")
	assert.Assert(t, arrivals <= 1, "%s: the request arrived %d times", name, arrivals)
	if res.NotRun {
		assert.Equal(t, arrivals, 0, name)
	}
	assert.Equal(t, res.NotRun, !res.BytesWritten, name)
	if err == nil {
		assert.Equal(t, arrivals, 1, name)
	}
	if moment == "after" {
		assert.Assert(t, err != nil && !res.NotRun, name)
	}
}

// TestNotRunIsTrueAtEveryDeadline guards against NotRun for a request that
// net/http still writes afterwards. The deadlines expire in every phase of opening
// a connection and of writing the request.
func TestNotRunIsTrueAtEveryDeadline(t *testing.T) {
	u := newScriptedUpstream(t, respondWith(func(_ int, c net.Conn, r *http.Request) bool {
		time.Sleep(200 * time.Microsecond)
		return respondOK(c, r)
	}))
	cl := newClient(t)
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
				resp, res, err := cl.Do(ctx, up, request(t, "POST", id, "body"))
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
	cl.Stop()
	for id, isNotRun := range notRun {
		arrivals := u.arrivals(id)
		assert.Assert(t, arrivals <= 1, "%s arrived %d times", id, arrivals)
		assert.Assert(t, !isNotRun || arrivals == 0, "%s arrived although its result says NotRun", id)
	}
}

// TestNotRunIsRecognized guards against ignoring the outcome not-run reported by
// an upstream, and against treating a failure to connect as an unknown outcome.
func TestNotRunIsRecognized(t *testing.T) {
	u := newScriptedUpstream(t, respondWith(func(_ int, c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nCamphorridge-Outcome: not-run\r\n\r\n")
		return err == nil
	}))
	cl := newClient(t)
	_, res, err := call(t, cl, u.upstream(), request(t, "POST", "a", "x"), longTimeout)
	assert.NilError(t, err)
	assert.Assert(t, res.NotRun && res.BytesWritten)

	up := u.upstream()
	up.Name, up.Address = "ib", "127.0.0.1:1"
	_, res, err = call(t, cl, up, request(t, "POST", "b", "x"), longTimeout)
	var e *Error
	assert.Assert(t, errors.As(err, &e) && e.Kind == KindConnect)
	assert.Assert(t, res.NotRun && !res.BytesWritten)
	assert.Equal(t, cl.OpenConnections("ib"), 0)
}

// TestEarlierIncarnationIsRefused guards against sending a request for an
// earlier incarnation to the current process, which may serve another pool of
// instances.
func TestEarlierIncarnationIsRefused(t *testing.T) {
	u := newScriptedUpstream(t, respondWith(func(_ int, c net.Conn, r *http.Request) bool { return respondOK(c, r) }))
	cl := newClient(t)
	up := u.upstream()
	_, _, err := call(t, cl, up, request(t, "GET", "a", ""), longTimeout)
	assert.NilError(t, err)
	next := up
	next.Incarnation = 2
	_, res, err := call(t, cl, next, request(t, "GET", "b", ""), longTimeout)
	assert.NilError(t, err)
	assert.Assert(t, !res.Reused)
	_, res, err = call(t, cl, up, request(t, "GET", "<c>", ""), longTimeout)
	assert.Assert(t, err != nil && res.NotRun)
	assert.Equal(t, u.arrivals("<c>"), 0)
}
