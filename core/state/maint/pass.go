package maint

import (
	"cmp"
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Pass returns the next steps. It changes nothing but the index: a step that
// is not carried out is returned again by the next pass.
func (b *Planner[P, J]) Pass(now clock.Millis) Plan {
	var plan Plan
	b.prune(now)
	b.fire(now)
	b.judgeWaves(&plan)
	b.passFlight(now, &plan)
	b.passReady(now, &plan)
	b.passDeadlines(now, &plan)
	for _, p := range sortedKeys(b.waits) {
		plan.Waits = append(plan.Waits, b.waits[p])
	}
	if b.due.Len() > 0 {
		plan.NextPassAt = b.due.Top().at
	}
	return plan
}

func (b *Planner[P, J]) judgeWaves(plan *Plan) {
	for _, name := range b.names {
		w := b.waves[name]
		reason := ""
		if w.touched.Instances > 0 {
			reason = b.judge.StopReason(w.touched, w.peers)
		}
		if (reason == "") != (w.stop == "") {
			b.touchWave(w)
		}
		w.stop = reason
		if reason != "" {
			plan.Stops = append(plan.Stops, Stop{Wave: name, Touched: w.touched, Peers: w.peers, Reason: reason})
		}
	}
}

// passFlight takes the steps of the instances whose maintenance has begun.
func (b *Planner[P, J]) passFlight(now clock.Millis, plan *Plan) {
	back := map[model.Customer]int{}
	for _, id := range sortedKeys(b.flight) {
		it := b.flight[id]
		step := Step{Instance: id, Pool: it.inst.Pool, Wave: it.wave.decl.Name}
		switch {
		case it.inst.Phase == model.PhaseReleasing:
			step.Kind, step.Reason = b.releasing(it, now, back)
		case it.seen.Verified && it.seen.Restarted:
			step.Kind, step.Done, step.Reason = StepReturn, true, "restarted and verified"
		case it.seen.Restarted:
			step.Kind, step.Reason = StepVerify, "announced with a higher incarnation"
		case it.inst.PhaseSince+b.set.StuckMillis <= now:
			plan.Waits = append(plan.Waits, Wait{
				Pool: it.inst.Pool, Wave: it.wave.decl.Name, Instance: id, Limit: LimitPlatform,
				Current: int64(now - it.inst.PhaseSince), Max: int64(b.set.StuckMillis),
				Unblock: "the instance announces itself with a higher incarnation, or an operator declares it lost",
			})
		}
		if step.Kind != "" {
			plan.Steps = append(plan.Steps, step)
		}
	}
}

// releasing returns the step of an instance that is not handed over yet: back
// to service when an unplanned loss has used up what its release counted on.
func (b *Planner[P, J]) releasing(it *item, now clock.Millis, back map[model.Customer]int) (StepKind, string) {
	reason := b.takeBack(it, now, back)
	if reason != "" {
		for _, c := range b.holders[it.inst.Pool] {
			back[c]++
		}
		return StepReturn, reason
	}
	if !it.seen.Drained {
		return "", ""
	}
	return StepHandOver, "every entry process of zone " + string(it.inst.Zone) + " confirmed the release"
}

func (b *Planner[P, J]) takeBack(it *item, now clock.Millis, back map[model.Customer]int) string {
	if b.waves[it.wave.decl.Name] == nil {
		return "the declaration was cancelled"
	}
	if it.wave.stop != "" {
		return "the wave stopped: " + it.wave.stop
	}
	for _, c := range b.holders[it.inst.Pool] {
		a := b.accounts[c]
		if n := a.count - back[c]; n > a.contract.MaxUnavailable {
			return fmt.Sprintf("%d instances of %s are out of service; the contract allows %d", n, c, a.contract.MaxUnavailable)
		}
		if a.lostElsewhere(a.domainOf(it.inst)) {
			return fmt.Sprintf("%s lost an instance in another %s", c, a.contract.Covers)
		}
		used := a.used(now, b.set.MaintenanceMillis, b.outages) - clock.Millis(back[c])*b.set.MaintenanceMillis
		if a.contract.WindowMillis > 0 && used > a.contract.BudgetMillis {
			return fmt.Sprintf("%s would spend %d ms of its %d ms window budget", c, used, a.contract.BudgetMillis)
		}
	}
	return ""
}

func (b *Planner[P, J]) outages(p model.Pool) []Outage { return b.closed[p] }

// passReady starts due work in the pools where something changed. Pools come
// in the order of their earliest deadline.
func (b *Planner[P, J]) passReady(now clock.Millis, plan *Plan) {
	pools := sortedKeys(b.dirty)
	clear(b.dirty)
	first := map[model.Pool]clock.Millis{}
	pools = slices.DeleteFunc(pools, func(p model.Pool) bool {
		delete(b.waits, p)
		y := b.ready[p]
		if y == nil || len(y.racks) == 0 {
			return true
		}
		first[p] = y.first().deadline
		return false
	})
	slices.SortStableFunc(pools, func(x, y model.Pool) int { return cmp.Compare(first[x], first[y]) })
	taken := map[*item]bool{}
	var order []*item
	for _, p := range pools {
		for {
			it, wait := b.pick(p, now, taken)
			if it == nil {
				b.hold(p, wait)
				break
			}
			taken[it] = true
			order = append(order, it)
			plan.Steps = append(plan.Steps, Step{
				Kind: StepRelease, Instance: it.inst.ID, Pool: p, Wave: it.wave.decl.Name, Reason: b.why(it),
			})
			b.reserve(it, 1)
		}
	}
	// The reservations held only for the limits of this pass: what is carried
	// out comes back as a change of the instance's phase.
	for _, it := range order {
		b.reserve(it, -1)
		b.dirty[it.inst.Pool] = true
	}
}

func (b *Planner[P, J]) hold(p model.Pool, w *Wait) {
	if w == nil {
		return
	}
	b.waits[p] = *w
	if w.Until > 0 {
		b.wakeAt("pool "+string(p), due{at: w.Until, pool: string(p)})
	}
}

// reserve adds or takes back a release in the counts of the current pass.
func (b *Planner[P, J]) reserve(it *item, n int) {
	it.wave.tentative += n
	for _, c := range b.holders[it.inst.Pool] {
		a := b.accounts[c]
		a.shift(a.domainOf(it.inst), causeMaintenance, n)
		a.tentative += n
	}
}

func (b *Planner[P, J]) why(it *item) string {
	w := it.wave
	if w.observed == 0 {
		return "canary of " + w.decl.Name
	}
	return fmt.Sprintf("%s, due at %d; %d of its instances are left", w.decl.Name, it.deadline, sum(w.byPool))
}

func sum(m map[model.Pool]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}
