package plan

import (
	"cmp"
	"maps"
	"slices"

	"camphorridge/core/state/model"
)

// counts holds the number of instances of each pool, in total and by failure
// domain. It is updated from one decision to the next, so that the cost of a
// change depends only on the size of the pools that it touches.
type counts struct {
	// required is the number of instances that each pool should have. instances
	// is the number that it has, without lost instances and with those that are
	// moving to it.
	required  map[Pool]int
	instances map[Pool]int
	// lost is the number of lost instances of each pool.
	lost map[Pool]int
	// byDomain counts the instances of a pool by kind and name of failure
	// domain.
	byDomain map[poolDomain]map[string]int
	// groupOf is the spare pool of each pool; it names the pool's group. A spare
	// pool is in its own group, a pool without a contract in none. The pools of
	// contracts without a spare pool form the group with the empty name.
	groupOf map[Pool]Pool
	groups  map[Pool]*group
	// groupCounts counts the instances of each group by failure domain.
	groupCounts map[groupDomain]int
	// movable holds the instances that may be moved, by pool and rack, sorted by
	// ID; a rack without any has no entry.
	movable map[rackKey][]model.Instance
	// rackOrder lists the keys of movable for each pool, in ascending order.
	rackOrder map[Pool][]rackKey
	// spares contains the spare pools.
	spares map[Pool]bool
	// loading is set while a whole fleet is counted. The exposure is computed
	// once at the end, because updating it for one instance can take time
	// proportional to the size of the instance's pool.
	loading bool
}

// group is the set of pools that share a spare pool.
type group struct {
	// spare is empty in the group of pools without a spare pool.
	spare Pool
	// covers is the largest failure domain that contracts cover for each pool.
	covers map[Pool]model.FailureDomain
	pools  []Pool
	// exposure tracks, by kind of failure domain, the sum of the losses (see
	// counts.loss) of the group's pools when a domain of that kind is lost.
	exposure [3]maxTracker
}

// poolDomain is a pool and a kind of failure domain.
type poolDomain struct {
	pool Pool
	kind model.FailureDomain
}

// groupDomain is a failure domain within a group; pool is the group's spare
// pool.
type groupDomain struct {
	pool Pool
	kind model.FailureDomain
	name string
}

// rackKey identifies the instances of a pool in one rack.
type rackKey struct {
	pool Pool
	zone model.Zone
	rack model.Rack
}

// compare orders rack keys by pool, zone and rack.
func (r rackKey) compare(other rackKey) int {
	return cmp.Or(cmp.Compare(r.pool, other.pool), cmp.Compare(r.zone, other.zone), cmp.Compare(r.rack, other.rack))
}

// domainKinds are the kinds of failure domain that contain more than one
// instance.
var domainKinds = [...]model.FailureDomain{model.DomainRack, model.DomainZone}

// domainName returns the name of the instance's failure domain of the given kind.
func domainName(i model.Instance, kind model.FailureDomain) string {
	if kind == model.DomainZone {
		return string(i.Zone)
	}
	return string(i.Rack)
}

// newCounts returns the counts of a fleet without instances.
func newCounts(contracts []model.Contract) *counts {
	c := &counts{
		required: map[Pool]int{}, instances: map[Pool]int{}, lost: map[Pool]int{}, byDomain: map[poolDomain]map[string]int{},
		groupCounts: map[groupDomain]int{}, groupOf: map[Pool]Pool{}, groups: map[Pool]*group{},
		movable: map[rackKey][]model.Instance{}, rackOrder: map[Pool][]rackKey{}, spares: map[Pool]bool{},
	}
	c.addContracts(contracts)
	return c
}

// hasPool reports whether a contract promises instances of a pool.
func hasPool(c model.Contract, p Pool) bool {
	return slices.ContainsFunc(c.Pools, func(s model.PoolShare) bool { return s.Pool == p })
}

// addContracts sets the required instances and the groups. A pool of several
// customers belongs to the group of the first customer, by name, that has a spare
// pool.
func (c *counts) addContracts(contracts []model.Contract) {
	sorted := slices.Clone(contracts)
	slices.SortFunc(sorted, func(a, b model.Contract) int { return cmp.Compare(a.Customer, b.Customer) })
	covers := map[Pool]model.FailureDomain{}
	for _, contract := range sorted {
		if contract.SparePool != "" {
			c.spares[contract.SparePool] = true
			c.required[contract.SparePool] += contract.Spare
			c.groupOf[contract.SparePool] = contract.SparePool
		}
		if c.groups[contract.SparePool] == nil {
			c.groups[contract.SparePool] = &group{spare: contract.SparePool, covers: map[Pool]model.FailureDomain{}}
		}
		for _, p := range contract.Pools {
			c.required[p.Pool] += p.Instances
			if current, ok := c.groupOf[p.Pool]; !ok || current == "" {
				c.groupOf[p.Pool] = contract.SparePool
			}
			covers[p.Pool] = max(covers[p.Pool], contract.Covers)
		}
	}
	for _, p := range slices.Sorted(maps.Keys(covers)) {
		g := c.groups[c.groupOf[p]]
		g.covers[p] = covers[p]
		g.pools = append(g.pools, p)
	}
}

// update adds an instance to the counts if n is 1, and removes it if n is -1. A
// retired instance is not counted, and a lost one only in lost. An instance that
// is being released counts for the pool to which it moves.
func (c *counts) update(i model.Instance, lost bool, n int) {
	switch {
	case i.Phase == model.PhaseRetired:
		return
	case lost:
		c.lost[i.Pool] += n
		return
	}
	pool := i.Pool
	if i.Phase == model.PhaseReleasing {
		pool = i.Target
	}
	c.addInstances(pool, i, n)
	if i.Phase != model.PhaseServing {
		return
	}
	if key := (rackKey{pool, i.Zone, i.Rack}); n > 0 {
		c.addMovable(key, i)
	} else {
		c.removeMovable(key, i)
	}
}

// byID orders instances by ID.
func byID(a, b model.Instance) int { return cmp.Compare(a.ID, b.ID) }

// addMovable adds an instance to those that may be moved.
func (c *counts) addMovable(key rackKey, i model.Instance) {
	list := c.movable[key]
	if len(list) == 0 {
		at, _ := slices.BinarySearchFunc(c.rackOrder[key.pool], key, rackKey.compare)
		c.rackOrder[key.pool] = slices.Insert(c.rackOrder[key.pool], at, key)
	}
	at, _ := slices.BinarySearchFunc(list, i, byID)
	c.movable[key] = slices.Insert(list, at, i)
}

// removeMovable removes an instance from those that may be moved.
func (c *counts) removeMovable(key rackKey, i model.Instance) {
	list := c.movable[key]
	at, ok := slices.BinarySearchFunc(list, i, byID)
	if !ok {
		return
	}
	if len(list) > 1 {
		c.movable[key] = slices.Delete(list, at, at+1)
		return
	}
	delete(c.movable, key)
	if at, ok := slices.BinarySearchFunc(c.rackOrder[key.pool], key, rackKey.compare); ok {
		c.rackOrder[key.pool] = slices.Delete(c.rackOrder[key.pool], at, at+1)
	}
}

// addInstances adds n to the number of instances of a pool, in total and in the
// failure domains of i.
func (c *counts) addInstances(p Pool, i model.Instance, n int) {
	name, ok := c.groupOf[p]
	if !ok || c.loading {
		c.addToDomains(p, i, n)
		c.instances[p] += n
	} else if g := c.groups[name]; p == g.spare || max(0, c.surplus(p)) == max(0, c.surplus(p)+n) {
		// The change affects no surplus that loss uses, so only the losses in
		// the failure domains of i change.
		for _, k := range domainKinds {
			g.exposure[k].add(domainName(i, k), -c.loss(g, p, k, domainName(i, k)))
		}
		c.addToDomains(p, i, n)
		c.instances[p] += n
		for _, k := range domainKinds {
			g.exposure[k].add(domainName(i, k), c.loss(g, p, k, domainName(i, k)))
		}
	} else {
		c.addExposure(p, -1)
		c.addToDomains(p, i, n)
		c.instances[p] += n
		c.addExposure(p, 1)
	}
	if ok {
		for _, k := range domainKinds {
			c.groupCounts[groupDomain{name, k, domainName(i, k)}] += n
		}
	}
}

// addRequired changes the number of instances that a pool should have by n.
func (c *counts) addRequired(p Pool, n int) {
	c.addExposure(p, -1)
	c.required[p] += n
	c.addExposure(p, 1)
}

// addToDomains adds n to the pool's instances in the failure domains of i, and
// changes no other counts.
func (c *counts) addToDomains(p Pool, i model.Instance, n int) {
	for _, k := range domainKinds {
		key := poolDomain{p, k}
		if c.byDomain[key] == nil {
			c.byDomain[key] = map[string]int{}
		}
		c.byDomain[key][domainName(i, k)] += n
		if c.byDomain[key][domainName(i, k)] == 0 {
			delete(c.byDomain[key], domainName(i, k))
		}
	}
}

// addExposure adds the pool's losses to the exposure of its group if sign is 1,
// and subtracts them if sign is -1.
func (c *counts) addExposure(p Pool, sign int) {
	name, ok := c.groupOf[p]
	if !ok || c.loading {
		return
	}
	g := c.groups[name]
	for _, k := range domainKinds {
		for d := range c.byDomain[poolDomain{p, k}] {
			g.exposure[k].add(d, sign*c.loss(g, p, k, d))
		}
	}
}

// loss returns how many instances the loss of a failure domain takes from a pool
// beyond the pool's surplus; 0 if no contract covers such a loss. All instances of
// a spare pool count because a lost spare instance can replace no other.
func (c *counts) loss(g *group, p Pool, kind model.FailureDomain, name string) int {
	n := c.byDomain[poolDomain{p, kind}][name]
	switch {
	case p == g.spare:
		return n
	case g.covers[p] < kind:
		return 0
	}
	return max(0, n-max(0, c.surplus(p)))
}

// surplus returns how many instances a pool has beyond what it requires;
// negative if it lacks instances.
func (c *counts) surplus(p Pool) int { return c.instances[p] - c.required[p] }

// missingAfterLoss returns how many promised instances of the group are missing
// after the loss of a failure domain, once the remaining spare instances have
// replaced those that they can.
func (c *counts) missingAfterLoss(g *group, kind model.FailureDomain, name string) int {
	n := c.loss(g, g.spare, kind, name) - c.instances[g.spare]
	if g.spare == "" {
		n = 0
	}
	for _, p := range g.pools {
		if p != g.spare {
			n += c.loss(g, p, kind, name)
		}
	}
	return max(0, n)
}

// worstLoss returns the number of promised instances that the loss of one failure
// domain of the given kind leaves missing at most, and the name of that domain.
func (c *counts) worstLoss(g *group, kind model.FailureDomain) (n int, name string) {
	top, name := g.exposure[kind].max()
	if g.spare != "" {
		top -= c.instances[g.spare]
	}
	return max(0, top), name
}

// candidate describes the first movable instance of a rack as a candidate for
// the pool to.
func (c *counts) candidate(rack rackKey, to Pool) Candidate {
	g := c.groupOf[to]
	return Candidate{
		Instance: c.movable[rack][0], FromSpare: c.spares[rack.pool],
		GroupZone: c.groupCounts[groupDomain{g, model.DomainZone, string(rack.zone)}],
		GroupRack: c.groupCounts[groupDomain{g, model.DomainRack, string(rack.rack)}],
		PoolZone:  c.byDomain[poolDomain{to, model.DomainZone}][string(rack.zone)],
		PoolRack:  c.byDomain[poolDomain{to, model.DomainRack}][string(rack.rack)],
	}
}
