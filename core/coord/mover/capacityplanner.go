package mover

import (
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/plan"
)

// CapacityPlanner plans moves of instances between pools with package plan. It is
// updated with the changes of the table. Moves says when it plans again.
type CapacityPlanner[A plan.Policy, S plan.Chooser] struct {
	*SurgePlanner[S]
	policy   A
	settings plan.Settings
	// RepairAfter is how long an instance must be lost before another instance
	// replaces it. Most lost instances are only restarting, and each replacement
	// costs two moves.
	RepairAfter clock.Millis
	index       *plan.FleetIndex
	contracts   map[model.Customer]model.Contract
	// recentlyLost holds the lost instances until they have been lost for RepairAfter;
	// only then are they passed to the index as lost.
	recentlyLost map[model.InstanceID]model.Instance
	// mustPlan makes the next call of Moves plan again. It is set after a change of the
	// table, after RepairAfter of a lost instance, and by Invalidate.
	mustPlan       bool
	lastAssignment plan.Assignment
}

// NewCapacityPlanner returns an empty planner with the given policy and settings.
func NewCapacityPlanner[A plan.Policy, S plan.Chooser](p A, settings plan.Settings, repairAfter clock.Millis, s *SurgePlanner[S]) *CapacityPlanner[A, S] {
	c := &CapacityPlanner[A, S]{SurgePlanner: s, policy: p, settings: settings, RepairAfter: repairAfter}
	c.Reset()
	return c
}

// Reset empties the planner for a new term.
func (c *CapacityPlanner[A, S]) Reset() {
	c.index = plan.NewFleetIndex(nil)
	c.contracts = map[model.Customer]model.Contract{}
	c.recentlyLost = map[model.InstanceID]model.Instance{}
	c.lastAssignment = plan.Assignment{}
	c.mustPlan = false
	c.SurgePlanner.Reset()
}

// Update applies changes of the table.
func (c *CapacityPlanner[A, S]) Update(d model.Delta) {
	for _, contract := range d.Contracts {
		c.contracts[contract.Customer] = contract
	}
	for _, customer := range d.RemovedContracts {
		delete(c.contracts, customer)
	}
	if len(d.Contracts)+len(d.RemovedContracts) > 0 {
		names := slices.Sorted(maps.Keys(c.contracts))
		list := make([]model.Contract, 0, len(names))
		for _, n := range names {
			list = append(list, c.contracts[n])
		}
		c.index.SetContracts(list)
		c.mustPlan = true
	}
	for _, i := range d.Instances {
		c.index.SetInstance(i, false)
		delete(c.recentlyLost, i.ID)
		if i.LostSince != 0 {
			c.recentlyLost[i.ID] = i
		}
		c.mustPlan = true
	}
}

// Moves returns the release steps that start moves, and one Wait for each
// requirement that no move can meet and each action chosen in a surge. It plans
// again only after a change of the table or of the temporary instances that Extras
// grants, when an instance has been lost for RepairAfter, or after Invalidate.
func (c *CapacityPlanner[A, S]) Moves(t model.Table, now clock.Millis) ([]model.InstanceStep, []Wait) {
	for id, i := range c.recentlyLost {
		if now-i.LostSince >= c.RepairAfter {
			c.index.SetInstance(i, true)
			delete(c.recentlyLost, id)
			c.mustPlan = true
		}
	}
	extras, changed := c.Extras(t, now)
	if !c.mustPlan && !changed {
		return nil, c.waits()
	}
	c.mustPlan = false
	c.lastAssignment = plan.AssignFromIndex(c.policy, c.settings, c.index, extras)
	var steps []model.InstanceStep
	for _, m := range c.lastAssignment.Moves {
		i := t.Instances[m.Instance]
		if i.Phase != model.PhaseServing || i.LostSince != 0 {
			continue
		}
		next := i
		next.Phase, next.Target, next.Reason = model.PhaseReleasing, m.To, m.Reason
		steps = append(steps, model.InstanceStep{Base: i.Version, Instance: next})
	}
	return steps, c.waits()
}

// waits returns the entries that operators see in the Status: a Wait for each
// shortfall of the last assignment and each action that the last decision of the
// SurgePlanner chose. Nothing waits for the latter; they only inform.
func (c *CapacityPlanner[A, S]) waits() []Wait {
	var waits []Wait
	for _, s := range c.lastAssignment.Shortfalls {
		waits = append(waits, Wait{
			Reason: fmt.Sprintf("pool %s: %s %s: %d available of %d required: %s", s.Pool, s.Kind, s.Subject, s.Available, s.Required, s.Reason),
		})
	}
	for _, r := range c.reasons {
		waits = append(waits, Wait{Reason: r})
	}
	return waits
}

// Invalidate makes the next call of Moves plan again. Call it when the steps that
// Moves returned are not known to be applied.
func (c *CapacityPlanner[A, S]) Invalidate() { c.mustPlan = true }
