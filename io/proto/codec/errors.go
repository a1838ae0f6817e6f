package codec

import "fmt"

// Kind tells the reasons of a refused message apart.
type Kind int

// The kinds of error.
const (
	// KindEncoding: the bytes are not a message of the expected type.
	KindEncoding Kind = iota
	// KindMissing: a required field is empty.
	KindMissing
	// KindRange: a field holds a value that its type does not define.
	KindRange
)

var kindNames = [...]string{"encoding", "missing field", "value out of range"}

// String returns the name used in messages.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Error is returned by every decoder.
type Error struct {
	// Op names the message that was decoded.
	Op   string
	Kind Kind
	Err  error
}

// Error returns the message, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("codec: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// required returns an error when one of the fields is empty. fields holds
// pairs of a field's name and its value.
func required(op string, fields ...string) error {
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i+1] == "" {
			return &Error{Op: op, Kind: KindMissing, Err: fmt.Errorf("%s is empty", fields[i])}
		}
	}
	return nil
}

// enum converts a number from the wire to an enumeration whose last value is
// last.
func enum[E ~int | ~uint8](op, field string, n int32, last E) (E, error) {
	if n < 0 || int64(n) > int64(last) {
		return 0, &Error{Op: op, Kind: KindRange, Err: fmt.Errorf("%s is %d, at most %d is defined", field, n, last)}
	}
	return E(n), nil
}
