package conf

import (
	"fmt"
	"strconv"
	"strings"

	"camphorridge/core/state/model"
)

// namePlaceholder stands for a name that the author of the file chooses: the
// section "pool NAME" and the key "member-NAME" match any valid name, and a file
// may have any number of them.
const namePlaceholder = "NAME"

// Key describes one key of a file that is parsed into T. Parsing, checking and the
// reference page use it.
type Key[T any] struct {
	// Section and Name are the names of the section and of the key. One of them, but
	// not both, may end in the placeholder NAME.
	Section string
	Name    string
	// Unit is empty for numbers without a unit and for text.
	Unit string
	// Default is the value used for an absent key. A key without a default must be
	// present, unless its name ends in the placeholder or it is optional.
	Default string
	// Optional is set if the key may be absent although it has no default.
	Optional bool
	// Allowed describes the values that set accepts, for errors and for the reference
	// page.
	Allowed string
	// Meaning describes the setting on the reference page.
	Meaning string
	// set stores the value in t and reports whether the value is allowed. It may also
	// store a value that is not allowed, because the file is rejected then. name is the
	// text in place of the placeholder; it is empty if there is no placeholder.
	set func(t *T, name, value string) bool
}

// required reports whether an absent key is an error.
func (k Key[T]) required() bool {
	return k.Default == "" && !k.Optional && !strings.HasSuffix(k.Name, namePlaceholder)
}

// matchPlaceholder matches text against pattern and returns the name in place of
// the placeholder; name is empty if pattern has no placeholder. ok is false if text
// does not match or the name is not valid.
func matchPlaceholder(pattern, text string) (name string, ok bool) {
	prefix, hasPlaceholder := strings.CutSuffix(pattern, namePlaceholder)
	if !hasPlaceholder {
		return "", pattern == text
	}
	name, ok = strings.CutPrefix(text, prefix)
	return name, ok && model.ValidName(name)
}

// integer is the constraint for the types of numeric settings.
type integer interface{ ~int | ~int64 }

// intKey returns a key whose value is a whole number from lo to hi.
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

// textRule defines which values of a text key are allowed.
type textRule struct {
	// allowed describes the values, for errors and for the reference page.
	allowed string
	// accepts reports whether a value is allowed.
	accepts func(string) bool
}

// textKey returns a key whose value is a text that r accepts.
func textKey[T any, V ~string](section, name, def string, r textRule, meaning string, field func(*T) *V) Key[T] {
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

// optional returns k as a key that may be absent although it has no default.
func optional[T any](k Key[T]) Key[T] {
	k.Optional = true
	return k
}
