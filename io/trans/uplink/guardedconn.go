package uplink

import (
	"errors"
	"net"
	"sync"
)

var (
	errWritesBlocked = errors.New("writes on the connection are blocked")
	errUnsolicited   = errors.New("upstream sent bytes while no response was expected")
)

// guardedConn is a net.Conn that records whether a byte of the current request
// was written and that can block further writes.
//
// net/http reads and writes in goroutines of its own, so an error from its
// transport does not say whether the request was written or may be written
// later. blockWrites does: once it has returned false, no byte of the request
// was or will be written.
type guardedConn struct {
	net.Conn
	mu sync.Mutex
	// written is true once a write of the current request has started.
	written bool
	// writesBlocked is true once no more bytes may be written.
	writesBlocked bool
	// pastDeadline reports whether the write deadline of the current request
	// has passed; nil without a deadline.
	pastDeadline func() bool
	// unsolicited is true once bytes arrived while no response was expected:
	// before the current request was written, or after the end of its
	// response.
	unsolicited bool
	// reading is true while net/http is in Read. The read buffer of net/http
	// is empty then, so it holds no surplus bytes after the last response that
	// could be taken for the response to the next request.
	reading bool
	// responseRead is true once the response to the current request was read
	// to its end.
	responseRead bool
	closed       bool
	// onReusable is called once after each response, when the connection can carry
	// another request: responseRead and reading are both true, and the connection
	// is neither closed nor blocked for writes. onClosed is called once, when the
	// connection is closed. mu is not held during either call.
	onReusable, onClosed func()
}

// beginRequest resets the state for the next request. It returns false if the
// connection cannot carry another request.
func (g *guardedConn) beginRequest() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.writesBlocked || g.closed || g.unsolicited {
		return false
	}
	g.written, g.responseRead, g.pastDeadline = false, false, nil
	return true
}

// blockWritesWhen makes Write call pastDeadline during the current request. Once
// it returns true, that write and all later ones on the connection fail, so that
// the connection carries no further request.
func (g *guardedConn) blockWritesWhen(pastDeadline func() bool) {
	g.mu.Lock()
	g.pastDeadline = pastDeadline
	g.mu.Unlock()
}

// markResponseRead records that the response was read to its end.
func (g *guardedConn) markResponseRead() {
	g.mu.Lock()
	g.responseRead = true
	ready := g.reading && !g.writesBlocked && !g.closed
	g.mu.Unlock()
	if ready {
		g.onReusable()
	}
}

// blockWrites blocks further writes and reports whether a byte of the current
// request may have been written.
func (g *guardedConn) blockWrites() (written bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writesBlocked = true
	return g.written
}

// Write implements net.Conn. It fails with errWritesBlocked once writes are
// blocked.
func (g *guardedConn) Write(p []byte) (int, error) {
	g.mu.Lock()
	if g.pastDeadline != nil && g.pastDeadline() {
		g.writesBlocked = true
	}
	if g.writesBlocked {
		g.mu.Unlock()
		return 0, errWritesBlocked
	}
	g.written = true
	g.mu.Unlock()
	return g.Conn.Write(p)
}

// Read implements net.Conn. If bytes arrive while no response is expected, it
// discards them, blocks writes and returns errUnsolicited.
func (g *guardedConn) Read(p []byte) (int, error) {
	g.mu.Lock()
	g.reading = true
	ready := g.responseRead && !g.writesBlocked && !g.closed
	g.mu.Unlock()
	if ready {
		g.onReusable()
	}
	n, err := g.Conn.Read(p)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reading = false
	if n > 0 && (g.responseRead || !g.written) {
		g.unsolicited, g.writesBlocked = true, true
		return 0, errUnsolicited
	}
	return n, err
}

// Close implements net.Conn.
func (g *guardedConn) Close() error {
	g.mu.Lock()
	first := !g.closed
	g.closed, g.writesBlocked = true, true
	g.mu.Unlock()
	if !first {
		return nil
	}
	err := g.Conn.Close()
	g.onClosed()
	return err
}

// sawUnsolicited reports whether bytes arrived while no response was
// expected.
func (g *guardedConn) sawUnsolicited() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unsolicited
}
