package codec

import (
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// EventToWire maps an event of the time line.
func EventToWire(e model.Event) *wirepb.Event {
	return &wirepb.Event{
		Stamp:    StampToWire(e.Stamp),
		Process:  text(e.Process),
		Seq:      e.Seq,
		Kind:     text(e.Kind),
		Customer: text(e.Customer),
		Pool:     text(e.Pool),
		Instance: text(e.Instance),
		Request:  text(e.Request),
		Version:  uint64(e.Version),
		Limit:    text(e.Limit),
		Detail:   text(e.Detail),
	}
}

// EventFromWire maps an event; the process and the kind are required.
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

// ProcessToWire maps a process of the settings.
func ProcessToWire(m model.Member) *wirepb.Member {
	return &wirepb.Member{Name: text(m.Name), Zone: text(m.Zone), Address: text(m.Address)}
}

// ProcessFromWire maps a process of the settings.
func ProcessFromWire(w *wirepb.Member) model.Member {
	return model.Member{
		Name: model.Process(w.GetName()), Zone: model.Zone(w.GetZone()), Address: w.GetAddress(),
	}
}
