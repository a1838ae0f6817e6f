package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// The number of simulations without -short, and the numbers of steps of each
// one with injected faults and, after that, without.
const (
	simulations    = 10_000
	faultySteps    = 500
	faultFreeSteps = 2500
)

// TestSimulatedFaults runs seeded random sequences of submissions,
// resubmissions, run ends, cancellations, lost and late messages, crashes,
// partitions, drains and changes of leader with a stale leader. It guards
// against a task that runs twice at the same time, that starts after it was
// done or has failed too often, or that starts before its dependencies are done
// or before it is due. It also guards against a job that never ends, and against a job that
// waits for its first start and is not counted as pending.
func TestSimulatedFaults(t *testing.T) {
	n := uint64(simulations)
	if testing.Short() {
		n /= 20
	}
	playSeeds(t, n, func(seed uint64) error {
		sim := newSimulation(seed)
		for range faultySteps {
			sim.step()
		}
		sim.stopFaults()
		for i := 0; i < faultFreeSteps && !sim.allEnded(); i++ {
			sim.step()
		}
		if sim.err == nil && !sim.allEnded() {
			sim.failf("a job has not ended, or a run of an ended job is still running")
		}
		return sim.err
	})
}

// stopFaults turns faults off, replaces faulty and draining workers, and
// cancels long-running jobs.
func (sim *simulation) stopFaults() {
	sim.faultsOff = true
	for n, w := range sim.workers {
		if w.failing || w.stuck || w.draining {
			w.down = true
			sim.workers[n] = sim.newWorker(n)
		}
	}
	for id, r := range sim.committed.Jobs {
		if r.Steps[0].LongRunning {
			sim.leader.scheduler.Cancel(jobs.CancelKey{Job: id}, sim.leaderNow())
		}
	}
}

// allEnded reports whether every job has a final status and no worker runs
// anything.
func (sim *simulation) allEnded() bool {
	for _, r := range sim.committed.Jobs {
		if !r.Status.Final() {
			return false
		}
	}
	for _, w := range sim.workers {
		if len(w.runs) > 0 {
			return false
		}
	}
	return true
}

// fixture is a scheduler with one pool of workers that a test drives step by
// step.
type fixture struct {
	*testScheduler
	now clock.Millis
	seq int64
}

func newFixture(settings Settings) *fixture {
	state := jobs.New()
	state.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &jobs.Config{
		Version: 1, Pools: []jobs.Pool{{Name: "p"}, {Name: "other"}, {Name: "off", Standby: true}},
		Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: 2, Target: 3000, StretchPermille: 1500}},
	}}}, 1000)
	return &fixture{testScheduler: New(settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, state, 1000), now: 1000}
}

// heartbeat sends a heartbeat of a worker with 16 processors that runs the
// given tasks.
func (f *fixture) heartbeat(id string, incarnation jobs.Incarnation, running []RunStatus, ends ...RunEnd) {
	f.seq++
	f.Heartbeat(Heartbeat{
		Worker: jobs.WorkerID(id), Incarnation: incarnation, Machine: jobs.MachineID("m-" + id), Pool: "p", Labels: []string{"a", "r1-1"},
		Seq: f.seq, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, Running: running, Ends: ends, ReceivedAt: f.now,
	}, f.now)
}

func (f *fixture) submit(id string, steps ...jobs.Step) {
	f.Submit(jobs.Job{ID: jobs.ID(id), Queue: "q", Pool: "p", MaxAttempts: 2, Target: 3000, StretchPermille: 1500, Steps: steps}, f.now)
}

// ordersFor returns the orders in a plan for one worker.
func ordersFor(p Plan, id string) Orders {
	for _, o := range p.Orders {
		if o.Worker == jobs.WorkerID(id) {
			return o
		}
	}
	return Orders{}
}

func actionsOf(p Plan, kind ActionKind) []Action {
	var out []Action
	for _, a := range p.Actions {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

// smallStep is a step with one task that takes a sixteenth of a worker.
var smallStep = jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, Estimate: 500}

// TestLostStartIsRepeated guards against a task that waits forever because the
// reply with its start order was lost.
func TestLostStartIsRepeated(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("a", smallStep)
	f.heartbeat("w1", 1, nil)
	first := ordersFor(f.Pass(f.now), "w1")
	assert.Equal(t, len(first.Starts), 1)
	f.now += 100
	f.heartbeat("w1", 1, nil)
	again := f.Pass(f.now)
	assert.DeepEqual(t, ordersFor(again, "w1").Starts, first.Starts)
	assert.Equal(t, len(again.Ops), 0)
}

// TestNewIncarnationFreesTasks guards against tasks that are not started again
// until the lease of their worker expires, although the worker has restarted.
func TestNewIncarnationFreesTasks(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("a", smallStep)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	f.now += 100
	f.heartbeat("w1", 2, nil)
	o := ordersFor(f.Pass(f.now), "w1")
	assert.Equal(t, len(o.Starts), 1)
	assert.Equal(t, o.Starts[0].Run, 2)
}

// TestEarlierIncarnationIsRejected guards against accepting a late heartbeat of
// a worker process that no longer runs: work would be assigned to it.
func TestEarlierIncarnationIsRejected(t *testing.T) {
	f := newFixture(Defaults())
	f.heartbeat("w1", 2, nil)
	f.Pass(f.now)
	f.submit("a", smallStep)
	f.seq++
	assert.Assert(t, !f.Heartbeat(Heartbeat{Worker: "w1", Incarnation: 1, Machine: "m-w1", Pool: "p", Seq: 99, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}}, f.now))
	f.RemoveWorker("w1", 2, f.now)
	assert.Assert(t, !f.Heartbeat(Heartbeat{Worker: "w1", Incarnation: 2, Machine: "m-w1", Pool: "p", Seq: 100, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}}, f.now))
}

// TestFailingJobQuarantinesNoWorker guards against one job that can never
// succeed quarantining all workers of its pool: its failures count once against
// each worker.
func TestFailingJobQuarantinesNoWorker(t *testing.T) {
	f := newFixture(Defaults())
	failing := smallStep
	failing.TaskCount = 8
	f.submit("bad", failing)
	f.heartbeat("w1", 1, nil)
	o := ordersFor(f.Pass(f.now), "w1")
	assert.Equal(t, len(o.Starts), 8)
	f.now += 400
	f.heartbeat("w1", 1, nil, endsFor(o, jobs.ResultFailed)...)
	f.Pass(f.now)
	f.submit("good", smallStep)
	f.now += 100
	f.heartbeat("w1", 1, nil)
	var started []jobs.ID
	for _, s := range ordersFor(f.Pass(f.now), "w1").Starts {
		started = append(started, s.Task.Job)
	}
	assert.DeepEqual(t, started, []jobs.ID{"good"})
}

// endsFor returns the ends of the runs that a worker was ordered to start, all
// with the same result.
func endsFor(o Orders, result jobs.Result) []RunEnd {
	var out []RunEnd
	for n, s := range o.Starts {
		out = append(out, RunEnd{Number: int64(n + 1), Task: s.Task, Run: s.Run, Result: result})
	}
	return out
}

// TestBrokenWorkerIsQuarantined guards against a worker on which every task
// fails and that uses up the attempts of job after job.
func TestBrokenWorkerIsQuarantined(t *testing.T) {
	f := newFixture(Defaults())
	for _, id := range []string{"a", "b", "c"} {
		f.submit(id, smallStep)
	}
	f.heartbeat("w1", 1, nil)
	o := ordersFor(f.Pass(f.now), "w1")
	assert.Equal(t, len(o.Starts), 3)
	f.now += 400
	f.heartbeat("w1", 1, nil, endsFor(o, jobs.ResultFailed)...)
	f.Pass(f.now)
	f.submit("d", smallStep)
	f.now += 800
	f.heartbeat("w1", 1, nil)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Starts), 0)
	f.heartbeat("w2", 1, nil)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w2").Starts), 4)
}

// TestWaveKeepsAvailability guards against a wave that ends two tasks of a
// long-running step at the same time although only one may be unavailable. This
// happens if an order does not count until the platform has answered it.
func TestWaveKeepsAvailability(t *testing.T) {
	f := newFixture(Defaults())
	step := jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1}
	f.submit("serve", step)
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	p := f.Pass(f.now)
	f.now += f.settings.TakeoverDelayMillis + 100
	for _, id := range []string{"w1", "w2"} {
		s := ordersFor(p, id).Starts[0]
		f.heartbeat(id, 1, []RunStatus{{Task: s.Task, Run: s.Run, Percent: 100}})
	}
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1", "m-w2"}, MaxDown: 2, Deadline: 5000}, f.now)
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 1)
}

// TestWaveIncludesMachinesWithoutWorker guards against a wave that waits
// forever for the return of machines without a worker.
func TestWaveIncludesMachinesWithoutWorker(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m1", "m2"}, MaxDown: 1, Deadline: 30_000}, f.now)
	first := actionsOf(f.Pass(f.now), ActionMaintain)
	assert.Equal(t, len(first), 1)
	f.HandleOutcome(first[0], Outcome{Answer: AnswerDone}, f.now)
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMaintain)), 0)
	f.now += 3 * f.settings.MaintenanceMillis
	second := actionsOf(f.Pass(f.now), ActionMaintain)
	assert.Equal(t, len(second), 1)
	f.HandleOutcome(second[0], Outcome{Answer: AnswerDone}, f.now)
	assert.Assert(t, f.State.Waves[1].Completed())
}

// TestNewLeaderRespectsMaxDown guards against more than MaxDown machines being
// down after a change of leader. An earlier leader may have given orders for
// more machines, because some orders were refused, and its successor must not
// repeat all of them at once.
func TestNewLeaderRespectsMaxDown(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	machines := []jobs.MachineID{"m1", "m2", "m3", "m4", "m5"}
	f.DeclareWave(jobs.Wave{Number: 1, Machines: machines, MaxDown: 2, Deadline: 5000}, f.now)
	for range 5 {
		for _, a := range actionsOf(f.Pass(f.now), ActionMaintain) {
			f.HandleOutcome(a, Outcome{Answer: AnswerRefusedForNow}, f.now)
		}
		f.now += waveCheckPeriodMillis
	}
	next := &fixture{testScheduler: New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now), now: f.now}
	assert.Assert(t, len(next.State.Waves[1].Ordered) > 2)
	down := map[jobs.MachineID]clock.Millis{}
	for range 400 {
		for _, a := range actionsOf(next.Pass(next.now), ActionMaintain) {
			down[a.Machine] = next.now + next.settings.MaintenanceMillis
			next.HandleOutcome(a, Outcome{Answer: AnswerDone}, next.now)
		}
		n := 0
		for _, until := range down {
			if until > next.now {
				n++
			}
		}
		assert.Assert(t, n <= 2, "%d machines are down", n)
		next.now += waveCheckPeriodMillis
	}
	assert.Assert(t, next.State.Waves[1].Completed())
}

// TestWaveDropsMissingMachines guards against a wave that never completes
// because the platform refuses orders for a machine that no longer exists, and
// against more lists of machines than the evidence needs.
func TestWaveDropsMissingMachines(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-gone"}, MaxDown: 1, Deadline: 60_000}, f.now)
	lists := 0
	for range 40 {
		p := f.Pass(f.now)
		for _, a := range actionsOf(p, ActionMaintain) {
			f.HandleOutcome(a, Outcome{Answer: AnswerRefusedForNow}, f.now)
		}
		for _, a := range actionsOf(p, ActionListMachines) {
			lists++
			// The first list still contains the machine.
			machines := []Machine{{ID: "m-other", Pool: "p", Available: true}}
			if lists == 1 {
				machines = append(machines, Machine{ID: "m-gone", Pool: "p"})
			}
			f.HandleOutcome(a, Outcome{Machines: machines}, f.now)
		}
		f.now += 200
	}
	assert.Equal(t, lists, 1+absentLists)
	assert.Assert(t, f.State.Waves[1].Completed())
}

// TestRepeatedMaintenanceKeepsNewWorker guards against dropping a worker that
// returned before the platform answered a repeated order.
func TestRepeatedMaintenanceKeepsNewWorker(t *testing.T) {
	f := newFixture(Defaults())
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	f.now += f.settings.TakeoverDelayMillis
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1"}, MaxDown: 1, Deadline: 30_000}, f.now)
	order := actionsOf(f.Pass(f.now), ActionMaintain)[0]
	f.HandleOutcome(order, Outcome{Answer: AnswerUnknown}, f.now)
	f.now += 2500
	f.heartbeat("w1", 2, nil)
	repeated := actionsOf(f.Pass(f.now), ActionMaintain)
	assert.Equal(t, len(repeated), 1)
	f.HandleOutcome(repeated[0], Outcome{Answer: AnswerDone}, f.now)
	f.now += 100
	f.submit("a", smallStep)
	f.heartbeat("w1", 2, nil)
	f.Pass(f.now)
	assert.Assert(t, f.workers["w1"] != nil)
}

// TestBacklogBringsStandbyMachines guards against work that starts too late
// although machines are in standby: it submits more work than the machines of
// the pool can start in time.
func TestBacklogBringsStandbyMachines(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.heartbeat("w1", 1, nil)
	p := f.Pass(f.now)
	assert.Equal(t, len(actionsOf(p, ActionListMachines)), 1)
	f.HandleOutcome(actionsOf(p, ActionListMachines)[0], Outcome{Machines: []Machine{
		{ID: "s1", Pool: "off", Available: true, Capacity: jobs.Resources{MilliCores: 16_000}},
		{ID: "s2", Pool: "off", Available: true},
		{ID: "s3", Pool: "off"},
		{ID: "m-w1", Pool: "p", Available: true},
	}}, f.now)
	many := smallStep
	many.TaskCount, many.Estimate = 100, 1000
	f.submit("surge", many)
	f.now += rebalancePeriodMillis
	moves := actionsOf(f.Pass(f.now), ActionMove)
	assert.DeepEqual(t, moves, []Action{{Kind: ActionMove, Machine: "s1", Pool: "p"}, {Kind: ActionMove, Machine: "s2", Pool: "p"}})
}

// TestLongRunningTasksGetMachines guards against long-running tasks that wait
// forever because their step allows one task per worker and the pool has fewer
// workers than tasks.
func TestLongRunningTasksGetMachines(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.submit("serve", jobs.Step{TaskCount: 3, Resources: jobs.Resources{MilliCores: 100, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1})
	f.fleet.listedAt, f.fleet.listRequestedAt = f.now, f.now
	f.fleet.standby = map[jobs.MachineID]jobs.PoolName{"s1": "off", "s2": "off", "s3": "off"}
	f.heartbeat("w1", 1, nil)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Starts), 1)
	f.now += 2 * unplacedWaitMillis
	f.heartbeat("w1", 1, nil)
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMove)), 2)
}

// TestIdleMachinesMoveToStandby guards against paying for more idle machines
// than the reserve.
func TestIdleMachinesMoveToStandby(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.fleet.listedAt, f.fleet.listRequestedAt, f.fleet.finiteWorkSeen = f.now, f.now, true
	ids := []string{"w1", "w2", "w3", "w4"}
	for range 4 {
		for _, id := range ids {
			f.heartbeat(id, 1, nil)
		}
		p := f.Pass(f.now)
		if moves := actionsOf(p, ActionMove); len(moves) > 0 {
			assert.Equal(t, len(moves), 4-f.settings.ReserveMachines)
			assert.Equal(t, moves[0].Pool, jobs.PoolName("off"))
			return
		}
		f.now += clock.Second
	}
	t.Fatal("no machine was moved")
}

// TestUnansweredMoveReleasesWorker guards against a worker that never gets a
// task again because the platform did not answer the order to move its machine.
func TestUnansweredMoveReleasesWorker(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.fleet.listedAt, f.fleet.listRequestedAt, f.fleet.finiteWorkSeen = f.now, f.now, true
	for range 12 {
		for _, id := range []string{"w1", "w2", "w3"} {
			f.heartbeat(id, 1, nil)
		}
		for _, a := range actionsOf(f.Pass(f.now), ActionMove) {
			f.HandleOutcome(a, Outcome{Answer: AnswerUnknown}, f.now)
		}
		f.now += clock.Second
	}
	goingDown := 0
	for _, w := range f.workers {
		if w.goingDown {
			goingDown++
		}
	}
	assert.Assert(t, goingDown <= 1)
	f.now += 2 * moveTimeoutMillis
	wide := smallStep
	wide.TaskCount, wide.MaxPerWorker = 3, 1
	f.submit("a", wide)
	for range 2 {
		for _, id := range []string{"w1", "w2", "w3"} {
			f.heartbeat(id, 1, nil)
		}
		f.Pass(f.now)
		f.now += rebalancePeriodMillis
	}
	assert.Equal(t, f.State.Jobs["a"].Occurrences[0].Steps[0].Tasks[2].Phase, jobs.PhaseAssigned)
}

// TestIdleFleetStaysUpBeforeFirstLoad guards against a fleet that is powered
// off between its start and its first job.
func TestIdleFleetStaysUpBeforeFirstLoad(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.fleet.listedAt, f.fleet.listRequestedAt = f.now, f.now
	for range 10 {
		for _, id := range []string{"w1", "w2", "w3", "w4"} {
			f.heartbeat(id, 1, nil)
		}
		assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionMove)), 0)
		f.now += clock.Second
	}
}

// TestLateWorkGoesLast guards against a load peak in which every job starts
// just too late: work that will miss its deadline must wait for work that can
// still meet it.
func TestLateWorkGoesLast(t *testing.T) {
	f := newFixture(Defaults())
	wide := smallStep
	wide.TaskCount, wide.Resources.MilliCores = 4, 4000
	f.submit("old", wide)
	f.now += 3600
	f.submit("new", wide)
	f.heartbeat("w1", 1, nil)
	starts := ordersFor(f.Pass(f.now), "w1").Starts
	assert.Equal(t, len(starts), 4)
	for _, s := range starts {
		assert.Equal(t, s.Task.Job, jobs.ID("new"))
	}
}
