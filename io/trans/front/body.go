package front

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"camphorridge/io/trans/intake"
)

// expiredDeadline is a time in the past; setting it as a deadline interrupts a
// blocked read or write.
var expiredDeadline = time.Unix(1, 0)

var errDetached = errors.New("the attempt that sent this body has ended")

// payload is the body of a request: a buffered part and, if the body is larger
// than the buffer, the rest, which is read from the caller's connection.
type payload struct {
	// head is the buffered part, in a pooled buffer.
	head []byte
	// whole is true if head is the whole body; rest is nil then.
	whole bool
	rest  io.Reader
	// restLimit is the number of bytes of rest that may be read.
	restLimit int64
	// size is the size of the body in bytes; -1 for a streamed body without a
	// declared length.
	size int64
}

// readPayload reads the body until it ends or buf is full. A request whose caller
// takes longer than BodyReadTimeout for this part is refused before it holds a slot.
// The rest of a larger body is read while the request is sent to an upstream.
func readPayload(cfg *Settings, w http.ResponseWriter, r *http.Request, buf []byte) (payload, *Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return payload{whole: true}, nil
	}
	timer := time.AfterFunc(cfg.BodyReadTimeout.Duration(), func() {
		_ = http.NewResponseController(w).SetReadDeadline(expiredDeadline)
	})
	n, err := io.ReadFull(r.Body, buf)
	inTime := timer.Stop()
	p := payload{head: buf[:n], size: r.ContentLength}
	switch {
	case errors.Is(err, io.EOF) || (errors.Is(err, io.ErrUnexpectedEOF) && (r.ContentLength < 0 || int64(n) == r.ContentLength)):
		p.whole, p.size = true, int64(n)
	case err != nil:
		// This case also reports a body that is too slow: at the time limit the timer
		// makes the blocked read fail.
		return p, newError("body", KindBody, bodyStatus(err), "the body could not be read: %w", err)
	case !inTime:
		// The buffer became full just when the time limit passed. The connection has
		// an expired read deadline, so the rest could not be read.
		return p, newError("body", KindBody, http.StatusBadRequest, "the body took longer than %d ms", cfg.BodyReadTimeout)
	case int64(n) == r.ContentLength:
		p.whole = true
	default:
		p.rest, p.restLimit = r.Body, cfg.MaxBodyBytes-int64(n)
	}
	return p, nil
}

// bodyStatus returns the status of a response to a request whose body could not be read. A
// body that is too slow or fragmented counts as malformed.
func bodyStatus(err error) int {
	var e *intake.Error
	if errors.As(err, &e) && (e.Kind == intake.KindBudget || e.Kind == intake.KindTooLarge) {
		return e.Status()
	}
	return http.StatusBadRequest
}

// attemptBody is the request body of one attempt. net/http may read it after the
// attempt has returned; detach prevents that, so that the buffer can be reused.
type attemptBody struct {
	mu       sync.Mutex
	head     []byte
	detached bool
	// rest and restLimit are used by one goroutine of net/http at a time.
	rest      io.Reader
	restLimit int64
	// streamed is true once Read has read from rest. The request cannot be
	// retried then, because what was read from rest is not buffered.
	streamed bool
	// rewound is the body returned by rewind; nil before that.
	rewound *attemptBody
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	if b.detached {
		b.mu.Unlock()
		return 0, errDetached
	}
	if len(b.head) > 0 || b.rest == nil {
		n := copy(p, b.head)
		b.head = b.head[n:]
		b.mu.Unlock()
		if n == 0 && len(p) > 0 {
			return 0, io.EOF
		}
		return n, nil
	}
	b.streamed = true
	b.mu.Unlock()
	if b.restLimit <= 0 {
		// A body that continues beyond the limit makes the request fail.
		var one [1]byte
		if n, err := b.rest.Read(one[:]); n == 0 && err != nil {
			return 0, err
		}
		return 0, newError("body", KindBody, http.StatusRequestEntityTooLarge, "the body is too large")
	}
	n, err := b.rest.Read(p[:min(int64(len(p)), b.restLimit)])
	b.restLimit -= int64(n)
	return n, err
}

// Close implements io.Closer.
func (b *attemptBody) Close() error { return nil }

// detach makes later reads fail, so that the buffer can be reused, and reports
// whether Read has already read from rest.
func (b *attemptBody) detach() (streamed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detached = true
	b.head = nil
	if b.rewound != nil {
		b.rewound.detach()
	}
	return b.streamed
}

// rewind returns a body that starts again. head must be the whole body, because
// what is read from rest cannot be read again. The result is a new attemptBody,
// because net/http may still read the previous one.
func (b *attemptBody) rewind(head []byte) *attemptBody {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rewound = &attemptBody{head: head, detached: b.detached}
	return b.rewound
}
