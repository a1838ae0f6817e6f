package peers

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"camphorridge/core/coord/boot"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
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
		Name: string(h.Name), Id: uint64(h.ID), Initialised: h.Initialised,
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
		Name: model.Process(resp.GetName()), ID: raft.MemberID(resp.GetId()),
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

// Join asks the leader of the control group, to which the members belong, to add
// self. It tries the members in turn; if one names the leader's address, it tries
// that address next. It returns the address that answered or, if all attempts fail, the
// last one that it tried, with the error, which names the member whose turn it was, even
// if the leader that this member named returned it.
func (c *Client) Join(ctx context.Context, members []model.Member, self raft.Member) (tried string, lastErr error) {
	for _, m := range members {
		for address, hops := m.Address, 0; address != "" && hops < 2; hops++ {
			tried = address
			_, err := c.remote(address).consensus.Join(ctx, &wirepb.JoinRequest{
				Member: codec.GroupMemberToWire(self), Stamp: c.stamp(),
			})
			if err == nil {
				return tried, nil
			}
			mapped, leader := fromTwirp("join through "+string(m.Name), err)
			lastErr, address = mapped, leader.Address
		}
	}
	return tried, lastErr
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

// maxPeerRequestBytes bounds the body of a request from another process. A chunk
// of a snapshot and a batch of log entries are far smaller.
const maxPeerRequestBytes = 16 << 20

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
	return http.MaxBytesHandler(mux, maxPeerRequestBytes)
}
