package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// nextLeader returns the scheduler of the next leader, whose term starts now.
func (f *fixture) nextLeader() *fixture {
	return &fixture{testScheduler: New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now), now: f.now, seq: f.seq}
}

// answerList answers the request for the list of machines in a plan.
func (f *fixture) answerList(t *testing.T, p Plan, machines ...Machine) {
	t.Helper()
	requests := actionsOf(p, ActionListMachines)
	assert.Equal(t, len(requests), 1)
	f.HandleOutcome(requests[0], Outcome{Machines: machines}, f.now)
}

// movedTo returns the machines that a plan moves to a pool.
func movedTo(p Plan, name jobs.PoolName) []jobs.MachineID {
	var machines []jobs.MachineID
	for _, a := range actionsOf(p, ActionMove) {
		if a.Pool == name {
			machines = append(machines, a.Machine)
		}
	}
	return machines
}

// surgeStep is a step that needs several workers.
var surgeStep = jobs.Step{TaskCount: 100, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, Estimate: 1000}

// standbyMachines are three machines in standby and one at work.
var standbyMachines = []Machine{
	{ID: "s1", Pool: "off", Available: true, Capacity: jobs.Resources{MilliCores: 16_000}},
	{ID: "s2", Pool: "off", Available: true},
	{ID: "s3", Pool: "off", Available: true},
	{ID: "m-w1", Pool: "p", Available: true},
}

// TestNewLeaderMovesMachinesAtOnce plays a load that exceeds the pool while the leader
// changes. It guards against a new leader that moves no machine for TakeoverDelayMillis, and
// against two leaders that give orders for the same machine within that time.
func TestNewLeaderMovesMachinesAtOnce(t *testing.T) {
	f := newFixture(Defaults())
	f.apply(jobs.Op{Kind: jobs.OpMoveOrdered, Machine: "s1", Pool: "off"}, f.now)
	f.now += 2*f.settings.MoveMillis + 1
	f.submit("surge", surgeStep)
	next := f.nextLeader()
	next.heartbeat("w1", 1, nil)
	next.answerList(t, next.Pass(next.now), standbyMachines...)
	next.now += rebalancePeriodMillis
	assert.DeepEqual(t, movedTo(next.Pass(next.now), "p"), []jobs.MachineID{"s2", "s3"})
	next.now += next.settings.TakeoverDelayMillis
	next.heartbeat("w1", 1, nil)
	assert.DeepEqual(t, movedTo(next.Pass(next.now), "p"), []jobs.MachineID{"s1"})
}

// TestNewLeaderHearsWorkersFirst guards against a new leader that moves machines to a pool
// of which it has not heard most workers: the pool looks smaller than it is.
func TestNewLeaderHearsWorkersFirst(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("surge", surgeStep)
	next := f.nextLeader()
	next.heartbeat("w1", 1, nil)
	next.answerList(t, next.Pass(next.now), append(standbyMachines, Machine{ID: "m-w2", Pool: "p", Available: true})...)
	next.now += rebalancePeriodMillis
	assert.Equal(t, len(movedTo(next.Pass(next.now), "p")), 0)
	next.heartbeat("w2", 1, nil)
	next.now += rebalancePeriodMillis
	assert.Assert(t, len(movedTo(next.Pass(next.now), "p")) > 0)
}

// TestNewLeaderCountsMovesInProgress guards against machines that are moved twice as many as
// a pool needs, because the new leader does not know of those that are on their way.
func TestNewLeaderCountsMovesInProgress(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.submit("surge", surgeStep)
	f.heartbeat("w1", 1, nil)
	f.answerList(t, f.Pass(f.now), standbyMachines...)
	f.now += rebalancePeriodMillis
	moves := len(movedTo(f.Pass(f.now), "p"))
	assert.Equal(t, moves, 3)
	next := f.nextLeader()
	next.heartbeat("w1", 1, nil)
	next.Pass(next.now)
	next.fleet.maxMilliCores.MilliCores = 16_000
	for _, load := range next.updatePoolLoads(next.now) {
		if load.name == "p" {
			assert.Equal(t, load.machines, 1+moves)
		}
	}
	next.now += 3*next.settings.MoveMillis + moveTimeoutMillis
	next.Pass(next.now)
	assert.Equal(t, len(next.fleet.moves), 0)
}

// TestRestoredWorkHasNotArrived guards against a new leader that takes all work of earlier
// terms for the load of the last moment, and moves machines to pools that need none.
func TestRestoredWorkHasNotArrived(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("old", surgeStep)
	assert.Assert(t, f.pool("p").newMilliCoreMillis > 0)
	next := f.nextLeader()
	assert.Equal(t, next.pool("p").newMilliCoreMillis, clock.Millis(0))
}

// TestUnheardWorkerKeepsMachineUp guards against the maintenance of a machine that a new
// leader takes for one without a worker: the worker has tasks and is not heard yet.
func TestUnheardWorkerKeepsMachineUp(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("serve", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1})
	f.heartbeat("w1", 1, nil)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Starts), 1)
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1"}, MaxDown: 1, Deadline: 5000}, f.now)
	next := f.nextLeader()
	next.now += next.settings.TakeoverDelayMillis + 1
	assert.Equal(t, len(actionsOf(next.Pass(next.now), ActionMaintain)), 0)
	next.now += next.maxLease() + waveCheckPeriodMillis
	assert.Equal(t, len(actionsOf(next.Pass(next.now), ActionMaintain)), 1)
}

// TestNewLeaderKnowsReturnedMachines guards against a wave that stands still after a change
// of leader because machines that have long been back count as down.
func TestNewLeaderKnowsReturnedMachines(t *testing.T) {
	f := newFixture(Defaults())
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m1", "m2", "m3"}, MaxDown: 1, Deadline: 60_000}, f.now)
	record := func(kind jobs.OpKind, m jobs.MachineID) {
		f.apply(jobs.Op{Kind: kind, WaveNumber: 1, Machine: m}, f.now)
	}
	record(jobs.OpMaintenanceOrdered, "m1")
	record(jobs.OpMaintenanceStarted, "m1")
	assert.Equal(t, len(f.nextLeader().waves[1].down), 1)
	f.now += f.settings.TakeoverDelayMillis + 2*f.settings.MaintenanceMillis + clockMarginMillis
	record(jobs.OpMaintenanceOrdered, "m2")
	next := f.nextLeader()
	_, down := next.waves[1].down["m2"]
	assert.Assert(t, down)
	assert.Equal(t, len(next.waves[1].down), 1)
}

// TestNewLeaderUsesReturnedMachines guards against a machine that an earlier leader has moved
// to the standby pool and that its successor counts as on its way until the next list.
func TestNewLeaderUsesReturnedMachines(t *testing.T) {
	f := newFixture(Defaults())
	f.apply(jobs.Op{Kind: jobs.OpMoveOrdered, Machine: "s1", Pool: "off"}, f.now)
	next := f.nextLeader()
	assert.Equal(t, next.fleet.moves["s1"].to, jobs.PoolName("off"))
	next.heartbeat("w1", 1, nil)
	next.answerList(t, next.Pass(next.now), standbyMachines...)
	assert.Equal(t, len(next.fleet.moves), 0)
	assert.Equal(t, next.fleet.standby["s1"], jobs.PoolName("off"))
}
