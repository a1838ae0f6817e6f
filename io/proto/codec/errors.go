package codec

import "fmt"

// Kind is the reason why a message was rejected.
type Kind int

// Reasons for rejecting a message.
const (
	// KindEncoding: the bytes are not a message of the expected type.
	KindEncoding Kind = iota
	// KindMissing: a required field is empty.
	KindMissing
	// KindRange: a field holds a value that its enumeration does not define, a
	// number outside of its limits, or a value that contradicts another field.
	KindRange
)

var kindNames = [...]string{"encoding", "missing field", "value out of range"}

// String returns the name of the kind as it appears in error messages.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Error is the error type that every decoder of the package returns.
type Error struct {
	// Op names the type of message that was being decoded.
	Op   string
	Kind Kind
	Err  error
}

// Error returns the name of the message, the reason and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("codec: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// required returns an error if a field is empty. fields holds the name and the value
// of each field in turn.
func required(op string, fields ...string) error {
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i+1] == "" {
			return &Error{Op: op, Kind: KindMissing, Err: fmt.Errorf("required field %s is empty", fields[i])}
		}
	}
	return nil
}

// enumFromWire converts a number to a value of an enumeration that defines the
// values 0 to last. It returns an error for any other number, such as a value that
// only a newer release defines.
func enumFromWire[E ~int | ~uint8](op, field string, n int32, last E) (E, error) {
	if n < 0 || int64(n) > int64(last) {
		return 0, &Error{Op: op, Kind: KindRange, Err: fmt.Errorf("%s is %d; allowed: 0 to %d", field, n, last)}
	}
	return E(n), nil
}
