package roles

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"camphorridge/core/coord/boot"
	"camphorridge/core/coord/group"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/io/trans/peers"
)

// statusTimeout bounds a question to the consensus duty.
const statusTimeout = clock.Second

// groupMember is the consensus duty as the servers and the mover see it. Until the
// group is formed it answers who this process is and refuses everything else.
type groupMember struct {
	self    boot.Hello
	senders *peers.Senders
	// lastStatus is the duty's latest report; nil before the first.
	lastStatus atomic.Pointer[group.Status]
	// onStatus, when set, is called after each report; it must not wait.
	onStatus  func()
	mu        sync.Mutex
	consensus *consensusGroup
}

func newMember(h boot.Hello, s *peers.Senders) *groupMember { return &groupMember{self: h, senders: s} }

func (m *groupMember) setConsensus(d *consensusGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.consensus = d
}

func (m *groupMember) getConsensus() (*consensusGroup, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.consensus == nil {
		return nil, &Error{Op: "consensus", Kind: KindServe, Err: fmt.Errorf("the group is not formed yet")}
	}
	return m.consensus, nil
}

// updateStatus takes a report of the duty, which calls it after each change of
// role, term or leader.
func (m *groupMember) updateStatus(s group.Status) {
	m.lastStatus.Store(&s)
	m.senders.Members(s.Members)
	if m.onStatus != nil {
		m.onStatus()
	}
}

// queryStatus asks the duty for a report; the zero report stands for no answer.
func (m *groupMember) queryStatus(ctx context.Context) group.Status {
	d, err := m.getConsensus()
	if err != nil {
		return group.Status{}
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	s, err := d.Status(ctx)
	if err != nil {
		return group.Status{}
	}
	m.updateStatus(s)
	return s
}

// Refresh makes the members' addresses known to the senders.
func (m *groupMember) Refresh(ctx context.Context) boot.View {
	s := m.queryStatus(ctx)
	v := boot.View{Members: s.Members, IsLeader: s.Role == raft.RoleLeader, HasLeader: s.Leader.ID != 0}
	for _, p := range s.Peers {
		if !p.RecentlyActive {
			v.Silent = append(v.Silent, p.Member.ID)
		}
	}
	return v
}

// Remove removes a member.
func (m *groupMember) Remove(ctx context.Context, id raft.MemberID) error {
	d, err := m.getConsensus()
	if err != nil {
		return err
	}
	return d.Remove(ctx, id)
}

// Join adds a member.
func (m *groupMember) Join(ctx context.Context, x raft.Member) error {
	d, err := m.getConsensus()
	if err != nil {
		return err
	}
	m.senders.Members([]raft.Member{x})
	members, err := d.Join(ctx, x)
	m.senders.Members(members)
	return err
}

// Hello says who this process is. It counts as initialised once it has a
// member list.
func (m *groupMember) Hello() boot.Hello {
	h := m.self
	members := m.queryStatus(context.Background()).Members
	h.Initialised = h.Initialised || len(members) > 0
	for _, x := range members {
		if !x.Voter {
			return h
		}
	}
	h.Founders = members
	return h
}

// Propose hands a change to the group.
func (m *groupMember) Propose(ctx context.Context, c model.Change) (model.Result, error) {
	d, err := m.getConsensus()
	if err != nil {
		return model.Result{}, notLeading{}
	}
	r, err := d.Propose(ctx, c)
	return r, asNotLeading(err)
}

// Read returns once a read that starts now may be answered.
func (m *groupMember) Read(ctx context.Context) error {
	d, err := m.getConsensus()
	if err != nil {
		return err
	}
	return asNotLeading(d.ReadBarrier(ctx))
}

// Query runs f on the replicated state.
func (m *groupMember) Query(ctx context.Context, f func(*fleet.State)) error {
	d, err := m.getConsensus()
	if err != nil {
		return err
	}
	return d.Query(ctx, f)
}

// Await returns once the table's version is above v or ctx has ended.
func (m *groupMember) Await(ctx context.Context, v model.Version) {
	d, err := m.getConsensus()
	if err != nil {
		<-ctx.Done()
		return
	}
	fired, err := d.Watch(ctx, v)
	if err != nil {
		return
	}
	select {
	case <-fired:
	case <-d.Done():
	case <-ctx.Done():
	}
}

// Step passes messages of other members on.
func (m *groupMember) Step(all []raft.Message) error {
	d, err := m.getConsensus()
	if err != nil {
		return err
	}
	d.Step(all)
	return nil
}

// Status is the state of consensus in this process, as of the duty's latest
// report.
func (m *groupMember) Status() peers.GroupStatus {
	s := m.lastStatus.Load()
	if s == nil {
		return peers.GroupStatus{}
	}
	return peers.GroupStatus{Role: s.Role, Term: s.Term, Leader: s.Leader}
}

// Leads reports whether this process leads and in which term.
func (m *groupMember) Leads() (uint64, bool) {
	s := m.Status()
	return s.Term, s.Role == raft.RoleLeader
}

// NotApplied reports whether an error of Propose says that the change was not and
// will not be applied.
func (m *groupMember) NotApplied(err error) bool {
	var n notLeading
	var e *group.Error
	return errors.As(err, &n) || (errors.As(err, &e) && e.Kind != group.KindOutcomeUnknown)
}

// notLeading says that this process does not lead and which one does.
type notLeading struct{ leader raft.Member }

func (e notLeading) Error() string { return "this member is not the leader" }

// KnownLeader names the leader; empty when unknown.
func (e notLeading) KnownLeader() (name, address string) {
	return string(e.leader.Name), e.leader.Address
}

// asNotLeading turns the error of a member that does not lead into one that names
// the leader.
func asNotLeading(err error) error {
	var e *group.Error
	if errors.As(err, &e) && e.Kind == group.KindNotLeader {
		return notLeading{leader: e.Leader}
	}
	return err
}
