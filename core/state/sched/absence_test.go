package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// absenceFixture is a scheduler with wave 1 of the machine m-w1, and a platform
// that answers its actions.
type absenceFixture struct {
	*fixture
	// list returns the list of machines, and order the answer to a maintenance
	// order.
	list  func() Outcome
	order Answer
	// lists counts the lists that were requested.
	lists int
}

func newAbsenceFixture() *absenceFixture {
	f := &absenceFixture{fixture: newFixture(Defaults()), order: AnswerRefusedForNow}
	f.now += f.settings.TakeoverDelayMillis
	f.declare("m-w1")
	return f
}

func (f *absenceFixture) declare(machines ...jobs.MachineID) {
	f.DeclareWave(jobs.Wave{Number: len(f.State.Waves) + 1, Machines: machines, MaxDown: 1, Deadline: 60_000}, f.now)
}

// run passes the given time and answers the actions.
func (f *absenceFixture) run(d clock.Millis) {
	for end := f.now + d; f.now < end; f.now += 100 {
		for _, a := range f.Pass(f.now).Actions {
			switch a.Kind {
			case ActionMaintain:
				f.HandleOutcome(a, Outcome{Answer: f.order}, f.now)
			case ActionListMachines:
				f.lists++
				f.HandleOutcome(a, f.list(), f.now)
			}
		}
	}
}

func (f *absenceFixture) completed() bool { return f.State.Waves[1].Completed() }

// listOf returns a complete list of available machines.
func listOf(ids ...jobs.MachineID) Outcome {
	var o Outcome
	for _, id := range ids {
		o.Machines = append(o.Machines, Machine{ID: id, Pool: "p", Available: true})
	}
	return o
}

func incomplete(o Outcome) Outcome {
	o.Incomplete = true
	return o
}

// TestMachineMissingFromOneListStays guards against a wave that completes
// because one list lacks a machine that stays: it changed its page while the
// pages were read.
func TestMachineMissingFromOneListStays(t *testing.T) {
	f := newAbsenceFixture()
	f.list = func() Outcome {
		if f.lists == 1 {
			return listOf("m-other")
		}
		return listOf("m-other", "m-w1")
	}
	f.run(50 * clock.Second)
	assert.Assert(t, f.lists > 1)
	assert.Assert(t, !f.completed())
}

// TestIncompleteListIsNoProof guards against a wave that completes because the
// entry of a machine that stays can't be decoded, also if orders for the machine
// are refused for good.
func TestIncompleteListIsNoProof(t *testing.T) {
	for _, answer := range []Answer{AnswerRefusedForNow, AnswerRefusedForGood} {
		f := newAbsenceFixture()
		f.order = answer
		f.list = func() Outcome { return incomplete(listOf("m-other")) }
		f.run(50 * clock.Second)
		assert.Assert(t, f.lists > 1)
		assert.Assert(t, !f.completed(), "answer %s", answer)
	}
}

// TestListWithoutLiveMachinesIsNoProof guards against a wave that completes
// because the platform's lists lack a page: machines whose workers send
// heartbeats are missing too.
func TestListWithoutLiveMachinesIsNoProof(t *testing.T) {
	f := newAbsenceFixture()
	f.list = func() Outcome { return listOf("m-other") }
	for range 200 {
		f.heartbeat("w2", 1, nil)
		f.run(200)
	}
	assert.Assert(t, f.lists > 1)
	assert.Assert(t, !f.completed())
}

// TestRefusedMachineInListStays guards against a wave that completes because
// the platform refuses the order for a machine that its list names.
func TestRefusedMachineInListStays(t *testing.T) {
	f := newAbsenceFixture()
	f.order = AnswerRefusedForGood
	f.list = func() Outcome { return listOf("m-other", "m-w1") }
	f.run(20 * clock.Second)
	assert.Assert(t, !f.completed())
	f.order = AnswerDone
	f.run(5 * clock.Second)
	assert.Assert(t, f.completed())
}

// TestRefusedOrderIsNoProof guards against a wave that completes because of one
// refused order while no list of machines can be read.
func TestRefusedOrderIsNoProof(t *testing.T) {
	f := newAbsenceFixture()
	f.order = AnswerRefusedForGood
	f.list = func() Outcome { return Outcome{Answer: AnswerUnknown} }
	f.run(20 * clock.Second)
	assert.Assert(t, !f.completed())
}

// TestRefusalInOneWaveSparesOthers guards against two waves that name the same
// machine: the refusal of one order, "not of that wave", completes neither while
// the machine is listed.
func TestRefusalInOneWaveSparesOthers(t *testing.T) {
	f := newAbsenceFixture()
	f.declare("m-w1")
	f.order = AnswerRefusedForGood
	f.list = func() Outcome { return listOf("m-w1") }
	f.run(20 * clock.Second)
	assert.Assert(t, !f.completed())
	assert.Assert(t, !f.State.Waves[2].Completed())
}

// TestHeartbeatEndsAbsence guards against a wave that completes although the
// machine's worker sent a heartbeat between two lists without the machine.
func TestHeartbeatEndsAbsence(t *testing.T) {
	for _, exits := range []bool{false, true} {
		f := newAbsenceFixture()
		f.list = func() Outcome { return listOf("m-other") }
		for f.lists == 0 {
			f.run(100)
		}
		f.run(clock.Second)
		f.heartbeat("w1", 1, nil)
		if exits {
			f.RemoveWorker("w1", 1, f.now)
		}
		for f.lists == 1 {
			f.run(100)
		}
		f.run(clock.Second)
		assert.Assert(t, !f.completed(), "exits: %v", exits)
	}
}

// TestHeartbeatDuringListEndsAbsence guards against a list without a machine that
// counts although the machine's worker, which is draining, sent a heartbeat while the
// list was read.
func TestHeartbeatDuringListEndsAbsence(t *testing.T) {
	f := newAbsenceFixture()
	f.list = func() Outcome {
		f.heartbeat("w1", 1, nil)
		f.workers["w1"].draining = true
		return listOf("m-other")
	}
	for f.lists == 0 {
		f.run(100)
	}
	assert.Assert(t, f.absences["m-w1"] == nil)
}

// TestListsCloseTogetherCountOnce guards against a machine that counts as gone
// because two lists lack it that were read during one maintenance or one change of
// its page.
func TestListsCloseTogetherCountOnce(t *testing.T) {
	f := newAbsenceFixture()
	for _, wait := range []clock.Millis{0, 200, absenceMillis - 201} {
		f.now += wait
		f.requestMachineList(f.now)
		list := actionsOf(f.Pass(f.now), ActionListMachines)
		assert.Equal(t, len(list), 1)
		f.HandleOutcome(list[0], listOf("m-other"), f.now)
		assert.Assert(t, !f.absences["m-w1"].proven())
	}
}

// TestListOfEarlierSchedulerIsNoProof guards against a wave that completes
// because a scheduler gets a list that an earlier one requested, together with
// its own.
func TestListOfEarlierSchedulerIsNoProof(t *testing.T) {
	f := newAbsenceFixture()
	requested := Action{Kind: ActionListMachines, RequestedAt: f.now}
	f.now += 10 * clock.Second
	next := New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now)
	for range 2 {
		next.HandleOutcome(requested, listOf("m-other"), f.now)
		f.now += f.settings.TakeoverDelayMillis + absenceMillis
		next.Pass(f.now)
	}
	assert.Assert(t, !next.State.Waves[1].Completed())
}

// TestAbsentMachinesEndTheWait guards against a wave that never completes
// because a machine of it was taken away, and against needless lists.
func TestAbsentMachinesEndTheWait(t *testing.T) {
	for name, change := range map[string]func(*absenceFixture){
		"refused for now":              func(*absenceFixture) {},
		"refused for good":             func(f *absenceFixture) { f.order = AnswerRefusedForGood },
		"no standby pool and no moves": func(f *absenceFixture) { f.settings.BacklogTargetMillis = 0 },
		"its worker was heard before":  func(f *absenceFixture) { f.heartbeat("w1", 1, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newAbsenceFixture()
			f.list = func() Outcome { return listOf("m-other") }
			change(f)
			f.run(12 * clock.Second)
			assert.Assert(t, f.completed())
			assert.Assert(t, f.lists <= 4, "%d lists", f.lists)
		})
	}
}

// TestWorkerOnAnotherMachineIsNoProof guards against a wave that never completes
// because the worker of a machine that is gone names another machine now.
func TestWorkerOnAnotherMachineIsNoProof(t *testing.T) {
	f := newAbsenceFixture()
	f.list = func() Outcome { return listOf("m-other") }
	f.heartbeat("w1", 1, nil)
	for range 60 {
		f.seq++
		f.Heartbeat(Heartbeat{Worker: "w1", Incarnation: 1, Machine: "m-other", Pool: "p", Seq: f.seq, ReceivedAt: f.now}, f.now)
		f.run(200)
	}
	assert.Assert(t, f.completed())
}

// TestReturnedMachineIsMaintained guards against a machine that counts as gone
// while other machines of its wave still wait, and then returns.
func TestReturnedMachineIsMaintained(t *testing.T) {
	f := newAbsenceFixture()
	f.declare("m-w1", "m-w2")
	f.heartbeat("w2", 1, nil)
	f.submit("a", smallStep)
	f.list = func() Outcome { return listOf("m-w2") }
	f.run(12 * clock.Second)
	assert.Assert(t, !f.State.Waves[2].Started["m-w1"])
}

// TestAbsenceIsCheckedAgainAtTheEnd guards against a wave that completes on old
// evidence: a machine without a worker was missing from two lists and is listed again
// when the last other machine of the wave is maintained.
func TestAbsenceIsCheckedAgainAtTheEnd(t *testing.T) {
	f := newAbsenceFixture()
	f.settings.BacklogTargetMillis = 0
	f.declare("m-off", "m-w2")
	f.list = func() Outcome { return listOf("m-w1", "m-w2") }
	f.run(12 * clock.Second)
	assert.Assert(t, f.absences["m-off"].proven())
	f.list = func() Outcome { return listOf("m-w1", "m-w2", "m-off") }
	f.order = AnswerDone
	maintained := false
	for end := f.now + 30*clock.Second; f.now < end && !maintained; f.now += 100 {
		for _, a := range f.Pass(f.now).Actions {
			maintained = maintained || (a.Kind == ActionMaintain && a.Machine == "m-off")
			switch a.Kind {
			case ActionMaintain:
				f.HandleOutcome(a, Outcome{Answer: AnswerDone}, f.now)
			case ActionListMachines:
				f.HandleOutcome(a, f.list(), f.now)
			}
		}
	}
	assert.Assert(t, maintained, "wave 2 completed: %v", f.State.Waves[2].Completed())
}

// TestGoneMachinesDoNotHoldUpTheWave guards against a wave that falls behind
// because refused orders for machines that are gone count as machines that are
// down, and against an order for such a machine after a list lacks it.
func TestGoneMachinesDoNotHoldUpTheWave(t *testing.T) {
	f := newAbsenceFixture()
	f.declare("m-gone", "m-w2", "m-w3")
	f.list = func() Outcome { return listOf("m-w1", "m-w2", "m-w3") }
	f.run(12 * clock.Second)
	for range 50 {
		for _, a := range actionsOf(f.Pass(f.now), ActionMaintain) {
			assert.Assert(t, a.Machine != "m-gone")
			f.HandleOutcome(a, Outcome{Answer: AnswerRefusedForNow}, f.now)
		}
		f.now += 100
	}
	assert.Equal(t, f.remainingMachines(f.waves[2]), 2)
}
