package mover

import (
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/plan"
)

// CapacityPlanner decides moves between pools by package plan. It follows the table
// by what changed and decides only after a change.
type CapacityPlanner[A plan.Policy, S plan.Chooser] struct {
	*SurgePlanner[S]
	policy A
	set    plan.Settings
	// RepairAfter is the time that a lost instance is waited for before another
	// takes its place: most come back from a restart, and each repair costs two
	// moves.
	RepairAfter clock.Millis
	book        *plan.FleetIndex
	contracts   map[model.Customer]model.Contract
	// lost holds the instances that are lost and not yet given up.
	lost  map[model.InstanceID]model.Instance
	dirty bool
	last  plan.Assignment
}

// NewCapacityPlanner returns a capacity decision with the policy given.
func NewCapacityPlanner[A plan.Policy, S plan.Chooser](p A, set plan.Settings, repairAfter clock.Millis, s *SurgePlanner[S]) *CapacityPlanner[A, S] {
	c := &CapacityPlanner[A, S]{SurgePlanner: s, policy: p, set: set, RepairAfter: repairAfter}
	c.Reset()
	return c
}

// Reset forgets everything, for a new term.
func (c *CapacityPlanner[A, S]) Reset() {
	c.book = plan.NewFleetIndex(nil)
	c.contracts = map[model.Customer]model.Contract{}
	c.lost = map[model.InstanceID]model.Instance{}
	c.last = plan.Assignment{}
	c.dirty = false
	c.SurgePlanner.Reset()
}

// Update takes what changed in the table.
func (c *CapacityPlanner[A, S]) Update(d model.Delta) {
	for _, x := range d.Contracts {
		c.contracts[x.Customer] = x
	}
	for _, x := range d.RemovedContracts {
		delete(c.contracts, x)
	}
	if len(d.Contracts)+len(d.RemovedContracts) > 0 {
		names := slices.Sorted(maps.Keys(c.contracts))
		list := make([]model.Contract, 0, len(names))
		for _, n := range names {
			list = append(list, c.contracts[n])
		}
		c.book.SetContracts(list)
		c.dirty = true
	}
	for _, i := range d.Instances {
		c.book.SetInstance(i, false)
		delete(c.lost, i.ID)
		if i.LostSince != 0 {
			c.lost[i.ID] = i
		}
		c.dirty = true
	}
}

// Moves returns the releases that start moves, and what the moves cannot
// reach. It decides anew only after a change, or when a lost instance has been
// waited for.
func (c *CapacityPlanner[A, S]) Moves(t model.Table, now clock.Millis) ([]model.InstanceStep, []Wait) {
	for id, i := range c.lost {
		if now-i.LostSince >= c.RepairAfter {
			c.book.SetInstance(i, true)
			delete(c.lost, id)
			c.dirty = true
		}
	}
	extras, changed := c.Extras(t, now)
	if !c.dirty && !changed {
		return nil, c.waits()
	}
	c.dirty = false
	c.last = plan.Decide(c.policy, c.set, c.book, extras)
	var steps []model.InstanceStep
	for _, m := range c.last.Moves {
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

func (c *CapacityPlanner[A, S]) waits() []Wait {
	var waits []Wait
	for _, g := range c.last.Gaps {
		waits = append(waits, Wait{
			Reason: fmt.Sprintf("pool %s: %s %s: %d of %d: %s", g.Pool, g.Kind, g.Subject, g.Have, g.Need, g.Reason),
		})
	}
	for _, r := range c.reasons {
		waits = append(waits, Wait{Reason: r})
	}
	return waits
}

// Invalidate makes the next call decide again, after steps that were not applied.
func (c *CapacityPlanner[A, S]) Invalidate() { c.dirty = true }
