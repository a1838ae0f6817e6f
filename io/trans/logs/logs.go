package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// timeFormat is RFC 3339 with milliseconds. Times are in UTC, so that the logs of
// several availability zones can be merged.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Kind classifies the errors of the package.
type Kind int

// KindLevel: the level is not debug, info, warn or error.
const KindLevel Kind = iota

// Error is the error type of the package. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Settings configures the log of one process.
type Settings struct {
	// Level is debug, info, warn or error.
	Level   string
	Process model.Process
	Zone    model.Zone
}

// levels maps the values of Settings.Level to the levels of the library. The
// library has more levels, such as fatal; a line of that level ends the process.
var levels = map[string]log.Level{
	"debug": log.DebugLevel,
	"info":  log.InfoLevel,
	"warn":  log.WarnLevel,
	"error": log.ErrorLevel,
}

// New returns a logger that writes to w. Each line has the time by c, the level,
// and the process and its zone as a prefix. The format is logfmt, which keeps an
// entry on one line whatever its values contain. If the level is invalid, New
// returns a KindLevel error.
func New(w io.Writer, s Settings, c clock.Clock) (*log.Logger, error) {
	level, ok := levels[s.Level]
	if !ok {
		return nil, &Error{Op: "set up log", Kind: KindLevel, Err: fmt.Errorf("level %q is not debug, info, warn or error", s.Level)}
	}
	return log.NewWithOptions(w, log.Options{
		Level:           level,
		Formatter:       log.LogfmtFormatter,
		Prefix:          fmt.Sprintf("%s@%s", s.Process, s.Zone),
		ReportTimestamp: true,
		TimeFormat:      timeFormat,
		TimeFunction:    func(time.Time) time.Time { return time.UnixMilli(int64(c.Now())).UTC() },
	}), nil
}

// eventLevels maps the kinds of events that are state changes to log levels.
// Events of single requests are not logged, only counted.
var eventLevels = map[model.EventKind]log.Level{
	model.EventStart:             log.InfoLevel,
	model.EventStop:              log.InfoLevel,
	model.EventReady:             log.InfoLevel,
	model.EventTableInForce:      log.DebugLevel,
	model.EventUpstreamAnnounced: log.InfoLevel,
	model.EventUpstreamGone:      log.WarnLevel,
	model.EventUpstreamLeaving:   log.InfoLevel,
	model.EventEjected:           log.WarnLevel,
	model.EventRestored:          log.InfoLevel,
	model.EventRole:              log.InfoLevel,
	model.EventChangeApplied:     log.DebugLevel,
	model.EventChangeRefused:     log.InfoLevel,
	model.EventInstanceStep:      log.InfoLevel,
	model.EventWave:              log.InfoLevel,
	model.EventMoved:             log.InfoLevel,
	model.EventMaintained:        log.InfoLevel,
	model.EventLent:              log.DebugLevel,
	model.EventBorrowed:          log.InfoLevel,
}

// Event logs e if it is a state change.
func Event(l *log.Logger, e model.Event) {
	level, ok := eventLevels[e.Kind]
	if !ok {
		return
	}
	var fields []any
	for _, f := range [][2]string{
		{"customer", string(e.Customer)},
		{"pool", string(e.Pool)},
		{"instance", string(e.Instance)},
		{"request", e.Request},
		{"limit", e.Limit},
		{"detail", e.Detail},
	} {
		if f[1] != "" {
			fields = append(fields, f[0], f[1])
		}
	}
	if e.Version != 0 {
		fields = append(fields, "version", e.Version)
	}
	l.Log(level, string(e.Kind), fields...)
}
