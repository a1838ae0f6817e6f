package trail_test

import (
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/trail"
)

// TestMergeIsCausal guards against merged events in which an effect precedes its
// cause when the clocks of the processes differ.
func TestMergeIsCausal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "processes")
		hybrids := make([]trail.HybridClock, n)
		clocks := make([]clock.Millis, n)
		for i := range clocks {
			clocks[i] = 1_000_000 + clock.Millis(rapid.IntRange(0, int(trail.MaxClockOffset/4)).Draw(t, "skew"))
		}
		lists := make([][]model.Event, n)
		causes := map[model.Event]model.Event{}
		record := func(p int) model.Event {
			e := model.Event{Process: model.Process(rune('a' + p)), Seq: uint64(len(lists[p]) + 1), Stamp: hybrids[p].Next(clocks[p])}
			lists[p] = append(lists[p], e)
			return e
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			from, to := rapid.IntRange(0, n-1).Draw(t, "from"), rapid.IntRange(0, n-1).Draw(t, "to")
			clocks[from] += clock.Millis(rapid.IntRange(0, 3).Draw(t, "passed"))
			sent := record(from)
			assert.Assert(t, hybrids[to].Observe(sent.Stamp, clocks[to]))
			causes[record(to)] = sent
		}
		position := map[model.Event]int{}
		merged := trail.Merge(append(lists, lists[0])...)
		assert.Equal(t, len(merged), len(slices.Concat(lists...)), "an event of two lists must appear once")
		for i, e := range merged {
			position[e] = i + 1
		}
		for effect, cause := range causes {
			assert.Assert(t, position[cause] > 0 && position[cause] < position[effect], "%v before %v", effect, cause)
		}
		for _, list := range lists {
			for i := 1; i < len(list); i++ {
				assert.Assert(t, position[list[i-1]] < position[list[i]])
			}
		}
	})
}

// TestHybridBounds guards against a machine with a wrong clock that advances the
// stamps of other machines, and against a counter that overflows to 0.
func TestHybridBounds(t *testing.T) {
	var h trail.HybridClock
	assert.Assert(t, !h.Observe(model.Stamp{Wall: 1000 + trail.MaxClockOffset + 1}, 1000))
	assert.Equal(t, h.Rejected, int64(1))
	assert.Equal(t, h.Next(1000), model.Stamp{Wall: 1000})
	full := model.Stamp{Wall: 1000, Count: math.MaxUint32}
	assert.Assert(t, h.Observe(full, 1000))
	assert.Assert(t, full.Less(h.Next(1000)))
	assert.Assert(t, full.Less(h.Next(900)), "stamps must increase when the clock is set back")
}

// TestLogKeepsNewest guards against a log that grows without limit, loses its
// newest events or miscounts the dropped ones.
func TestLogKeepsNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		total := rapid.IntRange(0, 60).Draw(t, "total")
		since := rapid.IntRange(0, 70).Draw(t, "since")
		l := trail.NewLog(capacity)
		for i := range total {
			l.Add(model.Event{Seq: uint64(i + 1)})
		}
		first := max(total-capacity, 0)
		assert.Equal(t, l.Dropped, int64(first))
		limit := rapid.IntRange(0, 30).Draw(t, "limit")
		got := l.Since(uint64(since), limit)
		assert.Equal(t, len(got), min(limit, max(total-max(first, since), 0)))
		for i, e := range got {
			assert.Equal(t, e.Seq, uint64(max(first, since)+i+1))
		}
	})
}

// BenchmarkMerge measures the merge of the events of 20 processes with 5,000
// events each.
func BenchmarkMerge(b *testing.B) {
	lists := make([][]model.Event, 20)
	for p := range lists {
		for i := range 5000 {
			lists[p] = append(lists[p], model.Event{Stamp: model.Stamp{Wall: clock.Millis(i * 3)}, Process: model.Process(rune('a' + p)), Seq: uint64(i)})
		}
	}
	for b.Loop() {
		trail.Merge(lists...)
	}
}
