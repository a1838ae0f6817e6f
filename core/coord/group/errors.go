package group

import (
	"fmt"

	"camphorridge/core/state/raft"
)

// Kind classifies an Error.
type Kind int

// The kinds of error.
const (
	// KindNotLeader means that only the leader can perform the operation, or that
	// this member lost the leadership or stopped while a read waited for its
	// confirmation; nothing was done.
	KindNotLeader Kind = iota
	// KindBusy means that the ring or the list of pending proposals or reads is
	// full; nothing was done.
	KindBusy
	// KindDisk means that this member's writes fail, or that it can't decode a
	// snapshot from the leader; nothing was done.
	KindDisk
	// KindPending means that another membership change is in progress, or that
	// the leader has not committed an entry of its own term yet or is about to resign;
	// nothing was done and the request may be retried.
	KindPending
	// KindInvalid means that the request contradicts the state of the group;
	// nothing was done.
	KindInvalid
	// KindStopped means that the event loop has ended; nothing was done.
	KindStopped
	// KindCanceled means that the caller's context ended, or the event loop ended
	// without an answer, before the operation was complete. It is used only for
	// operations that change nothing. When the member stops, reads that wait for
	// their confirmation are answered with KindNotLeader, and inputs that are still
	// queued with KindStopped.
	KindCanceled
	// KindOutcomeUnknown means that the change may have been applied or may
	// still be applied. A resend with the same request ID returns the result.
	KindOutcomeUnknown
	// KindCorrupt means that stored or replicated data cannot be decoded.
	KindCorrupt
	// KindTooLarge means that the encoded change exceeds Config.MaxChangeBytes;
	// nothing was done.
	KindTooLarge
)

var kindNames = [...]string{
	"not-leader", "busy", "disk", "pending", "invalid", "stopped", "canceled", "outcome-unknown", "corrupt",
	"too-large",
}

// String returns the name of the kind as used in reports.
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
	// Leader is set if Kind is KindNotLeader: the request should be sent to this
	// member instead. Its ID is 0 if no leader is known.
	Leader raft.Member
	Err    error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("group %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failf(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}
