package group

import (
	"fmt"

	"camphorridge/core/state/raft"
)

// Kind tells errors apart.
type Kind int

// The kinds of error.
const (
	// KindNotLeader: only the leader can do this; nothing was done.
	KindNotLeader Kind = iota
	// KindBusy: the ring or the list of waiting proposals is full; nothing was
	// done.
	KindBusy
	// KindDisk: this member's disk fails; nothing was done.
	KindDisk
	// KindPending: another membership change is under way; nothing was done.
	KindPending
	// KindInvalid: the request contradicts the state of the group; nothing was
	// done.
	KindInvalid
	// KindStopped: the duty has ended; nothing was done.
	KindStopped
	// KindCanceled: the caller's context ended before a read or a query.
	KindCanceled
	// KindOutcomeUnknown: the change may have been applied or may still be. A resend
	// with the same request identity tells.
	KindOutcomeUnknown
	// KindCorrupt: stored or replicated data cannot be decoded.
	KindCorrupt
)

var kindNames = [...]string{
	"not-leader", "busy", "disk", "pending", "invalid", "stopped", "canceled", "outcome-unknown", "corrupt",
}

// String returns the name used in reports.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	// Leader is where to send the request instead, with KindNotLeader; its ID
	// is 0 when no leader is known.
	Leader raft.Member
	Err    error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("group %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failf(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}
