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
	s := newSimulation(t)
	propose := func(c model.Change) {
		r, _ := s.group.Propose(context.Background(), c)
		assert.Equal(t, r.Kind, model.ResultApplied, r.Reason)
	}
	lost := s.live["i0"]
	delete(s.live, "i0")
	s.run(10 * clock.Second)
	lost.Incarnation++
	s.live["i0"] = lost
	s.run(5 * clock.Second)
	delete(s.live, "i0")
	s.run(45 * clock.Second)
	s.live["i0"] = lost
	s.run(20 * clock.Second)
	propose(model.Change{Kind: model.ChangeMaintenanceDeclare, Maintenance: model.Maintenance{
		Name: "wave", Selector: model.Selector{Rack: "r1"}, Deadline: s.clock.Now() + clock.Day,
	}})
	for range 60 {
		s.run(clock.Second)
		for id, i := range s.group.state.Instances {
			if a := s.live[id]; i.Phase == model.PhaseMaintenance && a.Incarnation <= i.Incarnation {
				a.Incarnation = i.Incarnation + 1
				s.live[id] = a
			}
		}
	}
	i := s.instance("i3")
	i.Phase, i.Target, i.Reason = model.PhaseReleasing, model.PoolNone, "retired by test"
	propose(model.Change{Kind: model.ChangeInstances, Instances: []model.InstanceStep{{Base: i.Version, Instance: i}}})
	s.run(10 * clock.Second)
	var b strings.Builder
	assert.NilError(t, report.Timeline(&b, report.FormatText, s.events))
	golden.Assert(t, b.String(), "session.txt")
}
