package maint

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// checkDeadlines checks the deadlines of the waves marked for a check and adds
// to the plan every deadline that cannot be met.
func (b *Planner[P, J]) checkDeadlines(now clock.Millis, plan *Plan) {
	for _, name := range b.waveNames {
		w := b.waves[name]
		if b.wavesToCheck[name] {
			next := clock.Millis(0)
			if w.periodic() {
				next = b.checkPeriod(w, now)
			} else {
				next = b.checkWave(w, now)
			}
			if next > 0 {
				b.setTimer("wave "+name, timer{at: next, wave: name})
			}
		}
		if len(w.pending) == 0 {
			w.unmet = nil
		}
		plan.UnmetDeadlines = append(plan.UnmetDeadlines, w.unmet...)
	}
	clear(b.wavesToCheck)
}

// checkWave estimates for each customer when the wave will be done and returns
// the time of the next check. Checks are frequent enough to notice a change, and
// one always takes place at the last time at which maintenance can start and
// still meet the deadline.
func (b *Planner[P, J]) checkWave(w *wave, now clock.Millis) clock.Millis {
	w.unmet = nil
	if len(w.pending) == 0 && w.decl.DeclaredAt <= now {
		return 0
	}
	covered := map[model.Pool]bool{}
	for _, c := range sortedKeys(b.customers) {
		a := b.customers[c]
		for _, p := range a.pools {
			covered[p] = true
		}
		b.checkCustomer(w, a, now)
	}
	uncovered := 0
	for p, n := range w.byPool {
		if !covered[p] {
			uncovered += n
		}
	}
	if last := w.decl.Deadline - b.settings.MaintenanceMillis; uncovered > 0 && now > last {
		w.unmet = append(w.unmet, UnmetDeadline{
			Wave: w.decl.Name, Remaining: uncovered, Deadline: w.decl.Deadline, Estimate: now + b.settings.MaintenanceMillis,
			Reason: "instances of pools without a contract are left",
		})
	}
	last := w.decl.Deadline - b.settings.MaintenanceMillis
	if now < last {
		return min(last, now+max(b.settings.MaintenanceMillis, (last-now)/8))
	}
	return now + max(b.settings.MaintenanceMillis/4, 1)
}

// backlog is the work that a wave has left for one customer.
type backlog struct {
	// waiting counts the instances whose maintenance has not started, by failure
	// domain.
	waiting map[string]int
	// expectedEnds holds the expected end times of the maintenances in progress,
	// which are all in busyDomain.
	expectedEnds []clock.Millis
	busyDomain   string
}

// backlogOf returns the backlog of a customer in the wave. total is the number
// of its pending instances, including those in progress.
func (b *Planner[P, J]) backlogOf(w *wave, a *customerState, now clock.Millis) (o backlog, total int) {
	o.waiting = map[string]int{}
	own := map[model.Pool]bool{}
	for _, p := range a.pools {
		own[p] = true
		total += w.byPool[p]
	}
	// Under DomainInstance each instance is its own domain. These are counted
	// as one domain, and estimate lets only one of them start at a time.
	name := func(i model.Instance) string {
		if a.contract.Covers == model.DomainInstance {
			return ""
		}
		return a.domainOf(i)
	}
	for c, n := range w.pending {
		if own[c.pool] {
			o.waiting[name(model.Instance{Zone: c.zone, Rack: c.rack})] += n
		}
	}
	for _, id := range sortedKeys(b.inProgress) {
		it := b.inProgress[id]
		if !own[it.inst.Pool] {
			continue
		}
		o.busyDomain = name(it.inst)
		if slices.Contains(it.pendingIn, w) {
			o.waiting[o.busyDomain]--
		}
		end := a.unavailable[id].from + b.settings.MaintenanceMillis
		if end < now {
			// The maintenance is overdue and its end is unknown: assume that it
			// takes as long as a new one.
			end = now + b.settings.MaintenanceMillis
		}
		o.expectedEnds = append(o.expectedEnds, end)
	}
	return o, total
}

func (b *Planner[P, J]) checkCustomer(w *wave, a *customerState, now clock.Millis) {
	o, total := b.backlogOf(w, a, now)
	if total == 0 {
		return
	}
	late := UnmetDeadline{Wave: w.decl.Name, Customer: a.contract.Customer, Remaining: total, Deadline: w.decl.Deadline}
	late.Estimate, late.Reason = b.estimate(w, a, o, now)
	if late.Estimate == 0 || late.Estimate > w.decl.Deadline {
		w.unmet = append(w.unmet, late)
	}
}

// estimate returns the time at which the customer's instances will be done, one
// domain after the other, and the limit that determines it; 0 for never. It
// assumes that each maintenance takes MaintenanceMillis, the longest allowed
// time, so the estimate does not move back while maintenance goes as planned.
func (b *Planner[P, J]) estimate(w *wave, a *customerState, o backlog, now clock.Millis) (clock.Millis, string) {
	remaining := 0
	for _, n := range o.waiting {
		remaining += n
	}
	if remaining == 0 {
		return slices.Max(append(o.expectedEnds, now)), "in maintenance and not back in time"
	}
	lost := a.byCause[causeLoss]
	width := a.contract.MaxUnavailable - lost
	if a.contract.Covers == model.DomainInstance {
		width = min(width, 1)
	}
	if width <= 0 {
		return 0, fmt.Sprintf("max-unavailable %d with %d unplanned losses", a.contract.MaxUnavailable, lost)
	}
	end := b.finishBusy(o, b.canaryDone(w, o, now), width)
	rounds := 0
	for name, n := range o.waiting {
		if len(o.expectedEnds) == 0 || name != o.busyDomain {
			rounds += (n + width - 1) / width
		}
	}
	end += clock.Millis(rounds) * b.settings.MaintenanceMillis
	reason := fmt.Sprintf("%d instances with at most %d at once in one %s", remaining, width, a.contract.Covers)
	if a.contract.WindowMillis == 0 {
		return end, reason
	}
	perWindow := int(a.contract.BudgetMillis / b.settings.MaintenanceMillis)
	if perWindow == 0 {
		return 0, fmt.Sprintf("a window budget of %d ms holds no maintenance of %d ms", a.contract.BudgetMillis, b.settings.MaintenanceMillis)
	}
	free := max(0, int((a.contract.BudgetMillis-a.windowUsed(now, b.settings.MaintenanceMillis, b.outages))/b.settings.MaintenanceMillis))
	if remaining > free {
		windows := (remaining - free + perWindow - 1) / perWindow
		end = max(end, now+clock.Millis(windows)*a.contract.WindowMillis+b.settings.MaintenanceMillis)
		reason = fmt.Sprintf("%d instances at %d for each window of %d ms", remaining, perWindow, a.contract.WindowMillis)
	}
	return end, reason
}

// canaryDone returns the time from which instances other than the canary may
// start.
func (b *Planner[P, J]) canaryDone(w *wave, o backlog, now clock.Millis) clock.Millis {
	switch {
	case w.observedCount > 0:
		return now
	case w.inProgress > 0:
		return slices.Max(append(o.expectedEnds, now)) + b.settings.CanaryMillis
	case w.touched.Instances > 0:
		return max(now, w.canaryReturnedAt+b.settings.CanaryMillis)
	default:
		return now + b.settings.MaintenanceMillis + b.settings.CanaryMillis
	}
}

// finishBusy returns the time at which the domain with maintenance in progress
// is done, with at most width concurrent maintenances. Each one that ends is
// followed by the next waiting instance of the domain, but not before
// canaryDone.
func (b *Planner[P, J]) finishBusy(o backlog, canaryDone clock.Millis, width int) clock.Millis {
	if len(o.expectedEnds) == 0 {
		return canaryDone
	}
	ends := slices.Clone(o.expectedEnds)
	for len(ends) < width {
		ends = append(ends, canaryDone)
	}
	slices.Sort(ends)
	for range o.waiting[o.busyDomain] {
		ends = append(ends[1:], max(ends[0], canaryDone)+b.settings.MaintenanceMillis)
		slices.Sort(ends)
	}
	return max(canaryDone, ends[len(ends)-1])
}

// checkPeriod records, by pool, the instances that the periodic wave can no
// longer maintain in time, and returns the time of the next check.
func (b *Planner[P, J]) checkPeriod(w *wave, now clock.Millis) clock.Millis {
	w.unmet = nil
	next := now + max(b.settings.MarginMillis/2, b.settings.MaintenanceMillis)
	for _, p := range sortedKeys(b.dueByPool) {
		late := UnmetDeadline{Wave: Periodic, Pool: p, Reason: "due instances of the pool did not start in time"}
		for _, s := range b.dueByPool[p].racks {
			for _, it := range s.items {
				last := it.deadline - b.settings.MaintenanceMillis
				switch {
				case it.wave != w:
				case now < last:
					next = min(next, last)
				default:
					late.Remaining++
					late.Deadline = it.deadline
					next = min(next, now+b.settings.MaintenanceMillis)
				}
			}
		}
		if late.Remaining > 0 {
			w.unmet = append(w.unmet, late)
		}
	}
	return next
}
