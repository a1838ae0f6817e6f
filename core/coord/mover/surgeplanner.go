package mover

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/plan"
)

// surgeInterval is the time between two evaluations of the demand, which entry
// processes report once a second.
const surgeInterval = clock.Second

// demandReport is the latest report of demand from one entry process.
type demandReport struct {
	pools      []model.PoolDemand
	receivedAt clock.Millis
	// interval is the time since the previous report, over which the refusals
	// were counted.
	interval clock.Millis
}

// SurgePlanner decides with package plan how to react to a surge, which is demand
// that exceeds the slots of a pool, and when to undo the reaction.
type SurgePlanner[S plan.Chooser] struct {
	chooser S
	weights plan.Weights
	// Enabled is false when surges are handled by queueing alone.
	Enabled       bool
	demandReports map[model.Process]demandReport
	// highSince and lowSince hold, for each pool with high or with low demand, the
	// time since when the demand is high or low.
	highSince map[model.Pool]clock.Millis
	lowSince  map[model.Pool]clock.Millis
	decidedAt clock.Millis
	// extras and reasons are the result of the last decision.
	extras  []plan.Extra
	reasons []string
}

// NewSurgePlanner returns a planner that has no demand reports yet.
func NewSurgePlanner[S plan.Chooser](c S, w plan.Weights, enabled bool) *SurgePlanner[S] {
	s := &SurgePlanner[S]{chooser: c, weights: w, Enabled: enabled}
	s.Reset()
	return s
}

// Reset empties the planner for a new term.
func (s *SurgePlanner[S]) Reset() {
	s.demandReports = map[model.Process]demandReport{}
	s.highSince = map[model.Pool]clock.Millis{}
	s.lowSince = map[model.Pool]clock.Millis{}
	s.extras = nil
	s.reasons = nil
}

// RecordDemand records the demand that an entry process reported at now.
func (s *SurgePlanner[S]) RecordDemand(p model.Process, pools []model.PoolDemand, now clock.Millis) {
	previous, known := s.demandReports[p]
	interval := now - previous.receivedAt
	if !known || interval <= 0 {
		interval = surgeInterval
	}
	s.demandReports[p] = demandReport{pools: pools, receivedAt: now, interval: interval}
}

// Extras returns the instances that pools get temporarily beyond their promised
// number, and whether they changed since the last call.
func (s *SurgePlanner[S]) Extras(t model.Table, now clock.Millis) (extras []plan.Extra, changed bool) {
	if !s.Enabled || now-s.decidedAt < surgeInterval {
		return s.extras, false
	}
	s.decidedAt = now
	demands := s.demands(now)
	// Without reported demand and without extras there is nothing to decide, and
	// counting the fleet's instances can be skipped.
	if len(demands) == 0 && len(s.extras) == 0 {
		clear(s.highSince)
		return nil, false
	}
	holdings := holdingsOf(t)
	s.completeDemands(holdings, demands, now)
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

// demands returns the demand of each pool, summed over the entry processes that
// reported within SilentAfter.
func (s *SurgePlanner[S]) demands(now clock.Millis) []plan.Demand {
	sums := map[model.Pool]*plan.Demand{}
	var order []model.Pool
	for name, r := range s.demandReports {
		if now-r.receivedAt > SilentAfter {
			delete(s.demandReports, name)
			continue
		}
		for _, d := range r.pools {
			sum := sums[d.Pool]
			if sum == nil {
				sum = &plan.Demand{Pool: d.Pool, ServiceMillis: 1}
				sums[d.Pool] = sum
				order = append(order, d.Pool)
			}
			sum.ServiceMillis = max(sum.ServiceMillis, d.TypicalRunTime)
			sum.Waiting += float64(d.Waiting)
			// A refused request would have used a slot for its run time.
			refused := float64(d.Refused) * float64(d.TypicalRunTime) / float64(r.interval)
			sum.NeededSlots += float64(d.Running+d.Waiting) + refused
		}
	}
	out := make([]plan.Demand, 0, len(order))
	for _, p := range order {
		out = append(out, *sums[p])
	}
	return out
}

// completeDemands updates highSince and lowSince for all pools, including those
// without demand, and sets HighSince, LowSince and QueueLimit of the demands. The
// queue limit of a pool is the number of its slots.
func (s *SurgePlanner[S]) completeDemands(holdings []plan.Holding, demands []plan.Demand, now clock.Millis) {
	byPool := make(map[model.Pool]*plan.Demand, len(demands))
	for i := range demands {
		byPool[demands[i].Pool] = &demands[i]
	}
	for _, h := range holdings {
		d := byPool[h.Pool]
		neededSlots := 0.0
		if d != nil {
			neededSlots = d.NeededSlots
		}
		trackSince(s.highSince, h.Pool, neededSlots > float64(h.Instances*h.SlotsPerInstance), now)
		trackSince(s.lowSince, h.Pool, neededSlots < float64(h.Promised*h.SlotsPerInstance*s.weights.LowPercent)/100, now)
		if d != nil {
			d.HighSince, d.LowSince = s.highSince[h.Pool], s.lowSince[h.Pool]
			d.QueueLimit = float64(h.Instances * h.SlotsPerInstance)
		}
	}
}

// trackSince records in m since when a condition has held for pool p, or removes
// the pool when the condition doesn't hold.
func trackSince(m map[model.Pool]clock.Millis, p model.Pool, holds bool, now clock.Millis) {
	switch {
	case !holds:
		delete(m, p)
	case m[p] == 0:
		m[p] = now
	}
}

// holdingsOf returns how many instances and slots each pool has, and how many
// instances contracts promise it. A serving instance counts for its pool and a
// released one for its target pool. Lost and retired instances and those handed over
// for maintenance don't count. The slots per instance are those of the largest
// instance that counts.
func holdingsOf(t model.Table) []plan.Holding {
	byPool := map[model.Pool]*plan.Holding{}
	holdingOf := func(p model.Pool) *plan.Holding {
		h := byPool[p]
		if h == nil {
			h = &plan.Holding{Pool: p, SlotsPerInstance: 1}
			byPool[p] = h
		}
		return h
	}
	for _, c := range t.Contracts {
		for _, p := range c.Pools {
			h := holdingOf(p.Pool)
			h.Promised += p.Instances
			h.Spare = c.SparePool
		}
		if c.SparePool != "" {
			holdingOf(c.SparePool).Promised += c.Spare
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
		h := holdingOf(p)
		h.Instances++
		h.SlotsPerInstance = max(h.SlotsPerInstance, i.Slots)
	}
	out := make([]plan.Holding, 0, len(byPool))
	for _, h := range byPool {
		out = append(out, *h)
	}
	return out
}
