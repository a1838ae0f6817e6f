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

// pass brings the mover's copy of the table up to date and takes the steps
// that are due.
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
	if now-m.began >= warmUp {
		steps = append(steps, MarkLost(m.table, m.registry, now)...)
	}
	m.registry.ClearEnrolled(m.table)
	m.seeZones(now)
	m.seeUnderWay()
	m.seeFelt(now)
	plan := m.Waves.Pass(now)
	m.waits = append(waits, m.planWaits(plan)...)
	steps = append(steps, m.planSteps(plan, now)...)
	if now-m.began >= warmUp {
		moves, gaps := m.Capacity.Moves(m.table, now)
		steps = append(steps, moves...)
		m.waits = append(m.waits, gaps...)
	}
	if !m.propose(distinct(steps)) {
		m.Capacity.Invalidate()
	}
	m.reboots(now)
}

// distinct keeps the first step of each instance: a change must not hold two.
func distinct(steps []model.InstanceStep) []model.InstanceStep {
	seen := make(map[model.InstanceID]bool, len(steps))
	kept := steps[:0]
	for _, s := range steps {
		if seen[s.Instance.ID] {
			continue
		}
		seen[s.Instance.ID] = true
		kept = append(kept, s)
	}
	return first(kept)
}

// refresh follows the replicated state by its deltas.
func (m *Mover[G, P, C, J, A, S]) refresh(now clock.Millis) bool {
	ctx, cancel := m.deadline()
	defer cancel()
	var c StateChanges
	err := m.Group.Query(ctx, func(s *fleet.State) { c = collect(s, m.table.Version, m.outage) })
	if err != nil {
		return false
	}
	if !fleet.Merge(&m.table, c.Delta) {
		// The state is older than the copy: another leader's snapshot came in
		// between. The next pass starts anew.
		m.reset(m.term)
		return false
	}
	if len(c.Outages) > 0 {
		m.outage = c.Outages[len(c.Outages)-1]
	}
	m.registry.DeclaredGone = c.DeclaredGone
	m.Waves.Update(c)
	m.Capacity.Update(c.Delta)
	for _, i := range c.Delta.Instances {
		m.note(i, now)
	}
	return true
}

// note keeps the sets of instances under way.
func (m *Mover[G, P, C, J, A, S]) note(i model.Instance, now clock.Millis) {
	delete(m.moving, i.ID)
	delete(m.away, i.ID)
	switch {
	case i.Phase == model.PhaseReleasing && i.Target != i.Pool:
		m.moving[i.ID] = true
	case i.Phase == model.PhaseReleasing || i.Phase == model.PhaseMaintenance:
		m.away[i.ID] = true
	}
	if i.Phase == model.PhaseMaintenance {
		return
	}
	delete(m.rebooted, i.ID)
	if i.Phase == model.PhaseServing {
		m.registry.MarkAbsentIfUnreported(i.ID, now)
		m.see(i.ID, keep(m.seen[i.ID], maint.Observation{LostSince: i.LostSince}))
	}
}

// see tells the board what is known of an instance, when that changed.
func (m *Mover[G, P, C, J, A, S]) see(id model.InstanceID, s maint.Observation) {
	if m.seen[id] == s {
		return
	}
	m.seen[id] = s
	m.Waves.SetObservation(id, s)
}

// seeZones counts the instances of zones that fell silent as lost, without
// marking them in the log, and takes that back when a zone reports again.
func (m *Mover[G, P, C, J, A, S]) seeZones(now clock.Millis) {
	if now-m.began < warmUp {
		return
	}
	changed := map[model.Zone]bool{}
	for _, e := range m.Entries {
		if quiet := m.registry.ZoneSilent(e.Zone, now); quiet != m.silent[e.Zone] {
			m.silent[e.Zone] = quiet
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
		s := keep(m.seen[i.ID], maint.Observation{LostSince: i.LostSince})
		if s.LostSince == 0 && m.silent[i.Zone] {
			s.LostSince = now
		}
		m.see(i.ID, s)
	}
}

// seeUnderWay tells the board how far the instances in maintenance are.
func (m *Mover[G, P, C, J, A, S]) seeUnderWay() {
	for _, id := range slices.Sorted(maps.Keys(m.away)) {
		i := m.table.Instances[id]
		s := keep(m.seen[id], maint.Observation{Drained: len(m.registry.Unconfirmed(m.Entries, i.Zone, i.Version)) == 0})
		if i.Phase == model.PhaseMaintenance {
			l, live := m.registry.Live[id]
			s.Restarted = live && l.Announcement.Incarnation > i.Incarnation &&
				l.Announcement.State == model.AnnounceServing
			// An announcement is accepted only from a process that serves.
			s.Verified = s.Restarted
		}
		m.see(id, s)
	}
}

// finishMoves returns the steps of the moves that were confirmed.
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
	return first(steps), waits
}

func (m *Mover[G, P, C, J, A, S]) planSteps(plan maint.Plan, now clock.Millis) []model.InstanceStep {
	var steps []model.InstanceStep
	for _, s := range plan.Steps {
		if step, ok := FromPlan(s, m.table.Instances[s.Instance], m.registry, now); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// planWaits turns the waits, stops and late deadlines of a plan into waits for
// operators.
func (m *Mover[G, P, C, J, A, S]) planWaits(plan maint.Plan) []Wait {
	var waits []Wait
	for _, id := range slices.Sorted(maps.Keys(m.away)) {
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

// reboots asks the platform for the reboots that have not shown an effect.
func (m *Mover[G, P, C, J, A, S]) reboots(now clock.Millis) {
	for _, id := range slices.Sorted(maps.Keys(m.away)) {
		i := m.table.Instances[id]
		if i.Phase != model.PhaseMaintenance || m.seen[id].Restarted {
			continue
		}
		if asked, ok := m.rebooted[id]; ok && now-asked < rebootRetry {
			continue
		}
		m.rebooted[id] = now
		m.reboot(i)
	}
}

func (m *Mover[G, P, C, J, A, S]) reboot(i model.Instance) {
	ctx, cancel := m.deadline()
	defer cancel()
	detail := "asked the platform for a reboot"
	if err := m.Platform.Reboot(ctx, i); err != nil {
		detail = "the platform refused the reboot: " + err.Error()
	}
	m.Events(model.Event{Kind: model.EventWave, Instance: i.ID, Pool: i.Pool, Detail: detail})
}

// kindOf is the event of a step: a finished move, a finished maintenance or
// any other step.
func kindOf(held, next model.Instance) model.EventKind {
	switch {
	case held.ID != "" && held.Pool != next.Pool:
		return model.EventMoved
	case held.ID != "" && next.MaintainedAt > held.MaintainedAt:
		return model.EventMaintained
	}
	return model.EventInstance
}

// propose reports false when the steps were not applied.
func (m *Mover[G, P, C, J, A, S]) propose(steps []model.InstanceStep) bool {
	if len(steps) == 0 {
		return true
	}
	ctx, cancel := m.deadline()
	defer cancel()
	r, err := m.Group.Propose(ctx, model.Change{Kind: model.ChangeInstances, Author: m.Name, Instances: steps})
	if err != nil || r.Kind != model.ResultApplied {
		return false
	}
	for _, s := range steps {
		m.Events(model.Event{
			Kind: kindOf(m.table.Instances[s.Instance.ID], s.Instance), Instance: s.Instance.ID, Pool: s.Instance.Pool, Version: r.Version,
			Detail: s.Instance.Phase.String() + ": " + s.Instance.Reason,
		})
	}
	return true
}

func (m *Mover[G, P, C, J, A, S]) deadline() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout.Duration())
}
