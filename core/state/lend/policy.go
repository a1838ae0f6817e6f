package lend

import "camphorridge/core/state/clock"

// Pressure describes the demand for a pool in one process, from which the policy
// decides whether the process needs more slots.
type Pressure struct {
	// Waiting is the number of waiting requests whose customers may run now.
	Waiting int
	// Capacity is the number of requests that the process's own and borrowed
	// slots run at once.
	Capacity int
	// TypicalRunTime is the smoothed run time of a request; 0 if it is not
	// known.
	TypicalRunTime clock.Millis
	// Duration is how long requests have been waiting without a break.
	Duration clock.Millis
}

// UpstreamSlots describes this process's share of the slots of an upstream, from
// which it may lend.
type UpstreamSlots struct {
	// Loan is not a granted loan, but the template from which loans of the upstream
	// are made: each is a copy with its own ID, Slots and Connections. Slots of the
	// template is this process's share.
	Loan
	// Lendable is the part of the share that may be lent, and ConnectionsPerSlot
	// the number of connections that go with each lent slot.
	Lendable           int
	ConnectionsPerSlot int
	// PeakRunning is the largest number of own requests that were in flight at
	// once in the last seconds.
	PeakRunning int
	// Running is the number of own requests in flight now; at most PeakRunning.
	Running int
	// Lent is the number of slots that are already lent.
	Lent int
	// Waiting is the number of own waiting requests in the pool.
	Waiting int
}

// Policy decides how many slots to request and how many to lend.
type Policy interface {
	// SlotsToRequest returns the number of slots to request. The caller subtracts
	// the slots whose request is still in flight.
	SlotsToRequest(p Pressure) int
	// SlotsToLend returns the number of slots to lend; 0 or less means none. The
	// caller limits it to Lendable-Lent and to the slots that are free and wanted.
	SlotsToLend(s UpstreamSlots) int
	// KeepIdle reports whether to keep a held loan without requests that has been
	// idle for the given time.
	KeepIdle(idle, lease clock.Millis) bool
}

// NoLending is the baseline: each process uses only its own share.
type NoLending struct{}

// SlotsToRequest returns 0.
func (NoLending) SlotsToRequest(Pressure) int { return 0 }

// SlotsToLend returns 0.
func (NoLending) SlotsToLend(UpstreamSlots) int { return 0 }

// KeepIdle returns false.
func (NoLending) KeepIdle(clock.Millis, clock.Millis) bool { return false }

const (
	// minPressureTime is how long requests must have been waiting before slots
	// are requested: own slots can serve a short burst without a loan.
	minPressureTime clock.Millis = 100
	// maxWait is the upper limit of the time that a request may wait for an own
	// or borrowed slot before a slot is requested for it. Up to this limit, the
	// time is half a run time. When it was several run times, callers that send a
	// request only after the response to the last one used only a fifth of the
	// idle slots.
	maxWait clock.Millis = 100
	// defaultRunTime is assumed if the run time is not known.
	defaultRunTime clock.Millis = 20
)

// Idle requests slots when requests would wait long, and lends the slots that
// were idle in the last seconds.
type Idle struct{}

// SlotsToRequest returns one slot for each waiting request that is not expected to
// start on an own or borrowed slot within half a run time or maxWait, whichever is
// shorter, but at most maxSlotsPerRequest. A process that has slots requests none
// until requests have been waiting for minPressureTime.
func (Idle) SlotsToRequest(p Pressure) int {
	if p.Capacity > 0 && p.Duration < minPressureTime {
		return 0
	}
	run := p.TypicalRunTime
	if run <= 0 {
		run = defaultRunTime
	}
	inTime := p.Capacity * int(min(run/2, maxWait)) / int(run)
	return min(max(p.Waiting-inTime, 0), maxSlotsPerRequest)
}

// SlotsToLend returns the number of lendable slots that were idle in the last
// seconds and are not lent, or 0 while own requests wait. The number is negative if
// more slots are lent than are lendable or were idle.
func (Idle) SlotsToLend(s UpstreamSlots) int {
	if s.Waiting > 0 {
		return 0
	}
	return min(s.Lendable, s.Slots-s.PeakRunning) - s.Lent
}

// KeepIdle returns true until the loan has been idle for one lease, so that a
// short pause does not cost a new request.
func (Idle) KeepIdle(idle, lease clock.Millis) bool { return idle < lease }

// SplitShare divides a process's share of an upstream. It returns the number of
// connections for own requests, the number of slots that may be lent, and the
// number of connections that go with each lent slot. Half of the connections are
// reserved for loans even while nothing is lent, so that no connection has to be
// closed before slots are lent. Nothing can be lent, and own requests get all
// connections, if the other half is smaller than the number of slots or the
// reserve leaves no slot.
func SplitShare(slots, connections, reservePercent int) (own, lendable, perSlot int) {
	reserve := (slots*reservePercent + 99) / 100
	lendableConnections := connections / 2
	lendable = min(slots-reserve, lendableConnections)
	if lendable <= 0 || connections-lendableConnections < slots {
		return connections, 0, 0
	}
	return connections - lendableConnections, lendable, lendableConnections / lendable
}
