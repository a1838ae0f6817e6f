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
	"camphorridge/io/proto/codec"
	"camphorridge/io/trans/peers"
)

// statusTimeout is the maximum time to wait for the status of this process's member.
const statusTimeout = clock.Second

// memberAccess gives the servers, the mover and the job runner access to this
// process's member of the control group. Until the member is set, Hello already
// describes this process, the status is empty, and calls that need the member fail.
type memberAccess struct {
	self    boot.Hello
	senders *peers.Senders
	// lastStatus is the status after the latest change; nil before the first.
	lastStatus atomic.Pointer[group.Status]
	// onStatus, if set, is called after each update of the status; it must not block.
	onStatus func()
	mu       sync.Mutex
	// member is set right before its event loop starts: at once if the data folder
	// shows that this process has been in a group, otherwise when it has formed the
	// group or has found the group that it then waits to be added to. It is nil before
	// that.
	member *raftMember
}

func newMemberAccess(h boot.Hello, s *peers.Senders) *memberAccess {
	return &memberAccess{self: h, senders: s}
}

// setMember makes the member available to all calls. Its event loop starts right
// afterwards.
func (m *memberAccess) setMember(member *raftMember) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.member = member
}

// getMember returns the member, or an error if it isn't set yet.
func (m *memberAccess) getMember() (*raftMember, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.member == nil {
		return nil, &Error{Op: "consensus", Kind: KindServe, Err: fmt.Errorf("this process has neither formed nor found the control group yet")}
	}
	return m.member, nil
}

// updateStatus stores a new status and passes the members to the senders. Only the
// event loop of the member calls it, after each change of the role, term, leader,
// member list or disk state, so that no older status replaces a newer one.
func (m *memberAccess) updateStatus(s group.Status) {
	m.lastStatus.Store(&s)
	m.senders.AddMembers(s.Members)
	if m.onStatus != nil {
		m.onStatus()
	}
}

// queryStatus requests the current status from the event loop of the member, and
// passes the members to the senders. It returns the zero status if there is no member
// yet or no answer within statusTimeout. It does not store the status, which a change
// may have overtaken.
func (m *memberAccess) queryStatus(ctx context.Context) group.Status {
	member, err := m.getMember()
	if err != nil {
		return group.Status{}
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	s, err := member.Status(ctx)
	if err != nil {
		return group.Status{}
	}
	m.senders.AddMembers(s.Members)
	return s
}

// Refresh requests the current status, passes the addresses of the members to the
// senders, and returns this process's view of the group.
func (m *memberAccess) Refresh(ctx context.Context) boot.View {
	s := m.queryStatus(ctx)
	return boot.View{Members: s.Members, IsLeader: s.Role == raft.RoleLeader, Leader: s.Leader.ID}
}

// AddAddress passes the address of a control process to the senders.
func (m *memberAccess) AddAddress(x raft.Member) { m.senders.AddMembers([]raft.Member{x}) }

// Join adds a member. It fails unless this process is the leader. The senders keep
// the address of x even if Join fails.
func (m *memberAccess) Join(ctx context.Context, x raft.Member) error {
	member, err := m.getMember()
	if err != nil {
		return err
	}
	m.senders.AddMembers([]raft.Member{x})
	members, err := member.Join(ctx, x)
	m.senders.AddMembers(members)
	return err
}

// Leave makes a standby a voter in place of this process. It fails if there is none that
// can take its place.
func (m *memberAccess) Leave(ctx context.Context) error {
	member, err := m.getMember()
	if err != nil {
		return err
	}
	return member.Leave(ctx)
}

// Hello describes this process to the other control processes. The process counts as
// initialised once it has a member list, also while its event loop does not answer; see
// boot.Hello for the founders.
func (m *memberAccess) Hello() boot.Hello {
	h := m.self
	members := m.queryStatus(context.Background()).Members
	last := m.lastStatus.Load()
	h.Initialised = h.Initialised || len(members) > 0 || (last != nil && len(last.Members) > 0)
	for _, x := range members {
		if !x.Voter || x.OldVoter {
			return h
		}
	}
	h.Founders = members
	return h
}

// Propose proposes a change and returns its result once it is applied. If this
// process isn't the leader, the error is a notLeaderError.
func (m *memberAccess) Propose(ctx context.Context, c model.Change) (model.Result, error) {
	member, err := m.getMember()
	if err != nil {
		return model.Result{}, notLeaderError{}
	}
	r, err := member.Propose(ctx, c)
	return r, asNotLeaderError(err)
}

// Read returns once a subsequent Query is certain to observe every change that was
// acknowledged before the call. If this process isn't the leader, the error is a
// notLeaderError.
func (m *memberAccess) Read(ctx context.Context) error {
	member, err := m.getMember()
	if err != nil {
		return err
	}
	return asNotLeaderError(member.ReadBarrier(ctx))
}

// Query calls f with the state as applied on this member. f must neither modify nor
// keep the state.
func (m *memberAccess) Query(ctx context.Context, f func(*fleet.State)) error {
	member, err := m.getMember()
	if err != nil {
		return err
	}
	return member.Query(ctx, f)
}

// Await returns once the table's version is above v, this process's member stops, or
// ctx is done.
func (m *memberAccess) Await(ctx context.Context, v model.Version) {
	member, err := m.getMember()
	if err != nil {
		<-ctx.Done()
		return
	}
	fired, err := member.Watch(ctx, v)
	if err != nil {
		return
	}
	select {
	case <-fired:
	case <-member.Done():
	case <-ctx.Done():
	}
}

// Step passes messages of other members to this process's member.
func (m *memberAccess) Step(all []raft.Message) error {
	member, err := m.getMember()
	if err != nil {
		return err
	}
	member.Step(all)
	return nil
}

// Status returns the role, term and leader as of the latest status update.
func (m *memberAccess) Status() peers.GroupStatus {
	s := m.lastStatus.Load()
	if s == nil {
		return peers.GroupStatus{}
	}
	return peers.GroupStatus{Role: s.Role, Term: s.Term, Leader: s.Leader}
}

// Leads returns the term and whether this process is the leader, as of the latest
// status update.
func (m *memberAccess) Leads() (uint64, bool) {
	s := m.Status()
	return s.Term, s.Role == raft.RoleLeader
}

// ChangeBytes returns the size of an encoded change.
func (m *memberAccess) ChangeBytes(c model.Change) int { return len(codec.Codec{}.EncodeChange(c)) }

// TooLarge reports whether an error of Propose means that the change is too large.
func (m *memberAccess) TooLarge(err error) bool {
	var e *group.Error
	return errors.As(err, &e) && e.Kind == group.KindTooLarge
}

// NotApplied reports whether an error of Propose means that the change was not and
// will not be applied.
func (m *memberAccess) NotApplied(err error) bool {
	var n notLeaderError
	var e *group.Error
	return errors.As(err, &n) || (errors.As(err, &e) && e.Kind != group.KindOutcomeUnknown)
}

// notLeaderError is the error of a call that only the leader can answer. It names the
// leader if one is known.
type notLeaderError struct{ leader raft.Member }

func (e notLeaderError) Error() string { return "this member is not the leader" }

// KnownLeader returns the name and address of the leader, or empty strings if it
// is unknown.
func (e notLeaderError) KnownLeader() (name, address string) {
	return string(e.leader.Name), e.leader.Address
}

// asNotLeaderError converts an error of KindNotLeader of package group to a
// notLeaderError and returns other errors unchanged.
func asNotLeaderError(err error) error {
	var e *group.Error
	if errors.As(err, &e) && e.Kind == group.KindNotLeader {
		return notLeaderError{leader: e.Leader}
	}
	return err
}
