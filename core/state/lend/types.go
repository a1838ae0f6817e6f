package lend

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Limits on the loans of one process.
const (
	// maxLoansPerResponse is the largest number of loans that one response
	// grants, and maxSlotsPerRequest the largest number of slots that they have
	// together.
	maxLoansPerResponse = 16
	maxSlotsPerRequest  = 64
	// maxLoans is the number of granted loans at which a process grants no more,
	// and the number of held loans at which it requests no more. It also limits
	// the number of borrowers that are remembered because they got nothing.
	maxLoans = 512
)

// ID identifies a loan among those of one run of its borrower. The lowest byte is
// the position of the loan in its response, from 1; the other bytes are the number
// of the request. Position 0 stands for all loans of the request.
type ID uint64

// positionBits is the number of bits for the position of a loan in its
// response.
const positionBits = 8

// requestLoanID returns the ID that stands for all loans of a request.
func requestLoanID(number uint64) ID { return ID(number << positionBits) }

// Loan is the right to use slots of one upstream.
type Loan struct {
	ID       ID
	Instance model.InstanceID
	Pool     model.Pool
	Address  string
	// Incarnation tells two runs of the upstream apart.
	Incarnation uint64
	HealthPath  string
	// Slots is at least 1, and Connections at least Slots.
	Slots       int
	Connections int
}

// LoanRequest asks for new loans in a pool, for the renewal of held loans, or
// for both.
type LoanRequest struct {
	Borrower model.Process
	// Incarnation tells two runs of the borrower apart.
	Incarnation uint64
	// Number numbers the requests of one run of the borrower from 1.
	Number uint64
	// Pool is the pool of the new loans. A request for renewals names the pool of
	// one of the loans in Renew; the others may be of other pools.
	Pool model.Pool
	// Slots is the number of slots requested; 0 requests renewals only.
	Slots int
	Renew []ID
	// MaxRequestTime is the longest time that a request of the borrower lasts.
	MaxRequestTime clock.Millis
}

// LoanResponse is what the lender grants.
type LoanResponse struct {
	// Incarnation tells two runs of the lender apart.
	Incarnation uint64
	// Lease is how long the loans are valid, counted from when the request was
	// sent.
	Lease clock.Millis
	Loans []Loan
	// Renewed lists the loans whose lease starts again. The other loans in the
	// request's Renew list are not renewed: the borrower has to stop using them
	// and return them.
	Renewed []ID
}

// Return gives loans back. No request runs on them any more, and their connections
// are closed.
type Return struct {
	Borrower    model.Process
	Incarnation uint64
	IDs         []ID
}

// Recall asks a process to end the loans that earlier runs of the lender granted
// to it. A lender sends it after each start because it has no record of them.
type Recall struct {
	Lender      model.Process
	Incarnation uint64
}

// MessageKind is the kind of a Message.
type MessageKind int

// The kinds of message.
const (
	// MessageRequest sends a LoanRequest, MessageReturn a Return and
	// MessageRecall a Recall.
	MessageRequest MessageKind = iota
	MessageReturn
	MessageRecall
)

// Message is a message to be sent to another process. The caller passes the
// response, or the lack of one, to HandleResponse or HandleReturnResult, and the
// confirmation of a recall to HandleRecallAck.
type Message struct {
	Kind    MessageKind
	To      model.Process
	Request LoanRequest
	Return  Return
	Recall  Recall
	// CloseConnections names the connections that must be closed before the
	// message is sent.
	CloseConnections []string
}

// Settings are the parameters of a ledger.
type Settings struct {
	Self model.Process
	Zone model.Zone
	// Entries are the configured entry processes of all zones.
	Entries []model.Member
	// Incarnation tells two runs of this process apart.
	Incarnation uint64
	// Lease is the length of a lease; 0 turns lending off. It must not be
	// lowered while loans of an earlier run may be in use.
	Lease clock.Millis
	// MaxRequestTime is the longest time that a request lasts.
	MaxRequestTime clock.Millis
	// ReservePercent is the part of the process's own slots that is never lent.
	// The ledger does not use it; its owner passes it to the router.
	ReservePercent int
}

// Counts are the counters of a ledger. Requested, Refused, Granted, Received and
// Expired only increase.
type Counts struct {
	// Requested is the number of requests for new loans that were sent, and
	// Refused the number of those that brought no loan. Renewals do not count.
	Requested, Refused int64
	// Granted and Received count loans. Expired counts the granted loans that
	// were not returned in time.
	Granted, Received, Expired int64
	// Used is the number of requests that ran on loans. Acquire increments it; a
	// caller that releases the slot without having used it decrements it.
	Used int64
	// LentSlots and HeldSlots are the numbers of slots that are lent and
	// borrowed now.
	LentSlots, HeldSlots int64
}

// LoanDemand is the demand for a pool that has waiting requests whose customers may
// run now.
type LoanDemand struct {
	Pool model.Pool
	Pressure
	// InstancesByZone counts the serving instances of the pool in each zone.
	InstancesByZone map[model.Zone]int
}
