package trail

import (
	"sort"

	"camphorridge/core/state/model"
)

// Window holds the newest values of a sequence, up to a fixed number.
type Window[T any] struct {
	// buf grows up to limit and is circular from then on, with the oldest
	// value at first.
	buf   []T
	first int
	limit int
}

// NewWindow returns a window for limit values; a limit below 1 counts as 1.
func NewWindow[T any](limit int) *Window[T] { return &Window[T]{limit: max(limit, 1)} }

// Add appends v and reports whether the oldest value was dropped for it.
func (w *Window[T]) Add(v T) (dropped bool) {
	if len(w.buf) < w.limit {
		w.buf = append(w.buf, v)
		return false
	}
	w.buf[w.first] = v
	w.first = (w.first + 1) % w.limit
	return true
}

// Len is the number of values held.
func (w *Window[T]) Len() int { return len(w.buf) }

// At returns the value with i older ones before it; i must be below Len.
func (w *Window[T]) At(i int) T { return w.buf[(w.first+i)%len(w.buf)] }

// Log is the bounded event log of one process.
type Log struct {
	events *Window[model.Event]
	// Dropped counts the events that were dropped as the oldest.
	Dropped int64
}

// NewLog returns an empty log for capacity events.
func NewLog(capacity int) *Log {
	return &Log{events: NewWindow[model.Event](capacity)}
}

// Add appends an event; its Seq must be larger than those before.
func (l *Log) Add(e model.Event) {
	if l.events.Add(e) {
		l.Dropped++
	}
}

// Since returns the events whose Seq is above since, oldest first and at most
// limit of them.
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
