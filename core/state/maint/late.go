package maint

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// passDeadlines checks the waves whose check fell due and lists every deadline
// that cannot be met.
func (b *Planner[P, J]) passDeadlines(now clock.Millis, plan *Plan) {
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
		plan.UnmetDeadlines = append(plan.UnmetDeadlines, w.late...)
	}
	clear(b.check)
}

// checkWave estimates for each customer when the wave would be done and
// returns the time of the next check: often enough to see a change, and
// always at the last moment at which a maintenance could still be started.
func (b *Planner[P, J]) checkWave(w *wave, now clock.Millis) clock.Millis {
	w.late = nil
	if len(w.pending) == 0 && w.decl.DeclaredAt <= now {
		return 0
	}
	covered := map[model.Pool]bool{}
	for _, c := range sortedKeys(b.accounts) {
		a := b.accounts[c]
		for _, p := range a.pools {
			covered[p] = true
		}
		b.checkCustomer(w, a, now)
	}
	free := 0
	for p, n := range w.byPool {
		if !covered[p] {
			free += n
		}
	}
	if last := w.decl.Deadline - b.set.MaintenanceMillis; free > 0 && now > last {
		w.late = append(w.late, UnmetDeadline{
			Wave: w.decl.Name, Remaining: free, Deadline: w.decl.Deadline, Estimate: now + b.set.MaintenanceMillis,
			Reason: "instances of pools without a contract are left",
		})
	}
	last := w.decl.Deadline - b.set.MaintenanceMillis
	if now < last {
		return min(last, now+max(b.set.MaintenanceMillis, (last-now)/8))
	}
	return now + max(b.set.MaintenanceMillis/4, 1)
}

// outlook is what one customer still has before it in a wave.
type outlook struct {
	// left counts the instances that did not start, by failure domain.
	left map[string]int
	// ends holds the expected ends of the maintenances under way, which all
	// are in the domain busy.
	ends []clock.Millis
	busy string
}

// look sums up what a customer has left; total counts those under way too.
func (b *Planner[P, J]) look(w *wave, a *account, now clock.Millis) (o outlook, total int) {
	o.left = map[string]int{}
	own := map[model.Pool]bool{}
	for _, p := range a.pools {
		own[p] = true
		total += w.byPool[p]
	}
	// Each instance is a domain of its own under DomainInstance; they are
	// counted together and done one at a time.
	name := func(i model.Instance) string {
		if a.contract.Covers == model.DomainInstance {
			return ""
		}
		return a.domainOf(i)
	}
	for c, n := range w.pending {
		if own[c.pool] {
			o.left[name(model.Instance{Zone: c.zone, Rack: c.rack})] += n
		}
	}
	for _, id := range sortedKeys(b.flight) {
		it := b.flight[id]
		if !own[it.inst.Pool] {
			continue
		}
		o.busy = name(it.inst)
		if slices.Contains(it.pending, w) {
			o.left[o.busy]--
		}
		end := a.out[id].from + b.set.MaintenanceMillis
		if end < now {
			// It has taken longer than a maintenance may; nothing says when it
			// will be back.
			end = now + b.set.MaintenanceMillis
		}
		o.ends = append(o.ends, end)
	}
	return o, total
}

func (b *Planner[P, J]) checkCustomer(w *wave, a *account, now clock.Millis) {
	o, total := b.look(w, a, now)
	if total == 0 {
		return
	}
	late := UnmetDeadline{Wave: w.decl.Name, Customer: a.contract.Customer, Remaining: total, Deadline: w.decl.Deadline}
	late.Estimate, late.Reason = b.estimate(w, a, o, now)
	if late.Estimate == 0 || late.Estimate > w.decl.Deadline {
		w.late = append(w.late, late)
	}
}

// estimate returns when the customer's instances would be done, one domain
// after the other, and which limit decides that; 0 for never. It assumes that
// each maintenance takes as long as it may, so it does not grow while all goes
// as planned.
func (b *Planner[P, J]) estimate(w *wave, a *account, o outlook, now clock.Millis) (clock.Millis, string) {
	rest := 0
	for _, n := range o.left {
		rest += n
	}
	if rest == 0 {
		return slices.Max(append(o.ends, now)), "in maintenance and not back in time"
	}
	lost := a.by[causeLoss]
	width := a.contract.MaxUnavailable - lost
	if a.contract.Covers == model.DomainInstance {
		width = min(width, 1)
	}
	if width <= 0 {
		return 0, fmt.Sprintf("max-unavailable %d with %d unplanned losses", a.contract.MaxUnavailable, lost)
	}
	end := b.finishBusy(o, b.opens(w, o, now), width)
	rounds := 0
	for name, n := range o.left {
		if len(o.ends) == 0 || name != o.busy {
			rounds += (n + width - 1) / width
		}
	}
	end += clock.Millis(rounds) * b.set.MaintenanceMillis
	reason := fmt.Sprintf("%d instances with at most %d at once in one %s", rest, width, a.contract.Covers)
	if a.contract.WindowMillis == 0 {
		return end, reason
	}
	each := int(a.contract.BudgetMillis / b.set.MaintenanceMillis)
	if each == 0 {
		return 0, fmt.Sprintf("a window budget of %d ms holds no maintenance of %d ms", a.contract.BudgetMillis, b.set.MaintenanceMillis)
	}
	free := max(0, int((a.contract.BudgetMillis-a.used(now, b.set.MaintenanceMillis, b.outages))/b.set.MaintenanceMillis))
	if rest > free {
		windows := (rest - free + each - 1) / each
		end = max(end, now+clock.Millis(windows)*a.contract.WindowMillis+b.set.MaintenanceMillis)
		reason = fmt.Sprintf("%d instances at %d for each window of %d ms", rest, each, a.contract.WindowMillis)
	}
	return end, reason
}

// opens is when the canary lets others start.
func (b *Planner[P, J]) opens(w *wave, o outlook, now clock.Millis) clock.Millis {
	switch {
	case w.observed > 0:
		return now
	case w.flight > 0:
		return slices.Max(append(o.ends, now)) + b.set.CanaryMillis
	case w.touched.Instances > 0:
		return max(now, w.canary+b.set.CanaryMillis)
	default:
		return now + b.set.MaintenanceMillis + b.set.CanaryMillis
	}
}

// finishBusy is when the domain in which maintenance is under way is done:
// each place that becomes free takes the next of its instances.
func (b *Planner[P, J]) finishBusy(o outlook, opens clock.Millis, width int) clock.Millis {
	if len(o.ends) == 0 {
		return opens
	}
	places := slices.Clone(o.ends)
	for len(places) < width {
		places = append(places, opens)
	}
	slices.Sort(places)
	for range o.left[o.busy] {
		places = append(places[1:], max(places[0], opens)+b.set.MaintenanceMillis)
		slices.Sort(places)
	}
	return max(opens, places[len(places)-1])
}

// checkPeriod reports, by pool, the instances that the periodic goal cannot
// reach in time any more, and returns the time of the next check.
func (b *Planner[P, J]) checkPeriod(w *wave, now clock.Millis) clock.Millis {
	w.late = nil
	next := now + max(b.set.MarginMillis/2, b.set.MaintenanceMillis)
	for _, p := range sortedKeys(b.ready) {
		late := UnmetDeadline{Wave: Periodic, Pool: p, Reason: "due instances of the pool did not start in time"}
		for _, s := range b.ready[p].racks {
			for _, it := range s.items {
				last := it.deadline - b.set.MaintenanceMillis
				switch {
				case it.wave != w:
				case now < last:
					next = min(next, last)
				default:
					late.Remaining++
					late.Deadline = it.deadline
					next = min(next, now+b.set.MaintenanceMillis)
				}
			}
		}
		if late.Remaining > 0 {
			w.late = append(w.late, late)
		}
	}
	return next
}
