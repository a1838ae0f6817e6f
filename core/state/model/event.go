package model

import "camphorridge/core/state/clock"

// Stamp orders events over processes: a hybrid of the clock and a counter
// that every message carries along.
type Stamp struct {
	Wall  clock.Millis
	Count uint32
}

// Less reports whether s comes before t.
func (s Stamp) Less(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Count < t.Count
}

// EventKind tells the events of the time line apart.
type EventKind string

// The kinds of event.
const (
	EventStart        EventKind = "process-started"
	EventStop         EventKind = "process-stopping"
	EventReady        EventKind = "process-ready"
	EventTable        EventKind = "table-in-force"
	EventUpstreamUp   EventKind = "upstream-announced"
	EventUpstreamGone EventKind = "upstream-gone"
	EventUpstreamLeft EventKind = "upstream-leaving"
	EventEjected      EventKind = "upstream-ejected"
	EventRestored     EventKind = "upstream-restored"
	EventRole         EventKind = "role-changed"
	EventChange       EventKind = "change-applied"
	EventConflict     EventKind = "change-refused"
	EventInstance     EventKind = "instance-step"
	EventRefused      EventKind = "request-refused"
	EventUnknown      EventKind = "request-outcome-unknown"
	EventWait         EventKind = "wait"
	EventWave         EventKind = "wave"
	EventMoved        EventKind = "instance-moved"
	EventMaintained   EventKind = "instance-maintained"
	EventLent         EventKind = "slots-lent"
	EventBorrowed     EventKind = "slots-borrowed"
)

// Event is one line of the time line. Empty fields do not apply.
type Event struct {
	Stamp   Stamp
	Process Process
	// Seq grows by one with each event of a process, dropped ones included.
	Seq      uint64
	Kind     EventKind
	Customer Customer
	Pool     Pool
	Instance InstanceID
	Request  string
	Version  Version
	// Limit names the limit that bound, and Detail says what was asked and
	// tried.
	Limit  string
	Detail string
}
