package plan

import "camphorridge/core/state/model"

// Settings are the operator's choices for assignments.
type Settings struct {
	// BorrowReserve lets a customer's repair use spare instances that are
	// reserved for other customers of the same spare pool.
	BorrowReserve bool
	// MaxExchangeMoves is the most moves of one decision that only lower the
	// exposure to a loss. Each of these moves is a disruption of its own.
	MaxExchangeMoves int
}

// Extra is a request for Count instances more than contracts promise to Pool,
// at the expense of the pool From.
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

// GapKind is the kind of a Gap.
type GapKind string

// The kinds of gap.
const (
	// GapPromised means that a pool has fewer instances than promised.
	GapPromised GapKind = "promised"
	// GapSpare means that a spare pool has fewer instances than reserved.
	GapSpare GapKind = "spare"
	// GapExposed means that the loss of a covered failure domain would leave
	// promised instances missing.
	GapExposed GapKind = "exposed"
)

// Gap is a shortfall that remains once the moves are done.
type Gap struct {
	Kind GapKind
	Pool Pool
	// Subject is the failure domain of a GapExposed; Need is then the number of
	// instances that its loss would leave missing.
	Subject string
	Need    int
	Have    int
	Reason  string
}

// Assignment is the result of Assign and AssignFromIndex.
type Assignment struct {
	Moves []Move
	Gaps  []Gap
	// Idle is the number of idle instances once the moves are done: all spare
	// instances, and those that pools have beyond what contracts promise.
	Idle int
}
