package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// servingStep is a step with one long-running task.
var servingStep = jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1}

// TestRefusedTaskStartsElsewhere guards against a task that one worker refuses
// again and again while another one has room.
func TestRefusedTaskStartsElsewhere(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("a", servingStep)
	number := int64(0)
	for range 5 {
		f.heartbeat("w1", 1, nil)
		f.heartbeat("w2", 1, nil)
		p := f.Pass(f.now)
		if len(ordersFor(p, "w2").Starts) > 0 {
			return
		}
		f.now += 20
		for _, s := range ordersFor(p, "w1").Starts {
			number++
			f.heartbeat("w1", 1, nil, RunEnd{Number: number, Task: s.Task, Run: s.Run, Result: jobs.ResultRefused})
		}
	}
	t.Fatal("the task was never sent to the worker that has not refused it")
}

// TestTaskRefusedByTwoWorkersStartsOnTheThird guards against a task that two
// workers refuse in turn while another one has room.
func TestTaskRefusedByTwoWorkersStartsOnTheThird(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("a", servingStep)
	ends := map[string][]RunEnd{}
	for range 6 {
		for _, id := range []string{"w1", "w2", "w3"} {
			f.heartbeat(id, 1, nil, ends[id]...)
		}
		p := f.Pass(f.now)
		if len(ordersFor(p, "w3").Starts) > 0 {
			return
		}
		f.now += 20
		for _, id := range []string{"w1", "w2"} {
			ends[id] = endsFor(ordersFor(p, id), jobs.ResultRefused)
		}
	}
	t.Fatal("the task was never sent to the worker that has not refused it")
}

// TestFailedTaskOfWaitingStepChangesWorker guards against a failed task that
// goes back to its worker at once because another task of its step has waited
// for long.
func TestFailedTaskOfWaitingStepChangesWorker(t *testing.T) {
	f := newFixture(Defaults())
	step := servingStep
	step.TaskCount, step.MaxPerWorker = 2, 1
	f.submit("a", step)
	f.heartbeat("w1", 1, nil)
	started := ordersFor(f.Pass(f.now), "w1").Starts[0]
	f.now += 2 * clock.Second
	f.heartbeat("w1", 1, nil, RunEnd{Number: 1, Task: started.Task, Run: started.Run, Result: jobs.ResultFailed})
	for _, s := range ordersFor(f.Pass(f.now), "w1").Starts {
		assert.Assert(t, s.Task != started.Task)
	}
}

// TestUnconfirmedStartMovesToAnotherWorker guards against a task that stays
// assigned to a worker that its start order does not reach.
func TestUnconfirmedStartMovesToAnotherWorker(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("a", servingStep)
	f.heartbeat("w1", 1, nil)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Starts), 1)
	for end := f.now + 6*clock.Second; f.now < end; f.now += 500 {
		f.heartbeat("w1", 1, nil)
		f.heartbeat("w2", 1, nil)
		if len(ordersFor(f.Pass(f.now), "w2").Starts) > 0 {
			return
		}
	}
	t.Fatal("the task has not started on the other worker")
}

// TestHiddenEndKeepsTask guards against a second start of a task whose worker
// has completed it but cannot list the end yet.
func TestHiddenEndKeepsTask(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("a", smallStep)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	for end := f.now + 6*clock.Second; f.now < end; f.now += 500 {
		f.seq++
		f.Heartbeat(Heartbeat{
			Worker: "w1", Incarnation: 1, Machine: "m-w1", Pool: "p", Seq: f.seq, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000},
			Draining: true, MoreEnds: true, ReceivedAt: f.now,
		}, f.now)
		f.heartbeat("w2", 1, nil)
		assert.Equal(t, len(ordersFor(f.Pass(f.now), "w2").Starts), 0)
	}
}

// TestRunsOfOneTaskListedTogether guards against resources that stay reserved
// after a heartbeat that lists several unassigned runs of one task.
func TestRunsOfOneTaskListedTogether(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("a", smallStep)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	task := jobs.TaskID{Job: "a"}
	f.heartbeat("w2", 1, []RunStatus{{Task: task, Run: 7}, {Task: task, Run: 8}, {Task: task, Run: 8}})
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w2").Stops), 2)
	f.heartbeat("w2", 1, nil)
	assert.Equal(t, f.workers["w2"].used, jobs.Resources{})
}

// TestEarlyOccurrenceIsQueuedOnce guards against a second start of a task that
// a leader with a faster clock started before it is due by this leader's clock.
func TestEarlyOccurrenceIsQueuedOnce(t *testing.T) {
	f := newFixture(Defaults())
	f.Submit(jobs.Job{ID: "a", Queue: "q", Pool: "p", MaxAttempts: 2, Steps: []jobs.Step{smallStep}, OccurrenceCount: 1, FirstDue: f.now}, f.now)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	f.now -= 500
	f.testScheduler = New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now)
	task := jobs.TaskID{Job: "a"}
	f.heartbeat("w1", 1, nil, RunEnd{Number: 1, Task: task, Run: 1, Result: jobs.ResultStopped})
	f.now += 500
	starts := 0
	for range 5 {
		f.heartbeat("w2", 1, nil)
		f.heartbeat("w3", 1, nil)
		p := f.Pass(f.now)
		starts += len(ordersFor(p, "w1").Starts) + len(ordersFor(p, "w2").Starts) + len(ordersFor(p, "w3").Starts)
		if starts > 0 {
			break
		}
	}
	assert.Equal(t, starts, 1)
}

// TestDoneGangLeavesNoTaskWaiting guards against waiting work that is never
// done: that of a gang's task that ended shortly before the gang was done.
func TestDoneGangLeavesNoTaskWaiting(t *testing.T) {
	f := newFixture(Defaults())
	step := smallStep
	step.TaskCount, step.Gang, step.MaxPerWorker = 2, true, 1
	f.submit("a", step, jobs.Step{TaskCount: 1, Resources: step.Resources, Estimate: 500, DependsOn: []int{0}})
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	p := f.Pass(f.now)
	f.heartbeat("w1", 1, nil, endsFor(ordersFor(p, "w1"), jobs.ResultStopped)...)
	f.heartbeat("w2", 1, nil, endsFor(ordersFor(p, "w2"), jobs.ResultDone)...)
	f.checkConsistency(t.Fatalf)
}

// TestWaitingSiblingStartsFirst guards against a long-running task that never
// starts because others of its step fail and start again in turn.
func TestWaitingSiblingStartsFirst(t *testing.T) {
	f := newFixture(Defaults())
	step := servingStep
	step.TaskCount, step.MaxPerWorker = 2, 1
	f.submit("a", step)
	f.heartbeat("w1", 1, nil)
	first := ordersFor(f.Pass(f.now), "w1").Starts
	f.heartbeat("w1", 1, nil, endsFor(Orders{Starts: first}, jobs.ResultFailed)...)
	next := ordersFor(f.Pass(f.now), "w1").Starts
	assert.Equal(t, len(next), 1)
	assert.Assert(t, next[0].Task != first[0].Task)
}

// TestAvoidedWorkersEndWithTheJob guards against the memory of tasks that were kept off
// a worker when their job was cancelled.
func TestAvoidedWorkersEndWithTheJob(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("a", servingStep)
	f.heartbeat("w1", 1, nil)
	o := ordersFor(f.Pass(f.now), "w1")
	f.now += 100
	f.heartbeat("w1", 1, nil, endsFor(o, jobs.ResultFailed)...)
	assert.Equal(t, len(f.avoided), 1)
	f.Cancel(jobs.CancelKey{Job: "a"}, f.now)
	assert.Equal(t, len(f.avoided), 0)
}
