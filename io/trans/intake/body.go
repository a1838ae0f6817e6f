package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"camphorridge/core/state/clock"
)

// Limits of the bodies of requests.
const (
	// chunkSlack is by how many bytes the framing of a chunked body may exceed its
	// content. 16,384 chunks of one byte use it up.
	chunkSlack = 64 << 10
	// discardTime is how long the rest of a body that was not read may take to arrive.
	// net/http discards up to 256 KiB, so that the connection can be used again.
	discardTime = 2 * clock.Second
	// rearmTime is the minimum time between two settings of a read deadline. Reads of
	// one body that follow each other sooner share a deadline.
	rearmTime = clock.Second / 2
	// firstBufferBytes is the size of the first buffer of a chunked body.
	firstBufferBytes = 4 << 10
)

// body is the body of a request. It reserves memory before the first byte is read, and
// limits the time and the framing of the body. A failed read returns an *Error.
type body struct {
	gate       *Gate
	src        io.ReadCloser
	controller *http.ResponseController
	// conn is nil if the connection does not come from a listener of the gate.
	conn    *conn
	options Options
	// limit is the largest number of bytes, and length the announced number; -1 if none
	// is announced.
	limit, length int64
	// received is the number of bytes of the connection before the body, apart from
	// those of the body that were read with the header.
	received int64
	read     int64
	started  clock.Millis
	armed    clock.Millis
	// decoded is the memory that the decoded form takes beyond the copies of the body.
	decoded  int64
	admitted bool
	err      *Error
	// ended is set once the body was read to its end.
	ended atomic.Bool
	// slowTimer moves a small body that is slow to the large budget.
	slowTimer *time.Timer
	mu        sync.Mutex
	// charge, expelled and released are guarded by mu. expelled is set if a slow body
	// found no room in the large budget, and released once the request is handled.
	charge   charge
	expelled bool
	released bool
}

// cost returns the memory that n bytes of the body take.
func (b *body) cost(n int64) int64 {
	if b.options.HeldBytes > 0 {
		n = min(n, b.options.HeldBytes)
	}
	return n*max(b.options.Copies, 1) + b.decoded
}

// fail records and counts the first error of the body.
func (b *body) fail(e *Error) *Error {
	if b.err == nil {
		b.err = e
		b.gate.note(e.Kind)
	}
	return b.err
}

// admit checks the announced length and reserves memory for it. It does nothing if the
// body was admitted before.
func (b *body) admit() *Error {
	if b.admitted || b.err != nil {
		return b.err
	}
	if b.length > b.limit {
		return b.fail(newError(KindTooLarge, "the body has %d bytes; allowed: at most %d", b.length, b.limit))
	}
	b.started = b.gate.clock.Now()
	if e := b.grow(max(b.length, 0)); e != nil {
		return e
	}
	b.admitted = true
	if b.charge.large == 0 {
		b.slowTimer = time.AfterFunc(SmallTime.Duration(), b.leaveSmall)
	}
	return nil
}

// grow reserves memory for n bytes of the body in all.
func (b *body) grow(n int64) *Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		return b.fail(newError(KindBody, "%w", http.ErrBodyReadAfterClose))
	}
	if !b.charge.grow(b.cost(n)) {
		return b.fail(newError(KindBudget, "too many bytes of other requests are not yet handled"))
	}
	return nil
}

// leaveSmall moves a slow body to the large budget, or expels it if there is no room.
func (b *body) leaveSmall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.released && !b.ended.Load() && b.charge.nominal > 0 && b.charge.large == 0 && !b.charge.move(b.charge.nominal) {
		b.expelled = true
		_ = b.controller.SetReadDeadline(time.Unix(1, 0))
	}
}

// arm sets the deadline of the next read.
func (b *body) arm(now clock.Millis) {
	if b.armed != 0 && now-b.armed < rearmTime {
		return
	}
	b.armed = now
	s := &b.gate.settings
	left := s.ProgressMillis
	if !b.options.Streamed {
		size := max(b.length, b.read)
		total := s.BodyMillis + clock.Millis(size*int64(clock.Second)/s.MinBytesPerSecond)
		left = min(left, b.started+total-now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.expelled && !b.released {
		_ = b.controller.SetReadDeadline(clock.DeadlineAfter(left))
	}
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ended.Load() {
		return 0, io.EOF
	}
	if e := b.admit(); e != nil {
		return 0, e
	}
	if b.length < 0 {
		// One byte beyond the limit shows that the body exceeds it.
		p = p[:min(int64(len(p)), b.limit+1-b.read)]
		if e := b.grow(b.read + int64(len(p))); e != nil {
			return 0, e
		}
	}
	b.arm(b.gate.clock.Now())
	n, err := b.src.Read(p)
	b.read += int64(n)
	switch {
	case b.read > b.limit:
		return 0, b.fail(newError(KindTooLarge, "the body has more than %d bytes", b.limit))
	case err == io.EOF:
		b.finish()
		return n, io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, b.fail(newError(KindTooSlow, "the body arrives too slowly: %d of its bytes have arrived", b.read))
	case err != nil:
		return 0, b.fail(newError(KindBody, "%w", err))
	case b.fragmented():
		return 0, b.fail(newError(KindFragmented, "the framing of the body exceeds its %d bytes of content by more than %d bytes", b.read, chunkSlack))
	}
	return n, nil
}

// fragmented reports whether the framing of the body exceeds its content by more than
// chunkSlack.
func (b *body) fragmented() bool {
	return b.length < 0 && b.conn != nil && b.conn.received.Load()-b.received > 2*b.read+chunkSlack
}

// finish ends the time limits of a body that was read to its end. The server watches the
// connection for its end while the request is handled, so the deadline must not pass.
func (b *body) finish() {
	b.ended.Store(true)
	b.stopTimer()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.released {
		_ = b.controller.SetReadDeadline(time.Time{})
	}
}

func (b *body) stopTimer() {
	if b.slowTimer != nil {
		b.slowTimer.Stop()
	}
}

// release gives back the memory once the request is handled.
func (b *body) release() {
	b.stopTimer()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charge.release()
	b.released = true
	if !b.ended.Load() {
		_ = b.controller.SetReadDeadline(clock.DeadlineAfter(discardTime))
	}
}

// Close implements io.Closer.
func (b *body) Close() error { return b.src.Close() }

// BodyLimits holds the limits of the body of one request.
type BodyLimits struct {
	// MaxBytes is the largest size.
	MaxBytes int64
	// Copies is the number of copies of the body that handling it makes, with the body
	// itself.
	Copies int64
}

// ReadAll reads the body of a request whole. The error is an *Error. Its memory stays
// reserved until the handler of the request returns.
func ReadAll(r *http.Request, limits BodyLimits) ([]byte, error) {
	b, ok := r.Body.(*body)
	if !ok {
		return readUnlimited(r.Body, limits.MaxBytes)
	}
	b.limit, b.options.Copies = min(b.limit, limits.MaxBytes), limits.Copies
	return b.readAll()
}

// readAll reads the body whole.
func (b *body) readAll() ([]byte, error) {
	if e := b.admit(); e != nil {
		return nil, e
	}
	if b.length < 0 {
		return b.readChunked()
	}
	p := make([]byte, b.length)
	if _, err := io.ReadFull(b, p); err != nil {
		return nil, asError(err)
	}
	return p, nil
}

// readChunked reads a body whose length is not known, into buffers that double in size.
func (b *body) readChunked() ([]byte, error) {
	var p []byte
	for {
		if len(p) == cap(p) {
			size := min(max(2*cap(p), firstBufferBytes), int(b.limit)+1)
			if e := b.grow(int64(cap(p) + size)); e != nil {
				return nil, e
			}
			p = append(make([]byte, 0, size), p...)
		}
		n, err := b.Read(p[len(p):cap(p)])
		p = p[:len(p)+n]
		if err == io.EOF {
			return p, nil
		}
		if err != nil {
			return nil, asError(err)
		}
	}
}

// readUnlimited reads a body that no gate limits, such as an empty one.
func readUnlimited(r io.Reader, maxBytes int64) ([]byte, error) {
	p, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, asError(err)
	}
	if int64(len(p)) > maxBytes {
		return nil, newError(KindTooLarge, "the body has more than %d bytes", maxBytes)
	}
	return p, nil
}
