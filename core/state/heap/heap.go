package heap

// Ordered is the constraint on the values of a Heap.
type Ordered[T any] interface {
	// Before reports whether the value must be popped before the argument.
	Before(T) bool
}

// Heap is a binary heap with the smallest value, as defined by Before, at the
// top. The zero value is an empty heap.
type Heap[T Ordered[T]] struct {
	items []T
}

// Len returns the number of values in the heap.
func (h *Heap[T]) Len() int { return len(h.items) }

// Top returns the smallest value; the heap must not be empty.
func (h *Heap[T]) Top() T { return h.items[0] }

// Push adds a value.
func (h *Heap[T]) Push(v T) {
	h.items = append(h.items, v)
	for i := len(h.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.items[i].Before(h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

// Pop removes and returns the smallest value; the heap must not be empty.
func (h *Heap[T]) Pop() T {
	top, last := h.items[0], len(h.items)-1
	h.items[0] = h.items[last]
	h.items = h.items[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if h.items[c].Before(h.items[least]) {
				least = c
			}
		}
		if least == i {
			return top
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}
