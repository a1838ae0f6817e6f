package member

import "fmt"

// Kind is the kind of reason for which an announcement is refused.
type Kind int

// The kinds of refusal.
const (
	// KindInvalid: a field is missing or out of range.
	KindInvalid Kind = iota
	// KindZone: the announcement belongs to another zone.
	KindZone
	// KindIncarnation: a higher incarnation of the instance was announced before.
	KindIncarnation
	// KindPool: another pool was announced under the same incarnation.
	KindPool
	// KindAddress: another address was announced under the same incarnation,
	// or the address is in use by another instance.
	KindAddress
	// KindStale: the age of the announcement is negative or not below the lease, or
	// the instance is recorded as leaving under the same incarnation.
	KindStale
)

// Error describes why an announcement was refused.
type Error struct {
	// Op is the operation that failed: "announce".
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the reason.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }

func refusal(k Kind, format string, args ...any) *Error {
	return &Error{Op: "announce", Kind: k, Err: fmt.Errorf(format, args...)}
}
