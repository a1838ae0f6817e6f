package plan

import "camphorridge/core/state/model"

// Settings are the choices of an operator that concern assignments.
type Settings struct {
	// BorrowReserve lets a customer's repair use spare instances that are reserved
	// for other customers of the same spare pool.
	BorrowReserve bool
	// MaxExchangeMoves bounds the moves of one decision that only lower the
	// exposure to a loss. Each of them is a disruption of its own.
	MaxExchangeMoves int
}

// Extra asks for instances beyond what contracts promise, at the expense of
// another pool.
type Extra struct {
	Pool  Pool
	From  Pool
	Count int
}

// Pool is short for the name of a pool.
type Pool = model.Pool

// Input is the state that an assignment depends on.
type Input struct {
	Instances []model.Instance
	// Lost holds the instances that are out of service without a plan.
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

// GapKind tells apart what an assignment could not reach.
type GapKind string

// The kinds of gap.
const (
	// GapPromised: a pool holds fewer instances than promised.
	GapPromised GapKind = "promised"
	// GapSpare: a spare pool holds fewer than reserved.
	GapSpare GapKind = "spare"
	// GapExposed: the loss of a covered failure domain would leave promised
	// instances missing.
	GapExposed GapKind = "exposed"
)

// Gap is what is missing once the moves are done.
type Gap struct {
	Kind GapKind
	Pool Pool
	// Subject names the failure domain of an exposure.
	Subject string
	Need    int
	Have    int
	Reason  string
}

// Assignment is the outcome of Assign.
type Assignment struct {
	Moves []Move
	Gaps  []Gap
	// Idle is the number of instances beyond what pools promise, once the
	// moves are done: the buffer that is paid for.
	Idle int
}
