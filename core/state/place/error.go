package place

import "fmt"

// Kind tells the errors of the package apart.
type Kind string

// The kinds of error.
const (
	// KindImpossible: no worker could ever run the task.
	KindImpossible Kind = "impossible"
	// KindQuota: the task exceeds the whole quota of its team.
	KindQuota Kind = "quota"
	// KindTeam: the team has no contract.
	KindTeam Kind = "team"
	// KindKnown: a task of that name was submitted before.
	KindKnown Kind = "known"
	// KindPlatform: the platform did not carry out an action.
	KindPlatform Kind = "platform"
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
