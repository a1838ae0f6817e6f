package codec

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// StampToWire maps a stamp.
func StampToWire(s model.Stamp) *wirepb.Stamp {
	return &wirepb.Stamp{WallMs: int64(s.Wall), Count: s.Count}
}

// StampFromWire maps a stamp; a missing one is the zero stamp.
func StampFromWire(w *wirepb.Stamp) model.Stamp {
	return model.Stamp{Wall: clock.Millis(w.GetWallMs()), Count: w.GetCount()}
}

// AnnouncementToWire maps an announcement.
func AnnouncementToWire(a model.Announcement) *wirepb.Announcement {
	return &wirepb.Announcement{
		Instance:    text(a.Instance),
		Zone:        text(a.Zone),
		Rack:        text(a.Rack),
		Pool:        text(a.Pool),
		Address:     text(a.Address),
		Slots:       int64(a.Slots),
		Connections: int64(a.Connections),
		Incarnation: a.Incarnation,
		State:       int32(a.State),
		HealthPath:  text(a.HealthPath),
	}
}

// AnnouncementFromWire maps an announcement; the instance, its zone, its pool
// and its address are required.
func AnnouncementFromWire(w *wirepb.Announcement) (model.Announcement, error) {
	const op = "announcement"
	err := required(op, "instance", w.GetInstance(), "zone", w.GetZone(), "pool", w.GetPool(), "address", w.GetAddress())
	if err != nil {
		return model.Announcement{}, err
	}
	state, err := enum(op, "state", w.GetState(), model.AnnounceLeaving)
	if err != nil {
		return model.Announcement{}, err
	}
	return model.Announcement{
		Instance:    model.InstanceID(w.GetInstance()),
		Zone:        model.Zone(w.GetZone()),
		Rack:        model.Rack(w.GetRack()),
		Pool:        model.Pool(w.GetPool()),
		Address:     w.GetAddress(),
		Slots:       int(w.GetSlots()),
		Connections: int(w.GetConnections()),
		Incarnation: w.GetIncarnation(),
		State:       state,
		HealthPath:  w.GetHealthPath(),
	}, nil
}

// DeltaToWire maps a delta.
func DeltaToWire(d model.Delta) *wirepb.Delta {
	return &wirepb.Delta{
		From:             uint64(d.From),
		To:               uint64(d.To),
		Full:             d.Full,
		Contracts:        list(d.Contracts, ContractToWire),
		Instances:        list(d.Instances, InstanceToWire),
		RemovedContracts: list(d.RemovedContracts, text[model.Customer]),
		RemovedInstances: list(d.RemovedInstances, text[model.InstanceID]),
	}
}

// DeltaFromWire maps a delta; a delta must not end below its start.
func DeltaFromWire(w *wirepb.Delta) (model.Delta, error) {
	const op = "delta"
	if w.GetTo() < w.GetFrom() {
		return model.Delta{}, &Error{Op: op, Kind: KindRange, Err: fmt.Errorf("it goes from version %d down to %d", w.GetFrom(), w.GetTo())}
	}
	d := model.Delta{From: model.Version(w.GetFrom()), To: model.Version(w.GetTo()), Full: w.GetFull()}
	var err error
	if d.Contracts, err = listFrom(w.GetContracts(), ContractFromWire); err != nil {
		return model.Delta{}, err
	}
	if d.Instances, err = listFrom(w.GetInstances(), InstanceFromWire); err != nil {
		return model.Delta{}, err
	}
	if d.RemovedContracts, err = listFrom(w.GetRemovedContracts(), nameFromWire[model.Customer]); err != nil {
		return model.Delta{}, err
	}
	if d.RemovedInstances, err = listFrom(w.GetRemovedInstances(), nameFromWire[model.InstanceID]); err != nil {
		return model.Delta{}, err
	}
	return d, nil
}

func nameFromWire[S ~string](s string) (S, error) {
	return S(s), required("delta", "removed name", s)
}
