package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// liveIDs returns the live workers of a pool.
func (f *fixture) liveIDs(name jobs.PoolName) map[jobs.WorkerID]jobs.Incarnation {
	out := map[jobs.WorkerID]jobs.Incarnation{}
	for w := range f.liveWorkers(f.pool(name), f.now) {
		out[w.id] = w.incarnation
	}
	return out
}

// TestLiveWorkersOfPool guards against work that is planned for workers that have
// exited, have moved to another pool or are an earlier incarnation, and against
// leaving out one that has come.
func TestLiveWorkersOfPool(t *testing.T) {
	f := newFixture(Defaults())
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		f.heartbeat(id, 1, nil)
	}
	assert.Equal(t, len(f.liveIDs("p")), 4)
	f.RemoveWorker("w1", 1, f.now)
	f.heartbeat("w2", 2, nil)
	f.seq++
	f.Heartbeat(Heartbeat{Worker: "w3", Incarnation: 1, Machine: "m-w3", Pool: "other", Seq: f.seq, ReceivedAt: f.now}, f.now)
	f.Heartbeat(Heartbeat{Worker: "w5", Incarnation: 2, Machine: "m-w4", Pool: "p", Seq: 1, ReceivedAt: f.now}, f.now)
	assert.DeepEqual(t, f.liveIDs("p"), map[jobs.WorkerID]jobs.Incarnation{"w2": 2, "w5": 2})
	assert.DeepEqual(t, f.liveIDs("other"), map[jobs.WorkerID]jobs.Incarnation{"w3": 1})
	f.now += f.maxLease() + 1
	assert.Equal(t, len(f.liveIDs("p")), 0)
}

// TestLongestWaitingJobStartsFirst guards against a long-running task that fails again
// and again and keeps the resources from one of a later job that waits for them.
func TestLongestWaitingJobStartsFirst(t *testing.T) {
	f := newFixture(Defaults())
	step := lastingStep
	step.Resources.MilliCores = 16_000
	f.submit("a", step)
	f.submit("b", step)
	f.heartbeat("w1", 1, nil)
	o := ordersFor(f.Pass(f.now), "w1")
	assert.Equal(t, o.Starts[0].Task.Job, jobs.ID("a"))
	f.now += 2 * clock.Second
	f.heartbeat("w1", 1, nil, endsFor(o, jobs.ResultFailed)...)
	o = ordersFor(f.Pass(f.now), "w1")
	assert.Equal(t, len(o.Starts), 1)
	assert.Equal(t, o.Starts[0].Task.Job, jobs.ID("b"))
}

// countingPolicy counts the ranks that are computed.
type countingPolicy struct {
	EarliestDeadline
	ranks *int
}

func (c countingPolicy) Rank(rec *jobs.Record, occurrence int, now clock.Millis) Rank {
	*c.ranks++
	return c.EarliestDeadline.Rank(rec, occurrence, now)
}

// TestRanksOfBacklogAreKept guards against a leader that spends its processor time on
// a long backlog, in place of heartbeats: only what was submitted or became late is
// ranked.
func TestRanksOfBacklogAreKept(t *testing.T) {
	const backlog = 1000
	ranks := 0
	base := newFixture(Defaults())
	s := New(Defaults(), countingPolicy{ranks: &ranks}, place.PeerComparison{MinScore: 3}, base.State, base.now)
	submit := func(n int, target clock.Millis) {
		s.Submit(jobs.Job{ID: jobs.ID(fmt.Sprint("j", n)), Queue: "q", Pool: "p", MaxAttempts: 1, Target: target, Steps: []jobs.Step{{TaskCount: 1, Estimate: 100, Resources: jobs.Resources{MilliCores: 20_000}}}}, base.now)
	}
	for n := range backlog {
		submit(n, clock.Day)
	}
	submit(backlog, 600)
	ranks = 0
	for i := range 20 {
		base.now += 100
		s.Heartbeat(Heartbeat{
			Worker: "w", Incarnation: 1, Machine: "m", Pool: "p", Seq: int64(i), ReceivedAt: base.now, Capacity: jobs.Resources{MilliCores: 16_000},
		}, base.now)
		s.Pass(base.now)
	}
	p := s.pool("p")
	assert.Equal(t, p.groupByStep[stepKey{job: jobs.ID(fmt.Sprint("j", backlog))}].rank.Class, classLate)
	assert.Assert(t, ranks <= 10, "%d ranks were computed", ranks)
	assert.Equal(t, s.PendingJobs("q"), backlog+1)
	s.Cancel(jobs.CancelKey{Job: "j7"}, base.now)
	assert.Equal(t, s.PendingJobs("q"), backlog)
}
