package uplink

import (
	"fmt"

	"camphorridge/core/state/clock"
)

// HeaderRequestID is the header that carries the ID of a request. If an upstream
// echoes it in its response, the echoed ID is checked.
const HeaderRequestID = "Camphorridge-Request-Id"

// HeaderOutcome is the header that tells callers the outcome of a request. An
// upstream sets it to OutcomeNotRun when it refuses a request.
const HeaderOutcome = "Camphorridge-Outcome"

// OutcomeNotRun is the value of HeaderOutcome for a request that did not run.
const OutcomeNotRun = "not-run"

// Kind classifies the failure of a request.
type Kind int

// The kinds of failure.
const (
	// KindNone: there is a response.
	KindNone Kind = iota
	// KindConnect: no connection could be opened.
	KindConnect
	// KindNoFreeConnection: the upstream's connections are all in use.
	KindNoFreeConnection
	// KindClosed: no valid response header arrived on the connection, or the
	// WriteDeadline had passed.
	KindClosed
	// KindTimeout: the deadline of the request passed after a connection was
	// acquired and before the response was complete.
	KindTimeout
	// KindCancelled: the caller cancelled the request, or its deadline passed
	// before a connection was acquired.
	KindCancelled
	// KindMismatched: the response belongs to another request.
	KindMismatched
	// KindFraming: the response has neither a Content-Length nor a chunked
	// encoding, or it is not a final response: its status code is below 200.
	KindFraming
	// KindTruncated: the connection failed or was closed before the end of the
	// response body.
	KindTruncated
)

// kindNames holds the texts of the kinds. Callers get them in reasons, so they
// stay the same.
var kindNames = [...]string{
	"none", "connect", "no free connection", "connection closed", "silent",
	"cancelled", "crossed response", "response without end", "truncated response",
}

// String returns the text of k, for the reasons that callers get.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Error is the error type of the package. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func newError(op string, k Kind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: k, Err: fmt.Errorf(format, args...)}
}

// Result is what is known about a request after the attempt to send it.
type Result struct {
	// BytesWritten is true if a byte of the request may have reached the
	// upstream.
	BytesWritten bool
	// NotRun is true if the request certainly did not run: no byte of it was
	// written, or the upstream answered with OutcomeNotRun.
	NotRun bool
	// Reused is true if the connection had carried an earlier request.
	Reused bool
	// Kind classifies the failure; KindNone if there is a response.
	Kind Kind
}

// Upstream is the destination of a request.
type Upstream struct {
	// Name identifies the upstream; it stays the same across restarts.
	Name string
	// Address is host:port.
	Address string
	// Incarnation increases when the upstream's process restarts; the
	// connections to the earlier process are then closed.
	Incarnation uint64
	// MaxConnections bounds the number of open connections; at least 1.
	MaxConnections int
	// HealthPath is the path that probes request; empty disables probes.
	HealthPath string
	// WriteDeadline is the time from which on no byte of the request is
	// written; 0 for no deadline.
	WriteDeadline clock.Millis
}

// Settings configures the connections.
type Settings struct {
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout clock.Millis
	// ProbeAfterIdle is the time since its last response after which an idle
	// connection is probed. ProbeTimeout bounds the duration of the probe.
	ProbeAfterIdle, ProbeTimeout clock.Millis
	// IdleTimeout is the time since its last request after which an idle
	// connection is closed.
	IdleTimeout clock.Millis
	// MaxResponseHeaderBytes bounds the header of a response, and the body of
	// the response to a probe.
	MaxResponseHeaderBytes int64
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		ConnectTimeout:         clock.Second,
		ProbeAfterIdle:         clock.Second,
		ProbeTimeout:           clock.Second,
		IdleTimeout:            10 * clock.Second,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// Counts holds the counters of a Client; they never decrease. TimedOut counts
// the requests that were written but had no complete response at their deadline.
// Mismatched and Framing count the responses that were not forwarded; see
// KindMismatched and KindFraming. Unsolicited counts the connections closed
// because bytes arrived while no response was expected. ClosedAsUnresponsive
// counts the idle connections closed because a request on another connection
// timed out or a probe of another connection failed.
type Counts struct {
	Requests, Opened, Closed, ConnectFailed, TimedOut, Mismatched, Unsolicited, Framing, Probes, ProbesFailed, ClosedAsUnresponsive int64
}
