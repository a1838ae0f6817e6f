package route

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Outcome is how a request on an upstream ended.
type Outcome int

// The outcomes.
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
	// OutcomeCancelled: the caller gave up; says nothing of the upstream.
	OutcomeCancelled
)

// Upstream is one instance as this process sees it.
type Upstream struct {
	Instance model.InstanceID
	// Pool is the pool that table and announcement agree on; empty while
	// they do not.
	Pool        model.Pool
	Address     string
	Incarnation uint64
	HealthPath  string
	// Slots and Connections are this process's share.
	Slots       int
	Connections int
	// Lendable is the part of Slots that may be lent, and PerSlot the number of
	// connections, apart from Connections, that go with each of them. Both are 0
	// while lending is off.
	Lendable           int
	ConnectionsPerSlot int
	// Lent is the number of own slots that others may use; it holds up a
	// release like requests in flight.
	Lent int
	// Peak is the largest number of requests in flight since the last Roll, and
	// PreviousPeak that of the time before it.
	Peak, PreviousPeak int
	// Running is the number of requests in flight, of all generations.
	Running int
	// Generation grows each time the instance is released from a pool.
	Generation uint32
	// OldRunning is the number of requests in flight of earlier generations.
	OldRunning int
	// BlockedRelease is the table version of the release that Old requests or Lent
	// slots hold up; 0 when both are 0.
	BlockedRelease model.Version
	// RoutableSince is the time at which the upstream became routable.
	RoutableSince clock.Millis
	// Score is the smoothed share of failures, from 0 to 1.
	Score float64
	// EjectedUntil is in the future while the upstream is ejected.
	EjectedUntil clock.Millis
	// ScoreResetPending says that Score is still that of the ejection, for comparison
	// with peers; it is lowered with the first outcome afterwards.
	ScoreResetPending bool
	// ConsecutiveEjections is the number of ejections in a row; it sets their length.
	ConsecutiveEjections int
	// instance, member and lapsed are the inputs of routable.
	instance     model.Instance
	inTable      bool
	announcement model.Announcement
	leaseHeld    bool
}

// Ejected reports whether the upstream is ejected at a time.
func (u *Upstream) Ejected(now clock.Millis) bool { return u.EjectedUntil > now }

// routablePool returns the pool that the upstream may serve, or "". The table and
// the announcement must agree, and the lease must hold.
func (u *Upstream) routablePool(zone model.Zone) model.Pool {
	ok := u.inTable && u.leaseHeld &&
		u.instance.Phase == model.PhaseServing && u.instance.Zone == zone &&
		u.announcement.State == model.AnnounceServing && u.announcement.Zone == zone &&
		u.announcement.Pool == u.instance.Pool
	if !ok {
		return ""
	}
	return u.instance.Pool
}
