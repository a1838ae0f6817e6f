package roles

import (
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
)

// eventForwarder is the component that passes events from a ring to the recorder.
type eventForwarder struct {
	in     *ring.Ring[model.Event]
	record func(model.Event)
	done   chan struct{}
}

func newEventForwarder(in *ring.Ring[model.Event], record func(model.Event)) *eventForwarder {
	return &eventForwarder{in: in, record: record, done: make(chan struct{})}
}

// Run passes events to the recorder until Stop is called.
func (f *eventForwarder) Run() error {
	for {
		select {
		case e := <-f.in.C():
			f.record(e)
		case <-f.done:
			return nil
		}
	}
}

// Stop ends Run. It must be called at most once.
func (f *eventForwarder) Stop() { close(f.done) }

// fullDelta returns a delta that contains the whole table.
func fullDelta(t model.Table) model.Delta {
	return fleet.FullDelta(t.Version, t.Contracts, t.Instances)
}
