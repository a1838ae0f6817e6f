package route

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Outcome is the result of a request on an upstream.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeOK: a whole response came back.
	OutcomeOK Outcome = iota
	// OutcomeError: a whole response came back and its status is 5xx.
	OutcomeError
	// OutcomeUnknown: bytes were written and no whole response came back.
	OutcomeUnknown
	// OutcomeTimeout: bytes were written and the deadline passed.
	OutcomeTimeout
	// OutcomeConnect: no connection could be opened or used.
	OutcomeConnect
	// OutcomeBusy: the upstream answered that it did not run the request.
	OutcomeBusy
	// OutcomeCancelled: the caller gave up, which is not a fault of the upstream.
	OutcomeCancelled
)

// Upstream is the state of one instance in this process.
type Upstream struct {
	Instance model.InstanceID
	// Pool is the pool in which the upstream is routable; empty while it is not
	// routable in any.
	Pool        model.Pool
	Address     string
	Incarnation uint64
	HealthPath  string
	// Slots and Connections are this process's share.
	Slots       int
	Connections int
	// Lendable is the number of Slots that may be lent. ConnectionsPerSlot is the
	// number of connections that go with each lent slot; they are not included in
	// Connections. Both are 0 while lending is off.
	Lendable           int
	ConnectionsPerSlot int
	// Lent is the number of this process's slots that other processes may use.
	// Like requests in flight, lent slots delay the confirmation of a release.
	Lent int
	// Peak is the largest number of requests in flight since the last call of
	// RotatePeaks, and PreviousPeak the largest number in the window before.
	Peak, PreviousPeak int
	// Running is the number of requests in flight, of all generations.
	Running int
	// Generation grows each time the instance is released from a pool.
	Generation uint32
	// RunningOfEarlierGenerations is the number of requests in flight that belong to
	// earlier generations.
	RunningOfEarlierGenerations int
	// BlockedReleaseVersion is the table version of the earliest release that cannot
	// be confirmed yet because RunningOfEarlierGenerations or Lent is above 0; 0 if
	// both are 0.
	BlockedReleaseVersion model.Version
	// SlowStartFrom is the time at which slow start begins: when the upstream became
	// routable, when its process restarted, or when its last ejection ends, whichever
	// was set last.
	SlowStartFrom clock.Millis
	// Score is the smoothed failure rate, from 0 to 1.
	Score float64
	// EjectedUntil is the end of the last ejection; in the future while the
	// upstream is ejected.
	EjectedUntil clock.Millis
	// ScoreResetPending is set from an ejection until the first outcome after its
	// end, which resets Score. Until then the score that led to the ejection is kept
	// for the comparison with peers; requests still in flight go on to change it.
	ScoreResetPending bool
	// ConsecutiveEjections is the number of ejections since the last reset by
	// recordOutcome. It determines the duration of the next ejection.
	ConsecutiveEjections int
	// tableEntry, inTable, announcement and leaseHeld are the inputs of
	// routablePool.
	tableEntry   model.Instance
	inTable      bool
	announcement model.Announcement
	leaseHeld    bool
}

// Ejected reports whether the upstream is ejected at the given time.
func (u *Upstream) Ejected(now clock.Millis) bool { return u.EjectedUntil > now }

// routablePool returns the pool in which the upstream is routable, or "". The
// instance must be serving, the table and the announcement must agree on zone and
// pool, and the lease must not have expired.
func (u *Upstream) routablePool(zone model.Zone) model.Pool {
	ok := u.inTable && u.leaseHeld &&
		u.tableEntry.Phase == model.PhaseServing && u.tableEntry.Zone == zone &&
		u.announcement.State == model.AnnounceServing && u.announcement.Zone == zone &&
		u.announcement.Pool == u.tableEntry.Pool
	if !ok {
		return ""
	}
	return u.tableEntry.Pool
}
