package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// The schedules that CI plays, and the steps of each with troubles and after
// them.
const (
	schedules    = 10_000
	troubleSteps = 500
	calmSteps    = 2500
)

// TestSchedules plays seeded orders of submissions, resends, ends, cancels,
// lost and late messages, crashes, cuts, drains and changes of leader with a
// stale one beside it. It guards against a task that runs twice at a time,
// starts after its good end or its last attempt, or starts before its
// dependencies or its time, and against a job that never ends.
func TestSchedules(t *testing.T) {
	n := schedules
	if testing.Short() {
		n /= 20
	}
	for seed := range uint64(n) {
		w := newWorld(seed)
		for range troubleSteps {
			w.step()
		}
		w.settle()
		for i := 0; i < calmSteps && !w.ended(); i++ {
			w.step()
		}
		if w.err == nil && !w.ended() {
			w.failf("a job has not ended")
		}
		assert.NilError(t, w.err, "seed %d", seed)
	}
}

// settle ends the troubles: every worker is replaced by a sound one.
func (w *world) settle() {
	w.calm = true
	for n, x := range w.workers {
		if x.bad || x.stuck || x.draining {
			x.down = true
			w.workers[n] = w.newInstance(n)
		}
	}
	for id, r := range w.committed.Jobs {
		if r.Steps[0].LongRunning {
			w.lead.board.Cancel(id, w.now)
		}
	}
}

// ended reports whether every job has a final status and nothing runs.
func (w *world) ended() bool {
	for _, r := range w.committed.Jobs {
		if !r.Status.Final() {
			return false
		}
	}
	for _, x := range w.workers {
		if len(x.runs) > 0 {
			return false
		}
	}
	return true
}

// rig is a board with one pool, which a test drives by hand.
type rig struct {
	*testBoard
	now clock.Millis
	seq int64
}

func newRig(set Settings) *rig {
	s := jobs.New()
	s.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &jobs.Config{
		Version: 1, Pools: []jobs.Pool{{Name: "p"}, {Name: "other"}, {Name: "off", Standby: true}},
		Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: 2, Target: 3000, StretchPermille: 1500}},
	}}}, 1000)
	return &rig{testBoard: New(set, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, s, 1000), now: 1000}
}

// hear passes a heartbeat of a worker with 16 processors, which runs what is
// given.
func (r *rig) hear(id string, life jobs.Incarnation, running []RunStatus, ends ...RunEnd) {
	r.seq++
	r.Heartbeat(Heartbeat{
		Worker: jobs.WorkerID(id), Incarnation: life, Machine: jobs.MachineID("m-" + id), Pool: "p", Labels: []string{"a", "r1-1"},
		Seq: r.seq, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, Running: running, Ends: ends, ReceivedAt: r.now,
	}, r.now)
}

func (r *rig) submit(id string, steps ...jobs.Step) {
	r.Submit(jobs.Job{ID: jobs.ID(id), Queue: "q", Pool: "p", MaxAttempts: 2, Target: 3000, StretchPermille: 1500, Steps: steps}, r.now)
}

// orders returns the orders for a worker of a plan.
func orders(p Plan, id string) Orders {
	for _, o := range p.Orders {
		if o.Worker == jobs.WorkerID(id) {
			return o
		}
	}
	return Orders{}
}

func actions(p Plan, kind ActionKind) []Action {
	var out []Action
	for _, a := range p.Actions {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

var small = jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, Estimate: 500}

// TestLostStartIsRepeated guards against a task that waits forever because the
// answer that ordered its start was lost.
func TestLostStartIsRepeated(t *testing.T) {
	r := newRig(Defaults())
	r.submit("a", small)
	r.hear("w1", 1, nil)
	first := orders(r.Pass(r.now), "w1")
	assert.Equal(t, len(first.Starts), 1)
	r.now += 100
	r.hear("w1", 1, nil)
	again := r.Pass(r.now)
	assert.DeepEqual(t, orders(again, "w1").Starts, first.Starts)
	assert.Equal(t, len(again.Ops), 0)
}

// TestNewLifeFreesTasks guards against tasks that wait for a lease of a worker
// that has started anew.
func TestNewLifeFreesTasks(t *testing.T) {
	r := newRig(Defaults())
	r.submit("a", small)
	r.hear("w1", 1, nil)
	r.Pass(r.now)
	r.now += 100
	r.hear("w1", 2, nil)
	o := orders(r.Pass(r.now), "w1")
	assert.Equal(t, len(o.Starts), 1)
	assert.Equal(t, o.Starts[0].Run, 2)
}

// TestEarlierLifeIsNotTaken guards against work for a worker that has crashed,
// when a heartbeat of its earlier life comes late.
func TestEarlierLifeIsNotTaken(t *testing.T) {
	r := newRig(Defaults())
	r.hear("w1", 2, nil)
	r.Pass(r.now)
	r.submit("a", small)
	r.seq++
	assert.Assert(t, !r.Heartbeat(Heartbeat{Worker: "w1", Incarnation: 1, Machine: "m-w1", Pool: "p", Seq: 99, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}}, r.now))
	r.RemoveWorker("w1", 0, r.now)
	assert.Assert(t, !r.Heartbeat(Heartbeat{Worker: "w1", Incarnation: 2, Machine: "m-w1", Pool: "p", Seq: 100, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}}, r.now))
}

// TestPoisonSetsNoWorkerAside guards against one job that can never be done
// emptying its pool: its failures count once against each worker.
func TestPoisonSetsNoWorkerAside(t *testing.T) {
	r := newRig(Defaults())
	poison := small
	poison.TaskCount = 8
	r.submit("bad", poison)
	r.hear("w1", 1, nil)
	o := orders(r.Pass(r.now), "w1")
	assert.Equal(t, len(o.Starts), 8)
	r.now += 400
	r.hear("w1", 1, nil, endsOf(o, jobs.ResultFailed)...)
	r.Pass(r.now)
	r.submit("good", small)
	r.now += 100
	r.hear("w1", 1, nil)
	var started []jobs.ID
	for _, s := range orders(r.Pass(r.now), "w1").Starts {
		started = append(started, s.Task.Job)
	}
	assert.DeepEqual(t, started, []jobs.ID{"good"})
}

func endsOf(o Orders, how jobs.Result) []RunEnd {
	var out []RunEnd
	for n, s := range o.Starts {
		out = append(out, RunEnd{Number: int64(n + 1), Task: s.Task, Run: s.Run, Result: how})
	}
	return out
}

// TestBrokenWorkerIsSetAside guards against a worker that fails everything and
// spends the attempts of job after job.
func TestBrokenWorkerIsSetAside(t *testing.T) {
	r := newRig(Defaults())
	for _, id := range []string{"a", "b", "c"} {
		r.submit(id, small)
	}
	r.hear("w1", 1, nil)
	o := orders(r.Pass(r.now), "w1")
	assert.Equal(t, len(o.Starts), 3)
	r.now += 400
	r.hear("w1", 1, nil, endsOf(o, jobs.ResultFailed)...)
	r.Pass(r.now)
	r.submit("d", small)
	r.now += 800
	r.hear("w1", 1, nil)
	assert.Equal(t, len(orders(r.Pass(r.now), "w1").Starts), 0)
	r.hear("w2", 1, nil)
	assert.Equal(t, len(orders(r.Pass(r.now), "w2").Starts), 4)
}

// TestWaveKeepsAvailability guards against a wave that ends two tasks of a
// lasting step at a time although one may be away: orders given in one pass
// count before the platform has answered.
func TestWaveKeepsAvailability(t *testing.T) {
	r := newRig(Defaults())
	step := jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1}
	r.submit("serve", step)
	r.hear("w1", 1, nil)
	r.hear("w2", 1, nil)
	p := r.Pass(r.now)
	r.now += r.set.TakeoverDelayMillis + 100
	for _, id := range []string{"w1", "w2"} {
		s := orders(p, id).Starts[0]
		r.hear(id, 1, []RunStatus{{Task: s.Task, Run: s.Run, Percent: 100}})
	}
	r.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1", "m-w2"}, MaxDown: 2, Deadline: 5000}, r.now)
	assert.Equal(t, len(actions(r.Pass(r.now), ActionMaintain)), 1)
}

// TestWavePassesMachinesThatAreOff guards against a wave that waits for the
// return of machines without a worker.
func TestWavePassesMachinesThatAreOff(t *testing.T) {
	r := newRig(Defaults())
	r.now += r.set.TakeoverDelayMillis
	r.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m1", "m2"}, MaxDown: 1, Deadline: 30_000}, r.now)
	first := actions(r.Pass(r.now), ActionMaintain)
	assert.Equal(t, len(first), 1)
	r.HandleOutcome(first[0], Outcome{Answer: AnswerDone}, r.now)
	assert.Equal(t, len(actions(r.Pass(r.now), ActionMaintain)), 0)
	r.now += 3 * r.set.MaintenanceMillis
	second := actions(r.Pass(r.now), ActionMaintain)
	assert.Equal(t, len(second), 1)
	r.HandleOutcome(second[0], Outcome{Answer: AnswerDone}, r.now)
	assert.Assert(t, r.State.Waves[1].Completed())
}

// TestNewLeaderKeepsCap guards against more machines down than the cap: an
// earlier leader had ordered more, because some were refused, and its successor
// repeated all orders at once.
func TestNewLeaderKeepsCap(t *testing.T) {
	r := newRig(Defaults())
	r.now += r.set.TakeoverDelayMillis
	machines := []jobs.MachineID{"m1", "m2", "m3", "m4", "m5"}
	r.DeclareWave(jobs.Wave{Number: 1, Machines: machines, MaxDown: 2, Deadline: 5000}, r.now)
	for range 5 {
		for _, a := range actions(r.Pass(r.now), ActionMaintain) {
			r.HandleOutcome(a, Outcome{Answer: AnswerRefusedForNow}, r.now)
		}
		r.now += upkeepPeriod
	}
	next := &rig{testBoard: New(r.set, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, r.State.Clone(), r.now), now: r.now}
	assert.Assert(t, len(next.State.Waves[1].Ordered) > 2)
	down := map[jobs.MachineID]clock.Millis{}
	for range 400 {
		for _, a := range actions(next.Pass(next.now), ActionMaintain) {
			down[a.Machine] = next.now + next.set.MaintenanceMillis
			next.HandleOutcome(a, Outcome{Answer: AnswerDone}, next.now)
		}
		n := 0
		for _, until := range down {
			if until > next.now {
				n++
			}
		}
		assert.Assert(t, n <= 2, "%d machines are down", n)
		next.now += upkeepPeriod
	}
	assert.Assert(t, next.State.Waves[1].Completed())
}

// TestWaveDropsMissingMachines guards against a wave that never ends because
// the platform refuses a machine that is gone for good.
func TestWaveDropsMissingMachines(t *testing.T) {
	r := newRig(Defaults())
	r.now += r.set.TakeoverDelayMillis
	r.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-gone"}, MaxDown: 1, Deadline: 60_000}, r.now)
	lists := 0
	for range 40 {
		p := r.Pass(r.now)
		for _, a := range actions(p, ActionMaintain) {
			r.HandleOutcome(a, Outcome{Answer: AnswerRefusedForNow}, r.now)
		}
		for _, a := range actions(p, ActionListMachines) {
			lists++
			// The first list still names the machine.
			machines := []Machine{{ID: "m-other", Pool: "p", Up: true}}
			if lists == 1 {
				machines = append(machines, Machine{ID: "m-gone", Pool: "p"})
			}
			r.HandleOutcome(a, Outcome{Machines: machines}, r.now)
		}
		r.now += 200
	}
	assert.Equal(t, lists, 2)
	assert.Assert(t, r.State.Waves[1].Completed())
}

// TestRepeatedMaintenanceKeepsNewWorker guards against the loss of a worker
// that came back before the platform answered a repeated order.
func TestRepeatedMaintenanceKeepsNewWorker(t *testing.T) {
	r := newRig(Defaults())
	r.hear("w1", 1, nil)
	r.Pass(r.now)
	r.now += r.set.TakeoverDelayMillis
	r.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m-w1"}, MaxDown: 1, Deadline: 30_000}, r.now)
	order := actions(r.Pass(r.now), ActionMaintain)[0]
	r.HandleOutcome(order, Outcome{Answer: AnswerUnknown}, r.now)
	r.now += 2500
	r.hear("w1", 2, nil)
	again := actions(r.Pass(r.now), ActionMaintain)
	assert.Equal(t, len(again), 1)
	r.HandleOutcome(again[0], Outcome{Answer: AnswerDone}, r.now)
	r.now += 100
	r.submit("a", small)
	r.hear("w1", 2, nil)
	r.Pass(r.now)
	assert.Assert(t, r.workers["w1"] != nil)
}

// TestSurgeBringsMachines plays a pool that is asked for more than it holds:
// callers get their work started in time only with machines that were off.
func TestSurgeBringsMachines(t *testing.T) {
	r := newRig(Defaults())
	r.now += r.set.TakeoverDelayMillis
	r.hear("w1", 1, nil)
	p := r.Pass(r.now)
	assert.Equal(t, len(actions(p, ActionListMachines)), 1)
	r.HandleOutcome(actions(p, ActionListMachines)[0], Outcome{Machines: []Machine{
		{ID: "s1", Pool: "off", Up: true, Capacity: jobs.Resources{MilliCores: 16_000}},
		{ID: "s2", Pool: "off", Up: true},
		{ID: "s3", Pool: "off"},
		{ID: "m-w1", Pool: "p", Up: true},
	}}, r.now)
	many := small
	many.TaskCount, many.Estimate = 100, 1000
	r.submit("surge", many)
	r.now += surgePeriod
	moves := actions(r.Pass(r.now), ActionMove)
	assert.DeepEqual(t, moves, []Action{{Kind: ActionMove, Machine: "s1", Pool: "p"}, {Kind: ActionMove, Machine: "s2", Pool: "p"}})
}

// TestLastingTasksGetMachines guards against lasting tasks that wait for good
// because their step may have one task on a worker and its pool has fewer
// workers than tasks.
func TestLastingTasksGetMachines(t *testing.T) {
	r := newRig(Defaults())
	r.now += r.set.TakeoverDelayMillis
	r.submit("serve", jobs.Step{TaskCount: 3, Resources: jobs.Resources{MilliCores: 100, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1})
	r.fleet.listed, r.fleet.asked = r.now, r.now
	r.fleet.standby = map[jobs.MachineID]jobs.PoolName{"s1": "off", "s2": "off", "s3": "off"}
	r.hear("w1", 1, nil)
	assert.Equal(t, len(orders(r.Pass(r.now), "w1").Starts), 1)
	r.now += 2 * unplacedMillis
	r.hear("w1", 1, nil)
	assert.Equal(t, len(actions(r.Pass(r.now), ActionMove)), 2)
}

// TestIdleMachinesGoOff guards against machines that are paid for while they
// run nothing, beyond the reserve.
func TestIdleMachinesGoOff(t *testing.T) {
	r := newRig(Defaults())
	r.now += r.set.TakeoverDelayMillis
	r.fleet.listed, r.fleet.asked, r.fleet.worked = r.now, r.now, true
	ids := []string{"w1", "w2", "w3", "w4"}
	for range 4 {
		for _, id := range ids {
			r.hear(id, 1, nil)
		}
		p := r.Pass(r.now)
		if moves := actions(p, ActionMove); len(moves) > 0 {
			assert.Equal(t, len(moves), 4-r.set.ReserveMachines)
			assert.Equal(t, moves[0].Pool, jobs.PoolName("off"))
			return
		}
		r.now += clock.Second
	}
	t.Fatal("no machine was moved")
}

// TestLostMoveGivesWorkerBack guards against a worker that gets no task for good
// because the platform did not answer the order to move its machine.
func TestLostMoveGivesWorkerBack(t *testing.T) {
	r := newRig(Defaults())
	r.now += r.set.TakeoverDelayMillis
	r.fleet.listed, r.fleet.asked, r.fleet.worked = r.now, r.now, true
	for range 12 {
		for _, id := range []string{"w1", "w2", "w3"} {
			r.hear(id, 1, nil)
		}
		for _, a := range actions(r.Pass(r.now), ActionMove) {
			r.HandleOutcome(a, Outcome{Answer: AnswerUnknown}, r.now)
		}
		r.now += clock.Second
	}
	leaving := 0
	for _, w := range r.workers {
		if w.leaving {
			leaving++
		}
	}
	assert.Assert(t, leaving <= 1)
	r.now += 2 * moveLost
	wide := small
	wide.TaskCount, wide.MaxPerWorker = 3, 1
	r.submit("a", wide)
	for range 2 {
		for _, id := range []string{"w1", "w2", "w3"} {
			r.hear(id, 1, nil)
		}
		r.Pass(r.now)
		r.now += surgePeriod
	}
	assert.Equal(t, r.State.Jobs["a"].Occurrences[0].Steps[0].Tasks[2].Phase, jobs.PhaseAssigned)
}

// TestFleetWaitsForItsFirstLoad guards against a fleet that is turned off
// between its start and its first job, and is missing when that comes.
func TestFleetWaitsForItsFirstLoad(t *testing.T) {
	r := newRig(Defaults())
	r.now += r.set.TakeoverDelayMillis
	r.fleet.listed, r.fleet.asked = r.now, r.now
	for range 10 {
		for _, id := range []string{"w1", "w2", "w3", "w4"} {
			r.hear(id, 1, nil)
		}
		assert.Equal(t, len(actions(r.Pass(r.now), ActionMove)), 0)
		r.now += clock.Second
	}
}

// TestLateWorkGoesLast guards against a surge in which every job is started
// just too late: work that will miss its objective waits for work that can
// still meet its.
func TestLateWorkGoesLast(t *testing.T) {
	r := newRig(Defaults())
	wide := small
	wide.TaskCount, wide.Resources.MilliCores = 4, 4000
	r.submit("old", wide)
	r.now += 3600
	r.submit("new", wide)
	r.hear("w1", 1, nil)
	starts := orders(r.Pass(r.now), "w1").Starts
	assert.Equal(t, len(starts), 4)
	for _, s := range starts {
		assert.Equal(t, s.Task.Job, jobs.ID("new"))
	}
}
