package report

import (
	"fmt"
	"io"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Status is the state of the system as a control member sees it.
type Status struct {
	Member model.Process
	// Leader is the leader of the control group; empty if Member knows none.
	Leader model.Process
	// Role is the role of Member in the control group.
	Role string
	Term uint64
	// Commit is the index of the last log entry that Member has applied.
	Commit model.Version
	// Version is the version of the current routing table (contracts and instances),
	// which is the index of the log entry that last changed it.
	Version model.Version
	// Now is the time of Member's clock. Ages in reports are relative to it.
	Now         clock.Millis
	Contracts   []model.Contract
	Instances   []model.Instance
	Maintenance []model.Maintenance
	Processes   []ProcessStatus
}

// ProcessStatus is the state of an entry process as the leader sees it.
type ProcessStatus struct {
	Name model.Process
	Zone model.Zone
	// Version is the version of the routing table that the process uses.
	Version model.Version
	// DrainedVersion is the version of the table up to which the process has
	// completed every release of an instance.
	DrainedVersion model.Version
	// VersionSince is the time at which the leader first received a report of
	// Version.
	VersionSince clock.Millis
	// LastReportAt is the time of the last report, or 0 if there was none.
	LastReportAt clock.Millis
	Incarnation  uint64
}

// Format is the output format of a report.
type Format int

// Output formats.
const (
	FormatText Format = iota
	FormatJSON
	// FormatHTML is available only for the time line.
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

// ParseFormat returns the format with the given name. It returns an *Error of
// KindFormat for any other name.
func ParseFormat(s string) (Format, error) {
	for i, n := range formatNames {
		if n == s {
			return Format(i), nil
		}
	}
	return 0, &Error{Op: "parse format", Kind: KindFormat, Err: fmt.Errorf("format is %q; allowed: text, json, html", s)}
}

// Kind is the reason for an Error.
type Kind int

// Reasons for an Error.
const (
	// KindFormat: the format is unknown or not available for the report, or the
	// output cannot be encoded in it.
	KindFormat Kind = iota
	// KindNotFound: the requested object does not exist.
	KindNotFound
	// KindDecode: the input is not a valid JSON array of events.
	KindDecode
	// KindWrite: the output cannot be written.
	KindWrite
)

// Error is the error type that all functions of the package return.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// render writes a report as text or JSON. It calls text or value, whichever the
// format needs. Errors name the operation as op.
func render(w io.Writer, op string, f Format, text func() string, value func() any) error {
	var out string
	switch f {
	case FormatText:
		out = text()
	case FormatJSON:
		var err error
		if out, err = encodeJSON(value()); err != nil {
			return &Error{Op: op, Kind: KindFormat, Err: err}
		}
	default:
		return &Error{Op: op, Kind: KindFormat, Err: fmt.Errorf("report is not available in format %s; allowed: text, json", f)}
	}
	return write(w, op, out)
}

func write(w io.Writer, op, out string) error {
	if _, err := io.WriteString(w, out); err != nil {
		return &Error{Op: op, Kind: KindWrite, Err: fmt.Errorf("write: %w", err)}
	}
	return nil
}
