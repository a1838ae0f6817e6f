package uplink

import (
	"fmt"

	"camphorridge/core/state/clock"
)

// HeaderRequestID carries the identity of a request. An upstream may echo it,
// and the echo is then checked.
const HeaderRequestID = "Camphorridge-Request-Id"

// HeaderOutcome tells callers what became of a request; an upstream sets it to
// OutcomeNotRun when it refused one.
const HeaderOutcome = "Camphorridge-Outcome"

// OutcomeNotRun is the value of HeaderOutcome for requests that did not run.
const OutcomeNotRun = "not-run"

// Kind tells the failures of a request apart.
type Kind int

// The kinds of failure.
const (
	KindNone Kind = iota
	// KindConnect: no connection could be opened.
	KindConnect
	// KindPoolFull: every connection of the share is in use.
	KindPoolFull
	// KindClosed: the connection ended before the response.
	KindClosed
	// KindTimeout: the deadline passed before the response.
	KindTimeout
	// KindCancelled: the caller gave up.
	KindCancelled
	// KindMismatched: the response belongs to another request.
	KindMismatched
	// KindFraming: the response has neither length nor chunks, or is not HTTP.
	KindFraming
	// KindTruncated: the response ended early.
	KindTruncated
)

var kindNames = [...]string{
	"none", "connect", "no free connection", "connection closed", "silent",
	"cancelled", "crossed response", "response without end", "truncated response",
}

// String returns the text for refusals and logs.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

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

// Result tells what is known of a request.
type Result struct {
	// BytesWritten says that a byte of the request may have reached the
	// upstream.
	BytesWritten bool
	// NotRun says that the request did not run: no byte was written, or the
	// upstream itself said so.
	NotRun bool
	// Reused says that the connection had carried a request before.
	Reused bool
	// Kind is the failure; KindNone for a response.
	Kind Kind
}

// Upstream is where a request goes.
type Upstream struct {
	// Name identifies the upstream over its restarts.
	Name string
	// Address is host:port.
	Address string
	// Incarnation changes when the upstream's process starts again; the
	// connections to the earlier process are then closed.
	Incarnation uint64
	// Connections bounds the open connections; at least 1.
	MaxConnections int
	// HealthPath is asked for by probes; empty turns them off.
	HealthPath string
	// Until is the time from which no byte of the request is written; 0 for no
	// such time.
	WriteDeadline clock.Millis
}

// Settings of the connections.
type Settings struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout clock.Millis
	// ProbeAfter is the idle time after which a connection is probed, and
	// Probe bounds the wait for the answer.
	ProbeAfterIdle, ProbeTimeout clock.Millis
	// CloseAfter is the time without a request after which a connection is
	// closed.
	IdleTimeout clock.Millis
	// ResponseHeader bounds the bytes of a response header.
	MaxResponseHeaderBytes int64
}

// Defaults returns the settings of the design page.
func Defaults() Settings {
	return Settings{
		ConnectTimeout:         clock.Second,
		ProbeAfterIdle:         clock.Second,
		ProbeTimeout:           clock.Second,
		IdleTimeout:            10 * clock.Second,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

// Counts are counters; they only grow.
type Counts struct {
	Requests, Opened, Closed, ConnectFailed, TimedOut, Mismatched, Unsolicited, Framing, Probes, ProbesFailed, ClosedAsUnresponsive int64
}
