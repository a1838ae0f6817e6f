package codec

import "strings"

// validUTF8 returns s with each run of invalid UTF-8 replaced by U+FFFD: protobuf
// rejects strings that are not UTF-8, and encoding must not fail. Idempotency
// keys, job specifications and checkpoints, which need not be UTF-8, are sent as
// bytes instead.
func validUTF8[S ~string](s S) string {
	return strings.ToValidUTF8(string(s), "\uFFFD")
}

// mapAll applies f to every item. It returns nil if there are no items.
func mapAll[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, 0, len(in))
	for _, a := range in {
		out = append(out, f(a))
	}
	return out
}

// tryMapAll applies f to every item and returns the first error. It returns nil
// if there are no items.
func tryMapAll[A, B any](in []A, f func(A) (B, error)) ([]B, error) {
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
