package front

import (
	"context"
	"fmt"

	"camphorridge/core/coord/entry"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/trans/uplink"
)

// The headers that the front end reads and writes.
const (
	HeaderCustomer       = "Camphorridge-Customer"
	HeaderTimeout        = "Camphorridge-Timeout-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = uplink.HeaderOutcome
	HeaderRequestID      = uplink.HeaderRequestID
	HeaderFirstOutcome   = "Camphorridge-First-Outcome"
	HeaderReason         = "Camphorridge-Reason"
)

// The values of HeaderOutcome.
const (
	// OutcomeRan: an upstream ran the request and sent a valid response.
	OutcomeRan = "ran"
	// OutcomeNotRun: the request certainly did not run.
	OutcomeNotRun = uplink.OutcomeNotRun
	// OutcomeUnknown: the request may have run, but no complete, valid response
	// was received.
	OutcomeUnknown = "unknown"
	// OutcomeDuplicate: an earlier request claimed the idempotency key, so this
	// one did not run.
	OutcomeDuplicate = "duplicate"
)

// Kind classifies the errors of the package.
type Kind int

// The kinds of error.
const (
	// KindRequest: the request is malformed or exceeds a size limit.
	KindRequest Kind = iota
	// KindBody: the caller's body could not be read.
	KindBody
	// KindServe: the listener failed, or requests were still in flight at the
	// end of the shutdown timeout.
	KindServe
)

// Error is the error type of the package. Op is the operation that failed, and
// Status is the HTTP status code to send to the caller; 0 for KindServe, which
// concerns no single request.
type Error struct {
	Op     string
	Kind   Kind
	Status int
	Err    error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func newError(op string, k Kind, status int, format string, args ...any) *Error {
	return &Error{Op: op, Kind: k, Status: status, Err: fmt.Errorf(format, args...)}
}

// Dispatcher grants upstream slots to requests or refuses them. The production
// implementation is entry.Dispatcher.
type Dispatcher interface {
	// Acquire waits until the request is granted a slot or refused. If the
	// refusal is nil, Done must be called once for the grant.
	Acquire(ctx context.Context, r entry.Request) (entry.Grant, *entry.Refusal)
	// Done releases a grant and tells the dispatcher the outcome and the
	// duration of the attempt.
	Done(t entry.Ticket, o entry.Outcome, elapsed clock.Millis)
}

// Claimer grants the exclusive right to run a request with an idempotency key.
type Claimer interface {
	// Claim claims key for the request with the given token and returns
	// whether the request may run. After an error the claim may or may not
	// have been granted.
	Claim(ctx context.Context, key model.ClaimKey, token string) (model.ClaimAnswer, error)
	// Finish records the outcome of a claimed request, or releases the claim
	// if the request did not run. It must not block.
	Finish(o model.ClaimOutcome)
}

// Settings configures the front end.
type Settings struct {
	Self model.Process
	// DefaultTimeout applies to requests without HeaderTimeout. A value of the
	// header above MaxTimeout is reduced to MaxTimeout.
	DefaultTimeout, MaxTimeout clock.Millis
	// BufferBytes is the size of the buffer for a request or response body.
	// Smaller bodies are buffered whole; larger ones are streamed.
	BufferBytes int
	// MaxBodyBytes and MaxHeaderBytes bound the body and the header of a
	// request.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// BodyReadTimeout bounds the reading of the part of a request body that is
	// buffered: the first BufferBytes bytes.
	BodyReadTimeout clock.Millis
	// MaxAttempts bounds the attempts to send one request, including the
	// first.
	MaxAttempts int
}

// Defaults returns the default settings of the process self.
func Defaults(self model.Process) Settings {
	return Settings{
		Self:            self,
		DefaultTimeout:  5 * clock.Second,
		MaxTimeout:      clock.Minute,
		BufferBytes:     64 << 10,
		MaxBodyBytes:    64 << 20,
		MaxHeaderBytes:  32 << 10,
		BodyReadTimeout: 10 * clock.Second,
		MaxAttempts:     3,
	}
}

// Counts holds the counters of the front end; they never decrease. Ran, NotRun,
// Unknown and Duplicate count requests by outcome. Aborted counts the requests
// whose streamed response could not be forwarded to its end; they are also
// included in Unknown. Retries counts retries, including those that the
// dispatcher refuses.
type Counts struct {
	Ran, NotRun, Unknown, Duplicate, Aborted, Retries int64
}
