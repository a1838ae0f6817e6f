package plan

import "camphorridge/core/state/model"

// FleetIndex keeps the counts from which assignments are made, so that they are
// not computed again for each assignment. It is derived from the state: a new
// FleetIndex filled with the same state leads to the same assignments. It is not
// safe for concurrent use.
type FleetIndex struct {
	contracts []model.Contract
	instances map[model.InstanceID]countedInstance
	counts    *counts
}

// countedInstance is an instance as it was last counted.
type countedInstance struct {
	inst model.Instance
	lost bool
}

// NewFleetIndex returns an index without instances.
func NewFleetIndex(contracts []model.Contract) *FleetIndex {
	return &FleetIndex{contracts: contracts, instances: map[model.InstanceID]countedInstance{}, counts: newCounts(contracts)}
}

// SetInstance adds an instance or replaces its state. lost says that it has an
// unplanned outage.
func (x *FleetIndex) SetInstance(i model.Instance, lost bool) {
	if old, ok := x.instances[i.ID]; ok {
		x.counts.update(old.inst, old.lost, -1)
	}
	x.instances[i.ID] = countedInstance{i, lost}
	x.counts.update(i, lost, 1)
}

// SetContracts replaces all contracts and recomputes the counts.
func (x *FleetIndex) SetContracts(contracts []model.Contract) {
	x.contracts = contracts
	x.counts = newCounts(contracts)
	x.bulkLoad(func() {
		for _, e := range x.instances {
			x.counts.update(e.inst, e.lost, 1)
		}
	})
}

// bulkLoad calls f, which counts all instances, and computes the exposure once
// after that. No instance may have been counted before.
func (x *FleetIndex) bulkLoad(f func()) {
	x.counts.loading = true
	f()
	x.counts.loading = false
	for p := range x.counts.instances {
		x.counts.addExposure(p, 1)
	}
}

// Assign makes the assignment for a whole state, without an existing index.
func Assign[P Policy](policy P, settings Settings, in Input) Assignment {
	index := NewFleetIndex(in.Contracts)
	index.bulkLoad(func() {
		for _, i := range in.Instances {
			index.SetInstance(i, in.Lost[i.ID])
		}
	})
	return AssignFromIndex(policy, settings, index, in.Extras)
}

// AssignFromIndex makes an assignment: first the moves that provide promised
// instances, then those that fill the spare pools, and last, if the policy
// exchanges, those that only lower the exposure to losses. Only instances in
// PhaseServing are moved. The index is the same afterwards as before; the caller
// reports the moves that it starts through SetInstance.
func AssignFromIndex[P Policy](policy P, settings Settings, index *FleetIndex, extras []Extra) Assignment {
	d := &draft[P]{policy: policy, settings: settings, contracts: index.contracts, counts: index.counts}
	for _, e := range extras {
		index.counts.addRequired(e.Pool, e.Count)
		index.counts.addRequired(e.From, -e.Count)
	}
	for _, p := range d.shortPools(false) {
		d.fill(p, "holds fewer instances than it needs")
	}
	for _, p := range d.shortPools(true) {
		d.fill(p, "holds fewer spare instances than reserved")
	}
	if policy.Exchange() {
		d.exchange()
	}
	d.addShortfalls()
	d.undo()
	for _, e := range extras {
		index.counts.addRequired(e.Pool, -e.Count)
		index.counts.addRequired(e.From, e.Count)
	}
	return d.out
}
