package peers

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/twitchtv/twirp"

	"camphorridge/core/coord/boot"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/ring"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/wirepb"
)

// ConsensusServer implements the Consensus service, which control processes use
// among themselves.
type ConsensusServer[G Group] struct {
	Group  G
	Stamps Stamps
}

// Step passes Raft messages to this process's member of the group. One malformed
// message rejects the whole request.
func (s *ConsensusServer[G]) Step(_ context.Context, r *wirepb.StepRequest) (*wirepb.StepResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	all := make([]raft.Message, 0, len(r.GetMessages()))
	for _, w := range r.GetMessages() {
		m, err := codec.RaftMessageFromWire(w)
		if err != nil {
			return nil, twirp.InvalidArgumentError("messages", err.Error())
		}
		all = append(all, m)
	}
	if err := s.Group.Step(all); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &wirepb.StepResponse{Stamp: codec.StampToWire(s.Stamps.Next())}, nil
}

// Hello describes this process.
func (s *ConsensusServer[G]) Hello(_ context.Context, r *wirepb.HelloRequest) (*wirepb.HelloResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	h := s.Group.Hello()
	w := &wirepb.HelloResponse{
		Name: string(h.Name), Zone: string(h.Zone), Id: uint64(h.ID), Initialised: h.Initialised,
		Stamp: codec.StampToWire(s.Stamps.Next()),
	}
	for _, m := range h.Founders {
		w.Founders = append(w.Founders, codec.GroupMemberToWire(m))
	}
	return w, nil
}

// Hello asks a control process to describe itself.
func (c *Client) Hello(ctx context.Context, m model.Member) (boot.Hello, error) {
	resp, err := c.remote(m.Address).consensus.Hello(ctx, &wirepb.HelloRequest{Stamp: c.stamp()})
	if err != nil {
		return boot.Hello{}, c.callError("hello "+string(m.Name), err)
	}
	c.observe(resp.GetStamp())
	h := boot.Hello{
		Name: model.Process(resp.GetName()), Zone: model.Zone(resp.GetZone()), ID: raft.MemberID(resp.GetId()),
		Initialised: resp.GetInitialised(),
	}
	h.Founders, err = convertAll(resp.GetFounders(), codec.GroupMemberFromWire)
	return h, err
}

// Join adds a process to the group if this member is the leader.
func (s *ConsensusServer[G]) Join(ctx context.Context, r *wirepb.JoinRequest) (*wirepb.JoinResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	m, err := codec.GroupMemberFromWire(r.GetMember())
	if err != nil {
		return nil, twirp.InvalidArgumentError("member", err.Error())
	}
	if st := s.Group.Status(); st.Role != raft.RoleLeader {
		return nil, notLeader(string(st.Leader.Name), st.Leader.Address)
	}
	if err := s.Group.Join(ctx, m); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &wirepb.JoinResponse{Stamp: codec.StampToWire(s.Stamps.Next())}, nil
}

// joinTimeout bounds one attempt of Join. The leader answers once the list contains the
// new member; a later attempt continues one that takes longer.
const joinTimeout clock.Millis = 500

// joinResult is the result of one attempt of Join.
type joinResult struct {
	// called is the process that was called, and leader the one that it named.
	called model.Member
	leader model.Member
	// err is nil if the called process added the new member.
	err *Error
}

// Join asks the leader of the control group, to which the members belong, to add self,
// and returns the leader's address. It asks all members at the same time, so that one
// that does not answer delays nothing, and the processes that they name as the leader
// once each. If all attempts fail, the error contains those of all of them.
func (c *Client) Join(ctx context.Context, members []model.Member, self raft.Member) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*joinTimeout.Duration())
	defer cancel()
	maxCalls := 2 * len(members)
	results := ring.New[joinResult](max(maxCalls, 1))
	called := map[string]bool{}
	open := 0
	call := func(m model.Member) {
		if m.Address == "" || called[m.Address] {
			return
		}
		called[m.Address] = true
		open++
		go func() { results.TryPut(c.joinThrough(ctx, m, self)) }()
	}
	for _, m := range members {
		call(m)
	}
	failures := map[string]string{}
	for ; open > 0; open-- {
		r := <-results.C()
		if r.err == nil {
			return r.called.Address, nil
		}
		failures[r.called.Address] = r.err.Error()
		if len(called) < maxCalls {
			call(configuredAddress(members, r.leader))
		}
	}
	if len(failures) == 0 {
		return "", &Error{Op: "join", Kind: KindNotLeader, Err: errors.New("no other control process is known")}
	}
	var texts []string
	for _, address := range slices.Sorted(maps.Keys(failures)) {
		texts = append(texts, failures[address])
	}
	return "", &Error{Op: "join", Kind: KindOutcomeUnknown, Err: errors.New(strings.Join(texts, "; "))}
}

// joinThrough asks one process to add self.
func (c *Client) joinThrough(ctx context.Context, m model.Member, self raft.Member) joinResult {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout.Duration())
	defer cancel()
	_, err := c.remote(m.Address).consensus.Join(ctx, &wirepb.JoinRequest{
		Member: codec.GroupMemberToWire(self), Stamp: c.stamp(),
	})
	if err == nil {
		return joinResult{called: m}
	}
	mapped, leader := fromTwirp("join through "+m.Address, err)
	return joinResult{called: m, leader: leader, err: mapped}
}

// configuredAddress returns the leader that a member named, with the address in the list
// of members if the leader is in it: the address that reaches it may differ between
// callers.
func configuredAddress(members []model.Member, leader model.Member) model.Member {
	for _, m := range members {
		if m.Name != "" && m.Name == leader.Name {
			return m
		}
	}
	return leader
}

// EventsServer serves the event log of this process.
type EventsServer struct {
	// Events returns the events with a sequence number above since, and the
	// number of events that the log has dropped.
	Events func(since uint64) (events []model.Event, dropped int64)
}

// timelineService implements the Timeline service for an EventsServer.
type timelineService struct{ EventsServer }

func (s timelineService) Events(_ context.Context, r *wirepb.EventsRequest) (*wirepb.EventsResponse, error) {
	events, dropped := s.EventsServer.Events(r.GetSince())
	w := &wirepb.EventsResponse{Dropped: dropped}
	for _, e := range events {
		w.Events = append(w.Events, codec.EventToWire(e))
	}
	return w, nil
}

// MaxRequestBytes bounds the body of a request from another process. A request with
// log entries holds at most maxStepBytes and one further message, whose largest entry is a
// change of model.MaxChangeBytes; the rest is for the messages' other fields.
const MaxRequestBytes = model.MaxChangeBytes + maxStepBytes + 3584<<10

// Mux returns a handler for the services of a process. It omits services that are
// nil; events is always served.
func Mux(control wirepb.Control, consensus wirepb.Consensus, neighbour wirepb.Neighbour, work wirepb.Work, events EventsServer) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wirepb.TimelinePathPrefix, wirepb.NewTimelineServer(timelineService{events}))
	if control != nil {
		mux.Handle(wirepb.ControlPathPrefix, wirepb.NewControlServer(control))
	}
	if consensus != nil {
		mux.Handle(wirepb.ConsensusPathPrefix, wirepb.NewConsensusServer(consensus))
	}
	if neighbour != nil {
		mux.Handle(wirepb.NeighbourPathPrefix, wirepb.NewNeighbourServer(neighbour))
	}
	if work != nil {
		mux.Handle(wirepb.WorkPathPrefix, wirepb.NewWorkServer(work))
	}
	return http.MaxBytesHandler(mux, int64(MaxRequestBytes))
}
