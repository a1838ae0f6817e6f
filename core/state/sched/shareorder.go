package sched

import (
	"cmp"
	"iter"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/order"
)

// Timing of the order by shares.
const (
	// contentionPeriodMillis is how long it is kept whether the work of a pool fits,
	// because all workers of the pool are looked at to decide it.
	contentionPeriodMillis clock.Millis = 100
	// advancePermille is the part of a task's use that is charged when it starts, by its
	// estimate, and foresightPermille the part of the mean estimate for which running
	// tasks are counted ahead. With less of both, a customer that is behind gets too
	// many tasks at once; with more, its part of a window varies more with the number
	// and the estimates of its running tasks.
	advancePermille   = 300
	foresightPermille = 200
	// meanEstimateWeight is the weight of the latest task in the mean estimate.
	meanEstimateWeight = 1.0 / 256
)

// shareOrder orders the groups of finite tasks of a pool by class, then by what their
// customers have had of the pool for their weights, then by rank. The order applies while
// more of this work waits than fits; otherwise the order by rank alone applies.
//
// It is a weighted fair queue over the dominant resource. Each customer has an account
// with a virtual time for each resource: the part of the pool's resource that its tasks
// have held, times the time, divided by the customer's weight. A part of it is charged in
// advance, because tasks that have started are not taken back. The largest virtual time
// decides. Long-running tasks are not counted; the customers share what these leave.
//
// A customer with nothing waiting gains no credit: when it waits again, its virtual time is
// at least that of the pool. While all work fits, what a customer uses beyond its share
// counts against it later for at most one share window. So the backlog of others does not
// delay a customer, however small its weight. While the order applies, a task that is the
// next one of its customer and fits on any worker starts within the sum of:
//   - one share window;
//   - the work of the customer's latest tasks, divided by what its weight gives it of the
//     pool;
//   - the longest duration of a task, until a worker has room, and the longest time
//     between two heartbeats.
//
// This holds among the work of a class: late work waits for work that is on time, and
// excess work for all entitled work.
type shareOrder struct {
	// accounts holds the customers that have waiting or running tasks, or have had more
	// than their share; the empty name stands for the jobs without a customer.
	accounts map[jobs.CustomerName]*account
	// flows holds the flows that have groups.
	flows order.List[*flow, groupNeeds]
	// virtual is the virtual time of the pool: while the order applies, the highest
	// one at which a task was started. It never decreases.
	virtual float64
	// contended is set while the order applies; it and capacity, the sum of the
	// workers' capacities, were determined at checkedAt.
	contended bool
	capacity  jobs.Resources
	checkedAt clock.Millis
	// meanEstimate is the moving average of the estimates of started tasks, in
	// milliseconds. Estimates count as at most one share window.
	meanEstimate float64
}

// resourceCount is the number of the fields of jobs.Resources.
const resourceCount = 3

// account is what a customer has had of a pool. The unit of virtual time is milliseconds
// of the whole pool by permille of weight.
type account struct {
	name jobs.CustomerName
	// weight is in permille.
	weight float64
	// used is the virtual time of each resource until usedAt, with what is charged in
	// advance and without what is counted ahead.
	used   [resourceCount]float64
	usedAt clock.Millis
	// running is what the customer's tasks hold, and runs their number.
	running jobs.Resources
	runs    int
	// flows holds the customer's groups by class; groups is their number.
	flows  map[int]*flow
	groups int
}

// flow holds the groups of a class and a customer by rank.
type flow struct {
	account *account
	class   int
	// virtualTime is that of the account; needs are those of all groups.
	virtualTime float64
	groups      order.List[*taskGroup, groupNeeds]
	needs       groupNeeds
}

// Before orders by class, virtual time and the customer's name.
func (f *flow) Before(other *flow) bool {
	return cmp.Or(cmp.Compare(f.class, other.class), cmp.Compare(f.virtualTime, other.virtualTime), cmp.Compare(f.account.name, other.account.name)) < 0
}

// Summary returns the needs of the groups.
func (f *flow) Summary() groupNeeds { return f.needs }

// account returns the account of a customer, with its use until now, and adds it if it is
// new.
func (o *shareOrder) account(name jobs.CustomerName, terms *shares, now clock.Millis) *account {
	a := o.accounts[name]
	if a == nil {
		if o.accounts == nil {
			o.accounts = map[jobs.CustomerName]*account{}
		}
		a = &account{name: name, weight: float64(terms.weight(name)), usedAt: now, flows: map[int]*flow{}}
		o.accounts[name] = a
	}
	o.settle(a, terms, now)
	return a
}

// foresight returns the virtual time by which the running tasks of a customer are counted
// ahead, by resource.
func (o *shareOrder) foresight(a *account) (virtual [resourceCount]float64) {
	for i, part := range partsOf(a.running, o.capacity) {
		virtual[i] = part * o.meanEstimate * foresightPermille / 1000 / a.weight
	}
	return virtual
}

// virtualTime returns the virtual time of a customer's dominant resource.
func (o *shareOrder) virtualTime(a *account) float64 {
	v := 0.0
	for i, ahead := range o.foresight(a) {
		v = max(v, a.used[i]+ahead)
	}
	return v
}

// settle adds what the tasks of a customer have used until now to its account. It limits
// by how much the account is behind the pool, and also by how much it is ahead unless the
// order applies: by what one window makes if all customers use their shares.
func (o *shareOrder) settle(a *account, terms *shares, now clock.Millis) {
	limit := float64(terms.window) / float64(terms.totalWeight)
	parts, ahead, elapsed := partsOf(a.running, o.capacity), o.foresight(a), max(now-a.usedAt, 0)
	for i := range a.used {
		a.used[i] += parts[i] * float64(elapsed) * (1000 - advancePermille) / 1000 / a.weight
		a.used[i] = max(a.used[i], o.virtual-limit-ahead[i])
		if !o.contended {
			a.used[i] = min(a.used[i], o.virtual+limit-ahead[i])
		}
	}
	a.usedAt += elapsed
}

// add adds a group that is in no flow.
func (o *shareOrder) add(g *taskGroup, terms *shares, now clock.Millis) {
	a := o.account(g.rec.Customer, terms, now)
	if a.groups == 0 {
		for i, ahead := range o.foresight(a) {
			a.used[i] = max(a.used[i], o.virtual-ahead)
		}
	}
	a.groups++
	f := a.flows[g.rank.Class]
	if f == nil {
		f = &flow{account: a, class: g.rank.Class}
		a.flows[g.rank.Class] = f
	}
	g.flow = f
	o.take(f)
	f.groups.Insert(g)
	o.put(f)
}

// remove removes a group from its flow, if it is in one.
func (o *shareOrder) remove(g *taskGroup) {
	f := g.flow
	if f == nil {
		return
	}
	g.flow = nil
	o.take(f)
	f.groups.Remove(g)
	o.put(f)
	f.account.groups--
	o.drop(f.account)
}

// drop removes an account that is the same as a new one.
func (o *shareOrder) drop(a *account) {
	if a.groups == 0 && a.runs == 0 && o.virtualTime(a) <= o.virtual {
		delete(o.accounts, a.name)
	}
}

// take removes a flow that has groups from the order, so that it can be changed.
func (o *shareOrder) take(f *flow) {
	if f.groups.Len() > 0 {
		o.flows.Remove(f)
	}
}

// put adds a flow to the order if it has groups.
func (o *shareOrder) put(f *flow) {
	if needs, ok := f.groups.Summary(); ok {
		f.needs, f.virtualTime = needs, o.virtualTime(f.account)
		o.flows.Insert(f)
	}
}

// hold is what a finite run holds for its customer.
type hold struct {
	// order counts the run; nil if none does.
	order *shareOrder
	// since is when the run was first counted, and charged the duration of which
	// advancePermille was charged then.
	since, charged clock.Millis
}

// start notes that a task of a customer starts.
func (o *shareOrder) start(name jobs.CustomerName, step *jobs.Step, terms *shares, now clock.Millis) hold {
	a := o.account(name, terms, now)
	if o.contended {
		o.virtual = max(o.virtual, o.virtualTime(a))
	}
	h := hold{order: o, since: now, charged: min(step.Estimate, terms.window)}
	if o.meanEstimate == 0 {
		o.meanEstimate = float64(h.charged)
	}
	o.meanEstimate += meanEstimateWeight * (float64(h.charged) - o.meanEstimate)
	o.change(a, func() {
		o.charge(a, reservation(step), h.charged)
		a.runs++
		a.running = a.running.Plus(reservation(step))
	})
	return h
}

// end notes that a task of a customer has ended.
func (o *shareOrder) end(name jobs.CustomerName, step *jobs.Step, h hold, terms *shares, now clock.Millis) {
	a := o.account(name, terms, now)
	o.change(a, func() {
		o.charge(a, reservation(step), now-h.since-h.charged)
		a.runs--
		a.running = a.running.Minus(reservation(step))
	})
	o.drop(a)
}

// charge charges the part of a use that is charged in advance.
func (o *shareOrder) charge(a *account, r jobs.Resources, d clock.Millis) {
	for i, part := range partsOf(r, o.capacity) {
		a.used[i] += part * float64(d) * advancePermille / 1000 / a.weight
	}
}

// change changes an account and moves its flows to their new positions.
func (o *shareOrder) change(a *account, change func()) {
	for _, f := range a.flows {
		o.take(f)
	}
	change()
	for _, f := range a.flows {
		o.put(f)
	}
}

// partsOf returns which part of each resource of a pool the given resources are; 0 for a
// resource that the pool does not have.
func partsOf(r, capacity jobs.Resources) (parts [resourceCount]float64) {
	for i, x := range [resourceCount][2]int{{r.MilliCores, capacity.MilliCores}, {r.MemoryMiB, capacity.MemoryMiB}, {r.Accelerators, capacity.Accelerators}} {
		if x[1] > 0 {
			parts[i] = float64(x[0]) / float64(x[1])
		}
	}
	return parts
}

// first returns the first flow of a class; nil for none.
func (o *shareOrder) first(class int) *flow {
	for f := range o.flows.All() {
		if f.class == class {
			return f
		}
	}
	return nil
}

// tasksAtOnce returns how many tasks of a group are placed before its customer's share
// is looked at again.
func (p *pool) tasksAtOnce(g *taskGroup) int {
	if p.shares.contended && g.flow != nil {
		return 1
	}
	return len(g.waiting)
}

// candidates returns the groups that may fit, in the order in which they are placed. In
// the order by shares, a group is returned again after the start of each of its tasks.
func (p *pool) candidates(room *room, terms *shares, now clock.Millis) iter.Seq[*taskGroup] {
	if !p.shares.contended {
		return p.groups.Matching(room.mayFit)
	}
	return func(yield func(*taskGroup) bool) {
		for g := range p.groups.Matching(room.mayFit) {
			if g.rank.Class >= classOnTime {
				break
			}
			if !yield(g) {
				return
			}
		}
		p.shares.visit(room.mayFit, terms, now, yield)
	}
}

// visit calls yield with each group that matches, in the order by shares, and again
// after each start of a task of it, until yield returns false. It follows the flows as
// their virtual times change; these only grow meanwhile.
func (o *shareOrder) visit(match func(groupNeeds) bool, terms *shares, now clock.Millis, yield func(*taskGroup) bool) {
	// next holds the groups from which the flows have to be looked at further.
	next := map[*flow]visited{}
	var from *flow
	for {
		f, g := o.nextGroup(from, next, match)
		if g == nil {
			return
		}
		o.settle(f.account, terms, now)
		if o.virtualTime(f.account) != f.virtualTime {
			o.change(f.account, func() {})
			continue
		}
		from = &flow{account: f.account, class: f.class, virtualTime: f.virtualTime}
		waiting := len(g.waiting)
		if !yield(g) {
			return
		}
		next[f] = visited{group: g, done: len(g.waiting) == waiting || !g.live()}
	}
}

// visited is a group that has been visited. done is set if it is not to be visited again.
type visited struct {
	group *taskGroup
	done  bool
}

// nextGroup returns the first group that matches and is not done, and its flow, among
// the flows that do not come before from; nil for none.
func (o *shareOrder) nextGroup(from *flow, next map[*flow]visited, match func(groupNeeds) bool) (*flow, *taskGroup) {
	flows := o.flows.Matching(match)
	if from != nil {
		flows = o.flows.MatchingFrom(from, match)
	}
	for f := range flows {
		if !match(f.needs) {
			continue
		}
		last, ok := next[f]
		groups := f.groups.Matching(match)
		if ok {
			groups = f.groups.MatchingFrom(last.group, match)
		}
		for g := range groups {
			if match(g.Summary()) && (g != last.group || !last.done) {
				return f, g
			}
		}
	}
	return nil, nil
}

// updateContention decides whether the order by shares applies: whether the finite tasks
// that wait need more than the workers have free, or one of them fits on no worker
// although one is large enough. While it does not apply, the virtual time of the pool
// advances as if all customers used their shares.
func (s *Scheduler[P, H]) updateContention(p *pool, now clock.Millis) {
	o := &p.shares
	if !s.shares.enabled() {
		o.contended = false
		return
	}
	if o.checkedAt > 0 && now < o.checkedAt+contentionPeriodMillis {
		return
	}
	if !o.contended && o.checkedAt > 0 {
		o.virtual += float64(now-o.checkedAt) / float64(s.shares.totalWeight)
	}
	o.checkedAt, o.capacity = now, jobs.Resources{}
	var free, largestFree, largest jobs.Resources
	for w := range s.liveWorkers(p, now) {
		o.capacity = o.capacity.Plus(w.capacity)
		largest = maxResources(largest, w.capacity)
		if w.draining || w.goingDown || w.cordoned || w.vacating || w.quarantinedUntil > now {
			continue
		}
		x := maxResources(p.free(w), jobs.Resources{})
		free, largestFree = free.Plus(x), maxResources(largestFree, x)
	}
	o.contended = o.exceeds(free, largestFree, largest)
}

// exceeds reports whether the waiting tasks need more than is free in total, or one of
// them more than the largest free part, but not more than the largest worker has.
func (o *shareOrder) exceeds(free, largestFree, largest jobs.Resources) bool {
	for f := range o.flows.All() {
		for g := range f.groups.All() {
			switch {
			case !g.live() || !g.reserved.FitsIn(largest):
				continue
			case !g.reserved.FitsIn(largestFree):
				return true
			}
			for range g.waiting {
				if free = free.Minus(g.reserved); !(jobs.Resources{}).FitsIn(free) {
					return true
				}
			}
		}
	}
	return false
}
