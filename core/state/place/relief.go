package place

import (
	"cmp"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// maxPreemptionWorkers is the largest number of workers that are compared when
// capacity is freed for an urgent task.
const maxPreemptionWorkers = 16

// victim is a task that is selected for a disruption.
type victim struct {
	task *task
	// kind is ActionCheckpoint, ActionThrottle or ActionStop.
	kind ActionKind
	// cost is the task time that the disruption costs.
	cost clock.Millis
}

// preemptFor frees capacity for an urgent task on the worker where that costs
// least, and reserves the worker: it gets no other task until the capacity is
// free. If throttling alone frees enough, it starts the task at once. It reports
// whether capacity can be freed on any worker; if not, it sets the customer's
// waitReason.
func (p *Placer[F, S, J]) preemptFor(customer *customerState, t *task, need Size, now clock.Millis) bool {
	var best *worker
	var victims []victim
	lowest := clock.Millis(0)
	for _, id := range p.preemptionWorkers(bucketOf(need.MilliCores)) {
		w := p.workers[id]
		if !p.usable(w, now) || slices.Contains(t.failedOn, id) || !need.FitsIn(w.Size.Minus(w.used).Plus(w.preemptible)) {
			continue
		}
		shortfall := need.Minus(w.Size.Minus(w.used))
		candidates, ok := p.selectVictims(w, shortfall, now, func(v *task) bool { return !v.Urgent })
		cost := clock.Millis(0)
		for _, v := range candidates {
			cost += v.cost
		}
		if ok && (best == nil || cost < lowest) {
			best, victims, lowest = w, candidates, cost
		}
	}
	if best == nil {
		customer.waitReason = WaitBudget
		return false
	}
	best.reservedFor, t.reservedOn = t, best
	// The task starts once the capacity is free. Its customer must not start other
	// tasks with the same quota until then.
	p.charge(t, need)
	p.reservedWorkers[best.ID] = true
	p.disrupt(victims, now, "capacity is freed for urgent task "+string(t.ID))
	p.updateIndex(best)
	if need.FitsIn(best.Size.Minus(best.used)) {
		// Throttling alone freed enough, and it takes effect at once.
		p.cancelReservation(best)
		p.start(t, best, now)
	}
	return true
}

// preemptionWorkers lists the workers that would have the most free capacity
// without their preemptible tasks: at most maxPreemptionWorkers, and none below
// the bucket least.
func (p *Placer[F, S, J]) preemptionWorkers(least int) []WorkerID {
	var out []WorkerID
	for k := len(p.preemptible.buckets) - 1; k >= least && len(out) < maxPreemptionWorkers; k-- {
		list := p.preemptible.buckets[k]
		out = append(out, list[:min(len(list), maxPreemptionWorkers-len(out))]...)
	}
	return out
}

// relieveOvercommitted disrupts tasks on a worker whose tasks have reserved more
// than its size, as far as budgets allow. Tasks that are stopping count as gone.
func (p *Placer[F, S, J]) relieveOvercommitted(w *worker, now clock.Millis) {
	shortfall := w.used.Minus(w.Size)
	for _, t := range w.tasks {
		if t.phase == PhaseStopping {
			shortfall = shortfall.Minus(t.reserved)
		}
	}
	if shortfall.FitsIn(Size{}) {
		return
	}
	victims, _ := p.selectVictims(w, shortfall, now, func(*task) bool { return true })
	p.disrupt(victims, now, "the tasks on worker "+string(w.ID)+" use more than its size")
}

// selectVictims selects allowed tasks to disrupt until the shortfall is covered:
// checkpoints first, since no work is lost, then throttling, then stops. Each
// disruption has to be within the budget of the task's customer. It reports
// whether the shortfall is covered.
func (p *Placer[F, S, J]) selectVictims(w *worker, shortfall Size, now clock.Millis, allowed func(*task) bool) ([]victim, bool) {
	var out []victim
	selectedCount := map[model.Customer]int{}
	selectedCost := map[model.Customer]clock.Millis{}
	selected := map[*task]bool{}
	for _, kind := range []ActionKind{ActionCheckpoint, ActionThrottle, ActionStop} {
		for _, t := range p.victimsFor(w, kind, now) {
			if shortfall.FitsIn(Size{}) {
				return out, true
			}
			gain, cost := p.gainAndCost(t, kind, now)
			customer := p.customers[t.Customer]
			if selected[t] || !allowed(t) || !reducesShortfall(gain, shortfall) || !customer.allowsDisruption(now, cost, selectedCount[t.Customer], selectedCost[t.Customer]) {
				continue
			}
			selected[t] = true
			selectedCount[t.Customer]++
			selectedCost[t.Customer] += cost
			shortfall = shortfall.Minus(gain)
			out = append(out, victim{task: t, kind: kind, cost: cost})
		}
	}
	return out, shortfall.FitsIn(Size{})
}

// reducesShortfall reports whether the gain covers part of the shortfall.
func reducesShortfall(gain, shortfall Size) bool {
	return (shortfall.MilliCores > 0 && gain.MilliCores > 0) || (shortfall.MemoryMiB > 0 && gain.MemoryMiB > 0) ||
		(shortfall.Accelerators > 0 && gain.Accelerators > 0)
}

// victimsFor lists the worker's running tasks to which the action can be applied:
// urgent ones last, and otherwise by ascending priority, then ascending cost.
func (p *Placer[F, S, J]) victimsFor(w *worker, kind ActionKind, now clock.Millis) []*task {
	var out []*task
	for _, id := range sortedKeys(w.tasks) {
		t := w.tasks[id]
		applicable := kind == ActionStop || (kind == ActionCheckpoint && t.CanCheckpoint) || (kind == ActionThrottle && t.CanThrottle && t.cpuPercent == 100)
		if t.phase == PhaseRunning && applicable {
			out = append(out, t)
		}
	}
	slices.SortStableFunc(out, func(x, y *task) int {
		if x.Urgent != y.Urgent {
			if y.Urgent {
				return -1
			}
			return 1
		}
		_, cx := p.gainAndCost(x, kind, now)
		_, cy := p.gainAndCost(y, kind, now)
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(cx, cy))
	})
	return out
}

// throttledPercent is the share of its reserved processors that a throttled task
// keeps.
const throttledPercent = 50

// gainAndCost returns the capacity that an action on a task frees and the task
// time that it costs.
func (p *Placer[F, S, J]) gainAndCost(t *task, kind ActionKind, now clock.Millis) (Size, clock.Millis) {
	switch kind {
	case ActionCheckpoint:
		return t.reserved, p.settings.CheckpointMillis
	case ActionThrottle:
		return Size{MilliCores: t.reserved.MilliCores * (100 - throttledPercent) / 100}, p.settings.ThrottleMillis
	default:
		return t.reserved, now - t.startedAt
	}
}

// disrupt applies the disruptions, charges them to their customers' budgets and
// adds the actions to the plan.
func (p *Placer[F, S, J]) disrupt(victims []victim, now clock.Millis, reason string) {
	for _, v := range victims {
		customer := p.customers[v.task.Customer]
		customer.disruptionCosts = append(customer.disruptionCosts, disruptionCost{at: now, cost: v.cost})
		customer.setDisrupted(v.task, true)
		if v.kind != ActionThrottle {
			p.orderEnd(v.task, v.kind, reason)
			p.timers.Push(timer{at: now + p.settings.LeaseMillis/2, task: v.task.ID})
			continue
		}
		gain, _ := p.gainAndCost(v.task, v.kind, now)
		v.task.cpuPercent = throttledPercent
		// The quota stays charged in full, so that it has room for the full size when
		// the throttling ends.
		p.setReserved(v.task, v.task.reserved.Minus(gain))
		p.sendThrottle(v.task, reason)
	}
}

// sendThrottle adds an action to the plan that limits the task to its cpuPercent.
func (p *Placer[F, S, J]) sendThrottle(t *task, reason string) {
	p.out.Actions = append(p.out.Actions, Action{
		Kind: ActionThrottle, Worker: t.worker.ID, Task: t.ID, Attempt: t.attempt, CPUPercent: t.cpuPercent, Reason: reason,
	})
}

// restoreThrottled gives throttled tasks their full size back where it fits again. A
// size that was learned meanwhile counts as far as the customer's quota allows. It skips
// workers that are reserved for a task.
func (p *Placer[F, S, J]) restoreThrottled() {
	for _, id := range sortedKeys(p.throttled) {
		w := p.workers[id]
		if w.reservedFor != nil {
			continue
		}
		for _, tid := range sortedKeys(w.tasks) {
			t := w.tasks[tid]
			full := p.sizeWithinQuota(t, p.sizeToReserve(t.Task))
			if t.cpuPercent == 100 || t.phase != PhaseRunning || !full.Minus(t.reserved).FitsIn(w.Size.Minus(w.used)) {
				continue
			}
			t.cpuPercent = 100
			p.resize(t, full)
			p.customers[t.Customer].setDisrupted(t, false)
			p.sendThrottle(t, "the worker has free capacity again")
		}
	}
}
