package sched

import (
	"cmp"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// jobCredit is the credit that the acceptance of one job uses, in thousandths of a job
// times milliseconds: a customer with weight 1 gets it in one second.
const jobCredit = 1000 * int64(clock.Second)

// excessKeyOffset exceeds every priority, which is the key of long-running work.
const excessKeyOffset clock.Millis = 1 << 40

// shares decides which work is within the rate of its customer, and holds the weights
// by which the customers share the pools. Excess work is the work of jobs that were
// accepted beyond the customer's rate, and of customers that have no weight or are not
// in the configuration while others have one. The work of jobs without a customer is
// never excess.
//
// Which jobs are excess is not replicated. A new leader derives it with restore from the
// order and times of acceptance, which are, so that all leaders that load the same state
// decide alike. It differs from what the previous leader decided only if the customer's
// weight has changed since, or for a job that was accepted next to jobs that have ended
// and have been removed: that job may be entitled then.
type shares struct {
	// window is the time in which the rate allows the jobs of the largest burst.
	window clock.Millis
	// weights holds the customers' weights in permille; it is empty if no customer of
	// the configuration has one.
	weights map[jobs.CustomerName]int
	// totalWeight is the sum of weights and of defaultWeight, in permille.
	// defaultWeight, the mean, is that of the jobs without a customer, and
	// smallestWeight that of the customers without a weight.
	totalWeight, defaultWeight, smallestWeight int
	credits                                    map[jobs.CustomerName]credit
	// excess holds the jobs that were accepted beyond their customer's rate and have
	// not ended.
	excess map[jobs.ID]bool
}

// credit is what a customer has left of its rate, in the unit of jobCredit.
type credit struct {
	amount int64
	// at is the time for which amount holds.
	at clock.Millis
}

func newShares(window clock.Millis) shares {
	return shares{window: window, credits: map[jobs.CustomerName]credit{}, excess: map[jobs.ID]bool{}}
}

// enabled reports whether any customer has a weight.
func (s *shares) enabled() bool { return len(s.weights) > 0 }

// configure sets the weights to those of the given customers.
func (s *shares) configure(customers []jobs.Customer) {
	s.weights = map[jobs.CustomerName]int{}
	s.totalWeight, s.defaultWeight, s.smallestWeight = 0, 0, 0
	for i := range customers {
		if w := customers[i].WeightPermille; w > 0 {
			s.weights[customers[i].Name] = w
			s.totalWeight += w
		}
	}
	maps.DeleteFunc(s.credits, func(name jobs.CustomerName, _ credit) bool { return s.weights[name] == 0 })
	if !s.enabled() {
		return
	}
	s.smallestWeight = slices.Min(slices.Collect(maps.Values(s.weights)))
	s.defaultWeight = max(s.totalWeight/len(s.weights), 1)
	s.totalWeight += s.defaultWeight
}

// weight returns the weight by which the work of a customer shares a pool, in permille.
// It is greater than 0 if any customer has a weight.
func (s *shares) weight(name jobs.CustomerName) int {
	if name == "" {
		return s.defaultWeight
	}
	return cmp.Or(s.weights[name], s.smallestWeight)
}

// restore decides on all jobs of a state anew, in the order of their acceptance.
func (s *shares) restore(state *jobs.State) {
	if !s.enabled() {
		return
	}
	bySeq := slices.SortedFunc(maps.Values(state.Jobs), func(x, y *jobs.Record) int { return cmp.Compare(x.Seq, y.Seq) })
	for _, rec := range bySeq {
		s.accept(rec)
		if rec.Status.Final() {
			delete(s.excess, rec.ID)
		}
	}
}

// accept decides whether a job that has been accepted is within the rate of its customer,
// which is its weight in jobs per second, with a burst of what the rate allows in a
// window and of at least one job. Jobs beyond the rate use no credit.
func (s *shares) accept(rec *jobs.Record) {
	weight := int64(s.weights[rec.Customer])
	if weight == 0 {
		return
	}
	limit := max(weight*int64(s.window), jobCredit)
	c, ok := s.credits[rec.Customer]
	if !ok {
		c = credit{amount: limit, at: rec.AcceptedAt}
	}
	// An elapsed time that fills the credit is enough; a longer one could overflow.
	elapsed := min(max(int64(rec.AcceptedAt-c.at), 0), limit/weight+1)
	c.amount = min(c.amount+weight*elapsed, limit)
	c.at = max(c.at, rec.AcceptedAt)
	if c.amount >= jobCredit {
		c.amount -= jobCredit
	} else {
		s.excess[rec.ID] = true
	}
	s.credits[rec.Customer] = c
}

// isExcess reports whether the work of a job is excess work.
func (s *shares) isExcess(rec *jobs.Record) bool {
	return s.enabled() && rec.Customer != "" && (s.weights[rec.Customer] == 0 || s.excess[rec.ID])
}

// excessRank returns the rank of excess work whose rank would be r otherwise. Excess
// long-running work keeps its class and ranks after the entitled work in it.
func excessRank(r Rank) Rank {
	switch r.Class {
	case classLongRunning:
		r.Key += excessKeyOffset
	case classOnTime:
		r.Class = classExcess
	case classLate:
		r.Class = classLateExcess
	}
	return r
}

// isLate reports whether the rank is that of work that cannot meet its deadline.
func (r Rank) isLate() bool { return r.Class == classLate || r.Class == classLateExcess }

// rank returns the present rank of an occurrence of a job.
func (s *Scheduler[P, H]) rank(rec *jobs.Record, occurrence int, now clock.Millis) Rank {
	rank := s.rankPolicy.Rank(rec, occurrence, now)
	if s.shares.isExcess(rec) {
		return excessRank(rank)
	}
	return rank
}

// rankAgain computes the ranks of all groups again, and what the customers hold, after a
// change of the weights. What they have had before is forgotten.
func (s *Scheduler[P, H]) rankAgain(now clock.Millis) {
	for _, p := range s.pools {
		groups := slices.Collect(p.groups.All())
		for _, g := range groups {
			p.removeGroup(g)
		}
		p.shares = shareOrder{}
		for _, g := range groups {
			s.addGroup(p, g, now)
		}
		for _, g := range p.groupByStep {
			if g.blocked {
				// Its rank is computed again before it is unblocked.
				g.rank.Until = now
			}
		}
		s.dirtyPools[p] = true
	}
	for _, w := range s.workers {
		for _, r := range w.runs {
			s.holdShare(w, r, now)
		}
	}
}

// holdShare counts what a finite run holds for its customer's share of the worker's pool,
// until releaseShare.
func (s *Scheduler[P, H]) holdShare(w *worker, r *run, now clock.Millis) {
	r.hold = hold{}
	if !r.step.LongRunning && s.shares.enabled() {
		r.hold = s.pool(w.pool).shares.start(r.rec.Customer, r.step, &s.shares, now)
	}
}

// releaseShare notes the end of a run for its customer's share.
func (s *Scheduler[P, H]) releaseShare(r *run, now clock.Millis) {
	if r.hold.order != nil {
		r.hold.order.end(r.rec.Customer, r.step, r.hold, &s.shares, now)
		r.hold = hold{}
	}
}

// waitsForShare reports whether a group waits because the tasks of other customers go
// first: those of entitled work if its job is excess, otherwise those of customers that
// have had less of their share.
func (s *Scheduler[P, H]) waitsForShare(g *taskGroup) bool {
	p := s.pool(s.poolOf(g.rec))
	if g.flow == nil || !p.shares.contended {
		return false
	}
	if s.shares.isExcess(g.rec) {
		return true
	}
	first := p.shares.first(g.rank.Class)
	return first != nil && first.account != g.flow.account
}
