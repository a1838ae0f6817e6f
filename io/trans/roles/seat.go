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

// seat is the consensus duty as the servers and the mover see it. Until the
// group is formed it answers who this process is and refuses everything else.
type seat struct {
	self    boot.Hello
	senders *peers.Senders
	// last is the duty's latest report; nil before the first.
	last atomic.Pointer[group.Status]
	// changed, when set, is called after each report; it must not wait.
	changed func()
	mu      sync.Mutex
	duty    *consensus
}

func newSeat(self boot.Hello, s *peers.Senders) *seat { return &seat{self: self, senders: s} }

func (m *seat) set(d *consensus) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.duty = d
}

func (m *seat) get() (*consensus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.duty == nil {
		return nil, &Error{Op: "consensus", Kind: KindServe, Err: fmt.Errorf("the group is not formed yet")}
	}
	return m.duty, nil
}

// observe takes a report of the duty, which calls it after each change of
// role, term or leader.
func (m *seat) observe(s group.Status) {
	m.last.Store(&s)
	m.senders.SetMembers(s.Members)
	if m.changed != nil {
		m.changed()
	}
}

// ask asks the duty for a report; the zero report stands for no answer.
func (m *seat) ask(ctx context.Context) group.Status {
	d, err := m.get()
	if err != nil {
		return group.Status{}
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	s, err := d.Status(ctx)
	if err != nil {
		return group.Status{}
	}
	m.observe(s)
	return s
}

// Refresh makes the members' addresses known to the senders.
func (m *seat) Refresh(ctx context.Context) boot.View {
	s := m.ask(ctx)
	v := boot.View{Members: s.Members, IsLeader: s.Role == raft.RoleLeader, HasLeader: s.Leader.ID != 0}
	for _, p := range s.Peers {
		if !p.RecentlyActive {
			v.Silent = append(v.Silent, p.Member.ID)
		}
	}
	return v
}

// Remove removes a member.
func (m *seat) Remove(ctx context.Context, id raft.MemberID) error {
	d, err := m.get()
	if err != nil {
		return err
	}
	return d.Remove(ctx, id)
}

// Join adds a member.
func (m *seat) Join(ctx context.Context, x raft.Member) error {
	d, err := m.get()
	if err != nil {
		return err
	}
	m.senders.SetMembers([]raft.Member{x})
	members, err := d.Join(ctx, x)
	m.senders.SetMembers(members)
	return err
}

// Hello says who this process is. It counts as initialised once it has a
// member list.
func (m *seat) Hello() boot.Hello {
	h := m.self
	members := m.ask(context.Background()).Members
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
	return mapped(d.ReadBarrier(ctx))
}

// Query runs f on the replicated state.
func (m *seat) Query(ctx context.Context, f func(*fleet.State)) error {
	d, err := m.get()
	if err != nil {
		return err
	}
	return d.Query(ctx, f)
}

// Await returns once the table's version is above v or ctx has ended.
func (m *seat) Await(ctx context.Context, v model.Version) {
	d, err := m.get()
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
func (m *seat) Step(all []raft.Message) error {
	d, err := m.get()
	if err != nil {
		return err
	}
	d.Step(all)
	return nil
}

// Status is the state of consensus in this process, as of the duty's latest
// report.
func (m *seat) Status() peers.GroupStatus {
	s := m.last.Load()
	if s == nil {
		return peers.GroupStatus{}
	}
	return peers.GroupStatus{Role: s.Role, Term: s.Term, Leader: s.Leader}
}

// Leads reports whether this process leads and in which term.
func (m *seat) Leads() (uint64, bool) {
	s := m.Status()
	return s.Term, s.Role == raft.RoleLeader
}

// NotApplied reports whether an error of Propose says that the change was not and
// will not be applied.
func (m *seat) NotApplied(err error) bool {
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

// mapped turns the error of a member that does not lead into one that names
// the leader.
func mapped(err error) error {
	var e *group.Error
	if errors.As(err, &e) && e.Kind == group.KindNotLeader {
		return notLeading{leader: e.Leader}
	}
	return err
}
