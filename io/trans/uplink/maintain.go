package uplink

import (
	"context"
	"io"
	"net/http"

	"camphorridge/core/state/clock"
)

// maintainInterval is the interval between two checks of the idle connections.
const maintainInterval clock.Millis = 250

// Run checks the idle connections every maintainInterval, probes or closes those
// that are due, and drops unused pools. It returns nil after Stop.
func (cl *Client) Run() error {
	for {
		select {
		case <-cl.clk.After(maintainInterval):
			for _, p := range cl.allPools() {
				cl.maintainIdle(p)
			}
			cl.dropUnusedPools()
		case <-cl.done:
			return nil
		}
	}
}

// Stop makes Run return and closes the idle connections. It does not interrupt
// requests in flight.
func (cl *Client) Stop() {
	cl.stopOnce.Do(func() { close(cl.done) })
	for _, p := range cl.allPools() {
		p.closeIdle(cl.clk.Now())
	}
}

func (cl *Client) allPools() []*pool {
	cl.mu.RLock()
	defer cl.mu.RUnlock()
	out := make([]*pool, 0, len(cl.pools))
	for _, p := range cl.pools {
		out = append(out, p)
	}
	return out
}

// dropPoolAfter is the time without a request after which a pool without
// connections is dropped.
const dropPoolAfter = clock.Minute

func (cl *Client) dropUnusedPools() {
	now := cl.clk.Now()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for name, p := range cl.pools {
		p.mu.Lock()
		if p.open == 0 && now-p.lastRequest >= dropPoolAfter {
			p.dropped = true
			delete(cl.pools, name)
		}
		p.mu.Unlock()
	}
}

// maintainIdle closes the idle connections of a pool that have carried no
// request for IdleTimeout. If the upstream has a health path, it probes those of
// the others that have received no response for ProbeAfterIdle.
func (cl *Client) maintainIdle(p *pool) {
	now := cl.clk.Now()
	var expired, due []*conn
	p.mu.Lock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		switch {
		case now-c.lastRequest >= cl.cfg.IdleTimeout:
			expired = append(expired, c)
		case p.up.HealthPath != "" && now-c.lastResponse >= cl.cfg.ProbeAfterIdle:
			c.probing = true
			due = append(due, c)
		default:
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	up := p.up
	p.mu.Unlock()
	closeAll(expired)
	for _, c := range due {
		// Each probe has its own short-lived goroutine, so that an
		// unresponsive connection does not delay the other probes.
		go cl.probe(p, c, up)
	}
}

// probe requests the health path on an idle connection. A complete, valid
// response with a body below MaxResponseHeaderBytes shows that the connection
// works, whatever its status code. Without one, probe closes the connection and all others that have been idle since
// before the probe started.
func (cl *Client) probe(p *pool, c *conn, up Upstream) {
	cl.counts.probes.Add(1)
	started := cl.clk.Now()
	ctx, cancel := context.WithTimeout(context.Background(), cl.cfg.ProbeTimeout.Duration())
	defer cancel()
	if c.beginRequest() && cl.probeSucceeds(ctx, c, up) {
		c.finishResponse()
		return
	}
	c.blockWrites()
	_ = c.Close()
	cl.counts.probesFailed.Add(1)
	cl.counts.closedAsUnresponsive.Add(int64(p.closeIdle(started)))
}

func (cl *Client) probeSucceeds(ctx context.Context, c *conn, up Upstream) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+up.Address+up.HealthPath, nil)
	if err != nil {
		return false
	}
	resp, err := c.transport.RoundTrip(upstreamRequest(ctx, up, req))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if checkResponse(req, resp, &c.echoesID) != nil {
		return false
	}
	_, err = io.CopyN(io.Discard, resp.Body, cl.cfg.MaxResponseHeaderBytes)
	return err == io.EOF
}
