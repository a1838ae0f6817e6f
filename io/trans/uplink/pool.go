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

// maxSettleWait bounds the wait for a connection whose response was just read
// but that net/http is not done with yet, which usually takes microseconds.
const maxSettleWait clock.Millis = 2

// conn is one connection, with the http.Transport that uses it.
type conn struct {
	*guardedConn
	tr          *http.Transport
	pool        *pool
	incarnation uint64
	// lastResponse is the time of the last response, including those to
	// probes; lastRequest is the end of the last request other than a probe.
	// Both start as the time at which the connection was opened.
	lastResponse, lastRequest clock.Millis
	// settling is true from the end of a response until net/http waits for
	// the next one; guarded by pool.mu.
	settling bool
	// probing is true while the connection carries a probe; guarded by
	// pool.mu.
	probing bool
	// requests is the number of requests that the connection has carried,
	// without probes.
	requests int
	// echoesID is true once a response echoed the ID of its request.
	echoesID bool
}

// pool holds the connections to one upstream and limits their number.
type pool struct {
	cfg    Settings
	clk    clock.Clock
	counts *counters

	mu sync.Mutex
	up Upstream
	// open is the number of connections, including those being opened; at
	// most up.MaxConnections.
	open int
	// idle is a stack: the connection used last is reused first, so that
	// surplus connections reach the idle timeout and are closed.
	idle []*conn
	// settling is the number of connections with settling set.
	settling int
	// lastRequest is the start of the last request. dropped is true once the
	// client has removed the pool.
	lastRequest clock.Millis
	dropped     bool
	// changed is signalled when a connection becomes idle or is closed.
	changed chan struct{}
}

type counters struct {
	requests, opened, closed, connectFailed, timedOut, mismatched, unsolicited, framing, probes, probesFailed, closedAsUnresponsive atomic.Int64
}

// step is what acquire does next to get a connection.
type step int

const (
	stepUseIdle step = iota
	stepOpen
	stepWait
	stepFull
)

// acquire returns a connection that is ready for a request; a newly opened one
// if newConn is set. The error is an *Error of KindConnect, KindPoolFull or
// KindCancelled, and nothing was written then.
func (p *pool) acquire(ctx context.Context, up Upstream, newConn bool) (*conn, error) {
	if err := p.updateUpstream(up); err != nil {
		return nil, err
	}
	for mayWait := true; ; mayWait = false {
		c, todo := p.nextStep(newConn, mayWait)
		switch todo {
		case stepUseIdle:
			return c, nil
		case stepOpen:
			if c != nil {
				_ = c.Close()
			}
			return p.dial(ctx, up)
		case stepFull:
			return nil, newError("take", KindPoolFull, "all %d connections to %s are in use", up.MaxConnections, up.Name)
		case stepWait:
			select {
			case <-p.changed:
			case <-p.clk.After(maxSettleWait):
			case <-ctx.Done():
				return nil, newError("take", KindCancelled, "%w", ctx.Err())
			}
		}
	}
}

// nextStep decides how to get a connection. With stepUseIdle it returns an idle
// connection. With stepOpen the new connection is already counted in p.open,
// and a connection returned with it must be closed before the new one is
// opened.
func (p *pool) nextStep(newConn, mayWait bool) (*conn, step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && !newConn {
		// A connection that refuses a request is being closed, and
		// handleClosed subtracts it from p.open.
		if c := p.popIdle(); c.beginRequest() {
			return c, stepUseIdle
		}
	}
	switch {
	case p.settling > 0 && !newConn && mayWait:
		return nil, stepWait
	case p.open < p.up.MaxConnections:
		p.open++
		return nil, stepOpen
	case newConn && len(p.idle) > 0:
		p.open++
		return p.popIdle(), stepOpen
	}
	return nil, stepFull
}

func (p *pool) popIdle() *conn {
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

// updateUpstream records the current address and limits of the upstream and the
// time of the request. It closes idle connections to an earlier incarnation or
// address. A request for an earlier incarnation is refused, because the current
// process may serve another pool.
func (p *pool) updateUpstream(up Upstream) error {
	p.mu.Lock()
	p.lastRequest = p.clk.Now()
	if up == p.up && !p.dropped {
		p.mu.Unlock()
		return nil
	}
	if p.dropped || up.Incarnation < p.up.Incarnation {
		p.mu.Unlock()
		return newError("take", KindConnect, "connections to incarnation %d of %s were closed because the upstream restarted or was removed", up.Incarnation, up.Name)
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

// dial opens a connection that is already counted in p.open.
func (p *pool) dial(ctx context.Context, up Upstream) (*conn, error) {
	d := net.Dialer{Timeout: p.cfg.ConnectTimeout.Duration()}
	raw, err := d.DialContext(ctx, "tcp", up.Address)
	if err != nil {
		p.unreserve()
		if ctx.Err() != nil {
			return nil, newError("connect", KindCancelled, "%w", ctx.Err())
		}
		p.counts.connectFailed.Add(1)
		return nil, newError("connect", KindConnect, "%w", err)
	}
	p.counts.opened.Add(1)
	now := p.clk.Now()
	c := &conn{pool: p, incarnation: up.Incarnation, lastResponse: now, lastRequest: now}
	c.guardedConn = &guardedConn{Conn: raw, onSettled: c.handleSettled, onClosed: c.handleClosed}
	c.tr = transport(c.guardedConn, p.cfg)
	c.beginRequest()
	return c, nil
}

// transport returns a transport that uses only this connection and cannot open
// another. A retry by net/http itself therefore fails before anything is
// written.
func transport(s *guardedConn, cfg Settings) *http.Transport {
	var used atomic.Bool
	return &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, errWritesBlocked
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

// handleSettled returns the connection to the idle list after a response, or
// closes it if the upstream has restarted.
func (c *conn) handleSettled() {
	p := c.pool
	now := p.clk.Now()
	p.mu.Lock()
	if c.settling {
		c.settling = false
		p.settling--
	}
	c.lastResponse = now
	if c.probing {
		c.probing = false
	} else {
		c.lastRequest = now
	}
	current := c.incarnation == p.up.Incarnation
	if current {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !current {
		_ = c.Close()
		return
	}
	p.signal()
}

// handleClosed removes a closed connection from the pool.
func (c *conn) handleClosed() {
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
	if c.sawUnsolicited() {
		p.counts.unsolicited.Add(1)
	}
	// The transport needs no closing: it holds nothing but the closed
	// connection.
	p.signal()
}

// finishResponse marks the response as read to its end. The connection becomes
// idle as soon as net/http waits for the next response.
func (c *conn) finishResponse() {
	p := c.pool
	p.mu.Lock()
	c.settling = true
	p.settling++
	p.mu.Unlock()
	c.markResponseRead()
}

// closeIdle closes the idle connections without a response after the given time
// and returns their number.
func (p *pool) closeIdle(since clock.Millis) int {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.lastResponse <= since {
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
