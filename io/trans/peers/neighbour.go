package peers

import (
	"context"

	"github.com/twitchtv/twirp"

	"camphorridge/core/state/model"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/wirepb"
)

// NeighbourServer serves an entry process's table and takes announcements
// from the other entry processes of the zone.
type NeighbourServer struct {
	// TableAfter returns the delta after a version; ready is false while the
	// process has no confirmed table.
	TableAfter func(from model.Version) (d model.Delta, ready bool)
	// Hear takes one announcement; its refusal is not passed back, as the
	// upstream hears it from the process that it announced itself to.
	Hear   func(a model.Announcement)
	Stamps Stamps
}

// Table answers with the process's table.
func (s *NeighbourServer) Table(_ context.Context, r *wirepb.TableRequest) (*wirepb.WatchResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	d, ready := s.TableAfter(model.Version(r.GetVersion()))
	return &wirepb.WatchResponse{
		Delta: codec.DeltaToWire(d), Ready: ready, Stamp: codec.StampToWire(s.Stamps.Next()),
	}, nil
}

// Announce takes a batch of announcements; a malformed one refuses the batch.
func (s *NeighbourServer) Announce(_ context.Context, r *wirepb.AnnounceRequest) (*wirepb.AnnounceResponse, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	all := make([]model.Announcement, 0, len(r.GetAnnouncements()))
	for _, w := range r.GetAnnouncements() {
		a, err := codec.AnnouncementFromWire(w)
		if err != nil {
			return nil, twirp.InvalidArgumentError("announcements", err.Error())
		}
		all = append(all, a)
	}
	for _, a := range all {
		s.Hear(a)
	}
	return &wirepb.AnnounceResponse{Stamp: codec.StampToWire(s.Stamps.Next())}, nil
}
