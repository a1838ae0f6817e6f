package conf

import (
	"errors"
	"fmt"
	"strings"
)

// Kind is the reason for an Error.
type Kind int

// Reasons for an Error.
const (
	// KindRead: the file cannot be read or is too large.
	KindRead Kind = iota
	// KindSyntax: the file is not INI.
	KindSyntax
	// KindInvalid: sections or keys are missing, unknown or duplicate, or values are
	// out of range or inconsistent.
	KindInvalid
)

// Problem is one problem found in a file. Fields that do not apply are empty.
type Problem struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
	// Allowed describes what is accepted instead.
	Allowed string
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Section != "" || p.Key != "" {
		b.WriteByte(':')
	}
	if p.Section != "" {
		fmt.Fprintf(&b, " [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " = %q", p.Value)
	}
	fmt.Fprintf(&b, ": %s", p.Reason)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	return b.String()
}

// Error is the error type that all functions of the package return.
type Error struct {
	// Op names the operation, or the kind of file that was parsed.
	Op   string
	Kind Kind
	Err  error
	// Problems lists all problems found: first those of single sections and keys in
	// the order of the file, then absent keys, then those found by checks across
	// keys. It is empty for KindRead.
	Problems []Problem
}

// Error returns one line per problem. If there are several, a line with their
// number comes first.
func (e *Error) Error() string {
	if n := len(e.Problems); n > 1 {
		return fmt.Sprintf("%s: %d errors\n%s", e.Op, n, e.Err)
	}
	return e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// newError returns an Error with the problems found in a file.
func newError(op string, kind Kind, problems []Problem) *Error {
	errs := make([]error, 0, len(problems))
	for _, p := range problems {
		errs = append(errs, errors.New(p.String()))
	}
	return &Error{Op: op, Kind: kind, Err: errors.Join(errs...), Problems: problems}
}
