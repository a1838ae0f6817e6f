package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/model"
)

// draft is an assignment in progress. It changes the counts while it selects
// moves, and undo reverts these changes at the end.
type draft[P Policy] struct {
	policy    P
	settings  Settings
	contracts []model.Contract
	counts    *counts
	applied   []appliedMove
	out       Assignment
}

// appliedMove is a selected move, kept to undo its effect on the counts.
type appliedMove struct {
	inst model.Instance
	from rackKey
	to   Pool
}

// shortPools lists the pools that lack instances: only spare pools if spare is
// true, and only other pools if not. Those that lack most come first, so that the
// most affected pool is served first if there are not enough instances for all.
func (d *draft[P]) shortPools(spare bool) []Pool {
	pools := slices.DeleteFunc(slices.Sorted(maps.Keys(d.counts.required)), func(p Pool) bool {
		return d.counts.spares[p] != spare || d.counts.surplus(p) >= 0
	})
	slices.SortStableFunc(pools, func(a, b Pool) int { return cmp.Compare(d.counts.surplus(a), d.counts.surplus(b)) })
	return pools
}

// fill moves instances to a pool until it lacks none or no more may be moved to it.
func (d *draft[P]) fill(p Pool, reason string) {
	for d.counts.surplus(p) < 0 {
		source, ok := d.bestSource(p)
		if !ok {
			return
		}
		d.move(source, p, fmt.Sprintf("%s %s: %d of %d", p, reason, d.counts.instances[p], d.counts.required[p]))
	}
}

// move moves the first movable instance of a rack to another pool.
func (d *draft[P]) move(source rackKey, to Pool, reason string) {
	i := d.counts.movable[source][0]
	d.counts.removeMovable(source, i)
	d.counts.addInstances(source.pool, i, -1)
	d.counts.addInstances(to, i, 1)
	d.applied = append(d.applied, appliedMove{inst: i, from: source, to: to})
	d.out.Moves = append(d.out.Moves, Move{Instance: i.ID, From: source.pool, To: to, Reason: reason})
}

// undo reverts the effect of all moves on the counts.
func (d *draft[P]) undo() {
	for _, m := range slices.Backward(d.applied) {
		d.counts.addInstances(m.to, m.inst, -1)
		d.counts.addInstances(m.from.pool, m.inst, 1)
		d.counts.addMovable(m.from, m.inst)
	}
}

// bestSource returns the rack whose first movable instance the policy prefers for a
// pool, among the other pools with a surplus and the spare pools that may supply
// that pool.
func (d *draft[P]) bestSource(to Pool) (rackKey, bool) {
	return d.bestRack(to, func(p Pool) bool {
		return p != to && (d.counts.surplus(p) > 0 || d.mayTakeSpare(p, to))
	}, func(rackKey) bool { return true })
}

// bestRack returns the rack whose first movable instance the policy prefers for a
// pool, among the allowed racks of the allowed pools.
func (d *draft[P]) bestRack(to Pool, poolAllowed func(Pool) bool, rackAllowed func(rackKey) bool) (best rackKey, found bool) {
	var bestCandidate Candidate
	for _, p := range slices.Sorted(maps.Keys(d.counts.rackOrder)) {
		if !poolAllowed(p) {
			continue
		}
		for _, rack := range d.counts.rackOrder[p] {
			if !rackAllowed(rack) {
				continue
			}
			candidate := d.counts.candidate(rack, to)
			if !found || d.policy.Compare(candidate, bestCandidate) < 0 {
				best, bestCandidate, found = rack, candidate, true
			}
		}
	}
	return best, found
}

// mayTakeSpare reports whether a spare pool may supply a pool. It may if it is the
// spare pool of one of the pool's customers and holds more instances than the
// unused reserves of its other customers. A customer's lost instances count as
// the used part of its reserve. With UseOthersSpare, reserves of other customers
// do not matter.
func (d *draft[P]) mayTakeSpare(spare, to Pool) bool {
	if !d.counts.spares[spare] || d.counts.spares[to] {
		return false
	}
	ownSpare, othersReserve := false, 0
	for _, c := range d.contracts {
		if c.SparePool != spare {
			continue
		}
		if hasPool(c, to) {
			ownSpare = true
			continue
		}
		lost := 0
		for _, p := range c.Pools {
			lost += d.counts.lost[p.Pool]
		}
		othersReserve += max(0, c.Spare-lost)
	}
	if d.settings.UseOthersSpare {
		othersReserve = 0
	}
	return ownSpare && d.counts.instances[spare] > othersReserve
}

// addShortfalls adds the remaining shortfalls and the number of idle instances to
// the result.
func (d *draft[P]) addShortfalls() {
	c := d.counts
	for _, p := range slices.Sorted(maps.Keys(c.required)) {
		if s := c.surplus(p); s < 0 {
			shortfall := Shortfall{Kind: ShortfallPromised, Pool: p, Required: c.required[p], Available: c.instances[p], Reason: "no instance may be moved to it"}
			if c.spares[p] {
				shortfall.Kind = ShortfallSpare
			}
			d.out.Shortfalls = append(d.out.Shortfalls, shortfall)
		}
	}
	for p, n := range c.instances {
		if !c.spares[p] {
			n = max(0, c.surplus(p))
		}
		d.out.Idle += n
	}
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		for _, kind := range domainKinds {
			if worst, at := c.worstLoss(c.groups[name], kind); worst > 0 {
				d.out.Shortfalls = append(d.out.Shortfalls, Shortfall{
					Kind: ShortfallExposed, Pool: name, Subject: kind.String() + " " + at, Required: worst,
					Reason: fmt.Sprintf("its loss would leave %d promised instances missing", worst),
				})
			}
		}
	}
}
