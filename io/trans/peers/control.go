package peers

import (
	"context"
	"errors"

	"github.com/twitchtv/twirp"

	"camphorridge/core/coord/boot"
	"camphorridge/core/coord/follow"
	"camphorridge/core/coord/group"
	"camphorridge/core/coord/mover"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/wirepb"
)

// maxWatchWait limits the time for which a Watch call may wait for a change.
const maxWatchWait = 10 * clock.Second

// Group gives the servers access to the control group.
type Group interface {
	// Propose proposes a change and returns its result once it is applied. An
	// error with a method KnownLeader() (name, address string) means that this
	// member is not the leader and that nothing was proposed.
	Propose(ctx context.Context, c model.Change) (model.Result, error)
	// Read returns once the replicated state is recent enough for a
	// linearizable read that starts now.
	Read(ctx context.Context) error
	// Query runs f on this member's copy of the replicated state.
	Query(ctx context.Context, f func(*fleet.State)) error
	// Await returns once the version of the table is above v or ctx has ended.
	Await(ctx context.Context, v model.Version)
	// Step passes on Raft messages from other members.
	Step(all []raft.Message) error
	// Join adds a member to the group. This member must be the leader.
	Join(ctx context.Context, m raft.Member) error
	// Status returns this member's Raft state.
	Status() GroupStatus
	// Hello describes this process.
	Hello() boot.Hello
}

// GroupStatus is the Raft state of one member.
type GroupStatus struct {
	Role raft.Role
	Term uint64
	// Leader is the known leader; its ID is 0 if none is known.
	Leader raft.Member
}

// Mover gives the server access to the component that moves instances between
// pools; the production implementation is in package mover.
type Mover interface {
	// Report passes on the report of an entry process. It does not block; it
	// returns false if the mover's ring is full.
	Report(r follow.Report) bool
	// Status returns the latest reports and what the mover waits for. The result
	// is empty if ctx ends first.
	Status(ctx context.Context) mover.Status
}

// Checker checks a change before it is proposed. It returns the reason why the
// change is refused, or else a note to store with the accepted change.
type Checker func(s *fleet.State, c model.Change) (refusal, note string)

// ControlServer implements the Control service in a control process.
type ControlServer[G Group, M Mover] struct {
	Self model.Member
	// Controls and Entries list the processes in this member's settings.
	Controls []model.Member
	Entries  []model.Member
	Group    G
	Mover    M
	// Check is called for each change, except for claims, outcomes of claims,
	// and repeated changes whose request ID already has a result. If it is nil,
	// no change is checked.
	Check  Checker
	Stamps Stamps
	Clock  clock.Clock
	// Record adds an event to the event log.
	Record func(model.Event)
}

// RequireLeader returns an error that names the leader unless this member is the
// leader.
func (s *ControlServer[G, M]) RequireLeader() error { return s.requireLeader() }

func (s *ControlServer[G, M]) requireLeader() error {
	st := s.Group.Status()
	if st.Role == raft.RoleLeader {
		return nil
	}
	return s.notLeader(string(st.Leader.Name), st.Leader.Address)
}

// notLeader returns the error that names another member as the leader. The address
// comes from this member's settings if they list the leader: the member list holds
// the addresses that the founder of the group uses, which may not be reachable from
// elsewhere.
func (s *ControlServer[G, M]) notLeader(name, address string) error {
	for _, m := range s.Controls {
		if m.Name != "" && string(m.Name) == name {
			address = m.Address
		}
	}
	return notLeader(name, address)
}

// Propose checks a change, proposes it to the group, records it in the event log
// and returns its result. A change that the check refuses is recorded but not
// proposed. Only the leader accepts changes.
func (s *ControlServer[G, M]) Propose(ctx context.Context, r *wirepb.ProposeRequest) (*wirepb.ProposeResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	if err := s.requireLeader(); err != nil {
		return nil, err
	}
	c, err := codec.ChangeFromWire(r.GetChange())
	if err != nil {
		return nil, twirp.InvalidArgumentError("change", err.Error())
	}
	refusal, note := s.checkChange(ctx, c)
	if refusal != "" {
		return s.recordAndRespond(c, model.Result{Kind: model.ResultInvalid, Reason: refusal}), nil
	}
	c.Note = note
	res, err := s.Group.Propose(ctx, c)
	if err != nil {
		return nil, s.proposeError(err)
	}
	return s.recordAndRespond(c, res), nil
}

// checkChange runs Check on a change. It accepts a change whose request ID
// already has a result, because the group returns that result again. It also
// accepts any change while the state cannot be read, because the proposal then
// fails anyway.
func (s *ControlServer[G, M]) checkChange(ctx context.Context, c model.Change) (refusal, note string) {
	if s.Check == nil || c.Kind == model.ChangeClaims || c.Kind == model.ChangeOutcomes {
		return "", ""
	}
	err := s.Group.Query(ctx, func(st *fleet.State) {
		if _, answered := st.Results.Get(c.Request); answered && c.Request != "" {
			return
		}
		refusal, note = s.Check(st, c)
	})
	if err != nil {
		return "", ""
	}
	return refusal, note
}

// proposeError maps an error of Group to a Twirp error. Only a notLeaderError,
// after which nothing was proposed, may tell the caller that this member is not
// the leader: the caller takes that to mean that nothing was done.
func (s *ControlServer[G, M]) proposeError(err error) error {
	var e notLeaderError
	if errors.As(err, &e) {
		return s.notLeader(e.KnownLeader())
	}
	var refusal *group.Error
	if errors.As(err, &refusal) && refusal.Kind == group.KindTooLarge {
		return twirp.InvalidArgumentError("change", err.Error())
	}
	return twirp.NewError(twirp.Unknown, err.Error())
}

// recordAndRespond adds a change and its result to the event log and returns the
// response.
func (s *ControlServer[G, M]) recordAndRespond(c model.Change, r model.Result) *wirepb.ProposeResponse {
	s.recordChange(c, r)
	return &wirepb.ProposeResponse{Result: codec.ResultToWire(r), Stamp: codec.StampToWire(s.Stamps.Next())}
}

// recordChange adds a change and its result to the event log. Claims and their
// outcomes are left out, because there are too many of them.
func (s *ControlServer[G, M]) recordChange(c model.Change, r model.Result) {
	if c.Kind == model.ChangeClaims || c.Kind == model.ChangeOutcomes {
		return
	}
	e := model.Event{
		Kind: model.EventChangeApplied, Customer: c.Contract.Customer, Request: string(c.Request),
		Version: r.Version, Detail: c.Author,
	}
	if e.Customer == "" {
		e.Customer = c.Customer
	}
	if r.Kind != model.ResultApplied {
		e.Kind = model.EventChangeRefused
		e.Detail = c.Author + ": " + r.Reason
	}
	s.Record(e)
}

// Watch returns the delta after a version. If there is none yet, it waits for
// one up to the requested time, at most maxWatchWait, and then returns an empty
// delta.
func (s *ControlServer[G, M]) Watch(ctx context.Context, r *wirepb.WatchRequest) (*wirepb.WatchResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	// A member that knows no leader may lag behind by any amount of time. After
	// this error the caller asks another member, or the other entry processes of
	// its availability zone.
	if s.Group.Status().Leader.ID == 0 {
		return nil, twirp.NewError(twirp.Unavailable, "no leader is known")
	}
	from := model.Version(r.GetVersion())
	if wait := min(clock.Millis(r.GetWaitMs()), maxWatchWait); wait > 0 {
		waitCtx, cancel := context.WithTimeout(ctx, wait.Duration())
		s.Group.Await(waitCtx, from)
		cancel()
	}
	var d model.Delta
	if err := s.Group.Query(ctx, func(st *fleet.State) { d = st.Delta(from) }); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &wirepb.WatchResponse{
		Delta: codec.DeltaToWire(d), Ready: true, Stamp: codec.StampToWire(s.Stamps.Next()),
	}, nil
}

// Report passes a report to the mover if this member is the leader.
func (s *ControlServer[G, M]) Report(_ context.Context, r *wirepb.ReportRequest) (*wirepb.ReportResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	if err := s.requireLeader(); err != nil {
		return nil, err
	}
	rep, err := reportFromWire(r)
	if err != nil {
		return nil, twirp.InvalidArgumentError("report", err.Error())
	}
	// The term is read first, because the response must not name a later term
	// than the one in which the mover takes the report.
	term := s.Group.Status().Term
	if !s.Mover.Report(rep) {
		// The mover's input ring is full; the caller sends a report again later.
		return nil, twirp.NewError(twirp.Unavailable, "the leader is busy")
	}
	return &wirepb.ReportResponse{Term: term, Stamp: codec.StampToWire(s.Stamps.Next())}, nil
}

// Status returns the leader's view of the system.
func (s *ControlServer[G, M]) Status(ctx context.Context, _ *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	if err := s.requireLeader(); err != nil {
		return nil, err
	}
	if err := s.Group.Read(ctx); err != nil {
		return nil, s.proposeError(err)
	}
	st := s.Group.Status()
	w := &wirepb.StatusResponse{
		Member: string(s.Self.Name), Leader: string(st.Leader.Name), Role: st.Role.String(),
		Term: st.Term, NowMs: int64(s.Clock.Now()),
	}
	if err := s.Group.Query(ctx, func(f *fleet.State) { fillFleet(w, f) }); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	fillMover(w, s.Mover.Status(ctx))
	for _, m := range s.Controls {
		w.Controls = append(w.Controls, codec.MemberToWire(m))
	}
	for _, m := range s.Entries {
		w.Entries = append(w.Entries, codec.MemberToWire(m))
	}
	return w, nil
}

func fillFleet(w *wirepb.StatusResponse, f *fleet.State) {
	// The index of the last log entry that this member has applied; it can be below
	// the commit index of Raft.
	w.Commit = uint64(f.Index)
	w.Version = uint64(f.Version)
	for _, c := range f.Contracts {
		w.Contracts = append(w.Contracts, codec.ContractToWire(c))
	}
	for _, i := range f.Instances {
		w.Instances = append(w.Instances, codec.InstanceToWire(i))
	}
	for _, m := range f.Maintenance {
		w.Maintenance = append(w.Maintenance, codec.MaintenanceToWire(m))
	}
}

func fillMover(w *wirepb.StatusResponse, st mover.Status) {
	for _, p := range st.Processes {
		w.Processes = append(w.Processes, &wirepb.ProcessStatus{
			Name: string(p.Process), Zone: string(p.Zone), Version: uint64(p.Version),
			Drained: uint64(p.DrainedVersion), SinceMs: int64(p.VersionSince), SeenMs: int64(p.LastReportAt),
			Incarnation: p.Incarnation,
		})
	}
	for _, wait := range st.Waits {
		wireWait := &wirepb.Wait{Instance: string(wait.Instance), SinceMs: int64(wait.Since), Reason: wait.Reason}
		for _, p := range wait.Unconfirmed {
			wireWait.For = append(wireWait.For, string(p))
		}
		w.Waits = append(w.Waits, wireWait)
	}
}
