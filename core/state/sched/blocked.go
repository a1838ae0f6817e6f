package sched

import (
	"cmp"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/order"
)

// Limits of the work of a pass on blocked groups.
const (
	// unblockLimit is the number of groups of a customer that the first round of a
	// pass unblocks at most. Each further round doubles it, so that a pass takes few
	// rounds even if most of the groups can't be placed for another reason.
	unblockLimit = 4
	// blockLeadingLimit is the number of groups that a pass looks at beyond those that
	// may fit on a worker, to block those that wait for their quota.
	blockLeadingLimit = 8
	// unblockRestLimit is the number of groups of a customer that a pass unblocks
	// beyond those that may fit on a worker.
	unblockRestLimit = 8
)

// blockedGroups holds groups that wait for a quota, by rank.
type blockedGroups = order.List[blockedGroup, blockedNeeds]

// blockedGroup is a group that waits for a quota.
type blockedGroup struct{ *taskGroup }

// Before orders blocked groups like others.
func (b blockedGroup) Before(other blockedGroup) bool { return b.taskGroup.Before(other.taskGroup) }

// Summary returns the needs of the group.
func (b blockedGroup) Summary() blockedNeeds { return blockedNeeds{b.taskGroup.Summary(), b.need} }

// blockedNeeds says what the tasks of some blocked groups need at least.
type blockedNeeds struct {
	groupNeeds
	// quota holds for each resource the least that a start of any group needs of the
	// quota.
	quota jobs.Resources
}

// Merge returns the needs of the groups of both.
func (n blockedNeeds) Merge(o blockedNeeds) blockedNeeds {
	return blockedNeeds{n.groupNeeds.Merge(o.groupNeeds), minResources(n.quota, o.quota)}
}

// block moves a group that waits for its quota from the ranked list of its pool to the
// blocked groups of its customer.
func (s *Scheduler[P, H]) block(p *pool, g *taskGroup, now clock.Millis) {
	p.groups.Remove(g)
	p.shares.remove(g)
	g.hosts = groupHosts{}
	s.insertBlocked(p, g, now)
}

// insertBlocked adds a group that is not in the ranked list to the blocked ones.
func (s *Scheduler[P, H]) insertBlocked(p *pool, g *taskGroup, now clock.Millis) {
	c := g.customer
	list := c.blocked[p]
	if list == nil {
		list = &blockedGroups{}
		c.blocked[p] = list
	}
	list.Insert(blockedGroup{g})
	g.blocked = true
	c.blockedCount++
	c.blockedAt = now
	if !c.waitNoted {
		c.waitNoted = true
		s.newWaits = append(s.newWaits, c)
	}
}

// removeBlocked removes a group from the blocked ones.
func (p *pool) removeBlocked(g *taskGroup) {
	c := g.customer
	c.blocked[p].Remove(blockedGroup{g})
	if c.blocked[p].Len() == 0 {
		delete(c.blocked, p)
	}
	g.blocked = false
	c.blockedCount--
}

// blockLeading blocks those of the first few groups of the ranked list that wait for
// their quota. A pass does not come to them while no worker of the pool has room, and
// readers of the list would go through them each time.
func (s *Scheduler[P, H]) blockLeading(p *pool, now clock.Millis) {
	var blocked []*taskGroup
	visited := 0
	for g := range p.groups.All() {
		if g.live() && !g.withinQuota() {
			blocked = append(blocked, g)
		}
		if visited++; visited == blockLeadingLimit {
			break
		}
	}
	for _, g := range blocked {
		s.block(p, g, now)
	}
}

// dropBlocked removes the blocked groups of a job that has ended.
func (s *Scheduler[P, H]) dropBlocked(rec *jobs.Record) {
	c := s.customer(rec.Customer)
	if c == nil || c.blockedCount == 0 {
		return
	}
	p := s.pool(s.poolOf(rec))
	for occurrence := range rec.Occurrences {
		for step := range rec.Steps {
			if g := p.groupByStep[stepKey{rec.ID, occurrence, step}]; g != nil && g.blocked {
				p.removeGroup(g)
			}
		}
	}
}

// placeWaiting assigns waiting tasks in the pools that have changed. Each round first
// unblocks groups for what has become free of their quotas. If these can't be placed,
// for example because no worker has their label, the next round unblocks others, so that
// no room stays unused.
func (s *Scheduler[P, H]) placeWaiting(now clock.Millis) {
	for round, limit := 0, unblockLimit; ; round, limit = round+1, 2*limit {
		s.unblockFitting(round, limit, now)
		if len(s.dirtyPools) == 0 {
			break
		}
		for _, p := range s.dirtyPoolsInTurn() {
			s.placePool(p, now)
		}
		clear(s.dirtyPools)
	}
	s.unblockRest(now)
}

// dirtyPoolsInTurn returns the pools to place tasks in. Pools share the quotas, so they
// take turns to be the first.
func (s *Scheduler[P, H]) dirtyPoolsInTurn() []*pool {
	s.placements++
	pools := slices.SortedFunc(maps.Keys(s.dirtyPools), func(x, y *pool) int { return cmp.Compare(x.name, y.name) })
	first := s.placements % len(pools)
	return slices.Concat(pools[first:], pools[:first])
}

// unblockFitting unblocks groups of the customers whose room has changed, at most limit
// of each customer, and marks their pools as dirty. It takes the groups in the order of
// their ranks, but only those that a worker may have room for, and until they use up
// what is left of the quota.
func (s *Scheduler[P, H]) unblockFitting(round, limit int, now clock.Millis) {
	rooms := map[*pool]*room{}
	mayFit := func(p *pool, n groupNeeds) bool {
		if _, ok := rooms[p]; !ok {
			rooms[p] = newUnblockRoom(p, round, now)
		}
		return rooms[p] != nil && rooms[p].mayFit(n)
	}
	for c := range s.unblocking {
		if !c.limited {
			s.unblockAll(c, now)
			continue
		}
		var planned jobs.Resources
		for range limit {
			p, g := s.nextBlocked(c, planned, mayFit, now)
			if g == nil {
				break
			}
			planned = planned.Plus(g.heldBy(max(1, c.startable(g, planned))))
			s.unblock(p, g, now)
		}
	}
}

// newUnblockRoom returns the room for finite tasks on the available workers of a pool, and
// nil if no task can be placed there. In the first round the reservations are those of an
// earlier pass and don't count.
func newUnblockRoom(p *pool, round int, now clock.Millis) *room {
	if len(p.available) == 0 || (round > 0 && p.heldByGang) {
		return nil
	}
	r := &room{}
	for _, w := range p.available {
		switch {
		case w.quarantinedUntil > now || w.vacating:
		case round == 0:
			r.add(w.capacity.Minus(w.used))
		default:
			r.add(p.free(w))
		}
	}
	return r
}

// nextBlocked returns the blocked group of a customer that ranks first among those that
// mayFit accepts and that the quota lets start if the customer held more in addition,
// and its pool; nil if there is none.
func (s *Scheduler[P, H]) nextBlocked(c *customer, more jobs.Resources, mayFit func(*pool, groupNeeds) bool, now clock.Millis) (*pool, *taskGroup) {
	for {
		var in *pool
		var first *taskGroup
		for p, list := range c.blocked {
			match := func(n blockedNeeds) bool { return c.allowsBeside(n.quota, more) && mayFit(p, n.groupNeeds) }
			for g := range list.Matching(match) {
				if match(g.Summary()) {
					if first == nil || g.taskGroup.Before(first) {
						in, first = p, g.taskGroup
					}
					break
				}
			}
		}
		if first == nil || first.rank.Until == 0 || first.rank.Until > now {
			return in, first
		}
		// The ranks of blocked groups are not updated at their end.
		c.blocked[in].Remove(blockedGroup{first})
		first.rank = s.rank(first.rec, first.key.occurrence, now)
		c.blocked[in].Insert(blockedGroup{first})
	}
}

// unblock moves a group back to the ranked list of its pool. From now on it waits for
// a worker.
func (s *Scheduler[P, H]) unblock(p *pool, g *taskGroup, now clock.Millis) {
	p.removeGroup(g)
	g.waitingSince = now
	s.addGroup(p, g, now)
	s.dirtyPools[p] = true
}

// unblockAll unblocks all groups of a customer.
func (s *Scheduler[P, H]) unblockAll(c *customer, now clock.Millis) {
	for p, list := range maps.Clone(c.blocked) {
		for _, g := range slices.Collect(list.All()) {
			s.unblock(p, g.taskGroup, now)
		}
	}
}

// unblockRest unblocks some groups of each customer whose quota lets them start,
// although no worker has room for them, so that the next passes find fewer. It forgets
// the customers that have no such group.
func (s *Scheduler[P, H]) unblockRest(now clock.Millis) {
	anyPool := func(*pool, groupNeeds) bool { return true }
	for c := range s.unblocking {
		for range unblockRestLimit {
			p, g := s.nextBlocked(c, jobs.Resources{}, anyPool, now)
			if g == nil {
				delete(s.unblocking, c)
				break
			}
			s.unblock(p, g, now)
		}
	}
}
