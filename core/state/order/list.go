package order

import (
	"iter"
	"slices"
	"sort"
)

// Item is the constraint on the values of a List.
type Item[T, S any] interface {
	// Before reports whether the value comes before the argument. The order must be
	// total: of two different values in a list, one comes before the other. It must
	// not change while the value is in a list.
	Before(T) bool
	// Summary returns the summary of the value alone. It must not change while the
	// value is in a list.
	Summary() S
}

// Summary is the constraint on what a reader checks before it reads a part of a List.
type Summary[S any] interface {
	// Merge returns the summary of the values of both summaries.
	Merge(S) S
}

// maxChunk is the largest number of values in a chunk.
const maxChunk = 128

// List is a sorted list. The zero value is an empty list. It is not safe for
// concurrent use.
type List[T Item[T, S], S Summary[S]] struct {
	// chunks holds the values in their order; no chunk is empty.
	chunks []chunk[T, S]
	length int
}

// chunk is a part of a list of at most maxChunk values, with their summary.
type chunk[T Item[T, S], S Summary[S]] struct {
	items   []T
	summary S
}

// Len returns the number of values.
func (l *List[T, S]) Len() int { return l.length }

// Insert adds a value that is not in the list.
func (l *List[T, S]) Insert(v T) {
	l.length++
	i := l.chunkOf(v)
	if i == len(l.chunks) {
		if i == 0 {
			l.chunks = append(l.chunks, chunk[T, S]{items: []T{v}, summary: v.Summary()})
			return
		}
		i--
	}
	c := &l.chunks[i]
	c.items = slices.Insert(c.items, c.position(v), v)
	c.summary = c.summary.Merge(v.Summary())
	if len(c.items) > maxChunk {
		second := chunk[T, S]{items: slices.Clone(c.items[maxChunk/2:])}
		clear(c.items[maxChunk/2:])
		c.items = c.items[:maxChunk/2]
		c.summarize()
		second.summarize()
		l.chunks = slices.Insert(l.chunks, i+1, second)
	}
}

// Remove removes a value and reports whether it was in the list.
func (l *List[T, S]) Remove(v T) bool {
	i := l.chunkOf(v)
	if i == len(l.chunks) {
		return false
	}
	c := &l.chunks[i]
	at := c.position(v)
	if v.Before(c.items[at]) {
		return false
	}
	l.length--
	c.items = slices.Delete(c.items, at, at+1)
	if i+1 < len(l.chunks) && len(c.items)+len(l.chunks[i+1].items) <= maxChunk/2 {
		c.items = append(c.items, l.chunks[i+1].items...)
		l.chunks = slices.Delete(l.chunks, i+1, i+2)
	}
	if len(c.items) == 0 {
		l.chunks = slices.Delete(l.chunks, i, i+1)
		return true
	}
	c.summarize()
	return true
}

// All returns the values in their order. The list must not change meanwhile.
func (l *List[T, S]) All() iter.Seq[T] {
	return l.Matching(func(S) bool { return true })
}

// Matching returns the values in their order, without those of the parts whose summary
// does not match. match is called right before a part is read. The list must not
// change meanwhile.
func (l *List[T, S]) Matching(match func(S) bool) iter.Seq[T] {
	return func(yield func(T) bool) {
		for i := range l.chunks {
			if !match(l.chunks[i].summary) {
				continue
			}
			for _, v := range l.chunks[i].items {
				if !yield(v) {
					return
				}
			}
		}
	}
}

// MatchingFrom returns, like Matching, the values from the first one that does not come
// before v, which need not be in the list.
func (l *List[T, S]) MatchingFrom(v T, match func(S) bool) iter.Seq[T] {
	return func(yield func(T) bool) {
		for i := l.chunkOf(v); i < len(l.chunks); i++ {
			if !match(l.chunks[i].summary) {
				continue
			}
			for _, x := range l.chunks[i].items {
				if !x.Before(v) && !yield(x) {
					return
				}
			}
		}
	}
}

// Summary returns the summary of all values; ok is false if the list is empty.
func (l *List[T, S]) Summary() (summary S, ok bool) {
	for i := range l.chunks {
		if i == 0 {
			summary = l.chunks[i].summary
			continue
		}
		summary = summary.Merge(l.chunks[i].summary)
	}
	return summary, len(l.chunks) > 0
}

// chunkOf returns the index of the first chunk whose last value does not come before
// v, or the number of chunks if there is none.
func (l *List[T, S]) chunkOf(v T) int {
	return sort.Search(len(l.chunks), func(i int) bool {
		items := l.chunks[i].items
		return !items[len(items)-1].Before(v)
	})
}

// position returns the index of the first value that does not come before v.
func (c *chunk[T, S]) position(v T) int {
	return sort.Search(len(c.items), func(i int) bool { return !c.items[i].Before(v) })
}

// summarize sets the summary to that of the chunk's values.
func (c *chunk[T, S]) summarize() {
	c.summary = c.items[0].Summary()
	for _, v := range c.items[1:] {
		c.summary = c.summary.Merge(v.Summary())
	}
}
