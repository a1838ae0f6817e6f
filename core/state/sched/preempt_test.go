package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// TestLongFiniteTasksAreStopped guards against a long-running task that waits for
// finite tasks that take longer than it may wait. As little work as possible is
// lost: tasks with checkpoints are stopped first, and only as many as needed.
func TestLongFiniteTasksAreStopped(t *testing.T) {
	n := 0
	b := newBusyPool(t, 2, func() jobs.Step {
		n++
		return jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 4000}, Estimate: 60 * clock.Second, Checkpoints: n%2 == 0}
	})
	b.run(3 * clock.Second)
	b.submit("serve", largeStep)
	b.run(preemptAfterMillis - 100)
	assert.Equal(t, len(b.stopped), 0)
	b.waitFor("serve", 1, runAgainMillis-preemptAfterMillis)
	assert.Equal(t, len(b.stopped), 3)
	for _, step := range b.stopped {
		assert.Assert(t, step.Checkpoints)
	}
	b.run(3 * clock.Second)
	assert.Equal(t, len(b.stopped), 3)
}

// stopping returns the number of runs on a worker that are being stopped.
func (f *fixture) stopping(id string) int {
	n := 0
	for _, r := range f.workers[jobs.WorkerID(id)].runs {
		if r.stopping {
			n++
		}
	}
	return n
}

// TestThrottledTaskIsStopped guards against a long-running task that waits for the
// memory of a best-effort task that makes no progress and seems about to end.
func TestThrottledTaskIsStopped(t *testing.T) {
	for _, percent := range []int{0, 99} {
		f := newFixture(Defaults())
		f.submit("fill", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 24_000}, Estimate: clock.Second, BestEffort: true})
		f.heartbeat("w1", 1, nil)
		f.Pass(f.now)
		f.submit("serve", largeStep)
		for until := f.now + maxIdleMillis; f.now < until; {
			f.now += 200
			f.heartbeat("w1", 1, []RunStatus{{Task: jobs.TaskID{Job: "fill"}, Run: 1, Percent: percent}})
			f.Pass(f.now)
		}
		assert.Equal(t, f.stopping("w1"), 1, "at %d percent", percent)
	}
}

// TestFiniteTasksAreStoppedAfterTakeover guards against a long-running task that is away
// for the lease of its lost worker and, after that, for as long again as other tasks
// wait before finite tasks are stopped for them.
func TestFiniteTasksAreStoppedAfterTakeover(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("serve", largeStep)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	f.submit("finite", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 24_000}, Estimate: 60 * clock.Second})
	f.heartbeat("w2", 1, nil)
	f.Pass(f.now)
	f.testScheduler = New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now)
	f.heartbeat("w2", 1, []RunStatus{{Task: jobs.TaskID{Job: "finite"}, Run: 1}})
	f.Pass(f.now)
	f.advance(maxIdleMillis, "w2")
	assert.Equal(t, f.runs("finite", "w2"), 1)
	assert.Equal(t, f.stopping("w2"), 1)
}

// TestLongRunningTasksAreNotStopped guards against a long-running task that makes
// another one stop, or one that breaks up a gang.
func TestLongRunningTasksAreNotStopped(t *testing.T) {
	b := newBusyPool(t, 1, nil)
	half := largeStep
	half.TaskCount = 2
	b.submit("serve", half)
	b.waitFor("serve", 2, clock.Second)
	gang := jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 5000}, Estimate: 60 * clock.Second, Gang: true, Checkpoints: true}
	b.submit("gang", gang)
	b.waitFor("gang", 2, clock.Second)
	b.submit("watch", largeStep)
	b.run(10 * clock.Second)
	assert.Equal(t, len(b.stopped), 0)
}

// TestOnlyUsefulStops guards against finite tasks that are stopped although the
// long-running task can't start there anyway, because a gang has the rest.
func TestOnlyUsefulStops(t *testing.T) {
	b := newBusyPool(t, 1, nil)
	gang := jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 12_000}, Estimate: 60 * clock.Second, Gang: true, Checkpoints: true}
	b.submit("gang", gang)
	b.submit("finite", jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 3000}, Estimate: 60 * clock.Second})
	b.waitFor("gang", 2, clock.Second)
	b.waitFor("finite", 2, clock.Second)
	b.submit("watch", largeStep)
	b.run(10 * clock.Second)
	assert.Equal(t, len(b.stopped), 0)
}

// TestTasksRunAgainBesideLongFiniteTasks guards against the same failure as
// TestLongRunningTasksRunAgainAfterFaults while finite tasks take much longer than a
// long-running task may wait.
func TestTasksRunAgainBesideLongFiniteTasks(t *testing.T) {
	for seed := range uint64(10) {
		playFaults(t, seed, 40*clock.Second)
	}
}
