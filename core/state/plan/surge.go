package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
)

// Weights are an operator's preferences and the properties of the platform.
// Operators who put roll-out time first and operators who put buffer cost first
// differ only in these numbers. The costs have no unit; only their ratios
// matter.
type Weights struct {
	// WaitCost is the cost of one request that waits for one second.
	WaitCost float64
	// RefuseCost is the cost of one request that is refused because the queue
	// is full.
	RefuseCost float64
	// BufferCost is the cost of one spare instance that is absent for one
	// second.
	BufferCost float64
	// MoveCost is the cost of moving one instance to another pool.
	MoveCost float64
	// MoveMillis is how long a move takes until the instance serves.
	MoveMillis clock.Millis
	// PeakMillis is how long a peak usually lasts; at least 1.
	PeakMillis clock.Millis
	// PeakIntervalMillis is the time from one peak of a service to the next; 0
	// means that donors are assumed to have no peaks.
	PeakIntervalMillis clock.Millis
	// ReturnDelayMillis is how long demand must stay low before instances are
	// returned.
	ReturnDelayMillis clock.Millis
	// LowPercent is the share of the promised capacity below which demand counts
	// as low. It is below 100, so that a demand close to the capacity does not
	// move instances back and forth.
	LowPercent int
	// MinSpare is the number of instances that each spare pool never lends: the
	// number of lost instances that can still be replaced during a surge.
	MinSpare int
	// Donate lets a pool give promised instances to another pool with the same
	// spare pool while its own demand is low.
	Donate bool
}

// Demand is the demand for one pool.
type Demand struct {
	Pool Pool
	// NeededSlots is the number of slots that would be busy if all requests
	// were served.
	NeededSlots float64
	// ServiceMillis is how long one request takes; at least 1.
	ServiceMillis clock.Millis
	// Waiting is the number of queued requests, and QueueLimit the most that
	// can be queued; 0 means that there is no limit.
	Waiting    float64
	QueueLimit float64
	// HighSince is the time since which demand has exceeded the pool's slots; 0 if
	// it does not. LowSince is the time since which demand has been below
	// LowPercent of the promised slots; 0 if it is not.
	HighSince clock.Millis
	LowSince  clock.Millis
}

// Holding is the number of instances that a pool has and that contracts promise to
// it.
type Holding struct {
	Pool Pool
	// Spare is the pool's spare pool; empty if it has none, and for spare
	// pools.
	Spare Pool
	// Instances is the number of instances that serve the pool or are moving to
	// it.
	Instances int
	// Promised is the number of instances that all contracts together promise to
	// the pool; for a spare pool it is the sum of the reserves.
	Promised int
	// SlotsPerInstance is the number of requests that one instance runs at
	// once; at least 1.
	SlotsPerInstance int
}

// Action is the reaction to a pool's demand.
type Action string

// The actions. The first three are for pools whose demand exceeds their slots, the
// others for pools whose demand does not.
const (
	// ActionQueue lets requests wait.
	ActionQueue Action = "queue"
	// ActionLend adds instances of the spare pool.
	ActionLend Action = "lend"
	// ActionMove adds promised instances of another pool, the donor.
	ActionMove Action = "move"
	// ActionNone means that the pool has no extra instances.
	ActionNone Action = "none"
	// ActionKeep keeps the extra instances.
	ActionKeep Action = "keep"
	// ActionReturn gives back some or all of the extra instances.
	ActionReturn Action = "return"
)

// Costs are the expected costs of the actions for one pool. An action that is not
// possible has infinite cost and a count of 0.
type Costs struct {
	Queue float64
	// LendCount is the number of instances that costs least to lend, and Lend
	// the cost with this number.
	Lend      float64
	LendCount int
	// MoveCount and Donor are the number of instances and the pool that cost
	// least to move them from, and Move the cost with these.
	Move      float64
	MoveCount int
	Donor     Pool
}

// Choice is the decision for one pool.
type Choice struct {
	Pool   Pool
	Action Action
	// Costs is set only if the pool's demand exceeds its slots.
	Costs Costs
	// Reason is empty for ActionNone.
	Reason string
}

// Chooser is the policy that selects an action by its costs.
type Chooser interface {
	Choose(Costs) Action
}

// Cheapest selects the action with the lowest expected cost. Among equals it
// prefers queueing to lending, and lending to moving.
type Cheapest struct{}

// Choose compares the costs.
func (Cheapest) Choose(c Costs) Action {
	best, cost := ActionQueue, c.Queue
	if c.LendCount > 0 && c.Lend < cost {
		best, cost = ActionLend, c.Lend
	}
	if c.MoveCount > 0 && c.Move < cost {
		best = ActionMove
	}
	return best
}

// Eager lends as soon as demand exceeds the slots, and moves instances if
// nothing can be lent.
type Eager struct{}

// Choose considers only which actions are possible, not their costs.
func (Eager) Choose(c Costs) Action {
	switch {
	case c.LendCount > 0:
		return ActionLend
	case c.MoveCount > 0:
		return ActionMove
	}
	return ActionQueue
}

// QueueOnly is the baseline: requests wait, instances stay.
type QueueOnly struct{}

// Choose returns ActionQueue.
func (QueueOnly) Choose(Costs) Action { return ActionQueue }

// Surge makes a choice for every pool with a demand, the highest excess first, and
// returns all extra instances that pools get or keep, for AssignFromIndex. Those
// that pools have already are derived from what they have beyond their promise, so
// no earlier choice has to be stored.
func Surge[C Chooser](chooser C, w Weights, holdings []Holding, demands []Demand, now clock.Millis) ([]Choice, []Extra) {
	s := &surge{w: w, now: now, holdings: map[Pool]Holding{}, demand: map[Pool]Demand{}, away: map[Pool]int{}, pendingAway: map[Pool]int{}, extra: map[[2]Pool]int{}}
	for _, h := range holdings {
		s.holdings[h.Pool] = h
	}
	for _, d := range demands {
		d.ServiceMillis = max(d.ServiceMillis, 1)
		s.demand[d.Pool] = d
	}
	order := slices.Sorted(maps.Keys(s.demand))
	slices.SortStableFunc(order, func(a, b Pool) int { return cmp.Compare(s.excess(b), s.excess(a)) })
	for _, p := range order {
		if s.demand[p].LowSince == 0 {
			s.keep(p)
		}
	}
	var out []Choice
	for _, p := range order {
		if s.excess(p) > 0 {
			out = append(out, chooseAction(chooser, s, p))
		}
	}
	// Pools whose demand is low keep only what no other pool needs now, so that
	// extra instances go directly to the next pool when services peak in turn.
	for _, p := range order {
		if s.demand[p].LowSince != 0 {
			s.keep(p)
		}
		if s.excess(p) <= 0 {
			out = append(out, s.chooseWithinCapacity(p))
		}
	}
	var extras []Extra
	for key, n := range s.extra {
		if n > 0 {
			extras = append(extras, Extra{Pool: key[0], From: key[1], Count: n})
		}
	}
	slices.SortFunc(extras, func(a, b Extra) int { return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.From, b.From)) })
	return out, extras
}

// surge is the state of one call of Surge.
type surge struct {
	w        Weights
	now      clock.Millis
	holdings map[Pool]Holding
	demand   map[Pool]Demand
	// away counts the instances of each pool that are granted to other pools so
	// far.
	away map[Pool]int
	// pendingAway is the part of away that has not left the pool yet.
	pendingAway map[Pool]int
	// extra counts the granted instances; its keys are the receiving and the
	// giving pool, in this order.
	extra map[[2]Pool]int
}

// excess returns by how many slots the demand exceeds what the pool has.
func (s *surge) excess(p Pool) float64 {
	h := s.holdings[p]
	return s.demand[p].NeededSlots - float64(h.Instances*h.SlotsPerInstance)
}

// grant grants n instances of the pool from to the pool to.
func (s *surge) grant(to, from Pool, n int) {
	s.extra[[2]Pool{to, from}] += n
	s.away[from] += n
}

// keep grants a pool the extra instances that it already has, unless its demand has
// been low for long enough or their pools need them back.
func (s *surge) keep(p Pool) {
	h := s.holdings[p]
	extra := h.Instances - h.Promised
	if extra <= 0 || s.demandSettled(p) {
		return
	}
	// Extra instances are taken to come from the spare pool, up to the number
	// that it lacks, and the others from donors.
	spare := s.holdings[h.Spare]
	lent := max(0, min(extra, spare.Promised-spare.Instances-s.away[h.Spare], s.lendable(h.Spare)))
	if h.Spare != "" && lent > 0 {
		s.grant(p, h.Spare, lent)
		extra -= lent
	}
	for _, d := range s.donors(p) {
		missing := s.holdings[d].Promised - s.holdings[d].Instances - s.away[d]
		if n := min(extra, missing); n > 0 && s.excess(d) <= 0 {
			s.grant(p, d, n)
			extra -= n
		}
	}
}

// lendable returns how many more instances of a spare pool may be granted. All
// instances of the spare pool count, and those that the pools of its group have
// beyond their promise; what these pools lack, what is already granted and
// MinSpare are subtracted.
func (s *surge) lendable(spare Pool) int {
	if spare == "" {
		return 0
	}
	n := s.holdings[spare].Instances - s.w.MinSpare - s.away[spare]
	for _, h := range s.holdings {
		if h.Spare == spare {
			n += h.Instances - h.Promised
		}
	}
	return max(0, n)
}

// available returns how many instances can be lent from a spare pool at once: those
// in it that are not granted to another pool yet, and those that pools with low
// demand have beyond their promise.
func (s *surge) available(spare Pool) int {
	n := s.holdings[spare].Instances - s.pendingAway[spare]
	for p, h := range s.holdings {
		if h.Spare == spare && s.demand[p].LowSince > 0 {
			n += max(0, h.Instances-h.Promised)
		}
	}
	return n
}

// demandSettled reports whether the pool's demand has been low for
// ReturnDelayMillis.
func (s *surge) demandSettled(p Pool) bool {
	d := s.demand[p]
	return d.LowSince > 0 && d.HighSince == 0 && s.now-d.LowSince >= s.w.ReturnDelayMillis
}

// donors lists the other pools with the same spare pool, in ascending order, if
// donating is allowed.
func (s *surge) donors(p Pool) []Pool {
	var out []Pool
	if !s.w.Donate || s.holdings[p].Spare == "" {
		return nil
	}
	for _, q := range slices.Sorted(maps.Keys(s.holdings)) {
		if q != p && s.holdings[q].Spare == s.holdings[p].Spare {
			out = append(out, q)
		}
	}
	return out
}

// chooseWithinCapacity returns the choice for a pool whose demand does not exceed
// its slots.
func (s *surge) chooseWithinCapacity(p Pool) Choice {
	c := Choice{Pool: p, Action: ActionNone}
	extra := s.holdings[p].Instances - s.holdings[p].Promised
	kept := 0
	for key, n := range s.extra {
		if key[0] == p {
			kept += n
		}
	}
	switch {
	case extra > kept && s.demandSettled(p):
		c.Action = ActionReturn
		c.Reason = fmt.Sprintf("demand below %d%% of the promised slots for %d ms", s.w.LowPercent, s.now-s.demand[p].LowSince)
	case extra > kept:
		c.Action = ActionReturn
		c.Reason = fmt.Sprintf("%d instances are needed elsewhere", extra-kept)
	case extra > 0:
		c.Action = ActionKeep
		c.Reason = fmt.Sprintf("demand was not below %d%% of the promised slots for %d ms yet", s.w.LowPercent, s.w.ReturnDelayMillis)
	}
	return c
}

// chooseAction returns the choice for a pool whose demand exceeds its slots.
func chooseAction[C Chooser](chooser C, s *surge, p Pool) Choice {
	h := s.holdings[p]
	c := Choice{Pool: p}
	c.Costs = s.costs(p)
	c.Action = chooser.Choose(c.Costs)
	switch c.Action {
	case ActionLend:
		s.grant(p, h.Spare, c.Costs.LendCount)
		s.pendingAway[h.Spare] += c.Costs.LendCount
	case ActionMove:
		s.grant(p, c.Costs.Donor, c.Costs.MoveCount)
		s.pendingAway[c.Costs.Donor] += c.Costs.MoveCount
	}
	c.Reason = fmt.Sprintf("demand exceeds the slots by %.1f; queue costs %.1f, lending %d costs %.1f, moving %d costs %.1f",
		s.excess(p), c.Costs.Queue, c.Costs.LendCount, c.Costs.Lend, c.Costs.MoveCount, c.Costs.Move)
	return c
}
