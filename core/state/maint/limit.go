package maint

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// scope says what else is blocked by the limit that blocked one instance.
type scope int

const (
	scopeItem scope = iota
	scopeWave
	scopeShelf
	scopePool
)

// pick returns the next instance of the pool that may be released, or the
// limit that holds all of them.
func (b *Planner[P, J]) pick(p model.Pool, now clock.Millis, taken map[*item]bool) (*item, *Wait) {
	var first *Wait
	var held []*wave
	for _, s := range b.ready[p].order() {
		if first != nil && b.elsewhere(p, s.items[0].inst) {
			// The wait is known already; most racks of a large pool end here.
			continue
		}
	shelf:
		for _, it := range s.items {
			if taken[it] || slices.Contains(held, it.wave) {
				continue
			}
			wait, sc := b.blocked(it, now)
			if wait == nil {
				return it, nil
			}
			if sc == scopePool {
				return nil, wait
			}
			if first == nil {
				first = wait
			}
			switch sc {
			case scopeShelf:
				break shelf
			case scopeWave:
				held = append(held, it.wave)
			}
		}
	}
	return nil, first
}

// elsewhere reports whether a customer of the pool has instances of another
// domain than the instance's in maintenance or lost.
func (b *Planner[P, J]) elsewhere(p model.Pool, i model.Instance) bool {
	for _, c := range b.holders[p] {
		if a := b.accounts[c]; a.elsewhere(a.domainOf(i)) {
			return true
		}
	}
	return false
}

// blocked returns the first limit that keeps the instance from being
// released; nil when none does.
func (b *Planner[P, J]) blocked(it *item, now clock.Millis) (*Wait, scope) {
	w := it.wave
	wait := Wait{Pool: it.inst.Pool, Wave: w.decl.Name, Instance: it.inst.ID}
	switch {
	case it.seen.LostSince > 0:
		wait.Limit, wait.Unblock = LimitLost, "the instance announces itself again"
		return &wait, scopeItem
	case w.stop != "":
		wait.Limit, wait.Unblock = LimitWaveStopped, "the touched instances recover or the declaration is withdrawn: "+w.stop
		return &wait, scopeWave
	case w.observed == 0 && (w.flight+w.tentative > 0 || w.touched.Instances > 0):
		wait.Limit, wait.Current, wait.Max = LimitCanary, int64(w.flight+w.tentative), 1
		wait.Unblock = fmt.Sprintf("the first instance is back and was observed for %d ms", b.set.CanaryMillis)
		return &wait, scopeWave
	}
	for _, c := range b.holders[it.inst.Pool] {
		wait.Customer = c
		if sc, hit := b.overLimit(it, b.accounts[c], now, &wait); hit {
			return &wait, sc
		}
	}
	return nil, scopeItem
}

// overLimit fills the wait when one more release would exceed what the
// customer's contract allows.
func (b *Planner[P, J]) overLimit(it *item, a *account, now clock.Millis, wait *Wait) (scope, bool) {
	c := a.contract
	if a.count+1 > c.MaxUnavailable {
		wait.Limit, wait.Current, wait.Max = LimitMaxUnavailable, int64(a.count), int64(c.MaxUnavailable)
		wait.Unblock = "an instance of the customer comes back into service"
		if c.MaxUnavailable == 0 {
			wait.Unblock = "the contract allows at least one unavailable instance"
		}
		return scopePool, true
	}
	if c.WindowMillis > 0 {
		used := a.used(now, b.set.MaintenanceMillis, b.outages)
		if over := used + b.set.MaintenanceMillis - c.BudgetMillis; over > 0 {
			wait.Limit, wait.Current, wait.Max = LimitWindow, int64(used), int64(c.BudgetMillis)
			wait.Until = a.frees(now, over, b.outages)
			wait.Unblock = fmt.Sprintf("%d ms of earlier outages leave the window or do not take place", over)
			return scopePool, true
		}
	}
	if a.elsewhere(a.domainOf(it.inst)) {
		wait.Limit, wait.Current, wait.Max = LimitDomain, int64(len(a.domains)), 1
		wait.Unblock = fmt.Sprintf("the customer's instances in other domains of kind %s are back", c.Covers)
		return scopeShelf, true
	}
	width := b.pacer.MaxConcurrent(PacerInput{PressurePermille: a.pressure, MaxUnavailable: c.MaxUnavailable, NeededForDeadline: b.needed(it, a, now)})
	if a.by[causeMaintenance] >= width {
		wait.Limit, wait.Current, wait.Max = LimitPressure, int64(a.by[causeMaintenance]), int64(width)
		wait.Until = now + b.set.PressureRetryMillis
		wait.Unblock = fmt.Sprintf("the callers' pressure falls below %d permille", a.pressure)
		return scopeItem, true
	}
	return scopeItem, false
}

// needed is the number at once that would just meet the item's deadline.
func (b *Planner[P, J]) needed(it *item, a *account, now clock.Millis) int {
	left := it.deadline - now
	if left <= 0 {
		return a.contract.MaxUnavailable
	}
	rest := clock.Millis(0)
	for _, p := range a.pools {
		rest += clock.Millis(it.wave.byPool[p])
	}
	return int((rest*b.set.MaintenanceMillis + left - 1) / left)
}
