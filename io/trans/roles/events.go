package roles

import (
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
)

// eventForwarder is the duty that passes events from a ring on to the recorder.
type eventForwarder struct {
	in     *ring.Ring[model.Event]
	record func(model.Event)
	done   chan struct{}
}

func newEventForwarder(in *ring.Ring[model.Event], record func(model.Event)) *eventForwarder {
	return &eventForwarder{in: in, record: record, done: make(chan struct{})}
}

// Run passes events on until Stop.
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

// Stop ends Run.
func (f *eventForwarder) Stop() { close(f.done) }

func fullDelta(t model.Table) model.Delta {
	return fleet.FullDelta(t.Version, t.Contracts, t.Instances)
}
