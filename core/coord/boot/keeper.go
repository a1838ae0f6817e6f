package boot

import (
	"context"
	"slices"
	"sync/atomic"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

// keepInterval separates two looks at the member list, and joinTimeout bounds
// one: the old identity counts as gone only after an election timeout.
const (
	keepInterval = clock.Second
	joinTimeout  = 5 * clock.Second
	// aloneLooks is the number of looks without a known leader after which a
	// member asks to join: it may have been removed while it was away.
	aloneLooks = 3
	// silentMillis is how long a member is not heard before it is removed from
	// a group that is larger than it has to be.
	silentMillis = 8 * clock.Second
)

// View is what a member knows of its group.
type View struct {
	Members []raft.Member
	// IsLeader says that this process leads, and Led that a leader is known.
	IsLeader  bool
	HasLeader bool
	// Silent lists, in the leader, the members that were not heard lately.
	Silent []raft.MemberID
}

// Membership is what the keeper needs of the group.
type Membership interface {
	// Refresh makes the addresses of the current members known to the senders
	// and returns what the member knows.
	Refresh(ctx context.Context) View
	// Join adds a member on the leader; it takes the place of the listed member
	// of that name when that one no longer answers.
	Join(ctx context.Context, m raft.Member) error
	// Remove removes a member on the leader.
	Remove(ctx context.Context, id raft.MemberID) error
}

// MembershipManager is the duty that keeps the members' addresses known. In the leader it
// adds processes that lost their data folder under their new identity, and
// removes members that are gone from a group that another one has joined. In a
// process that is not a member it asks to become one.
type MembershipManager[A PeerClient, M Membership] struct {
	self   Hello
	member raft.Member
	// configured holds the processes that the settings name.
	configured atomic.Pointer[[]model.Member]
	// size is the number of members that the group never falls below by
	// removals.
	size  int
	asker A
	group M
	clock clock.Clock
	done  chan struct{}
	// joined is told of each process that was added, and removed of each
	// member that was removed.
	joined  func(m raft.Member)
	removed func(id raft.MemberID)
	// alone counts the looks in a row without a known leader.
	alone int
	// silent holds since when members have not been heard.
	silent map[raft.MemberID]clock.Millis
}

// Config are what a keeper works with.
type Config[A PeerClient, M Membership] struct {
	Self       Hello
	Member     raft.Member
	Configured []model.Member
	MinMembers int
	Asker      A
	Group      M
	Clock      clock.Clock
	Joined     func(raft.Member)
	Removed    func(raft.MemberID)
}

// NewMembershipManager returns a keeper; Run must be called for it to do anything.
func NewMembershipManager[A PeerClient, M Membership](p Config[A, M]) *MembershipManager[A, M] {
	k := &MembershipManager[A, M]{
		self: p.Self, member: p.Member, size: p.MinMembers, asker: p.Asker, group: p.Group, clock: p.Clock,
		done: make(chan struct{}), joined: p.Joined, removed: p.Removed, silent: map[raft.MemberID]clock.Millis{},
	}
	k.Configure(p.Configured)
	return k
}

// Configure replaces the processes that the settings name. It may be called
// from any goroutine.
func (k *MembershipManager[A, M]) Configure(all []model.Member) { k.configured.Store(&all) }

// Run looks at the member list until Stop.
func (k *MembershipManager[A, M]) Run() error {
	for {
		select {
		case <-k.clock.After(keepInterval):
			k.look()
		case <-k.done:
			return nil
		}
	}
}

// Stop ends Run.
func (k *MembershipManager[A, M]) Stop() { close(k.done) }

func (k *MembershipManager[A, M]) look() {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout.Duration())
	defer cancel()
	v := k.group.Refresh(ctx)
	if !v.IsLeader {
		clear(k.silent)
		k.enlist(ctx, v)
		return
	}
	k.alone = 0
	k.retire(ctx, v)
	self := k.self
	self.Initialised = true
	configured := *k.configured.Load()
	m, ok := UnlistedMember(v.Members, configured, ask(k.asker, self, configured))
	if ok && k.group.Join(ctx, m) == nil {
		k.joined(m)
	}
}

// enlist asks for membership when this process is not a member, or hears no
// leader for a while and may have been removed. For a member that is listed it
// changes nothing.
func (k *MembershipManager[A, M]) enlist(ctx context.Context, v View) {
	listed := slices.ContainsFunc(v.Members, func(m raft.Member) bool { return m.ID == k.self.ID })
	k.alone++
	if v.HasLeader {
		k.alone = 0
	}
	if k.member.ID == 0 || (listed && k.alone < aloneLooks) {
		return
	}
	others := slices.DeleteFunc(slices.Clone(*k.configured.Load()), func(m model.Member) bool { return m.Name == k.self.Name })
	// Without an answer the next look asks again.
	_ = k.asker.Join(ctx, others, k.member)
}

// retire removes a member that has not been heard for long from a group that
// is larger than its size, as after the replacement of a machine for good.
func (k *MembershipManager[A, M]) retire(ctx context.Context, v View) {
	now := k.clock.Now()
	for id := range k.silent {
		if !slices.Contains(v.Silent, id) {
			delete(k.silent, id)
		}
	}
	for _, id := range v.Silent {
		since, known := k.silent[id]
		if !known {
			k.silent[id] = now
			continue
		}
		if len(v.Members) > k.size && now-since >= silentMillis {
			if k.group.Remove(ctx, id) == nil {
				k.removed(id)
			}
			return
		}
	}
}
