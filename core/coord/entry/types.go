package entry

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
	"camphorridge/core/state/route"
)

// Kind is the kind of an Error.
type Kind int

// The kinds of error.
const (
	// KindStopped means that the dispatcher has stopped.
	KindStopped Kind = iota
	// KindVersion means that the delta would lower the version of the table or
	// doesn't start at it.
	KindVersion
	// KindAnnounce means that the announcement was refused; Err is a *member.Error.
	KindAnnounce
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func fail(op string, k Kind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: k, Err: fmt.Errorf(format, args...)}
}

// Settings holds the settings of a dispatcher.
type Settings struct {
	Self model.Process
	Zone model.Zone
	// Entries lists the configured entry processes of all zones, including this
	// one.
	Entries []model.Member
	// RingSize is the number of messages that can wait; 0 means DefaultRingSize.
	RingSize int
	// Lease is the lease of an announcement; 0 means member.DefaultLease.
	Lease clock.Millis
	// Events receives events for the event log; when it is nil, events are dropped.
	Events *ring.Ring[model.Event]
	// Lending configures the lending of slots; the zero value disables it.
	Lending lend.Settings
	// LoanMessages receives the messages to other entry processes. It is required
	// when lending is enabled.
	LoanMessages *ring.Ring[lend.Message]
}

// Request describes a request that needs a grant.
type Request struct {
	Customer model.Customer
	Pool     model.Pool
	// Deadline is the time on the dispatcher's clock by which the request must have
	// ended.
	Deadline clock.Millis
	ID       string
	// Retry is set when an earlier attempt was proven not to have run. A retry
	// uses the customer's retry budget.
	Retry bool
	// Avoid is the instance of the earlier attempt. The order of preference is: a slot
	// of another instance in this process's own share, a slot of Avoid in the own
	// share, a loan of another instance. A loan of Avoid is not used. A request that
	// had to wait in the queue gets any slot: Avoid has no effect on it.
	Avoid model.InstanceID
}

// Ticket identifies a grant until Done is called for it.
type Ticket uint64

// Upstream is the destination of a granted request.
type Upstream struct {
	Instance    model.InstanceID
	Address     string
	Incarnation uint64
	HealthPath  string
	// Connections is this process's share of the upstream's connections; at least 1.
	Connections int
	// ConnectionName is the name of the connections of the loan that the slot belongs
	// to; empty for a slot of this process's own share. Each loan has connections of
	// its own.
	ConnectionName string
	// WriteDeadline is the time from which no byte of the request may be written; 0
	// means no limit and is set for a slot of this process's own share.
	WriteDeadline clock.Millis
}

// Grant is the right to send one request. Its holder must call Done once.
type Grant struct {
	Ticket   Ticket
	Upstream Upstream
}

// RefusalKind is the kind of a Refusal. No refused request has run.
type RefusalKind int

// The kinds of refusal.
const (
	// RefusalNoContract means that no contract of the customer covers the pool.
	RefusalNoContract RefusalKind = iota
	// RefusalLimit means that a limit of the contract is reached.
	RefusalLimit
	// RefusalDeadline means that the request can't finish before its deadline.
	RefusalDeadline
	// RefusalCapacity means that no upstream of the pool is available, or that this
	// process has no share of the pool's slots or of the contract's concurrency.
	RefusalCapacity
	// RefusalNotReady means that this process has no confirmed table, or is
	// stopping.
	RefusalNotReady
	// RefusalBusy means that the ring of the dispatcher is full.
	RefusalBusy
	// RefusalCancelled means that the caller's context was cancelled.
	RefusalCancelled
)

// Refusal is the reason why a request was not granted.
type Refusal struct {
	Kind   RefusalKind
	Reason string
	// RetryAfter is the delay after which a retry is reasonable; 0 for never.
	RetryAfter clock.Millis
}

// Outcome says how a granted request ended.
type Outcome = route.Outcome

// The outcomes; see package route for their meaning.
const (
	OutcomeOK        = route.OutcomeOK
	OutcomeError     = route.OutcomeError
	OutcomeUnknown   = route.OutcomeUnknown
	OutcomeTimeout   = route.OutcomeTimeout
	OutcomeConnect   = route.OutcomeConnect
	OutcomeBusy      = route.OutcomeBusy
	OutcomeCancelled = route.OutcomeCancelled
)

// Counts holds the counters of a dispatcher; they only grow.
type Counts struct {
	Requests, Grants, Queued, Refused, Cancelled, Expired, Completed, UnknownTickets, Retries int64
	// RingRefused counts the requests that were refused because the ring was full.
	RingRefused int64
	// Ejections counts the ejections of upstreams.
	Ejections int64
}

// CustomerStatus holds the limits of one customer in this process and their use.
type CustomerStatus struct {
	Customer                  model.Customer
	InFlightLimit, QueueLimit int
	Running, Waiting          int
	RetryTokens               float64
	RetryPercent, Weight      int
}

// Status is a copy of the dispatcher's state.
type Status struct {
	Version model.Version
	// DrainedVersion is as Dispatcher.DrainedVersion returns it.
	DrainedVersion model.Version
	Ready          bool
	// Pauses counts the detected pauses of this process.
	Pauses    int
	Counts    Counts
	Customers []CustomerStatus
	Upstreams []route.Upstream
	Loans     lend.Counts
}
