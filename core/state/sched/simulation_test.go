package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// Parameters of the simulated fleet.
const (
	stepMillis          clock.Millis = 20
	answerTimeoutMillis              = clock.Second
	maxConfirmAgeMillis clock.Millis = 300
	gangTimeoutMillis                = 3 * clock.Second
	simAttempts                      = 3
)

type testScheduler = Scheduler[EarliestDeadline, place.PeerComparison]

// simLeader is a process that leads or believes that it does. Its scheduler is
// ahead of the committed state until its operations are committed.
type simLeader struct {
	scheduler   *testScheduler
	token       uint64
	confirmedAt clock.Millis
}

// simWorker is one incarnation of a simulated worker. It follows the worker
// protocol: orders with an old token have no effect, a run number is used only
// once, and all runs end when the lease expires.
type simWorker struct {
	id          jobs.WorkerID
	incarnation jobs.Incarnation
	machine     jobs.MachineID
	seq         int64
	token       uint64
	leaseUntil  clock.Millis
	runs        map[jobs.TaskID]*simRun
	// closed holds the highest run number that was stopped or has ended, by
	// task.
	closed  map[jobs.TaskID]int
	ends    []RunEnd
	lastEnd int64
	// heartbeatLeader is the leader that accepted the pending heartbeat.
	heartbeatLeader *simLeader
	// sentAt is when the pending heartbeat was sent; 0 for none.
	sentAt        clock.Millis
	nextHeartbeat clock.Millis
	capacity      jobs.Resources
	down          bool
	// The runs of failing workers all fail, and those of stuck workers make no
	// progress.
	failing, stuck bool
	draining       bool
}

type simRun struct {
	run        int
	startedAt  clock.Millis
	duration   clock.Millis
	fails      bool
	checkpoint string
	// formed is set once all tasks of the run's gang were running.
	formed bool
}

// simReply is a reply in transit to a worker.
type simReply struct {
	to        *simWorker
	orders    Orders
	lease     clock.Millis
	token     uint64
	sentAt    clock.Millis
	arrivesAt clock.Millis
}

// failedRun identifies a run by its task or, for a gang, by the first task of
// the gang.
type failedRun struct {
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
	// stale is an earlier leader that has not noticed yet that it no longer
	// leads.
	stale   *simLeader
	token   uint64
	workers []*simWorker
	replies []simReply
	// done holds the tasks that were recorded as done.
	done  map[jobs.TaskID]bool
	fails map[jobs.TaskID]int
	// failed holds the runs that are counted in fails.
	failed          map[failedRun]bool
	submitted       int
	nextIncarnation jobs.Incarnation
	set             Settings
	err             error
	// faultsOff turns off all injected faults.
	faultsOff bool
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), now: 100_000, committed: jobs.New(), done: map[jobs.TaskID]bool{},
		fails: map[jobs.TaskID]int{}, failed: map[failedRun]bool{}, nextIncarnation: 1, set: Defaults(),
	}
	w.set.BacklogTargetMillis = 0
	w.committed.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &jobs.Config{
		Version: 1, Pools: []jobs.Pool{{Name: "p", AdmissionControl: true}},
		Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: simAttempts, Target: 3000, StretchPermille: 1500}},
	}}}, w.now)
	for n := range 4 {
		w.workers = append(w.workers, w.newWorker(n))
	}
	w.elect()
	return w
}

func (w *simulation) newWorker(n int) *simWorker {
	w.nextIncarnation++
	return &simWorker{
		id: jobs.WorkerID(fmt.Sprint("w", n)), incarnation: w.nextIncarnation, machine: jobs.MachineID(fmt.Sprint("m", n)),
		runs: map[jobs.TaskID]*simRun{}, closed: map[jobs.TaskID]int{}, capacity: jobs.Resources{MilliCores: 4000, MemoryMiB: 4000},
		failing: !w.faultsOff && w.rand.IntN(20) == 0, stuck: !w.faultsOff && w.rand.IntN(30) == 0,
	}
}

// elect makes a new leader. The previous one may continue for a while without
// being able to commit.
func (w *simulation) elect() {
	w.token++
	w.stale = w.leader
	w.leader = &simLeader{
		scheduler: New(w.set, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, w.committed.Clone(), w.now),
		token:     w.token, confirmedAt: w.now,
	}
}

func (w *simulation) failf(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %d ms: "+format, append([]any{w.now}, args...)...)
	}
}

// step simulates one time step.
func (w *simulation) step() {
	w.now += stepMillis
	w.deliver()
	w.updateGangs()
	for n, x := range w.workers {
		w.stepWorker(n, x)
	}
	if w.rand.IntN(8) == 0 && w.submitted < 12 && !w.faultsOff {
		w.submit()
	}
	if !w.faultsOff {
		w.injectFault()
	}
	w.runPass(w.leader, true)
	if w.stale != nil {
		w.runPass(w.stale, false)
		if w.now-w.stale.confirmedAt > 2*clock.Second {
			w.stale = nil
		}
	}
	w.checkSingleRuns()
}

func (w *simulation) submit() {
	w.submitted++
	j := jobs.Job{
		ID: jobs.ID(fmt.Sprint("j", w.submitted)), Queue: "q", Pool: "p", MaxAttempts: simAttempts, Target: 3000, StretchPermille: 1500,
		Steps: []jobs.Step{
			{TaskCount: 1 + w.rand.IntN(3), Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 500}, Estimate: 400},
			{TaskCount: 1 + w.rand.IntN(3), Resources: jobs.Resources{MilliCores: 1500, MemoryMiB: 100}, Estimate: 300, DependsOn: []int{0}, Checkpoints: true},
		},
	}
	if w.rand.IntN(6) == 0 {
		j.Steps = []jobs.Step{{TaskCount: 3, Resources: jobs.Resources{MilliCores: 500, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1}}
	}
	if w.rand.IntN(5) == 0 {
		j.Steps[0] = jobs.Step{
			TaskCount: 2 + w.rand.IntN(3), Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 500}, Estimate: 400, Gang: true, Checkpoints: true,
			SameRack: w.rand.IntN(2) == 0,
		}
	}
	if w.rand.IntN(6) == 0 {
		j.OccurrenceCount, j.FirstDue, j.Interval = 2, w.now+clock.Millis(w.rand.IntN(2000)), 500
	}
	w.leader.scheduler.Submit(j, w.now)
	// A submitter resends a request that was not answered.
	if w.rand.IntN(3) == 0 {
		w.leader.scheduler.Submit(j, w.now)
	}
}

// injectFault injects a random fault, or none.
func (w *simulation) injectFault() {
	switch w.rand.IntN(400) {
	case 0:
		w.elect()
	case 1, 2:
		n := w.rand.IntN(len(w.workers))
		w.workers[n].down = true
		w.workers[n] = w.newWorker(n)
	case 3:
		w.leader.scheduler.Cancel(jobs.ID(fmt.Sprint("j", 1+w.rand.IntN(12))), w.now)
	case 4:
		// A network partition: the leader receives no heartbeat of the worker
		// for seconds.
		x := w.workers[w.rand.IntN(len(w.workers))]
		x.nextHeartbeat = w.now + clock.Millis(w.rand.IntN(9000))
	case 5:
		w.workers[w.rand.IntN(len(w.workers))].draining = true
	}
}

// runPass runs a pass of a leader. Only the true leader commits. A stale one
// still sends replies that need no commit while its last confirmation is
// recent.
func (w *simulation) runPass(l *simLeader, leads bool) {
	p := l.scheduler.Pass(w.now)
	if leads {
		l.confirmedAt = w.now
		w.commit(p.Ops)
	} else if len(p.Ops) > 0 || w.now-l.confirmedAt > maxConfirmAgeMillis {
		return
	}
	for _, o := range p.Orders {
		for _, x := range w.workers {
			if x.id != o.Worker || x.incarnation != o.Incarnation || x.heartbeatLeader != l || x.sentAt == 0 {
				continue
			}
			hold := w.set.LeaseMillis - max(0, x.sentAt-l.confirmedAt)
			delay := clock.Millis(w.rand.IntN(60))
			if !w.faultsOff && w.rand.IntN(40) == 0 {
				delay = clock.Millis(w.rand.IntN(3000))
			}
			w.replies = append(w.replies, simReply{to: x, orders: o, lease: hold, token: l.token, sentAt: x.sentAt, arrivesAt: w.now + delay})
		}
	}
}

func (w *simulation) commit(ops []jobs.Op) {
	for _, o := range ops {
		if o.Kind == jobs.OpEnd {
			t := w.committed.Task(o.Task)
			if t == nil || t.Phase != jobs.PhaseAssigned || t.Run != o.Run {
				continue
			}
			w.recordEnd(o)
		}
	}
	w.committed.Apply(ops, w.now)
}

// recordEnd records what a run end means for the task, or for all tasks of its
// gang.
func (w *simulation) recordEnd(o jobs.Op) {
	step := &w.committed.Jobs[o.Task.Job].Steps[o.Task.Step]
	if step.LongRunning {
		return
	}
	of := []jobs.TaskID{o.Task}
	if step.Gang {
		of = of[:0]
		for n := range step.TaskCount {
			of = append(of, jobs.TaskID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: o.Task.Step, Index: n})
		}
	}
	failed := failedRun{of[0], o.Run}
	for _, t := range of {
		w.done[t] = w.done[t] || o.Result == jobs.ResultDone
		if o.Result == jobs.ResultFailed && !w.failed[failed] {
			w.fails[t]++
		}
	}
	w.failed[failed] = w.failed[failed] || o.Result == jobs.ResultFailed
}

// deliver delivers replies to workers. A reply that arrives after more than
// answerTimeoutMillis is dropped.
func (w *simulation) deliver() {
	kept := w.replies[:0]
	for _, a := range w.replies {
		switch {
		case a.arrivesAt > w.now:
			kept = append(kept, a)
		case a.sentAt == a.to.sentAt && w.now-a.sentAt <= answerTimeoutMillis && !a.to.down:
			w.applyReply(a)
		}
	}
	w.replies = kept
}

func (w *simulation) applyReply(a simReply) {
	x := a.to
	x.sentAt, x.nextHeartbeat = 0, w.now+a.orders.RetryAfter
	if a.token < x.token {
		return
	}
	x.token = a.token
	// The worker's clock runs 2% slow.
	x.leaseUntil = max(x.leaseUntil, a.sentAt+a.lease+a.lease/50)
	x.ends = slices.DeleteFunc(x.ends, func(e RunEnd) bool { return e.Number <= a.orders.AckUpTo })
	for _, s := range a.orders.Stops {
		x.closed[s.Task] = max(x.closed[s.Task], s.Run)
		if r := x.runs[s.Task]; r != nil && r.run == s.Run {
			x.end(s.Task, r, jobs.ResultStopped)
		}
	}
	for _, s := range a.orders.Starts {
		w.startRun(x, s)
	}
}

func (x *simWorker) end(t jobs.TaskID, r *simRun, how jobs.Result) {
	x.lastEnd++
	x.ends = append(x.ends, RunEnd{Number: x.lastEnd, Task: t, Run: r.run, Result: how, Checkpoint: fmt.Sprint("s", r.run, "-", t.Index)})
	x.closed[t] = max(x.closed[t], r.run)
	delete(x.runs, t)
}

func (w *simulation) startRun(x *simWorker, s Start) {
	if r := x.runs[s.Task]; r != nil && r.run == s.Run {
		return
	}
	used := jobs.Resources{}
	for t := range x.runs {
		used = used.Plus(w.committed.Jobs[t.Job].Steps[t.Step].Resources)
	}
	need := w.committed.Jobs[s.Task.Job].Steps[s.Task.Step].Resources
	if s.Run <= x.closed[s.Task] || !need.Fits(x.capacity.Minus(used)) {
		x.end(s.Task, &simRun{run: s.Run}, jobs.ResultRefused)
		return
	}
	w.checkStart(x, s)
	duration := clock.Millis(100 + w.rand.IntN(900))
	x.runs[s.Task] = &simRun{run: s.Run, startedAt: w.now, duration: duration, fails: x.failing || w.rand.IntN(25) == 0, checkpoint: s.Checkpoint}
	w.checkGang(x, s)
}

// checkGang checks that the running tasks of a gang share their run number and
// started from the same checkpoint.
func (w *simulation) checkGang(x *simWorker, s Start) {
	if !w.committed.Jobs[s.Task.Job].Steps[s.Task.Step].Gang {
		return
	}
	for _, y := range w.workers {
		for t, r := range y.runs {
			if t.Job != s.Task.Job || t.Occurrence != s.Task.Occurrence || t.Step != s.Task.Step {
				continue
			}
			if r.run == s.Run && r.checkpoint != s.Checkpoint {
				w.failf("task %v starts from checkpoint %q, but %v of its gang from %q", s.Task, s.Checkpoint, t, r.checkpoint)
			}
			if r.run > s.Run {
				w.failf("task %v starts run %d on %s while run %d of %v is running", s.Task, s.Run, x.id, r.run, t)
			}
		}
	}
}

// updateGangs starts the work of gangs whose tasks are all running. A gang that
// has lost a task, or has waited too long for the others, is stopped.
func (w *simulation) updateGangs() {
	present := map[failedRun]int{}
	for _, x := range w.workers {
		for t, r := range x.runs {
			present[gangRun(t, r)]++
		}
	}
	for _, x := range w.workers {
		for t, r := range x.runs {
			step := &w.committed.Jobs[t.Job].Steps[t.Step]
			all := present[gangRun(t, r)] == step.TaskCount
			switch {
			case !step.Gang:
			case all && !r.formed:
				r.formed, r.startedAt = true, w.now
			case !all && (r.formed || w.now-r.startedAt > gangTimeoutMillis):
				x.end(t, r, jobs.ResultStopped)
			}
		}
	}
}

func gangRun(t jobs.TaskID, r *simRun) failedRun {
	t.Index = 0
	return failedRun{t, r.run}
}

// checkStart checks the invariants of a task start.
func (w *simulation) checkStart(x *simWorker, s Start) {
	rec := w.committed.Jobs[s.Task.Job]
	switch {
	case w.done[s.Task]:
		w.failf("task %v starts on %s after it was recorded as done", s.Task, x.id)
	case w.fails[s.Task] >= simAttempts:
		w.failf("task %v starts after %d failed runs", s.Task, w.fails[s.Task])
	case !rec.Ready(s.Task.Occurrence, s.Task.Step):
		w.failf("task %v starts before the steps that it depends on are done", s.Task)
	case rec.Due(s.Task.Occurrence) > w.now:
		w.failf("task %v starts before its occurrence is due", s.Task)
	}
}

// stepWorker simulates the work of a worker and sends its next heartbeat.
func (w *simulation) stepWorker(_ int, x *simWorker) {
	if w.now >= x.leaseUntil {
		for t, r := range x.runs {
			x.end(t, r, jobs.ResultExpired)
		}
	}
	ended := false
	for t, r := range x.runs {
		step := &w.committed.Jobs[t.Job].Steps[t.Step]
		if step.LongRunning || (step.Gang && !r.formed) || x.stuck || w.now-r.startedAt < r.duration {
			continue
		}
		how := jobs.ResultDone
		if r.fails {
			how = jobs.ResultFailed
		}
		if step.Gang && how == jobs.ResultDone {
			w.endGang(t, r)
		} else {
			x.end(t, r, how)
		}
		ended = true
	}
	if x.sentAt != 0 && w.now-x.sentAt > answerTimeoutMillis {
		x.sentAt = 0
	}
	if ended && x.sentAt == 0 {
		x.nextHeartbeat = min(x.nextHeartbeat, w.now+60)
	}
	if x.sentAt == 0 && w.now >= x.nextHeartbeat {
		w.sendHeartbeat(x)
	}
}

// endGang completes all tasks of a gang.
func (w *simulation) endGang(of jobs.TaskID, r *simRun) {
	key := gangRun(of, r)
	for _, x := range w.workers {
		for t, y := range x.runs {
			if gangRun(t, y) == key {
				x.end(t, y, jobs.ResultDone)
			}
		}
	}
}

func (w *simulation) sendHeartbeat(x *simWorker) {
	x.seq++
	x.sentAt = w.now
	h := Heartbeat{
		Worker: x.id, Incarnation: x.incarnation, Machine: x.machine, Pool: "p", Labels: []string{"a", "r-1"}, Seq: x.seq, Capacity: x.capacity,
		Draining: x.draining, Ends: slices.Clone(x.ends), ReceivedAt: w.now,
	}
	for t, r := range x.runs {
		percent := int(100 * (w.now - r.startedAt) / r.duration)
		if x.stuck {
			percent = 0
		}
		h.Running = append(h.Running, RunStatus{Task: t, Run: r.run, Percent: min(percent, 99), Checkpoint: fmt.Sprint("s", r.run, "-", t.Index)})
		if w.committed.Jobs[t.Job].Steps[t.Step].LongRunning {
			h.Running[len(h.Running)-1].Percent = 100
		}
	}
	l := w.leader
	if w.stale != nil && w.rand.IntN(2) == 0 {
		l = w.stale
	}
	x.heartbeatLeader = nil
	if l.scheduler.Heartbeat(h, w.now) {
		x.heartbeatLeader = l
	}
	if !w.faultsOff && w.rand.IntN(50) == 0 {
		// A heartbeat may arrive twice or late.
		l.scheduler.Heartbeat(h, w.now)
	}
}

// checkSingleRuns checks that no task runs on two workers at the same time.
func (w *simulation) checkSingleRuns() {
	seen := map[jobs.TaskID]*simWorker{}
	for _, x := range w.workers {
		for t := range x.runs {
			if y := seen[t]; y != nil {
				w.failf("task %v runs on %s and %s", t, x.id, y.id)
			}
			seen[t] = x
		}
	}
}
