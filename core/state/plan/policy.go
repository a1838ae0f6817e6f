package plan

import (
	"cmp"

	"camphorridge/core/state/model"
)

// Candidate is an instance that could fill a pool.
type Candidate struct {
	Instance model.Instance
	// FromSpare is set if the instance would come from a spare pool.
	FromSpare bool
	// GroupZone and GroupRack are the numbers of instances in the candidate's
	// zone and rack that belong to the group of the pool to be filled: the pools
	// with the same spare pool. PoolZone and PoolRack count only the instances
	// of the pool to be filled.
	GroupZone int
	GroupRack int
	PoolZone  int
	PoolRack  int
}

// Policy determines which instance fills a pool, and whether instances are also
// exchanged between pools only to lower the exposure to losses.
type Policy interface {
	// Compare returns a negative number if a is preferred to b.
	Compare(a, b Candidate) int
	// Exchange reports whether instances are exchanged only to lower the exposure.
	Exchange() bool
}

// FirstByName is the baseline: it takes the first instance in the order of IDs, in
// whatever zone and rack it is. Like the other policies it prefers surplus to spare
// instances.
type FirstByName struct{}

// Compare prefers surplus to spare instances, then the smaller ID.
func (FirstByName) Compare(a, b Candidate) int {
	return cmp.Or(bySpare(a, b), byInstanceID(a, b))
}

// Exchange returns false.
func (FirstByName) Exchange() bool { return false }

// Spread fills a pool from the zones and racks that contain the fewest instances
// of the pool's group, so that one loss affects as few of them as possible. It
// moves an instance only to a pool that lacks one.
type Spread struct{}

// Compare prefers surplus to spare instances, then the zone and then the rack with
// fewer instances, each first of the group and then of the pool, and last the
// smaller ID.
func (Spread) Compare(a, b Candidate) int {
	return cmp.Or(
		bySpare(a, b),
		cmp.Compare(a.GroupZone, b.GroupZone),
		cmp.Compare(a.PoolZone, b.PoolZone),
		cmp.Compare(a.GroupRack, b.GroupRack),
		cmp.Compare(a.PoolRack, b.PoolRack),
		byInstanceID(a, b),
	)
}

// Exchange returns false.
func (Spread) Exchange() bool { return false }

// Balance fills pools like Spread and also exchanges instances between pools while
// that lowers the exposure, which takes moves that Spread does not make.
type Balance struct{ Spread }

// Exchange returns true.
func (Balance) Exchange() bool { return true }

// bySpare orders surplus instances before spare ones.
func bySpare(a, b Candidate) int {
	switch {
	case a.FromSpare == b.FromSpare:
		return 0
	case b.FromSpare:
		return -1
	}
	return 1
}

// byInstanceID orders by instance ID.
func byInstanceID(a, b Candidate) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) }
