package sched

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// maxIdleMillis is the longest time that a long-running task may wait while a worker
// has room for it.
const maxIdleMillis = 6 * clock.Second

// spreadStep is a long-running step whose two tasks run on different workers. One of
// them may be unavailable.
var spreadStep = jobs.Step{
	TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1,
}

// heartbeatOf sends a heartbeat of a worker of pool p whose long-running tasks serve
// and whose finite tasks are half done. The runs of the given jobs have failed.
func (f *fixture) heartbeatOf(id string, failed ...jobs.ID) {
	w := f.workers[jobs.WorkerID(id)]
	var running []RunStatus
	var ends []RunEnd
	for _, task := range sortedTaskIDs(w.runs) {
		r := w.runs[task]
		switch {
		case slices.Contains(failed, task.Job):
			ends = append(ends, RunEnd{Number: int64(len(ends) + 1), Task: task, Run: r.number, Result: jobs.ResultFailed})
		case r.step.LongRunning:
			running = append(running, RunStatus{Task: task, Run: r.number, Percent: 100})
		default:
			running = append(running, RunStatus{Task: task, Run: r.number, Percent: 50})
		}
	}
	f.heartbeat(id, w.incarnation, running, ends...)
}

// runs returns the number of tasks of a job that are assigned to a worker.
func (f *fixture) runs(job jobs.ID, id string) int {
	n := 0
	for task := range f.workers[jobs.WorkerID(id)].runs {
		if task.Job == job {
			n++
		}
	}
	return n
}

// advance passes the given time, with heartbeats of the workers. It returns the
// maintenance orders, which the platform does not answer.
func (f *fixture) advance(d clock.Millis, ids ...string) []Action {
	var orders []Action
	for end := f.now + d; f.now < end; {
		f.now += 200
		for _, id := range ids {
			f.heartbeatOf(id)
		}
		orders = append(orders, actionsOf(f.Pass(f.now), ActionMaintain)...)
	}
	return orders
}

// newExclusionFixture returns a fixture with workers w1 and w2 on which the tasks of
// the given jobs, two of each, serve.
func newExclusionFixture(ids ...jobs.ID) *fixture {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	for _, id := range ids {
		f.submit(string(id), spreadStep)
	}
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	f.Pass(f.now)
	f.advance(clock.Second, "w1", "w2")
	return f
}

// TestCordonsDoNotBlockEachOther guards against two cordoned machines each of which is
// the only one with room for the missing task of a step that keeps the other one up.
func TestCordonsDoNotBlockEachOther(t *testing.T) {
	f := newExclusionFixture("a", "b")
	f.now += waveCheckPeriodMillis
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1", "m-w2"}, MaxDown: 2, Deadline: 4000}, f.now)
	f.heartbeatOf("w1", "b")
	f.heartbeatOf("w2", "a")
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 0)
	f.advance(maxIdleMillis, "w1", "w2")
	assert.Equal(t, f.runs("a", "w2"), 1)
	assert.Equal(t, f.runs("b", "w1"), 1)
}

// TestCordonYieldsWhileFiniteTasksRun guards against a long-running task that waits for
// as long as finite tasks keep the only machine with room for it from its maintenance.
func TestCordonYieldsWhileFiniteTasksRun(t *testing.T) {
	f := newExclusionFixture("a")
	f.submit("finite", jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 10_000, MemoryMiB: 100}, Estimate: 20_000})
	f.heartbeatOf("w1")
	f.heartbeatOf("w2")
	f.Pass(f.now)
	assert.Equal(t, f.runs("finite", "w2"), 1)
	f.now += waveCheckPeriodMillis
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w2"}, MaxDown: 1, Deadline: 30_000}, f.now)
	f.heartbeatOf("w1")
	f.heartbeatOf("w2", "a")
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 0)
	f.advance(maxIdleMillis, "w1", "w2")
	assert.Equal(t, f.runs("a", "w2"), 1)
}

// TestRefusedRepeatFreesReturnedWorker guards against a worker that gets no tasks after
// it returned from its maintenance, because a repeated order was refused after that.
func TestRefusedRepeatFreesReturnedWorker(t *testing.T) {
	f := newExclusionFixture("a")
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w2"}, MaxDown: 1, Deadline: 30_000}, f.now)
	order := f.advance(200, "w1", "w2")[0]
	f.HandleOutcome(order, Outcome{Answer: AnswerUnknown}, f.now)
	// The first order is carried out, and the repeated ones are refused.
	f.now += 2 * clock.Second
	f.heartbeatOf("w1")
	f.HandleOutcome(actionsOf(f.Pass(f.now), ActionMaintain)[0], Outcome{Answer: AnswerRefusedForNow}, f.now)
	f.heartbeat("w2", 2, nil)
	f.Pass(f.now)
	assert.Equal(t, f.runs("a", "w2"), 1)
	f.now += maintenanceRetryMillis
	f.heartbeatOf("w1")
	f.heartbeatOf("w2")
	f.HandleOutcome(actionsOf(f.Pass(f.now), ActionMaintain)[0], Outcome{Answer: AnswerRefusedForNow}, f.now)
	// Without w1 a task is missing, so the order is not repeated again.
	f.RemoveWorker("w1", 1, f.now)
	f.submit("b", spreadStep)
	assert.Equal(t, len(f.advance(maxIdleMillis, "w2")), 0)
	assert.Equal(t, f.runs("b", "w2"), 1)
}

// TestLateOrderEndsLaterWorker guards against a machine that goes down while a task of
// the same step is away, because an order that was carried out late had ended a worker
// that joined after it was given.
func TestLateOrderEndsLaterWorker(t *testing.T) {
	f := newExclusionFixture("a")
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1", "m-w2", "m-w3"}, MaxDown: 3, Deadline: 1000}, f.now)
	orders := f.advance(200, "w1", "w2")
	assert.Equal(t, len(orders), 2)
	if orders[1].Machine == "m-w3" {
		slices.Reverse(orders)
	}
	assert.Equal(t, orders[0].Machine, jobs.MachineID("m-w3"))
	f.HandleOutcome(orders[0], Outcome{Answer: AnswerRefusedForNow}, f.now)
	late := string(orders[1].Machine[len("m-"):])
	other := map[string]string{"w1": "w2", "w2": "w1"}[late]
	f.heartbeat(late, 2, nil)
	f.Pass(f.now)
	f.heartbeatOf(late)
	f.now += 20
	f.HandleOutcome(orders[1], Outcome{Answer: AnswerDone}, f.now)
	f.now += 100
	f.heartbeatOf(other)
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 0)
}

// TestMoveTimeoutKeepsOrderInFlight guards against tasks that start on a machine whose
// maintenance is ordered, and against counting its tasks as available, because a move of
// the machine that was ordered before has timed out.
func TestMoveTimeoutKeepsOrderInFlight(t *testing.T) {
	f := newExclusionFixture()
	w := f.workers["w2"]
	w.goingDown = true
	f.orderMove("m-w2", 1, &poolLoad{name: "other"}, f.now)
	f.listFleet()
	f.fleet.nextRebalance = f.now + moveTimeoutMillis + 150
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w2"}, MaxDown: 1, Deadline: 30_000}, f.now)
	f.now += moveTimeoutMillis + 100
	f.heartbeatOf("w2")
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 1)
	f.now += 100
	f.Pass(f.now)
	assert.Assert(t, w.goingDown)
}

// listFleet answers the request for the list of machines.
func (f *fixture) listFleet() {
	f.HandleOutcome(Action{Kind: ActionListMachines, RequestedAt: f.fleet.listRequestedAt}, listOf("m-w1", "m-w2"), f.now)
}

// TestVacatingEndsWithoutStandbyPool guards against a worker that gets no tasks because
// it was being vacated when a configuration without a standby pool ended all moves.
func TestVacatingEndsWithoutStandbyPool(t *testing.T) {
	f := newExclusionFixture()
	f.listFleet()
	f.workers["w1"].vacating, f.workers["w2"].vacating = true, true
	config := f.State.Config
	config.Version++
	config.Pools = []jobs.Pool{{Name: "p"}, {Name: "other"}}
	f.Configure(config, f.now)
	f.submit("a", spreadStep)
	f.advance(maxIdleMillis, "w1", "w2")
	assert.Equal(t, f.runs("a", "w1")+f.runs("a", "w2"), 2)
}

// TestVacatingEndsOnCordonedWorker guards against a long-running task that waits for as
// long as the only worker with room for it is cordoned, because the worker was being
// vacated when the cordon began.
func TestVacatingEndsOnCordonedWorker(t *testing.T) {
	f := newExclusionFixture()
	f.listFleet()
	ids := []string{"w1", "w2", "w3", "w4"}
	f.submit("fill", jobs.Step{TaskCount: 4, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, MaxPerWorker: 1, BestEffort: true})
	for _, id := range ids {
		f.heartbeat(id, 1, nil)
	}
	f.Pass(f.now)
	f.Submit(jobs.Job{ID: "wide", Queue: "q2", Pool: "other", MaxAttempts: 2, Target: 60_000, StretchPermille: 1500, Steps: []jobs.Step{
		{TaskCount: 1, Resources: jobs.Resources{MilliCores: 16_000}, Estimate: 1000},
	}}, f.now)
	f.advance(400, ids...)
	assert.Assert(t, f.workers["w1"].vacating)
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1"}, MaxDown: 1, Deadline: 60_000}, f.now)
	f.advance(200, ids...)
	assert.Assert(t, f.workers["w1"].cordoned)
	step := spreadStep
	step.TaskCount = 4
	f.submit("a", step)
	f.advance(maxIdleMillis, ids...)
	assert.Equal(t, f.runs("a", "w1"), 1)
}

// TestQuarantineYieldsAfterTakeover guards against a long-running task that is away for
// the lease of its lost worker and then for the quarantine of the only one with room.
func TestQuarantineYieldsAfterTakeover(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("serve", largeStep)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	f.testScheduler = New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now)
	f.heartbeat("w2", 1, nil)
	f.advance(4*clock.Second, "w2")
	f.workers["w2"].quarantinedUntil = f.now + f.settings.QuarantineMillis
	f.advance(maxIdleMillis-4*clock.Second, "w2")
	assert.Equal(t, f.runs("serve", "w2"), 1)
}

// TestUnansweredMoveEndsWithoutStandbyPool guards against a worker that gets no tasks
// because its move has no answer and a configuration without a standby pool ended all
// moves.
func TestUnansweredMoveEndsWithoutStandbyPool(t *testing.T) {
	f := newExclusionFixture()
	f.listFleet()
	w := f.workers["w2"]
	w.goingDown = true
	f.orderMove("m-w2", 1, &poolLoad{name: "other"}, f.now)
	f.HandleOutcome(Action{Kind: ActionMove, Machine: "m-w2", Pool: "other"}, Outcome{Answer: AnswerUnknown}, f.now)
	config := f.State.Config
	config.Version++
	config.Pools = []jobs.Pool{{Name: "p"}, {Name: "other"}}
	f.Configure(config, f.now)
	f.advance(moveTimeoutMillis+clock.Second, "w1", "w2")
	assert.Assert(t, !w.goingDown)
}

// TestCordonEndsWithWave guards against a worker that gets no tasks after its wave has
// completed, because its machine counted as gone while the worker was cut off.
func TestCordonEndsWithWave(t *testing.T) {
	f := newAbsenceFixture()
	f.list = func() Outcome { return listOf("m-other") }
	f.heartbeat("w1", 1, nil)
	f.run(200)
	assert.Assert(t, f.workers["w1"].cordoned)
	f.run(30 * clock.Second)
	assert.Assert(t, f.completed())
	f.heartbeat("w1", 1, nil)
	f.submit("a", smallStep)
	f.run(clock.Second)
	assert.Equal(t, f.runs("a", "w1"), 1)
}

// TestWavesShareCordon guards against finite tasks that start on a machine that comes
// next in one wave, because another wave with the machine has others before it.
func TestWavesShareCordon(t *testing.T) {
	f := newExclusionFixture()
	// The third task has no worker, so neither machine may go down.
	step := spreadStep
	step.TaskCount = 3
	f.submit("a", step)
	f.advance(clock.Second, "w1", "w2")
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w2"}, MaxDown: 1, Deadline: 60_000}, f.now)
	f.DeclareWave(jobs.Wave{Number: 2, Machines: []jobs.MachineID{"m-w1", "m-w2"}, MaxDown: 1, Deadline: 60_000}, f.now)
	assert.Equal(t, len(f.advance(clock.Second, "w1", "w2")), 0)
	f.submit("late", smallStep)
	f.advance(clock.Second, "w1", "w2")
	assert.Equal(t, f.runs("late", "w1")+f.runs("late", "w2"), 0)
}

// TestOrderInFlightMayEndLaterWorker guards against a machine that goes down while an
// order without an answer may still end a task of the same step, on a worker that joined
// after the order was given.
func TestOrderInFlightMayEndLaterWorker(t *testing.T) {
	f := newExclusionFixture("a")
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1", "m-w2"}, MaxDown: 2, Deadline: 1000}, f.now)
	orders := f.advance(200, "w1", "w2")
	assert.Equal(t, len(orders), 1)
	ordered := string(orders[0].Machine[len("m-"):])
	f.heartbeat(ordered, 2, nil)
	assert.Equal(t, len(f.advance(clock.Second, "w1", "w2")), 0)
	f.HandleOutcome(orders[0], Outcome{Answer: AnswerRefusedForNow}, f.now)
	assert.Assert(t, len(f.advance(2*clock.Second, "w1", "w2")) > 0, "the wave does not go on")
}

// TestWorkerOnAnotherMachine guards against a worker that is dropped because another one
// joined on the machine that it has left.
func TestWorkerOnAnotherMachine(t *testing.T) {
	f := newFixture(Defaults())
	report := func(id, machine string) {
		f.seq++
		f.Heartbeat(Heartbeat{Worker: jobs.WorkerID(id), Incarnation: 1, Machine: jobs.MachineID(machine), Pool: "p", Seq: f.seq, ReceivedAt: f.now}, f.now)
	}
	report("w1", "m-1")
	report("w1", "m-2")
	report("w2", "m-1")
	assert.Equal(t, len(f.workers), 2)
}
