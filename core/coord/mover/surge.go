package mover

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/plan"
)

// surgeInterval separates two looks at the demand: it is reported once a
// second.
const surgeInterval = clock.Second

// reported is the latest demand that one entry process reported.
type reported struct {
	pools []model.PoolDemand
	at    clock.Millis
	// gap is the time since the report before; refusals are counted over it.
	gap clock.Millis
}

// SurgePlanner decides by package plan what to do about demand beyond a pool's
// slots, and when to take it back.
type SurgePlanner[S plan.Chooser] struct {
	chooser S
	weights plan.Weights
	// Enabled is false to leave surges to the queues.
	Enabled   bool
	processes map[model.Process]reported
	high      map[model.Pool]clock.Millis
	low       map[model.Pool]clock.Millis
	at        clock.Millis
	extras    []plan.Extra
	reasons   []string
}

// NewSurgePlanner returns a decision about surges.
func NewSurgePlanner[S plan.Chooser](c S, w plan.Weights, on bool) *SurgePlanner[S] {
	s := &SurgePlanner[S]{chooser: c, weights: w, Enabled: on}
	s.Reset()
	return s
}

// Reset forgets everything, for a new term.
func (s *SurgePlanner[S]) Reset() {
	s.processes = map[model.Process]reported{}
	s.high = map[model.Pool]clock.Millis{}
	s.low = map[model.Pool]clock.Millis{}
	s.extras = nil
	s.reasons = nil
}

// Report takes the demand that an entry process reported.
func (s *SurgePlanner[S]) Report(p model.Process, pools []model.PoolDemand, now clock.Millis) {
	before, known := s.processes[p]
	gap := now - before.at
	if !known || gap <= 0 {
		gap = surgeInterval
	}
	s.processes[p] = reported{pools: pools, at: now, gap: gap}
}

// Extras returns the instances that pools hold beyond their promise for now,
// and reports whether they differ from the last call.
func (s *SurgePlanner[S]) Extras(t model.Table, now clock.Millis) (extras []plan.Extra, changed bool) {
	if !s.Enabled || now-s.at < surgeInterval {
		return s.extras, false
	}
	s.at = now
	demands := s.demands(now)
	// Without demand above a small part of what the pools hold there is nothing
	// to decide, and the fleet need not be looked at.
	if len(demands) == 0 && len(s.extras) == 0 {
		return nil, false
	}
	holdings := holdingsOf(t)
	s.mark(holdings, demands, now)
	choices, next := plan.Surge(s.chooser, s.weights, holdings, demands, now)
	s.reasons = s.reasons[:0]
	for _, c := range choices {
		if c.Action != plan.ActionNone {
			s.reasons = append(s.reasons, fmt.Sprintf("pool %s: %s: %s", c.Pool, c.Action, c.Reason))
		}
	}
	changed = !sameExtras(s.extras, next)
	s.extras = next
	return next, changed
}

func sameExtras(a, b []plan.Extra) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// demands sums what the entry processes reported lately.
func (s *SurgePlanner[S]) demands(now clock.Millis) []plan.Demand {
	sums := map[model.Pool]*plan.Demand{}
	var order []model.Pool
	for name, r := range s.processes {
		if now-r.at > SilentAfter {
			delete(s.processes, name)
			continue
		}
		for _, d := range r.pools {
			x := sums[d.Pool]
			if x == nil {
				x = &plan.Demand{Pool: d.Pool, ServiceMillis: 1}
				sums[d.Pool] = x
				order = append(order, d.Pool)
			}
			x.ServiceMillis = max(x.ServiceMillis, d.TypicalRunTime)
			x.Waiting += float64(d.Waiting)
			// A refused request would have kept a slot busy for its run time.
			lost := float64(d.Refused) * float64(d.TypicalRunTime) / float64(r.gap)
			x.NeededSlots += float64(d.Running+d.Waiting) + lost
		}
	}
	out := make([]plan.Demand, 0, len(order))
	for _, p := range order {
		out = append(out, *sums[p])
	}
	return out
}

// mark notes since when the pools' demand has been high or low, also of pools
// without any demand.
func (s *SurgePlanner[S]) mark(holdings []plan.Holding, demands []plan.Demand, now clock.Millis) {
	byPool := make(map[model.Pool]*plan.Demand, len(demands))
	for i := range demands {
		byPool[demands[i].Pool] = &demands[i]
	}
	for _, h := range holdings {
		d := byPool[h.Pool]
		busy := 0.0
		if d != nil {
			busy = d.NeededSlots
		}
		since(s.high, h.Pool, busy > float64(h.Instances*h.SlotsPerInstance), now)
		since(s.low, h.Pool, busy < float64(h.Promised*h.SlotsPerInstance*s.weights.LowPercent)/100, now)
		if d != nil {
			d.HighSince, d.LowSince = s.high[h.Pool], s.low[h.Pool]
			d.QueueLimit = float64(h.Instances * h.SlotsPerInstance)
		}
	}
}

func since(m map[model.Pool]clock.Millis, p model.Pool, holds bool, now clock.Millis) {
	switch {
	case !holds:
		delete(m, p)
	case m[p] == 0:
		m[p] = now
	}
}

// holdingsOf counts what the pools hold and were promised.
func holdingsOf(t model.Table) []plan.Holding {
	byPool := map[model.Pool]*plan.Holding{}
	of := func(p model.Pool) *plan.Holding {
		h := byPool[p]
		if h == nil {
			h = &plan.Holding{Pool: p, SlotsPerInstance: 1}
			byPool[p] = h
		}
		return h
	}
	for _, c := range t.Contracts {
		for _, p := range c.Pools {
			h := of(p.Pool)
			h.Promised += p.Instances
			h.Spare = c.SparePool
		}
		if c.SparePool != "" {
			of(c.SparePool).Promised += c.Spare
		}
	}
	for _, i := range t.Instances {
		p := i.Pool
		if i.Phase == model.PhaseReleasing {
			p = i.Target
		}
		if i.LostSince != 0 || i.Phase == model.PhaseRetired || i.Phase == model.PhaseMaintenance {
			continue
		}
		h := of(p)
		h.Instances++
		h.SlotsPerInstance = max(h.SlotsPerInstance, i.Slots)
	}
	out := make([]plan.Holding, 0, len(byPool))
	for _, h := range byPool {
		out = append(out, *h)
	}
	return out
}
