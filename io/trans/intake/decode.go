package intake

import (
	"context"
	"errors"
	"sync"

	"camphorridge/core/state/clock"
)

var errDecoding = errors.New("too many large requests are being decoded")

// Limits of the requests that wait for memory to be decoded.
const (
	maxDecodeWaiters              = 256
	decodeWait       clock.Millis = 2 * clock.Second
	// smallDecodeBytes is the largest amount of memory that is reserved from the part
	// for small requests, so that these do not wait for large ones.
	smallDecodeBytes = 1 << 20
	// freeDecodeBytes is the amount that is not reserved: decoding it takes some tens of
	// microseconds, so that hardly more requests than processors do so at once.
	freeDecodeBytes = 64 << 10
)

// semaphore grants memory in the order of the requests for it.
type semaphore struct {
	capacity int64
	mu       sync.Mutex
	used     int64
	// waiters holds the requests that wait, oldest first: at most maxDecodeWaiters.
	waiters []*waiter
}

// waiter is a request that waits. granted is closed when it has its memory.
type waiter struct {
	bytes   int64
	granted chan struct{}
}

// acquire reserves n bytes, or the whole capacity if that is less. It waits until ctx is
// done or decodeWait has passed, and returns the number of reserved bytes.
func (q *semaphore) acquire(ctx context.Context, clk clock.Clock, n int64) (int64, bool) {
	n = min(n, q.capacity)
	q.mu.Lock()
	if len(q.waiters) == 0 && q.used+n <= q.capacity {
		q.used += n
		q.mu.Unlock()
		return n, true
	}
	if len(q.waiters) >= maxDecodeWaiters {
		q.mu.Unlock()
		return 0, false
	}
	w := &waiter{bytes: n, granted: make(chan struct{})}
	q.waiters = append(q.waiters, w)
	q.mu.Unlock()
	select {
	case <-w.granted:
		return n, true
	case <-ctx.Done():
	case <-clk.After(decodeWait):
	}
	return n, q.abandon(w)
}

// abandon removes a waiter. It returns true if the waiter was granted its memory first.
func (q *semaphore) abandon(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, x := range q.waiters {
		if x == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			q.grant()
			return false
		}
	}
	return true
}

func (q *semaphore) release(n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used -= n
	q.grant()
}

// grant grants the oldest requests that fit. q.mu is held.
func (q *semaphore) grant() {
	for len(q.waiters) > 0 && q.used+q.waiters[0].bytes <= q.capacity {
		w := q.waiters[0]
		q.waiters = q.waiters[1:]
		q.used += w.bytes
		close(w.granted)
	}
}

// Decode reserves memory for decoding a request, and waits for it if necessary. The
// caller must call release once it does not need the memory any more. The error is an
// *Error of KindDecoding.
//
// A nil gate has no limits.
func (g *Gate) Decode(ctx context.Context, bytes int64) (release func(), err error) {
	if g == nil || bytes <= freeDecodeBytes {
		return func() {}, nil
	}
	q := &g.largeDecode
	if bytes <= smallDecodeBytes {
		q = &g.smallDecode
	}
	n, ok := q.acquire(ctx, g.clock, bytes)
	if !ok {
		g.note(KindDecoding)
		return nil, &Error{Op: "decode", Kind: KindDecoding, Err: errDecoding}
	}
	return func() { q.release(n) }, nil
}
