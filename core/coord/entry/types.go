package entry

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
	"camphorridge/core/state/route"
)

// Kind tells the errors of the package apart.
type Kind int

// The kinds of error.
const (
	// KindStopped: the duty has ended.
	KindStopped Kind = iota
	// KindVersion: the delta is older than the table or does not follow on it.
	KindVersion
	// KindAnnounce: the announcement was refused; Err is a *member.Error.
	KindAnnounce
)

// Error is an error of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the reason.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }

func fail(op string, k Kind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: k, Err: fmt.Errorf(format, args...)}
}

// Settings of a dispatcher.
type Settings struct {
	Self model.Process
	Zone model.Zone
	// Entries are the configured entry processes of all zones, this one
	// included.
	Entries []model.Member
	// RingSize is the number of messages that may wait; 0 means DefaultRing.
	RingSize int
	// Lease is the lease of an announcement; 0 means member.DefaultLease.
	Lease clock.Millis
	// Events receives the events of the time line; nil drops them.
	Events *ring.Ring[model.Event]
	// Lending says how slots are lent; its zero value turns that off. Orders
	// receives the messages to other entry processes and is needed otherwise.
	Lending      lend.Settings
	LoanMessages *ring.Ring[lend.Message]
}

// Request asks for the right to send one request to an upstream.
type Request struct {
	Customer model.Customer
	Pool     model.Pool
	Deadline clock.Millis
	ID       string
	// Retry says that an earlier try was proven not to have run; it is paid
	// from the customer's retry budget.
	Retry bool
	// Avoid is the instance of the earlier try; it is taken only when no other
	// has room.
	Avoid model.InstanceID
}

// Ticket identifies a grant until its Done.
type Ticket uint64

// Upstream is where a granted request goes.
type Upstream struct {
	Instance    model.InstanceID
	Address     string
	Incarnation uint64
	HealthPath  string
	// Connections is this process's share; at least 1.
	Connections int
	// LoanName names the loan that the slot belongs to; empty for the own share.
	// The connections of each loan are apart from all others.
	LoanName string
	// WriteDeadline is the time from which no byte of the request may be written; 0 for
	// a slot of the own share.
	WriteDeadline clock.Millis
}

// Grant is the right to send one request. Its holder must call Done once.
type Grant struct {
	Ticket   Ticket
	Upstream Upstream
}

// RefusalKind tells the refusals apart. No refused request has run.
type RefusalKind int

// The kinds of refusal.
const (
	// RefusalNoContract: no contract of the customer covers the service.
	RefusalNoContract RefusalKind = iota
	// RefusalLimit: a limit of the contract is reached.
	RefusalLimit
	// RefusalDeadline: the request cannot end in time.
	RefusalDeadline
	// RefusalCapacity: no upstream of the pool is available here.
	RefusalCapacity
	// RefusalNotReady: this process has no valid table.
	RefusalNotReady
	// RefusalBusy: the ring of the dispatcher is full.
	RefusalBusy
	// RefusalCancelled: the caller gave up.
	RefusalCancelled
)

// Refusal says why a request was not run.
type Refusal struct {
	Kind   RefusalKind
	Reason string
	// RetryAfter is the time after which a retry is reasonable; 0 for never.
	RetryAfter clock.Millis
}

// Outcome is how a granted request ended.
type Outcome = route.Outcome

// The outcomes, as in package route.
const (
	OutcomeOK        = route.OutcomeOK
	OutcomeError     = route.OutcomeError
	OutcomeUnknown   = route.OutcomeUnknown
	OutcomeTimeout   = route.OutcomeTimeout
	OutcomeConnect   = route.OutcomeConnect
	OutcomeBusy      = route.OutcomeBusy
	OutcomeCancelled = route.OutcomeCancelled
)

// Counts are the counters of a dispatcher; they only grow.
type Counts struct {
	Requests, Grants, Queued, Refused, Cancelled, Expired, Completed, UnknownTickets, Retries int64
	// RingRefused is the number of asks that the full ring turned away.
	RingRefused int64
	// Ejections is the number of ejections of upstreams.
	Ejections int64
}

// CustomerStatus is the state of one customer in this process.
type CustomerStatus struct {
	Customer                  model.Customer
	InFlightLimit, QueueLimit int
	Running, Waiting          int
	RetryTokens               float64
	RetryPercent, Weight      int
}

// Status is a copy of the dispatcher's state.
type Status struct {
	Version   model.Version
	Drained   model.Version
	Ready     bool
	Pauses    int
	Counts    Counts
	Customers []CustomerStatus
	Upstreams []route.Upstream
	Loans     lend.Counts
}
