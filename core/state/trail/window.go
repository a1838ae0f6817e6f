package trail

import (
	"sort"

	"camphorridge/core/state/model"
)

// Window is a circular buffer of the newest values of a sequence.
type Window[T any] struct {
	// buf grows up to limit and is then circular, with the oldest value at index
	// first.
	buf   []T
	first int
	limit int
}

// NewWindow returns a Window for limit values. A limit below 1 means 1.
func NewWindow[T any](limit int) *Window[T] { return &Window[T]{limit: max(limit, 1)} }

// Add appends v and reports whether the oldest value was dropped to make space.
func (w *Window[T]) Add(v T) (dropped bool) {
	if len(w.buf) < w.limit {
		w.buf = append(w.buf, v)
		return false
	}
	w.buf[w.first] = v
	w.first = (w.first + 1) % w.limit
	return true
}

// Len returns the number of values in the window.
func (w *Window[T]) Len() int { return len(w.buf) }

// At returns the value at position i, counted from the oldest; i must be below
// Len.
func (w *Window[T]) At(i int) T { return w.buf[(w.first+i)%len(w.buf)] }

// Log is the bounded event log of one process.
type Log struct {
	events *Window[model.Event]
	// Dropped counts the events that were dropped to make space for newer ones.
	Dropped int64
}

// NewLog returns an empty Log for capacity events. A capacity below 1 means 1.
func NewLog(capacity int) *Log {
	return &Log{events: NewWindow[model.Event](capacity)}
}

// Add appends an event. Its Seq must be larger than that of all events before.
func (l *Log) Add(e model.Event) {
	if l.events.Add(e) {
		l.Dropped++
	}
}

// Since returns at most limit events whose Seq is above since, starting with the
// oldest.
func (l *Log) Since(since uint64, limit int) []model.Event {
	n := l.events.Len()
	i := sort.Search(n, func(i int) bool { return l.events.At(i).Seq > since })
	n = i + min(n-i, max(limit, 0))
	out := make([]model.Event, 0, n-i)
	for ; i < n; i++ {
		out = append(out, l.events.At(i))
	}
	return out
}
