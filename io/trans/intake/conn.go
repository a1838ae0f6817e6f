package intake

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"camphorridge/core/state/clock"
)

// Class is a class of listeners.
type Class int

// The classes of listeners.
const (
	// Clients are all that are not members of the group.
	Clients Class = iota
	// Members are the processes of the system, and the commands of operators.
	Members
	classCount
)

// connections holds the open connections of a class.
type connections struct {
	// most is the largest number of open connections.
	most int
	mu   sync.Mutex
	open int
	// idle holds the connections that wait for a request, the longest waiting first.
	idle list.List
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// tryOpen counts one more connection. If there are too many, it returns false and the
// connection that has waited longest for a request, or nil if there is none.
func (c *connections) tryOpen() (ok bool, idle *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open < c.most {
		c.open++
		return true, nil
	}
	if e := c.idle.Front(); e != nil {
		idle = e.Value.(*conn)
		c.removeIdle(idle)
	}
	return false, idle
}

// removeIdle takes a connection off the list. c.mu is held.
func (c *connections) removeIdle(x *conn) {
	if x.idle != nil {
		c.idle.Remove(x.idle)
		x.idle = nil
	}
}

// setIdle records whether a connection waits for a request.
func (c *connections) setIdle(x *conn, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeIdle(x)
	if idle {
		x.idle = c.idle.PushBack(x)
	}
}

func (c *connections) closed(x *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeIdle(x)
	c.open--
}

// Listener returns a listener that keeps the number of connections of a class within its
// limit. If there are too many, it closes the one that has waited longest for a request,
// or the new one if none waits.
func (g *Gate) Listener(l net.Listener, c Class) net.Listener {
	return &listener{Listener: l, gate: g, connections: &g.connections[c]}
}

type listener struct {
	net.Listener
	gate        *Gate
	connections *connections
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open() {
			return &conn{Conn: c, gate: l.gate, connections: l.connections}, nil
		}
		l.gate.note(KindConnections)
		_ = c.Close()
	}
}

// open makes room for a new connection and counts it.
func (l *listener) open() bool {
	for {
		ok, idle := l.connections.tryOpen()
		if ok || idle == nil {
			return ok
		}
		l.gate.note(KindIdle)
		_ = idle.Close()
	}
}

// writePiece is the largest number of bytes that a client must take within
// Settings.WriteMillis.
const writePiece = 64 << 10

// conn is a connection that a gate counts. A write fails if the client does not read.
type conn struct {
	net.Conn
	gate        *Gate
	connections *connections
	// idle is the place in the list of idle connections; nil if it is not in it.
	// connections.mu guards it.
	idle      *list.Element
	closeOnce sync.Once
	// received is the number of bytes read.
	received atomic.Int64
	mu       sync.Mutex
	// writeLimit is the deadline that the server has set; zero if there is none.
	writeLimit time.Time
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write writes p in pieces, each of which must be taken in time.
func (c *conn) Write(p []byte) (n int, err error) {
	for len(p) > n && err == nil {
		c.setWriteDeadline()
		var k int
		k, err = c.Conn.Write(p[n:min(n+writePiece, len(p))])
		n += k
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.note(KindWrite)
	}
	return n, err
}

// setWriteDeadline sets the deadline for the next piece.
func (c *conn) setWriteDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := clock.DeadlineAfter(c.gate.settings.WriteMillis)
	if !c.writeLimit.IsZero() && c.writeLimit.Before(d) {
		d = c.writeLimit
	}
	_ = c.Conn.SetWriteDeadline(d)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeLimit = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite closes the sending side, so that a client that still sends can read the
// response that refuses its request.
func (c *conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.connections.closed(c) })
	return err
}

// ConnState follows which connections wait for a request. A server without it cannot make
// room for new connections.
func ConnState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*conn); ok && s != http.StateClosed {
		c.connections.setIdle(c, s == http.StateNew || s == http.StateIdle)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func connContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}
