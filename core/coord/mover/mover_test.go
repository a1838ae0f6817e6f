package mover

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/coord/follow"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/maint"
	"camphorridge/core/state/model"
	"camphorridge/core/state/plan"
)

// fakeGroup applies proposed changes at once.
type fakeGroup struct {
	state *fleet.State
	clock *clock.Fake
	term  uint64
	leads bool
}

func (g *fakeGroup) Leads() (uint64, bool) { return g.term, g.leads }

func (g *fakeGroup) Propose(_ context.Context, c model.Change) (model.Result, error) {
	c.Time = g.clock.Now()
	return g.state.Apply(g.state.Index+1, c), nil
}

func (g *fakeGroup) Query(_ context.Context, f func(*fleet.State)) error {
	f(g.state)
	return nil
}

type fakePlatform struct{ reboots []model.InstanceID }

func (p *fakePlatform) Reboot(_ context.Context, i model.Instance) error {
	p.reboots = append(p.reboots, i.ID)
	return nil
}

type (
	testMover  = Mover[*fakeGroup, *fakePlatform, maint.FullSpeedPacer, maint.NeverStop, plan.Spread, plan.QueueOnly]
	testConfig = Config[*fakeGroup, *fakePlatform, maint.FullSpeedPacer, maint.NeverStop, plan.Spread, plan.QueueOnly]
)

// simulation runs a mover against a simulated fleet with two entry processes in
// one zone.
type simulation struct {
	t        *testing.T
	clock    *clock.Fake
	group    *fakeGroup
	platform *fakePlatform
	mover    *testMover
	// live holds the announcements that both entry processes report.
	live map[model.InstanceID]model.Announcement
	// drainedVersions overrides the drained version that an entry process reports.
	drainedVersions map[model.Process]model.Version
	// suspended is the entry process that does not report; empty for none.
	suspended model.Process
	events    []model.Event
}

func newSimulation(t *testing.T) *simulation {
	clk := clock.NewFake(1_000_000)
	s := &simulation{
		t: t, clock: clk, platform: &fakePlatform{},
		group:           &fakeGroup{state: fleet.New(), clock: clk, term: 1, leads: true},
		live:            map[model.InstanceID]model.Announcement{},
		drainedVersions: map[model.Process]model.Version{},
	}
	entries := []model.Member{{Name: "e1", Zone: "za"}, {Name: "e2", Zone: "za"}}
	settings := maint.Settings{MaintenanceMillis: 10_000, CanaryMillis: 1000, StuckMillis: 60_000, PacerRetryMillis: 1000}
	waves := NewWavePlanner(maint.FullSpeedPacer{}, maint.NeverStop{}, settings)
	capacity := NewCapacityPlanner(plan.Spread{}, plan.Settings{}, 30_000, NewSurgePlanner(plan.QueueOnly{}, plan.Weights{}, false))
	s.mover = New(testConfig{
		Name: "c1", Entries: entries, Group: s.group, Platform: s.platform, Waves: waves,
		Capacity: capacity, Clock: clk.Clock(), Events: func(e model.Event) {
			e.Stamp.Wall, e.Process, e.Seq = clk.Now(), "c1", uint64(len(s.events)+1)
			s.events = append(s.events, e)
		},
	})
	for i := range 8 {
		id := model.InstanceID(fmt.Sprintf("i%d", i))
		a := model.Announcement{
			Instance: id, Zone: "za", Rack: model.Rack(fmt.Sprintf("r%d", i/4)), Pool: "merge",
			Slots: 8, Connections: 64, Incarnation: 1,
		}
		if i >= 6 {
			a.Pool = "portal"
		}
		s.live[id] = a
	}
	s.run(6 * clock.Second)
	r, _ := s.group.Propose(context.Background(), model.Change{
		Kind: model.ChangeContractApply, Contract: model.Contract{
			Customer: "acme", Pools: []model.PoolShare{{Pool: "merge", Instances: 6}}, Spare: 2, SparePool: "portal",
			MaxUnavailable: 2, BudgetMillis: clock.Hour, WindowMillis: clock.Day,
		},
	})
	assert.Equal(t, r.Kind, model.ResultApplied)
	return s
}

// run advances the time by d. At each second the entry processes report and the
// mover runs a pass.
func (s *simulation) run(d clock.Millis) {
	for range d / clock.Second {
		s.clock.Advance(clock.Second)
		for _, p := range []model.Process{"e1", "e2"} {
			if p == s.suspended {
				continue
			}
			r := follow.Report{Process: p, Zone: "za", Incarnation: 1, Version: s.group.state.Version, DrainedVersion: s.group.state.Version}
			if v, ok := s.drainedVersions[p]; ok {
				r.DrainedVersion = v
			}
			for _, a := range s.live {
				r.Changed = append(r.Changed, a)
			}
			for id := range s.group.state.Instances {
				if _, ok := s.live[id]; !ok {
					r.Gone = append(r.Gone, id)
				}
			}
			s.mover.handleInput(input{report: &r})
		}
		s.mover.pass()
	}
}

func (s *simulation) instance(id model.InstanceID) model.Instance { return s.group.state.Instances[id] }

// TestRepairWaitsForEveryEntry guards against moving an instance to another pool
// while an entry process of its zone may still route to it.
func TestRepairWaitsForEveryEntry(t *testing.T) {
	s := newSimulation(t)
	assert.Equal(t, len(s.group.state.Instances), 8)
	s.drainedVersions["e2"] = s.group.state.Version
	delete(s.live, "i0")
	s.run(20 * clock.Second)
	assert.Assert(t, s.instance("i0").LostSince != 0)
	assert.Equal(t, len(s.mover.moving), 0, "an instance that may only be restarting must not cause moves")
	s.run(20 * clock.Second)
	assert.Equal(t, len(s.mover.moving), 1)
	var moved model.InstanceID
	for id := range s.mover.moving {
		moved = id
	}
	assert.Equal(t, s.instance(moved).Pool, model.Pool("portal"))
	assert.Equal(t, s.instance(moved).Phase, model.PhaseReleasing)
	s.run(60 * clock.Second)
	assert.Equal(t, s.instance(moved).Pool, model.Pool("portal"), "e2 has not confirmed")
	assert.DeepEqual(t, s.mover.waits[0].Unconfirmed, []model.Process{"e2"})
	delete(s.drainedVersions, "e2")
	s.run(3 * clock.Second)
	assert.Equal(t, s.instance(moved).Pool, model.Pool("merge"))
	assert.Equal(t, s.instance(moved).Phase, model.PhaseServing)
}

// TestNewLeaderResumes guards against a wave that is not continued, or takes too
// many instances out of service, when the leader changes while it is in progress.
func TestNewLeaderResumes(t *testing.T) {
	s := newSimulation(t)
	r, _ := s.group.Propose(context.Background(), model.Change{
		Kind: model.ChangeMaintenanceDeclare, Time: s.clock.Now(),
		Maintenance: model.Maintenance{Name: "m", Selector: model.Selector{Pool: "merge"}, Deadline: s.clock.Now() + clock.Day},
	})
	assert.Equal(t, r.Kind, model.ResultApplied)
	for step := range 200 {
		s.run(clock.Second)
		if step%7 == 3 {
			s.group.term++
		}
		outOfService := 0
		for id, i := range s.group.state.Instances {
			if i.OutOfService() {
				outOfService++
			}
			// The platform reboots the instances that were handed over.
			if i.Phase == model.PhaseMaintenance {
				a := s.live[id]
				a.Incarnation = i.Incarnation + 1
				s.live[id] = a
			}
		}
		assert.Assert(t, outOfService <= 2, "%d instances are out of service", outOfService)
	}
	for id, i := range s.group.state.Instances {
		if i.Pool == "merge" {
			assert.Assert(t, i.MaintainedAt >= s.group.state.Maintenance["m"].DeclaredAt, "%s was not maintained", id)
		}
	}
}

// TestSilentZoneIsNotMarkedLost guards against marking the instances of a
// partitioned zone as lost and moving other instances to replace them.
func TestSilentZoneIsNotMarkedLost(t *testing.T) {
	s := newSimulation(t)
	for range 120 {
		s.clock.Advance(clock.Second)
		s.mover.pass()
	}
	for id, i := range s.group.state.Instances {
		assert.Assert(t, i.LostSince == 0 && i.Phase == model.PhaseServing, "%s is %v", id, i)
	}
}

// TestReportBeforeFirstPassOfTerm guards against an instance that is never
// enrolled because its report arrived between the election and the first pass of
// the new term. Entry processes report an unchanged instance once in a term.
func TestReportBeforeFirstPassOfTerm(t *testing.T) {
	s := newSimulation(t)
	s.group.term++
	a := s.live["i0"]
	a.Instance = "i8"
	s.mover.handleInput(input{report: &follow.Report{
		Process: "e1", Zone: "za", Incarnation: 1, Changed: []model.Announcement{a},
	}})
	s.mover.pass()
	assert.Equal(t, s.instance("i8").Phase, model.PhaseServing)
	assert.Equal(t, s.instance("i8").ID, model.InstanceID("i8"), "the instance was not enrolled")
}

// TestReportDuringWarmUpClearsLoss guards against an instance that stays marked as lost,
// and is replaced by another one, although it is reported: its report came right after
// a change of leader, before marks are cleared. Entry processes report an unchanged
// instance once in a term.
func TestReportDuringWarmUpClearsLoss(t *testing.T) {
	s := newSimulation(t)
	a := s.live["i0"]
	delete(s.live, "i0")
	s.run(10 * clock.Second)
	assert.Assert(t, s.instance("i0").LostSince != 0, "the instance was not marked as lost")
	s.live["i0"] = a
	s.group.term++
	s.run(clock.Second)
	for range 20 {
		s.clock.Advance(clock.Second)
		for _, p := range []model.Process{"e1", "e2"} {
			s.mover.handleInput(input{report: &follow.Report{Process: p, Zone: "za", Incarnation: 1, Version: s.group.state.Version}})
		}
		s.mover.pass()
	}
	assert.Equal(t, s.instance("i0").LostSince, clock.Millis(0), "it is reported again")
	assert.Equal(t, len(s.mover.registry.NewlyAnnounced), 0)
}

// TestSilentProcessHidesNoLoss guards against missing the loss of an instance
// because an entry process that reported it failed at the same time, and against
// keeping an instance marked as lost although a process that was only suspended
// reports it again.
func TestSilentProcessHidesNoLoss(t *testing.T) {
	s := newSimulation(t)
	s.suspended = "e2"
	s.run(10 * clock.Second)
	delete(s.live, "i0")
	s.run(10 * clock.Second)
	assert.Assert(t, s.instance("i0").LostSince != 0, "the instance was not marked as lost")
	assert.Assert(t, s.instance("i1").LostSince == 0, "e1 reports it")
	s.live["i0"] = s.live["i1"]
	a := s.live["i0"]
	a.Instance = "i0"
	s.live["i0"] = a
	s.suspended = ""
	s.run(3 * clock.Second)
	assert.Assert(t, s.instance("i0").LostSince == 0, "it is reported again")
}

// TestResumedEntryCountsAgain guards against marking an instance as lost when the
// entry process that reports it was suspended and, once resumed, reports only
// changes.
func TestResumedEntryCountsAgain(t *testing.T) {
	g := NewRegistry()
	a := model.Announcement{Instance: "i0", Zone: "za", Incarnation: 1}
	g.AddReport(follow.Report{Process: "e1", Zone: "za", Incarnation: 1, Changed: []model.Announcement{a}}, 0)
	g.AddReport(follow.Report{Process: "e2", Zone: "za", Incarnation: 1}, 0)
	g.AddReport(follow.Report{Process: "e2", Zone: "za", Incarnation: 1}, SilentAfter+1)
	g.MarkSilentProcesses(SilentAfter + 1)
	_, absent := g.Absent["i0"]
	assert.Assert(t, absent, "only the suspended process reports it")
	g.AddReport(follow.Report{Process: "e1", Zone: "za", Incarnation: 1}, SilentAfter+2)
	_, absent = g.Absent["i0"]
	assert.Assert(t, !absent, "the resumed process reports it")
	g.MarkSilentProcesses(4 * SilentAfter)
	_, absent = g.Absent["i0"]
	assert.Assert(t, !absent, "the whole zone is silent")
}

// TestRetirementAfterProcessGone guards against an instance that is never retired
// because an entry process that no longer exists can't confirm the release, and
// against retiring an instance while an existing process has not confirmed.
func TestRetirementAfterProcessGone(t *testing.T) {
	s := newSimulation(t)
	s.drainedVersions["e2"] = s.group.state.Version
	i := s.instance("i0")
	i.Phase, i.Target = model.PhaseReleasing, model.PoolNone
	propose := func(c model.Change) {
		r, _ := s.group.Propose(context.Background(), c)
		assert.Equal(t, r.Kind, model.ResultApplied, r.Reason)
	}
	propose(model.Change{Kind: model.ChangeInstances, Instances: []model.InstanceStep{{Base: i.Version, Instance: i}}})
	s.run(10 * clock.Second)
	assert.Equal(t, s.instance("i0").Phase, model.PhaseReleasing)
	propose(model.Change{Kind: model.ChangeProcessGone, Process: "e2"})
	s.run(3 * clock.Second)
	assert.Equal(t, s.instance("i0").Phase, model.PhaseRetired)
	s.run(10 * clock.Second)
	serving := 0
	for _, x := range s.group.state.Instances {
		if x.Pool == "merge" && x.Phase == model.PhaseServing {
			serving++
		}
	}
	assert.Equal(t, serving, 6, "the pool is filled from the spare")
}
