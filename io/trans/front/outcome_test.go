package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"camphorridge/core/coord/entry"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/trans/intake"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const largeBodyBytes = 300 << 10

// TestOutcomes guards against outcomes that do not match what the upstream did,
// against requests that reach it more than once, and against a wrong outcome
// recorded for an idempotency key.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string
		status   int
		outcome  string
	}{
		{"whole", "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nhi", 201, OutcomeRan},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200, OutcomeRan},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 500, OutcomeRan},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", 204, OutcomeRan},
		{"refused", "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nCamphorridge-Outcome: not-run\r\n\r\nbusy", 503, OutcomeNotRun},
		{"refused with large body", "HTTP/1.1 503 Busy\r\nContent-Length: 100000\r\nCamphorridge-Outcome: not-run\r\n\r\n" + strings.Repeat("x", 100_000), 503, OutcomeNotRun},
		{"unsupported outcome", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCamphorridge-Outcome: duplicate\r\n\r\n", 200, OutcomeRan},
		{"closed", "", 502, OutcomeUnknown},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nhi", 502, OutcomeUnknown},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", 502, OutcomeUnknown},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhi", 502, OutcomeUnknown},
		{"other request ID", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCamphorridge-Request-Id: x\r\n\r\n", 502, OutcomeUnknown},
		{"no response", "none", 504, OutcomeUnknown},
	} {
		hang := make(chan struct{})
		u := newScriptedUpstream(t, func(conn net.Conn, _ *http.Request) {
			if c.response == "none" {
				<-hang
				return
			}
			writeResponse(conn, c.response)
		})
		te := newTestEntry(t, 8, []model.Contract{contract("acme", 8, 8, 0)}, u.address)
		for _, key := range []string{"", "k1"} {
			r := te.request(t, "POST", "acme", "x", "X-Mark", "m"+key, HeaderTimeout, "5000")
			if c.response == "none" {
				r.Header.Set(HeaderTimeout, "100")
			}
			if key != "" {
				r.Header.Set(HeaderIdempotencyKey, key)
			}
			resp, _ := te.do(t, r)
			assert.Equal(t, resp.StatusCode, c.status, c.name)
			assert.Equal(t, resp.Header.Get(HeaderOutcome), c.outcome, c.name)
			assert.Equal(t, u.count("m"+key), 1, c.name)
			assert.Assert(t, resp.Header.Get(HeaderRequestID) != "", c.name)
		}
		recorded, found := te.claims.get("k1")
		switch c.outcome {
		case OutcomeRan:
			assert.Assert(t, recorded.State == model.ClaimDone && recorded.Status == c.status, c.name)
		case OutcomeNotRun:
			assert.Assert(t, !found, "%s: the claim was not released", c.name)
		default:
			assert.Equal(t, recorded.State, model.ClaimUnknown, c.name)
		}
		close(hang)
		te.waitIdle(t)
	}
}

func (c *memoryClaimer) get(key string) (model.ClaimOutcome, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.outcomes[model.ClaimKey{Customer: "acme", Service: "svc", Key: key}]
	return o, ok
}

// waitIdle waits until no request holds a slot, and returns the status of the
// dispatcher at that time.
func (te *testEntry) waitIdle(t testing.TB) entry.Status {
	t.Helper()
	var s entry.Status
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s = te.dispatcher.Status(); s.Counts.Completed == s.Counts.Grants {
			return poll.Success()
		}
		return poll.Continue("%d of %d grants were returned", s.Counts.Completed, s.Counts.Grants)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
	return s
}

// TestRefusedRequests guards against invalid requests that reach an upstream, and
// against refusals without an outcome or a reason.
func TestRefusedRequests(t *testing.T) {
	u := newScriptedUpstream(t, func(c net.Conn, _ *http.Request) {
		writeResponse(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	te := newTestEntry(t, 8, []model.Contract{contract("acme", 8, 8, 0)}, u.address)
	for _, c := range []struct {
		name   string
		change func(r *http.Request)
		status int
	}{
		{"no customer", func(r *http.Request) { r.Header.Del(HeaderCustomer) }, 400},
		{"two customers", func(r *http.Request) { r.Header.Add(HeaderCustomer, "b") }, 400},
		{"bad customer", func(r *http.Request) { r.Header.Set(HeaderCustomer, "A B") }, 400},
		{"other customer", func(r *http.Request) { r.Header.Set(HeaderCustomer, "other") }, 404},
		{"other service", func(r *http.Request) { r.URL.Path = "/nope/x" }, 404},
		{"no service", func(r *http.Request) { r.URL.Path = "/svc" }, 400},
		{"bad service", func(r *http.Request) { r.URL.Path = "/../x" }, 400},
		{"bad timeout", func(r *http.Request) { r.Header.Set(HeaderTimeout, "-1") }, 400},
		{"zero timeout", func(r *http.Request) { r.Header.Set(HeaderTimeout, "0") }, 400},
		{"empty key", func(r *http.Request) { r.Header.Set(HeaderIdempotencyKey, "") }, 400},
		{"long key", func(r *http.Request) { r.Header.Set(HeaderIdempotencyKey, strings.Repeat("k", 256)) }, 400},
		{"large header", func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("h", 33<<10)) }, 431},
		{"large body", func(r *http.Request) { r.ContentLength, r.Body = 65<<20, io.NopCloser(bytes.NewReader(nil)) }, 413},
	} {
		r := te.request(t, "POST", "acme", "", "X-Mark", "m")
		c.change(r)
		resp, err := te.client.Do(r)
		if err != nil && c.name == "large body" {
			// The server may close the connection before the client has written
			// the body.
			continue
		}
		assert.NilError(t, err, c.name)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, c.status, c.name)
		assert.Equal(t, resp.Header.Get(HeaderOutcome), OutcomeNotRun, c.name)
		assert.Assert(t, resp.Header.Get(HeaderReason) != "", c.name)
	}
	r := te.request(t, "OPTIONS", "acme", "")
	r.URL.Path, r.URL.Opaque = "", "*"
	resp, _ := te.do(t, r)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	assert.Equal(t, u.count("m"), 0)
}

// TestConflictingLengthsAreRefused guards against request smuggling:
// conflicting lengths can hide one request in the body of another.
func TestConflictingLengthsAreRefused(t *testing.T) {
	u := newScriptedUpstream(t, func(c net.Conn, _ *http.Request) {
		writeResponse(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	te := newTestEntry(t, 8, []model.Contract{contract("acme", 8, 8, 0)}, u.address)
	for _, head := range []string{
		"Content-Length: 3\r\nContent-Length: 4\r\n",
		"Content-Length: x\r\n",
		"Transfer-Encoding: gzip, chunked\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	} {
		c, err := net.Dial("tcp", te.url[len("http://"):])
		assert.NilError(t, err)
		writeRaw(c, "POST /svc/x HTTP/1.1\r\nHost: a\r\nX-Mark: m\r\nCamphorridge-Customer: acme\r\n"+head+"\r\nabc")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Assert(t, resp.StatusCode == 400 || resp.StatusCode == 501, "%d", resp.StatusCode)
		_ = c.Close()
	}
	// If both are present, Transfer-Encoding overrides Content-Length (RFC 9112,
	// section 6.3), and Content-Length is not forwarded. Of this, the test checks
	// only that the request gets a response.
	c, err := net.Dial("tcp", te.url[len("http://"):])
	assert.NilError(t, err)
	writeRaw(c, "POST /svc/x HTTP/1.1\r\nHost: a\r\nX-Mark: both\r\nCamphorridge-Customer: acme\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_ = c.Close()
	assert.Equal(t, u.count("m"), 0)
}

// TestLargeTruncatedResponseAborts guards against a truncated response larger
// than the buffer that looks complete to the caller.
func TestLargeTruncatedResponseAborts(t *testing.T) {
	body := strings.Repeat("x", largeBodyBytes)
	u := newScriptedUpstream(t, func(c net.Conn, r *http.Request) {
		cut := body
		if r.URL.Path == "/svc/cut" {
			cut = body[:largeBodyBytes-1]
		}
		writeResponse(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", largeBodyBytes, cut))
	})
	te := newTestEntry(t, 8, []model.Contract{contract("acme", 8, 8, 0)}, u.address)
	_, got := te.do(t, te.request(t, "GET", "acme", ""))
	assert.Assert(t, got == body)
	r := te.request(t, "POST", "acme", "x", HeaderIdempotencyKey, "k1")
	r.URL.Path = "/svc/cut"
	resp, err := te.client.Do(r)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%d bytes, %v", n, err)
	te.waitIdle(t)
	assert.Equal(t, te.handler.Counts().Aborted, int64(1))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if o, _ := te.claims.get("k1"); o.State == model.ClaimUnknown {
			return poll.Success()
		}
		return poll.Continue("the claim has no outcome yet")
	})
}

// TestDuplicates guards against a second run of a request with the same
// idempotency key, and against a run without a successful claim. GET requests
// need no claim.
func TestDuplicates(t *testing.T) {
	te := newTestEntry(t, 8, []model.Contract{contract("acme", 8, 8, 0)}, upstream(t, echo))
	first, _ := te.do(t, te.request(t, "POST", "acme", "x", HeaderIdempotencyKey, "k1"))
	assert.Equal(t, first.Header.Get(HeaderOutcome), OutcomeRan)
	second, _ := te.do(t, te.request(t, "POST", "acme", "x", HeaderIdempotencyKey, "k1"))
	assert.Equal(t, second.StatusCode, 409)
	assert.Equal(t, second.Header.Get(HeaderOutcome), OutcomeDuplicate)
	assert.Equal(t, second.Header.Get(HeaderFirstOutcome), "done 200")
	get, _ := te.do(t, te.request(t, "GET", "acme", "", HeaderIdempotencyKey, "k1"))
	assert.Equal(t, get.Header.Get(HeaderOutcome), OutcomeRan)
	te.claims.mu.Lock()
	te.claims.err = errors.New("no quorum")
	te.claims.mu.Unlock()
	unclaimed, _ := te.do(t, te.request(t, "POST", "acme", "x", HeaderIdempotencyKey, "k2"))
	assert.Equal(t, unclaimed.StatusCode, 503)
	assert.Equal(t, unclaimed.Header.Get(HeaderOutcome), OutcomeNotRun)
}

// TestRetryAfterProvenNotRun guards against requests that did not run but are not
// retried, against retries beyond the retry budget, and against retries with an
// altered body.
func TestRetryAfterProvenNotRun(t *testing.T) {
	busy := newScriptedUpstream(t, func(c net.Conn, _ *http.Request) {
		writeResponse(c, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nCamphorridge-Outcome: not-run\r\n\r\nbusy")
	})
	te := newTestEntry(t, 8, []model.Contract{contract("acme", 64, 8, 50)}, busy.address, upstream(t, echo), "127.0.0.1:1")
	big := strings.Repeat("b", 60<<10)
	ran, refused := 0, 0
	for range 40 {
		resp, body := te.do(t, te.request(t, "POST", "acme", big))
		switch resp.Header.Get(HeaderOutcome) {
		case OutcomeRan:
			ran++
			assert.Assert(t, body == "POST /svc/x "+big)
		case OutcomeNotRun:
			refused++
		}
	}
	assert.Equal(t, ran+refused, 40)
	s := te.waitIdle(t)
	assert.Assert(t, s.Counts.Retries > 0 && s.Counts.Retries <= 21, "%d retries", s.Counts.Retries)
	assert.Equal(t, te.handler.Counts().Retries >= s.Counts.Retries, true)
}

// TestDisconnectedCallerFreesSlot guards against a slot that is not released when
// the caller disconnects, and against counting the disconnect as a failure of the
// upstream.
func TestDisconnectedCallerFreesSlot(t *testing.T) {
	got, hang := make(chan struct{}, 1), make(chan struct{})
	defer close(hang)
	u := newScriptedUpstream(t, func(net.Conn, *http.Request) { got <- struct{}{}; <-hang })
	te := newTestEntry(t, 1, []model.Contract{contract("acme", 1, 8, 0)}, u.address)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		_, err := te.client.Do(te.request(t, "POST", "acme", "x").WithContext(ctx))
		ended <- err
	}()
	<-got
	cancel()
	assert.Assert(t, <-ended != nil)
	s := te.waitIdle(t)
	assert.Equal(t, s.Customers[0].Running, 0)
	assert.Equal(t, s.Upstreams[0].Score, 0.0)
}

// TestSlowBodyIsCutOff guards against callers that occupy a slot or a goroutine
// for a long time by sending the body slowly.
func TestSlowBodyIsCutOff(t *testing.T) {
	te := newTestEntry(t, 1, []model.Contract{contract("acme", 1, 8, 0)}, upstream(t, echo))
	te.handler.cfg.BodyReadTimeout = 50
	c, err := net.Dial("tcp", te.url[len("http://"):])
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	writeRaw(c, "POST /svc/x HTTP/1.1\r\nHost: a\r\nCamphorridge-Customer: acme\r\nContent-Length: 9\r\n\r\nabc")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 400)
	assert.Equal(t, resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	assert.Equal(t, te.dispatcher.Status().Counts.Requests, int64(0))
}

// TestShutdownFinishesRequests guards against a shutdown that aborts requests
// in flight before its timeout, and against one that waits forever.
func TestShutdownFinishesRequests(t *testing.T) {
	release, got := make(chan struct{}), make(chan struct{}, 2)
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		got <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "whole")
	})
	for _, finish := range []bool{true, false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := NewServer(intake.New(intake.Defaults(0, 0), clock.Real(), nil), h, 1<<10, intake.Options{})
		served, answered := make(chan error, 1), make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		go func() {
			resp, err := http.Get("http://" + l.Addr().String())
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			answered <- err
		}()
		<-got
		stopped := make(chan error, 1)
		timeout := 20 * clock.Millis(1)
		if finish {
			timeout = 30 * clock.Second
		}
		go func() { stopped <- s.Shutdown(timeout) }()
		assert.NilError(t, <-served)
		_, err = net.Dial("tcp", l.Addr().String())
		assert.Assert(t, err != nil, "the server still accepts connections")
		if finish {
			release <- struct{}{}
			assert.NilError(t, <-answered)
			assert.NilError(t, <-stopped)
			continue
		}
		var e *Error
		assert.Assert(t, errors.As(<-stopped, &e) && e.Kind == KindServe)
		assert.Assert(t, <-answered != nil)
		release <- struct{}{}
	}
}
