package lend

import "camphorridge/core/state/clock"

// Pressure is the state of a pool in a process that may need more slots.
type Pressure struct {
	// Waiting is the number of waiters whose customers may run now.
	Waiting int
	// Capacity is the number of requests that own and held slots run at once.
	Capacity int
	// TypicalRunTime is the smoothed run time; 0 when it is not known.
	TypicalRunTime clock.Millis
	// Duration is how long there have been such waiters without a break.
	Duration clock.Millis
}

// UpstreamSlots is the state of an upstream in a process that may lend its slots.
type UpstreamSlots struct {
	Loan
	// Slots of the Loan is this process's share; Lendable is the part of it
	// that may be lent, and PerSlot the connections that go with a lent slot.
	Lendable           int
	ConnectionsPerSlot int
	// PeakRunning is the largest number of own requests at once in the last seconds.
	PeakRunning int
	// Running is the number of own requests in flight; at most Peak.
	Running int
	// Lent is the number of slots lent already.
	Lent int
	// Waiting is the number of own waiters in the pool.
	Waiting int
}

// Policy decides how much to ask for and how much to give.
type Policy interface {
	// Want returns the slots to ask for.
	Want(p Pressure) int
	// Give returns the slots to lend, at most Lendable-Lent.
	Give(s UpstreamSlots) int
	// Keep reports whether a held loan that was unused for a time is kept.
	Keep(idle, lease clock.Millis) bool
}

// Never is the baseline: fixed shares.
type Never struct{}

// Want returns 0.
func (Never) Want(Pressure) int { return 0 }

// Give returns 0.
func (Never) Give(UpstreamSlots) int { return 0 }

// Keep returns false.
func (Never) Keep(clock.Millis, clock.Millis) bool { return false }

const (
	// lasting is the time that the pressure must have lasted: a burst that own
	// slots work off at once needs no loan.
	lasting clock.Millis = 100
	// patience bounds the wait that own slots should keep to, which is half a
	// run time. A wait of several run times kept a closed loop of callers at a
	// fifth of the slots that stood idle.
	patience clock.Millis = 100
	// guess stands for an unknown run time.
	guess clock.Millis = 20
)

// Idle asks when waiters would wait for long, and gives the slots that were
// idle in the last seconds.
type Idle struct{}

// Want returns one slot for each waiter that own slots do not start in time.
func (Idle) Want(p Pressure) int {
	if p.Capacity > 0 && p.Duration < lasting {
		return 0
	}
	run := p.TypicalRunTime
	if run <= 0 {
		run = guess
	}
	inTime := p.Capacity * int(min(run/2, patience)) / int(run)
	return min(max(p.Waiting-inTime, 0), maxSlots)
}

// Give returns the idle slots above the reserve; nothing while own requests
// wait.
func (Idle) Give(s UpstreamSlots) int {
	if s.Waiting > 0 {
		return 0
	}
	return min(s.Lendable, s.Slots-s.PeakRunning) - s.Lent
}

// Keep gives a loan back that was idle for one lease, so that a short pause
// does not cost a new ask.
func (Idle) Keep(idle, lease clock.Millis) bool { return idle < lease }

// Split divides a share: own connections, the slots that may be lent, and the
// connections that go with each of them. Half of the connections are set
// aside for loans at all times, so that a loan needs no connection to be
// closed first. Nothing can be lent when the rest would not carry all slots.
func Split(slots, conns, reservePercent int) (own, lendable, perSlot int) {
	reserve := (slots*reservePercent + 99) / 100
	half := conns / 2
	lendable = min(slots-reserve, half)
	if lendable <= 0 || conns-half < slots {
		return conns, 0, 0
	}
	return conns - half, lendable, half / lendable
}
