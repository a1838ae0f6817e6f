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

// Placer holds the tasks and workers and decides which tasks start on which
// workers. It is not safe for concurrent use.
type Placer[F FitPolicy, S Sizer, J HealthPolicy] struct {
	fit       F
	sizer     S
	health    J
	settings  Settings
	tasks     map[TaskID]*task
	workers   map[WorkerID]*worker
	customers map[model.Customer]*customerState
	classes   map[Class]*ClassHistory
	// largest holds, for each resource, the largest amount that any worker has
	// that is not draining.
	largest Size
	// free indexes the workers by free capacity. preemptible indexes them by
	// the capacity that would be free without the tasks that an urgent task may
	// preempt.
	free        capacityIndex
	preemptible capacityIndex
	timers      heap.Heap[timer]
	// toRenew holds the workers whose lease the next pass renews.
	toRenew map[WorkerID]bool
	// overcommitted holds the workers whose tasks have reserved more than the
	// size of the worker.
	overcommitted map[WorkerID]bool
	// reservedWorkers holds the workers on which capacity is being freed for a
	// task.
	reservedWorkers map[WorkerID]bool
	// throttled holds the workers with throttled tasks.
	throttled   map[WorkerID]bool
	quarantined map[WorkerID]bool
	// term is the leader's term; attempts of different terms never have the
	// same number. Nothing is started before startAfter.
	term       int
	startAfter clock.Millis
	// finished lists the tasks that ended, oldest first. Their names are kept
	// for a while to reject duplicate submissions.
	finished []TaskID
	// toStop lists the cancelled tasks that have not been ordered to stop yet.
	toStop []*task
	// out collects the actions and events for the Plan of the next pass.
	out Plan
}

// worker is a Worker with what runs on it.
type worker struct {
	Worker
	tasks map[TaskID]*task
	// used is the sum of what its tasks have reserved.
	used Size
	// preemptible is the part of used that an urgent task may preempt.
	preemptible Size
	// leaseEnd is the end of the lease that was last sent to the worker. The
	// worker may have received only an earlier end, never a later one.
	leaseEnd clock.Millis
	// proven is set once a task has succeeded or has run for the trial time.
	proven bool
	// score is the sum of the scores of its runs, as HealthPolicy describes. The
	// end of a quarantine by time sets it to half of the threshold.
	score         float64
	failuresInRow int
	quarantinedAt clock.Millis
	// reservedFor is the task for which capacity is being freed on the worker; nil
	// for none.
	reservedFor *task
}

// task is a Task with its scheduling state.
type task struct {
	Task
	phase    Phase
	attempt  int
	worker   *worker
	reserved Size
	// charged is what counts against its customer's quota: what the task has
	// reserved; for a throttled task, what it gets back when the throttling ends;
	// for a waiting task for which capacity is being freed, what it will reserve.
	charged    Size
	cpuPercent int
	startedAt  clock.Millis
	// leaseEnd is the end of the lease under which the start was sent.
	leaseEnd clock.Millis
	// pendingAction is the order to checkpoint or stop that has not been
	// confirmed by a report of the end of the run.
	pendingAction Action
	// disrupted is set from a disruption until the task runs at its full size
	// again.
	disrupted bool
	cancelled bool
	// queued is set while the task is in the heap of its customer.
	queued bool
	// reservedOn is the worker on which capacity is being freed for the task; nil
	// for none. failedOn lists the workers on which a run of the task has failed.
	reservedOn *worker
	failedOn   []WorkerID
	// scores holds, for each worker, the sum of the scores of the task's
	// failures there.
	scores map[WorkerID]float64
}

// timer is a time at which a worker or a task has to be checked again. A timer with
// neither a worker nor a task only causes a pass.
type timer struct {
	at     clock.Millis
	worker WorkerID
	task   TaskID
}

// Before orders by time, then by name.
func (t timer) Before(u timer) bool {
	return cmp.Or(cmp.Compare(t.at, u.at), cmp.Compare(t.worker, u.worker), cmp.Compare(t.task, u.task)) < 0
}

// NewPlacer returns a placer without tasks and workers.
func NewPlacer[F FitPolicy, S Sizer, J HealthPolicy](fit F, sizer S, health J, settings Settings) *Placer[F, S, J] {
	settings.MaxFailedWorkers, settings.Lookahead = max(settings.MaxFailedWorkers, 1), max(settings.Lookahead, 1)
	settings.StopsPerPass, settings.StopPauseMillis = max(settings.StopsPerPass, 1), max(settings.StopPauseMillis, 1)
	return &Placer[F, S, J]{
		fit: fit, sizer: sizer, health: health, settings: settings,
		tasks: map[TaskID]*task{}, workers: map[WorkerID]*worker{}, customers: map[model.Customer]*customerState{},
		classes: map[Class]*ClassHistory{}, free: capacityIndex{bucketByWorker: map[WorkerID]int{}}, preemptible: capacityIndex{bucketByWorker: map[WorkerID]int{}},
		toRenew: map[WorkerID]bool{}, overcommitted: map[WorkerID]bool{}, reservedWorkers: map[WorkerID]bool{},
		throttled: map[WorkerID]bool{}, quarantined: map[WorkerID]bool{},
	}
}

// TakeOver sets the term of a new leader. Starts that the previous leader sent
// may still reach workers until the lease under which they were sent expires;
// nothing is started until then. Meanwhile the caller has to pass the tasks that
// workers report as running to Adopt; after that it passes the remaining tasks
// to Submit.
func (p *Placer[F, S, J]) TakeOver(term int, now clock.Millis) {
	p.term, p.startAfter = term, now+p.settings.LeaseMillis+p.settings.SkewMillis
	p.timers.Push(timer{at: p.startAfter})
}

// SetWorker adds a worker or replaces its description.
func (p *Placer[F, S, J]) SetWorker(w Worker) {
	known := p.workers[w.ID]
	if known == nil {
		known = &worker{tasks: map[TaskID]*task{}}
		p.workers[w.ID] = known
	}
	known.Worker = w
	p.largest = Size{}
	for _, other := range p.workers {
		if !other.Draining {
			p.largest = componentMax(p.largest, other.Size)
		}
	}
	p.refreshWorker(known)
	p.unblockCustomers()
}

// SetContract sets a customer's quota and disruption budget.
func (p *Placer[F, S, J]) SetContract(c model.Contract) {
	customer := p.customers[c.Customer]
	if customer == nil {
		customer = &customerState{}
		p.customers[c.Customer] = customer
	}
	customer.contract, customer.blocked = c, false
}

// Run identifies a run of a task that a worker reports.
type Run struct {
	Task    TaskID
	Attempt int
}

// Heartbeat processes a worker's report that it is alive: leaseEnd is the lease
// end that the worker has received, and runs lists all tasks that it runs. The
// next pass renews its lease.
//
// If a task that the worker should run is missing from runs, either its start or
// the report of its end was lost, or its start is still under way. The last case
// is ruled out, and the task waits again, if the heartbeat was sent after the end
// of the lease under which the start was sent: the worker refuses a start that
// arrives after that.
func (p *Placer[F, S, J]) Heartbeat(id WorkerID, leaseEnd clock.Millis, runs []Run) {
	w := p.workers[id]
	if w == nil {
		return
	}
	p.toRenew[id] = true
	// renewedAt is when the renewal that the worker last received was sent; the
	// heartbeat was sent later.
	renewedAt := leaseEnd - p.settings.LeaseMillis
	for _, tid := range sortedKeys(w.tasks) {
		t := w.tasks[tid]
		if renewedAt >= t.leaseEnd+p.settings.SkewMillis && !slices.Contains(runs, Run{tid, t.attempt}) {
			p.detach(t)
			p.requeue(t)
		}
	}
}

// Submit accepts a task, or rejects at once a task that can never run. The error
// is an *Error of KindImpossible, KindQuota, KindNoContract or KindDuplicate;
// the first two state the sizes.
func (p *Placer[F, S, J]) Submit(t Task) error {
	fail := func(kind Kind, format string, args ...any) error {
		return &Error{Op: "submit task " + string(t.ID), Kind: kind, Err: fmt.Errorf(format, args...)}
	}
	if p.tasks[t.ID] != nil {
		return fail(KindDuplicate, "a task with this name was submitted before")
	}
	customer := p.customers[t.Customer]
	if customer == nil {
		return fail(KindNoContract, "customer %s has no contract", t.Customer)
	}
	need := p.expectedSize(t)
	if !need.FitsIn(customer.contract.Quota) {
		return fail(KindQuota, "needs %v; the whole quota of customer %s is %v", need, t.Customer, customer.contract.Quota)
	}
	if !p.fitsAnyWorker(need) {
		return fail(KindImpossible, "needs %v; no worker is that large", need)
	}
	accepted := &task{Task: t, cpuPercent: 100}
	p.tasks[t.ID] = accepted
	customer.push(accepted)
	customer.blocked = false
	return nil
}

// expectedSize returns what the sizer expects a task to use.
func (p *Placer[F, S, J]) expectedSize(t Task) Size {
	s := p.sizer.Estimate(Class{t.Customer, t.Class}, t.Declared)
	return componentMax(s, Size{MilliCores: 1, MemoryMiB: 1})
}

// sizeToReserve returns what is reserved for an accepted task: its expected size,
// but at most its customer's quota and the largest worker, so that a larger size
// that is learned later does not make an accepted task impossible to run. The
// platform confines the task to these limits.
func (p *Placer[F, S, J]) sizeToReserve(t Task) Size {
	return componentMin(p.expectedSize(t), componentMin(p.customers[t.Customer].contract.Quota, p.largest))
}

// fitsAnyWorker reports whether some worker that is not draining is large
// enough.
func (p *Placer[F, S, J]) fitsAnyWorker(need Size) bool {
	for _, w := range p.workers {
		if !w.Draining && need.FitsIn(w.Size) {
			return true
		}
	}
	return false
}

// Cancel ends tasks: waiting ones at once, running ones by a stop that one of the
// next passes orders. Unknown names are ignored.
func (p *Placer[F, S, J]) Cancel(ids ...TaskID) {
	for _, id := range ids {
		t := p.tasks[id]
		if t == nil || t.cancelled || t.phase == PhaseFinished {
			continue
		}
		t.cancelled = true
		if t.phase == PhaseWaiting {
			p.finish(t)
			continue
		}
		p.toStop = append(p.toStop, t)
	}
}

// orderEnd orders a running task to checkpoint or stop. The caller sets a timer
// of half a lease, which repeats the order until the end of the run is reported
// or the worker's lease expires.
func (p *Placer[F, S, J]) orderEnd(t *task, kind ActionKind, reason string) {
	t.phase = PhaseStopping
	p.refreshWorker(t.worker)
	t.pendingAction = Action{Kind: kind, Worker: t.worker.ID, Task: t.ID, Attempt: t.attempt, Reason: reason}
	p.out.Actions = append(p.out.Actions, t.pendingAction)
}

// ReportUsage records what a running task uses and adjusts what it has reserved.
// For a throttled task it does not adjust the reservation, but repeats the order to
// throttle if the task uses more processors than it has reserved. Reports may
// arrive late; a report of an earlier attempt only contributes to the learned size
// of the class.
func (p *Placer[F, S, J]) ReportUsage(id TaskID, attempt int, used Size) {
	t := p.tasks[id]
	if t == nil {
		return
	}
	class := Class{t.Customer, t.Class}
	p.sizer.Observe(class, used)
	if t.attempt != attempt || t.worker == nil {
		return
	}
	if t.cpuPercent < 100 {
		if used.MilliCores > t.reserved.MilliCores {
			p.sendThrottle(t, "it still uses more than its share")
		}
		return
	}
	// The reservation grows at most until the customer's quota is used up; the
	// platform confines the task to the quota.
	p.resize(t, p.sizeWithinQuota(t, componentMax(used, p.sizeToReserve(t.Task))))
}

// charge sets what a task counts against its customer's quota. The caller unblocks the
// customer if that is less than before.
func (p *Placer[F, S, J]) charge(t *task, to Size) {
	customer := p.customers[t.Customer]
	customer.used = customer.used.Minus(t.charged).Plus(to)
	t.charged = to
}

// sizeWithinQuota returns how much of the wanted size a task on a worker may have: as much
// as its customer's quota allows, but not less than the task counts already, because a
// lowered quota takes nothing away from tasks that run.
func (p *Placer[F, S, J]) sizeWithinQuota(t *task, want Size) Size {
	customer := p.customers[t.Customer]
	available := customer.contract.Quota.Minus(customer.used).Plus(t.charged)
	return componentMin(want, componentMax(t.charged, available))
}

// resize changes what a task on a worker has reserved, and charges its customer with it.
func (p *Placer[F, S, J]) resize(t *task, to Size) {
	p.charge(t, to)
	p.setReserved(t, to)
}

// setReserved changes what a task on a worker has reserved, but not what counts against
// its customer's quota.
func (p *Placer[F, S, J]) setReserved(t *task, to Size) {
	w := t.worker
	shrinks := to.FitsIn(t.reserved) && to != t.reserved
	w.used = w.used.Minus(t.reserved).Plus(to)
	t.reserved = to
	p.refreshWorker(w)
	if shrinks {
		p.unblockCustomers()
	}
}

// unblockCustomers lets the next pass try the waiting tasks of all customers
// again.
func (p *Placer[F, S, J]) unblockCustomers() {
	for _, customer := range p.customers {
		customer.blocked = false
	}
}

// refreshWorker recomputes what depends on the tasks of a worker: its preemptible
// size, its entries in overcommitted and throttled, and its index entries.
func (p *Placer[F, S, J]) refreshWorker(w *worker) {
	w.preemptible = Size{}
	throttled := false
	for _, t := range w.tasks {
		if t.phase == PhaseRunning && !t.Urgent {
			w.preemptible = w.preemptible.Plus(t.reserved)
		}
		throttled = throttled || t.cpuPercent < 100
	}
	set := func(m map[WorkerID]bool, on bool) {
		if on {
			m[w.ID] = true
		} else {
			delete(m, w.ID)
		}
	}
	set(p.overcommitted, !w.used.FitsIn(w.Size))
	set(p.throttled, throttled)
	p.updateIndex(w)
}

// updateIndex sets a worker's entries in the capacity indexes, or removes them if
// the worker is draining, quarantined or reserved for a task.
func (p *Placer[F, S, J]) updateIndex(w *worker) {
	if w.Draining || p.quarantined[w.ID] || w.reservedFor != nil {
		p.free.remove(w.ID)
		p.preemptible.remove(w.ID)
		return
	}
	available := w.Size.Minus(w.used)
	p.free.set(w.ID, available)
	p.preemptible.set(w.ID, available.Plus(w.preemptible))
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
