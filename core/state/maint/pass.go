package maint

import (
	"cmp"
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Pass runs one planning pass and returns the next steps. It changes only the
// index: if a step is not carried out, the next pass returns it again.
func (pl *Planner[P, S]) Pass(now clock.Millis) Plan {
	var plan Plan
	pl.prune(now)
	pl.processChanges(now)
	pl.evaluateWaves(&plan)
	pl.planInProgress(now, &plan)
	pl.planReleases(now, &plan)
	pl.checkDeadlines(now, &plan)
	for _, p := range sortedKeys(pl.waits) {
		plan.Waits = append(plan.Waits, pl.waits[p])
	}
	if pl.timers.Len() > 0 {
		plan.NextPassAt = pl.timers.Top().at
	}
	return plan
}

// evaluateWaves applies the stop policy to each wave that has touched an instance and
// adds the stopped ones to the plan. The pools of a wave that stops or continues
// again are marked for evaluation.
func (pl *Planner[P, S]) evaluateWaves(plan *Plan) {
	for _, name := range pl.waveNames {
		w := pl.waves[name]
		reason := ""
		if w.touched.Instances > 0 {
			reason = pl.stopPolicy.StopReason(w.touched, w.peers)
		}
		if (reason == "") != (w.stopReason == "") {
			pl.recheckPoolsOfWave(w)
		}
		w.stopReason = reason
		if reason != "" {
			plan.Stops = append(plan.Stops, Stop{Wave: name, Touched: w.touched, Peers: w.peers, Reason: reason})
		}
	}
}

// planInProgress adds the steps of the instances whose maintenance has started, and
// a wait for each that the platform has not restarted in time.
func (pl *Planner[P, S]) planInProgress(now clock.Millis, plan *Plan) {
	takenBack := map[model.Customer]int{}
	for _, id := range sortedKeys(pl.inProgress) {
		it := pl.inProgress[id]
		step := Step{Instance: id, Pool: it.inst.Pool, Wave: it.wave.decl.Name}
		switch {
		case it.inst.Phase == model.PhaseReleasing:
			step.Kind, step.Reason = pl.planReleasing(it, now, takenBack)
		case it.observation.Verified && it.observation.Restarted:
			step.Kind, step.Done, step.Reason = StepReturn, true, "restarted and verified"
		case it.observation.Restarted:
			step.Kind, step.Reason = StepVerify, "announced with a higher incarnation"
		case it.inst.PhaseSince+pl.settings.StuckMillis <= now:
			plan.Waits = append(plan.Waits, Wait{
				Pool: it.inst.Pool, Wave: it.wave.decl.Name, Instance: id, Limit: LimitPlatform,
				Current: int64(now - it.inst.PhaseSince), Max: int64(pl.settings.StuckMillis),
				Unblock: "the instance announces itself with a higher incarnation, or an operator declares it lost",
			})
		}
		if step.Kind != "" {
			plan.Steps = append(plan.Steps, step)
		}
	}
}

// planReleasing returns the step of a releasing instance: back to service if its
// release is no longer allowed, for example after an unplanned loss, or over to
// the platform once its release is confirmed. The kind is empty while the instance
// has to wait. takenBack counts the releases taken back in this pass, by customer;
// planReleasing adds a release that it takes back.
func (pl *Planner[P, S]) planReleasing(it *item, now clock.Millis, takenBack map[model.Customer]int) (StepKind, string) {
	reason := pl.takeBackReason(it, now, takenBack)
	if reason != "" {
		for _, c := range pl.customersByPool[it.inst.Pool] {
			takenBack[c]++
		}
		return StepReturn, reason
	}
	if !it.observation.ReleaseConfirmed {
		return "", ""
	}
	return StepHandOver, "every entry process of zone " + string(it.inst.Zone) + " confirmed the release"
}

// takeBackReason returns the reason why a release must be taken back; empty if
// it may continue.
func (pl *Planner[P, S]) takeBackReason(it *item, now clock.Millis, takenBack map[model.Customer]int) string {
	if pl.waves[it.wave.decl.Name] == nil {
		return "the declaration was cancelled"
	}
	if it.wave.stopReason != "" {
		return "the wave stopped: " + it.wave.stopReason
	}
	for _, c := range pl.customersByPool[it.inst.Pool] {
		cs := pl.customers[c]
		if n := cs.total - takenBack[c]; n > cs.contract.MaxUnavailable {
			return fmt.Sprintf("%d instances of %s are out of service; the contract allows %d", n, c, cs.contract.MaxUnavailable)
		}
		if cs.lostInOtherDomain(cs.domainOf(it.inst)) {
			return fmt.Sprintf("%s lost an instance in another %s", c, cs.contract.Covers)
		}
		used := cs.windowUsed(now, pl.settings.MaintenanceMillis, pl.outages) - clock.Millis(takenBack[c])*pl.settings.MaintenanceMillis
		if cs.contract.WindowMillis > 0 && used > cs.contract.BudgetMillis {
			return fmt.Sprintf("%s would spend %d ms of its %d ms window budget", c, used, cs.contract.BudgetMillis)
		}
	}
	return ""
}

func (pl *Planner[P, S]) outages(p model.Pool) []Outage { return pl.finishedOutages[p] }

// planReleases adds releases of due instances in poolsToCheck and updates the waits
// of these pools. Pools are processed in the order of their earliest deadlines. Those
// with releases are marked again for the next pass.
func (pl *Planner[P, S]) planReleases(now clock.Millis, plan *Plan) {
	pools := sortedKeys(pl.poolsToCheck)
	clear(pl.poolsToCheck)
	earliest := map[model.Pool]clock.Millis{}
	pools = slices.DeleteFunc(pools, func(p model.Pool) bool {
		delete(pl.waits, p)
		q := pl.dueByPool[p]
		if q == nil || len(q.racks) == 0 {
			return true
		}
		earliest[p] = q.first().deadline
		return false
	})
	slices.SortStableFunc(pools, func(x, y model.Pool) int { return cmp.Compare(earliest[x], earliest[y]) })
	selected := map[*item]bool{}
	var released []*item
	for _, p := range pools {
		for {
			it, wait := pl.nextRelease(p, now, selected)
			if it == nil {
				pl.recordWait(p, wait)
				break
			}
			selected[it] = true
			released = append(released, it)
			plan.Steps = append(plan.Steps, Step{
				Kind: StepRelease, Instance: it.inst.ID, Pool: p, Wave: it.wave.decl.Name, Reason: pl.releaseReason(it),
			})
			pl.reserve(it, 1)
		}
	}
	// The tentative counts apply to this pass only: a release that is carried
	// out is counted when the instance's phase changes.
	for _, it := range released {
		pl.reserve(it, -1)
		pl.poolsToCheck[it.inst.Pool] = true
	}
}

// recordWait records why due instances of the pool wait, and sets a timer for the
// time at which to evaluate the pool again. It does nothing if w is nil.
func (pl *Planner[P, S]) recordWait(p model.Pool, w *Wait) {
	if w == nil {
		return
	}
	pl.waits[p] = *w
	if w.Until > 0 {
		pl.setTimer("pool "+string(p), timer{at: w.Until, pool: string(p)})
	}
}

// reserve adds n tentative releases of the item, 1 or -1, to the counts of its
// wave and customers.
func (pl *Planner[P, S]) reserve(it *item, n int) {
	it.wave.tentativeReleases += n
	for _, c := range pl.customersByPool[it.inst.Pool] {
		cs := pl.customers[c]
		cs.adjust(cs.domainOf(it.inst), causeMaintenance, n)
		cs.tentativeReleases += n
	}
}

func (pl *Planner[P, S]) releaseReason(it *item) string {
	w := it.wave
	if w.observedCount == 0 {
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
