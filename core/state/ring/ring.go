package ring

import "sync/atomic"

// Ring is a bounded queue of T. Put never waits; a reader blocks on C.
type Ring[T any] struct {
	// ch has a fixed capacity, at least 1, and is never closed: readers stop
	// by their own done channel.
	ch chan T
	// refused counts the values that Put turned away; it only grows.
	refused atomic.Int64
}

// New returns a ring for n values; n below 1 counts as 1.
func New[T any](n int) *Ring[T] {
	return &Ring[T]{ch: make(chan T, max(n, 1))}
}

// TryPut adds v, or returns false and counts the refusal when the ring is full.
func (r *Ring[T]) TryPut(v T) bool {
	select {
	case r.ch <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// PutWait adds v and waits for room until done is closed. It is for values
// that must not be refused, such as the end of a request.
func (r *Ring[T]) PutWait(v T, done <-chan struct{}) bool {
	select {
	case r.ch <- v:
		return true
	case <-done:
		return false
	}
}

// C is the reader's side.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len is the number of values that wait.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Refused is the number of values that Put turned away.
func (r *Ring[T]) Refused() int64 { return r.refused.Load() }

// Drain moves up to n waiting values into buf without waiting.
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
