package codec

import (
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// EventToWire converts an event of the event log to its message.
func EventToWire(e model.Event) *wirepb.Event {
	return &wirepb.Event{
		Stamp:    StampToWire(e.Stamp),
		Process:  validUTF8(e.Process),
		Seq:      e.Seq,
		Kind:     validUTF8(e.Kind),
		Customer: validUTF8(e.Customer),
		Pool:     validUTF8(e.Pool),
		Instance: validUTF8(e.Instance),
		Request:  validUTF8(e.Request),
		Version:  uint64(e.Version),
		Limit:    validUTF8(e.Limit),
		Detail:   validUTF8(e.Detail),
	}
}

// EventFromWire converts a message to an event. It returns an error if the
// process or the kind is empty.
func EventFromWire(w *wirepb.Event) (model.Event, error) {
	if err := required("event", "process", w.GetProcess(), "kind", w.GetKind()); err != nil {
		return model.Event{}, err
	}
	return model.Event{
		Stamp:    StampFromWire(w.GetStamp()),
		Process:  model.Process(w.GetProcess()),
		Seq:      w.GetSeq(),
		Kind:     model.EventKind(w.GetKind()),
		Customer: model.Customer(w.GetCustomer()),
		Pool:     model.Pool(w.GetPool()),
		Instance: model.InstanceID(w.GetInstance()),
		Request:  w.GetRequest(),
		Version:  model.Version(w.GetVersion()),
		Limit:    w.GetLimit(),
		Detail:   w.GetDetail(),
	}, nil
}

// MemberToWire converts a process named in the settings to its message.
func MemberToWire(m model.Member) *wirepb.Member {
	return &wirepb.Member{Name: validUTF8(m.Name), Zone: validUTF8(m.Zone), Address: validUTF8(m.Address)}
}

// MemberFromWire converts a message to a process named in the settings. Every
// field may be empty.
func MemberFromWire(w *wirepb.Member) model.Member {
	return model.Member{
		Name: model.Process(w.GetName()), Zone: model.Zone(w.GetZone()), Address: w.GetAddress(),
	}
}
