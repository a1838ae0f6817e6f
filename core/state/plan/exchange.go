package plan

import (
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/model"
)

// exchange moves instances between pools while that lowers the exposure to losses
// and MaxExchangeMoves allows it. A single move of a surplus instance is tried
// before an exchange of two instances.
func (d *draft[P]) exchange() {
	for used := 0; used < d.settings.MaxExchangeMoves; {
		g, kind, name := d.mostExposed()
		if g == nil {
			return
		}
		reason := fmt.Sprintf("the loss of %s %s would leave instances missing", kind, name)
		switch {
		case d.moveIn(g, kind, name, reason):
			used++
		case used+2 <= d.settings.MaxExchangeMoves && d.swap(g, kind, name, reason):
			used += 2
		default:
			return
		}
	}
}

// mostExposed returns the group and the failure domain for which worstLoss is
// highest; the group is nil if no loss would leave instances missing.
func (d *draft[P]) mostExposed() (g *group, kind model.FailureDomain, name string) {
	worst := 0
	for _, spare := range slices.Sorted(maps.Keys(d.counts.groups)) {
		for _, k := range domainKinds {
			if n, at := d.counts.worstLoss(d.counts.groups[spare], k); n > worst {
				worst, g, kind, name = n, d.counts.groups[spare], k, at
			}
		}
	}
	return g, kind, name
}

// inDomain reports whether the rack lies in the failure domain.
func (r rackKey) inDomain(kind model.FailureDomain, name string) bool {
	if kind == model.DomainZone {
		return string(r.zone) == name
	}
	return string(r.rack) == name
}

// inGroup reports whether a pool belongs to the group, including its spare
// pool.
func (d *draft[P]) inGroup(g *group, p Pool) bool {
	own, ok := d.counts.groupOf[p]
	return ok && own == g.spare
}

// moveIn moves a surplus instance of another group, or of no group, that lies
// outside the failure domain to the group's spare pool. Without a spare pool it
// goes to the group's pool with the most instances in the domain. The move is
// undone unless it lowers the total exposure. moveIn reports whether it made a
// move.
func (d *draft[P]) moveIn(g *group, kind model.FailureDomain, name, reason string) bool {
	to := g.spare
	if to == "" {
		for _, p := range g.pools {
			if to == "" || d.counts.byDomain[poolDomain{p, kind}][name] > d.counts.byDomain[poolDomain{to, kind}][name] {
				to = p
			}
		}
	}
	source, ok := d.bestRack(to, func(p Pool) bool {
		return d.counts.surplus(p) > 0 && !d.inGroup(g, p)
	}, func(rack rackKey) bool { return !rack.inDomain(kind, name) })
	if !ok {
		return false
	}
	before := d.totalExposure()
	d.move(source, to, reason)
	if d.totalExposure() < before {
		return true
	}
	m := d.applied[len(d.applied)-1]
	d.applied, d.out.Moves = d.applied[:len(d.applied)-1], d.out.Moves[:len(d.out.Moves)-1]
	d.counts.addInstances(m.to, m.inst, -1)
	d.counts.addInstances(m.from.pool, m.inst, 1)
	d.counts.addMovable(m.from, m.inst)
	return false
}

// totalExposure returns the sum of the worst losses over all groups and kinds of
// failure domain.
func (d *draft[P]) totalExposure() int {
	sum := 0
	for _, g := range d.counts.groups {
		for _, k := range domainKinds {
			n, _ := d.counts.worstLoss(g, k)
			sum += n
		}
	}
	return sum
}

// swap exchanges an instance of the group inside the failure domain for an
// instance outside it that is not in the group. It selects the pair that lowers
// the exposure most, the first one among equals, and reports whether there is one
// that lowers it.
func (d *draft[P]) swap(g *group, kind model.FailureDomain, name, reason string) bool {
	var incoming, outgoing rackKey
	gain := 0
	pools := slices.Sorted(maps.Keys(d.counts.rackOrder))
	for _, p := range pools {
		if !d.inGroup(g, p) {
			continue
		}
		for _, a := range d.counts.rackOrder[p] {
			if !a.inDomain(kind, name) {
				continue
			}
			if b, n := d.bestPartner(g, a, kind, name, pools); n > gain {
				gain, outgoing, incoming = n, a, b
			}
		}
	}
	if gain == 0 {
		return false
	}
	fromPool, toPool := outgoing.pool, incoming.pool
	d.move(incoming, fromPool, reason)
	d.move(outgoing, toPool, reason)
	return true
}

// bestPartner returns the rack outside the group and the failure domain whose
// exchange with rack a lowers the exposure most, and by how much. gain is 0 if
// there is none.
func (d *draft[P]) bestPartner(g *group, a rackKey, kind model.FailureDomain, name string, pools []Pool) (best rackKey, gain int) {
	for _, p := range pools {
		if d.inGroup(g, p) {
			continue
		}
		for _, b := range d.counts.rackOrder[p] {
			if b.inDomain(kind, name) {
				continue
			}
			if n := d.gain(g, a, b); n > gain {
				best, gain = b, n
			}
		}
	}
	return best, gain
}

// gain returns by how much the exchange of the first movable instances of racks a
// and b lowers the exposure of both groups. Only the failure domains of the two
// racks have to be compared, because each pool keeps its number of instances.
func (d *draft[P]) gain(g *group, a, b rackKey) int {
	instanceA, instanceB := d.counts.movable[a][0], d.counts.movable[b][0]
	var other *group
	if name, ok := d.counts.groupOf[b.pool]; ok {
		other = d.counts.groups[name]
	}
	before := d.exposureAround(g, a, b) + d.exposureAround(other, a, b)
	applyExchange := func(sign int) {
		d.counts.addToDomains(a.pool, instanceA, -sign)
		d.counts.addToDomains(b.pool, instanceA, sign)
		d.counts.addToDomains(b.pool, instanceB, -sign)
		d.counts.addToDomains(a.pool, instanceB, sign)
	}
	applyExchange(1)
	after := d.exposureAround(g, a, b) + d.exposureAround(other, a, b)
	applyExchange(-1)
	return before - after
}

// exposureAround returns how many instances of a group would be missing after the
// loss of a failure domain, summed over the racks and zones of a and b.
func (d *draft[P]) exposureAround(g *group, a, b rackKey) int {
	if g == nil {
		return 0
	}
	n := d.counts.missingAfterLoss(g, model.DomainRack, string(a.rack)) + d.counts.missingAfterLoss(g, model.DomainZone, string(a.zone))
	if b.rack != a.rack {
		n += d.counts.missingAfterLoss(g, model.DomainRack, string(b.rack))
	}
	if b.zone != a.zone {
		n += d.counts.missingAfterLoss(g, model.DomainZone, string(b.zone))
	}
	return n
}
