package plan

import (
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/model"
)

// exchange moves instances between pools while that lowers the exposure and
// the bound on such moves allows it. A single move from a surplus is tried
// before an exchange of two.
func (d *draft[P]) exchange() {
	for used := 0; used < d.set.MaxExchangeMoves; {
		g, kind, name := d.exposed()
		if g == nil {
			return
		}
		reason := fmt.Sprintf("the loss of %s %s would leave instances missing", kind, name)
		switch {
		case d.single(g, kind, name, reason):
			used++
		case used+2 <= d.set.MaxExchangeMoves && d.swap(g, kind, name, reason):
			used += 2
		default:
			return
		}
	}
}

// exposed returns the group and domain with the worst exposure.
func (d *draft[P]) exposed() (g *group, kind model.FailureDomain, name string) {
	worst := 0
	for _, spare := range slices.Sorted(maps.Keys(d.l.groups)) {
		for _, k := range kinds {
			if n, at := d.l.worst(d.l.groups[spare], k); n > worst {
				worst, g, kind, name = n, d.l.groups[spare], k, at
			}
		}
	}
	return g, kind, name
}

// within reports whether a class lies in the domain.
func (c class) within(kind model.FailureDomain, name string) bool {
	if kind == model.DomainZone {
		return string(c.zone) == name
	}
	return string(c.rack) == name
}

// member reports whether a pool belongs to the group, its spare included.
func (d *draft[P]) member(g *group, p Pool) bool {
	own, ok := d.l.group[p]
	return ok && own == g.spare
}

// single moves a surplus instance of another group, or of none, from outside
// the domain to the group's spare, or to its fullest pool in the domain when
// it has no spare. The other group must not become exposed by as much.
func (d *draft[P]) single(g *group, kind model.FailureDomain, name, reason string) bool {
	to := g.spare
	if to == "" {
		for _, p := range g.pools {
			if to == "" || d.l.places[seat{p, kind}][name] > d.l.places[seat{to, kind}][name] {
				to = p
			}
		}
	}
	c, ok := d.best(to, func(p Pool) bool {
		return d.l.surplus(p) > 0 && !d.member(g, p)
	}, func(c class) bool { return !c.within(kind, name) })
	if !ok {
		return false
	}
	before := d.total()
	d.move(c, to, reason)
	if d.total() < before {
		return true
	}
	m := d.moved[len(d.moved)-1]
	d.moved, d.out.Moves = d.moved[:len(d.moved)-1], d.out.Moves[:len(d.out.Moves)-1]
	d.l.count(m.to, m.inst, -1)
	d.l.count(m.from.pool, m.inst, 1)
	d.l.offer(m.from, m.inst)
	return false
}

// total sums up the worst exposure of each group and kind.
func (d *draft[P]) total() int {
	sum := 0
	for _, g := range d.l.groups {
		for _, k := range kinds {
			n, _ := d.l.worst(g, k)
			sum += n
		}
	}
	return sum
}

// swap exchanges an instance of the group inside the domain with one of
// another group outside it: the pair that lowers the exposure most, and of
// equals the first.
func (d *draft[P]) swap(g *group, kind model.FailureDomain, name, reason string) bool {
	var in, out class
	gain := 0
	pools := slices.Sorted(maps.Keys(d.l.order))
	for _, p := range pools {
		if !d.member(g, p) {
			continue
		}
		for _, a := range d.l.order[p] {
			if !a.within(kind, name) {
				continue
			}
			if b, n := d.partner(g, a, kind, name, pools); n > gain {
				gain, out, in = n, a, b
			}
		}
	}
	if gain == 0 {
		return false
	}
	leaves, enters := out.pool, in.pool
	d.move(in, leaves, reason)
	d.move(out, enters, reason)
	return true
}

// partner is the class of another group outside the domain whose exchange
// with a gains most.
func (d *draft[P]) partner(g *group, a class, kind model.FailureDomain, name string, pools []Pool) (best class, gain int) {
	for _, p := range pools {
		if d.member(g, p) {
			continue
		}
		for _, b := range d.l.order[p] {
			if b.within(kind, name) {
				continue
			}
			if n := d.gain(g, a, b); n > gain {
				best, gain = b, n
			}
		}
	}
	return best, gain
}

// gain is by how much the exchange of a and b lowers the exposure of both
// groups. Only the domains of the two places change, because each pool keeps
// its number of instances.
func (d *draft[P]) gain(g *group, a, b class) int {
	ia, ib := d.l.racks[a][0], d.l.racks[b][0]
	var other *group
	if name, ok := d.l.group[b.pool]; ok {
		other = d.l.groups[name]
	}
	before := d.around(g, a, b) + d.around(other, a, b)
	flip := func(n int) {
		d.l.nudge(a.pool, ia, -n)
		d.l.nudge(b.pool, ia, n)
		d.l.nudge(b.pool, ib, -n)
		d.l.nudge(a.pool, ib, n)
	}
	flip(1)
	after := d.around(g, a, b) + d.around(other, a, b)
	flip(-1)
	return before - after
}

// around sums up what is missing after the loss of a domain of either place.
func (d *draft[P]) around(g *group, a, b class) int {
	if g == nil {
		return 0
	}
	n := d.l.missing(g, model.DomainRack, string(a.rack)) + d.l.missing(g, model.DomainZone, string(a.zone))
	if b.rack != a.rack {
		n += d.l.missing(g, model.DomainRack, string(b.rack))
	}
	if b.zone != a.zone {
		n += d.l.missing(g, model.DomainZone, string(b.zone))
	}
	return n
}
