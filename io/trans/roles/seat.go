package roles

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"camphorridge/core/coord/boot"
	"camphorridge/core/coord/group"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/io/trans/peers"
)

// seat is the consensus duty as the servers and the mover see it. Until the
// group is formed it answers who this process is and refuses everything else.
type seat struct {
	self boot.Hello
	mu   sync.Mutex
	duty *consensus
	// formed is closed once duty is set.
	formed chan struct{}
}

func newSeat(self boot.Hello) *seat {
	return &seat{self: self, formed: make(chan struct{})}
}

func (m *seat) set(d *consensus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.duty = d
	close(m.formed)
}

func (m *seat) get() (*consensus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.duty == nil {
		return nil, &Error{Op: "consensus", Kind: KindServe, Err: fmt.Errorf("the group is not formed yet")}
	}
	return m.duty, nil
}

// Hello says who this process is. It counts as initialised once it has a
// member list.
func (m *seat) Hello() boot.Hello {
	h := m.self
	d, err := m.get()
	if err != nil {
		return h
	}
	members := d.Status().Members
	h.Initialised = len(members) > 0
	for _, x := range members {
		if !x.Voter {
			return h
		}
	}
	h.Founders = members
	return h
}

// Propose hands a change to the group.
func (m *seat) Propose(ctx context.Context, c model.Change) (model.Result, error) {
	d, err := m.get()
	if err != nil {
		return model.Result{}, notLeading{}
	}
	r, err := d.Propose(ctx, c)
	return r, mapped(err)
}

// Read returns once a read that starts now may be answered.
func (m *seat) Read(ctx context.Context) error {
	d, err := m.get()
	if err != nil {
		return err
	}
	return mapped(d.Read(ctx))
}

// Query runs f on the replicated state.
func (m *seat) Query(ctx context.Context, f func(*fleet.State)) error {
	d, err := m.get()
	if err != nil {
		return err
	}
	return d.Query(ctx, f)
}

// Step passes messages of other members on.
func (m *seat) Step(ctx context.Context, all []raft.Message) error {
	d, err := m.get()
	if err != nil {
		return err
	}
	return d.Step(ctx, all)
}

// Status is the state of consensus in this process.
func (m *seat) Status() peers.GroupStatus {
	d, err := m.get()
	if err != nil {
		return peers.GroupStatus{}
	}
	s := d.Status()
	return peers.GroupStatus{Role: s.Role, Term: s.Term, Commit: s.Commit, Leader: s.Leader}
}

// Leads reports whether this process leads and in which term.
func (m *seat) Leads() (uint64, bool) {
	s := m.Status()
	return s.Term, s.Role == raft.RoleLeader
}

// notLeading says that this process does not lead and which one does.
type notLeading struct{ leader raft.Member }

func (e notLeading) Error() string { return "this member is not the leader" }

// KnownLeader names the leader; empty when unknown.
func (e notLeading) KnownLeader() (name, address string) {
	return string(e.leader.Name), e.leader.Address
}

// mapped turns the error of a member that does not lead into one that names
// the leader.
func mapped(err error) error {
	var e *group.Error
	if errors.As(err, &e) && e.Kind == group.KindNotLeader {
		return notLeading{leader: e.Leader}
	}
	return err
}

// Await returns once the table's version is above v or ctx has ended.
func (m *seat) Await(ctx context.Context, v model.Version) {
	d, err := m.get()
	if err != nil {
		<-ctx.Done()
		return
	}
	d.Await(ctx, v)
}

// Peers is what the leader knows of the other members.
func (m *seat) Peers() []raft.PeerStatus {
	if d, err := m.get(); err == nil {
		return d.Status().Peers
	}
	return nil
}

// Members is the member list in force.
func (m *seat) Members() []raft.Member {
	if d, err := m.get(); err == nil {
		return d.Status().Members
	}
	return nil
}

// ChangeMembers makes one change of the member list.
func (m *seat) ChangeMembers(ctx context.Context, c raft.MemberChange) error {
	d, err := m.get()
	if err != nil {
		return err
	}
	return d.ChangeMembers(ctx, c)
}
