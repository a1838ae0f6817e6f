package uplink

import (
	"errors"
	"net"
	"sync"
)

var (
	errSealed      = errors.New("the connection is sealed")
	errUnsolicited = errors.New("the upstream sent bytes that no request asked for")
)

// sealed is a net.Conn that knows whether a byte of the current request was
// written and can be told to write no more.
//
// net/http decides to read and to write in goroutines of its own, so an error
// from its transport does not tell whether the request went out, now or later.
// The seal does: after seal returned false, no byte of the request is written.
type sealed struct {
	net.Conn
	mu sync.Mutex
	// written says that a write of the current request began.
	written bool
	// shut says that nothing may be written any more.
	shut bool
	// late reports whether the request may no longer be written; nil for no
	// such time.
	late func() bool
	// early says that bytes came before the current request was written.
	early bool
	// reading says that net/http waits for bytes. Its buffer is empty then, so
	// that no left-over of the last response can answer the next request.
	reading bool
	// done says that the last response was read to its end.
	done bool
	// gone says that the connection was closed.
	gone bool
	// settled is called once after each response, when done and reading hold;
	// ended is called once when the connection is closed. Both are called
	// without the lock.
	settled, ended func()
}

// begin prepares for a request. It reports false when the connection cannot
// carry one.
func (s *sealed) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shut || s.gone || s.early {
		return false
	}
	s.written, s.done, s.late = false, false, nil
	return true
}

// until forbids the writes of the current request once late reports true.
func (s *sealed) until(late func() bool) {
	s.mu.Lock()
	s.late = late
	s.mu.Unlock()
}

// finish notes that the response was read to its end.
func (s *sealed) finish() {
	s.mu.Lock()
	s.done = true
	ready := s.reading && !s.shut && !s.gone
	s.mu.Unlock()
	if ready {
		s.settled()
	}
}

// seal forbids further writes and reports whether a byte of the current
// request may have been written.
func (s *sealed) seal() (written bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut = true
	return s.written
}

// Write implements net.Conn.
func (s *sealed) Write(p []byte) (int, error) {
	s.mu.Lock()
	if s.late != nil && s.late() {
		s.shut = true
	}
	if s.shut {
		s.mu.Unlock()
		return 0, errSealed
	}
	s.written = true
	s.mu.Unlock()
	return s.Conn.Write(p)
}

// Read implements net.Conn.
func (s *sealed) Read(p []byte) (int, error) {
	s.mu.Lock()
	s.reading = true
	ready := s.done && !s.shut && !s.gone
	s.mu.Unlock()
	if ready {
		s.settled()
	}
	n, err := s.Conn.Read(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading = false
	if n > 0 && (s.done || !s.written) {
		s.early, s.shut = true, true
		return 0, errUnsolicited
	}
	return n, err
}

// Close implements net.Conn.
func (s *sealed) Close() error {
	s.mu.Lock()
	first := !s.gone
	s.gone, s.shut = true, true
	s.mu.Unlock()
	if !first {
		return nil
	}
	err := s.Conn.Close()
	s.ended()
	return err
}

// unsolicited reports whether bytes came that no request asked for.
func (s *sealed) unsolicited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.early
}
