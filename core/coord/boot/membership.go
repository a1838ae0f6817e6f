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
	// checkInterval is the time between two checks of the member list.
	checkInterval = clock.Second
	// checkTimeout is the timeout of one check. Adding a member can take long, because
	// its old ID is removed only after an election timeout without contact.
	checkTimeout = 5 * clock.Second
	// maxChecksWithoutLeader is the number of consecutive checks without a known
	// leader after which a listed member asks to join: it may have been removed while
	// it was not running.
	maxChecksWithoutLeader = 3
)

// View is a member's view of its group.
type View struct {
	Members []raft.Member
	// IsLeader is set when this process leads.
	IsLeader bool
	// HasLeader is set when a leader is known.
	HasLeader bool
}

// Group is the control group as a MembershipManager uses it.
type Group interface {
	// Refresh passes the addresses of the current members to the message transport and
	// returns this process's view of the group.
	Refresh(ctx context.Context) View
	// Join adds a member; only the leader can. If a listed member has the same name,
	// Join waits until that one no longer answers.
	Join(ctx context.Context, m raft.Member) error
}

// MembershipManager checks the member list once per checkInterval and refreshes the
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
	// Address is that of the process that answered, or that was called last.
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

// Run checks the member list until Stop is called, and then returns nil.
func (mm *MembershipManager[P, G]) Run() error {
	for {
		select {
		case <-mm.clock.After(checkInterval):
			mm.check()
		case <-mm.done:
			return nil
		}
	}
}

// Stop ends Run. It must be called at most once.
func (mm *MembershipManager[P, G]) Stop() { close(mm.done) }

func (mm *MembershipManager[P, G]) check() {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout.Duration())
	defer cancel()
	v := mm.group.Refresh(ctx)
	if !v.IsLeader {
		mm.requestMembership(ctx, v)
		return
	}
	mm.checksWithoutLeader = 0
	self := mm.self
	self.Initialised = true
	configured := *mm.configured.Load()
	m, ok := UnlistedMember(v.Members, configured, collectAnswers(mm.peers, self, configured))
	if ok && mm.group.Join(ctx, m) == nil {
		mm.joined(m)
	}
}

// requestMembership asks the group for membership when this process is not a member,
// or may have been removed because it has had no leader for maxChecksWithoutLeader
// checks. The request has no effect for a member that is still listed.
func (mm *MembershipManager[P, G]) requestMembership(ctx context.Context, v View) {
	listed := slices.ContainsFunc(v.Members, func(m raft.Member) bool { return m.ID == mm.self.ID })
	mm.checksWithoutLeader++
	if v.HasLeader {
		mm.checksWithoutLeader = 0
	}
	if mm.member.ID == 0 || (listed && mm.checksWithoutLeader < maxChecksWithoutLeader) {
		return
	}
	others := slices.DeleteFunc(slices.Clone(*mm.configured.Load()), func(m model.Member) bool { return m.Name == mm.self.Name })
	// After an error, the next check asks again.
	address, err := mm.peers.Join(ctx, others, mm.member)
	attempt := JoinAttempt{Address: address}
	if err != nil {
		attempt.Err = err.Error()
	}
	if attempt != mm.lastAsked {
		mm.lastAsked = attempt
		mm.asked(attempt)
	}
}
