package mover

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/maint"
	"camphorridge/core/state/model"
)

func emptyTable() model.Table {
	return model.Table{
		Contracts: map[model.Customer]model.Contract{},
		Instances: map[model.InstanceID]model.Instance{},
	}
}

// pass updates the mover's copy of the table, plans the steps that are due and
// proposes them. It does nothing unless this member leads.
func (m *Mover[G, P, C, J, A, S]) pass() {
	if !m.followTerm() {
		m.waits = nil
		return
	}
	now := m.Clock.Now()
	if !m.refresh(now) {
		return
	}
	steps := Enrol(m.table, m.registry, now)
	moved, waits := m.finishMoves()
	steps = append(steps, moved...)
	m.registry.MarkSilentProcesses(now)
	if now-m.termStartedAt >= warmUpTime {
		steps = append(steps, MarkLost(m.table, m.registry, now)...)
	}
	m.registry.ClearEnrolled(m.table)
	m.observeSilentZones(now)
	m.observeMaintenance()
	m.observeLoad(now)
	plan := m.Waves.Pass(now)
	m.waits = append(waits, m.planWaits(plan)...)
	steps = append(steps, m.planSteps(plan, now)...)
	if now-m.termStartedAt >= warmUpTime {
		moves, capacityWaits := m.Capacity.Moves(m.table, now)
		steps = append(steps, moves...)
		m.waits = append(m.waits, capacityWaits...)
	}
	if !m.propose(selectSteps(steps)) {
		m.Capacity.Invalidate()
	}
	m.requestReboots(now)
}

// selectSteps returns the steps for one change, sorted by instance: the first step
// of each instance, because a change must not hold two steps of one instance, and
// at most MaxSteps in all.
func selectSteps(steps []model.InstanceStep) []model.InstanceStep {
	seen := make(map[model.InstanceID]bool, len(steps))
	kept := steps[:0]
	for _, s := range steps {
		if seen[s.Instance.ID] {
			continue
		}
		seen[s.Instance.ID] = true
		kept = append(kept, s)
	}
	return sortAndLimit(kept)
}

// refresh applies the changes of the replicated state since the last pass. It
// returns false when the state can't be read or the mover was reset.
func (m *Mover[G, P, C, J, A, S]) refresh(now clock.Millis) bool {
	ctx, cancel := m.callContext()
	defer cancel()
	var c StateChanges
	err := m.Group.Query(ctx, func(s *fleet.State) { c = collectChanges(s, m.table.Version, m.lastOutage) })
	if err != nil {
		return false
	}
	if !fleet.Merge(&m.table, c.Delta) {
		// The state is older than the mover's copy, because a snapshot of another
		// leader was installed. The next pass starts from an empty copy.
		m.reset(m.term)
		return false
	}
	if len(c.Outages) > 0 {
		m.lastOutage = c.Outages[len(c.Outages)-1]
	}
	m.registry.GoneProcesses = c.GoneProcesses
	m.Waves.Update(c)
	m.Capacity.Update(c.Delta)
	for _, i := range c.Delta.Instances {
		m.trackInstance(i, now)
	}
	return true
}

// trackInstance updates moving, inMaintenance and the observation for a changed
// instance. It marks a serving instance as absent if no entry process reports it, or
// only silent ones do.
func (m *Mover[G, P, C, J, A, S]) trackInstance(i model.Instance, now clock.Millis) {
	delete(m.moving, i.ID)
	delete(m.inMaintenance, i.ID)
	switch {
	case i.Phase == model.PhaseReleasing && i.Target != i.Pool:
		m.moving[i.ID] = true
	case i.Phase == model.PhaseReleasing || i.Phase == model.PhaseMaintenance:
		m.inMaintenance[i.ID] = true
	}
	if i.Phase == model.PhaseMaintenance {
		return
	}
	delete(m.rebootRequestedAt, i.ID)
	if i.Phase == model.PhaseServing {
		m.registry.MarkAbsentIfUnreported(i.ID, now)
		m.setObservation(i.ID, withLoad(m.observed[i.ID], maint.Observation{LostSince: i.LostSince}))
	}
}

// setObservation passes an observation of an instance to the wave planner if it
// differs from the last one.
func (m *Mover[G, P, C, J, A, S]) setObservation(id model.InstanceID, o maint.Observation) {
	if m.observed[id] == o {
		return
	}
	m.observed[id] = o
	m.Waves.SetObservation(id, o)
}

// observeSilentZones reports the instances of silent zones as lost to the wave
// planner, until an entry process of the zone reports again. It doesn't mark them
// as lost in the replicated log.
func (m *Mover[G, P, C, J, A, S]) observeSilentZones(now clock.Millis) {
	if now-m.termStartedAt < warmUpTime {
		return
	}
	changed := map[model.Zone]bool{}
	for _, e := range m.Entries {
		if silent := m.registry.ZoneSilent(e.Zone, now); silent != m.silentZones[e.Zone] {
			m.silentZones[e.Zone] = silent
			changed[e.Zone] = true
		}
	}
	if len(changed) == 0 {
		return
	}
	for _, i := range m.table.Instances {
		if !changed[i.Zone] || i.Phase != model.PhaseServing {
			continue
		}
		o := withLoad(m.observed[i.ID], maint.Observation{LostSince: i.LostSince})
		if o.LostSince == 0 && m.silentZones[i.Zone] {
			o.LostSince = now
		}
		m.setObservation(i.ID, o)
	}
}

// observeMaintenance passes the progress of the instances in maintenance to the
// wave planner.
func (m *Mover[G, P, C, J, A, S]) observeMaintenance() {
	for _, id := range slices.Sorted(maps.Keys(m.inMaintenance)) {
		i := m.table.Instances[id]
		o := withLoad(m.observed[id], maint.Observation{ReleaseConfirmed: len(m.registry.Unconfirmed(m.Entries, i.Zone, i.Version)) == 0})
		if i.Phase == model.PhaseMaintenance {
			l, live := m.registry.Live[id]
			o.Restarted = live && l.Announcement.Incarnation > i.Incarnation &&
				l.Announcement.State == model.AnnounceServing
			// Only an upstream process that serves announces itself as serving, so
			// no further check is needed.
			o.Verified = o.Restarted
		}
		m.setObservation(id, o)
	}
}

// finishMoves returns the steps that finish confirmed moves and retirements, and
// the waits for those that are not confirmed.
func (m *Mover[G, P, C, J, A, S]) finishMoves() ([]model.InstanceStep, []Wait) {
	var steps []model.InstanceStep
	var waits []Wait
	for _, id := range slices.Sorted(maps.Keys(m.moving)) {
		step, wait := FinishMove(m.table.Instances[id], m.registry, m.Entries)
		if wait != nil {
			waits = append(waits, *wait)
			continue
		}
		steps = append(steps, step)
	}
	return sortAndLimit(steps), waits
}

// planSteps converts the steps of a maintenance plan into steps of the replicated
// log.
func (m *Mover[G, P, C, J, A, S]) planSteps(plan maint.Plan, now clock.Millis) []model.InstanceStep {
	var steps []model.InstanceStep
	for _, s := range plan.Steps {
		if step, ok := StepFromPlan(s, m.table.Instances[s.Instance], m.registry, now); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// planWaits returns a Wait, which operators see in the Status, for each unconfirmed
// release for maintenance and for each wait, stopped wave and unmet deadline of a
// plan.
func (m *Mover[G, P, C, J, A, S]) planWaits(plan maint.Plan) []Wait {
	var waits []Wait
	for _, id := range slices.Sorted(maps.Keys(m.inMaintenance)) {
		i := m.table.Instances[id]
		if i.Phase != model.PhaseReleasing {
			continue
		}
		if missing := m.registry.Unconfirmed(m.Entries, i.Zone, i.Version); len(missing) > 0 {
			waits = append(waits, Wait{
				Instance: id, Unconfirmed: missing, Since: i.PhaseSince,
				Reason: "an entry process has not confirmed the release",
			})
		}
	}
	for _, w := range plan.Waits {
		waits = append(waits, Wait{
			Instance: w.Instance,
			Reason:   fmt.Sprintf("pool %s, wave %s: limit %s of %s: %d of %d; %s", w.Pool, w.Wave, w.Limit, w.Customer, w.Current, w.Max, w.Unblock),
		})
	}
	for _, s := range plan.Stops {
		waits = append(waits, Wait{Reason: fmt.Sprintf("wave %s stopped: %s", s.Wave, s.Reason)})
	}
	for _, l := range plan.UnmetDeadlines {
		waits = append(waits, Wait{Reason: fmt.Sprintf("wave %s will miss its deadline for %s: %s", l.Wave, l.Customer, l.Reason)})
	}
	return waits
}

// requestReboots requests a reboot of the instances in maintenance that have not
// restarted, at most once per rebootRetryInterval each.
func (m *Mover[G, P, C, J, A, S]) requestReboots(now clock.Millis) {
	for _, id := range slices.Sorted(maps.Keys(m.inMaintenance)) {
		i := m.table.Instances[id]
		if i.Phase != model.PhaseMaintenance || m.observed[id].Restarted {
			continue
		}
		if requestedAt, ok := m.rebootRequestedAt[id]; ok && now-requestedAt < rebootRetryInterval {
			continue
		}
		m.rebootRequestedAt[id] = now
		m.reboot(i)
	}
}

func (m *Mover[G, P, C, J, A, S]) reboot(i model.Instance) {
	ctx, cancel := m.callContext()
	defer cancel()
	detail := "asked the platform for a reboot"
	if err := m.Platform.Reboot(ctx, i); err != nil {
		detail = "the platform refused the reboot: " + err.Error()
	}
	m.Events(model.Event{Kind: model.EventWave, Instance: i.ID, Pool: i.Pool, Detail: detail})
}

// eventKind returns the kind of event for a step that changes an instance from
// before to next: a finished move, a finished maintenance or any other step.
func eventKind(before, next model.Instance) model.EventKind {
	switch {
	case before.ID != "" && before.Pool != next.Pool:
		return model.EventMoved
	case before.ID != "" && next.MaintainedAt > before.MaintainedAt:
		return model.EventMaintained
	}
	return model.EventInstanceStep
}

// propose replicates the steps as one change and, once they are applied, writes an
// event for each. It returns true only if the steps are known to be applied or there
// are none; after false they may have been applied or may still be.
func (m *Mover[G, P, C, J, A, S]) propose(steps []model.InstanceStep) bool {
	if len(steps) == 0 {
		return true
	}
	ctx, cancel := m.callContext()
	defer cancel()
	r, err := m.Group.Propose(ctx, model.Change{Kind: model.ChangeInstances, Author: m.Name, Instances: steps})
	if err != nil || r.Kind != model.ResultApplied {
		return false
	}
	for _, s := range steps {
		m.Events(model.Event{
			Kind: eventKind(m.table.Instances[s.Instance.ID], s.Instance), Instance: s.Instance.ID, Pool: s.Instance.Pool, Version: r.Version,
			Detail: s.Instance.Phase.String() + ": " + s.Instance.Reason,
		})
	}
	return true
}

// callContext returns a context for one call to the control group or the platform.
func (m *Mover[G, P, C, J, A, S]) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout.Duration())
}
