package maint

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// checkDeadlines checks the deadlines of the waves in wavesToCheck, empties
// wavesToCheck and sets the timers of the next checks. It adds to the plan the unmet
// deadlines of every wave that has pending instances, including those found by
// earlier checks.
func (pl *Planner[P, S]) checkDeadlines(now clock.Millis, plan *Plan) {
	for _, name := range pl.waveNames {
		w := pl.waves[name]
		if pl.wavesToCheck[name] {
			next := clock.Millis(0)
			if w.periodic() {
				next = pl.checkPeriod(w, now)
			} else {
				next = pl.checkWave(w, now)
			}
			if next > 0 {
				pl.setTimer("wave "+name, timer{at: next, wave: name})
			}
		}
		if len(w.pending) == 0 {
			w.unmet = nil
		}
		plan.UnmetDeadlines = append(plan.UnmetDeadlines, w.unmet...)
	}
	clear(pl.wavesToCheck)
}

// checkWave estimates for each customer when the wave will be done, records in
// w.unmet the deadlines that it expects to be missed, and returns the time of the
// next check, or 0 if none is needed. Pools without a contract have no estimate;
// their instances count as late once it is too late to start their maintenance.
//
// The latest start is the last time at which maintenance can start and still meet
// the deadline. To notice a change early enough, the next check follows after an
// eighth of the time left until the latest start, but not before one maintenance
// could have ended. One check always takes place at the latest start; from then on,
// checks follow every quarter of a maintenance.
func (pl *Planner[P, S]) checkWave(w *wave, now clock.Millis) clock.Millis {
	w.unmet = nil
	if len(w.pending) == 0 && w.decl.DeclaredAt <= now {
		return 0
	}
	covered := map[model.Pool]bool{}
	for _, c := range sortedKeys(pl.customers) {
		cs := pl.customers[c]
		for _, p := range cs.pools {
			covered[p] = true
		}
		pl.checkCustomer(w, cs, now)
	}
	uncovered := 0
	for p, n := range w.byPool {
		if !covered[p] {
			uncovered += n
		}
	}
	if latestStart := w.decl.Deadline - pl.settings.MaintenanceMillis; uncovered > 0 && now > latestStart {
		w.unmet = append(w.unmet, UnmetDeadline{
			Wave: w.decl.Name, Remaining: uncovered, Deadline: w.decl.Deadline, Estimate: now + pl.settings.MaintenanceMillis,
			Reason: "instances of pools without a contract still have to be maintained",
		})
	}
	latestStart := w.decl.Deadline - pl.settings.MaintenanceMillis
	if now < latestStart {
		return min(latestStart, now+max(pl.settings.MaintenanceMillis, (latestStart-now)/8))
	}
	return now + max(pl.settings.MaintenanceMillis/4, 1)
}

// backlog is the work that a wave has left for one customer.
type backlog struct {
	// waiting counts the instances whose maintenance has not started, by failure
	// domain.
	waiting map[string]int
	// expectedEnds holds the expected end times of the customer's maintenances in
	// progress, including those of other waves. These are all in busyDomain, because
	// a customer's instances are maintained in one domain at a time.
	expectedEnds []clock.Millis
	busyDomain   string
}

// backlogOf returns the backlog of a customer in the wave. total is the number
// of the customer's instances that are pending in the wave, including those in
// progress.
func (pl *Planner[P, S]) backlogOf(w *wave, cs *customerState, now clock.Millis) (b backlog, total int) {
	b.waiting = map[string]int{}
	ownPools := map[model.Pool]bool{}
	for _, p := range cs.pools {
		ownPools[p] = true
		total += w.byPool[p]
	}
	// Under DomainInstance each instance is its own domain. All instances are
	// counted as one domain here, and estimate lets only one of them start at a time.
	domain := func(i model.Instance) string {
		if cs.contract.Covers == model.DomainInstance {
			return ""
		}
		return cs.domainOf(i)
	}
	for g, n := range w.pending {
		if ownPools[g.pool] {
			b.waiting[domain(model.Instance{Zone: g.zone, Rack: g.rack})] += n
		}
	}
	for _, id := range sortedKeys(pl.inProgress) {
		it := pl.inProgress[id]
		if !ownPools[it.inst.Pool] {
			continue
		}
		b.busyDomain = domain(it.inst)
		if slices.Contains(it.pendingIn, w) {
			b.waiting[b.busyDomain]--
		}
		end := cs.unavailable[id].from + pl.settings.MaintenanceMillis
		if end < now {
			// The maintenance is overdue and its end is unknown: assume that it
			// takes as long as a new one.
			end = now + pl.settings.MaintenanceMillis
		}
		b.expectedEnds = append(b.expectedEnds, end)
	}
	return b, total
}

// checkCustomer adds an unmet deadline to the wave if the customer's instances are
// not expected to be done by its deadline.
func (pl *Planner[P, S]) checkCustomer(w *wave, cs *customerState, now clock.Millis) {
	b, total := pl.backlogOf(w, cs, now)
	if total == 0 {
		return
	}
	unmet := UnmetDeadline{Wave: w.decl.Name, Customer: cs.contract.Customer, Remaining: total, Deadline: w.decl.Deadline}
	unmet.Estimate, unmet.Reason = pl.estimate(w, cs, b, now)
	if unmet.Estimate == 0 || unmet.Estimate > w.decl.Deadline {
		w.unmet = append(w.unmet, unmet)
	}
}

// estimate returns the time at which the last of the customer's instances will be
// done, or 0 for never, and a text that describes what determines this time. It
// assumes that the domains are maintained one after the other and that each
// maintenance takes MaintenanceMillis, the longest expected time, so that the
// estimate does not become later while maintenance goes as planned.
func (pl *Planner[P, S]) estimate(w *wave, cs *customerState, b backlog, now clock.Millis) (clock.Millis, string) {
	remaining := 0
	for _, n := range b.waiting {
		remaining += n
	}
	if remaining == 0 {
		return slices.Max(append(b.expectedEnds, now)), "the instances in maintenance are not expected back in time"
	}
	lost := cs.byCause[causeLoss]
	maxConcurrent := cs.contract.MaxUnavailable - lost
	if cs.contract.Covers == model.DomainInstance {
		maxConcurrent = min(maxConcurrent, 1)
	}
	if maxConcurrent <= 0 {
		return 0, fmt.Sprintf("max-unavailable is %d and %d instances are lost", cs.contract.MaxUnavailable, lost)
	}
	end := pl.busyDomainEnd(b, pl.canaryDone(w, b, now), maxConcurrent)
	rounds := 0
	for domain, n := range b.waiting {
		if len(b.expectedEnds) == 0 || domain != b.busyDomain {
			rounds += (n + maxConcurrent - 1) / maxConcurrent
		}
	}
	end += clock.Millis(rounds) * pl.settings.MaintenanceMillis
	reason := fmt.Sprintf("%d instances with at most %d at once in one %s", remaining, maxConcurrent, cs.contract.Covers)
	if cs.contract.WindowMillis == 0 {
		return end, reason
	}
	perWindow := int(cs.contract.BudgetMillis / pl.settings.MaintenanceMillis)
	if perWindow == 0 {
		return 0, fmt.Sprintf("the window budget of %d ms is shorter than one maintenance of %d ms", cs.contract.BudgetMillis, pl.settings.MaintenanceMillis)
	}
	allowedNow := max(0, int((cs.contract.BudgetMillis-cs.windowUsed(now, pl.settings.MaintenanceMillis, pl.outages))/pl.settings.MaintenanceMillis))
	if remaining > allowedNow {
		windows := (remaining - allowedNow + perWindow - 1) / perWindow
		end = max(end, now+clock.Millis(windows)*cs.contract.WindowMillis+pl.settings.MaintenanceMillis)
		reason = fmt.Sprintf("%d instances, of which the budget allows %d in each window of %d ms", remaining, perWindow, cs.contract.WindowMillis)
	}
	return end, reason
}

// canaryDone returns the time from which maintenance of instances other than the
// canary is expected to be allowed.
func (pl *Planner[P, S]) canaryDone(w *wave, b backlog, now clock.Millis) clock.Millis {
	switch {
	case w.observedCount > 0:
		return now
	case w.inProgress > 0:
		return slices.Max(append(b.expectedEnds, now)) + pl.settings.CanaryMillis
	case w.touched.Instances > 0:
		return max(now, w.touchedMaintainedAt+pl.settings.CanaryMillis)
	default:
		return now + pl.settings.MaintenanceMillis + pl.settings.CanaryMillis
	}
}

// busyDomainEnd returns the time at which the domain with maintenance in progress
// is done, with at most maxConcurrent concurrent maintenances, but not before
// canaryDone. When one maintenance ends, that of the next waiting instance of the
// domain starts, but not before canaryDone. If no maintenance is in progress,
// busyDomainEnd returns canaryDone.
func (pl *Planner[P, S]) busyDomainEnd(b backlog, canaryDone clock.Millis, maxConcurrent int) clock.Millis {
	if len(b.expectedEnds) == 0 {
		return canaryDone
	}
	ends := slices.Clone(b.expectedEnds)
	for len(ends) < maxConcurrent {
		ends = append(ends, canaryDone)
	}
	slices.Sort(ends)
	for range b.waiting[b.busyDomain] {
		ends = append(ends[1:], max(ends[0], canaryDone)+pl.settings.MaintenanceMillis)
		slices.Sort(ends)
	}
	return max(canaryDone, ends[len(ends)-1])
}

// checkPeriod records for each pool how many due instances have reached the latest
// time at which their periodic maintenance can start and still meet the deadline,
// and returns the time of the next check.
func (pl *Planner[P, S]) checkPeriod(w *wave, now clock.Millis) clock.Millis {
	w.unmet = nil
	next := now + max(pl.settings.MarginMillis/2, pl.settings.MaintenanceMillis)
	for _, p := range sortedKeys(pl.dueByPool) {
		unmet := UnmetDeadline{Wave: Periodic, Pool: p, Reason: "due instances of the pool did not start in time"}
		for _, r := range pl.dueByPool[p].racks {
			for _, it := range r.items {
				latestStart := it.deadline - pl.settings.MaintenanceMillis
				switch {
				case it.wave != w:
				case now < latestStart:
					next = min(next, latestStart)
				default:
					unmet.Remaining++
					unmet.Deadline = it.deadline
					next = min(next, now+pl.settings.MaintenanceMillis)
				}
			}
		}
		if unmet.Remaining > 0 {
			w.unmet = append(w.unmet, unmet)
		}
	}
	return next
}
