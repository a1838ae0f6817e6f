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

// maxSettleWait bounds the time for which acquire waits for a connection that is
// settling, which usually takes microseconds; see conn.settling.
const maxSettleWait clock.Millis = 2

// conn is one connection, with the http.Transport that uses it.
type conn struct {
	*guardedConn
	transport   *http.Transport
	pool        *pool
	incarnation uint64
	// lastResponse is the time of the last response, including those to
	// probes; lastRequest is the end of the last request other than a probe.
	// Both start as the time at which the connection was opened.
	lastResponse, lastRequest clock.Millis
	// settling is true from the end of a response until net/http reads from
	// the connection again, when it can carry the next request; guarded by
	// pool.mu.
	settling bool
	// probing is true while the connection carries a probe; guarded by
	// pool.mu.
	probing bool
	// requests is the number of requests that the connection has carried, not
	// counting probes.
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
	// open is the number of connections, including those that are being
	// opened. It exceeds up.MaxConnections only while an idle connection is
	// replaced, or after the limit was lowered.
	open int
	// idle is a stack: the connection used last is reused first, so that
	// surplus connections reach the idle timeout and are closed.
	idle []*conn
	// settling is the number of connections with settling set.
	settling int
	// lastRequest is the start of the last request, or the time at which the pool
	// was created if there was none. dropped is true once the
	// client has removed the pool; acquire refuses all requests then.
	lastRequest clock.Millis
	dropped     bool
	// changed is signalled when a connection becomes idle, is closed, or could
	// not be opened.
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
	stepNoneFree
)

// acquire returns a connection that is ready for a request; a new one if newConn
// is set. On an error, nothing was written; the error is an *Error of
// KindConnect, KindNoFreeConnection or KindCancelled.
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
		case stepNoneFree:
			return nil, newError("take", KindNoFreeConnection, "all %d connections to %s are in use", up.MaxConnections, up.Name)
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
// connection. With stepOpen it has already counted the new connection in p.open;
// if it also returns a connection, that one must be closed before the new one is
// opened.
func (p *pool) nextStep(newConn, mayWait bool) (*conn, step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && !newConn {
		// A connection whose beginRequest returns false is closed or about
		// to be closed, and handleClosed subtracts it from p.open.
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
	return nil, stepNoneFree
}

func (p *pool) popIdle() *conn {
	n := len(p.idle) - 1
	c := p.idle[n]
	p.idle[n] = nil
	p.idle = p.idle[:n]
	return c
}

// unreserve subtracts from p.open a connection that could not be opened.
func (p *pool) unreserve() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.signal()
}

// signal wakes one waiting call of acquire.
func (p *pool) signal() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// updateUpstream records the time of the request and the current address and
// limits of the upstream, and closes idle connections to an earlier incarnation
// or address. It refuses a request for an earlier incarnation, because the
// restarted process may serve another pool of instances, and any request once the
// client has dropped the pool.
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
	var outdated []*conn
	if up.Incarnation != p.up.Incarnation || up.Address != p.up.Address {
		outdated, p.idle = p.idle, nil
	}
	p.up = up
	p.mu.Unlock()
	closeAll(outdated)
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
	c.guardedConn = &guardedConn{Conn: raw, onReusable: c.handleSettled, onClosed: c.handleClosed}
	c.transport = newTransport(c.guardedConn, p.cfg)
	c.beginRequest()
	return c, nil
}

// newTransport returns a transport that uses only connection c and cannot open
// another. A retry by net/http itself therefore fails before anything is
// written.
func newTransport(c *guardedConn, cfg Settings) *http.Transport {
	var used atomic.Bool
	return &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, errWritesBlocked
			}
			return c, nil
		},
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
		DisableCompression:     true,
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: cfg.MaxResponseHeaderBytes,
	}
}

// handleSettled makes the connection idle after a response, or closes it if the
// upstream has restarted since it was opened.
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
	// The transport need not be closed: its only resource is the closed
	// connection.
	p.signal()
}

// finishResponse records that the response was read to its end. The connection
// becomes idle as soon as net/http reads from it again.
func (c *conn) finishResponse() {
	p := c.pool
	p.mu.Lock()
	c.settling = true
	p.settling++
	p.mu.Unlock()
	c.markResponseRead()
}

// closeIdle closes the idle connections whose last response came at the time since
// or earlier, and returns their number.
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
