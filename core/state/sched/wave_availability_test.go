package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// newServingFixture returns a fixture with workers w1 and w2 that serve a task
// each of a step of which one may be unavailable, a wave of their machines, and
// the order for m-w1.
func newServingFixture(t *testing.T) (*fixture, Action) {
	f := newFixture(Defaults())
	f.submit("serve", jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1})
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	f.Pass(f.now)
	f.now += f.settings.TakeoverDelayMillis + 100
	f.heartbeatServing("w1", 100)
	f.heartbeatServing("w2", 100)
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1", "m-w2"}, MaxDown: 2, Deadline: 5000}, f.now)
	orders := actionsOf(f.Pass(f.now), ActionMaintain)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Machine, jobs.MachineID("m-w1"))
	return f, orders[0]
}

// heartbeatServing sends a heartbeat of a worker whose tasks are all at the given
// percentage.
func (f *fixture) heartbeatServing(id string, percent int) {
	var running []RunStatus
	for task, r := range f.workers[jobs.WorkerID(id)].runs {
		running = append(running, RunStatus{Task: task, Run: r.number, Percent: percent})
	}
	f.heartbeat(id, 1, running)
}

// TestRefusedRepeatKeepsAvailability guards against a wave that ends two tasks of
// a long-running step although only one may be unavailable: the answer to the
// first order was lost, and the repeated one is refused.
func TestRefusedRepeatKeepsAvailability(t *testing.T) {
	f, order := newServingFixture(t)
	f.HandleOutcome(order, Outcome{Answer: AnswerUnknown}, f.now)
	f.now += maintenanceRetryMillis
	repeated := actionsOf(f.Pass(f.now), ActionMaintain)
	assert.DeepEqual(t, repeated, []Action{order})
	f.HandleOutcome(repeated[0], Outcome{Answer: AnswerRefusedForNow}, f.now)
	f.now += waveCheckPeriodMillis
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 0)
}

// TestNewLeaderKeepsAvailability guards against a new leader that repeats an
// order of the earlier one although another task of the step is unavailable now.
func TestNewLeaderKeepsAvailability(t *testing.T) {
	f, _ := newServingFixture(t)
	next := &fixture{testScheduler: New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now), now: f.now, seq: f.seq}
	next.now += next.settings.TakeoverDelayMillis + 100
	next.heartbeatServing("w1", 100)
	next.heartbeatServing("w2", 50)
	// The task of w2 does not serve, so only m-w2 may go down.
	orders := actionsOf(next.Pass(next.now), ActionMaintain)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Machine, jobs.MachineID("m-w2"))
}

// TestDrainWaitsForOrderInFlight guards against a drained task that is stopped
// while a maintenance order in flight is about to end the only other task that may
// be unavailable.
func TestDrainWaitsForOrderInFlight(t *testing.T) {
	f, order := newServingFixture(t)
	drain := func() []Stop {
		f.seq++
		var running []RunStatus
		for task, r := range f.workers["w2"].runs {
			running = append(running, RunStatus{Task: task, Run: r.number, Percent: 100})
		}
		f.Heartbeat(Heartbeat{
			Worker: "w2", Incarnation: 1, Machine: "m-w2", Pool: "p", Seq: f.seq, Draining: true, Running: running, ReceivedAt: f.now,
			Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000},
		}, f.now)
		f.now += f.settings.MaxReplyDelayMillis
		return ordersFor(f.Pass(f.now), "w2").Stops
	}
	assert.Equal(t, len(drain()), 0)
	f.heartbeat("w3", 1, nil)
	f.HandleOutcome(order, Outcome{Answer: AnswerDone}, f.now)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w3").Starts), 1)
	assert.Equal(t, len(drain()), 0)
	f.heartbeatServing("w3", 100)
	assert.Equal(t, len(drain()), 1)
}

// TestStartingTaskKeepsAvailability guards against ending a task that is at work by now,
// although its worker's latest heartbeat said that it starts, while another task of its
// step is missing.
func TestStartingTaskKeepsAvailability(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("serve", jobs.Step{TaskCount: 3, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1})
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	f.Pass(f.now)
	f.now += f.settings.TakeoverDelayMillis + 100
	f.heartbeatServing("w1", 100)
	f.heartbeatServing("w2", 50)
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w2"}, MaxDown: 1, Deadline: 5000}, f.now)
	// The third task has no worker.
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 0)
}

// TestNewLeaderCountsSilentWorker guards against ending two tasks of a step because the
// order of an earlier leader is carried out late: the worker that it ended is silent, and
// its lease has not expired.
func TestNewLeaderCountsSilentWorker(t *testing.T) {
	f := newExclusionFixture("a")
	f.DeclareWave(jobs.Wave{Number: 2, Machines: []jobs.MachineID{"m-w1"}, MaxDown: 1, Deadline: 5000}, f.now)
	assert.Equal(t, len(f.advance(200, "w1", "w2")), 1)
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w2"}, MaxDown: 1, Deadline: 5000}, f.now)
	f.Pass(f.now)
	next := &fixture{testScheduler: New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now), now: f.now, seq: f.seq}
	next.advance(clock.Second, "w1", "w2")
	next.advance(f.settings.TakeoverDelayMillis-clock.Second-200, "w2")
	for _, order := range next.advance(clock.Second, "w2") {
		assert.Assert(t, order.Machine != "m-w2")
	}
}

// TestSharedMachineKeepsAvailability guards against ending one of the two tasks of a step
// on a machine while the other one is starting, and against a machine that goes down while
// one of them is being stopped and has not started elsewhere.
func TestSharedMachineKeepsAvailability(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("serve", jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1})
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	f.now += f.settings.TakeoverDelayMillis + 100
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1"}, MaxDown: 1, Deadline: 5000}, f.now)
	tasks := sortedTaskIDs(f.workers["w1"].runs)
	f.heartbeat("w1", 1, []RunStatus{{Task: tasks[0], Run: 1, Percent: 100}, {Task: tasks[1], Run: 1, Percent: 50}})
	plan := f.Pass(f.now)
	assert.Equal(t, len(ordersFor(plan, "w1").Stops)+len(actionsOf(plan, ActionMaintain)), 0)
	f.now += waveCheckPeriodMillis
	f.heartbeatServing("w1", 100)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Stops), 1)
	f.now += waveCheckPeriodMillis
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 0)
}

// TestStartingTasksKeepAvailability guards against a wave that ends two tasks of a
// long-running step which have begun to serve since the latest heartbeats.
func TestStartingTasksKeepAvailability(t *testing.T) {
	for _, c := range []struct {
		name      string
		heartbeat func(f *fixture, id string)
	}{
		{"assigned", func(f *fixture, id string) { f.heartbeat(id, 1, nil) }},
		{"starting", func(f *fixture, id string) { f.heartbeatServing(id, 50) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(Defaults())
			f.now += f.settings.TakeoverDelayMillis + 100
			f.submit("serve", jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1})
			f.heartbeat("w1", 1, nil)
			f.heartbeat("w2", 1, nil)
			f.Pass(f.now)
			f.now += waveCheckPeriodMillis
			c.heartbeat(f, "w1")
			c.heartbeat(f, "w2")
			f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1", "m-w2"}, MaxDown: 2, Deadline: 5000}, f.now)
			assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 0)
			f.now += waveCheckPeriodMillis
			f.heartbeatServing("w1", 100)
			f.heartbeatServing("w2", 100)
			assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 1)
		})
	}
}

// TestStalledTasksDelayNoWave guards against a wave that never ends because tasks of a
// long-running step do not begin to serve.
func TestStalledTasksDelayNoWave(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis + 100
	f.submit("serve", jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1})
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	f.Pass(f.now)
	f.heartbeatServing("w1", 0)
	f.heartbeatServing("w2", 0)
	f.now += f.settings.StallMillis + 1
	f.heartbeatServing("w1", 0)
	f.heartbeatServing("w2", 0)
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1", "m-w2"}, MaxDown: 2, Deadline: 5000}, f.now)
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 2)
}

// TestDrainKeepsStartingTask guards against a drain that stops a task which has begun to
// serve since the latest heartbeat, while another one of its step is away.
func TestDrainKeepsStartingTask(t *testing.T) {
	f, order := newServingFixture(t)
	f.HandleOutcome(order, Outcome{Answer: AnswerDone}, f.now)
	task, r := jobs.TaskID{Job: "serve", Index: 1}, f.workers["w2"].runs[jobs.TaskID{Job: "serve", Index: 1}]
	if r == nil {
		task = jobs.TaskID{Job: "serve"}
		r = f.workers["w2"].runs[task]
	}
	f.seq++
	f.Heartbeat(Heartbeat{
		Worker: "w2", Incarnation: 1, Machine: "m-w2", Pool: "p", Seq: f.seq, Draining: true, ReceivedAt: f.now,
		Running: []RunStatus{{Task: task, Run: r.number, Percent: 50}}, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000},
	}, f.now)
	f.now += f.settings.MaxReplyDelayMillis
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w2").Stops), 0)
}

// TestLongRunningTaskAvoidsMachineOfWave guards against a long-running task that a wave
// ends twice, and a wave that has to wait for it twice, because it starts on a machine
// that is still to go down.
func TestLongRunningTaskAvoidsMachineOfWave(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1", "m-w2", "m-w3", "m-w4"}, MaxDown: 1, Deadline: 60_000}, f.now)
	workers := []string{"w1", "w2", "w3", "w4", "w5"}
	for _, id := range workers {
		f.heartbeat(id, 1, nil)
	}
	f.Pass(f.now)
	f.now += 1000
	f.submit("serve", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1})
	for _, id := range workers {
		f.heartbeat(id, 1, nil)
	}
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w5").Starts), 1)
}

// TestTasksLeaveMachineOfWaveTogether guards against a machine that stays up because more
// tasks of a step are on it than may be away, which were stopped one by one, each only
// while no task of the step was away.
func TestTasksLeaveMachineOfWaveTogether(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("serve", jobs.Step{TaskCount: 4, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 2})
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	f.now += f.settings.TakeoverDelayMillis + 100
	f.heartbeatServing("w1", 100)
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1"}, MaxDown: 1, Deadline: 60_000}, f.now)
	stops := 0
	for range 4 {
		f.now += waveCheckPeriodMillis
		plan := f.Pass(f.now)
		assert.Equal(t, len(actionsOf(plan, ActionMaintain)), 0)
		stops += len(ordersFor(plan, "w1").Stops)
	}
	assert.Equal(t, stops, 1, "the other stops go with the reply to the next heartbeat")
	stopping := 0
	for _, r := range f.workers["w1"].runs {
		if r.stopping {
			stopping++
		}
	}
	assert.Equal(t, stopping, 2)
}
