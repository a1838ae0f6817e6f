package maint

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// scope is the set of instances that a limit blocks besides the instance it was
// found for.
type scope int

const (
	scopeItem scope = iota
	scopeWave
	scopeRack
	scopePool
)

// nextRelease returns the next instance of the pool that may be released. If there
// is none, it returns a Wait with a limit that blocks the whole pool or, without such
// a limit, the first limit found; nil if no instance is due that is not in selected.
// selected holds the instances already selected for release in this pass.
func (pl *Planner[P, S]) nextRelease(p model.Pool, now clock.Millis, selected map[*item]bool) (*item, *Wait) {
	var firstWait *Wait
	var blockedWaves []*wave
	for _, r := range pl.dueByPool[p].racksByDeadline() {
		if firstWait != nil && pl.disruptedInOtherDomain(p, r.items[0].inst) {
			// Every instance of the rack is blocked and the wait to report is
			// known already. Most racks of a large pool are skipped here.
			continue
		}
	rack:
		for _, it := range r.items {
			if selected[it] || slices.Contains(blockedWaves, it.wave) {
				continue
			}
			wait, sc := pl.limitFor(it, now)
			if wait == nil {
				return it, nil
			}
			if sc == scopePool {
				return nil, wait
			}
			if firstWait == nil {
				firstWait = wait
			}
			switch sc {
			case scopeRack:
				break rack
			case scopeWave:
				blockedWaves = append(blockedWaves, it.wave)
			}
		}
	}
	return nil, firstWait
}

// disruptedInOtherDomain reports whether a customer of the pool has instances
// outside the failure domain of i that are in maintenance or lost.
func (pl *Planner[P, S]) disruptedInOtherDomain(p model.Pool, i model.Instance) bool {
	for _, c := range pl.customersByPool[p] {
		if cs := pl.customers[c]; cs.disruptedInOtherDomain(cs.domainOf(i)) {
			return true
		}
	}
	return false
}

// limitFor returns the first limit that keeps the instance from being released,
// and its scope; nil if the instance may be released.
func (pl *Planner[P, S]) limitFor(it *item, now clock.Millis) (*Wait, scope) {
	w := it.wave
	wait := Wait{Pool: it.inst.Pool, Wave: w.decl.Name, Instance: it.inst.ID}
	switch {
	case it.observation.LostSince > 0:
		wait.Limit, wait.Unblock = LimitLost, "the instance announces itself again"
		return &wait, scopeItem
	case w.stopReason != "":
		wait.Limit, wait.Unblock = LimitWaveStopped, "the touched instances recover or the declaration is cancelled: "+w.stopReason
		return &wait, scopeWave
	case w.observedCount == 0 && (w.inProgress+w.tentativeReleases > 0 || w.touched.Instances > 0):
		wait.Limit, wait.Current, wait.Max = LimitCanary, int64(w.inProgress+w.tentativeReleases), 1
		wait.Unblock = fmt.Sprintf("the first instance is back in service and was observed for %d ms", pl.settings.CanaryMillis)
		return &wait, scopeWave
	}
	for _, c := range pl.customersByPool[it.inst.Pool] {
		wait.Customer = c
		if sc, hit := pl.overLimit(it, pl.customers[c], now, &wait); hit {
			return &wait, sc
		}
	}
	return nil, scopeItem
}

// overLimit reports whether releasing the item would exceed a limit of the
// customer. If so, it fills in the wait and returns the scope of the limit.
func (pl *Planner[P, S]) overLimit(it *item, cs *customerState, now clock.Millis, wait *Wait) (scope, bool) {
	c := cs.contract
	if cs.total+1 > c.MaxUnavailable {
		wait.Limit, wait.Current, wait.Max = LimitMaxUnavailable, int64(cs.total), int64(c.MaxUnavailable)
		wait.Unblock = "an instance of the customer comes back into service"
		if c.MaxUnavailable == 0 {
			wait.Unblock = "the contract is changed to allow at least one unavailable instance"
		}
		return scopePool, true
	}
	if c.WindowMillis > 0 {
		used := cs.windowUsed(now, pl.settings.MaintenanceMillis, pl.outages)
		if over := used + pl.settings.MaintenanceMillis - c.BudgetMillis; over > 0 {
			wait.Limit, wait.Current, wait.Max = LimitWindow, int64(used), int64(c.BudgetMillis)
			wait.Until = cs.windowFreeAt(now, over, pl.outages)
			wait.Unblock = fmt.Sprintf("%d ms of outages leave the window, or open outages end earlier than expected", over)
			return scopePool, true
		}
	}
	if cs.disruptedInOtherDomain(cs.domainOf(it.inst)) {
		wait.Limit, wait.Current, wait.Max = LimitDomain, int64(len(cs.domainCounts)), 1
		wait.Unblock = fmt.Sprintf("the customer's instances in other domains of kind %s are back in service", c.Covers)
		return scopeRack, true
	}
	maxConcurrent := pl.pacer.MaxConcurrent(PacerInput{UnservedPermille: cs.unservedPermille, MaxUnavailable: c.MaxUnavailable, NeededForDeadline: pl.neededForDeadline(it, cs, now)})
	if cs.byCause[causeMaintenance] >= maxConcurrent {
		wait.Limit, wait.Current, wait.Max = LimitUnserved, int64(cs.byCause[causeMaintenance]), int64(maxConcurrent)
		wait.Until = now + pl.settings.PacerRetryMillis
		wait.Unblock = fmt.Sprintf("the pacer allows another maintenance, because the share of unserved requests falls from %d permille or a maintenance in progress ends", cs.unservedPermille)
		return scopeItem, true
	}
	return scopeItem, false
}

// neededForDeadline returns the number of concurrent maintenances with which all
// instances of the customer that are pending in the item's wave are just done by the
// item's deadline, or the contract's MaxUnavailable once that has passed.
func (pl *Planner[P, S]) neededForDeadline(it *item, cs *customerState, now clock.Millis) int {
	timeLeft := it.deadline - now
	if timeLeft <= 0 {
		return cs.contract.MaxUnavailable
	}
	remainingInstances := clock.Millis(0)
	for _, p := range cs.pools {
		remainingInstances += clock.Millis(it.wave.byPool[p])
	}
	return int((remainingInstances*pl.settings.MaintenanceMillis + timeLeft - 1) / timeLeft)
}
