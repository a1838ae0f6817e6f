package plan

import (
	"cmp"

	"camphorridge/core/state/model"
)

// Candidate is an instance that could fill a pool.
type Candidate struct {
	Instance model.Instance
	// Spare is set when it would come from the spare.
	Spare bool
	// GroupZone and GroupRack count the instances of all pools with the same
	// spare in the candidate's zone and rack; PoolZone and PoolRack those of
	// the pool to be filled.
	GroupZone int
	GroupRack int
	PoolZone  int
	PoolRack  int
}

// Policy says which instance fills a pool and whether instances are exchanged
// only to lower the exposure to a loss.
type Policy interface {
	// Compare is negative when a is preferred to b.
	Compare(a, b Candidate) int
	// Exchange reports whether exchanges are looked for.
	Exchange() bool
}

// FirstName is the baseline: the first instance in the order of names,
// wherever it is.
type FirstName struct{}

// Compare prefers surplus to spare, then the smaller name.
func (FirstName) Compare(a, b Candidate) int {
	return cmp.Or(bySpare(a, b), byName(a, b))
}

// Exchange returns false.
func (FirstName) Exchange() bool { return false }

// Spread fills from the zones and racks that hold least of the pools which
// share a spare, so that a loss takes as little as possible at once. It never
// moves an instance that no pool lacks.
type Spread struct{}

// Compare prefers surplus to spare, then the emptier zone and rack.
func (Spread) Compare(a, b Candidate) int {
	return cmp.Or(
		bySpare(a, b),
		cmp.Compare(a.GroupZone, b.GroupZone),
		cmp.Compare(a.PoolZone, b.PoolZone),
		cmp.Compare(a.GroupRack, b.GroupRack),
		cmp.Compare(a.PoolRack, b.PoolRack),
		byName(a, b),
	)
}

// Exchange returns false.
func (Spread) Exchange() bool { return false }

// Balance fills like Spread and exchanges instances between pools while that
// lowers the exposure. It costs moves that Spread does not make.
type Balance struct{ Spread }

// Exchange returns true.
func (Balance) Exchange() bool { return true }

func bySpare(a, b Candidate) int {
	switch {
	case a.Spare == b.Spare:
		return 0
	case b.Spare:
		return -1
	}
	return 1
}

func byName(a, b Candidate) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) }
