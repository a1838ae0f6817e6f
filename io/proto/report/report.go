package report

import (
	"fmt"
	"io"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Status is what a control member knows.
type Status struct {
	Member model.Process
	// Leader is empty while none is known.
	Leader model.Process
	// Role is that of Member in the control group.
	Role    string
	Term    uint64
	Commit  model.Version
	Version model.Version
	// Now is the member's clock, to which ages refer.
	Now         clock.Millis
	Contracts   []model.Contract
	Instances   []model.Instance
	Maintenance []model.Maintenance
	Processes   []ProcessStatus
}

// ProcessStatus is what the leader knows of an entry process.
type ProcessStatus struct {
	Name model.Process
	Zone model.Zone
	// Version is that of the table in force, and Since the time at which the
	// leader first heard of it.
	Version        model.Version
	DrainedVersion model.Version
	VersionSince   clock.Millis
	// LastReportAt is the time of the last report; 0 for never.
	LastReportAt clock.Millis
	Incarnation  uint64
}

// Format is the form of a report.
type Format int

// The formats.
const (
	FormatText Format = iota
	FormatJSON
	// FormatHTML is there for the time line alone.
	FormatHTML
)

var formatNames = [...]string{"text", "json", "html"}

// String returns the name used on the command line.
func (f Format) String() string {
	if f < 0 || int(f) >= len(formatNames) {
		return "unknown"
	}
	return formatNames[f]
}

// ParseFormat returns the format of that name.
func ParseFormat(s string) (Format, error) {
	for i, n := range formatNames {
		if n == s {
			return Format(i), nil
		}
	}
	return 0, &Error{Op: "parse format", Kind: KindFormat, Err: fmt.Errorf("%q is not text, json or html", s)}
}

// Kind tells the errors of the package apart.
type Kind int

// The kinds of error.
const (
	// KindFormat: the report does not come in that format.
	KindFormat Kind = iota
	// KindNotFound: the object asked for does not exist.
	KindNotFound
	// KindDecode: the input is not a list of events in JSON.
	KindDecode
	// KindWrite: the output cannot be written.
	KindWrite
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// render writes a report in text or JSON.
func render(w io.Writer, op string, f Format, text func() string, value func() any) error {
	var out string
	switch f {
	case FormatText:
		out = text()
	case FormatJSON:
		var err error
		if out, err = encode(value()); err != nil {
			return &Error{Op: op, Kind: KindFormat, Err: err}
		}
	default:
		return &Error{Op: op, Kind: KindFormat, Err: fmt.Errorf("there is no %s form of this report", f)}
	}
	return write(w, op, out)
}

func write(w io.Writer, op, out string) error {
	if _, err := io.WriteString(w, out); err != nil {
		return &Error{Op: op, Kind: KindWrite, Err: fmt.Errorf("write: %w", err)}
	}
	return nil
}
