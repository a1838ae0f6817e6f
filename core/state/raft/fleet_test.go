package raft

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// The times of the users' page and of the production settings, and the interval at
// which a process that is not a member asks to join.
const (
	fleetElection  = 700 * clock.Millis(1)
	fleetHeartbeat = 150 * clock.Millis(1)
	contactTime    = 3 * clock.Second
	joinInterval   = 200 * clock.Millis(1)
	fleetStep      = 20 * clock.Millis(1)
	// reconcileInterval is below the production interval of half a heartbeat, of which
	// the step is no divisor.
	reconcileInterval = 60 * clock.Millis(1)
	probeInterval     = 200 * clock.Millis(1)
)

// commitBound is the time after the latest disturbance within the tolerance after which
// a write must be committed: the users' contactMs and one election.
const commitBound = contactTime + 2*fleetElection

// site is the kind of deployment that a fleet simulates. faults is the number of
// machines that may be lost at once.
type site struct {
	faults, machines  int
	catchUp, recovery clock.Millis
}

// sites are the deployments of the users' page that have control machines of their own.
var sites = []site{
	{1, 3, 4 * clock.Second, 12 * clock.Second},
	{1, 4, 4 * clock.Second, 12 * clock.Second},
	{1, 6, 4 * clock.Second, 12 * clock.Second},
	{2, 5, 6 * clock.Second, 15 * clock.Second},
	{2, 6, 6 * clock.Second, 15 * clock.Second},
	{2, 8, 6 * clock.Second, 15 * clock.Second},
}

func (s site) size() int { return 2*s.faults + 1 }

// place is the place of one machine in the fleet. A machine that is gone for good
// leaves its place to its successor.
type place struct {
	zone model.Zone
	// current is nil from the loss of a machine for good to the start of its successor.
	// retiring is the machine that current replaces, until it is taken away at retireAt.
	current, retiring *host
	retireAt          clock.Millis
	// restore ends the disturbance at restoreAt; nil without a disturbance.
	restore   func()
	restoreAt clock.Millis
	// countsUntil is the end of the catch-up time of a machine that is back or new.
	countsUntil clock.Millis
	// diskLost is set until the machine whose disk was lost no longer counts as lost.
	diskLost bool
	// replaced is set with diskLost if the machine has a successor. A loss of the
	// successor's disk before that time is the loss of a second machine with its disk.
	replaced bool
	// since is the time at which the current machine started with an empty disk.
	since    clock.Millis
	nextJoin clock.Millis
}

// disturbed reports whether the machine is down, frozen, slow, cut off or absent.
func (p *place) disturbed() bool { return p.restore != nil || p.retiring != nil }

// fleet simulates the machines of a site, which join, are lost and are replaced, and
// checks that the group commits a write in the time that the users' page allows.
type fleet struct {
	*simulation
	site
	places []*place
	names  int
	// split is set while one half of the machines is cut from the other.
	split      bool
	splitUntil clock.Millis
	// deadline is the time until which a write submitted after mustCommitAfter must be
	// committed.
	deadline, mustCommitAfter clock.Millis
	// lastOverload is the last time at which more machines were lost than the tolerance
	// allows, or the fleet was split.
	lastOverload             clock.Millis
	overloaded               bool
	nextReconcile, nextProbe clock.Millis
	// probes maps the number of a probe to the time at which it was submitted.
	probes    map[int64]clock.Millis
	lastProbe int64
	scanned   int
	// fullDisks is set if disks also refuse writes for a while.
	fullDisks bool
	// counts holds the number of events by name.
	counts map[string]int
}

func newFleet(seed uint64, s site) *fleet {
	f := &fleet{simulation: newSimulation(seed, 0, 0), site: s, probes: map[int64]clock.Millis{}, counts: map[string]int{}}
	f.cfg.ElectionTimeout, f.cfg.HeartbeatInterval = fleetElection, fleetHeartbeat
	f.cfg.ChunkBytes, f.cfg.MaxAppendBytes = 20, 2000
	var founders []Member
	for range 3 {
		h := f.addPlace()
		m := h.self
		m.Voter = true
		founders = append(founders, m)
	}
	for _, h := range f.hosts {
		h.disk.snap.Members = founders
		f.start(h)
	}
	for len(f.places) < s.machines {
		f.start(f.addPlace())
	}
	f.mustCommitAfter, f.deadline = f.now, f.now+s.catchUp
	return f
}

// addPlace adds a place with a machine that has yet to start.
func (f *fleet) addPlace() *host {
	p := &place{zone: model.Zone(fmt.Sprint("zone-", len(f.places)%3))}
	f.places = append(f.places, p)
	return f.occupy(p)
}

// occupy puts a machine with a new name and an empty disk at a place.
func (f *fleet) occupy(p *place) *host {
	f.names++
	h := &host{self: f.newMember()}
	h.self.Name, h.self.Zone = model.Process(fmt.Sprint("process-", f.names)), p.zone
	f.hosts = append(f.hosts, h)
	p.current, p.since, p.countsUntil = h, f.now, f.now+f.catchUp
	return h
}

// remove takes a machine and its disk away for good.
func (f *fleet) remove(h *host) {
	f.crash(h)
	f.hosts = slices.DeleteFunc(f.hosts, func(x *host) bool { return x == h })
}

// newIdentity replaces the disk of a machine that is down by an empty one.
func (f *fleet) newIdentity(p *place) {
	h := p.current
	id := f.newMember().ID
	h.self.ID, h.disk = id, disk{}
	p.since = f.now
}

// lost returns the number of places that count as lost.
func (f *fleet) lost() int {
	n := 0
	for _, p := range f.places {
		if p.disturbed() || f.now < p.countsUntil {
			n++
		}
	}
	return n
}

// disksLost returns the number of places whose disk counts as lost.
func (f *fleet) disksLost() int {
	n := 0
	for _, p := range f.places {
		if p.diskLost {
			n++
		}
	}
	return n
}

// step advances the time, performs what the processes and clients do, and checks the
// deadline.
func (f *fleet) step() {
	for _, h := range f.hosts {
		if h.suspended {
			h.clockLag += fleetStep
		}
	}
	f.run(fleetStep)
	f.restoreDue()
	for _, p := range f.places {
		f.requestMembership(p)
	}
	if f.now >= f.nextReconcile {
		f.nextReconcile = f.now + reconcileInterval
		f.reconcileAll()
	}
	f.probe()
	f.account()
}

func (f *fleet) restoreDue() {
	if f.split && f.now >= f.splitUntil {
		f.endSplit()
	}
	for _, p := range f.places {
		if p.restore != nil && f.now >= p.restoreAt {
			restore := p.restore
			p.restore = nil
			restore()
			p.countsUntil = f.now + f.catchUp
			f.disturbance()
		}
		if p.retiring != nil && f.now >= p.retireAt {
			f.retire(p)
		}
	}
}

// retire stops the machine that a place's current one replaces, and takes it away once it
// has no vote or has asked for long enough to be replaced. It stops counting then, because
// its successor has had the time to catch up.
func (f *fleet) retire(p *place) {
	if h := p.retiring; h.node.Votes() && f.now < p.retireAt+leaveTime {
		if f.now%reconcileInterval == 0 {
			f.leave(h)
		}
		return
	}
	f.remove(p.retiring)
	p.retiring = nil
	f.disturbance()
}

// disturbance restarts the time in which the group must commit a write.
func (f *fleet) disturbance() {
	f.mustCommitAfter = f.now
	f.deadline = max(f.deadline, f.now+commitBound)
}

// account updates what counts as lost and fails if no write was committed in time.
func (f *fleet) account() {
	disturbed := slices.ContainsFunc(f.places, (*place).disturbed)
	if f.split || f.lost() > f.faults {
		f.lastOverload, f.overloaded = f.now, true
	}
	if f.overloaded && (disturbed || f.split) {
		f.mustCommitAfter, f.deadline = f.now, f.now+f.recovery
	}
	if f.overloaded && f.now >= f.lastOverload+f.recovery {
		f.overloaded = false
	}
	for _, p := range f.places {
		// Entries on a lost disk cannot be copied while more machines are lost than
		// the tolerance allows, so that the disk counts until the group has recovered.
		if !p.disturbed() && f.now >= p.countsUntil && !f.overloaded {
			p.diskLost, p.replaced = false, false
		}
	}
	if f.now > f.deadline {
		f.failf("no write submitted after %d ms was committed by %d ms\n%s", f.mustCommitAfter, f.deadline, f.describe())
	}
}

// probe submits a write that leaves the register unchanged to each leader, and extends
// the deadline when one that was submitted late enough is committed.
func (f *fleet) probe() {
	for ; f.scanned < len(f.committed); f.scanned++ {
		e := f.committed[f.scanned]
		if e.Kind != EntryChange {
			continue
		}
		if at, ok := f.probes[decodeRequest(e.Data).new]; ok && at > f.mustCommitAfter {
			f.mustCommitAfter, f.deadline = f.now, f.now+commitBound
		}
	}
	if f.now < f.nextProbe {
		return
	}
	f.nextProbe = f.now + probeInterval
	for _, h := range f.hosts {
		if h.node != nil && !h.frozen && h.node.Role() == RoleLeader {
			f.lastProbe--
			if _, _, err := h.node.Propose(request{kind: opCompareAndSwap, old: -1, new: f.lastProbe}.encode(), f.clockOf(h)); err == nil {
				f.probes[f.lastProbe] = f.now
			}
		}
	}
}

// connected reports whether two running processes can exchange messages.
func connected(a, b *host) bool {
	return a.running() && b.running() && (a == b || a.partition == b.partition && !a.cutIn && !a.cutOut && !b.cutIn && !b.cutOut)
}

func (h *host) running() bool { return h != nil && h.node != nil && !h.frozen }

// requestMembership asks the leader for membership through the processes that can be
// reached, if the process is not listed.
func (f *fleet) requestMembership(p *place) {
	h := p.current
	if !h.running() || f.now < p.nextJoin {
		return
	}
	p.nextJoin = f.now + joinInterval
	for _, i := range f.random.Perm(len(f.hosts)) {
		x := f.hosts[i]
		if x == h || !connected(h, x) {
			continue
		}
		l := f.byID(x.node.Leader())
		if l == nil || !connected(x, l) || l.node.Role() != RoleLeader {
			continue
		}
		if _, listed := l.node.member(h.self.ID); listed {
			return
		}
		_, _, _ = l.node.ChangeMembers(MemberChange{Kind: AddMember, Member: h.self}, f.clockOf(l))
		return
	}
}

// reconcileAll makes the next membership change on each member that believes it leads.
func (f *fleet) reconcileAll() {
	for _, h := range f.hosts {
		if !h.running() || h.node.Role() != RoleLeader {
			continue
		}
		c, ok := h.node.NextChange(f.size())
		if !ok {
			continue
		}
		if _, _, err := h.node.ChangeMembers(c, f.clockOf(h)); err == nil {
			f.counts[c.Kind.String()]++
		}
	}
}

// describe returns the state of all machines and member lists.
func (f *fleet) describe() string {
	s := fmt.Sprintf("lost %d, disks lost %d, overloaded %t, split %t\n", f.lost(), f.disksLost(), f.overloaded, f.split)
	for _, h := range f.hosts {
		s += fmt.Sprintf("%x %s %s: partition %d cut %t/%t frozen %t delay %d", h.self.ID, h.self.Name, h.self.Zone, h.partition, h.cutIn, h.cutOut, h.frozen, h.diskDelay)
		if h.node == nil {
			s += " down\n"
			continue
		}
		s += fmt.Sprintf(" %s term %d leader %x last %d commit %d, list at %d:", h.node.Role(), h.node.Term(), h.node.Leader(), h.node.log.last(), h.node.commit, h.node.MembersIndex())
		for _, m := range h.node.Members() {
			s += fmt.Sprintf(" %x", m.ID)
			if m.Voter {
				s += "v"
			}
			if m.OldVoter {
				s += "o"
			}
		}
		s += "\n"
	}
	return s
}
