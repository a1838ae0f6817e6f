package uplink

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync"

	"camphorridge/core/state/clock"
)

// Client holds the connections to all upstreams, in one pool per upstream.
type Client struct {
	cfg      Settings
	clk      clock.Clock
	counts   counters
	mu       sync.RWMutex
	pools    map[string]*pool
	done     chan struct{}
	stopOnce sync.Once
}

// New returns a client without connections.
func New(cfg Settings, clk clock.Clock) *Client {
	return &Client{cfg: cfg, clk: clk, pools: map[string]*pool{}, done: make(chan struct{})}
}

// Do sends a request to an upstream at most once and returns its response. The
// caller must read the body of the response to its end or close it. If there is
// no response, the error is an *Error, and the Result says whether the request
// may have run.
//
// If an attempt on a reused connection fails with KindClosed before a byte of the
// request was written, Do makes a second attempt on a new connection, provided that
// the request has no body or has GetBody.
func (cl *Client) Do(ctx context.Context, up Upstream, req *http.Request) (*http.Response, Result, error) {
	cl.counts.requests.Add(1)
	p := cl.pool(up.Name)
	canReplay := req.Body == nil || req.Body == http.NoBody || req.GetBody != nil
	resp, res, err := cl.attempt(ctx, p, up, req, false)
	stale := err != nil && res.NotRun && res.Reused && res.Kind == KindClosed
	if !stale || !canReplay || ctx.Err() != nil {
		return resp, res, err
	}
	retry := req
	if req.GetBody != nil {
		body, e := req.GetBody()
		if e != nil {
			return resp, res, err
		}
		retry = req.Clone(ctx)
		retry.Body = body
	}
	return cl.attempt(ctx, p, up, retry, true)
}

func (cl *Client) pool(name string) *pool {
	cl.mu.RLock()
	p := cl.pools[name]
	cl.mu.RUnlock()
	if p != nil {
		return p
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if p = cl.pools[name]; p == nil {
		p = &pool{cfg: cl.cfg, clk: cl.clk, counts: &cl.counts, lastRequest: cl.clk.Now(), changed: make(chan struct{}, 1)}
		cl.pools[name] = p
	}
	return p
}

// attempt sends a request on one connection; on a new one if newConn is set.
func (cl *Client) attempt(ctx context.Context, p *pool, up Upstream, req *http.Request, newConn bool) (*http.Response, Result, error) {
	started := cl.clk.Now()
	c, err := p.acquire(ctx, up, newConn)
	if err != nil {
		kind := KindConnect
		if e := (*Error)(nil); errors.As(err, &e) {
			kind = e.Kind
		}
		return nil, Result{NotRun: true, Kind: kind}, err
	}
	if up.WriteDeadline != 0 {
		c.blockWritesWhen(func() bool { return cl.clk.Now() >= up.WriteDeadline })
	}
	res := Result{Reused: c.requests > 0}
	c.requests++
	resp, err := c.transport.RoundTrip(upstreamRequest(ctx, up, req))
	if err != nil {
		res.BytesWritten = c.blockWrites()
		_ = c.Close()
		res.NotRun = !res.BytesWritten
		res.Kind = cl.handleFailure(ctx, p, started, res.BytesWritten)
		return nil, res, newError("request", res.Kind, "%w", err)
	}
	res.BytesWritten = true
	if e := checkResponse(req, resp, &c.echoesID); e != nil {
		c.blockWrites()
		_ = resp.Body.Close()
		_ = c.Close()
		res.Kind = e.Kind
		cl.countResponseError(e.Kind)
		return nil, res, e
	}
	res.NotRun = resp.Header.Get(HeaderOutcome) == OutcomeNotRun
	dropHopByHop(resp.Header)
	if resp.Body == http.NoBody {
		c.finishResponse()
		return resp, res, nil
	}
	resp.Body = &responseBody{inner: resp.Body, conn: c, client: cl, ctx: ctx, started: started}
	return resp, res, nil
}

// handleFailure returns the kind of a failed request. If the request was written
// but had no complete response at its deadline, handleFailure also counts it and
// closes the connections that have been idle since before the request started: a
// middlebox that dropped its state for one connection has often dropped it for
// all.
func (cl *Client) handleFailure(ctx context.Context, p *pool, started clock.Millis, written bool) Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		if written {
			cl.counts.timedOut.Add(1)
			cl.counts.closedAsUnresponsive.Add(int64(p.closeIdle(started)))
		}
		return KindTimeout
	case ctx.Err() != nil:
		return KindCancelled
	}
	return KindClosed
}

func (cl *Client) countResponseError(k Kind) {
	switch k {
	case KindMismatched:
		cl.counts.mismatched.Add(1)
	case KindFraming:
		cl.counts.framing.Add(1)
	}
}

// checkResponse returns an error if a response must not be forwarded. *echoes
// says whether an earlier response on the connection echoed the ID of its
// request; checkResponse updates it. Once it is true, a response without an ID
// is refused too, because nothing else would distinguish it from a late response
// to another request.
func checkResponse(req *http.Request, resp *http.Response, echoes *bool) *Error {
	if resp.StatusCode < 200 {
		return newError("response", KindFraming, "unexpected status code %d; want a final response (200 or above)", resp.StatusCode)
	}
	id, echo := req.Header.Get(HeaderRequestID), resp.Header.Get(HeaderRequestID)
	if id != "" && echo != id && (echo != "" || *echoes) {
		return newError("response", KindMismatched, "response carries request ID %q, want %q", echo, id)
	}
	*echoes = *echoes || echo != ""
	bodyless := req.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return newError("response", KindFraming, "response has neither a Content-Length nor a chunked encoding")
	}
	return nil
}

// upstreamRequest returns the request to send to the upstream. It has no
// hop-by-hop headers, and no GetBody, so that net/http cannot send the body a
// second time.
func upstreamRequest(ctx context.Context, up Upstream, req *http.Request) *http.Request {
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
		// Keeps net/http from adding its own User-Agent.
		out.Header["User-Agent"] = nil
	}
	return out
}

// Close closes the idle connections to the named upstream; connections that carry
// a request stay open. It returns true, and drops the upstream's pool, if no
// connection is left open.
func (cl *Client) Close(name string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p := cl.pools[name]
	if p == nil {
		return true
	}
	p.closeIdle(cl.clk.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open > 0 {
		return false
	}
	p.dropped = true
	delete(cl.pools, name)
	return true
}

// Counts returns the counters.
func (cl *Client) Counts() Counts {
	c := &cl.counts
	return Counts{
		Requests: c.requests.Load(), Opened: c.opened.Load(), Closed: c.closed.Load(),
		ConnectFailed: c.connectFailed.Load(), TimedOut: c.timedOut.Load(), Mismatched: c.mismatched.Load(),
		Unsolicited: c.unsolicited.Load(), Framing: c.framing.Load(), Probes: c.probes.Load(),
		ProbesFailed: c.probesFailed.Load(), ClosedAsUnresponsive: c.closedAsUnresponsive.Load(),
	}
}

// OpenConnections returns the number of connections to an upstream, including those
// that are being opened.
func (cl *Client) OpenConnections(name string) int {
	cl.mu.RLock()
	p := cl.pools[name]
	cl.mu.RUnlock()
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
