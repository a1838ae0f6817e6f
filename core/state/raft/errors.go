package raft

import "fmt"

// Kind tells errors apart.
type Kind int

// The kinds of error.
const (
	// KindNotLeader: only the leader can do this.
	KindNotLeader Kind = iota
	// KindPending: another membership change has not been committed yet, or
	// the leader has not committed an entry of its own term.
	KindPending
	// KindInvalid: the request contradicts the state of the group.
	KindInvalid
)

var kindNames = [...]string{"not-leader", "pending", "invalid"}

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
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("raft %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failf(op string, kind Kind, format string, args ...any) error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}
