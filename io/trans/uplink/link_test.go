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

// Guards against answers that cannot be trusted being passed on: the request
// ran, but the caller must not get them.
func TestBadAnswersAreUnknown(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		kind         Kind
	}{
		{"no length", "HTTP/1.1 200 OK\r\n\r\nbody", KindFraming},
		{"old protocol", "HTTP/1.0 200 OK\r\n\r\nbody", KindFraming},
		{"other identity", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nCamphorridge-Request-Id: other\r\n\r\n", KindMismatched},
		{"upgrade", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", KindFraming},
		{"not HTTP", "nonsense\r\n\r\n", KindClosed},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", KindClosed},
		{"cut header", "HTTP/1.1 200 OK\r\nContent-Le", KindClosed},
		{"cut body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", KindTruncated},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", KindTruncated},
		{"missing last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", KindTruncated},
	} {
		u := newRaw(t, answers(func(_ int, conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, c.answer)
			return false
		}))
		l := newLink(t)
		_, res, err := call(t, l, u.upstream(), request(t, "POST", "<a>", "x"), long)
		var e *Error
		assert.Assert(t, errors.As(err, &e), "%s: %v", c.name, err)
		assert.Equal(t, e.Kind, c.kind, c.name)
		assert.Assert(t, res.BytesWritten && !res.NotRun, c.name)
		assert.Equal(t, u.seen("<a>"), 1, c.name)
		poll.WaitOn(t, func(poll.LogT) poll.Result { return until(l.OpenConnections("ia") == 0) })
	}
}

func until(ok bool) poll.Result {
	if ok {
		return poll.Success()
	}
	return poll.Continue("not yet")
}

// Guards against an answer that nobody asked for, or that comes too late,
// reaching the next request on the connection.
func TestSurplusAnswersReachNobody(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	for _, delay := range []time.Duration{0, 50 * time.Microsecond, time.Millisecond} {
		u := newRaw(t, answers(func(_ int, c net.Conn, r *http.Request) bool {
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
		l := newLink(t)
		for k := range 50 {
			id := fmt.Sprintf("<%d>", k)
			body, res, err := call(t, l, u.upstream(), request(t, "POST", id, "x"), long)
			if err == nil {
				assert.Equal(t, body, id)
			} else {
				assert.Assert(t, !res.NotRun || u.seen(id) == 0)
			}
			// With the delay of the upstream, surplus bytes come before, during
			// and after the next request.
			time.Sleep(delay)
		}
	}
}

// Guards against a late answer being taken for that of a later request.
func TestLateAnswerIsNotReused(t *testing.T) {
	release := make(chan struct{})
	u := newRaw(t, answers(func(_ int, c net.Conn, r *http.Request) bool {
		if r.Header.Get(HeaderRequestID) == "<slow>" {
			<-release
		}
		return ok(c, r)
	}))
	l := newLink(t)
	_, res, err := call(t, l, u.upstream(), request(t, "POST", "<slow>", "x"), 20*time.Millisecond)
	assert.Assert(t, err != nil && res.Kind == KindTimeout && !res.NotRun)
	close(release)
	body, _, err := call(t, l, u.upstream(), request(t, "POST", "<next>", "x"), long)
	assert.NilError(t, err)
	assert.Equal(t, body, "<next>")
}

// Guards against one request after the other being lost on connections that a
// middlebox has forgotten.
func TestSilenceClosesIdleConnections(t *testing.T) {
	u := newRaw(t, answers(func(_ int, c net.Conn, r *http.Request) bool {
		time.Sleep(20 * time.Millisecond)
		return ok(c, r)
	}))
	r := newRelay(t, u.l.Addr().String())
	up := u.upstream()
	up.Address = r.l.Addr().String()
	l := newLink(t)
	var wg sync.WaitGroup
	for k := range 4 {
		wg.Go(func() {
			_, _, err := call(t, l, up, request(t, "GET", fmt.Sprint(k), ""), long)
			assert.Check(t, err)
		})
	}
	wg.Wait()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return until(idle(l) == 4) })
	r.silence()
	_, res, err := call(t, l, up, request(t, "GET", "<silent>", ""), 100*time.Millisecond)
	assert.Assert(t, err != nil)
	assert.Equal(t, res.Kind, KindTimeout)
	assert.Equal(t, idle(l), 0)
	_, res, err = call(t, l, up, request(t, "GET", "<new>", ""), long)
	assert.NilError(t, err)
	assert.Assert(t, !res.Reused)
}

func idle(l *Client) int {
	p := l.pool("ia")
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Guards against more connections than the share.
func TestShareOfConnections(t *testing.T) {
	u := newRaw(t, answers(func(_ int, c net.Conn, r *http.Request) bool {
		time.Sleep(time.Millisecond)
		return ok(c, r)
	}))
	l := newLink(t)
	up := u.upstream()
	up.MaxConnections = 4
	var wg sync.WaitGroup
	for w := range 32 {
		wg.Go(func() {
			for k := range 20 {
				_, res, err := call(t, l, up, request(t, "GET", fmt.Sprint(w, k), ""), long)
				if err != nil {
					assert.Check(t, res.NotRun && res.Kind == KindPoolFull, "%v", err)
				}
			}
		})
	}
	wg.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	assert.Assert(t, u.most <= 4, "%d connections were open", u.most)
}

// Guards against idle connections that are never checked, that are closed
// although they work, or that are kept for ever.
func TestIdleConnectionsAreProbedAndClosed(t *testing.T) {
	var mu sync.Mutex
	probes := 0
	u := newRaw(t, answers(func(_ int, c net.Conn, r *http.Request) bool {
		mu.Lock()
		if r.URL.Path == "/health" {
			probes++
		}
		mu.Unlock()
		return ok(c, r)
	}))
	rel := newRelay(t, u.l.Addr().String())
	fake := clock.NewFake(1000)
	l := New(Defaults(), fake.Clock())
	l.cfg.ProbeTimeout = 200
	t.Cleanup(l.Stop)
	up := u.upstream()
	up.Address, up.HealthPath = rel.l.Addr().String(), "/health"
	open := func() {
		_, _, err := call(t, l, up, request(t, "GET", "a", ""), long)
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result { return until(idle(l) == 1) })
	}
	open()
	fake.Advance(999)
	l.keep(l.pool("ia"))
	assert.Equal(t, l.Counts().Probes, int64(0))
	for range 8 {
		fake.Advance(clock.Second)
		l.keep(l.pool("ia"))
		poll.WaitOn(t, func(poll.LogT) poll.Result { return until(idle(l) == 1) })
	}
	mu.Lock()
	assert.Equal(t, probes, 8)
	mu.Unlock()
	fake.Advance(1001)
	l.keep(l.pool("ia"))
	assert.Equal(t, l.OpenConnections("ia"), 0)

	open()
	rel.silence()
	fake.Advance(clock.Second)
	l.keep(l.pool("ia"))
	poll.WaitOn(t, func(poll.LogT) poll.Result { return until(l.Counts().ProbesFailed == 1) })
	assert.Equal(t, l.OpenConnections("ia"), 0)
	fake.Advance(forgetAfter)
	l.forget()
	assert.Equal(t, len(l.list()), 0)
}

// Guards against headers of one connection reaching the next.
func TestHopByHopHeaders(t *testing.T) {
	var got http.Header
	u := newRaw(t, answers(func(_ int, c net.Conn, r *http.Request) bool {
		got = r.Header
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: 5\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 1\r\n\r\n")
		return err == nil
	}))
	l := newLink(t)
	r := request(t, "POST", "a", "x")
	for _, h := range []string{"Connection", "Keep-Alive", "Te", "Upgrade", "Proxy-Authorization", "Expect", "X-Hop", "X-End"} {
		r.Header.Set(h, "x-hop")
	}
	resp, _, err := l.Do(t.Context(), u.upstream(), r)
	assert.NilError(t, err)
	assert.Equal(t, len(got), 3, "%v", got) // X-End, the identity and Content-Length.
	assert.Equal(t, got.Get("X-End"), "x-hop")
	assert.Equal(t, resp.Header.Get("X-End"), "1")
	assert.Equal(t, resp.Header.Get("X-Hop")+resp.Header.Get("Keep-Alive"), "")
}

// Guards against a caller that gives up costing more than its connection.
func TestCancelClosesOneConnection(t *testing.T) {
	hang := make(chan struct{})
	u := newRaw(t, func(n int, c net.Conn) {
		if n == 0 {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				<-hang
			}
			return
		}
		answers(func(_ int, c net.Conn, r *http.Request) bool { return ok(c, r) })(n, c)
	})
	defer close(hang)
	l := newLink(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan Result)
	go func() {
		_, res, _ := l.Do(ctx, u.upstream(), request(t, "GET", "<hang>", ""))
		ended <- res
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return until(u.seen("<hang>") == 1) })
	_, _, err := call(t, l, u.upstream(), request(t, "GET", "b", ""), long)
	assert.NilError(t, err)
	cancel()
	res := <-ended
	assert.Assert(t, res.Kind == KindCancelled && !res.NotRun)
	assert.Equal(t, l.OpenConnections("ia"), 1)
}

// Guards against a request that is written after the time of its loan, and
// against connections of a loan that stay open after its return.
func TestEndOfALoan(t *testing.T) {
	u := newRaw(t, answers(func(_ int, c net.Conn, r *http.Request) bool { return ok(c, r) }))
	l := newLink(t)
	up := u.upstream()
	up.WriteDeadline = clock.Real().Now() + clock.Hour
	_, _, err := call(t, l, up, request(t, "POST", "<a>", "x"), long)
	assert.NilError(t, err)
	up.WriteDeadline = clock.Real().Now()
	_, res, err := call(t, l, up, request(t, "POST", "<late>", "x"), long)
	assert.Assert(t, err != nil && res.NotRun, "%+v", res)
	assert.Equal(t, u.seen("<late>"), 0)
	up.WriteDeadline = 0
	_, _, err = call(t, l, up, request(t, "POST", "<b>", "x"), long)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return until(l.Close("ia")) })
	assert.Equal(t, l.OpenConnections("ia"), 0)
}
