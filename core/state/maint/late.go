package maint

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// passDeadlines checks the waves whose check fell due and lists every deadline
// that cannot be met.
func (b *Board[P, J]) passDeadlines(now clock.Millis, plan *Plan) {
	for _, name := range b.names {
		w := b.waves[name]
		if b.check[name] {
			next := clock.Millis(0)
			if w.periodic() {
				next = b.checkPeriod(w, now)
			} else {
				next = b.checkWave(w, now)
			}
			if next > 0 {
				b.wakeAt("wave "+name, due{at: next, wave: name})
			}
		}
		if len(w.pending) == 0 {
			w.late = nil
		}
		plan.Late = append(plan.Late, w.late...)
	}
	clear(b.check)
}

// checkWave estimates for each customer when the wave would be done and
// returns the time of the next check: often enough to see a change, and
// always at the last moment at which a maintenance could still be started.
func (b *Board[P, J]) checkWave(w *wave, now clock.Millis) clock.Millis {
	w.late = nil
	if len(w.pending) == 0 && w.decl.Declared <= now {
		return 0
	}
	started := b.startedIn(w)
	covered := map[model.Pool]bool{}
	for _, c := range sortedKeys(b.accounts) {
		a := b.accounts[c]
		for _, p := range a.pools {
			covered[p] = true
		}
		b.checkCustomer(w, a, started, now)
	}
	free := 0
	for p, n := range w.byPool {
		if !covered[p] {
			free += n
		}
	}
	if last := w.decl.Deadline - b.set.StepMillis; free > 0 && now > last {
		w.late = append(w.late, Late{
			Wave: w.decl.Name, Remaining: free, Deadline: w.decl.Deadline, Estimate: now + b.set.StepMillis,
			Reason: "instances of pools without a contract are left",
		})
	}
	last := w.decl.Deadline - b.set.StepMillis
	if now < last {
		return min(last, now+max(b.set.StepMillis, (last-now)/8))
	}
	return now + max(b.set.StepMillis/4, 1)
}

// startedIn lists the wave's instances that are in maintenance already.
func (b *Board[P, J]) startedIn(w *wave) []*item {
	var out []*item
	for _, id := range sortedKeys(b.flight) {
		if b.flight[id].wave == w {
			out = append(out, b.flight[id])
		}
	}
	return out
}

func (b *Board[P, J]) checkCustomer(w *wave, a *account, started []*item, now clock.Millis) {
	own := map[model.Pool]bool{}
	total := 0
	for _, p := range a.pools {
		own[p] = true
		total += w.byPool[p]
	}
	if total == 0 {
		return
	}
	left := map[string]int{}
	for c, n := range w.pending {
		if !own[c.pool] {
			continue
		}
		if a.contract.Covers == model.DomainInstance {
			// Each instance is a domain of its own: one round each.
			left[""] += n
			continue
		}
		left[a.domainOf(model.Instance{Zone: c.zone, Rack: c.rack})] += n
	}
	begin := now
	for _, it := range started {
		if !own[it.inst.Pool] {
			continue
		}
		d := a.domainOf(it.inst)
		if a.contract.Covers == model.DomainInstance {
			d = ""
		}
		left[d]--
		end := a.out[it.inst.ID].from + b.set.StepMillis
		if end < now {
			// It has taken longer than a maintenance may; nothing says when it
			// will be back.
			end = now + b.set.StepMillis
		}
		begin = max(begin, end)
	}
	late := Late{Wave: w.decl.Name, Customer: a.contract.Customer, Remaining: total, Deadline: w.decl.Deadline}
	late.Estimate, late.Reason = b.estimate(w, a, left, begin, now)
	if late.Estimate == 0 || late.Estimate > w.decl.Deadline {
		w.late = append(w.late, late)
	}
}

// estimate returns when the customer's instances that are left in each
// failure domain would be done, one domain after the other, and which limit
// decides that; 0 for never.
func (b *Board[P, J]) estimate(w *wave, a *account, left map[string]int, begin, now clock.Millis) (clock.Millis, string) {
	rest, rounds := 0, 0
	lost := a.count - a.planned
	width := a.contract.MaxUnavailable - lost
	if a.contract.Covers == model.DomainInstance {
		width = min(width, 1)
	}
	for _, n := range left {
		rest += n
		if width > 0 {
			rounds += (n + width - 1) / width
		}
	}
	if rest == 0 {
		return begin, "in maintenance and not back in time"
	}
	if width <= 0 {
		return 0, fmt.Sprintf("max-unavailable %d with %d unplanned losses", a.contract.MaxUnavailable, lost)
	}
	switch {
	case w.observed > 0:
	case w.flight > 0:
		begin += b.set.CanaryMillis
	case w.touched.Instances > 0:
		begin = max(begin, w.canary+b.set.CanaryMillis)
	default:
		begin += b.set.StepMillis + b.set.CanaryMillis
	}
	end := begin + clock.Millis(rounds)*b.set.StepMillis
	reason := fmt.Sprintf("%d instances in %d rounds of at most %d in one %s", rest, rounds, width, a.contract.Covers)
	if a.contract.WindowMillis == 0 {
		return end, reason
	}
	each := int(a.contract.BudgetMillis / b.set.StepMillis)
	if each == 0 {
		return 0, fmt.Sprintf("a window budget of %d ms holds no maintenance of %d ms", a.contract.BudgetMillis, b.set.StepMillis)
	}
	free := max(0, int((a.contract.BudgetMillis-a.used(now, b.set.StepMillis, b.outages))/b.set.StepMillis))
	if rest > free {
		windows := (rest - free + each - 1) / each
		end = max(end, now+clock.Millis(windows)*a.contract.WindowMillis+b.set.StepMillis)
		reason = fmt.Sprintf("%d instances at %d for each window of %d ms", rest, each, a.contract.WindowMillis)
	}
	return end, reason
}

// checkPeriod reports, by pool, the instances that the periodic goal cannot
// reach in time any more, and returns the time of the next check.
func (b *Board[P, J]) checkPeriod(w *wave, now clock.Millis) clock.Millis {
	w.late = nil
	next := now + max(b.set.MarginMillis/2, b.set.StepMillis)
	for _, p := range sortedKeys(b.ready) {
		late := Late{Wave: Periodic, Pool: p, Reason: "due instances of the pool did not start in time"}
		for _, s := range b.ready[p].racks {
			for _, it := range s.items {
				last := it.deadline - b.set.StepMillis
				switch {
				case it.wave != w:
				case now < last:
					next = min(next, last)
				default:
					late.Remaining++
					late.Deadline = it.deadline
					next = min(next, now+b.set.StepMillis)
				}
			}
		}
		if late.Remaining > 0 {
			w.late = append(w.late, late)
		}
	}
	return next
}
