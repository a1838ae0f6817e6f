package front

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// past is a deadline that has passed at any time; setting it ends a read or
// write that waits.
var past = time.Unix(1, 0)

var errDetached = errors.New("the request has ended")

// payload is the body of a request: a buffered part and, when it is larger
// than the buffer, the rest in the caller's connection.
type payload struct {
	// head is the buffered part, in a pooled buffer.
	head []byte
	// whole says that head is the whole body.
	whole bool
	rest  io.Reader
	// limit is the number of bytes of rest that may still be read.
	limit int64
	size  int64
}

// readPayload reads the body up to the size of the buffer. A caller that
// sends slowly is cut off after the bound, before it holds any slot.
func readPayload(cfg *Settings, w http.ResponseWriter, r *http.Request, buf []byte) (payload, *Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return payload{whole: true}, nil
	}
	slow := time.AfterFunc(cfg.BodyReadTimeout.Duration(), func() {
		_ = http.NewResponseController(w).SetReadDeadline(past)
	})
	n, err := io.ReadFull(r.Body, buf)
	intime := slow.Stop()
	p := payload{head: buf[:n], size: r.ContentLength}
	switch {
	case errors.Is(err, io.EOF) || (errors.Is(err, io.ErrUnexpectedEOF) && (r.ContentLength < 0 || int64(n) == r.ContentLength)):
		p.whole, p.size = true, int64(n)
	case err != nil:
		return p, fail("body", KindBody, http.StatusBadRequest, "the body could not be read: %w", err)
	case !intime:
		return p, fail("body", KindBody, http.StatusBadRequest, "the body took longer than %d ms", cfg.BodyReadTimeout)
	case int64(n) == r.ContentLength:
		p.whole = true
	default:
		p.rest, p.limit = r.Body, cfg.MaxBodyBytes-int64(n)
	}
	return p, nil
}

// outbound is the body of one try. net/http may read it after the try has
// returned; detach ends that, so that the buffer can be used again.
type outbound struct {
	mu       sync.Mutex
	head     []byte
	detached bool
	// rest and limit are used by one goroutine of net/http at a time.
	rest  io.Reader
	limit int64
	// streamed says that a byte of rest was asked for; a retry is then no
	// longer possible.
	streamed bool
	// second is the body after a rewind; nil without one.
	second *outbound
}

// Read implements io.Reader.
func (o *outbound) Read(p []byte) (int, error) {
	o.mu.Lock()
	if o.detached {
		o.mu.Unlock()
		return 0, errDetached
	}
	if len(o.head) > 0 || o.rest == nil {
		n := copy(p, o.head)
		o.head = o.head[n:]
		o.mu.Unlock()
		if n == 0 && len(p) > 0 {
			return 0, io.EOF
		}
		return n, nil
	}
	o.streamed = true
	o.mu.Unlock()
	if o.limit <= 0 {
		// One byte more than allowed fails the request.
		var one [1]byte
		if n, err := o.rest.Read(one[:]); n == 0 && err != nil {
			return 0, err
		}
		return 0, fail("body", KindBody, http.StatusRequestEntityTooLarge, "the body is too large")
	}
	n, err := o.rest.Read(p[:min(int64(len(p)), o.limit)])
	o.limit -= int64(n)
	return n, err
}

// Close implements io.Closer.
func (o *outbound) Close() error { return nil }

// detach ends the use of the buffered part.
func (o *outbound) detach() (streamed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.detached = true
	o.head = nil
	if o.second != nil {
		o.second.detach()
	}
	return o.streamed
}

// rewind returns a body that starts again with the buffered part. It is a new
// one, because net/http may still read the body of the try before.
func (o *outbound) rewind(head []byte) *outbound {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.second = &outbound{head: head, detached: o.detached}
	return o.second
}
