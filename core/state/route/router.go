package route

import (
	"camphorridge/core/state/admit"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
)

// SlowStart is the time over which the capacity of a new upstream grows to its
// full share. A process that has just started has cold caches. The share of one
// entry process is only a few slots, so a short ramp is enough.
const SlowStart = 3 * clock.Second

// Settings describe the entry process that routes.
type Settings struct {
	Zone model.Zone
	// Rank is the position of the process among the entry processes of the zone,
	// from 0, and Count the number of these processes.
	Rank, Count int
	// Lending reserves a part of each share for loans. ReservePercent of the slots
	// are never lent.
	Lending        bool
	ReservePercent int
}

// Router chooses upstreams and counts their requests. It is not safe for
// concurrent use.
type Router[P Policy] struct {
	cfg             Settings
	policy          P
	upstreams       map[model.InstanceID]*Upstream
	upstreamsByPool map[model.Pool]*poolUpstreams
	// blocked holds the upstreams with a release that cannot be confirmed yet.
	blocked map[model.InstanceID]*Upstream
	// Version is the version of the table in force.
	Version model.Version
	// LoansUncertain is set while the lendable slots may be in use under loans
	// that an earlier run of this process granted.
	LoansUncertain bool
	candidates     []Candidate
	// ejectionsToReport lists the upstreams that were ejected and that TakeRestored
	// has not returned since.
	ejectionsToReport []*Upstream
}

// poolUpstreams holds the routable upstreams of one pool, ejected ones included.
type poolUpstreams struct {
	members []*Upstream
	// choices is the number of choices that the policy has made.
	choices uint64
}

// New returns a router without upstreams.
func New[P Policy](cfg Settings, policy P) *Router[P] {
	return &Router[P]{
		cfg:             cfg,
		policy:          policy,
		upstreams:       map[model.InstanceID]*Upstream{},
		upstreamsByPool: map[model.Pool]*poolUpstreams{},
		blocked:         map[model.InstanceID]*Upstream{},
	}
}

// SetInstance adds the table entry of an instance or replaces it. An instance of
// another zone is ignored unless the router already holds an upstream for it. previousVersion is the version of the table before the change.
func (r *Router[P]) SetInstance(now clock.Millis, i model.Instance, previousVersion model.Version) {
	u := r.upstreams[i.ID]
	if i.Zone != r.cfg.Zone {
		if u == nil {
			return
		}
	}
	u = r.upstream(i.ID)
	if u.inTable && u.tableEntry.Phase == model.PhaseServing && (i.Phase != model.PhaseServing || i.Pool != u.tableEntry.Pool) {
		// If the change skips the releasing phase, the release took place at an
		// unknown version above previousVersion; the lowest one is assumed.
		released := previousVersion + 1
		if i.Phase == model.PhaseReleasing {
			released = i.Version
		}
		r.release(u, released)
	}
	u.tableEntry, u.inTable = i, true
	r.update(now, u)
}

// RemoveInstance removes the table entry of an instance. previousVersion is the
// version of the table before the change.
func (r *Router[P]) RemoveInstance(now clock.Millis, id model.InstanceID, previousVersion model.Version) {
	u := r.upstreams[id]
	if u == nil {
		return
	}
	if u.inTable && u.tableEntry.Phase == model.PhaseServing {
		r.release(u, previousVersion+1)
	}
	u.tableEntry, u.inTable = model.Instance{}, false
	r.update(now, u)
}

// SetAnnouncement sets the announcement of an instance; live is false once its
// lease has expired.
func (r *Router[P]) SetAnnouncement(now clock.Millis, a model.Announcement, live bool) {
	u := r.upstream(a.Instance)
	if a.Incarnation != u.announcement.Incarnation {
		// A new process starts with a cleared failure score and a slow start.
		u.Score, u.EjectedUntil, u.ConsecutiveEjections, u.ScoreResetPending, u.SlowStartFrom = 0, 0, 0, false, now
	}
	u.announcement, u.leaseHeld = a, live
	r.update(now, u)
}

func (r *Router[P]) upstream(id model.InstanceID) *Upstream {
	u := r.upstreams[id]
	if u == nil {
		u = &Upstream{Instance: id}
		r.upstreams[id] = u
	}
	return u
}

// release starts a new generation for a release at version v. Requests in flight
// and lent slots block the confirmation of the release.
func (r *Router[P]) release(u *Upstream, v model.Version) {
	u.Generation++
	u.RunningOfEarlierGenerations = u.Running
	if u.RunningOfEarlierGenerations > 0 || u.Lent > 0 {
		if u.BlockedReleaseVersion == 0 {
			u.BlockedReleaseVersion = v
		}
		r.blocked[u.Instance] = u
	}
}

// update derives the shares and the pool of an upstream from its table entry and
// its announcement.
func (r *Router[P]) update(now clock.Millis, u *Upstream) {
	u.Slots, u.Connections = r.shares(u)
	if r.cfg.Lending {
		u.Connections, u.Lendable, u.ConnectionsPerSlot = lend.SplitShare(u.Slots, u.Connections, r.cfg.ReservePercent)
	}
	u.Address, u.Incarnation, u.HealthPath = u.announcement.Address, u.announcement.Incarnation, u.announcement.HealthPath
	pool := u.routablePool(r.cfg.Zone)
	if pool != u.Pool {
		r.removeFromPool(now, u)
		u.Pool = pool
		if pool != "" {
			u.SlowStartFrom = now
			pu := r.poolOf(pool)
			pu.members = append(pu.members, u)
			pu.restoreMinimum(now)
		}
	}
	r.dropUnused(u)
}

// shares returns this process's share of the slots and connections. Both the
// table and the announcement limit them; 0 in the table means unknown. The share of
// slots is at most that of connections.
func (r *Router[P]) shares(u *Upstream) (slots, conns int) {
	slots, conns = u.announcement.Slots, u.announcement.Connections
	if u.tableEntry.Slots > 0 {
		slots = min(slots, u.tableEntry.Slots)
	}
	if u.tableEntry.Connections > 0 {
		conns = min(conns, u.tableEntry.Connections)
	}
	conns = admit.Share(conns, r.cfg.Rank, r.cfg.Count)
	return min(admit.Share(slots, r.cfg.Rank, r.cfg.Count), conns), conns
}

func (r *Router[P]) poolOf(p model.Pool) *poolUpstreams {
	pu := r.upstreamsByPool[p]
	if pu == nil {
		pu = &poolUpstreams{}
		r.upstreamsByPool[p] = pu
	}
	return pu
}

func (r *Router[P]) removeFromPool(now clock.Millis, u *Upstream) {
	pu := r.upstreamsByPool[u.Pool]
	if pu == nil {
		return
	}
	for i, m := range pu.members {
		if m == u {
			pu.members = append(pu.members[:i], pu.members[i+1:]...)
			pu.restoreMinimum(now)
			return
		}
	}
}

// dropUnused drops an upstream that is not in the table, holds no lease and has no
// requests in flight or lent slots.
func (r *Router[P]) dropUnused(u *Upstream) {
	if !u.inTable && !u.leaseHeld && u.Running == 0 && u.Lent == 0 {
		delete(r.upstreams, u.Instance)
	}
}

// Reservation is a reserved slot: the upstream with its generation and incarnation
// at the time of Reserve.
type Reservation struct {
	Upstream    *Upstream
	Generation  uint32
	Incarnation uint64
}

// Reserve reserves a slot of an upstream of the pool; ok is false if none has free
// capacity. The upstream avoid is chosen only if no other has free capacity.
func (r *Router[P]) Reserve(now clock.Millis, p model.Pool, avoid model.InstanceID) (res Reservation, ok bool) {
	pu := r.upstreamsByPool[p]
	if pu == nil || len(pu.members) == 0 {
		return Reservation{}, false
	}
	r.candidates = r.candidates[:0]
	var chosen *Upstream
	anyWarm := pu.hasWarmUpstream(now)
	for _, u := range pu.members {
		n := r.capacity(now, u, anyWarm)
		if u.Running >= n {
			continue
		}
		if u.Instance == avoid {
			chosen = u
			continue
		}
		r.candidates = append(r.candidates, Candidate{Upstream: u, Capacity: n})
	}
	if len(r.candidates) > 0 {
		chosen = r.candidates[r.policy.Choose(r.candidates, pu.choices)].Upstream
		pu.choices++
	}
	if chosen == nil {
		return Reservation{}, false
	}
	chosen.Running++
	chosen.Peak = max(chosen.Peak, chosen.Running)
	return Reservation{Upstream: chosen, Generation: chosen.Generation, Incarnation: chosen.Incarnation}, true
}

// TakeRestored appends to buf the upstreams whose ejection has ended since the last
// call. It returns the end of each ejection only once.
func (r *Router[P]) TakeRestored(now clock.Millis, buf []*Upstream) []*Upstream {
	kept := r.ejectionsToReport[:0]
	for _, u := range r.ejectionsToReport {
		if u.Ejected(now) {
			kept = append(kept, u)
			continue
		}
		buf = append(buf, u)
	}
	clear(r.ejectionsToReport[len(kept):])
	r.ejectionsToReport = kept
	return buf
}

// CancelReservation releases a reserved slot that was not used.
func (r *Router[P]) CancelReservation(res Reservation) {
	res.Upstream.Running--
	r.dropUnused(res.Upstream)
}

// hasWarmUpstream reports whether an upstream of the pool is in service and past
// its slow start. If there is none, as after a start of this process, slow start
// limits no upstream.
func (pu *poolUpstreams) hasWarmUpstream(now clock.Millis) bool {
	for _, u := range pu.members {
		if now-u.SlowStartFrom >= SlowStart && !u.Ejected(now) {
			return true
		}
	}
	return false
}

// capacity returns the number of requests that an upstream may run at once now.
// anyWarm is the result of hasWarmUpstream for its pool; if it is false, slow start
// does not limit the upstream.
func (r *Router[P]) capacity(now clock.Millis, u *Upstream, anyWarm bool) int {
	if u.Ejected(now) {
		return 0
	}
	slots := u.Slots - u.Lent
	if r.LoansUncertain {
		slots = u.Slots - max(u.Lendable, u.Lent)
	}
	age := max(now-u.SlowStartFrom, 0)
	if !anyWarm || age >= SlowStart || slots <= 0 {
		return max(slots, 0)
	}
	return max(1, int(clock.Millis(slots)*age/SlowStart))
}

// Capacity returns the number of requests that the pool may run at once now.
func (r *Router[P]) Capacity(now clock.Millis, p model.Pool) int {
	pu := r.upstreamsByPool[p]
	if pu == nil {
		return 0
	}
	n, anyWarm := 0, pu.hasWarmUpstream(now)
	for _, u := range pu.members {
		n += r.capacity(now, u, anyWarm)
	}
	return n
}

// Routable returns the number of upstreams of the pool, ejected ones included,
// and their slots in this process's share.
func (r *Router[P]) Routable(p model.Pool) (upstreams, slots int) {
	pu := r.upstreamsByPool[p]
	if pu == nil {
		return 0, 0
	}
	for _, u := range pu.members {
		slots += u.Slots
	}
	return len(pu.members), slots
}

// End releases the slot of a finished request and reports whether its outcome
// ejected the upstream. Outcomes of requests to an earlier generation or
// incarnation of the upstream are ignored, because they say nothing about the
// present process.
func (r *Router[P]) End(now clock.Millis, res Reservation, o Outcome) (ejected bool) {
	u := res.Upstream
	u.Running--
	if res.Generation != u.Generation && u.RunningOfEarlierGenerations > 0 {
		u.RunningOfEarlierGenerations--
		r.unblockIfDrained(u)
	}
	if res.Generation == u.Generation && res.Incarnation == u.Incarnation && u.Pool != "" {
		ejected = r.recordOutcome(now, u, o)
	}
	r.dropUnused(u)
	return ejected
}

// unblockIfDrained allows the blocked release of an upstream to be confirmed if no
// request of an earlier generation and no loan uses the instance any more.
func (r *Router[P]) unblockIfDrained(u *Upstream) {
	if u.RunningOfEarlierGenerations == 0 && u.Lent == 0 {
		u.BlockedReleaseVersion = 0
		delete(r.blocked, u.Instance)
	}
}

// DrainedVersion returns the highest table version such that no request in flight
// and no loan uses an instance released at or below it; 0 while LoansUncertain is
// set. The control group makes a released instance routable again only after the
// confirmation of its release. If it did so earlier, the result could be lower than
// necessary, but never too high.
func (r *Router[P]) DrainedVersion() model.Version {
	if r.LoansUncertain {
		return 0
	}
	v := r.Version
	for _, u := range r.blocked {
		v = min(v, u.BlockedReleaseVersion-1)
	}
	return v
}

// Each calls f for every upstream.
func (r *Router[P]) Each(f func(*Upstream)) {
	for _, u := range r.upstreams {
		f(u)
	}
}
