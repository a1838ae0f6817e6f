package model

import "camphorridge/core/state/clock"

// Stamp is a hybrid logical clock timestamp that orders the events of all
// processes. Every message carries one.
type Stamp struct {
	Wall clock.Millis
	// Count orders the stamps that have the same Wall.
	Count uint32
}

// Less reports whether s comes before t.
func (s Stamp) Less(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Count < t.Count
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of event.
const (
	EventStart             EventKind = "process-started"
	EventStop              EventKind = "process-stopping"
	EventReady             EventKind = "process-ready"
	EventTableInForce      EventKind = "table-in-force"
	EventUpstreamAnnounced EventKind = "upstream-announced"
	EventUpstreamGone      EventKind = "upstream-gone"
	EventUpstreamLeaving   EventKind = "upstream-leaving"
	EventEjected           EventKind = "upstream-ejected"
	EventRestored          EventKind = "upstream-restored"
	EventRole              EventKind = "role-changed"
	EventChangeApplied     EventKind = "change-applied"
	EventChangeRefused     EventKind = "change-refused"
	EventInstanceStep      EventKind = "instance-step"
	EventRequestRefused    EventKind = "request-refused"
	EventOutcomeUnknown    EventKind = "request-outcome-unknown"
	EventWait              EventKind = "wait"
	EventWave              EventKind = "wave"
	EventMoved             EventKind = "instance-moved"
	EventMaintained        EventKind = "instance-maintained"
	EventLent              EventKind = "slots-lent"
	EventBorrowed          EventKind = "slots-borrowed"
)

// Event is one entry of the event log. Empty fields do not apply.
type Event struct {
	Stamp   Stamp
	Process Process
	// Seq grows by one with each event of a process, including dropped events.
	Seq      uint64
	Kind     EventKind
	Customer Customer
	Pool     Pool
	Instance InstanceID
	Request  string
	Version  Version
	// Limit names the limit that was reached. Detail is free text for operators.
	Limit  string
	Detail string
}
