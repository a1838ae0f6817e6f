package front

import (
	"context"
	"fmt"

	"camphorridge/core/coord/entry"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/trans/uplink"
)

// The headers of the front end.
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
	OutcomeRan       = "ran"
	OutcomeNotRun    = uplink.OutcomeNotRun
	OutcomeUnknown   = "unknown"
	OutcomeDuplicate = "duplicate"
)

// Kind tells the errors of the package apart.
type Kind int

// The kinds of error.
const (
	// KindRequest: the request is malformed or beyond a bound.
	KindRequest Kind = iota
	// KindBody: the caller's body could not be read.
	KindBody
	// KindServe: the listener failed, or in-flight requests outlasted the
	// bound of a shutdown.
	KindServe
)

// Error is an error of the package. Status is the HTTP status for the caller.
type Error struct {
	Op     string
	Kind   Kind
	Status int
	Err    error
}

// Error returns the operation and the reason.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }

func fail(op string, k Kind, status int, format string, args ...any) *Error {
	return &Error{Op: op, Kind: k, Status: status, Err: fmt.Errorf(format, args...)}
}

// Dispatcher grants and refuses requests; entry.Dispatcher is the real one.
type Dispatcher interface {
	Ask(ctx context.Context, r entry.Request) (entry.Grant, *entry.Refusal)
	Done(t entry.Ticket, o entry.Outcome, elapsed clock.Millis)
}

// Claimer grants the sole right to run a request with an idempotency key.
type Claimer interface {
	// Claim returns whether the attempt with this token may run. After an
	// error the claim may or may not be held.
	Claim(ctx context.Context, key model.ClaimKey, token string) (model.ClaimAnswer, error)
	// Finish records the outcome, or releases the claim. It must not wait.
	Finish(o model.ClaimOutcome)
}

// Settings of the front end.
type Settings struct {
	Self model.Process
	// Timeout is the default of HeaderTimeout and MaxTimeout its bound.
	DefaultTimeout, MaxTimeout clock.Millis
	// Buffer is the size up to which bodies are held as a whole, both ways.
	BufferBytes int
	// MaxBody bounds the body of a request, and MaxHeader its header.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// Body bounds the reading of the buffered part of a request.
	BodyReadTimeout clock.Millis
	// Tries bounds the tries of one request, the first included.
	MaxAttempts int
}

// Defaults returns the settings of the design page.
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

// Counts are the counters of the front end; they only grow.
type Counts struct {
	Ran, NotRun, Unknown, Duplicate, Aborted, Retries int64
}
