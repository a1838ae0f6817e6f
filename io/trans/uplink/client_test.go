package uplink

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"camphorridge/core/state/clock"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestUntrustedResponsesAreErrors guards against forwarding a malformed,
// mismatched or truncated response, and against NotRun for its request, which may
// have run.
func TestUntrustedResponsesAreErrors(t *testing.T) {
	for _, c := range []struct {
		name, response string
		kind           Kind
	}{
		{"no length", "HTTP/1.1 200 OK\r\n\r\nbody", KindFraming},
		{"old protocol", "HTTP/1.0 200 OK\r\n\r\nbody", KindFraming},
		{"other request ID", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCamphorridge-Request-Id: other\r\n\r\n", KindMismatched},
		{"upgrade", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", KindFraming},
		{"not HTTP", "nonsense\r\n\r\n", KindClosed},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", KindClosed},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Le", KindClosed},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", KindTruncated},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", KindTruncated},
		{"missing last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", KindTruncated},
	} {
		u := newScriptedUpstream(t, respondWith(func(_ int, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, c.response)
			return false
		}))
		cl := newClient(t)
		_, res, err := call(t, cl, u.upstream(), request(t, "POST", "<a>", "x"), longTimeout)
		var e *Error
		assert.Assert(t, errors.As(err, &e), "%s: %v", c.name, err)
		assert.Equal(t, e.Kind, c.kind, c.name)
		assert.Assert(t, res.BytesWritten && !res.NotRun, c.name)
		assert.Equal(t, u.arrivals("<a>"), 1, c.name)
		poll.WaitOn(t, func(poll.LogT) poll.Result { return pollResult(cl.OpenConnections("ia") == 0) })
	}
}

func pollResult(ok bool) poll.Result {
	if ok {
		return poll.Success()
	}
	return poll.Continue("the condition is not met yet")
}

// TestUnsolicitedBytesReachNoRequest guards against surplus bytes after a
// response being taken for the response to the next request on the connection.
func TestUnsolicitedBytesReachNoRequest(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, delay := range []time.Duration{0, 50 * time.Microsecond, time.Millisecond} {
		u := newScriptedUpstream(t, respondWith(func(_ int, c net.Conn, r *http.Request) bool {
			if delay == 0 {
				id := r.Header.Get(HeaderRequestID)
				_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(id), id, extra)
				return err == nil
			}
			id := r.Header.Get(HeaderRequestID)
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nCamphorridge-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
			time.Sleep(delay)
			_, _ = io.WriteString(c, extra)
			return err == nil
		}))
		cl := newClient(t)
		for k := range 50 {
			id := fmt.Sprintf("<%d>", k)
			body, res, err := call(t, cl, u.upstream(), request(t, "POST", id, "x"), longTimeout)
			if err == nil {
				assert.Equal(t, body, id)
			} else {
				assert.Assert(t, !res.NotRun || u.arrivals(id) == 0)
			}
			// With this pause and the delay in the upstream, the surplus bytes
			// arrive before, during and after the next request.
			time.Sleep(delay)
		}
	}
}

// TestLateResponseIsDiscarded guards against a response that arrives after its
// request timed out being taken for the response to a later request.
func TestLateResponseIsDiscarded(t *testing.T) {
	release := make(chan struct{})
	u := newScriptedUpstream(t, respondWith(func(_ int, c net.Conn, r *http.Request) bool {
		if r.Header.Get(HeaderRequestID) == "<slow>" {
			<-release
		}
		return respondOK(c, r)
	}))
	cl := newClient(t)
	_, res, err := call(t, cl, u.upstream(), request(t, "POST", "<slow>", "x"), 20*time.Millisecond)
	assert.Assert(t, err != nil && res.Kind == KindTimeout && !res.NotRun)
	close(release)
	body, _, err := call(t, cl, u.upstream(), request(t, "POST", "<next>", "x"), longTimeout)
	assert.NilError(t, err)
	assert.Equal(t, body, "<next>")
}

// TestTimeoutClosesIdleConnections guards against a series of requests that time
// out, one on each idle connection, after a middlebox has dropped its state for
// all of them.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	u := newScriptedUpstream(t, respondWith(func(_ int, c net.Conn, r *http.Request) bool {
		time.Sleep(20 * time.Millisecond)
		return respondOK(c, r)
	}))
	r := newRelay(t, u.listener.Addr().String())
	up := u.upstream()
	up.Address = r.listener.Addr().String()
	cl := newClient(t)
	var wg sync.WaitGroup
	for k := range 4 {
		wg.Go(func() {
			_, _, err := call(t, cl, up, request(t, "GET", fmt.Sprint(k), ""), longTimeout)
			assert.Check(t, err)
		})
	}
	wg.Wait()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return pollResult(idleConns(cl) == 4) })
	r.dropTraffic()
	_, res, err := call(t, cl, up, request(t, "GET", "<silent>", ""), 100*time.Millisecond)
	assert.Assert(t, err != nil)
	assert.Equal(t, res.Kind, KindTimeout)
	assert.Equal(t, idleConns(cl), 0)
	_, res, err = call(t, cl, up, request(t, "GET", "<new>", ""), longTimeout)
	assert.NilError(t, err)
	assert.Assert(t, !res.Reused)
}

func idleConns(cl *Client) int {
	p := cl.pool("ia")
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// TestConnectionLimit guards against opening more connections than
// MaxConnections.
func TestConnectionLimit(t *testing.T) {
	u := newScriptedUpstream(t, respondWith(func(_ int, c net.Conn, r *http.Request) bool {
		time.Sleep(time.Millisecond)
		return respondOK(c, r)
	}))
	cl := newClient(t)
	up := u.upstream()
	up.MaxConnections = 4
	var wg sync.WaitGroup
	for w := range 32 {
		wg.Go(func() {
			for k := range 20 {
				_, res, err := call(t, cl, up, request(t, "GET", fmt.Sprint(w, k), ""), longTimeout)
				if err != nil {
					assert.Check(t, res.NotRun && res.Kind == KindNoFreeConnection, "%v", err)
				}
			}
		})
	}
	wg.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	assert.Assert(t, u.maxOpenConns <= 4, "%d connections were open", u.maxOpenConns)
}

// TestIdleConnectionsAreProbedAndClosed guards against idle connections that are
// never probed, that are closed although they work, or that are never closed,
// and against unused pools that are never dropped.
func TestIdleConnectionsAreProbedAndClosed(t *testing.T) {
	var mu sync.Mutex
	probes := 0
	u := newScriptedUpstream(t, respondWith(func(_ int, c net.Conn, r *http.Request) bool {
		mu.Lock()
		if r.URL.Path == "/health" {
			probes++
		}
		mu.Unlock()
		return respondOK(c, r)
	}))
	rel := newRelay(t, u.listener.Addr().String())
	fake := clock.NewFake(1000)
	cl := New(Defaults(), fake.Clock())
	cl.cfg.ProbeTimeout = 200
	t.Cleanup(cl.Stop)
	up := u.upstream()
	up.Address, up.HealthPath = rel.listener.Addr().String(), "/health"
	openIdle := func() {
		_, _, err := call(t, cl, up, request(t, "GET", "a", ""), longTimeout)
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result { return pollResult(idleConns(cl) == 1) })
	}
	openIdle()
	fake.Advance(999)
	cl.maintainIdle(cl.pool("ia"))
	assert.Equal(t, cl.Counts().Probes, int64(0))
	for range 8 {
		fake.Advance(clock.Second)
		cl.maintainIdle(cl.pool("ia"))
		poll.WaitOn(t, func(poll.LogT) poll.Result { return pollResult(idleConns(cl) == 1) })
	}
	mu.Lock()
	assert.Equal(t, probes, 8)
	mu.Unlock()
	fake.Advance(1001)
	cl.maintainIdle(cl.pool("ia"))
	assert.Equal(t, cl.OpenConnections("ia"), 0)

	openIdle()
	rel.dropTraffic()
	fake.Advance(clock.Second)
	cl.maintainIdle(cl.pool("ia"))
	poll.WaitOn(t, func(poll.LogT) poll.Result { return pollResult(cl.Counts().ProbesFailed == 1) })
	assert.Equal(t, cl.OpenConnections("ia"), 0)
	fake.Advance(dropPoolAfter)
	cl.dropUnusedPools()
	assert.Equal(t, len(cl.allPools()), 0)
}

// TestHopByHopHeaders guards against forwarding hop-by-hop headers, in either
// direction.
func TestHopByHopHeaders(t *testing.T) {
	var got http.Header
	u := newScriptedUpstream(t, respondWith(func(_ int, c net.Conn, r *http.Request) bool {
		got = r.Header
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: 5\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 1\r\n\r\n")
		return err == nil
	}))
	cl := newClient(t)
	r := request(t, "POST", "a", "x")
	for _, h := range []string{"Connection", "Keep-Alive", "Te", "Upgrade", "Proxy-Authorization", "Expect", "X-Hop", "X-End"} {
		r.Header.Set(h, "x-hop")
	}
	resp, _, err := cl.Do(t.Context(), u.upstream(), r)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 3, "%v", got) // X-End, the request ID and Content-Length.
	assert.Equal(t, got.Get("X-End"), "x-hop")
	assert.Equal(t, resp.Header.Get("X-End"), "1")
	assert.Equal(t, resp.Header.Get("X-Hop")+resp.Header.Get("Keep-Alive"), "")
}

// TestCancelClosesOneConnection guards against a cancelled request that closes
// more connections than its own.
func TestCancelClosesOneConnection(t *testing.T) {
	hang := make(chan struct{})
	u := newScriptedUpstream(t, func(n int, c net.Conn) {
		if n == 0 {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				<-hang
			}
			return
		}
		respondWith(func(_ int, c net.Conn, r *http.Request) bool { return respondOK(c, r) })(n, c)
	})
	defer close(hang)
	cl := newClient(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan Result)
	go func() {
		_, res, _ := cl.Do(ctx, u.upstream(), request(t, "GET", "<hang>", ""))
		ended <- res
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return pollResult(u.arrivals("<hang>") == 1) })
	_, _, err := call(t, cl, u.upstream(), request(t, "GET", "b", ""), longTimeout)
	assert.NilError(t, err)
	cancel()
	res := <-ended
	assert.Assert(t, res.Kind == KindCancelled && !res.NotRun)
	assert.Equal(t, cl.OpenConnections("ia"), 1)
}

// TestWriteDeadlineAndClose guards against a request that is written after its
// WriteDeadline, which is the end of a loan of slots, and against connections that
// stay open after Close, which is called before the loan is returned.
func TestWriteDeadlineAndClose(t *testing.T) {
	u := newScriptedUpstream(t, respondWith(func(_ int, c net.Conn, r *http.Request) bool { return respondOK(c, r) }))
	cl := newClient(t)
	up := u.upstream()
	up.WriteDeadline = clock.Real().Now() + clock.Hour
	_, _, err := call(t, cl, up, request(t, "POST", "<a>", "x"), longTimeout)
	assert.NilError(t, err)
	up.WriteDeadline = clock.Real().Now()
	_, res, err := call(t, cl, up, request(t, "POST", "<late>", "x"), longTimeout)
	assert.Assert(t, err != nil && res.NotRun, "%+v", res)
	assert.Equal(t, u.arrivals("<late>"), 0)
	up.WriteDeadline = 0
	_, _, err = call(t, cl, up, request(t, "POST", "<b>", "x"), longTimeout)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return pollResult(cl.Close("ia")) })
	assert.Equal(t, cl.OpenConnections("ia"), 0)
}
