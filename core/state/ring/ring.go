package ring

import "sync/atomic"

// Ring is a bounded first-in, first-out queue of values. TryPut never blocks; a
// reader receives from C. It is safe for concurrent use.
type Ring[T any] struct {
	// ch has a fixed capacity of at least 1 and is never closed: readers use
	// their own done channel to stop.
	ch chan T
	// refused counts the values that TryPut refused; it never decreases.
	refused atomic.Int64
}

// New returns a Ring with a capacity of n values. A value of n below 1 means 1.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{ch: make(chan T, max(n, 1))}
}

// TryPut adds v without blocking. If the ring is full, it counts the refusal and
// returns false.
func (r *Ring[T]) TryPut(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// PutWait adds v, blocking while the ring is full, and returns true. It returns
// false if done is closed first. It is for values that must not be refused, such
// as the end of a request.
func (r *Ring[T]) PutWait(v T, done <-chan struct{}) bool {
	select {
	case r.ch <- v:
		return true
	case <-done:
		return false
	}
}

// C returns the channel from which readers receive the values.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Refused returns the number of values that TryPut refused.
func (r *Ring[T]) Refused() int64 { return r.refused.Load() }

// Drain appends queued values to buf without blocking, until the ring is empty
// or buf has n values, and returns buf.
func (r *Ring[T]) Drain(buf []T, n int) []T {
	for len(buf) < n {
		select {
		case v := <-r.ch:
			buf = append(buf, v)
		default:
			return buf
		}
	}
	return buf
}
