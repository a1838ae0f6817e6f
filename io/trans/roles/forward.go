package roles

import (
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
)

// forwarder is the duty that passes events from a ring on to the recorder.
type forwarder struct {
	in     *ring.Ring[model.Event]
	record func(model.Event)
	done   chan struct{}
}

func newForwarder(in *ring.Ring[model.Event], record func(model.Event)) *forwarder {
	return &forwarder{in: in, record: record, done: make(chan struct{})}
}

// Run passes events on until Stop.
func (f *forwarder) Run() error {
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
func (f *forwarder) Stop() { close(f.done) }

func fullDelta(t model.Table) model.Delta {
	return fleet.FullDelta(t.Version, t.Contracts, t.Instances)
}
