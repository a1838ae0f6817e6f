package place

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/heap"
	"camphorridge/core/state/model"
)

// Placer holds the tasks and workers and decides what starts where. One duty
// owns it.
type Placer[F Fit, S Sizer, J HealthPolicy] struct {
	fit     F
	sizer   S
	judge   J
	set     Settings
	tasks   map[TaskID]*task
	workers map[WorkerID]*worker
	teams   map[model.Customer]*team
	classes map[Class]*ClassHistory
	// top is the most of each resource that any worker has.
	top Size
	// free orders workers by free room, soft by the room that would be free
	// without the tasks that may be moved.
	free room
	soft room
	due  heap.Heap[due]
	// heard holds the workers whose lease is to be renewed.
	heard map[WorkerID]bool
	// full holds the workers whose tasks use more than there is.
	full map[WorkerID]bool
	// holds lists the workers where room is being made for a task.
	holds map[WorkerID]bool
	// slack holds the workers with throttled tasks.
	slack map[WorkerID]bool
	aside map[WorkerID]bool
	// term is the leader's; attempts of different terms never have the same
	// number. Nothing is started before quiet.
	term  int
	quiet clock.Millis
	// over lists the tasks that ended, oldest first, so that a name submitted
	// again is known for a while.
	over []TaskID
	// stops lists the cancelled tasks that are still to be told.
	stops []*task
	// out collects what calls between passes decided.
	out Plan
}

type worker struct {
	Worker
	tasks map[TaskID]*task
	used  Size
	// soft is the part of used that may be moved for urgent work.
	soft Size
	// until is the end of the lease that was last sent; the worker itself may
	// know an earlier end, never a later one.
	until clock.Millis
	// proven is set once a task ended well or ran for the trial time.
	proven bool
	weight float64
	streak int
	since  clock.Millis
	hold   *task
}

type task struct {
	Task
	phase   Phase
	attempt int
	worker  *worker
	reserve Size
	percent int
	started clock.Millis
	// until is the end of the lease that the start was sent under.
	until clock.Millis
	asked Action
	// disrupted is set from a disruption until the task runs in full again.
	disrupted bool
	cancelled bool
	// queued is set while the task is in its team's heap.
	queued   bool
	hold     *worker
	failedOn []WorkerID
	// blame is the weight that the task's failures added to workers.
	blame map[WorkerID]float64
}

// due is a time at which a worker or a task has to be looked at again.
type due struct {
	at     clock.Millis
	worker WorkerID
	task   TaskID
}

// Before orders by time, then by name.
func (d due) Before(e due) bool {
	return cmp.Or(cmp.Compare(d.at, e.at), cmp.Compare(d.worker, e.worker), cmp.Compare(d.task, e.task)) < 0
}

// NewPlacer returns a board without tasks and workers.
func NewPlacer[F Fit, S Sizer, J HealthPolicy](fit F, sizer S, judge J, set Settings) *Placer[F, S, J] {
	set.FailMost, set.Lookahead = max(set.FailMost, 1), max(set.Lookahead, 1)
	set.StopsPerPass, set.StopPauseMillis = max(set.StopsPerPass, 1), max(set.StopPauseMillis, 1)
	return &Placer[F, S, J]{
		fit: fit, sizer: sizer, judge: judge, set: set,
		tasks: map[TaskID]*task{}, workers: map[WorkerID]*worker{}, teams: map[model.Customer]*team{},
		classes: map[Class]*ClassHistory{}, free: room{at: map[WorkerID]int{}}, soft: room{at: map[WorkerID]int{}},
		heard: map[WorkerID]bool{}, full: map[WorkerID]bool{}, holds: map[WorkerID]bool{},
		slack: map[WorkerID]bool{}, aside: map[WorkerID]bool{},
	}
}

// TakeOver tells a new leader's board its term. Starts that the leader before
// it sent may still reach workers until the lease that they were sent under
// has run out; nothing is started until then. What workers report to run in
// the meantime has to be passed to Adopt, and what is left to Submit.
func (b *Placer[F, S, J]) TakeOver(term int, now clock.Millis) {
	b.term, b.quiet = term, now+b.set.LeaseMillis+b.set.SkewMillis
	b.due.Push(due{at: b.quiet})
}

// SetWorker tells the board a worker and its size.
func (b *Placer[F, S, J]) SetWorker(w Worker) {
	held := b.workers[w.ID]
	if held == nil {
		held = &worker{tasks: map[TaskID]*task{}}
		b.workers[w.ID] = held
	}
	held.Worker = w
	b.top = Size{}
	for _, x := range b.workers {
		if !x.Gone {
			b.top = larger(b.top, x.Size)
		}
	}
	b.reindex(held)
	b.unblock()
}

// SetContract tells the board a team's quota and disruption budget.
func (b *Placer[F, S, J]) SetContract(c model.Contract) {
	t := b.teams[c.Customer]
	if t == nil {
		t = &team{}
		b.teams[c.Customer] = t
	}
	t.contract, t.blocked = c, false
}

// Run is a task that a worker reports to run.
type Run struct {
	Task    TaskID
	Attempt int
}

// Heard tells the board that a worker is alive, the end of the lease that it
// knows of, and all that it runs; its lease will be renewed. A task that it
// should run and does not was lost on the way, or its end was. That is certain
// once the report was made after the end of the lease that the start was sent
// under, because the worker refuses a start that comes later.
func (b *Placer[F, S, J]) Heard(id WorkerID, lease clock.Millis, runs []Run) {
	w := b.workers[id]
	if w == nil {
		return
	}
	b.heard[id] = true
	sent := lease - b.set.LeaseMillis
	for _, tid := range sortedKeys(w.tasks) {
		t := w.tasks[tid]
		if sent >= t.until+b.set.SkewMillis && !slices.Contains(runs, Run{tid, t.attempt}) {
			b.leave(t)
			b.requeue(t)
		}
	}
}

// Submit takes a task, or refuses at once what can never run: the error is of
// KindImpossible, KindQuota, KindTeam or KindKnown and names the figures.
func (b *Placer[F, S, J]) Submit(t Task) error {
	fail := func(kind Kind, format string, args ...any) error {
		return &Error{Op: "submit task " + string(t.ID), Kind: kind, Err: fmt.Errorf(format, args...)}
	}
	if b.tasks[t.ID] != nil {
		return fail(KindKnown, "a task of this name was submitted before")
	}
	tm := b.teams[t.Team]
	if tm == nil {
		return fail(KindTeam, "team %s has no contract", t.Team)
	}
	need := b.raw(t)
	if !need.Fits(tm.contract.Quota) {
		return fail(KindQuota, "needs %v; the whole quota of %s is %v", need, t.Team, tm.contract.Quota)
	}
	if !b.anyFits(need) {
		return fail(KindImpossible, "needs %v; no worker has that much", need)
	}
	held := &task{Task: t, percent: 100}
	b.tasks[t.ID] = held
	tm.push(held)
	tm.blocked = false
	return nil
}

// raw is what the sizer expects a task to use.
func (b *Placer[F, S, J]) raw(t Task) Size {
	s := b.sizer.Estimate(Class{t.Team, t.Class}, t.Declared)
	return larger(s, Size{MilliCores: 1, MemoryMiB: 1})
}

// estimate is what is reserved for a task that was accepted: no more than its
// team's quota and the largest worker, to which the platform confines it. A
// size that is learnt later must not make accepted work impossible.
func (b *Placer[F, S, J]) estimate(t Task) Size {
	return smaller(b.raw(t), smaller(b.teams[t.Team].contract.Quota, b.top))
}

func (b *Placer[F, S, J]) anyFits(need Size) bool {
	for _, w := range b.workers {
		if !w.Gone && need.Fits(w.Size) {
			return true
		}
	}
	return false
}

// Cancel ends tasks: waiting ones at once, running ones by a stop that is part
// of one of the next passes. Unknown names are ignored.
func (b *Placer[F, S, J]) Cancel(ids ...TaskID) {
	for _, id := range ids {
		t := b.tasks[id]
		if t == nil || t.cancelled || t.phase == PhaseOver {
			continue
		}
		t.cancelled = true
		if t.phase == PhaseWaiting {
			b.finish(t)
			continue
		}
		b.stops = append(b.stops, t)
	}
}

// order tells a running task to end. It is asked again until its end is
// reported or its worker's lease runs out.
func (b *Placer[F, S, J]) order(t *task, kind ActionKind, reason string) {
	t.phase = PhaseEnding
	b.reindex(t.worker)
	t.asked = Action{Kind: kind, Worker: t.worker.ID, Task: t.ID, Attempt: t.attempt, Reason: reason}
	b.out.Actions = append(b.out.Actions, t.asked)
}

// Report takes a running task's use. Reports lag: those of an earlier attempt
// still teach the size of the class.
func (b *Placer[F, S, J]) Report(id TaskID, attempt int, used Size) {
	t := b.tasks[id]
	if t == nil {
		return
	}
	class := Class{t.Team, t.Class}
	b.sizer.Observe(class, used)
	if t.attempt != attempt || t.worker == nil {
		return
	}
	if t.percent < 100 {
		if used.MilliCores > t.reserve.MilliCores {
			b.throttle(t, "it still uses more than its share")
		}
		return
	}
	// A team's growth ends at its quota; the platform confines the task.
	tm := b.teams[t.Team]
	left := tm.contract.Quota.Minus(tm.used).Plus(t.reserve)
	b.resize(t, larger(Size{}, smaller(larger(used, b.estimate(t.Task)), left)))
}

// resize changes what a task on a worker has reserved.
func (b *Placer[F, S, J]) resize(t *task, to Size) {
	w, tm := t.worker, b.teams[t.Team]
	w.used, tm.used = w.used.Minus(t.reserve), tm.used.Minus(t.reserve)
	shrinks := to.Fits(t.reserve) && to != t.reserve
	t.reserve = to
	w.used, tm.used = w.used.Plus(t.reserve), tm.used.Plus(t.reserve)
	b.reindex(w)
	if shrinks {
		b.unblock()
	}
}

func (b *Placer[F, S, J]) unblock() {
	for _, tm := range b.teams {
		tm.blocked = false
	}
}

// reindex brings a worker's sums and places in the indexes up to date.
func (b *Placer[F, S, J]) reindex(w *worker) {
	w.soft = Size{}
	throttled := false
	for _, t := range w.tasks {
		if t.phase == PhaseRunning && !t.Urgent {
			w.soft = w.soft.Plus(t.reserve)
		}
		throttled = throttled || t.percent < 100
	}
	set := func(m map[WorkerID]bool, on bool) {
		if on {
			m[w.ID] = true
		} else {
			delete(m, w.ID)
		}
	}
	set(b.full, !w.used.Fits(w.Size))
	set(b.slack, throttled)
	b.index(w)
}

func (b *Placer[F, S, J]) index(w *worker) {
	if w.Gone || b.aside[w.ID] || w.hold != nil {
		b.free.remove(w.ID)
		b.soft.remove(w.ID)
		return
	}
	left := w.Size.Minus(w.used)
	b.free.set(w.ID, left)
	b.soft.set(w.ID, left.Plus(w.soft))
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
