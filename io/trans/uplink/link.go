package uplink

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync"

	"camphorridge/core/state/clock"
)

// Client holds the connections to all upstreams.
type Client struct {
	cfg    Settings
	clk    clock.Clock
	counts counters
	mu     sync.RWMutex
	pools  map[string]*pool
	done   chan struct{}
	stop   sync.Once
}

// New returns a client without connections.
func New(cfg Settings, clk clock.Clock) *Client {
	return &Client{cfg: cfg, clk: clk, pools: map[string]*pool{}, done: make(chan struct{})}
}

// Do sends a request to an upstream, at most once, and returns its response.
// The body of the response must be read to its end or closed. Without a
// response the error is an *Error, and the result says what may have happened.
//
// When a connection used before turns out to be closed and no byte was
// written, a fresh one is tried once, for requests without a body or with
// GetBody.
func (l *Client) Do(ctx context.Context, up Upstream, req *http.Request) (*http.Response, Result, error) {
	l.counts.requests.Add(1)
	p := l.pool(up.Name)
	replay := req.Body == nil || req.Body == http.NoBody || req.GetBody != nil
	resp, res, err := l.try(ctx, p, up, req, false)
	stale := err != nil && res.NotRun && res.Reused && res.Kind == KindClosed
	if !stale || !replay || ctx.Err() != nil {
		return resp, res, err
	}
	again := req
	if req.GetBody != nil {
		body, e := req.GetBody()
		if e != nil {
			return resp, res, err
		}
		again = req.Clone(ctx)
		again.Body = body
	}
	return l.try(ctx, p, up, again, true)
}

func (l *Client) pool(name string) *pool {
	l.mu.RLock()
	p := l.pools[name]
	l.mu.RUnlock()
	if p != nil {
		return p
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p = l.pools[name]; p == nil {
		p = &pool{cfg: l.cfg, clk: l.clk, counts: &l.counts, used: l.clk.Now(), changed: make(chan struct{}, 1)}
		l.pools[name] = p
	}
	return p
}

// try sends a request on one connection.
func (l *Client) try(ctx context.Context, p *pool, up Upstream, req *http.Request, fresh bool) (*http.Response, Result, error) {
	begun := l.clk.Now()
	c, err := p.take(ctx, up, fresh)
	if err != nil {
		kind := KindConnect
		if e := (*Error)(nil); errors.As(err, &e) {
			kind = e.Kind
		}
		return nil, Result{NotRun: true, Kind: kind}, err
	}
	if up.WriteDeadline != 0 {
		c.until(func() bool { return l.clk.Now() >= up.WriteDeadline })
	}
	res := Result{Reused: c.requests > 0}
	c.requests++
	resp, err := c.tr.RoundTrip(outgoing(ctx, up, req))
	if err != nil {
		res.BytesWritten = c.seal()
		_ = c.Close()
		res.NotRun = !res.BytesWritten
		res.Kind = l.failure(ctx, p, begun, res.BytesWritten)
		return nil, res, fail("request", res.Kind, "%w", err)
	}
	res.BytesWritten = true
	if e := check(req, resp, &c.echoes); e != nil {
		c.seal()
		_ = resp.Body.Close()
		_ = c.Close()
		res.Kind = e.Kind
		l.count(e.Kind)
		return nil, res, e
	}
	res.NotRun = resp.Header.Get(HeaderOutcome) == OutcomeNotRun
	dropHopByHop(resp.Header)
	if resp.Body == http.NoBody {
		c.finished()
		return resp, res, nil
	}
	resp.Body = &body{inner: resp.Body, conn: c, link: l, ctx: ctx, begun: begun}
	return resp, res, nil
}

// failure classifies a failed request. A request that was silent until its
// deadline closes the connections that were idle since before it, because a
// middlebox that forgot one connection has often forgotten them all.
func (l *Client) failure(ctx context.Context, p *pool, begun clock.Millis, written bool) Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		if written {
			l.counts.silent.Add(1)
			l.counts.silentClosed.Add(int64(p.closeIdle(begun)))
		}
		return KindTimeout
	case ctx.Err() != nil:
		return KindCancelled
	}
	return KindClosed
}

func (l *Client) count(k Kind) {
	switch k {
	case KindMismatched:
		l.counts.crossed.Add(1)
	case KindFraming:
		l.counts.framing.Add(1)
	}
}

// check returns why a response cannot be passed on; nil when it can. echoes says
// whether the connection's responses so far echoed the identity of their
// request: one without it is then taken for a late answer to another request,
// which nothing else would tell from the right one.
func check(req *http.Request, resp *http.Response, echoes *bool) *Error {
	if resp.StatusCode < 200 {
		return fail("response", KindFraming, "unexpected status %d", resp.StatusCode)
	}
	id, echo := req.Header.Get(HeaderRequestID), resp.Header.Get(HeaderRequestID)
	if id != "" && echo != id && (echo != "" || *echoes) {
		return fail("response", KindMismatched, "it answers request %q, not %q", echo, id)
	}
	*echoes = *echoes || echo != ""
	bodyless := req.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return fail("response", KindFraming, "it has neither a length nor chunks")
	}
	return nil
}

// outgoing returns the request as it goes to the upstream: without hop-by-hop
// headers, and without GetBody, so that net/http cannot send the body again.
func outgoing(ctx context.Context, up Upstream, req *http.Request) *http.Request {
	out := (&http.Request{
		Method:        req.Method,
		URL:           &url.URL{Scheme: "http", Host: up.Address, Path: req.URL.Path, RawPath: req.URL.RawPath, RawQuery: req.URL.RawQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        req.Header.Clone(),
		Host:          req.Host,
		Body:          req.Body,
		ContentLength: req.ContentLength,
	}).WithContext(ctx)
	if out.Header == nil {
		out.Header = http.Header{}
	}
	if out.Host == "" {
		out.Host = up.Address
	}
	dropHopByHop(out.Header)
	out.Header.Del("Expect")
	if _, ok := out.Header["User-Agent"]; !ok {
		// net/http would add its own name.
		out.Header["User-Agent"] = nil
	}
	return out
}

// Close closes the idle connections of an upstream for which no request is
// under way, and reports whether none is left open.
func (l *Client) Close(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[name]
	if p == nil {
		return true
	}
	p.closeIdle(l.clk.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > 0 {
		return false
	}
	p.dropped = true
	delete(l.pools, name)
	return true
}

// Counts returns the counters.
func (l *Client) Counts() Counts {
	c := &l.counts
	return Counts{
		Requests: c.requests.Load(), Opened: c.opened.Load(), Closed: c.closed.Load(),
		ConnectFailed: c.connectFailed.Load(), TimedOut: c.silent.Load(), Mismatched: c.crossed.Load(),
		Unsolicited: c.unsolicited.Load(), Framing: c.framing.Load(), Probes: c.probes.Load(),
		ProbesFailed: c.probesFailed.Load(), ClosedAsUnresponsive: c.silentClosed.Load(),
	}
}

// Open returns the number of open connections to an upstream.
func (l *Client) OpenConnections(name string) int {
	l.mu.RLock()
	p := l.pools[name]
	l.mu.RUnlock()
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
