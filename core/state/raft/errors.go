package raft

import "fmt"

// Kind classifies an Error.
type Kind int

// The kinds of error.
const (
	// KindNotLeader means that only the leader can perform the operation.
	KindNotLeader Kind = iota
	// KindPending means that the operation may be retried later: another
	// membership change is not committed, the leader has not committed an entry
	// of its own term or is about to resign, or the member to promote has not caught up.
	KindPending
	// KindInvalid means that the request or message contradicts the state of the
	// group.
	KindInvalid
)

var kindNames = [...]string{"not-leader", "pending", "invalid"}

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
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("raft %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failf(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}
