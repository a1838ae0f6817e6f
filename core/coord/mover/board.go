package mover

import (
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/maint"
	"camphorridge/core/state/model"
)

// WavePlanner decides maintenance waves by package maint. It follows the table by
// what changed, and is filled anew in each term.
type WavePlanner[P maint.Pacer, J maint.StopPolicy] struct {
	pacer P
	judge J
	set   maint.Settings
	board *maint.Planner[P, J]
	// declared holds the declarations that the board knows, by version.
	declared map[string]model.Version
}

// NewWavePlanner returns a board with the policies given.
func NewWavePlanner[P maint.Pacer, J maint.StopPolicy](p P, j J, set maint.Settings) *WavePlanner[P, J] {
	b := &WavePlanner[P, J]{pacer: p, judge: j, set: set}
	b.Reset(nil)
	return b
}

// Reset forgets everything and takes the finished outages, for a new term.
func (b *WavePlanner[P, J]) Reset(outages []model.Outage) {
	b.board = maint.NewPlanner(b.pacer, b.judge, b.set)
	b.declared = map[string]model.Version{}
	for _, o := range outages {
		b.board.SetOutage(maint.Outage{Instance: o.Instance, Pool: o.Pool, From: o.From, To: o.To})
	}
}

// Update tells the board what changed in the replicated state.
func (b *WavePlanner[P, J]) Update(c StateChanges) {
	for _, x := range c.Delta.Contracts {
		b.board.SetContract(x)
	}
	for _, x := range c.Delta.RemovedContracts {
		b.board.RemoveContract(x)
	}
	for _, i := range c.Delta.Instances {
		b.board.SetInstance(i)
		if i.OutSince != 0 {
			b.board.SetOutage(maint.Outage{Instance: i.ID, Pool: i.Pool, From: i.OutSince})
		}
	}
	for _, o := range c.Outages {
		b.board.SetOutage(maint.Outage{Instance: o.Instance, Pool: o.Pool, From: o.From, To: o.To})
	}
	for name, m := range c.Maintenance {
		if b.declared[name] != m.Version {
			b.declared[name] = m.Version
			b.board.SetDeclaration(m)
		}
	}
	for name := range b.declared {
		if _, ok := c.Maintenance[name]; !ok {
			delete(b.declared, name)
			b.board.RemoveDeclaration(name)
		}
	}
}

// SetObservation tells the board what the entry processes say about an instance.
func (b *WavePlanner[P, J]) SetObservation(id model.InstanceID, s maint.Observation) {
	b.board.SetObservation(id, s)
}

// SetFailurePermille tells the board what a customer's callers feel, in permille.
func (b *WavePlanner[P, J]) SetFailurePermille(c model.Customer, permille int) {
	b.board.SetPressure(c, permille)
}

// Pass returns the steps that are due.
func (b *WavePlanner[P, J]) Pass(now clock.Millis) maint.Plan { return b.board.Pass(now) }

// StateChanges is what a pass of the mover found new in the replicated state.
type StateChanges struct {
	Delta        model.Delta
	Maintenance  map[string]model.Maintenance
	DeclaredGone map[model.Process]clock.Millis
	// Outages lists the outages that finished since the last pass, in the order
	// of their ends.
	Outages []model.Outage
}

// collect reads what changed after a version and an outage.
func collect(s *fleet.State, from model.Version, after model.Outage) StateChanges {
	c := StateChanges{Delta: s.Delta(from), Maintenance: make(map[string]model.Maintenance, len(s.Maintenance))}
	for k, v := range s.Maintenance {
		c.Maintenance[k] = v
	}
	c.DeclaredGone = maps.Clone(s.GoneProcesses)
	for i := len(s.Outages) - 1; i >= 0 && s.Outages[i] != after; i-- {
		c.Outages = append(c.Outages, s.Outages[i])
	}
	slices.Reverse(c.Outages)
	return c
}
