package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// endOf is the successful end of a run, as the first end that its worker reports.
func endOf(s Start) RunEnd {
	return RunEnd{Number: 1, Task: s.Task, Run: s.Run, Result: jobs.ResultDone}
}

// expiredFixture returns a fixture in which the lease of the worker w1 has ended while it ran
// the only task of the first step of job a, and the order to start it.
func expiredFixture(t *testing.T) (*fixture, Start) {
	t.Helper()
	f := newFixture(Defaults())
	second := smallStep
	second.DependsOn = []int{0}
	f.submit("a", smallStep, second)
	f.heartbeat("w1", 1, nil)
	o := ordersFor(f.Pass(f.now), "w1")
	assert.Equal(t, len(o.Starts), 1)
	f.now += f.maxLease() + 1
	f.Pass(f.now)
	assert.Equal(t, f.State.Task(o.Starts[0].Task).Phase, jobs.PhaseWaiting)
	return f, o.Starts[0]
}

// TestLateEndCompletesTask guards against a task that is carried out once more although its
// worker, which could not report it in time, has completed it: before and after the task has
// started elsewhere.
func TestLateEndCompletesTask(t *testing.T) {
	f, first := expiredFixture(t)
	f.heartbeat("w1", 1, nil, endOf(first))
	starts := ordersFor(f.Pass(f.now), "w1").Starts
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Task.Step, 1)

	f, first = expiredFixture(t)
	f.heartbeat("w2", 1, nil)
	again := ordersFor(f.Pass(f.now), "w2").Starts
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Task, first.Task)
	f.heartbeat("w2", 1, []RunStatus{{Task: again[0].Task, Run: again[0].Run, Percent: 10}})
	f.heartbeat("w1", 1, nil, endOf(first))
	p := f.Pass(f.now)
	assert.DeepEqual(t, ordersFor(p, "w2").Stops, []Stop{{Task: again[0].Task, Run: again[0].Run}})
	assert.Equal(t, f.State.Task(first.Task).Phase, jobs.PhaseDone)
}

// TestUnknownEndCompletesNothing guards against a task that counts as done because a worker
// reports the end of a run that was never assigned to it.
func TestUnknownEndCompletesNothing(t *testing.T) {
	f, first := expiredFixture(t)
	f.heartbeat("w2", 1, nil, endOf(first))
	f.Pass(f.now)
	assert.Assert(t, f.State.Task(first.Task).Phase != jobs.PhaseDone)
	other := first
	other.Run++
	f.heartbeat("w1", 1, nil, endOf(other))
	f.Pass(f.now)
	assert.Assert(t, f.State.Task(first.Task).Phase != jobs.PhaseDone)
}
