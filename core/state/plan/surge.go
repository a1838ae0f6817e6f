package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
)

// Weights are an operator's preferences and the figures of the platform. Users
// that give the most weight to roll-out time or to buffer cost differ in these
// numbers only.
type Weights struct {
	// WaitCost is the cost of one request that waits for one second.
	WaitCost float64
	// RefuseCost is the cost of one request refused because the queue is full.
	RefuseCost float64
	// BufferCost is the cost of one spare instance that is away for one second.
	BufferCost float64
	// MoveCost is the cost of one instance that changes pool.
	MoveCost float64
	// MoveMillis is how long a move takes, until the instance serves.
	MoveMillis clock.Millis
	// PeakMillis is how long a peak lasts as a rule; at least 1.
	PeakMillis clock.Millis
	// PeakIntervalMillis is the time from one peak of a service to the next.
	PeakIntervalMillis clock.Millis
	// ReturnDelayMillis is how long demand must stay low before instances go back.
	ReturnDelayMillis clock.Millis
	// LowPercent of the promised capacity is the demand below which a pool
	// counts as low. It is below 100, so that a demand near the capacity does
	// not move instances to and fro.
	LowPercent int
	// MinSpare is the number of instances that each spare pool never lends: the
	// loss that must stay covered during a surge.
	MinSpare int
	// Donate lets a pool give up promised instances to another pool of the
	// same spare while its own demand is low.
	Donate bool
}

// Demand is what one pool's callers ask for.
type Demand struct {
	Pool Pool
	// NeededSlots is the number of slots that would be busy if all were served.
	NeededSlots float64
	// ServiceMillis is how long one request takes; at least 1.
	ServiceMillis clock.Millis
	// Waiting is the number of requests in queues, and Queue its bound.
	Waiting    float64
	QueueLimit float64
	// HighSince is when demand rose above the pool's slots; 0 while it is not
	// above. LowSince is when it fell below LowPercent; 0 likewise.
	HighSince clock.Millis
	LowSince  clock.Millis
}

// Holding is what a pool has and was promised.
type Holding struct {
	Pool Pool
	// Spare names the pool's spare pool; empty for none, and for spare pools.
	Spare Pool
	// Instances counts the instances that serve the pool and those on their way
	// to it.
	Instances int
	// Promised is the sum over contracts; for a spare pool it is the reserve.
	Promised int
	// SlotsPerInstance is the number of requests that one instance runs at once; at
	// least 1.
	SlotsPerInstance int
}

// Action is what to do about a surge.
type Action string

// The actions.
const (
	ActionNone   Action = "none"
	ActionQueue  Action = "queue"
	ActionLend   Action = "lend"
	ActionMove   Action = "move"
	ActionKeep   Action = "keep"
	ActionReturn Action = "return"
)

// Costs are the expected costs of the actions for one pool; an action that is
// not possible costs more than any other and has Count 0.
type Costs struct {
	Queue     float64
	Lend      float64
	LendCount int
	Move      float64
	MoveCount int
	Donor     Pool
}

// Choice is the decision for one pool.
type Choice struct {
	Pool   Pool
	Action Action
	Costs  Costs
	Reason string
}

// Chooser is the policy that picks an action by its costs.
type Chooser interface {
	Choose(Costs) Action
}

// Cheapest picks the action with the least expected cost; of equals the one
// with fewer moves.
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

// Eager lends as soon as demand exceeds the slots, and moves when nothing can
// be lent.
type Eager struct{}

// Choose looks at what is possible only.
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

// Surge decides for every pool with a demand, the highest excess first, and
// returns the extras for Assign. Extras that are in place are known from what
// pools hold beyond their promise, so no decision has to be remembered.
func Surge[C Chooser](chooser C, w Weights, holdings []Holding, demands []Demand, now clock.Millis) ([]Choice, []Extra) {
	s := &surge{w: w, now: now, hold: map[Pool]Holding{}, demand: map[Pool]Demand{}, away: map[Pool]int{}, fresh: map[Pool]int{}, extra: map[[2]Pool]int{}}
	for _, h := range holdings {
		s.hold[h.Pool] = h
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
			out = append(out, decide(chooser, s, p))
		}
	}
	// Pools whose demand is low keep only what no other pool needs now, so
	// that extras pass on directly when services peak in turn.
	for _, p := range order {
		if s.demand[p].LowSince != 0 {
			s.keep(p)
		}
		if s.excess(p) <= 0 {
			out = append(out, s.rest(p))
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

type surge struct {
	w      Weights
	now    clock.Millis
	hold   map[Pool]Holding
	demand map[Pool]Demand
	// away counts what each pool gives to others, as decided so far.
	away map[Pool]int
	// fresh is the part of away that is still in place.
	fresh map[Pool]int
	extra map[[2]Pool]int
}

// excess is the number of slots that demand exceeds what the pool holds by.
func (s *surge) excess(p Pool) float64 {
	h := s.hold[p]
	return s.demand[p].NeededSlots - float64(h.Instances*h.SlotsPerInstance)
}

func (s *surge) grant(to, from Pool, n int) {
	s.extra[[2]Pool{to, from}] += n
	s.away[from] += n
}

// keep lets a pool hold on to the extras that it has, unless its demand has
// been low for long enough or its spare pool has to call them back.
func (s *surge) keep(p Pool) {
	h := s.hold[p]
	extra := h.Instances - h.Promised
	if extra <= 0 || s.settled(p) {
		return
	}
	// What pools hold beyond their promise came from the spare as far as the
	// spare is short, and from donors beyond that.
	spare := s.hold[h.Spare]
	lent := max(0, min(extra, spare.Promised-spare.Instances-s.away[h.Spare], s.lendable(h.Spare)))
	if h.Spare != "" && lent > 0 {
		s.grant(p, h.Spare, lent)
		extra -= lent
	}
	for _, d := range s.donors(p) {
		short := s.hold[d].Promised - s.hold[d].Instances - s.away[d]
		if n := min(extra, short); n > 0 && s.excess(d) <= 0 {
			s.grant(p, d, n)
			extra -= n
		}
	}
}

// lendable is how many more instances of a spare pool may be away: those that
// it holds or that pools hold beyond their promise, less what pools lack and
// what is to stay.
func (s *surge) lendable(spare Pool) int {
	if spare == "" {
		return 0
	}
	n := s.hold[spare].Instances - s.w.MinSpare - s.away[spare]
	for _, h := range s.hold {
		if h.Spare == spare {
			n += h.Instances - h.Promised
		}
	}
	return max(0, n)
}

// within is how many instances of a spare pool are at hand for a loan: those
// in it, and those that pools hold beyond their promise while their demand is
// low.
func (s *surge) within(spare Pool) int {
	n := s.hold[spare].Instances - s.fresh[spare]
	for p, h := range s.hold {
		if h.Spare == spare && s.demand[p].LowSince > 0 {
			n += max(0, h.Instances-h.Promised)
		}
	}
	return n
}

// settled reports whether the pool's demand has been low for HoldMillis.
func (s *surge) settled(p Pool) bool {
	d := s.demand[p]
	return d.LowSince > 0 && d.HighSince == 0 && s.now-d.LowSince >= s.w.ReturnDelayMillis
}

// donors lists the pools with the same spare, in ascending order.
func (s *surge) donors(p Pool) []Pool {
	var out []Pool
	if !s.w.Donate || s.hold[p].Spare == "" {
		return nil
	}
	for _, q := range slices.Sorted(maps.Keys(s.hold)) {
		if q != p && s.hold[q].Spare == s.hold[p].Spare {
			out = append(out, q)
		}
	}
	return out
}

// rest describes a pool whose demand fits its slots.
func (s *surge) rest(p Pool) Choice {
	c := Choice{Pool: p, Action: ActionNone}
	extra := s.hold[p].Instances - s.hold[p].Promised
	kept := 0
	for key, n := range s.extra {
		if key[0] == p {
			kept += n
		}
	}
	switch {
	case extra > kept && s.settled(p):
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

// decide chooses for a pool whose demand exceeds its slots.
func decide[C Chooser](chooser C, s *surge, p Pool) Choice {
	h := s.hold[p]
	c := Choice{Pool: p}
	c.Costs = s.costs(p)
	c.Action = chooser.Choose(c.Costs)
	switch c.Action {
	case ActionLend:
		s.grant(p, h.Spare, c.Costs.LendCount)
		s.fresh[h.Spare] += c.Costs.LendCount
	case ActionMove:
		s.grant(p, c.Costs.Donor, c.Costs.MoveCount)
		s.fresh[c.Costs.Donor] += c.Costs.MoveCount
	}
	c.Reason = fmt.Sprintf("demand exceeds the slots by %.1f; queue costs %.1f, lending %d costs %.1f, moving %d costs %.1f",
		s.excess(p), c.Costs.Queue, c.Costs.LendCount, c.Costs.Lend, c.Costs.MoveCount, c.Costs.Move)
	return c
}
