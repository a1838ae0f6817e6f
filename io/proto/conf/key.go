package conf

import (
	"fmt"
	"strconv"
	"strings"

	"camphorridge/core/state/model"
)

// family is the placeholder for a chosen name in a section or key: "pool
// NAME" and "member-NAME" each stand for any number of names.
const family = "NAME"

// Key describes one setting of T. It drives parsing, checking and the
// reference.
type Key[T any] struct {
	// Section and Name may end in the placeholder NAME; at most one of both
	// does.
	Section string
	Name    string
	// Unit is empty for numbers without one and for text.
	Unit string
	// Default is the value used for an absent key. A key without default must
	// be present, families and optional keys excepted.
	Default string
	// Optional says that the key may be absent although it has no default.
	Optional bool
	// Allowed describes the values that set accepts.
	Allowed string
	Meaning string
	// set stores a value, or reports false when the value is not allowed. The
	// name is that of the family member, if any.
	set func(t *T, name, value string) bool
}

// required reports whether an absent key is an error.
func (k Key[T]) required() bool {
	return k.Default == "" && !k.Optional && !strings.HasSuffix(k.Name, family)
}

// matchFamily returns the name that stands in for the placeholder of pattern;
// ok is false when text does not match.
func matchFamily(pattern, text string) (name string, ok bool) {
	prefix, isFamily := strings.CutSuffix(pattern, family)
	if !isFamily {
		return "", pattern == text
	}
	name, ok = strings.CutPrefix(text, prefix)
	return name, ok && model.ValidName(name)
}

type integer interface{ ~int | ~int64 }

// intKey describes a whole number from lo to hi.
func intKey[T any, V integer](section, name, unit, def string, lo, hi V, meaning string, field func(*T) *V) Key[T] {
	return Key[T]{
		Section: section, Name: name, Unit: unit, Default: def, Meaning: meaning,
		Allowed: fmt.Sprintf("%d to %d", lo, hi),
		set: func(t *T, _, value string) bool {
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < int64(lo) || n > int64(hi) {
				return false
			}
			*field(t) = V(n)
			return true
		},
	}
}

// rule is the check of a text value.
type rule struct {
	allowed string
	accepts func(string) bool
}

// textKey describes a text value.
func textKey[T any, V ~string](section, name, def string, r rule, meaning string, field func(*T) *V) Key[T] {
	return Key[T]{
		Section: section, Name: name, Default: def, Meaning: meaning, Allowed: r.allowed,
		set: func(t *T, _, value string) bool {
			if !r.accepts(value) {
				return false
			}
			*field(t) = V(value)
			return true
		},
	}
}

// optional marks a key that may be absent and has no default.
func optional[T any](k Key[T]) Key[T] {
	k.Optional = true
	return k
}
