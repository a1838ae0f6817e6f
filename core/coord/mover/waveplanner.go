package mover

import (
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/maint"
	"camphorridge/core/state/model"
)

// WavePlanner plans maintenance waves with package maint. It is updated with the
// changes of the replicated state, starting from empty in each term.
type WavePlanner[P maint.Pacer, J maint.StopPolicy] struct {
	pacer      P
	stopPolicy J
	settings   maint.Settings
	planner    *maint.Planner[P, J]
	// declaredVersions holds, for each declared wave by name, the version that was
	// last passed to the planner.
	declaredVersions map[string]model.Version
}

// NewWavePlanner returns an empty planner with the given policies and settings.
func NewWavePlanner[P maint.Pacer, J maint.StopPolicy](p P, j J, settings maint.Settings) *WavePlanner[P, J] {
	w := &WavePlanner[P, J]{pacer: p, stopPolicy: j, settings: settings}
	w.Reset(nil)
	return w
}

// Reset empties the planner for a new term and adds the given finished outages.
func (w *WavePlanner[P, J]) Reset(outages []model.Outage) {
	w.planner = maint.NewPlanner(w.pacer, w.stopPolicy, w.settings)
	w.declaredVersions = map[string]model.Version{}
	for _, o := range outages {
		w.planner.SetOutage(maint.Outage{Instance: o.Instance, Pool: o.Pool, From: o.From, To: o.To})
	}
}

// Update applies changes of the replicated state.
func (w *WavePlanner[P, J]) Update(c StateChanges) {
	for _, contract := range c.Delta.Contracts {
		w.planner.SetContract(contract)
	}
	for _, customer := range c.Delta.RemovedContracts {
		w.planner.RemoveContract(customer)
	}
	for _, i := range c.Delta.Instances {
		w.planner.SetInstance(i)
		if i.OutOfServiceSince != 0 {
			w.planner.SetOutage(maint.Outage{Instance: i.ID, Pool: i.Pool, From: i.OutOfServiceSince})
		}
	}
	for _, o := range c.Outages {
		w.planner.SetOutage(maint.Outage{Instance: o.Instance, Pool: o.Pool, From: o.From, To: o.To})
	}
	for name, m := range c.Maintenance {
		if w.declaredVersions[name] != m.Version {
			w.declaredVersions[name] = m.Version
			w.planner.SetDeclaration(m)
		}
	}
	for name := range w.declaredVersions {
		if _, ok := c.Maintenance[name]; !ok {
			delete(w.declaredVersions, name)
			w.planner.RemoveDeclaration(name)
		}
	}
}

// SetObservation sets what the entry processes report about an instance.
func (w *WavePlanner[P, J]) SetObservation(id model.InstanceID, s maint.Observation) {
	w.planner.SetObservation(id, s)
}

// SetUnservedPermille sets the share of a customer's requests that were not served,
// in permille.
func (w *WavePlanner[P, J]) SetUnservedPermille(c model.Customer, permille int) {
	w.planner.SetUnservedPermille(c, permille)
}

// Pass plans the waves at time now and returns the steps that are due.
func (w *WavePlanner[P, J]) Pass(now clock.Millis) maint.Plan { return w.planner.Pass(now) }

// StateChanges holds the changes of the replicated state since the last pass of
// the mover.
type StateChanges struct {
	// Delta holds the changes of the table.
	Delta model.Delta
	// Maintenance holds all declared waves by name, not only the changed ones.
	Maintenance map[string]model.Maintenance
	// GoneProcesses holds all entry processes that were declared gone, with the
	// time of the declaration.
	GoneProcesses map[model.Process]clock.Millis
	// Outages lists the outages that ended since the last pass, in the order in
	// which they ended.
	Outages []model.Outage
}

// collectChanges returns the changes of the table after version from, and the
// outages that ended after lastOutage.
func collectChanges(s *fleet.State, from model.Version, lastOutage model.Outage) StateChanges {
	c := StateChanges{Delta: s.Delta(from), Maintenance: make(map[string]model.Maintenance, len(s.Maintenance))}
	for k, v := range s.Maintenance {
		c.Maintenance[k] = v
	}
	c.GoneProcesses = maps.Clone(s.GoneProcesses)
	for i := len(s.Outages) - 1; i >= 0 && s.Outages[i] != lastOutage; i-- {
		c.Outages = append(c.Outages, s.Outages[i])
	}
	slices.Reverse(c.Outages)
	return c
}
