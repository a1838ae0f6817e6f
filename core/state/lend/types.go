package lend

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Bounds of one process's loans.
const (
	// maxParts bounds the loans that one ask is answered with, and maxSlots
	// their slots.
	maxParts = 16
	maxSlots = 64
	// maxLoans bounds the loans that a process has given, and those it holds.
	maxLoans = 512
)

// ID names a loan within its borrower: the number of the ask, and in the
// lowest byte the place among the loans of the answer, from 1. The place 0
// stands for all loans of the ask.
type ID uint64

const partBits = 8

func askID(number uint64) ID { return ID(number << partBits) }

// Loan is the right to use slots of one upstream.
type Loan struct {
	ID          ID
	Instance    model.InstanceID
	Pool        model.Pool
	Address     string
	Incarnation uint64
	HealthPath  string
	// Slots is at least 1, and Connections at least Slots.
	Slots       int
	Connections int
}

// LoanRequest asks for new loans in a pool, for the renewal of held ones, or both.
type LoanRequest struct {
	Borrower model.Process
	// Incarnation tells two runs of the borrower apart.
	Incarnation uint64
	Number      uint64
	Pool        model.Pool
	// Slots is the number wanted; 0 asks for renewals only.
	Slots int
	Renew []ID
	// MaxRequestTime is the longest time that a request of the borrower lasts.
	MaxRequestTime clock.Millis
}

// LoanResponse is what the lender grants.
type LoanResponse struct {
	// Incarnation tells two runs of the lender apart.
	Incarnation uint64
	// Lease is how long the loans hold from the time of the ask.
	Lease clock.Millis
	Loans []Loan
	// Renewed lists the loans whose lease starts anew; the others have ended.
	Renewed []ID
}

// Return gives loans back. No request uses them and their connections are
// closed.
type Return struct {
	Borrower    model.Process
	Incarnation uint64
	IDs         []ID
}

// Recall is sent by a lender that has started and knows no loans of the run
// before it.
type Recall struct {
	Lender      model.Process
	Incarnation uint64
}

// MessageKind tells the orders apart.
type MessageKind int

// The kinds of order.
const (
	MessageRequest MessageKind = iota
	MessageReturn
	MessageRecall
)

// Message is a message that the ledger wants to be sent. Its result is told by
// Answered, Returned or Acknowledged.
type Message struct {
	Kind    MessageKind
	To      model.Process
	Request LoanRequest
	Return  Return
	Recall  Recall
	// CloseConnections names the connections to be closed before the message is sent.
	CloseConnections []string
}

// Settings of a ledger.
type Settings struct {
	Self model.Process
	Zone model.Zone
	// Entries are the configured entry processes of all zones.
	Entries []model.Member
	// Incarnation tells two runs of this process apart.
	Incarnation uint64
	// Lease is the length of a lease; 0 turns lending off. It must not be
	// lowered while loans of a run before are out.
	Lease clock.Millis
	// MaxRequestTime is the longest time that a request lasts.
	MaxRequestTime clock.Millis
	// ReservePercent is the part of the own slots that is never lent.
	ReservePercent int
}

// Counts are the counters of a ledger; all but Lent and Held only grow.
type Counts struct {
	// Requested is the number of asks sent, Refused those that brought no loan.
	Requested, Refused int64
	// Granted and Received are loans, Expired those given that were not returned.
	Granted, Received, Expired int64
	// Used is the number of requests that ran on loans.
	Used int64
	// LentSlots and HeldSlots are slots at present.
	LentSlots, HeldSlots int64
}

// PoolDemand is a pool with waiters that may run.
type PoolDemand struct {
	Pool model.Pool
	Pressure
	// InstancesByZone counts the serving instances of the pool in each zone.
	InstancesByZone map[model.Zone]int
}
