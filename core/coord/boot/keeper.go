package boot

import (
	"context"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

// keepInterval separates two looks at the member list.
const keepInterval = clock.Second

// Membership is what the keeper needs of the group.
type Membership interface {
	// Leads reports whether this process leads and in which term.
	Leads() (term uint64, ok bool)
	Peers() []raft.PeerStatus
	Members() []raft.Member
	ChangeMembers(ctx context.Context, c raft.MemberChange) error
}

// Keeper is the duty of the leader that replaces members which lost their
// data folder and promotes members which have caught up.
type Keeper[A Asker, M Membership] struct {
	self       Hello
	configured []model.Member
	asker      A
	group      M
	clock      clock.Clock
	done       chan struct{}
	// Changed is told of each change of the member list.
	changed func(detail string)
}

// NewKeeper returns a keeper for the configured members.
func NewKeeper[A Asker, M Membership](self Hello, configured []model.Member, a A, g M, c clock.Clock, changed func(string)) *Keeper[A, M] {
	return &Keeper[A, M]{
		self: self, configured: configured, asker: a, group: g, clock: c,
		done: make(chan struct{}), changed: changed,
	}
}

// Run looks at the member list until Stop.
func (k *Keeper[A, M]) Run() error {
	for {
		select {
		case <-k.clock.After(keepInterval):
			if _, ok := k.group.Leads(); ok {
				k.look()
			}
		case <-k.done:
			return nil
		}
	}
}

// Stop ends Run.
func (k *Keeper[A, M]) Stop() { close(k.done) }

// look makes at most one change, as the group allows one at a time.
func (k *Keeper[A, M]) look() {
	for _, p := range k.group.Peers() {
		if !p.Member.Voter && p.CaughtUp {
			k.change(raft.MemberChange{Kind: raft.PromoteMember, Member: p.Member}, "promoted "+string(p.Member.Name))
			return
		}
	}
	r, ok := Replace(k.group.Members(), k.configured, ask(k.asker, k.self, k.configured))
	if !ok {
		return
	}
	if r.Remove != 0 {
		k.change(raft.MemberChange{Kind: raft.RemoveMember, Member: raft.Member{ID: r.Remove}}, "removed the lost identity of "+string(r.Add.Name))
		return
	}
	k.change(raft.MemberChange{Kind: raft.AddMember, Member: r.Add}, "added "+string(r.Add.Name)+" with a new identity")
}

func (k *Keeper[A, M]) change(c raft.MemberChange, detail string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*keepInterval.Duration())
	defer cancel()
	if k.group.ChangeMembers(ctx, c) == nil {
		k.changed(detail)
	}
}
