package mover

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/report"
)

// TestSession compares the events of a whole session with a golden file:
// enrolment, a restart that causes no move, a loss that is replaced from the
// spare pool, the return of the lost instance, a wave with its canary, and a
// retirement.
func TestSession(t *testing.T) {
	w := newWorld(t)
	propose := func(c model.Change) {
		r, _ := w.group.Propose(context.Background(), c)
		assert.Equal(t, r.Kind, model.ResultApplied, r.Reason)
	}
	lost := w.live["i0"]
	delete(w.live, "i0")
	w.run(10 * clock.Second)
	lost.Incarnation++
	w.live["i0"] = lost
	w.run(5 * clock.Second)
	delete(w.live, "i0")
	w.run(45 * clock.Second)
	w.live["i0"] = lost
	w.run(20 * clock.Second)
	propose(model.Change{Kind: model.ChangeMaintenanceDeclare, Maintenance: model.Maintenance{
		Name: "wave", Selector: model.Selector{Rack: "r1"}, Deadline: w.clock.Now() + clock.Day,
	}})
	for range 60 {
		w.run(clock.Second)
		for id, i := range w.group.state.Instances {
			if a := w.live[id]; i.Phase == model.PhaseMaintenance && a.Incarnation <= i.Incarnation {
				a.Incarnation = i.Incarnation + 1
				w.live[id] = a
			}
		}
	}
	i := w.instance("i3")
	i.Phase, i.Target, i.Reason = model.PhaseReleasing, model.PoolNone, "retired by test"
	propose(model.Change{Kind: model.ChangeInstances, Instances: []model.InstanceStep{{Base: i.Version, Instance: i}}})
	w.run(10 * clock.Second)
	var b strings.Builder
	assert.NilError(t, report.Timeline(&b, report.FormatText, w.events))
	golden.Assert(t, b.String(), "session.txt")
}
