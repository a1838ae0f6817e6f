package place

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Pass returns the actions to take now. It processes expired timers and renews
// leases first, then relieves overcommitted workers, starts the tasks for which
// capacity was freed, and starts waiting tasks, urgent ones first. After that it
// ends throttling where it can and orders cancelled tasks to stop.
func (p *Placer[F, S, J]) Pass(now clock.Millis) Plan {
	p.handleTimers(now)
	p.renewLeases(now)
	for _, id := range sortedKeys(p.overcommitted) {
		p.relieveOvercommitted(p.workers[id], now)
	}
	if now >= p.startAfter {
		for _, id := range sortedKeys(p.reservedWorkers) {
			p.advanceReservation(p.workers[id], now)
		}
		p.startWaiting(now)
	}
	p.restoreThrottled()
	p.stopCancelled(now)
	for _, id := range sortedKeys(p.customers) {
		p.addWait(id, p.customers[id])
	}
	plan := p.out
	p.out = Plan{}
	if p.timers.Len() > 0 {
		plan.NextPass = p.timers.Top().at
	}
	return plan
}

// stopCancelled orders a limited number of cancelled tasks to stop. Tasks that
// were already ordered to checkpoint or stop need no second order.
func (p *Placer[F, S, J]) stopCancelled(now clock.Millis) {
	sent := 0
	for len(p.toStop) > 0 && sent < p.settings.StopsPerPass {
		t := p.toStop[0]
		p.toStop = p.toStop[1:]
		if t.phase != PhaseRunning {
			continue
		}
		p.orderEnd(t, ActionStop, "cancelled")
		p.timers.Push(timer{at: now + p.settings.LeaseMillis/2, task: t.ID})
		sent++
	}
	if len(p.toStop) > 0 {
		p.timers.Push(timer{at: now + p.settings.StopPauseMillis})
	}
}

// advanceReservation starts the task for which capacity is being freed on a
// worker as soon as it fits. It cancels the reservation if the worker is draining,
// if no task on it is stopping any more, or if the customer's quota, which may have
// been lowered, has no room for the task: the capacity would stay idle.
func (p *Placer[F, S, J]) advanceReservation(w *worker, now clock.Millis) {
	t := w.reservedFor
	switch {
	case !p.customers[t.Customer].hasRoom(t, p.sizeToReserve(t.Task)):
		p.cancelReservation(w)
	case !w.Draining && p.usable(w, now) && p.sizeToReserve(t.Task).FitsIn(w.Size.Minus(w.used)):
		p.cancelReservation(w)
		p.start(t, w, now)
	case w.Draining || !slices.ContainsFunc(sortedKeys(w.tasks), func(id TaskID) bool { return w.tasks[id].phase == PhaseStopping }):
		p.cancelReservation(w)
	}
}

// handleTimers processes the expired timers. It ends leases, quarantines and
// trials, and repeats orders to checkpoint or stop that were not confirmed.
func (p *Placer[F, S, J]) handleTimers(now clock.Millis) {
	for p.timers.Len() > 0 && p.timers.Top().at <= now {
		expired := p.timers.Pop()
		if t := p.tasks[expired.task]; t != nil {
			if t.phase == PhaseStopping {
				p.out.Actions = append(p.out.Actions, t.pendingAction)
				p.timers.Push(timer{at: now + p.settings.LeaseMillis/2, task: t.ID})
			}
			continue
		}
		w := p.workers[expired.worker]
		if w == nil {
			continue
		}
		if w.leaseEnd+p.settings.SkewMillis <= now {
			p.expireLease(w, now)
		}
		p.endTrial(w, now)
		if p.quarantined[w.ID] && w.quarantinedAt+p.settings.QuarantineMillis <= now {
			// A worker with half of the threshold runs one task at a time, and
			// a few failures quarantine it again.
			w.score = p.health.Threshold() / 2
			p.endQuarantine(w)
		}
	}
}

// endTrial marks a worker as proven once a task has run on it for
// TrialMillis.
func (p *Placer[F, S, J]) endTrial(w *worker, now clock.Millis) {
	for _, t := range w.tasks {
		if !w.proven && now-t.startedAt >= p.settings.TrialMillis {
			w.proven = true
			p.unblockCustomers()
		}
	}
}

// renewLeases renews the leases of the workers that sent a heartbeat since the
// last pass.
func (p *Placer[F, S, J]) renewLeases(now clock.Millis) {
	for _, id := range sortedKeys(p.toRenew) {
		w := p.workers[id]
		if w.leaseEnd < now+p.settings.LeaseMillis/4 {
			p.unblockCustomers()
		}
		w.leaseEnd = now + p.settings.LeaseMillis
		p.timers.Push(timer{at: w.leaseEnd + p.settings.SkewMillis, worker: id})
		p.out.Actions = append(p.out.Actions, Action{Kind: ActionRenew, Worker: id, LeaseEnd: w.leaseEnd})
	}
	clear(p.toRenew)
}

// usable reports whether a worker may get a task now. A worker with less than a
// quarter of a lease left gets none. A worker that is not proven runs at most
// TrialTasks tasks at once. One whose score is at least half of the threshold
// runs a single task at a time, so that a worker that fails tasks quickly does
// not fail the whole queue.
func (p *Placer[F, S, J]) usable(w *worker, now clock.Millis) bool {
	if w.Draining || p.quarantined[w.ID] || w.leaseEnd < now+p.settings.LeaseMillis/4 {
		return false
	}
	if !w.proven && len(w.tasks) >= p.settings.TrialTasks {
		return false
	}
	return w.score < p.health.Threshold()/2 || len(w.tasks) == 0
}

// attemptsPerTerm is an upper bound on the starts of one task in one term, so
// that attempts of different terms have different numbers.
const attemptsPerTerm = 1_000_000

// start assigns a task to a worker and adds the start action to the plan.
func (p *Placer[F, S, J]) start(t *task, w *worker, now clock.Millis) {
	customer := p.customers[t.Customer]
	customer.setDisrupted(t, false)
	t.phase, t.worker, t.startedAt, t.leaseEnd, t.cpuPercent = PhaseRunning, w, now, w.leaseEnd, 100
	t.attempt = max(t.attempt, p.term*attemptsPerTerm) + 1
	w.tasks[t.ID] = t
	if !w.proven {
		p.timers.Push(timer{at: now + p.settings.TrialMillis, worker: w.ID})
	}
	p.resize(t, p.sizeToReserve(t.Task))
	p.out.Actions = append(p.out.Actions, Action{
		Kind: ActionStart, Worker: w.ID, Task: t.ID, Attempt: t.attempt, Size: t.reserved, LeaseEnd: w.leaseEnd,
	})
}

// startWaiting starts waiting tasks, one at a time, each time for the customer
// that startsBefore puts first, until no customer has a task that can start.
func (p *Placer[F, S, J]) startWaiting(now clock.Millis) {
	active := make([]*customerState, 0, len(p.customers))
	for _, id := range sortedKeys(p.customers) {
		if customer := p.customers[id]; !customer.blocked && customer.firstWaiting() != nil {
			active = append(active, customer)
		}
	}
	var misfits []Size
	for len(active) > 0 {
		best := 0
		for k := 1; k < len(active); k++ {
			if startsBefore(active[k], active[best]) {
				best = k
			}
		}
		customer := active[best]
		if !p.startOne(customer, now, &misfits) {
			customer.blocked = true
		}
		if customer.blocked || customer.firstWaiting() == nil {
			active = slices.Delete(active, best, best+1)
		}
	}
}

// startsBefore reports whether customer a is served before customer b: the one
// whose first waiting task is urgent or has the higher priority, and among
// equals the one that uses the smaller share of its quota.
func startsBefore(a, b *customerState) bool {
	x, y := a.firstWaiting(), b.firstWaiting()
	if x.Urgent != y.Urgent {
		return x.Urgent
	}
	if x.Priority != y.Priority {
		return x.Priority > y.Priority
	}
	return a.quotaShare() < b.quotaShare()
}

// startOne calls tryStart for the customer's first waiting tasks, at most
// Lookahead of them, until one call succeeds, and reports whether one did. misfits
// collects the sizes that fit on no worker in this pass.
func (p *Placer[F, S, J]) startOne(customer *customerState, now clock.Millis, misfits *[]Size) bool {
	var tried []*task
	var firstReason WaitReason
	started := false
	for range p.settings.Lookahead {
		t := customer.firstWaiting()
		if t == nil {
			break
		}
		customer.pop()
		tried = append(tried, t)
		if started = p.tryStart(customer, t, now, misfits); started {
			break
		}
		if len(tried) == 1 {
			firstReason = customer.waitReason
		}
	}
	for _, t := range tried {
		if t.phase == PhaseWaiting && t.reservedOn == nil {
			customer.push(t)
		}
	}
	customer.waitReason = firstReason
	return started
}

// tryStart starts a task or, if the task is urgent, begins to free capacity for
// it, and reports whether it did either. Otherwise it sets the customer's
// waitReason.
func (p *Placer[F, S, J]) tryStart(customer *customerState, t *task, now clock.Millis, misfits *[]Size) bool {
	need := p.sizeToReserve(t.Task)
	if !customer.hasRoom(t, need) {
		customer.waitReason = WaitQuota
		return false
	}
	customer.waitReason = WaitCapacity
	// A size that is at least as large as one that fits on no worker is not tried.
	if !slices.ContainsFunc(*misfits, func(s Size) bool { return s.FitsIn(need) }) {
		if w := p.chooseWorker(t, need, now); w != nil {
			p.start(t, w, now)
			return true
		}
		if len(t.failedOn) == 0 {
			*misfits = append(*misfits, need)
		}
	}
	if t.Urgent {
		return p.preemptFor(customer, t, need, now)
	}
	return false
}

// chooseWorker returns the first worker in the order of the fit policy that can
// run the task, or nil.
func (p *Placer[F, S, J]) chooseWorker(t *task, need Size, now clock.Millis) *worker {
	suitable := func(id WorkerID) *worker {
		w := p.workers[id]
		if w.reservedFor == nil && need.FitsIn(w.Size.Minus(w.used)) && p.usable(w, now) && !slices.Contains(t.failedOn, id) {
			return w
		}
		return nil
	}
	least, top := bucketOf(need.MilliCores), len(p.free.buckets)-1
	first, step := p.fit.Order(least, top)
	if step == 0 || p.settings.FullScan {
		return p.scanWorkers(suitable, step)
	}
	for k := first; k >= least && k <= top; k += step {
		for _, id := range p.free.buckets[k] {
			if w := suitable(id); w != nil {
				return w
			}
		}
	}
	return nil
}

// scanWorkers examines all workers in the order of their names instead of using
// the index. It returns the first suitable one if step is 0, and otherwise the
// one that comes first in the order of the fit policy. It is used with FirstFit
// and with the setting FullScan.
func (p *Placer[F, S, J]) scanWorkers(suitable func(WorkerID) *worker, step int) *worker {
	var best *worker
	for _, id := range sortedKeys(p.workers) {
		w := suitable(id)
		if w == nil {
			continue
		}
		if step == 0 {
			return w
		}
		rank := func(w *worker) int { return step * bucketOf(w.Size.MilliCores-w.used.MilliCores) }
		if best == nil || rank(w) < rank(best) {
			best = w
		}
	}
	return best
}

// addWait adds to the plan why the customer's first waiting task does not
// start.
func (p *Placer[F, S, J]) addWait(id model.Customer, customer *customerState) {
	t := customer.firstWaiting()
	if t == nil || !customer.blocked {
		return
	}
	w := Wait{Customer: id, Task: t.ID, Reason: customer.waitReason, Need: p.sizeToReserve(t.Task)}
	switch customer.waitReason {
	case WaitQuota:
		w.Unblock = fmt.Sprintf("tasks of customer %s end; it uses %v of its quota of %v", id, customer.used, customer.contract.Quota)
	case WaitBudget:
		w.Unblock = "disruption budgets allow running tasks to be disrupted, or tasks end"
	default:
		w.Unblock = "tasks end or workers are added"
	}
	p.out.Waits = append(p.out.Waits, w)
}
