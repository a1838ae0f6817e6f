package uplink

import (
	"context"
	"io"
	"net/http"

	"camphorridge/core/state/clock"
)

// keepEvery is how often idle connections are looked at.
const keepEvery clock.Millis = 250

// Run is the duty that probes and closes idle connections; it returns after
// Stop.
func (l *Client) Run() error {
	for {
		select {
		case <-l.clk.After(keepEvery):
			for _, p := range l.list() {
				l.keep(p)
			}
			l.forget()
		case <-l.done:
			return nil
		}
	}
}

// Stop ends the duty and closes the idle connections. Requests in flight go
// on.
func (l *Client) Stop() {
	l.stop.Do(func() { close(l.done) })
	for _, p := range l.list() {
		p.closeIdle(l.clk.Now())
	}
}

func (l *Client) list() []*pool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	out := make([]*pool, 0, len(l.pools))
	for _, p := range l.pools {
		out = append(out, p)
	}
	return out
}

// forgetAfter is the time without a request after which the record of an
// upstream without connections is dropped.
const forgetAfter = clock.Minute

func (l *Client) forget() {
	now := l.clk.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.pools {
		p.mu.Lock()
		if p.open == 0 && now-p.used >= forgetAfter {
			p.dropped = true
			delete(l.pools, name)
		}
		p.mu.Unlock()
	}
}

// keep closes what was not used for long, and probes what was idle.
func (l *Client) keep(p *pool) {
	now := l.clk.Now()
	var old, due []*conn
	p.mu.Lock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		switch {
		case now-c.used >= l.cfg.IdleTimeout:
			old = append(old, c)
		case p.up.HealthPath != "" && now-c.alive >= l.cfg.ProbeAfterIdle:
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
	closeAll(old)
	for _, c := range due {
		// One short-lived goroutine for each idle connection, so that a silent
		// one does not hold up the others.
		go l.probe(p, c, up)
	}
}

// probe asks for the health path on an idle connection. Any whole response
// shows that the connection works.
func (l *Client) probe(p *pool, c *conn, up Upstream) {
	l.counts.probes.Add(1)
	begun := l.clk.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.cfg.ProbeTimeout.Duration())
	defer cancel()
	if c.begin() && l.answers(ctx, c, up) {
		c.finished()
		return
	}
	c.seal()
	_ = c.Close()
	l.counts.probesFailed.Add(1)
	l.counts.silentClosed.Add(int64(p.closeIdle(begun)))
}

func (l *Client) answers(ctx context.Context, c *conn, up Upstream) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+up.Address+up.HealthPath, nil)
	if err != nil {
		return false
	}
	resp, err := c.tr.RoundTrip(outgoing(ctx, up, req))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if check(req, resp, &c.echoes) != nil {
		return false
	}
	_, err = io.CopyN(io.Discard, resp.Body, l.cfg.MaxResponseHeaderBytes)
	return err == io.EOF
}
