package intake

import (
	"errors"
	"fmt"
	"net/http"
)

// Kind classifies the errors of the package. It is also the index of a counter.
type Kind int

// The kinds of error.
const (
	// KindBudget means that too many bytes of other requests are not yet handled.
	KindBudget Kind = iota
	// KindTooLarge means that a body exceeds its limit.
	KindTooLarge
	// KindTooSlow means that a body made no progress, or took too long in all.
	KindTooSlow
	// KindFragmented means that the chunks of a body are too small.
	KindFragmented
	// KindDecoding means that too much memory is in use for decoding other requests.
	KindDecoding
	// KindConnections means that too many connections are open.
	KindConnections
	// KindIdle means that an idle connection was closed in favour of a new one.
	KindIdle
	// KindWrite means that a client did not read its response in time.
	KindWrite
	// KindBody means that a body could not be read for another reason.
	KindBody
	kindCount
)

// names holds the names of the counters and log lines of the kinds.
var names = [kindCount]string{
	"bodies-refused-budget", "bodies-refused-size", "bodies-too-slow", "bodies-fragmented", "decoding-refused",
	"connections-refused", "idle-connections-closed", "responses-not-read", "bodies-unreadable",
}

func (k Kind) String() string { return names[k] }

// Error is the error type of the package. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Status returns the HTTP status of a response that refuses the request.
func (e *Error) Status() int {
	switch e.Kind {
	case KindBudget, KindDecoding, KindConnections:
		return http.StatusServiceUnavailable
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case KindTooSlow:
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

func newError(k Kind, format string, args ...any) *Error {
	return &Error{Op: "read body", Kind: k, Err: fmt.Errorf(format, args...)}
}

// asError returns err as an *Error; an error of another package is of KindBody.
func asError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return newError(KindBody, "%w", err)
}
