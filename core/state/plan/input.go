package plan

import "camphorridge/core/state/model"

// Settings are the operator's choices for assignments.
type Settings struct {
	// UseOthersSpare lets a customer's repair use spare instances that are
	// reserved for other customers of the same spare pool.
	UseOthersSpare bool
	// MaxExchangeMoves is the largest number of moves in one assignment that
	// only lower the exposure to losses. Each of these moves is a disruption.
	MaxExchangeMoves int
}

// Extra raises the number of instances that Pool should have by Count, above what
// contracts promise to it. It lowers the number that From should have by as many.
type Extra struct {
	Pool  Pool
	From  Pool
	Count int
}

// Pool is the name of a pool.
type Pool = model.Pool

// Input is the state that an assignment depends on.
type Input struct {
	Instances []model.Instance
	// Lost holds the instances with an unplanned outage.
	Lost      map[model.InstanceID]bool
	Contracts []model.Contract
	Extras    []Extra
}

// Move takes an instance from one pool to another.
type Move struct {
	Instance model.InstanceID
	From     Pool
	To       Pool
	Reason   string
}

// ShortfallKind is the kind of a Shortfall.
type ShortfallKind string

// The kinds of shortfall.
const (
	// ShortfallPromised means that a pool has fewer instances than promised.
	ShortfallPromised ShortfallKind = "promised"
	// ShortfallSpare means that a spare pool has fewer instances than reserved.
	ShortfallSpare ShortfallKind = "spare"
	// ShortfallExposed means that the loss of a covered failure domain would leave
	// promised instances missing.
	ShortfallExposed ShortfallKind = "exposed"
)

// Shortfall is a lack of instances that remains once the moves are done.
type Shortfall struct {
	Kind ShortfallKind
	// Pool is the pool that lacks instances; for a ShortfallExposed it is the spare pool
	// of the exposed pools, empty if they have none.
	Pool Pool
	// Subject is the kind and name of the failure domain of a ShortfallExposed.
	Subject string
	// Required is the number of instances that the pool should have, and Available
	// the number that it has. For a ShortfallExposed, Required is the number of
	// instances that the loss of the failure domain would leave missing, and
	// Available is 0.
	Required  int
	Available int
	Reason    string
}

// Assignment is the result of Assign and AssignFromIndex.
type Assignment struct {
	Moves      []Move
	Shortfalls []Shortfall
	// Idle is the number of idle instances once the moves are done: all spare
	// instances, and those that pools have beyond what contracts promise.
	Idle int
}
