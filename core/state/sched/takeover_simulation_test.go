package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// Parameters of the simulated takeovers. A leader is missing for up to
// takeoverGapMillis. A long-running task is away for too long if it has not run for
// takeoverAbsenceMillis and the last takeoverCalmMillis were calm, under a leader, with
// room for it beside the other long-running tasks; RULES.md (LOST) names these times.
const (
	takeoverGapMillis     = 7 * clock.Second
	takeoverAbsenceMillis = 9 * clock.Second
	takeoverCalmMillis    = 7 * clock.Second
	takeoverMoveMillis    = clock.Second * 3 / 2
	// takeoverThrottledMillis is how long a best-effort task makes no progress.
	takeoverThrottledMillis = 30 * clock.Second
	standbyPoolName         = jobs.PoolName("off")
)

// takeoverSimulation adds to poolSimulation two pools and a standby pool between which
// machines are moved, leases, commits that take time and that a change of leader may
// cut short, times without a leader, several changes of leader in a row, workers that
// are cut off, drain or start again under the same or another ID, broken machines, and
// best-effort tasks that make no progress.
type takeoverSimulation struct {
	*poolSimulation
	// leaderlessUntil is the end of the current time without a leader, and nextElection
	// the time of the next one of several changes of leader in a row; 0 for none.
	leaderlessUntil, nextElection clock.Millis
	electionsLeft                 int
	// plans are the leader's plans that are not committed yet.
	plans []takeoverPlan
	// listAt is the time at which the list of machines arrives, and list its request.
	listAt clock.Millis
	list   Action
	// busyPool is the pool that gets most of the finite work until busyUntil.
	busyPool  jobs.PoolName
	busyUntil clock.Millis
	// lackedSince is when no machine last had room for a task beside the other
	// long-running tasks.
	lackedSince map[jobs.TaskID]clock.Millis
}

// takeoverPlan is a plan whose operations are committed at a time. answered holds the
// times at which the heartbeats were sent that its orders answer.
type takeoverPlan struct {
	plan     Plan
	answered map[jobs.WorkerID]clock.Millis
	at       clock.Millis
}

func newTakeoverSimulation(seed uint64) *takeoverSimulation {
	sim := &takeoverSimulation{lackedSince: map[jobs.TaskID]clock.Millis{}, busyPool: "p", poolSimulation: &poolSimulation{
		rand: rand.New(rand.NewPCG(seed, 4)), now: 100_000, committed: jobs.New(),
		idleSince: map[jobs.TaskID]clock.Millis{}, fullSince: map[jobs.TaskID]clock.Millis{},
		servingAt: map[jobs.TaskID]clock.Millis{}, ordered: map[jobs.TaskID]bool{},
	}}
	sim.committed.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &jobs.Config{
		Version: 1, Pools: []jobs.Pool{{Name: "p"}, {Name: "r"}, {Name: standbyPoolName, Standby: true}},
		Queues: []jobs.Queue{
			{Name: "p", Host: "h", Prefix: "/p/", Pool: "p", MaxAttempts: 3, Target: 3000, StretchPermille: 1500},
			{Name: "r", Host: "h", Prefix: "/r/", Pool: "r", MaxAttempts: 3, Target: 3000, StretchPermille: 1500},
		},
	}}}, sim.now)
	sim.finiteMillis = []clock.Millis{800, 1700, 17_000}[sim.rand.IntN(3)]
	sim.takeOver()
	for _, name := range []jobs.PoolName{"p", "r", standbyPoolName} {
		for range 6 + sim.rand.IntN(4) {
			if name == standbyPoolName && sim.rand.IntN(4) > 0 {
				continue
			}
			id := jobs.MachineID(fmt.Sprint("m", len(sim.machines)))
			sim.machines = append(sim.machines, &poolMachine{
				id: id, incarnation: 1, maintained: map[int]bool{}, runs: map[jobs.TaskID]*simRun{}, pool: name, worker: jobs.WorkerID("w-" + id),
				broken: sim.rand.IntN(12) == 0,
			})
		}
	}
	for _, name := range []jobs.QueueName{"p", "r"} {
		for n := range 1 + sim.rand.IntN(2) {
			sim.submitTo(name, fmt.Sprint("serve", n, name), jobs.Step{
				TaskCount: poolSteps, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 9000}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1,
			})
		}
	}
	return sim
}

// takeOver replaces the leader. Of its uncommitted plans, a part may be committed.
func (sim *takeoverSimulation) takeOver() {
	for _, p := range sim.plans {
		if sim.rand.IntN(2) == 0 {
			break
		}
		sim.committed.Apply(p.plan.Ops, sim.now)
	}
	sim.plans, sim.listAt = nil, 0
	settings := Defaults()
	settings.LateHeartbeatMillis = 10 * clock.Second
	sim.leader = New(settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, sim.committed.Clone(), sim.now)
}

func (sim *takeoverSimulation) submitTo(queue jobs.QueueName, id string, step jobs.Step) {
	sim.leader.Submit(jobs.Job{
		ID: jobs.ID(id), Queue: queue, Pool: jobs.PoolName(queue), MaxAttempts: 3, Target: 3000, StretchPermille: 1500, Steps: []jobs.Step{step},
	}, sim.now)
}

// leads reports whether there is a leader.
func (sim *takeoverSimulation) leads() bool { return sim.now >= sim.leaderlessUntil }

func (sim *takeoverSimulation) run(d clock.Millis) {
	for end := sim.now + d; sim.now < end && sim.err == nil; {
		sim.step()
	}
}

func (sim *takeoverSimulation) step() {
	sim.now += stepMillis
	if sim.now >= sim.calmUntil && sim.leads() && sim.electionsLeft == 0 {
		sim.faultyUntil = sim.now + clock.Millis(sim.rand.Int64N(int64(poolFaultyMillis)))
		sim.calmUntil = sim.faultyUntil + poolCalmMillis
	}
	sim.stepElections()
	if sim.now < sim.faultyUntil || !sim.leads() || sim.electionsLeft > 0 {
		sim.calmSince = sim.now
	}
	for _, m := range sim.machines {
		sim.stepTakeoverMachine(m)
	}
	sim.stepOrders()
	if sim.leads() {
		sim.submit()
		sim.pass()
	}
	sim.checkAbsence()
}

// stepElections begins and ends times without a leader and changes of leader in a row.
func (sim *takeoverSimulation) stepElections() {
	switch {
	case sim.chance(300):
		sim.leaderlessUntil = sim.now + clock.Millis(sim.rand.Int64N(int64(takeoverGapMillis)))
		sim.nextElection, sim.electionsLeft = sim.leaderlessUntil, 1
	case sim.chance(300):
		sim.nextElection, sim.electionsLeft = sim.now, 2+sim.rand.IntN(3)
	}
	if sim.electionsLeft > 0 && sim.now >= sim.nextElection {
		sim.takeOver()
		sim.electionsLeft--
		sim.nextElection = sim.now + clock.Millis(sim.rand.IntN(3000))
	}
}

// submit submits finite work, most of it to one pool at a time, and declares the waves.
func (sim *takeoverSimulation) submit() {
	if sim.now >= sim.busyUntil {
		sim.busyPool = []jobs.PoolName{"p", "r"}[sim.rand.IntN(2)]
		sim.busyUntil = sim.now + clock.Millis(1000+sim.rand.IntN(6000))
	}
	if sim.rand.IntN(12) == 0 {
		sim.submitted++
		queue := jobs.QueueName(sim.busyPool)
		if sim.rand.IntN(4) == 0 {
			queue = []jobs.QueueName{"p", "r"}[sim.rand.IntN(2)]
		}
		step := jobs.Step{TaskCount: 1 + sim.rand.IntN(3), Resources: jobs.Resources{MilliCores: 3000, MemoryMiB: 1000}, Estimate: sim.finiteMillis}
		if sim.rand.IntN(6) == 0 {
			step.BestEffort, step.Resources.MemoryMiB = true, 8000
		}
		sim.submitTo(queue, fmt.Sprint("j", sim.submitted), step)
	}
	for n := range 3 {
		if sim.now < 103_000+clock.Millis(n)*16_000 || sim.committed.Waves[n+1] != nil {
			continue
		}
		w := jobs.Wave{Number: n + 1, MaxDown: 1 + sim.rand.IntN(6), Deadline: 8000 + clock.Millis(sim.rand.IntN(17_000))}
		for _, m := range sim.machines {
			if n == 0 || sim.rand.IntN(2) == 0 {
				w.Machines = append(w.Machines, m.id)
			}
		}
		sim.leader.DeclareWave(w, sim.now)
	}
}

// pass runs a pass of the leader, and commits the earlier plans that are due.
func (sim *takeoverSimulation) pass() {
	for len(sim.plans) > 0 && sim.plans[0].at <= sim.now {
		plan, answered := sim.plans[0].plan, sim.plans[0].answered
		sim.plans = sim.plans[1:]
		sim.committed.Apply(plan.Ops, sim.now)
		for _, o := range plan.Orders {
			sim.replyWithLease(o, answered[o.Worker])
		}
		for _, a := range plan.Actions {
			if a.Kind == ActionListMachines {
				sim.list, sim.listAt = a, sim.now+100
			} else {
				sim.send(a)
			}
		}
	}
	if sim.listAt != 0 && sim.now >= sim.listAt {
		sim.leader.HandleOutcome(sim.list, sim.machineList(), sim.now)
		sim.listAt = 0
	}
	at := sim.now + stepMillis
	if sim.chance(20) {
		at += clock.Millis(sim.rand.IntN(800))
	}
	if n := len(sim.plans); n > 0 {
		at = max(at, sim.plans[n-1].at)
	}
	next := takeoverPlan{plan: sim.leader.Pass(sim.now), answered: map[jobs.WorkerID]clock.Millis{}, at: at}
	for _, m := range sim.machines {
		next.answered[m.worker] = m.receivedAt
	}
	sim.plans = append(sim.plans, next)
	if err := goingDownError(sim.leader); err != nil {
		sim.failf("%w", err)
	}
	if sim.now%consistencyPeriodMillis == 0 {
		sim.leader.checkConsistency(sim.failf)
	}
}

func (sim *takeoverSimulation) machineList() Outcome {
	var list Outcome
	for _, m := range sim.machines {
		list.Machines = append(list.Machines, Machine{ID: m.id, Pool: m.pool, Available: m.awayUntil == 0, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}})
	}
	return list
}

// stepOrders carries out the maintenance and move orders that are due.
func (sim *takeoverSimulation) stepOrders() {
	for _, o := range sim.orders {
		if o.action.Kind == ActionMove && !o.executed && o.executeAt <= sim.now {
			sim.executeMove(o)
		}
	}
	sim.poolSimulation.stepOrders()
}

func (sim *takeoverSimulation) executeMove(o *poolOrder) {
	o.executed = true
	for _, m := range sim.machines {
		switch {
		case m.id != o.action.Machine || m.pool == o.action.Pool:
		case m.awayUntil > 0 || m.exitAt > 0:
			if o.answer == AnswerDone {
				o.answer = AnswerRefusedForNow
			}
		default:
			m.pool, m.awayUntil = o.action.Pool, sim.now+takeoverMoveMillis
			clear(m.runs)
		}
	}
}

// restart returns a machine with a new incarnation of its worker, at times under
// another ID.
func (sim *takeoverSimulation) restart(m *poolMachine) {
	m.awayUntil, m.maintaining, m.sentAt, m.nextHeartbeat = 0, 0, 0, sim.now
	m.leaseUntil, m.exitAt, m.ends, m.lastEnd = 0, 0, nil, 0
	m.incarnation++
	if sim.rand.IntN(2) == 0 {
		m.worker = jobs.WorkerID(fmt.Sprint("w-", m.id, "-", m.incarnation))
	}
}

// stepTakeoverMachine injects faults into a machine, ends runs and sends a heartbeat.
func (sim *takeoverSimulation) stepTakeoverMachine(m *poolMachine) {
	if m.awayUntil > sim.now {
		return
	}
	if m.awayUntil > 0 {
		sim.restart(m)
	}
	switch {
	case m.pool == standbyPoolName:
		return
	case m.exitAt != 0 && sim.now >= m.exitAt:
		if sim.leads() && m.cutUntil <= sim.now {
			sim.leader.RemoveWorker(m.worker, m.incarnation, sim.now)
		}
		m.awayUntil = sim.now + clock.Millis(200+sim.rand.IntN(2000))
		clear(m.runs)
		return
	case sim.chance(500):
		m.awayUntil = sim.now + clock.Millis(200+sim.rand.IntN(4000))
		clear(m.runs)
		return
	case sim.chance(500):
		m.cutUntil = min(sim.now+clock.Millis(sim.rand.IntN(7000)), sim.faultyUntil)
	case m.exitAt == 0 && sim.rand.IntN(8000) == 0:
		m.exitAt = sim.now + clock.Millis(1000+sim.rand.IntN(3000))
	}
	for _, t := range m.tasks() {
		r := m.runs[t]
		step := &sim.committed.Jobs[t.Job].Steps[t.Step]
		switch {
		case sim.now >= m.leaseUntil:
			m.end(t, r, jobs.ResultExpired)
		case step.LongRunning:
			if sim.rand.IntN(3000) == 0 {
				m.end(t, r, jobs.ResultFailed)
			}
		case step.BestEffort && sim.now-r.startedAt < takeoverThrottledMillis:
			// The serving tasks beside it leave it no processor time.
		case sim.now-r.startedAt >= r.duration && m.broken:
			m.end(t, r, jobs.ResultFailed)
		case sim.now-r.startedAt >= r.duration:
			m.end(t, r, jobs.ResultDone)
		}
	}
	if m.sentAt != 0 && sim.now-m.sentAt > replyTimeoutMillis {
		m.sentAt = 0
	}
	if m.sentAt == 0 && sim.now >= m.nextHeartbeat {
		sim.sendTakeoverHeartbeat(m)
	}
}

func (sim *takeoverSimulation) sendTakeoverHeartbeat(m *poolMachine) {
	sim.seq++
	m.sentAt = sim.now
	if !sim.leads() || sim.now < m.cutUntil {
		return
	}
	h := Heartbeat{
		Worker: m.worker, Incarnation: m.incarnation, Machine: m.id, Pool: m.pool, Seq: sim.seq, ReceivedAt: sim.now, Draining: m.exitAt != 0,
		Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, Ends: slices.Clone(m.ends),
	}
	for _, t := range m.tasks() {
		r, step := m.runs[t], &sim.committed.Jobs[t.Job].Steps[t.Step]
		percent := min(int(100*(sim.now-r.startedAt)/r.duration), 99)
		switch {
		case sim.atWork(t, r):
			percent = 100
		case step.BestEffort:
			percent = 0
		}
		h.Running = append(h.Running, RunStatus{Task: t, Run: r.run, Percent: percent})
	}
	m.receivedAt = sim.now
	sim.leader.Heartbeat(h, sim.now)
}

// replyWithLease delivers the reply to a heartbeat sent at the given time to its worker,
// whose lease it extends. A worker that has given up on the heartbeat drops the reply.
func (sim *takeoverSimulation) replyWithLease(o Orders, sentAt clock.Millis) {
	for _, m := range sim.machines {
		if m.worker != o.Worker || m.incarnation != o.Incarnation || m.awayUntil > 0 || m.sentAt == 0 || m.sentAt != sentAt || sim.now < m.cutUntil {
			continue
		}
		m.leaseUntil = max(m.leaseUntil, m.sentAt+Defaults().LeaseMillis)
		m.sentAt, m.nextHeartbeat = 0, sim.now+o.RetryAfter
		m.ends = slices.DeleteFunc(m.ends, func(e RunEnd) bool { return e.Number <= o.AckUpTo })
		for _, stop := range o.Stops {
			if r := m.runs[stop.Task]; r != nil && r.run == stop.Run {
				m.end(stop.Task, r, jobs.ResultStopped)
			}
		}
		for _, start := range o.Starts {
			if r := m.runs[start.Task]; r == nil || r.run != start.Run {
				m.runs[start.Task] = &simRun{run: start.Run, startedAt: sim.now, duration: sim.finiteMillis}
			}
		}
	}
}

// hasRoomFor reports whether a machine can start a long-running task beside the tasks
// on it or, if finite tasks may be stopped, beside the long-running ones.
func (sim *takeoverSimulation) hasRoomFor(m *poolMachine, t jobs.TaskID, mayStop bool) bool {
	rec := sim.committed.Jobs[t.Job]
	if m.awayUntil > 0 || m.exitAt > 0 || m.pool != rec.Pool {
		return false
	}
	free := jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}
	for other := range m.runs {
		step := &sim.committed.Jobs[other.Job].Steps[other.Step]
		if stepKeyOf(other) == stepKeyOf(t) {
			return false
		}
		if step.LongRunning || !mayStop {
			free = free.Minus(reservation(step))
		}
	}
	return rec.Steps[t.Step].Resources.FitsIn(free)
}

// checkAbsence checks that no long-running task is away for too long while a machine
// has room for it, and that no task runs twice at the same time.
func (sim *takeoverSimulation) checkAbsence() {
	running := map[jobs.TaskID]*poolMachine{}
	for _, m := range sim.machines {
		for t, r := range m.runs {
			if other := running[t]; other != nil {
				sim.failf("%v runs on %s and %s", t, m.worker, other.worker)
			}
			running[t] = m
			if sim.atWork(t, r) {
				sim.servingAt[t] = sim.now
				delete(sim.ordered, t)
			}
		}
	}
	for id, rec := range sim.committed.Jobs {
		if !rec.Steps[0].LongRunning {
			continue
		}
		for index := range poolSteps {
			t := jobs.TaskID{Job: id, Index: index}
			if running[t] != nil || sim.idleSince[t] == 0 {
				sim.idleSince[t], sim.fullSince[t], sim.lackedSince[t] = sim.now, sim.now, sim.now
				continue
			}
			if !slices.ContainsFunc(sim.machines, func(m *poolMachine) bool { return sim.hasRoomFor(m, t, false) }) {
				sim.fullSince[t] = sim.now
			}
			if !slices.ContainsFunc(sim.machines, func(m *poolMachine) bool { return sim.hasRoomFor(m, t, true) }) {
				sim.lackedSince[t] = sim.now
			}
			away := sim.now - sim.idleSince[t]
			waits := sim.now-max(sim.idleSince[t], sim.fullSince[t], sim.calmSince) > maxIdleMillis
			waitsForFinite := away > takeoverAbsenceMillis && sim.now-max(sim.calmSince, sim.lackedSince[t]) > takeoverCalmMillis
			if waits || waitsForFinite {
				sim.failf("%v, %+v, has not run for %d ms, under a leader since %d ms, with room for it since %d ms, and without finite tasks since %d ms: %s",
					t, *sim.leader.State.Task(t), away, sim.now-sim.calmSince, sim.now-sim.fullSince[t], sim.now-sim.lackedSince[t], sim.explainWait(t))
			}
		}
	}
}

// explainWait says what keeps a task from the workers of its pool.
func (sim *takeoverSimulation) explainWait(t jobs.TaskID) string {
	g := sim.leader.pool(sim.committed.Jobs[t.Job].Pool).groupByStep[stepKeyOf(t)]
	if g == nil {
		return "it does not wait"
	}
	return sim.leader.filterWorkers(g, sim.now).String()
}

// TestSimulatedTakeovers runs seeded random changes of leader beside waves, moves,
// drains and quarantines. It guards against a long-running task that a later leader does
// not start again while a machine has room for it, or starts while it still runs.
func TestSimulatedTakeovers(t *testing.T) {
	n := uint64(25)
	if testing.Short() {
		n /= 10
	}
	playSeeds(t, n, func(seed uint64) error {
		sim := newTakeoverSimulation(seed)
		sim.run(poolMillis)
		return sim.err
	})
}
