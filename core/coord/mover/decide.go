package mover

import (
	"fmt"
	"sort"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/maint"
	"camphorridge/core/state/model"
)

// MaxSteps bounds the instance steps of one change.
const MaxSteps = 64

// Wait says why an instance's step has to wait.
type Wait struct {
	Instance model.InstanceID
	// Unconfirmed lists the entry processes that have not confirmed the release.
	Unconfirmed []model.Process
	Since       clock.Millis
	Reason      string
}

// Enrol returns the steps that make announced instances part of the fleet. The
// period until their next maintenance starts now.
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
	return first(steps)
}

// FinishMove returns the step that ends a move or a retirement, or the wait when an entry
// process of the instance's zone has not confirmed the release.
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

// MarkLost returns the steps that mark absent instances as lost and those
// that mark instances as heard again. Instances of a zone that is silent as a
// whole are left alone: it may be partitioned and serve its own callers.
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
	return first(steps)
}

// FromPlan returns the step of the replicated log for a step of a maintenance
// plan; ok is false for steps that change nothing there.
func FromPlan(s maint.Step, i model.Instance, g *Registry, now clock.Millis) (step model.InstanceStep, ok bool) {
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

// first orders the steps by instance, so that equal states give equal
// changes, and cuts them to one change.
func first(steps []model.InstanceStep) []model.InstanceStep {
	sort.Slice(steps, func(a, b int) bool { return steps[a].Instance.ID < steps[b].Instance.ID })
	if len(steps) > MaxSteps {
		steps = steps[:MaxSteps]
	}
	return steps
}
