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
// transport does not say whether the request was written or may still be.
// blockWrites does: once it has returned false, no byte of the request is ever
// written.
type guardedConn struct {
	net.Conn
	mu sync.Mutex
	// written is true once a write of the current request has started.
	written bool
	// writesBlocked is true once nothing may be written any more.
	writesBlocked bool
	// pastDeadline reports whether the write deadline of the current request
	// has passed; nil without a deadline.
	pastDeadline func() bool
	// unsolicited is true once bytes arrived while no response was expected:
	// before a request was written, or after its response had ended.
	unsolicited bool
	// reading is true while net/http waits for bytes. Its read buffer is
	// empty then, so no leftover bytes of the last response can be taken for
	// the response to the next request.
	reading bool
	// responseRead is true once the last response was read to its end.
	responseRead bool
	closed       bool
	// onSettled is called once after each response, when responseRead and
	// reading are both true. onClosed is called once, when the connection is
	// closed. Both are called without holding mu.
	onSettled, onClosed func()
}

// beginRequest resets the state for the next request. It returns false if the
// connection cannot carry one.
func (s *guardedConn) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writesBlocked || s.closed || s.unsolicited {
		return false
	}
	s.written, s.responseRead, s.pastDeadline = false, false, nil
	return true
}

// blockWritesWhen blocks the writes of the current request once pastDeadline
// returns true.
func (s *guardedConn) blockWritesWhen(pastDeadline func() bool) {
	s.mu.Lock()
	s.pastDeadline = pastDeadline
	s.mu.Unlock()
}

// markResponseRead records that the response was read to its end.
func (s *guardedConn) markResponseRead() {
	s.mu.Lock()
	s.responseRead = true
	ready := s.reading && !s.writesBlocked && !s.closed
	s.mu.Unlock()
	if ready {
		s.onSettled()
	}
}

// blockWrites blocks further writes and reports whether a byte of the current
// request may have been written.
func (s *guardedConn) blockWrites() (written bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writesBlocked = true
	return s.written
}

// Write implements net.Conn. It fails with errWritesBlocked once writes are
// blocked.
func (s *guardedConn) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.pastDeadline != nil && s.pastDeadline() {
		s.writesBlocked = true
	}
	if s.writesBlocked {
		s.mu.Unlock()
		return 0, errWritesBlocked
	}
	s.written = true
	s.mu.Unlock()
	return s.Conn.Write(p)
}

// Read implements net.Conn. Bytes that arrive while no response is expected
// are dropped with errUnsolicited, and writes are blocked.
func (s *guardedConn) Read(p []byte) (int, error) {
	s.mu.Lock()
	s.reading = true
	ready := s.responseRead && !s.writesBlocked && !s.closed
	s.mu.Unlock()
	if ready {
		s.onSettled()
	}
	n, err := s.Conn.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	if n > 0 && (s.responseRead || !s.written) {
		s.unsolicited, s.writesBlocked = true, true
		return 0, errUnsolicited
	}
	return n, err
}

// Close implements net.Conn.
func (s *guardedConn) Close() error {
	s.mu.Lock()
	first := !s.closed
	s.closed, s.writesBlocked = true, true
	s.mu.Unlock()
	if !first {
		return nil
	}
	err := s.Conn.Close()
	s.onClosed()
	return err
}

// sawUnsolicited reports whether bytes arrived while no response was
// expected.
func (s *guardedConn) sawUnsolicited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unsolicited
}
