package order

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// number is a value that is summarized by its smallest value.
type number int

func (n number) Before(o number) bool { return n < o }
func (n number) Summary() least       { return least(-n % 100) }

type least int

func (a least) Merge(b least) least { return min(a, b) }

// TestList guards against values that are lost, kept or out of order after many
// changes, and against a skipped part with a value that matches.
func TestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l List[number, least]
		var want []number
		values := rapid.IntRange(0, 2000)
		for range rapid.IntRange(0, 3000).Draw(t, "changes") {
			n := number(values.Draw(t, "value"))
			i, ok := slices.BinarySearch(want, n)
			if !ok {
				want = slices.Insert(want, i, n)
				l.Insert(n)
				continue
			}
			want = slices.Delete(want, i, i+1)
			assert.Assert(t, l.Remove(n))
			assert.Assert(t, !l.Remove(n))
		}
		assert.Equal(t, l.Len(), len(want))
		assert.Assert(t, slices.Equal(slices.Collect(l.All()), want))
		limit := least(-rapid.IntRange(0, 99).Draw(t, "limit"))
		matches := func(s least) bool { return s <= limit }
		var got, wantMatching []number
		for n := range l.Matching(matches) {
			if matches(n.Summary()) {
				got = append(got, n)
			}
		}
		for _, n := range want {
			if matches(n.Summary()) {
				wantMatching = append(wantMatching, n)
			}
		}
		assert.Assert(t, slices.Equal(got, wantMatching))
		for i := range l.chunks {
			assert.Assert(t, len(l.chunks[i].items) > 0 && len(l.chunks[i].items) <= maxChunk)
		}
	})
}

// TestListFromValue guards against values that are missing or too many when a list is
// read from a value, whether or not it is in the list, and against a wrong summary.
func TestListFromValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l List[number, least]
		all := rapid.SliceOfNDistinct(rapid.IntRange(0, 2000), 0, 500, rapid.ID[int]).Draw(t, "values")
		slices.Sort(all)
		from := number(rapid.IntRange(0, 2000).Draw(t, "from"))
		limit := least(-rapid.IntRange(0, 99).Draw(t, "limit"))
		matches := func(s least) bool { return s <= limit }
		var got, want []number
		smallest := least(0)
		for _, v := range all {
			n := number(v)
			l.Insert(n)
			smallest = min(smallest, n.Summary())
			if n >= from && matches(n.Summary()) {
				want = append(want, n)
			}
		}
		for n := range l.MatchingFrom(from, matches) {
			assert.Assert(t, n >= from)
			if matches(n.Summary()) {
				got = append(got, n)
			}
		}
		assert.Assert(t, slices.Equal(got, want))
		summary, ok := l.Summary()
		assert.Equal(t, ok, len(all) > 0)
		assert.Equal(t, summary, smallest)
	})
}
