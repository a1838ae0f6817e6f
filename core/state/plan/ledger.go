package plan

import (
	"cmp"
	"maps"
	"slices"

	"camphorridge/core/state/model"
)

// ledger counts the instances of each pool by place. It is kept up to date
// from one decision to the next, so that a change costs no more than the size
// of the pools that it touches.
type ledger struct {
	// need is what each pool has to hold and have what it holds, without lost
	// instances and with those on their way to it.
	need map[Pool]int
	have map[Pool]int
	// lost counts the lost instances of each pool.
	lost map[Pool]int
	// places counts the instances of a pool, by kind and name of domain.
	places map[seat]map[string]int
	// group is the spare pool of a pool; a spare pool is in its own group, a
	// pool without a contract in none.
	group  map[Pool]Pool
	groups map[Pool]*group
	// held counts by group and place.
	held map[spot]int
	// racks holds the instances that may be moved, by pool and rack, sorted by
	// name; an empty rack has no entry.
	racks map[class][]model.Instance
	// order lists the keys of racks by pool, in ascending order.
	order map[Pool][]class
	// spares marks the pools that are a spare.
	spares map[Pool]bool
	// bulk is set while a whole fleet is counted; the towers follow once at
	// its end, as each count of an instance costs as much as its pool is
	// large.
	bulk bool
}

// group is the pools that share a spare pool.
type group struct {
	spare Pool
	// covers is the largest domain covered for each pool.
	covers map[Pool]model.FailureDomain
	pools  []Pool
	// towers hold, by kind, what the loss of each domain takes away.
	towers [3]tower
}

// seat is a pool and a kind of failure domain.
type seat struct {
	pool Pool
	kind model.FailureDomain
}

// spot is a failure domain as seen by a group.
type spot struct {
	pool Pool
	kind model.FailureDomain
	name string
}

// class is a rack as seen by a pool.
type class struct {
	pool Pool
	zone model.Zone
	rack model.Rack
}

func (c class) compare(d class) int {
	return cmp.Or(cmp.Compare(c.pool, d.pool), cmp.Compare(c.zone, d.zone), cmp.Compare(c.rack, d.rack))
}

// kinds are the failure domains that hold more than one instance.
var kinds = [...]model.FailureDomain{model.DomainRack, model.DomainZone}

func nameOf(i model.Instance, kind model.FailureDomain) string {
	if kind == model.DomainZone {
		return string(i.Zone)
	}
	return string(i.Rack)
}

func newLedger(contracts []model.Contract) *ledger {
	l := &ledger{
		need: map[Pool]int{}, have: map[Pool]int{}, lost: map[Pool]int{}, places: map[seat]map[string]int{},
		held: map[spot]int{}, group: map[Pool]Pool{}, groups: map[Pool]*group{},
		racks: map[class][]model.Instance{}, order: map[Pool][]class{}, spares: map[Pool]bool{},
	}
	l.addContracts(contracts)
	return l
}

func holds(c model.Contract, p Pool) bool {
	return slices.ContainsFunc(c.Pools, func(s model.PoolShare) bool { return s.Pool == p })
}

// addContracts sets needs and groups. A pool of several customers belongs to
// the group of the first of them that has a spare.
func (l *ledger) addContracts(contracts []model.Contract) {
	sorted := slices.Clone(contracts)
	slices.SortFunc(sorted, func(a, b model.Contract) int { return cmp.Compare(a.Customer, b.Customer) })
	covers := map[Pool]model.FailureDomain{}
	for _, c := range sorted {
		if c.SparePool != "" {
			l.spares[c.SparePool] = true
			l.need[c.SparePool] += c.Spare
			l.group[c.SparePool] = c.SparePool
		}
		if l.groups[c.SparePool] == nil {
			l.groups[c.SparePool] = &group{spare: c.SparePool, covers: map[Pool]model.FailureDomain{}}
		}
		for _, p := range c.Pools {
			l.need[p.Pool] += p.Instances
			if held, ok := l.group[p.Pool]; !ok || held == "" {
				l.group[p.Pool] = c.SparePool
			}
			covers[p.Pool] = max(covers[p.Pool], c.Covers)
		}
	}
	for _, p := range slices.Sorted(maps.Keys(covers)) {
		g := l.groups[l.group[p]]
		g.covers[p] = covers[p]
		g.pools = append(g.pools, p)
	}
}

// put adds an instance, or takes it back out with n -1.
func (l *ledger) put(i model.Instance, lost bool, n int) {
	switch {
	case i.Phase == model.PhaseRetired:
		return
	case lost:
		l.lost[i.Pool] += n
		return
	}
	pool := i.Pool
	if i.Phase == model.PhaseReleasing {
		pool = i.Target
	}
	l.count(pool, i, n)
	if i.Phase != model.PhaseServing {
		return
	}
	if c := (class{pool, i.Zone, i.Rack}); n > 0 {
		l.offer(c, i)
	} else {
		l.withdraw(c, i)
	}
}

func byID(a, b model.Instance) int { return cmp.Compare(a.ID, b.ID) }

// offer adds an instance to those that may be moved.
func (l *ledger) offer(c class, i model.Instance) {
	list := l.racks[c]
	if len(list) == 0 {
		at, _ := slices.BinarySearchFunc(l.order[c.pool], c, class.compare)
		l.order[c.pool] = slices.Insert(l.order[c.pool], at, c)
	}
	at, _ := slices.BinarySearchFunc(list, i, byID)
	l.racks[c] = slices.Insert(list, at, i)
}

// withdraw removes an instance from those that may be moved.
func (l *ledger) withdraw(c class, i model.Instance) {
	list := l.racks[c]
	at, ok := slices.BinarySearchFunc(list, i, byID)
	if !ok {
		return
	}
	if len(list) > 1 {
		l.racks[c] = slices.Delete(list, at, at+1)
		return
	}
	delete(l.racks, c)
	if at, ok := slices.BinarySearchFunc(l.order[c.pool], c, class.compare); ok {
		l.order[c.pool] = slices.Delete(l.order[c.pool], at, at+1)
	}
}

// count adds n instances that are at i's place to the pool.
func (l *ledger) count(p Pool, i model.Instance, n int) {
	name, ok := l.group[p]
	if !ok || l.bulk {
		l.nudge(p, i, n)
		l.have[p] += n
	} else if g := l.groups[name]; p == g.spare || max(0, l.surplus(p)) == max(0, l.surplus(p)+n) {
		// What the loss of other domains takes depends on the surplus alone.
		for _, k := range kinds {
			g.towers[k].add(nameOf(i, k), -l.part(g, p, k, nameOf(i, k)))
		}
		l.nudge(p, i, n)
		l.have[p] += n
		for _, k := range kinds {
			g.towers[k].add(nameOf(i, k), l.part(g, p, k, nameOf(i, k)))
		}
	} else {
		l.weigh(p, -1)
		l.nudge(p, i, n)
		l.have[p] += n
		l.weigh(p, 1)
	}
	if ok {
		for _, k := range kinds {
			l.held[spot{name, k, nameOf(i, k)}] += n
		}
	}
}

// require changes what a pool has to hold.
func (l *ledger) require(p Pool, n int) {
	l.weigh(p, -1)
	l.need[p] += n
	l.weigh(p, 1)
}

// nudge changes only the counts by place.
func (l *ledger) nudge(p Pool, i model.Instance, n int) {
	for _, k := range kinds {
		s := seat{p, k}
		if l.places[s] == nil {
			l.places[s] = map[string]int{}
		}
		l.places[s][nameOf(i, k)] += n
		if l.places[s][nameOf(i, k)] == 0 {
			delete(l.places[s], nameOf(i, k))
		}
	}
}

// weigh adds the pool's part to the towers of its group, or takes it out.
func (l *ledger) weigh(p Pool, sign int) {
	name, ok := l.group[p]
	if !ok || l.bulk {
		return
	}
	g := l.groups[name]
	for _, k := range kinds {
		for d := range l.places[seat{p, k}] {
			g.towers[k].add(d, sign*l.part(g, p, k, d))
		}
	}
}

// part is what the loss of a domain takes from a pool beyond its surplus. All
// instances of a spare pool count, since a lost spare replaces nothing.
func (l *ledger) part(g *group, p Pool, kind model.FailureDomain, name string) int {
	n := l.places[seat{p, kind}][name]
	switch {
	case p == g.spare:
		return n
	case g.covers[p] < kind:
		return 0
	}
	return max(0, n-max(0, l.surplus(p)))
}

func (l *ledger) surplus(p Pool) int { return l.have[p] - l.need[p] }

// missing is how many promised instances of the group are missing after the
// loss of a domain, once the spare that is left has replaced what it can.
func (l *ledger) missing(g *group, kind model.FailureDomain, name string) int {
	n := l.part(g, g.spare, kind, name) - l.have[g.spare]
	if g.spare == "" {
		n = 0
	}
	for _, p := range g.pools {
		if p != g.spare {
			n += l.part(g, p, kind, name)
		}
	}
	return max(0, n)
}

// worst is the domain whose loss leaves most instances missing.
func (l *ledger) worst(g *group, kind model.FailureDomain) (n int, name string) {
	top, name := g.towers[kind].highest()
	if g.spare != "" {
		top -= l.have[g.spare]
	}
	return max(0, top), name
}

func (l *ledger) candidate(c class, to Pool) Candidate {
	g := l.group[to]
	return Candidate{
		Instance: l.racks[c][0], Spare: l.spares[c.pool],
		GroupZone: l.held[spot{g, model.DomainZone, string(c.zone)}],
		GroupRack: l.held[spot{g, model.DomainRack, string(c.rack)}],
		PoolZone:  l.places[seat{to, model.DomainZone}][string(c.zone)],
		PoolRack:  l.places[seat{to, model.DomainRack}][string(c.rack)],
	}
}
