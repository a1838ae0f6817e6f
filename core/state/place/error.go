package place

import "fmt"

// Kind classifies the errors of the package.
type Kind string

// The kinds of error.
const (
	// KindImpossible means that no worker is large enough for the task.
	KindImpossible Kind = "impossible"
	// KindQuota means that the task needs more than the whole quota of its
	// customer.
	KindQuota Kind = "quota"
	// KindNoContract means that the customer has no contract.
	KindNoContract Kind = "team"
	// KindDuplicate means that a task with the same name was submitted before.
	KindDuplicate Kind = "known"
	// KindPlatform means that the platform did not carry out an action.
	KindPlatform Kind = "platform"
)

// Error is the error type of the package: the failed operation, the kind of
// error and its cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
