package plan

import "camphorridge/core/state/model"

// FleetIndex keeps the counts that assignments are made from. It is an index over
// the state: a new FleetIndex filled from the same state decides the same. One duty
// owns it.
type FleetIndex struct {
	contracts []model.Contract
	instances map[model.InstanceID]entry
	l         *ledger
}

type entry struct {
	inst model.Instance
	lost bool
}

// NewFleetIndex returns a book without instances.
func NewFleetIndex(contracts []model.Contract) *FleetIndex {
	return &FleetIndex{contracts: contracts, instances: map[model.InstanceID]entry{}, l: newLedger(contracts)}
}

// SetInstance tells the book the state of an instance. Lost says that it is
// out of service without a plan.
func (b *FleetIndex) SetInstance(i model.Instance, lost bool) {
	if old, ok := b.instances[i.ID]; ok {
		b.l.put(old.inst, old.lost, -1)
	}
	b.instances[i.ID] = entry{i, lost}
	b.l.put(i, lost, 1)
}

// SetContracts replaces all contracts and counts anew.
func (b *FleetIndex) SetContracts(contracts []model.Contract) {
	b.contracts = contracts
	b.l = newLedger(contracts)
	b.load(func() {
		for _, e := range b.instances {
			b.l.put(e.inst, e.lost, 1)
		}
	})
}

func (b *FleetIndex) load(f func()) {
	b.l.bulk = true
	f()
	b.l.bulk = false
	for p := range b.l.have {
		b.l.weigh(p, 1)
	}
}

// Assign decides from a whole state.
func Assign[P Policy](policy P, set Settings, in Input) Assignment {
	b := NewFleetIndex(in.Contracts)
	b.load(func() {
		for _, i := range in.Instances {
			b.SetInstance(i, in.Lost[i.ID])
		}
	})
	return Decide(policy, set, b, in.Extras)
}

// Decide returns the moves that fill every pool, most urgent first: promised
// instances before the spare, and exchanges for a better spread last.
// Instances that are being released or maintained stay where they are. The
// book is unchanged afterwards; moves come back through SetInstance.
func Decide[P Policy](policy P, set Settings, b *FleetIndex, extras []Extra) Assignment {
	d := &draft[P]{policy: policy, set: set, contracts: b.contracts, l: b.l}
	for _, e := range extras {
		b.l.require(e.Pool, e.Count)
		b.l.require(e.From, -e.Count)
	}
	for _, p := range d.short(false) {
		d.fill(p, "holds fewer instances than it needs")
	}
	for _, p := range d.short(true) {
		d.fill(p, "holds fewer spare instances than reserved")
	}
	if policy.Exchange() {
		d.exchange()
	}
	d.gaps()
	d.undo()
	for _, e := range extras {
		b.l.require(e.Pool, -e.Count)
		b.l.require(e.From, e.Count)
	}
	return d.out
}
