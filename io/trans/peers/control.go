package peers

import (
	"context"
	"errors"

	"github.com/twitchtv/twirp"

	"camphorridge/core/coord/boot"
	"camphorridge/core/coord/follow"
	"camphorridge/core/coord/mover"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/wirepb"
)

// maxWatchWait bounds how long a watch is held back whatever was asked for.
const maxWatchWait = 10 * clock.Second

// Group is what the server needs of the consensus duty.
type Group interface {
	Propose(ctx context.Context, c model.Change) (model.Result, error)
	// Read returns once a read that starts now may be answered.
	Read(ctx context.Context) error
	Query(ctx context.Context, f func(*fleet.State)) error
	// Await returns once the table's version is above v, or ctx has ended.
	Await(ctx context.Context, v model.Version)
	Step(all []raft.Message) error
	// Join adds a member on the leader.
	Join(ctx context.Context, m raft.Member) error
	Status() GroupStatus
	// Hello says who this process is.
	Hello() boot.Hello
}

// GroupStatus is the state of consensus in one member.
type GroupStatus struct {
	Role raft.Role
	Term uint64
	// Leader is the known leader; its ID is 0 while there is none.
	Leader raft.Member
}

// Mover is what the server needs of the mover duty.
type Mover interface {
	Report(r follow.Report) bool
	Status(ctx context.Context) mover.Status
}

// Checker judges a change before it is proposed. It returns why the change is
// refused, or what is to be stated with its acceptance.
type Checker func(s *fleet.State, c model.Change) (refusal, note string)

// ControlServer serves the control service in a control process.
type ControlServer[G Group, M Mover] struct {
	Self     model.Member
	Controls []model.Member
	Entries  []model.Member
	Group    G
	Mover    M
	Check    Checker
	Stamps   Stamps
	Clock    clock.Clock
	// Record adds an event to the time line.
	Record func(model.Event)
}

// RequireLeader returns an error that names the leader unless this member leads.
func (s *ControlServer[G, M]) RequireLeader() error { return s.leader() }

func (s *ControlServer[G, M]) leader() error {
	st := s.Group.Status()
	if st.Role == raft.RoleLeader {
		return nil
	}
	return s.notLeader(string(st.Leader.Name), st.Leader.Address)
}

// notLeader names the leader at the address that this member's settings give
// it. The member list holds the addresses that the founder of the group uses,
// and a path from elsewhere may not lead there.
func (s *ControlServer[G, M]) notLeader(name, address string) error {
	for _, m := range s.Controls {
		if m.Name != "" && string(m.Name) == name {
			address = m.Address
		}
	}
	return notLeader(name, address)
}

// Propose hands a change to the group and answers with its result.
func (s *ControlServer[G, M]) Propose(ctx context.Context, r *wirepb.ProposeRequest) (*wirepb.ProposeResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	if err := s.leader(); err != nil {
		return nil, err
	}
	c, err := codec.ChangeFromWire(r.GetChange())
	if err != nil {
		return nil, twirp.InvalidArgumentError("change", err.Error())
	}
	refusal, note := s.judge(ctx, c)
	if refusal != "" {
		return s.answer(c, model.Result{Kind: model.ResultInvalid, Reason: refusal}), nil
	}
	c.Note = note
	res, err := s.Group.Propose(ctx, c)
	if err != nil {
		return nil, s.proposeError(err)
	}
	return s.answer(c, res), nil
}

// judge checks a change that was not answered before. Without an answer of
// the duty nothing is refused: the proposal fails by itself.
func (s *ControlServer[G, M]) judge(ctx context.Context, c model.Change) (refusal, note string) {
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

// proposeError maps an error of the duty. Only an error before the proposal
// may say that this member does not lead.
func (s *ControlServer[G, M]) proposeError(err error) error {
	var le leaderError
	if errors.As(err, &le) {
		return s.notLeader(le.KnownLeader())
	}
	return twirp.NewError(twirp.Unknown, err.Error())
}

func (s *ControlServer[G, M]) answer(c model.Change, r model.Result) *wirepb.ProposeResponse {
	s.recordChange(c, r)
	return &wirepb.ProposeResponse{Result: codec.ResultToWire(r), Stamp: codec.StampToWire(s.Stamps.Next())}
}

// recordChange adds operators' changes to the time line; claims are too many.
func (s *ControlServer[G, M]) recordChange(c model.Change, r model.Result) {
	if c.Kind == model.ChangeClaims || c.Kind == model.ChangeOutcomes {
		return
	}
	e := model.Event{
		Kind: model.EventChange, Customer: c.Contract.Customer, Request: string(c.Request),
		Version: r.Version, Detail: c.Author,
	}
	if e.Customer == "" {
		e.Customer = c.Customer
	}
	if r.Kind != model.ResultApplied {
		e.Kind = model.EventConflict
		e.Detail = c.Author + ": " + r.Reason
	}
	s.Record(e)
}

// Watch answers with the delta after a version, or an empty one after the
// time asked for.
func (s *ControlServer[G, M]) Watch(ctx context.Context, r *wirepb.WatchRequest) (*wirepb.WatchResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	// A member that hears no leader may lag by any time; the caller asks another
	// one or its neighbours.
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

// Report passes a report to the mover of the leader.
func (s *ControlServer[G, M]) Report(_ context.Context, r *wirepb.ReportRequest) (*wirepb.ReportResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	if err := s.leader(); err != nil {
		return nil, err
	}
	rep, err := reportFromWire(r)
	if err != nil {
		return nil, twirp.InvalidArgumentError("report", err.Error())
	}
	// The term is read first: the answer must not name a later term than the one
	// that the mover takes the report in.
	term := s.Group.Status().Term
	if !s.Mover.Report(rep) {
		return nil, twirp.NewError(twirp.Unavailable, "the leader is busy")
	}
	return &wirepb.ReportResponse{Term: term, Stamp: codec.StampToWire(s.Stamps.Next())}, nil
}

// Status answers with the leader's view of the fleet.
func (s *ControlServer[G, M]) Status(ctx context.Context, _ *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	if err := s.leader(); err != nil {
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
	if err := s.Group.Query(ctx, func(f *fleet.State) { fillObjects(w, f) }); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	fillMover(w, s.Mover.Status(ctx))
	for _, m := range s.Controls {
		w.Controls = append(w.Controls, codec.ProcessToWire(m))
	}
	for _, m := range s.Entries {
		w.Entries = append(w.Entries, codec.ProcessToWire(m))
	}
	return w, nil
}

func fillObjects(w *wirepb.StatusResponse, f *fleet.State) {
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
			Drained: uint64(p.Drained), SinceMs: int64(p.VersionSince), SeenMs: int64(p.LastReportAt),
			Incarnation: p.Incarnation,
		})
	}
	for _, x := range st.Waits {
		ww := &wirepb.Wait{Instance: string(x.Instance), SinceMs: int64(x.Since), Reason: x.Reason}
		for _, p := range x.Unconfirmed {
			ww.For = append(ww.For, string(p))
		}
		w.Waits = append(w.Waits, ww)
	}
}
