package mover

import (
	"fmt"
	"sort"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// MaxSteps bounds the instance steps of one change.
const MaxSteps = 64

// Wait says why an instance's step has to wait.
type Wait struct {
	Instance model.InstanceID
	// For lists the entry processes that have not confirmed the release.
	For    []model.Process
	Since  clock.Millis
	Reason string
}

// Enrol returns the steps that make announced instances part of the fleet.
func Enrol(t model.Table, g *Registry) []model.InstanceStep {
	var steps []model.InstanceStep
	for id := range g.Fresh {
		l, live := g.Live[id]
		_, known := t.Instances[id]
		if !live || known || l.Announcement.State != model.AnnounceServing {
			continue
		}
		a := l.Announcement
		steps = append(steps, model.InstanceStep{Instance: model.Instance{
			ID: id, Zone: a.Zone, Rack: a.Rack, Pool: a.Pool, Target: a.Pool,
			Phase: model.PhaseServing, Slots: a.Slots, Connections: a.Connections,
			Reason: "announced",
		}})
	}
	return first(steps)
}

// FinishRelease returns the step that ends a release, or the wait when an
// entry process of the instance's zone has not confirmed it.
func FinishRelease(i model.Instance, g *Registry, entries []model.Member) (model.InstanceStep, *Wait) {
	if missing := g.Unconfirmed(entries, i.Zone, i.Version); len(missing) > 0 {
		return model.InstanceStep{}, &Wait{
			Instance: i.ID, For: missing, Since: i.Since,
			Reason: "an entry process has not confirmed the release",
		}
	}
	next := i
	if i.Target == i.Pool {
		next.Phase = model.PhaseMaintenance
		next.Incarnation = g.Live[i.ID].Announcement.Incarnation
	} else {
		next.Phase = model.PhaseServing
		next.Pool = i.Target
		next.Reason = fmt.Sprintf("moved from pool %s", i.Pool)
	}
	return model.InstanceStep{Base: i.Version, Instance: next}, nil
}

// FinishMaintenance returns the step that puts an instance back once it
// announced itself again after its reboot, or the wait until then.
func FinishMaintenance(i model.Instance, g *Registry, now clock.Millis) (model.InstanceStep, *Wait) {
	l, live := g.Live[i.ID]
	if !live || l.Announcement.Incarnation <= i.Incarnation || l.Announcement.State != model.AnnounceServing {
		return model.InstanceStep{}, &Wait{
			Instance: i.ID, Since: i.Since,
			Reason: "the instance has not announced itself since its reboot",
		}
	}
	next := i
	next.Phase = model.PhaseServing
	next.Target = i.Pool
	next.Maintained = now
	next.Reason = "maintained"
	return model.InstanceStep{Base: i.Version, Instance: next}, nil
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
