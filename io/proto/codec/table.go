package codec

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// StampToWire converts a timestamp of the hybrid logical clock to its message.
func StampToWire(s model.Stamp) *wirepb.Stamp {
	return &wirepb.Stamp{WallMs: int64(s.Wall), Count: s.Count}
}

// StampFromWire converts a message to a timestamp of the hybrid logical clock. A
// nil message gives the zero value.
func StampFromWire(w *wirepb.Stamp) model.Stamp {
	return model.Stamp{Wall: clock.Millis(w.GetWallMs()), Count: w.GetCount()}
}

// AnnouncementToWire converts the announcement of an upstream to its message.
func AnnouncementToWire(a model.Announcement) *wirepb.Announcement {
	return &wirepb.Announcement{
		Instance:    validUTF8(a.Instance),
		Zone:        validUTF8(a.Zone),
		Rack:        validUTF8(a.Rack),
		Pool:        validUTF8(a.Pool),
		Address:     validUTF8(a.Address),
		Slots:       int64(a.Slots),
		Connections: int64(a.Connections),
		Incarnation: a.Incarnation,
		State:       int32(a.State),
		HealthPath:  validUTF8(a.HealthPath),
	}
}

// AnnouncementFromWire converts a message to the announcement of an upstream. It
// returns an error if the instance, the zone, the pool or the address is empty,
// or if the state is not defined.
func AnnouncementFromWire(w *wirepb.Announcement) (model.Announcement, error) {
	const op = "announcement"
	err := required(op, "instance", w.GetInstance(), "zone", w.GetZone(), "pool", w.GetPool(), "address", w.GetAddress())
	if err != nil {
		return model.Announcement{}, err
	}
	state, err := enumFromWire(op, "state", w.GetState(), model.AnnounceLeaving)
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

// DeltaToWire converts the difference between two versions of the routing table
// (contracts and instances) to its message.
func DeltaToWire(d model.Delta) *wirepb.Delta {
	return &wirepb.Delta{
		From:             uint64(d.From),
		To:               uint64(d.To),
		Full:             d.Full,
		Contracts:        mapAll(d.Contracts, ContractToWire),
		Instances:        mapAll(d.Instances, InstanceToWire),
		RemovedContracts: mapAll(d.RemovedContracts, validUTF8[model.Customer]),
		RemovedInstances: mapAll(d.RemovedInstances, validUTF8[model.InstanceID]),
	}
}

// DeltaFromWire converts a message to the difference between two versions of the
// routing table. It returns an error if the delta leads to a lower version than
// the one it starts from, or if an element is not valid.
func DeltaFromWire(w *wirepb.Delta) (model.Delta, error) {
	const op = "delta"
	if w.GetTo() < w.GetFrom() {
		return model.Delta{}, &Error{Op: op, Kind: KindRange, Err: fmt.Errorf("version decreases from %d to %d", w.GetFrom(), w.GetTo())}
	}
	d := model.Delta{From: model.Version(w.GetFrom()), To: model.Version(w.GetTo()), Full: w.GetFull()}
	var err error
	if d.Contracts, err = tryMapAll(w.GetContracts(), ContractFromWire); err != nil {
		return model.Delta{}, err
	}
	if d.Instances, err = tryMapAll(w.GetInstances(), InstanceFromWire); err != nil {
		return model.Delta{}, err
	}
	if d.RemovedContracts, err = tryMapAll(w.GetRemovedContracts(), removedNameFromWire[model.Customer]); err != nil {
		return model.Delta{}, err
	}
	if d.RemovedInstances, err = tryMapAll(w.GetRemovedInstances(), removedNameFromWire[model.InstanceID]); err != nil {
		return model.Delta{}, err
	}
	return d, nil
}

// removedNameFromWire converts the name of a removed object. It returns an error
// if the name is empty.
func removedNameFromWire[S ~string](s string) (S, error) {
	return S(s), required("delta", "removed name", s)
}
