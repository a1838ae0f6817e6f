package boot

import (
	"context"
	"slices"
	"sync/atomic"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

const (
	// checkInterval is the time between two checks of the member list, and
	// unlistedCheckInterval the time between them in a process that is not in the list:
	// until it is, the group can bear one loss fewer.
	checkInterval                      = clock.Second
	unlistedCheckInterval clock.Millis = 200
	// checkTimeout bounds the calls of one check; the next check repeats what was not
	// done.
	checkTimeout = clock.Second
	// maxChecksWithoutLeader is the number of consecutive checks without a known
	// leader after which a listed member asks to join: it may have been removed while
	// it was not running.
	maxChecksWithoutLeader = 2
)

// View is a member's view of its group.
type View struct {
	Members []raft.Member
	// IsLeader is set when this process leads.
	IsLeader bool
	// Leader is the ID of the known leader, which need not be in Members; 0 if none is
	// known.
	Leader raft.MemberID
}

// lists reports whether the member list contains an ID.
func (v View) lists(id raft.MemberID) bool {
	return slices.ContainsFunc(v.Members, func(m raft.Member) bool { return m.ID == id })
}

// Group is the control group as a MembershipManager uses it.
type Group interface {
	// Refresh passes the addresses of the current members to the message transport and
	// returns this process's view of the group.
	Refresh(ctx context.Context) View
	// AddAddress passes the address of a control process to the message transport.
	AddAddress(m raft.Member)
	// Join adds a member; only the leader can.
	Join(ctx context.Context, m raft.Member) error
}

// MembershipManager checks the member list at regular intervals and refreshes the
// members' addresses. On the leader it adds processes that lost their data folder,
// under their new ID. In a process that is not a member it asks to become one.
type MembershipManager[P PeerClient, G Group] struct {
	self Hello
	// member is the member that requestMembership asks the group to add; if its ID is 0,
	// it does not ask.
	member raft.Member
	// configured holds the control processes in the settings.
	configured atomic.Pointer[[]model.Member]
	peers      P
	group      G
	clock      clock.Clock
	// done is closed by Stop.
	done chan struct{}
	// joined is called with each process that was added.
	joined func(m raft.Member)
	// asked is called with the outcome of a request for membership if it differs from
	// lastAsked, the outcome of the request before.
	asked     func(JoinAttempt)
	lastAsked JoinAttempt
	// checksWithoutLeader counts the consecutive checks without a known leader.
	checksWithoutLeader int
}

// Config holds the settings and dependencies of a MembershipManager.
type Config[P PeerClient, G Group] struct {
	Self Hello
	// Member describes this process as the member that the group is asked to add. If its
	// ID is 0, the group is not asked.
	Member raft.Member
	// Configured lists the control processes in the settings.
	Configured []model.Member
	Peers      P
	Group      G
	Clock      clock.Clock
	// Joined is called with each process that was added.
	Joined func(raft.Member)
	// Asked is called with the outcome of a request for membership of this process if it
	// differs from the outcome of the request before.
	Asked func(JoinAttempt)
}

// JoinAttempt is the outcome of a request for membership of this process.
type JoinAttempt struct {
	// Address is that of the leader that added this process; empty after an error.
	Address string
	// Err is the text of the error; empty if this process is a member now.
	Err string
}

// NewMembershipManager returns a MembershipManager, which checks the member list only
// while Run is running.
func NewMembershipManager[P PeerClient, G Group](cfg Config[P, G]) *MembershipManager[P, G] {
	mm := &MembershipManager[P, G]{
		self: cfg.Self, member: cfg.Member, peers: cfg.Peers, group: cfg.Group, clock: cfg.Clock,
		done: make(chan struct{}), joined: cfg.Joined, asked: cfg.Asked,
	}
	mm.Configure(cfg.Configured)
	return mm
}

// Configure replaces the configured control processes. It may be called from any
// goroutine.
func (mm *MembershipManager[P, G]) Configure(all []model.Member) { mm.configured.Store(&all) }

// Configured returns the configured control processes. It may be called from any
// goroutine.
func (mm *MembershipManager[P, G]) Configured() []model.Member { return *mm.configured.Load() }

// Run checks the member list until Stop is called, and then returns nil.
func (mm *MembershipManager[P, G]) Run() error {
	interval := unlistedCheckInterval
	for {
		select {
		case <-mm.clock.After(interval):
			interval = mm.check()
		case <-mm.done:
			return nil
		}
	}
}

// Stop ends Run. It must be called at most once.
func (mm *MembershipManager[P, G]) Stop() { close(mm.done) }

// check makes one check and returns the time until the next one.
func (mm *MembershipManager[P, G]) check() clock.Millis {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout.Duration())
	defer cancel()
	v := mm.group.Refresh(ctx)
	if !v.IsLeader {
		return mm.requestMembership(ctx, v)
	}
	mm.checksWithoutLeader = 0
	self := mm.self
	self.Initialised = true
	configured := mm.Configured()
	m, ok := UnlistedMember(v.Members, configured, collectAnswers(mm.peers, self, configured))
	if ok && mm.group.Join(ctx, m) == nil {
		mm.joined(m)
	}
	return checkInterval
}

// requestMembership asks the group for membership when this process is not a member,
// or may have been removed because it has had no leader for maxChecksWithoutLeader
// checks. The request has no effect for a member that is still listed. It returns the
// time until the next check.
func (mm *MembershipManager[P, G]) requestMembership(ctx context.Context, v View) clock.Millis {
	listed, interval := v.lists(mm.self.ID), unlistedCheckInterval
	if listed {
		interval = checkInterval
	}
	mm.checksWithoutLeader++
	// A process whose list lacks the leader cannot reply to it, and so never gets a newer
	// list.
	if v.lists(v.Leader) {
		mm.checksWithoutLeader = 0
	}
	if mm.member.ID == 0 || (listed && mm.checksWithoutLeader < maxChecksWithoutLeader) {
		return interval
	}
	address, err := mm.peers.Join(ctx, mm.others(v.Members), mm.member)
	attempt := JoinAttempt{Address: address}
	if err != nil {
		// The next check asks again.
		attempt.Err = err.Error()
	} else {
		mm.addLeader(ctx, address)
	}
	if attempt != mm.lastAsked {
		mm.lastAsked = attempt
		mm.asked(attempt)
	}
	return interval
}

// others returns the other control processes in the settings and in the member list,
// without repeated addresses. The settings may name only processes that are gone, and
// the list of a process that was removed is out of date.
func (mm *MembershipManager[P, G]) others(members []raft.Member) []model.Member {
	all := slices.Clone(mm.Configured())
	for _, m := range members {
		all = append(all, model.Member{Name: m.Name, Zone: m.Zone, Address: m.Address})
	}
	seen := map[string]bool{}
	return slices.DeleteFunc(all, func(m model.Member) bool {
		repeated := seen[m.Address]
		seen[m.Address] = true
		return repeated || m.Name == mm.self.Name
	})
}

// addLeader passes the address of the leader to the message transport. Without it, a
// process whose settings do not name the leader could not reply to it, and would never
// receive the member list.
func (mm *MembershipManager[P, G]) addLeader(ctx context.Context, address string) {
	h, err := mm.peers.Hello(ctx, model.Member{Address: address})
	if err == nil && h.ID != 0 {
		mm.group.AddAddress(raft.Member{ID: h.ID, Name: h.Name, Address: address})
	}
}
