package mover

import (
	"fmt"
	"sort"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
)

// MaxSteps bounds the instance steps of one change.
const MaxSteps = 64

// Wait says why an instance's step has to wait.
type Wait struct {
	Instance model.InstanceID
	// For lists the entry processes that have not confirmed the release.
	For   []model.Process
	Since clock.Millis
}

// Enrol returns the steps that make announced instances part of the fleet.
func Enrol(s *fleet.State, g *Registry) []model.InstanceStep {
	var steps []model.InstanceStep
	for id, l := range g.Live {
		if _, known := s.Instances[id]; known || l.Announcement.State != model.AnnounceServing {
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

// FinishReleases returns the steps of releases that every entry process of
// the instance's zone confirmed, and the waits of the others.
func FinishReleases(s *fleet.State, g *Registry, entries []model.Member) ([]model.InstanceStep, []Wait) {
	var steps []model.InstanceStep
	var waits []Wait
	for _, i := range s.Instances {
		if i.Phase != model.PhaseReleasing {
			continue
		}
		missing := g.Unconfirmed(entries, i.Zone, i.Version)
		if len(missing) > 0 {
			waits = append(waits, Wait{Instance: i.ID, For: missing, Since: i.Since})
			continue
		}
		next := i
		if i.Target == i.Pool {
			next.Phase = model.PhaseMaintenance
		} else {
			next.Phase = model.PhaseServing
			next.Pool = i.Target
			next.Reason = fmt.Sprintf("moved from pool %s", i.Pool)
		}
		steps = append(steps, model.InstanceStep{Base: i.Version, Instance: next})
	}
	sort.Slice(waits, func(a, b int) bool { return waits[a].Instance < waits[b].Instance })
	return first(steps), waits
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
