package peers

import (
	"context"

	"github.com/twitchtv/twirp"

	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/wirepb"
)

// NeighbourServer implements the Neighbour service in an entry process: it serves
// the process's table, receives announcements from the other entry processes of
// the availability zone, and lends slots to entry processes.
type NeighbourServer struct {
	// TableAfter returns the delta of the process's table after version from;
	// ready is false while the process has no confirmed table.
	TableAfter func(from model.Version) (d model.Delta, ready bool)
	// HandleAnnouncement handles one forwarded announcement. A refusal is not
	// returned, because the upstream gets it from the process to which it
	// announced itself.
	HandleAnnouncement func(a model.Announcement)
	LoanKeeper         LoanKeeper
	Stamps             Stamps
}

// LoanKeeper is the part of an entry process that keeps track of its loans: those
// that it granted and those that it borrowed.
type LoanKeeper interface {
	Lend(r lend.LoanRequest) lend.LoanResponse
	HandleReturn(r lend.Return)
	// HandleRecall ends the loans that this process borrowed from earlier runs of
	// r.Lender. allEnded is true once all of them have ended.
	HandleRecall(r lend.Recall) (allEnded bool)
}

// Table returns the delta of the process's table after a version.
func (s *NeighbourServer) Table(_ context.Context, r *wirepb.TableRequest) (*wirepb.WatchResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	d, ready := s.TableAfter(model.Version(r.GetVersion()))
	return &wirepb.WatchResponse{
		Delta: codec.DeltaToWire(d), Ready: ready, Stamp: codec.StampToWire(s.Stamps.Next()),
	}, nil
}

// Announce handles a batch of announcements. A malformed announcement is skipped, so
// that the others hold.
func (s *NeighbourServer) Announce(_ context.Context, r *wirepb.AnnounceRequest) (*wirepb.AnnounceResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	for _, w := range r.GetAnnouncements() {
		if a, err := codec.AnnouncementFromWire(w); err == nil && withinLimits(a) {
			s.HandleAnnouncement(a)
		}
	}
	return &wirepb.AnnounceResponse{Stamp: codec.StampToWire(s.Stamps.Next())}, nil
}

// Lend handles a request for loans.
func (s *NeighbourServer) Lend(_ context.Context, r *wirepb.LendRequest) (*wirepb.LendResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	req, err := codec.LoanRequestFromWire(r)
	if err != nil {
		return nil, twirp.InvalidArgumentError("ask", err.Error())
	}
	w := codec.LoanResponseToWire(s.LoanKeeper.Lend(req))
	w.Stamp = codec.StampToWire(s.Stamps.Next())
	return w, nil
}

// Return handles the return of loans.
func (s *NeighbourServer) Return(_ context.Context, r *wirepb.ReturnRequest) (*wirepb.ReturnResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	s.LoanKeeper.HandleReturn(codec.ReturnFromWire(r))
	return &wirepb.ReturnResponse{Stamp: codec.StampToWire(s.Stamps.Next())}, nil
}

// Recall ends the loans that this process borrowed from earlier runs of the
// calling process.
func (s *NeighbourServer) Recall(_ context.Context, r *wirepb.RecallRequest) (*wirepb.RecallResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	allEnded := s.LoanKeeper.HandleRecall(codec.RecallFromWire(r))
	return &wirepb.RecallResponse{Clear: allEnded, Stamp: codec.StampToWire(s.Stamps.Next())}, nil
}
