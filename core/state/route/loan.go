package route

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
)

// SetLent sets the number of this process's slots of an upstream that are lent
// to other processes, and returns the previous number.
func (r *Router[P]) SetLent(id model.InstanceID, lent int) (before int) {
	u := r.upstreams[id]
	if u == nil {
		return 0
	}
	before, u.Lent = u.Lent, lent
	r.unblockIfDrained(u)
	r.dropUnused(u)
	return before
}

// PoolUpstreamSlots appends to buf the slots of each upstream of the pool that is
// not ejected, for the lender. waiting is the number of queued requests of the
// pool.
func (r *Router[P]) PoolUpstreamSlots(now clock.Millis, p model.Pool, waiting int, buf []lend.UpstreamSlots) []lend.UpstreamSlots {
	pu := r.upstreamsByPool[p]
	if pu == nil {
		return buf
	}
	for i := range pu.members {
		// Each choice of the policy in the pool rotates which upstream comes first,
		// so that loans spread over the upstreams.
		u := pu.members[(i+int(pu.choices%uint64(len(pu.members))))%len(pu.members)]
		if !u.Ejected(now) {
			buf = append(buf, u.slotsForLender(waiting))
		}
	}
	return buf
}

// UpstreamSlots returns the slots of an upstream for the lender, even if it is
// ejected; false if the upstream is not routable.
func (r *Router[P]) UpstreamSlots(id model.InstanceID, waiting func(model.Pool) int) (lend.UpstreamSlots, bool) {
	u := r.upstreams[id]
	if u == nil || u.Pool == "" {
		return lend.UpstreamSlots{}, false
	}
	return u.slotsForLender(waiting(u.Pool)), true
}

// slotsForLender describes the slots of the upstream to the lender. waiting is the
// number of queued requests of its pool.
func (u *Upstream) slotsForLender(waiting int) lend.UpstreamSlots {
	return lend.UpstreamSlots{
		Loan: lend.Loan{
			Instance: u.Instance, Pool: u.Pool, Address: u.Address,
			Incarnation: u.Incarnation, HealthPath: u.HealthPath, Slots: u.Slots,
		},
		Lendable: u.Lendable, ConnectionsPerSlot: u.ConnectionsPerSlot, PeakRunning: max(u.Peak, u.PreviousPeak), Running: u.Running,
		Lent: u.Lent, Waiting: waiting,
	}
}

// RotatePeaks starts a new peak window for all upstreams: Peak becomes PreviousPeak
// and starts again at the number of requests in flight.
func (r *Router[P]) RotatePeaks() {
	for _, u := range r.upstreams {
		u.PreviousPeak, u.Peak = u.Peak, u.Running
	}
}
