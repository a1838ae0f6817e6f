package boot

import (
	"context"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

// keepInterval separates two looks at the member list, and joinTimeout bounds
// one: the old identity counts as gone only after an election timeout.
const (
	keepInterval = clock.Second
	joinTimeout  = 5 * clock.Second
)

// Membership is what the keeper needs of the group.
type Membership interface {
	// Refresh makes the addresses of the current members known to the senders
	// and returns the members; leads says that this process leads.
	Refresh(ctx context.Context) (members []raft.Member, leads bool)
	// Join adds a member on the leader; it takes the place of the listed member
	// of that name when that one no longer answers.
	Join(ctx context.Context, m raft.Member) error
}

// Keeper is the duty that keeps the members' addresses known and, in the
// leader, adds processes that lost their data folder under their new identity.
type Keeper[A Asker, M Membership] struct {
	self       Hello
	configured []model.Member
	asker      A
	group      M
	clock      clock.Clock
	done       chan struct{}
	// joined is told of each process that was added.
	joined func(m raft.Member)
}

// NewKeeper returns a keeper for the configured members.
func NewKeeper[A Asker, M Membership](self Hello, configured []model.Member, a A, g M, c clock.Clock, joined func(raft.Member)) *Keeper[A, M] {
	return &Keeper[A, M]{
		self: self, configured: configured, asker: a, group: g, clock: c,
		done: make(chan struct{}), joined: joined,
	}
}

// Run looks at the member list until Stop.
func (k *Keeper[A, M]) Run() error {
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
func (k *Keeper[A, M]) Stop() { close(k.done) }

func (k *Keeper[A, M]) look() {
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout.Duration())
	defer cancel()
	members, leads := k.group.Refresh(ctx)
	if !leads {
		return
	}
	self := k.self
	self.Initialised = true
	m, ok := Missing(members, k.configured, ask(k.asker, self, k.configured))
	if ok && k.group.Join(ctx, m) == nil {
		k.joined(m)
	}
}
