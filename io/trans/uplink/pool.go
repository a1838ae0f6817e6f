package uplink

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"camphorridge/core/state/clock"
)

// settleWait bounds the wait for a connection whose response was just read and
// that net/http has not finished with. It takes microseconds as a rule.
const settleWait clock.Millis = 2

// conn is one connection with the transport that speaks HTTP on it.
type conn struct {
	*sealed
	tr          *http.Transport
	pool        *pool
	incarnation uint64
	// alive is the time of the last answer; used that of the last request.
	alive, used clock.Millis
	// settling says that the response ended and net/http is not yet waiting
	// for the next; guarded by pool.mu.
	settling bool
	// probing says that the connection carries a probe; guarded by pool.mu.
	probing bool
	// requests is the number of requests carried.
	requests int
	// echoes says that a response echoed the identity of its request.
	echoes bool
}

// pool holds the connections to one upstream.
type pool struct {
	cfg    Settings
	clk    clock.Clock
	counts *counters

	mu sync.Mutex
	up Upstream
	// open counts all connections, those being opened included; at most
	// up.Connections.
	open int
	// idle is a stack: the connection used last is used next, so that the
	// surplus becomes old and is closed.
	idle []*conn
	// settling is the number of connections with settling set.
	settling int
	// used is the time of the last request; dropped says that the link no
	// longer holds the pool.
	used    clock.Millis
	dropped bool
	// changed is signalled when a connection became idle or was closed.
	changed chan struct{}
}

type counters struct {
	requests, opened, closed, connectFailed, silent, crossed, unsolicited, framing, probes, probesFailed, silentClosed atomic.Int64
}

// step is what to do for a connection.
type step int

const (
	stepUse step = iota
	stepOpen
	stepWait
	stepFull
)

// take returns a connection ready for a request. The error is an *Error of
// kind connect, share or cancelled; nothing was written then.
func (p *pool) take(ctx context.Context, up Upstream, fresh bool) (*conn, error) {
	if err := p.renew(up); err != nil {
		return nil, err
	}
	for mayWait := true; ; mayWait = false {
		c, next := p.next(fresh, mayWait)
		switch next {
		case stepUse:
			return c, nil
		case stepOpen:
			if c != nil {
				_ = c.Close()
			}
			return p.dial(ctx, up)
		case stepFull:
			return nil, fail("take", KindPoolFull, "all %d connections to %s are in use", up.MaxConnections, up.Name)
		case stepWait:
			select {
			case <-p.changed:
			case <-p.clk.After(settleWait):
			case <-ctx.Done():
				return nil, fail("take", KindCancelled, "%w", ctx.Err())
			}
		}
	}
}

// next says what to do for a connection. For stepUse it returns an idle one.
// For stepOpen the new connection is counted; a connection that is returned
// with it must be closed first, to make room.
func (p *pool) next(fresh, mayWait bool) (*conn, step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && !fresh {
		// A connection that cannot begin is closing itself; end counts it.
		if c := p.pop(); c.begin() {
			return c, stepUse
		}
	}
	switch {
	case p.settling > 0 && !fresh && mayWait:
		return nil, stepWait
	case p.open < p.up.MaxConnections:
		p.open++
		return nil, stepOpen
	case fresh && len(p.idle) > 0:
		p.open++
		return p.pop(), stepOpen
	}
	return nil, stepFull
}

func (p *pool) pop() *conn {
	n := len(p.idle) - 1
	c := p.idle[n]
	p.idle[n] = nil
	p.idle = p.idle[:n]
	return c
}

func (p *pool) unreserve() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.signal()
}

func (p *pool) signal() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// renew notes what is known of the upstream now. Connections to an earlier
// process of it are closed. A request for an earlier process is refused: the
// present one may serve another pool.
func (p *pool) renew(up Upstream) error {
	p.mu.Lock()
	p.used = p.clk.Now()
	if up == p.up && !p.dropped {
		p.mu.Unlock()
		return nil
	}
	if p.dropped || up.Incarnation < p.up.Incarnation {
		p.mu.Unlock()
		return fail("take", KindConnect, "the connections to incarnation %d of %s were given up", up.Incarnation, up.Name)
	}
	var old []*conn
	if up.Incarnation != p.up.Incarnation || up.Address != p.up.Address {
		old, p.idle = p.idle, nil
	}
	p.up = up
	p.mu.Unlock()
	closeAll(old)
	return nil
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// dial opens a connection that was counted before.
func (p *pool) dial(ctx context.Context, up Upstream) (*conn, error) {
	d := net.Dialer{Timeout: p.cfg.ConnectTimeout.Duration()}
	raw, err := d.DialContext(ctx, "tcp", up.Address)
	if err != nil {
		p.unreserve()
		if ctx.Err() != nil {
			return nil, fail("connect", KindCancelled, "%w", ctx.Err())
		}
		p.counts.connectFailed.Add(1)
		return nil, fail("connect", KindConnect, "%w", err)
	}
	p.counts.opened.Add(1)
	now := p.clk.Now()
	c := &conn{pool: p, incarnation: up.Incarnation, alive: now, used: now}
	c.sealed = &sealed{Conn: raw, settled: c.rest, ended: c.end}
	c.tr = transport(c.sealed, p.cfg)
	c.begin()
	return c, nil
}

// transport returns a transport that has this one connection and can open no
// other. Its own retries fail therefore before they write anything.
func transport(s *sealed, cfg Settings) *http.Transport {
	var used atomic.Bool
	return &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, errSealed
			}
			return s, nil
		},
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		DisableCompression:     true,
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: cfg.MaxResponseHeaderBytes,
	}
}

// rest makes the connection idle.
func (c *conn) rest() {
	p := c.pool
	now := p.clk.Now()
	p.mu.Lock()
	if c.settling {
		c.settling = false
		p.settling--
	}
	c.alive = now
	if c.probing {
		c.probing = false
	} else {
		c.used = now
	}
	keep := c.incarnation == p.up.Incarnation
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.Close()
		return
	}
	p.signal()
}

// end forgets the connection after it was closed.
func (c *conn) end() {
	p := c.pool
	p.mu.Lock()
	p.open--
	if c.settling {
		c.settling = false
		p.settling--
	}
	for i, o := range p.idle {
		if o == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	p.counts.closed.Add(1)
	if c.unsolicited() {
		p.counts.unsolicited.Add(1)
	}
	// The transport was left with a connection that is gone; it holds nothing
	// else that needs closing.
	p.signal()
}

// finished is called once the response was read to its end.
func (c *conn) finished() {
	p := c.pool
	p.mu.Lock()
	c.settling = true
	p.settling++
	p.mu.Unlock()
	c.finish()
}

// closeIdle closes the connections that showed no life since a time.
func (p *pool) closeIdle(since clock.Millis) int {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.alive <= since {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.mu.Unlock()
	closeAll(old)
	return len(old)
}
