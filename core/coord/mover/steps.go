package mover

import (
	"fmt"
	"sort"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/maint"
	"camphorridge/core/state/model"
)

// MaxSteps is the largest number of instance steps in one change.
const MaxSteps = 64

// Wait is a reason why the mover can't take a step or reach a goal yet.
type Wait struct {
	// Instance is empty when the wait concerns no single instance.
	Instance model.InstanceID
	// Unconfirmed lists the entry processes that have not confirmed the release.
	Unconfirmed []model.Process
	// Since is the time at which the instance was released; 0 for other waits.
	Since  clock.Millis
	Reason string
}

// Enrol returns the steps that add newly announced instances to the fleet.
// MaintainedAt of a new instance is now, although it was not maintained: its
// maintenance period starts now, and no wave that was declared earlier takes it out
// of service.
func Enrol(t model.Table, g *Registry, now clock.Millis) []model.InstanceStep {
	var steps []model.InstanceStep
	for id := range g.NewlyAnnounced {
		l, live := g.Live[id]
		_, known := t.Instances[id]
		if !live || known || l.Announcement.State != model.AnnounceServing {
			continue
		}
		a := l.Announcement
		steps = append(steps, model.InstanceStep{Instance: model.Instance{
			ID: id, Zone: a.Zone, Rack: a.Rack, Pool: a.Pool, Target: a.Pool,
			Phase: model.PhaseServing, Slots: a.Slots, Connections: a.Connections,
			Reason: "announced", MaintainedAt: now,
		}})
	}
	return sortAndLimit(steps)
}

// FinishMove returns the step that finishes a move or a retirement, or a Wait
// when an entry process of the instance's zone has not confirmed the release.
func FinishMove(i model.Instance, g *Registry, entries []model.Member) (model.InstanceStep, *Wait) {
	if missing := g.Unconfirmed(entries, i.Zone, i.Version); len(missing) > 0 {
		return model.InstanceStep{}, &Wait{
			Instance: i.ID, Unconfirmed: missing, Since: i.PhaseSince,
			Reason: "an entry process has not confirmed the release",
		}
	}
	next := i
	if i.Target == model.PoolNone {
		next.Phase, next.LostSince = model.PhaseRetired, 0
		return model.InstanceStep{Base: i.Version, Instance: next}, nil
	}
	next.Phase = model.PhaseServing
	next.Pool = i.Target
	next.Reason = fmt.Sprintf("moved from pool %s", i.Pool)
	return model.InstanceStep{Base: i.Version, Instance: next}, nil
}

// MarkLost returns the steps that mark instances as lost that have been absent for
// LossGrace, and those that clear the mark of instances that are reported again.
// Instances of a zone that is silent as a whole are not marked: the zone may be
// partitioned and still serve its own callers.
func MarkLost(t model.Table, g *Registry, now clock.Millis) []model.InstanceStep {
	var steps []model.InstanceStep
	for id, since := range g.Absent {
		i, ok := t.Instances[id]
		if !ok || i.Phase != model.PhaseServing {
			continue
		}
		if i.LostSince != 0 || now-since < LossGrace || g.ZoneSilent(i.Zone, now) {
			continue
		}
		next := i
		next.LostSince = now
		next.Reason = "lost: no entry process hears it"
		steps = append(steps, model.InstanceStep{Base: i.Version, Instance: next})
	}
	for id := range g.NewlyAnnounced {
		i, ok := t.Instances[id]
		if !ok || i.LostSince == 0 || i.Phase != model.PhaseServing {
			continue
		}
		next := i
		next.LostSince = 0
		next.Reason = "heard again"
		steps = append(steps, model.InstanceStep{Base: i.Version, Instance: next})
	}
	return sortAndLimit(steps)
}

// StepFromPlan converts a step of a maintenance plan into a step of the
// replicated log. ok is false for plan steps that don't change the instance in the
// log.
func StepFromPlan(s maint.Step, i model.Instance, g *Registry, now clock.Millis) (step model.InstanceStep, ok bool) {
	next := i
	next.Reason = s.Reason
	switch s.Kind {
	case maint.StepRelease:
		next.Phase, next.Target = model.PhaseReleasing, i.Pool
	case maint.StepHandOver:
		next.Phase = model.PhaseMaintenance
		next.Incarnation = g.Live[i.ID].Announcement.Incarnation
	case maint.StepReturn:
		next.Phase, next.Target = model.PhaseServing, i.Pool
		if s.Done {
			next.MaintainedAt = now
			next.Reason = "maintained: " + s.Reason
		}
	default:
		return step, false
	}
	return model.InstanceStep{Base: i.Version, Instance: next}, true
}

// sortAndLimit sorts the steps by instance, so that equal states lead to equal
// changes, and keeps the first MaxSteps.
func sortAndLimit(steps []model.InstanceStep) []model.InstanceStep {
	sort.Slice(steps, func(a, b int) bool { return steps[a].Instance.ID < steps[b].Instance.ID })
	if len(steps) > MaxSteps {
		steps = steps[:MaxSteps]
	}
	return steps
}
