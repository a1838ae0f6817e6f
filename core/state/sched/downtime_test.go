package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// newWaveFixture returns a fixture with workers w1 and w2 and a wave of their
// machines, one at a time, and the order for the first machine.
func newWaveFixture() (*fixture, Action) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1", "m-w2"}, MaxDown: 1, Deadline: 30_000}, f.now)
	return f, actionsOf(f.Pass(f.now), ActionMaintain)[0]
}

// ordersSecond advances the time and reports whether the maintenance of m-w2 is
// ordered.
func (f *fixture) ordersSecond() bool {
	f.now += waveCheckPeriodMillis
	for _, a := range actionsOf(f.Pass(f.now), ActionMaintain) {
		if a.Machine == "m-w2" {
			return true
		}
	}
	return false
}

// TestJoinBeforeAnswerIsNoReturn guards against more than MaxDown machines
// being down because a worker that joined while the order was in flight, such
// as after a move, counts as back from the maintenance.
func TestJoinBeforeAnswerIsNoReturn(t *testing.T) {
	for _, answer := range []Answer{AnswerDone, AnswerUnknown} {
		f, order := newWaveFixture()
		f.now += 300
		f.heartbeat("w1", 2, nil)
		f.now += 200
		f.HandleOutcome(order, Outcome{Answer: answer}, f.now)
		assert.Assert(t, !f.ordersSecond(), "answer %s", answer)
	}
}

// TestJoinDuringSlowOrderIsNoReturn guards against more than MaxDown machines
// being down because a worker that joined a whole maintenance after the order,
// but before its slow answer, counts as back.
func TestJoinDuringSlowOrderIsNoReturn(t *testing.T) {
	f, order := newWaveFixture()
	f.now += f.settings.MaintenanceMillis + 200
	f.heartbeat("w1", 2, nil)
	f.now += 200
	f.HandleOutcome(order, Outcome{Answer: AnswerDone}, f.now)
	assert.Assert(t, !f.ordersSecond())
}

// TestLateHeartbeatIsNoReturn guards against more than MaxDown machines being
// down because the first heartbeat of a worker that the maintenance ended
// arrives after the answer to the order.
func TestLateHeartbeatIsNoReturn(t *testing.T) {
	for _, answerTime := range []clock.Millis{200, 1800} {
		f, order := newWaveFixture()
		f.now += answerTime
		f.HandleOutcome(order, Outcome{Answer: AnswerDone}, f.now)
		f.now += 300
		f.heartbeat("w1", 2, nil)
		assert.Assert(t, !f.ordersSecond(), "answer after %d ms", answerTime)
	}
}

// TestReturnEndsDowntime guards against a wave that waits for the longest
// downtime although the machine's worker has returned.
func TestReturnEndsDowntime(t *testing.T) {
	f, order := newWaveFixture()
	f.now += 200
	f.heartbeat("w1", 2, nil)
	f.HandleOutcome(order, Outcome{Answer: AnswerDone}, f.now)
	f.now += f.settings.MaintenanceMillis
	assert.Assert(t, !f.ordersSecond())
	f.heartbeat("w1", 3, nil)
	assert.Assert(t, f.ordersSecond())
}

// TestWaveWaitsForMove guards against an order that the platform refuses because
// the machine is being moved, while another machine waits for its place.
func TestWaveWaitsForMove(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.heartbeat("w2", 1, nil)
	f.orderMove("m-w1", 1, &poolLoad{name: "p"}, f.now)
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1", "m-w2"}, MaxDown: 1, Deadline: 30_000}, f.now)
	orders := actionsOf(f.Pass(f.now), ActionMaintain)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Machine, jobs.MachineID("m-w2"))
	f.HandleOutcome(orders[0], Outcome{Answer: AnswerDone}, f.now)
	f.now += 3 * f.settings.MaintenanceMillis
	f.heartbeat("w1", 2, nil)
	f.heartbeat("w2", 2, nil)
	orders = actionsOf(f.Pass(f.now), ActionMaintain)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Machine, jobs.MachineID("m-w1"))
}

// TestReturnedWorkerEndsRepeatedDowntime guards against a worker that gets no tasks,
// and a place in the wave that stays taken, because the order was repeated after the
// worker had already returned from the maintenance.
func TestReturnedWorkerEndsRepeatedDowntime(t *testing.T) {
	f, order := newWaveFixture()
	f.now += 2 * clock.Second
	f.HandleOutcome(order, Outcome{Answer: AnswerUnknown}, f.now)
	f.now += 1500
	f.heartbeat("w1", 2, nil)
	repeated := actionsOf(f.Pass(f.now), ActionMaintain)
	assert.Equal(t, len(repeated), 1)
	f.HandleOutcome(repeated[0], Outcome{Answer: AnswerDone}, f.now)
	for _, delay := range []clock.Millis{maxHeartbeatDelayMillis, 700, 200} {
		// These may be late heartbeats of a worker that the maintenance ended.
		f.now += delay
		f.heartbeat("w1", 2, nil)
		assert.Assert(t, !f.ordersSecond())
	}
	f.now += f.settings.MaintenanceMillis / 10
	f.heartbeat("w1", 2, nil)
	f.heartbeat("w2", 1, nil)
	assert.Assert(t, f.ordersSecond())
	w := f.workers["w1"]
	assert.Assert(t, !w.cordoned && !w.goingDown)
}

// TestBusyReturnedWorkerGetsRepeatedOrder guards against a wave that stands still
// after a lost answer, because the worker that has returned from the maintenance runs
// finite tasks and the order is not repeated meanwhile.
func TestBusyReturnedWorkerGetsRepeatedOrder(t *testing.T) {
	f, order := newWaveFixture()
	f.now += 2 * clock.Second
	f.HandleOutcome(order, Outcome{Answer: AnswerUnknown}, f.now)
	f.submit("a", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000}, Estimate: 60_000})
	f.now += 100
	f.heartbeat("w1", 2, nil)
	f.Pass(f.now)
	assert.Equal(t, len(f.workers["w1"].runs), 1)
	f.now += maintenanceRetryMillis
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 1)
}

// TestRefusalForGoodOfRepeatKeepsDowntime guards against more than MaxDown machines
// being down because the repeated order is refused for good after an earlier one was
// carried out.
func TestRefusalForGoodOfRepeatKeepsDowntime(t *testing.T) {
	f, order := newWaveFixture()
	f.now += 200
	f.HandleOutcome(order, Outcome{Answer: AnswerUnknown}, f.now)
	f.now += maintenanceRetryMillis
	repeated := actionsOf(f.Pass(f.now), ActionMaintain)
	assert.Equal(t, len(repeated), 1)
	f.HandleOutcome(repeated[0], Outcome{Answer: AnswerRefusedForGood}, f.now)
	assert.Assert(t, !f.ordersSecond())
}
