package codec

import "strings"

// text prepares a string for the wire. Protobuf refuses a string that is not
// UTF-8, and an encoder must not fail: such bytes become the replacement
// character. Idempotency keys, which callers choose, travel as bytes instead.
func text[S ~string](s S) string {
	return strings.ToValidUTF8(string(s), "\uFFFD")
}

// list maps every item; the result is nil for no items.
func list[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, 0, len(in))
	for _, a := range in {
		out = append(out, f(a))
	}
	return out
}

// listFrom maps every item and stops at the first error.
func listFrom[A, B any](in []A, f func(A) (B, error)) ([]B, error) {
	if len(in) == 0 {
		return nil, nil
	}
	out := make([]B, 0, len(in))
	for _, a := range in {
		b, err := f(a)
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}
