package sched

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// Parameters of the simulated pool. Periods with faults, of up to poolFaultyMillis,
// alternate with calm ones of poolCalmMillis. A long-running task is at work
// poolStartupMillis after its start.
const (
	poolFaultyMillis               = 5 * clock.Second
	poolCalmMillis                 = 12 * clock.Second
	poolMillis                     = 70 * clock.Second
	poolStartupMillis clock.Millis = 300
	poolNoticeMillis  clock.Millis = 4500
	poolSteps                      = 5
)

// poolMachine is a machine of the simulated pool and its worker.
type poolMachine struct {
	id          jobs.MachineID
	incarnation jobs.Incarnation
	// awayUntil is the end of its current crash or maintenance.
	awayUntil clock.Millis
	// maintaining is the wave of its current maintenance; 0 for none. maintained
	// holds the waves whose maintenance has started.
	maintaining int
	maintained  map[int]bool
	runs        map[jobs.TaskID]*simRun
	ends        []RunEnd
	lastEnd     int64
	// sentAt is when the heartbeat without a reply was sent; 0 for none.
	sentAt, nextHeartbeat clock.Millis
	// The fields below are used by takeoverSimulation alone. pool is the machine's pool,
	// and worker the ID of its worker. leaseUntil is the end of the worker's lease.
	// receivedAt is when its latest heartbeat reached the leader. Nothing passes between
	// the worker and the leader until cutUntil. A draining worker exits at exitAt. The
	// finite tasks of a broken machine fail.
	pool                                     jobs.PoolName
	worker                                   jobs.WorkerID
	leaseUntil, receivedAt, cutUntil, exitAt clock.Millis
	broken                                   bool
}

// poolOrder is a maintenance order in flight to the platform.
type poolOrder struct {
	action              Action
	from                *testScheduler
	executeAt, answerAt clock.Millis
	executed            bool
	answer              Answer
}

// poolSimulation runs long-running and finite tasks on a pool of machines, under
// several waves at once, with failing runs, and with periods of crashes, changes of
// leader and a platform that is slow, refuses orders or loses answers.
type poolSimulation struct {
	rand      *rand.Rand
	now       clock.Millis
	committed *jobs.State
	leader    *testScheduler
	machines  []*poolMachine
	orders    []*poolOrder
	seq       int64
	submitted int
	// finiteMillis is the duration of the finite tasks.
	finiteMillis clock.Millis
	// faultyUntil and calmUntil are the ends of the current periods. calmSince is
	// when the latest fault ended.
	faultyUntil, calmUntil, calmSince clock.Millis
	// idleSince is when each long-running task last ran, and fullSince when no machine
	// last had room for it.
	idleSince, fullSince map[jobs.TaskID]clock.Millis
	// servingAt is when each long-running task was last at work, and ordered holds those
	// that were ended by an order and have not been at work since.
	servingAt map[jobs.TaskID]clock.Millis
	ordered   map[jobs.TaskID]bool
	err       error
}

func newPoolSimulation(seed uint64) *poolSimulation {
	sim := &poolSimulation{
		rand: rand.New(rand.NewPCG(seed, 3)), now: 100_000, committed: jobs.New(),
		idleSince: map[jobs.TaskID]clock.Millis{}, fullSince: map[jobs.TaskID]clock.Millis{},
		servingAt: map[jobs.TaskID]clock.Millis{}, ordered: map[jobs.TaskID]bool{},
	}
	sim.committed.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &jobs.Config{Version: 1, Pools: []jobs.Pool{{Name: "p"}}}}}, sim.now)
	sim.finiteMillis = []clock.Millis{800, 1700, 17_000}[sim.rand.IntN(3)]
	sim.elect()
	for n := range 6 + sim.rand.IntN(4) {
		sim.machines = append(sim.machines, &poolMachine{
			id: jobs.MachineID(fmt.Sprint("m", n)), incarnation: 1, maintained: map[int]bool{}, runs: map[jobs.TaskID]*simRun{},
		})
	}
	for n := range 2 + sim.rand.IntN(2) {
		sim.leader.Submit(jobs.Job{
			ID: jobs.ID(fmt.Sprint("serve", n)), Queue: "q", Pool: "p", MaxAttempts: 2, Target: 3000, StretchPermille: 1500,
			Steps: []jobs.Step{{TaskCount: poolSteps, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 9000}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1}},
		}, sim.now)
	}
	return sim
}

// elect replaces the leader.
func (sim *poolSimulation) elect() {
	settings := Defaults()
	settings.BacklogTargetMillis = 0
	sim.leader = New(settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, sim.committed.Clone(), sim.now)
}

func (sim *poolSimulation) failf(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf("at %d ms: "+format, append([]any{sim.now}, args...)...)
	}
}

// chance returns true once in n calls on average, and never in calm periods.
func (sim *poolSimulation) chance(n int) bool {
	return sim.now < sim.faultyUntil && sim.rand.IntN(n) == 0
}

// run simulates the given time.
func (sim *poolSimulation) run(d clock.Millis) {
	for end := sim.now + d; sim.now < end && sim.err == nil; {
		sim.step()
	}
}

func (sim *poolSimulation) step() {
	sim.now += stepMillis
	if sim.now >= sim.calmUntil {
		sim.faultyUntil = sim.now + clock.Millis(sim.rand.Int64N(int64(poolFaultyMillis)))
		sim.calmUntil = sim.faultyUntil + poolCalmMillis
	}
	if sim.now < sim.faultyUntil {
		sim.calmSince = sim.now
	}
	sim.submit()
	for _, m := range sim.machines {
		sim.stepMachine(m)
	}
	if sim.chance(300) {
		sim.elect()
	}
	sim.stepOrders()
	plan := sim.leader.Pass(sim.now)
	sim.committed.Apply(plan.Ops, sim.now)
	for _, o := range plan.Orders {
		sim.reply(o)
	}
	for _, a := range actionsOf(plan, ActionMaintain) {
		sim.send(a)
	}
	sim.checkIdle()
	if err := goingDownError(sim.leader); err != nil {
		sim.failf("%w", err)
	}
}

// submit submits finite work and declares the waves, of which three overlap.
func (sim *poolSimulation) submit() {
	if sim.rand.IntN(20) == 0 {
		sim.submitted++
		sim.leader.Submit(jobs.Job{
			ID: jobs.ID(fmt.Sprint("j", sim.submitted)), Queue: "q", Pool: "p", MaxAttempts: 3, Target: 3000, StretchPermille: 1500,
			Steps: []jobs.Step{{TaskCount: 1 + sim.rand.IntN(3), Resources: jobs.Resources{MilliCores: 3000, MemoryMiB: 1000}, Estimate: sim.finiteMillis}},
		}, sim.now)
	}
	for n := range 3 {
		if sim.now != 103_000+clock.Millis(n)*8000 {
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

// stepMachine returns a machine from its crash or maintenance, crashes it, or ends
// runs and sends a heartbeat of its worker.
func (sim *poolSimulation) stepMachine(m *poolMachine) {
	if m.awayUntil > sim.now {
		return
	}
	if m.awayUntil > 0 {
		m.awayUntil, m.maintaining, m.sentAt, m.nextHeartbeat = 0, 0, 0, sim.now
		m.incarnation++
		m.ends, m.lastEnd = nil, 0
	}
	if sim.chance(500) {
		m.awayUntil = sim.now + clock.Millis(200+sim.rand.IntN(4000))
		clear(m.runs)
		return
	}
	for _, t := range m.tasks() {
		r := m.runs[t]
		switch {
		case sim.committed.Jobs[t.Job].Steps[t.Step].LongRunning:
			if sim.rand.IntN(3000) == 0 {
				m.end(t, r, jobs.ResultFailed)
			}
		case sim.now-r.startedAt >= r.duration:
			m.end(t, r, jobs.ResultDone)
		}
	}
	if m.sentAt != 0 && sim.now-m.sentAt > replyTimeoutMillis {
		m.sentAt = 0
	}
	if m.sentAt == 0 && sim.now >= m.nextHeartbeat {
		sim.sendHeartbeat(m)
	}
}

// tasks returns the tasks that the machine runs, in a fixed order.
func (m *poolMachine) tasks() []jobs.TaskID {
	return slices.SortedFunc(maps.Keys(m.runs), func(x, y jobs.TaskID) int {
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Index, y.Index))
	})
}

func (m *poolMachine) end(t jobs.TaskID, r *simRun, result jobs.Result) {
	m.lastEnd++
	m.ends = append(m.ends, RunEnd{Number: m.lastEnd, Task: t, Run: r.run, Result: result})
	delete(m.runs, t)
}

func (sim *poolSimulation) sendHeartbeat(m *poolMachine) {
	sim.seq++
	m.sentAt = sim.now
	h := Heartbeat{
		Worker: jobs.WorkerID("w-" + m.id), Incarnation: m.incarnation, Machine: m.id, Pool: "p", Seq: sim.seq, ReceivedAt: sim.now,
		Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, Ends: slices.Clone(m.ends),
	}
	for _, t := range m.tasks() {
		r := m.runs[t]
		percent := min(int(100*(sim.now-r.startedAt)/r.duration), 99)
		if sim.atWork(t, r) {
			percent = 100
		}
		h.Running = append(h.Running, RunStatus{Task: t, Run: r.run, Percent: percent})
	}
	sim.leader.Heartbeat(h, sim.now)
}

// atWork reports whether a run is one of a long-running task that serves.
func (sim *poolSimulation) atWork(t jobs.TaskID, r *simRun) bool {
	return sim.committed.Jobs[t.Job].Steps[t.Step].LongRunning && sim.now-r.startedAt >= poolStartupMillis
}

// reply applies the reply to a worker's heartbeat.
func (sim *poolSimulation) reply(o Orders) {
	for _, m := range sim.machines {
		if "w-"+string(m.id) != string(o.Worker) || m.incarnation != o.Incarnation || m.awayUntil > sim.now || m.sentAt == 0 {
			continue
		}
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

func (sim *poolSimulation) send(a Action) {
	o := &poolOrder{action: a, from: sim.leader, executeAt: sim.now + 20}
	if sim.chance(2) {
		o.executeAt += clock.Millis(sim.rand.Int64N(int64(simOrderMillis)))
	}
	o.answerAt = o.executeAt + 20
	switch {
	case sim.chance(4):
		o.executed, o.answer = true, AnswerRefusedForNow
	case sim.chance(4):
		o.answer, o.answerAt = AnswerUnknown, sim.now+simOrderMillis
	}
	sim.orders = append(sim.orders, o)
}

// stepOrders carries out orders and delivers answers to the leader that gave the
// order if it still leads.
func (sim *poolSimulation) stepOrders() {
	rest := sim.orders[:0]
	for _, o := range sim.orders {
		if !o.executed && o.executeAt <= sim.now {
			sim.execute(o)
		}
		if o.answerAt > sim.now {
			rest = append(rest, o)
		} else if o.from == sim.leader {
			sim.leader.HandleOutcome(o.action, Outcome{Answer: o.answer}, sim.now)
		}
	}
	sim.orders = rest
}

func (sim *poolSimulation) execute(o *poolOrder) {
	o.executed = true
	number, down := o.action.Wave, 0
	var machine *poolMachine
	for _, m := range sim.machines {
		if m.maintaining == number {
			down++
		}
		if m.id == o.action.Machine {
			machine = m
		}
	}
	switch {
	case machine.maintained[number]:
	case machine.awayUntil > 0:
		if o.answer == AnswerDone {
			o.answer = AnswerRefusedForNow
		}
	default:
		sim.checkAvailability(machine)
		for t := range machine.runs {
			sim.ordered[t] = true
		}
		machine.maintained[number], machine.maintaining, machine.awayUntil = true, number, sim.now+Defaults().MaintenanceMillis
		clear(machine.runs)
		if down >= sim.committed.Waves[number].MaxDown {
			sim.failf("%s goes down for wave %d beside %d others", machine.id, number, down)
		}
	}
}

// checkAvailability checks that no more than MaxUnavailable tasks of a step are away
// once a machine goes down. A task is away if an order has ended it, until it is at work
// again, or if it has not been at work for poolNoticeMillis. In periods with faults, an
// order may be carried out late.
func (sim *poolSimulation) checkAvailability(m *poolMachine) {
	for t, r := range m.runs {
		if !sim.atWork(t, r) || sim.now < sim.calmSince+simOrderMillis {
			continue
		}
		away := 0
		for index := range poolSteps {
			other := jobs.TaskID{Job: t.Job, Index: index}
			if other != t && (sim.ordered[other] || sim.now-sim.servingAt[other] >= poolNoticeMillis) {
				away++
			}
		}
		if away >= sim.committed.Jobs[t.Job].Steps[t.Step].MaxUnavailable {
			sim.failf("%s ends %v while %d others of its step are away", m.id, t, away)
		}
	}
}

// hasRoom reports whether a machine is up and has room for a task.
func (sim *poolSimulation) hasRoom(m *poolMachine, t jobs.TaskID) bool {
	free := jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}
	for other := range m.runs {
		if stepKeyOf(other) == stepKeyOf(t) {
			return false
		}
		free = free.Minus(sim.committed.Jobs[other.Job].Steps[other.Step].Resources)
	}
	return m.awayUntil == 0 && sim.committed.Jobs[t.Job].Steps[t.Step].Resources.FitsIn(free)
}

// checkIdle checks that no long-running task waits for longer than maxIdleMillis
// while a machine has room for it.
func (sim *poolSimulation) checkIdle() {
	running := map[jobs.TaskID]bool{}
	for _, m := range sim.machines {
		for t, r := range m.runs {
			running[t] = true
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
			if running[t] || sim.idleSince[t] == 0 {
				sim.idleSince[t] = sim.now
			}
			if !slices.ContainsFunc(sim.machines, func(m *poolMachine) bool { return sim.hasRoom(m, t) }) {
				sim.fullSince[t] = sim.now
			}
			if sim.now-max(sim.idleSince[t], sim.fullSince[t], sim.calmSince) > maxIdleMillis {
				g := sim.leader.pool("p").groupByStep[stepKeyOf(t)]
				reason := "it does not wait"
				if g != nil {
					reason = sim.leader.filterWorkers(g, sim.now).String()
				}
				sim.failf("%v has not run for %d ms: %s", t, sim.now-sim.idleSince[t], reason)
			}
		}
	}
}

// goingDownError returns an error unless each worker counts as going down exactly while a
// maintenance or a move that was ordered for it is open.
func goingDownError(s *testScheduler) error {
	for _, m := range slices.Sorted(maps.Keys(s.workerByMachine)) {
		if w := s.workerByMachine[m]; w.goingDown != s.hasOpenOrder(w) {
			return fmt.Errorf("%s counts as going down: %v", w.id, w.goingDown)
		}
	}
	return nil
}

// TestSimulatedPool runs seeded random pools. It guards against a long-running task
// that waits while a machine has room for it, more than MaxUnavailable tasks of a step that are
// away because of an order, more than MaxDown machines that are down
// for a wave, a worker that counts as going down without an open order, and a wave that
// never completes.
func TestSimulatedPool(t *testing.T) {
	n := uint64(100)
	if testing.Short() {
		n /= 10
	}
	playSeeds(t, n, func(seed uint64) error {
		sim := newPoolSimulation(seed)
		sim.run(poolMillis)
		for number, w := range sim.committed.Waves {
			if sim.err == nil && !w.Completed() {
				sim.failf("wave %d has not completed", number)
			}
		}
		return sim.err
	})
}
