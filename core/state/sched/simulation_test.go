package sched

import (
	"fmt"
	"math/rand/v2"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// Parameters of the simulated fleet. replyTimeoutMillis is how long a worker
// waits for a reply, and gangTimeoutMillis how long a task of a gang waits for
// the others. maxConfirmAgeMillis is how long a leader sends replies after it
// last confirmed its leadership.
const (
	stepMillis              clock.Millis = 20
	replyTimeoutMillis                   = clock.Second
	maxConfirmAgeMillis     clock.Millis = 300
	gangTimeoutMillis                    = 3 * clock.Second
	simMaxAttempts                       = 3
	consistencyPeriodMillis              = 100
)

type testScheduler = Scheduler[EarliestDeadline, place.PeerComparison]

// simLeader is a process that is the leader or believes that it is. Its
// scheduler is ahead of the committed state until its operations are committed.
type simLeader struct {
	scheduler *testScheduler
	// token is the fencing token of the leader; it increases with each
	// election.
	token uint64
	// confirmedAt is when the process last confirmed its leadership.
	confirmedAt clock.Millis
	// clockOffset is the difference between the process's clock and
	// simulation.now.
	clockOffset clock.Millis
}

// simReply is a reply in transit to a worker.
type simReply struct {
	to     *simWorker
	orders Orders
	// lease is the duration of the granted lease. It starts at sentAt, when the
	// worker sent the heartbeat.
	lease     clock.Millis
	token     uint64
	sentAt    clock.Millis
	arrivesAt clock.Millis
}

// runKey identifies a run by its number and its task or, for a gang, the first
// task of the gang.
type runKey struct {
	task jobs.TaskID
	run  int
}

// simulation runs simulated workers against changing leaders and checks
// invariants.
type simulation struct {
	rand      *rand.Rand
	now       clock.Millis
	committed *jobs.State
	leader    *simLeader
	// stale is the previous leader while it does not know yet that it has been
	// replaced; nil for none.
	stale   *simLeader
	token   uint64
	workers []*simWorker
	replies []simReply
	// done holds the tasks that were recorded as done in a committed operation.
	done map[jobs.TaskID]bool
	// failures counts the failed runs of each task; for a task of a gang, those of
	// the gang.
	failures map[jobs.TaskID]int
	// countedFailures holds the runs that are counted in failures.
	countedFailures map[runKey]bool
	// started holds the jobs of which a task has started.
	started         map[jobs.ID]bool
	submitted       int
	nextIncarnation jobs.Incarnation
	settings        Settings
	err             error
	// faultsOff turns off all injected faults.
	faultsOff bool
	// maxClockOffset limits the clock offsets of leaders.
	maxClockOffset clock.Millis
	// maxJobs limits the number of submitted jobs.
	maxJobs int
	// customers are those that submit jobs; none for jobs without a customer.
	customers []jobs.CustomerName
	// checkPlan checks a plan of the current leader, and checkRunning the runs on the
	// workers after a start; nil for no check.
	checkPlan    func(s *testScheduler, p Plan)
	checkRunning func(started jobs.TaskID)
	// customerOf returns the customer of the job with a number; nil if jobs have none
	// or that of customers.
	customerOf func(n int) jobs.CustomerName
}

// pickCustomer returns the customer of the next job.
func (sim *simulation) pickCustomer() jobs.CustomerName {
	if len(sim.customers) == 0 {
		return ""
	}
	return sim.customers[sim.rand.IntN(len(sim.customers))]
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), now: 100_000, committed: jobs.New(), done: map[jobs.TaskID]bool{},
		failures: map[jobs.TaskID]int{}, countedFailures: map[runKey]bool{}, started: map[jobs.ID]bool{}, nextIncarnation: 1, settings: Defaults(), maxJobs: 12,
	}
	sim.settings.BacklogTargetMillis = 0
	sim.settings.LateHeartbeatMillis = 10 * clock.Second
	sim.committed.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &jobs.Config{
		Version: 1, Pools: []jobs.Pool{{Name: "p", AdmissionControl: true}, {Name: "r", AdmissionControl: true}},
		Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: simMaxAttempts, Target: 3000, StretchPermille: 1500}},
	}}}, sim.now)
	for n := range 4 {
		sim.workers = append(sim.workers, sim.newWorker(n))
	}
	sim.elect()
	return sim
}

// elect replaces the leader. The previous one continues for a while but cannot
// commit.
func (sim *simulation) elect() {
	sim.token++
	sim.stale = sim.leader
	offset := clock.Millis(0)
	if sim.maxClockOffset > 0 {
		offset = clock.Millis(sim.rand.Int64N(int64(sim.maxClockOffset)))
	}
	sim.leader = &simLeader{
		scheduler: New(sim.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, sim.committed.Clone(), sim.now+offset),
		token:     sim.token, confirmedAt: sim.now, clockOffset: offset,
	}
}

// leaderNow returns the current time by the leader's clock.
func (sim *simulation) leaderNow() clock.Millis { return sim.now + sim.leader.clockOffset }

func (sim *simulation) failf(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf("at %d ms: "+format, append([]any{sim.now}, args...)...)
	}
}

// step simulates one time step.
func (sim *simulation) step() {
	sim.now += stepMillis
	sim.deliver()
	sim.updateGangs()
	for n, w := range sim.workers {
		sim.stepWorker(n, w)
	}
	if sim.rand.IntN(8) == 0 && sim.submitted < sim.maxJobs && !sim.faultsOff {
		sim.submit()
	}
	if !sim.faultsOff {
		sim.injectFault()
	}
	sim.runPass(sim.leader, true)
	if sim.stale != nil {
		sim.runPass(sim.stale, false)
		if sim.now-sim.stale.confirmedAt > 2*clock.Second {
			sim.stale = nil
		}
	}
	sim.checkSingleRuns()
	sim.checkPending()
	if sim.now%consistencyPeriodMillis == 0 {
		sim.leader.scheduler.checkConsistency(sim.failf)
	}
}

func (sim *simulation) submit() {
	sim.submitted++
	j := jobs.Job{
		ID: jobs.ID(fmt.Sprint("j", sim.submitted)), Queue: "q", Pool: "p", MaxAttempts: simMaxAttempts, Target: 3000, StretchPermille: 1500,
		Steps: []jobs.Step{
			{TaskCount: 1 + sim.rand.IntN(3), Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 500}, Estimate: 400},
			{TaskCount: 1 + sim.rand.IntN(3), Resources: jobs.Resources{MilliCores: 1500, MemoryMiB: 100}, Estimate: 300, DependsOn: []int{0}, Checkpoints: true},
		},
	}
	if sim.rand.IntN(6) == 0 {
		j.Steps = []jobs.Step{{TaskCount: 3, Resources: jobs.Resources{MilliCores: 500, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1}}
	}
	if sim.rand.IntN(5) == 0 {
		j.Steps[0] = jobs.Step{
			TaskCount: 2 + sim.rand.IntN(3), Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 500}, Estimate: 400, Gang: true, Checkpoints: true,
			SameRack: sim.rand.IntN(2) == 0,
		}
	}
	if sim.rand.IntN(6) == 0 {
		j.OccurrenceCount, j.FirstDue, j.Interval = 2, sim.now+clock.Millis(sim.rand.IntN(2000)), 500
	}
	j.Customer = sim.pickCustomer()
	if sim.customerOf != nil {
		j.Customer = sim.customerOf(sim.submitted)
	}
	sim.leader.scheduler.Submit(j, sim.leaderNow())
	// A submitter resends a request that was not answered.
	if sim.rand.IntN(3) == 0 {
		sim.leader.scheduler.Submit(j, sim.leaderNow())
	}
}

// injectFault injects a random fault, or none.
func (sim *simulation) injectFault() {
	switch sim.rand.IntN(400) {
	case 0:
		sim.elect()
	case 1, 2:
		n := sim.rand.IntN(len(sim.workers))
		sim.workers[n].down = true
		sim.workers[n] = sim.newWorker(n)
	case 3:
		sim.leader.scheduler.Cancel(jobs.CancelKey{Job: jobs.ID(fmt.Sprint("j", 1+sim.rand.IntN(sim.maxJobs)))}, sim.leaderNow())
	case 4:
		// A network partition: the leader receives no heartbeat of the worker
		// for seconds.
		w := sim.workers[sim.rand.IntN(len(sim.workers))]
		w.nextHeartbeat = sim.now + clock.Millis(sim.rand.IntN(9000))
	case 5:
		sim.workers[sim.rand.IntN(len(sim.workers))].draining = true
	}
}

// runPass runs a pass of a leader. Only the current leader commits. A stale one
// still sends the replies of a plan without operations, until
// maxConfirmAgeMillis after its last confirmation.
func (sim *simulation) runPass(l *simLeader, leads bool) {
	p := l.scheduler.Pass(sim.now + l.clockOffset)
	if leads {
		if sim.checkPlan != nil {
			sim.checkPlan(l.scheduler, p)
		}
		l.confirmedAt = sim.now
		sim.commit(p.Ops)
	} else if len(p.Ops) > 0 || sim.now-l.confirmedAt > maxConfirmAgeMillis {
		return
	}
	for _, o := range p.Orders {
		for _, w := range sim.workers {
			if w.id != o.Worker || w.incarnation != o.Incarnation || w.heartbeatLeader != l || w.sentAt == 0 {
				continue
			}
			lease := sim.settings.LeaseMillis - max(0, w.sentAt-l.confirmedAt)
			delay := clock.Millis(sim.rand.IntN(60))
			if !sim.faultsOff && sim.rand.IntN(40) == 0 {
				delay = clock.Millis(sim.rand.IntN(3000))
			}
			sim.replies = append(sim.replies, simReply{to: w, orders: o, lease: lease, token: l.token, sentAt: w.sentAt, arrivesAt: sim.now + delay})
		}
	}
}

func (sim *simulation) commit(ops []jobs.Op) {
	for _, o := range ops {
		if o.Kind == jobs.OpEnd {
			t := sim.committed.Task(o.Task)
			if t == nil || t.Phase != jobs.PhaseAssigned || t.Run != o.Run {
				continue
			}
			sim.recordEnd(o)
		}
	}
	sim.committed.Apply(ops, sim.leaderNow())
}

// recordEnd records what a run end means for the task, or for all tasks of its
// gang.
func (sim *simulation) recordEnd(o jobs.Op) {
	step := &sim.committed.Jobs[o.Task.Job].Steps[o.Task.Step]
	if step.LongRunning {
		return
	}
	tasks := []jobs.TaskID{o.Task}
	if step.Gang {
		tasks = tasks[:0]
		for n := range step.TaskCount {
			tasks = append(tasks, jobs.TaskID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: o.Task.Step, Index: n})
		}
	}
	key := runKey{tasks[0], o.Run}
	for _, t := range tasks {
		sim.done[t] = sim.done[t] || o.Result == jobs.ResultDone
		if o.Result == jobs.ResultFailed && !sim.countedFailures[key] {
			sim.failures[t]++
		}
	}
	sim.countedFailures[key] = sim.countedFailures[key] || o.Result == jobs.ResultFailed
}

// deliver delivers replies to workers. A reply that arrives after more than
// replyTimeoutMillis is dropped.
func (sim *simulation) deliver() {
	kept := sim.replies[:0]
	for _, reply := range sim.replies {
		switch {
		case reply.arrivesAt > sim.now:
			kept = append(kept, reply)
		case reply.sentAt == reply.to.sentAt && sim.now-reply.sentAt <= replyTimeoutMillis && !reply.to.down && sim.now >= reply.to.repliesLostUntil:
			sim.applyReply(reply)
		}
	}
	sim.replies = kept
}

// checkStart checks that a task may start.
func (sim *simulation) checkStart(w *simWorker, s Start) {
	rec := sim.committed.Jobs[s.Task.Job]
	switch {
	case sim.done[s.Task]:
		sim.failf("task %v starts on %s after it was recorded as done", s.Task, w.id)
	case sim.failures[s.Task] >= simMaxAttempts:
		sim.failf("task %v starts after %d failed runs", s.Task, sim.failures[s.Task])
	case !rec.Ready(s.Task.Occurrence, s.Task.Step):
		sim.failf("task %v starts before the steps that it depends on are done", s.Task)
	case rec.DueAt(s.Task.Occurrence) > sim.now+sim.maxClockOffset:
		sim.failf("task %v starts before its occurrence is due", s.Task)
	}
}

// checkSingleRuns checks that no task runs on two workers at the same time.
func (sim *simulation) checkSingleRuns() {
	seen := map[jobs.TaskID]*simWorker{}
	for _, w := range sim.workers {
		for t := range w.runs {
			if other := seen[t]; other != nil {
				sim.failf("task %v runs on %s and %s", t, w.id, other.id)
			}
			seen[t] = w
		}
	}
}

// checkPending checks that the leader counts every job that waits for its first
// start as pending.
func (sim *simulation) checkPending() {
	waiting := map[jobs.QueueName]int{}
	for id, rec := range sim.committed.Jobs {
		if rec.OccurrenceCount == 0 && !rec.Status.Final() && !sim.started[id] {
			waiting[rec.Queue]++
		}
	}
	for queue, count := range waiting {
		if n := sim.leader.scheduler.PendingJobs(queue); n < count {
			sim.failf("%d jobs of queue %s are said to be pending, but %d have not started", n, queue, count)
		}
	}
}
