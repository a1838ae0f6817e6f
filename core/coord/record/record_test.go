package record_test

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/coord/record"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// TestConcurrentRecord guards against losing or reordering events when several
// goroutines record, and against a log that cannot be read after Run has ended.
func TestConcurrentRecord(t *testing.T) {
	r := record.New("e1", 20_000, clock.Real())
	ran := make(chan error, 1)
	go func() { ran <- r.Run() }()
	var wg sync.WaitGroup
	const perGoroutine, total = 2000, 16_000
	for range 8 {
		wg.Go(func() {
			for range perGoroutine {
				r.Record(model.Event{Kind: model.EventRequestRefused})
				r.Observe(r.Next())
			}
		})
	}
	wg.Wait()
	check := func() {
		events, counts := r.Events(0), r.Counts()
		assert.Equal(t, counts.Recorded, int64(total))
		assert.Equal(t, int64(len(events))+counts.Lost, int64(total))
		for i := 1; i < len(events); i++ {
			assert.Assert(t, events[i-1].Seq < events[i].Seq)
			assert.Assert(t, events[i-1].Stamp.Less(events[i].Stamp))
			assert.Equal(t, events[i].Process, model.Process("e1"))
		}
		assert.Equal(t, len(r.Events(total)), 0)
		page := r.Page(events[2].Seq, 3)
		assert.DeepEqual(t, page, events[3:6])
	}
	check()
	r.Stop()
	r.Stop()
	assert.NilError(t, <-ran)
	check()
}

// TestRecordNeverWaits guards against a Record that blocks while Run is not
// running, and against dropped events that are not counted.
func TestRecordNeverWaits(t *testing.T) {
	r := record.New("e1", 4, clock.NewFake(1000).Clock())
	for range 3000 {
		r.Record(model.Event{})
	}
	r.Stop()
	assert.NilError(t, r.Run())
	r.Record(model.Event{})
	counts := r.Counts()
	assert.Equal(t, counts.Recorded, int64(3001))
	assert.Equal(t, len(r.Events(0)), 4)
	assert.Equal(t, counts.Lost+counts.Dropped+4, int64(3001))
	assert.Assert(t, counts.Lost > 1)
}

// BenchmarkRecord measures the cost of Record for the calling goroutine.
func BenchmarkRecord(b *testing.B) {
	r := record.New("e1", 4096, clock.Real())
	ran := make(chan error, 1)
	go func() { ran <- r.Run() }()
	b.ReportAllocs()
	for b.Loop() {
		r.Record(model.Event{Kind: model.EventRequestRefused, Customer: "pomar-alto", Limit: "queue full"})
	}
	r.Stop()
	<-ran
}
