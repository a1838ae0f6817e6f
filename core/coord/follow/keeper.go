package follow

import (
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
)

const ringSize = 64

// Applier takes the changes of the table that the keeper accepted.
type Applier func(d model.Delta)

// Keeper is the duty that owns the table of an entry process.
type Keeper struct {
	in    *ring.Ring[keeperInput]
	apply Applier
	done  chan struct{}
	ended chan struct{}
	// table is touched by Run alone; its version never goes down.
	table model.Table
}

// keeperInput carries a delta or a question for the delta after a version.
type keeperInput struct {
	delta    *model.Delta
	accepted chan<- bool
	from     model.Version
	answer   chan<- model.Delta
}

// NewKeeper returns a keeper with an empty table.
func NewKeeper(apply Applier) *Keeper {
	return &Keeper{
		in:    ring.New[keeperInput](ringSize),
		apply: apply,
		done:  make(chan struct{}),
		ended: make(chan struct{}),
		table: model.Table{
			Contracts: map[model.Customer]model.Contract{},
			Instances: map[model.InstanceID]model.Instance{},
		},
	}
}

// Run owns the table until Stop.
func (k *Keeper) Run() error {
	defer close(k.ended)
	for {
		select {
		case m := <-k.in.C():
			k.handle(m)
		case <-k.done:
			return nil
		}
	}
}

// Stop ends Run.
func (k *Keeper) Stop() { close(k.done) }

func (k *Keeper) handle(m keeperInput) {
	if m.delta == nil {
		m.answer <- k.deltaAfter(m.from)
		return
	}
	ok := fleet.Merge(&k.table, *m.delta)
	if ok {
		k.apply(*m.delta)
	}
	m.accepted <- ok
}

// deltaAfter answers a neighbour: nothing when it is current, else the whole
// table, as the keeper remembers no history.
func (k *Keeper) deltaAfter(from model.Version) model.Delta {
	if from >= k.table.Version {
		return model.Delta{From: from, To: from}
	}
	return fleet.FullDelta(k.table.Version, k.table.Contracts, k.table.Instances)
}

// Offer hands in a delta and reports whether it was accepted. A delta that
// would lower the version, or does not follow on the table, is not.
func (k *Keeper) Offer(d model.Delta) bool {
	accepted := make(chan bool, 1)
	if !k.in.PutWait(keeperInput{delta: &d, accepted: accepted}, k.ended) {
		return false
	}
	select {
	case ok := <-accepted:
		return ok
	case <-k.ended:
		return false
	}
}

// After returns the delta that brings a table of the given version up to
// date; ok is false once the keeper has ended.
func (k *Keeper) After(from model.Version) (d model.Delta, ok bool) {
	answer := make(chan model.Delta, 1)
	if !k.in.PutWait(keeperInput{from: from, answer: answer}, k.ended) {
		return d, false
	}
	select {
	case d = <-answer:
		return d, true
	case <-k.ended:
		return d, false
	}
}
