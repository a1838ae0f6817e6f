package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// The figures of the simulated fleet.
const (
	worldStep     clock.Millis = 20
	dropAfter                  = clock.Second
	confirmAge    clock.Millis = 300
	gangTimeout                = 3 * clock.Second
	worldAttempts              = 3
)

type testBoard = Scheduler[EarliestDeadline, place.PeerComparison]

// leader is a process that leads or believes to. Its board is ahead of the
// committed state until its operations are committed.
type leader struct {
	board     *testBoard
	token     uint64
	confirmed clock.Millis
}

// instance is one life of a simulated worker, which follows the protocol of
// workers: orders under an old token do nothing, a run number is used once, and
// everything ends with the lease.
type instance struct {
	id      jobs.WorkerID
	life    jobs.Incarnation
	machine jobs.MachineID
	seq     int64
	token   uint64
	until   clock.Millis
	runs    map[jobs.TaskID]*simRun
	// closed holds the highest run that was stopped or has ended, by task.
	closed map[jobs.TaskID]int
	ends   []RunEnd
	number int64
	// taker is the leader that took the heartbeat which waits.
	taker *leader
	// sent is the time of the heartbeat that waits for its answer; 0 for none.
	sent clock.Millis
	next clock.Millis
	room jobs.Resources
	down bool
	// bad workers fail everything, and stuck ones make no progress.
	bad, stuck bool
	draining   bool
}

type simRun struct {
	run   int
	began clock.Millis
	takes clock.Millis
	fails bool
	saved string
	// formed is set once all tasks of the run's gang were there.
	formed bool
}

// answer is an answer on its way to a worker.
type answer struct {
	to     *instance
	orders Orders
	hold   clock.Millis
	token  uint64
	sent   clock.Millis
	at     clock.Millis
}

// failedRun names a run by the task, or the first task of the gang.
type failedRun struct {
	task jobs.TaskID
	run  int
}

// world plays workers against leaders that change, and checks what must hold.
type world struct {
	r         *rand.Rand
	now       clock.Millis
	committed *jobs.State
	lead      *leader
	// stale is an earlier leader that has not noticed yet.
	stale   *leader
	token   uint64
	workers []*instance
	answers []answer
	// done holds the tasks with a noted good end.
	done  map[jobs.TaskID]bool
	fails map[jobs.TaskID]int
	// failed holds the runs that count in fails.
	failed map[failedRun]bool
	jobs   int
	born   jobs.Incarnation
	set    Settings
	err    error
	// calm turns all troubles off.
	calm bool
}

func newWorld(seed uint64) *world {
	w := &world{
		r: rand.New(rand.NewPCG(seed, 1)), now: 100_000, committed: jobs.New(), done: map[jobs.TaskID]bool{},
		fails: map[jobs.TaskID]int{}, failed: map[failedRun]bool{}, born: 1, set: Defaults(),
	}
	w.set.BacklogTargetMillis = 0
	w.committed.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &jobs.Config{
		Version: 1, Pools: []jobs.Pool{{Name: "p", AdmissionControl: true}},
		Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: worldAttempts, Target: 3000, StretchPermille: 1500}},
	}}}, w.now)
	for n := range 4 {
		w.workers = append(w.workers, w.newInstance(n))
	}
	w.elect()
	return w
}

func (w *world) newInstance(n int) *instance {
	w.born++
	return &instance{
		id: jobs.WorkerID(fmt.Sprint("w", n)), life: w.born, machine: jobs.MachineID(fmt.Sprint("m", n)),
		runs: map[jobs.TaskID]*simRun{}, closed: map[jobs.TaskID]int{}, room: jobs.Resources{MilliCores: 4000, MemoryMiB: 4000},
		bad: !w.calm && w.r.IntN(20) == 0, stuck: !w.calm && w.r.IntN(30) == 0,
	}
}

// elect makes a new leader. The one before may go on for a while without being
// able to commit.
func (w *world) elect() {
	w.token++
	w.stale = w.lead
	w.lead = &leader{
		board: New(w.set, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, w.committed.Clone(), w.now),
		token: w.token, confirmed: w.now,
	}
}

func (w *world) failf(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %d ms: "+format, append([]any{w.now}, args...)...)
	}
}

// step plays one time step.
func (w *world) step() {
	w.now += worldStep
	w.deliver()
	w.gather()
	for n, x := range w.workers {
		w.play(n, x)
	}
	if w.r.IntN(8) == 0 && w.jobs < 12 && !w.calm {
		w.submit()
	}
	if !w.calm {
		w.trouble()
	}
	w.pass(w.lead, true)
	if w.stale != nil {
		w.pass(w.stale, false)
		if w.now-w.stale.confirmed > 2*clock.Second {
			w.stale = nil
		}
	}
	w.check()
}

func (w *world) submit() {
	w.jobs++
	j := jobs.Job{
		ID: jobs.ID(fmt.Sprint("j", w.jobs)), Queue: "q", Pool: "p", MaxAttempts: worldAttempts, Target: 3000, StretchPermille: 1500,
		Steps: []jobs.Step{
			{TaskCount: 1 + w.r.IntN(3), Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 500}, Estimate: 400},
			{TaskCount: 1 + w.r.IntN(3), Resources: jobs.Resources{MilliCores: 1500, MemoryMiB: 100}, Estimate: 300, DependsOn: []int{0}, Checkpoints: true},
		},
	}
	if w.r.IntN(6) == 0 {
		j.Steps = []jobs.Step{{TaskCount: 3, Resources: jobs.Resources{MilliCores: 500, MemoryMiB: 100}, LongRunning: true, MaxUnavailable: 1}}
	}
	if w.r.IntN(5) == 0 {
		j.Steps[0] = jobs.Step{
			TaskCount: 2 + w.r.IntN(3), Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 500}, Estimate: 400, Gang: true, Checkpoints: true,
			SameRack: w.r.IntN(2) == 0,
		}
	}
	if w.r.IntN(6) == 0 {
		j.OccurrenceCount, j.FirstDue, j.Interval = 2, w.now+clock.Millis(w.r.IntN(2000)), 500
	}
	w.lead.board.Submit(j, w.now)
	// A submitter sends again what it got no answer for.
	if w.r.IntN(3) == 0 {
		w.lead.board.Submit(j, w.now)
	}
}

// trouble brings about one of the failures at random.
func (w *world) trouble() {
	switch w.r.IntN(400) {
	case 0:
		w.elect()
	case 1, 2:
		n := w.r.IntN(len(w.workers))
		w.workers[n].down = true
		w.workers[n] = w.newInstance(n)
	case 3:
		w.lead.board.Cancel(jobs.ID(fmt.Sprint("j", 1+w.r.IntN(12))), w.now)
	case 4:
		// A cut: the worker is not heard for seconds.
		x := w.workers[w.r.IntN(len(w.workers))]
		x.next = w.now + clock.Millis(w.r.IntN(9000))
	case 5:
		w.workers[w.r.IntN(len(w.workers))].draining = true
	}
}

// pass lets a leader decide. Only the true leader commits; a stale one still
// answers what needs no commit while its last confirmation is recent.
func (w *world) pass(l *leader, leads bool) {
	p := l.board.Pass(w.now)
	if leads {
		l.confirmed = w.now
		w.commit(p.Ops)
	} else if len(p.Ops) > 0 || w.now-l.confirmed > confirmAge {
		return
	}
	for _, o := range p.Orders {
		for _, x := range w.workers {
			if x.id != o.Worker || x.life != o.Incarnation || x.taker != l || x.sent == 0 {
				continue
			}
			hold := w.set.LeaseMillis - max(0, x.sent-l.confirmed)
			delay := clock.Millis(w.r.IntN(60))
			if !w.calm && w.r.IntN(40) == 0 {
				delay = clock.Millis(w.r.IntN(3000))
			}
			w.answers = append(w.answers, answer{to: x, orders: o, hold: hold, token: l.token, sent: x.sent, at: w.now + delay})
		}
	}
}

func (w *world) commit(ops []jobs.Op) {
	for _, o := range ops {
		if o.Kind == jobs.OpEnd {
			t := w.committed.Task(o.Task)
			if t == nil || t.Phase != jobs.PhaseAssigned || t.Run != o.Run {
				continue
			}
			w.noteEnd(o)
		}
	}
	w.committed.Apply(ops, w.now)
}

// noteEnd counts what an end means for the task, or for all tasks of its gang.
func (w *world) noteEnd(o jobs.Op) {
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

// deliver hands answers to workers; those that come after a second are
// dropped.
func (w *world) deliver() {
	kept := w.answers[:0]
	for _, a := range w.answers {
		switch {
		case a.at > w.now:
			kept = append(kept, a)
		case a.sent == a.to.sent && w.now-a.sent <= dropAfter && !a.to.down:
			w.obey(a)
		}
	}
	w.answers = kept
}

func (w *world) obey(a answer) {
	x := a.to
	x.sent, x.next = 0, w.now+a.orders.RetryAfter
	if a.token < x.token {
		return
	}
	x.token = a.token
	// The worker's clock runs 2% slow.
	x.until = max(x.until, a.sent+a.hold+a.hold/50)
	x.ends = slices.DeleteFunc(x.ends, func(e RunEnd) bool { return e.Number <= a.orders.AckUpTo })
	for _, s := range a.orders.Stops {
		x.closed[s.Task] = max(x.closed[s.Task], s.Run)
		if r := x.runs[s.Task]; r != nil && r.run == s.Run {
			x.end(s.Task, r, jobs.ResultStopped)
		}
	}
	for _, s := range a.orders.Starts {
		w.start(x, s)
	}
}

func (x *instance) end(t jobs.TaskID, r *simRun, how jobs.Result) {
	x.number++
	x.ends = append(x.ends, RunEnd{Number: x.number, Task: t, Run: r.run, Result: how, Checkpoint: fmt.Sprint("s", r.run, "-", t.Index)})
	x.closed[t] = max(x.closed[t], r.run)
	delete(x.runs, t)
}

func (w *world) start(x *instance, s Start) {
	if r := x.runs[s.Task]; r != nil && r.run == s.Run {
		return
	}
	used := jobs.Resources{}
	for t := range x.runs {
		used = used.Plus(w.committed.Jobs[t.Job].Steps[t.Step].Resources)
	}
	need := w.committed.Jobs[s.Task.Job].Steps[s.Task.Step].Resources
	if s.Run <= x.closed[s.Task] || !need.Fits(x.room.Minus(used)) {
		x.end(s.Task, &simRun{run: s.Run}, jobs.ResultRefused)
		return
	}
	w.checkStart(x, s)
	takes := clock.Millis(100 + w.r.IntN(900))
	x.runs[s.Task] = &simRun{run: s.Run, began: w.now, takes: takes, fails: x.bad || w.r.IntN(25) == 0, saved: s.Checkpoint}
	w.checkGang(x, s)
}

// checkGang checks that the tasks of a gang that run share their run number and
// started from one checkpoint.
func (w *world) checkGang(x *instance, s Start) {
	if !w.committed.Jobs[s.Task.Job].Steps[s.Task.Step].Gang {
		return
	}
	for _, y := range w.workers {
		for t, r := range y.runs {
			if t.Job != s.Task.Job || t.Occurrence != s.Task.Occurrence || t.Step != s.Task.Step {
				continue
			}
			if r.run == s.Run && r.saved != s.Checkpoint {
				w.failf("task %v starts from %q and %v of its gang from %q", s.Task, s.Checkpoint, t, r.saved)
			}
			if r.run > s.Run {
				w.failf("task %v starts run %d on %s beside run %d of %v", s.Task, s.Run, x.id, r.run, t)
			}
		}
	}
}

// gather lets gangs work: from the moment when all tasks of a run are there. A
// gang that has lost one, and one that waits too long for the others, ends.
func (w *world) gather() {
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
				r.formed, r.began = true, w.now
			case !all && (r.formed || w.now-r.began > gangTimeout):
				x.end(t, r, jobs.ResultStopped)
			}
		}
	}
}

func gangRun(t jobs.TaskID, r *simRun) failedRun {
	t.Index = 0
	return failedRun{t, r.run}
}

// checkStart checks what must hold when a task starts.
func (w *world) checkStart(x *instance, s Start) {
	rec := w.committed.Jobs[s.Task.Job]
	switch {
	case w.done[s.Task]:
		w.failf("task %v starts on %s after its good end was noted", s.Task, x.id)
	case w.fails[s.Task] >= worldAttempts:
		w.failf("task %v starts after %d failed runs", s.Task, w.fails[s.Task])
	case !rec.Ready(s.Task.Occurrence, s.Task.Step):
		w.failf("task %v starts before the steps that it waits for are done", s.Task)
	case rec.Due(s.Task.Occurrence) > w.now:
		w.failf("task %v starts before its time", s.Task)
	}
}

// play lets a worker work and send its next heartbeat.
func (w *world) play(_ int, x *instance) {
	if w.now >= x.until {
		for t, r := range x.runs {
			x.end(t, r, jobs.ResultExpired)
		}
	}
	ended := false
	for t, r := range x.runs {
		step := &w.committed.Jobs[t.Job].Steps[t.Step]
		if step.LongRunning || (step.Gang && !r.formed) || x.stuck || w.now-r.began < r.takes {
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
	if x.sent != 0 && w.now-x.sent > dropAfter {
		x.sent = 0
	}
	if ended && x.sent == 0 {
		x.next = min(x.next, w.now+60)
	}
	if x.sent == 0 && w.now >= x.next {
		w.beat(x)
	}
}

// endGang ends all tasks of a gang well.
func (w *world) endGang(of jobs.TaskID, r *simRun) {
	key := gangRun(of, r)
	for _, x := range w.workers {
		for t, y := range x.runs {
			if gangRun(t, y) == key {
				x.end(t, y, jobs.ResultDone)
			}
		}
	}
}

func (w *world) beat(x *instance) {
	x.seq++
	x.sent = w.now
	h := Heartbeat{
		Worker: x.id, Incarnation: x.life, Machine: x.machine, Pool: "p", Labels: []string{"a", "r-1"}, Seq: x.seq, Capacity: x.room,
		Draining: x.draining, Ends: slices.Clone(x.ends), ReceivedAt: w.now,
	}
	for t, r := range x.runs {
		percent := int(100 * (w.now - r.began) / r.takes)
		if x.stuck {
			percent = 0
		}
		h.Running = append(h.Running, RunStatus{Task: t, Run: r.run, Percent: min(percent, 99), Checkpoint: fmt.Sprint("s", r.run, "-", t.Index)})
		if w.committed.Jobs[t.Job].Steps[t.Step].LongRunning {
			h.Running[len(h.Running)-1].Percent = 100
		}
	}
	l := w.lead
	if w.stale != nil && w.r.IntN(2) == 0 {
		l = w.stale
	}
	x.taker = nil
	if l.board.Heartbeat(h, w.now) {
		x.taker = l
	}
	if !w.calm && w.r.IntN(50) == 0 {
		// A heartbeat may come twice or late.
		l.board.Heartbeat(h, w.now)
	}
}

// check looks for tasks that run twice at a time on workers that are up.
func (w *world) check() {
	seen := map[jobs.TaskID]*instance{}
	for _, x := range w.workers {
		for t := range x.runs {
			if y := seen[t]; y != nil {
				w.failf("task %v runs on %s and %s", t, x.id, y.id)
			}
			seen[t] = x
		}
	}
}
