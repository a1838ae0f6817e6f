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

// world simulates a mover with a fleet and two entry processes in one zone.
type world struct {
	t        *testing.T
	clock    *clock.Fake
	group    *fakeGroup
	platform *fakePlatform
	mover    *testMover
	// live holds the announcements that both entry processes report.
	live map[model.InstanceID]model.Announcement
	// drained overrides the drained version that an entry process reports.
	drained map[model.Process]model.Version
	// frozen is the entry process that does not report; empty for none.
	frozen model.Process
	events []model.Event
}

func newWorld(t *testing.T) *world {
	clk := clock.NewFake(1_000_000)
	w := &world{
		t: t, clock: clk, platform: &fakePlatform{},
		group:   &fakeGroup{state: fleet.New(), clock: clk, term: 1, leads: true},
		live:    map[model.InstanceID]model.Announcement{},
		drained: map[model.Process]model.Version{},
	}
	entries := []model.Member{{Name: "e1", Zone: "za"}, {Name: "e2", Zone: "za"}}
	set := maint.Settings{MaintenanceMillis: 10_000, CanaryMillis: 1000, StuckMillis: 60_000, PacerRetryMillis: 1000}
	waves := NewWavePlanner(maint.FullSpeedPacer{}, maint.NeverStop{}, set)
	capacity := NewCapacityPlanner(plan.Spread{}, plan.Settings{}, 30_000, NewSurgePlanner(plan.QueueOnly{}, plan.Weights{}, false))
	w.mover = New(testConfig{
		Name: "c1", Entries: entries, Group: w.group, Platform: w.platform, Waves: waves,
		Capacity: capacity, Clock: clk.Clock(), Events: func(e model.Event) {
			e.Stamp.Wall, e.Process, e.Seq = clk.Now(), "c1", uint64(len(w.events)+1)
			w.events = append(w.events, e)
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
		w.live[id] = a
	}
	w.run(6 * clock.Second)
	r, _ := w.group.Propose(context.Background(), model.Change{
		Kind: model.ChangeContractApply, Contract: model.Contract{
			Customer: "acme", Pools: []model.PoolShare{{Pool: "merge", Instances: 6}}, Spare: 2, SparePool: "portal",
			MaxUnavailable: 2, BudgetMillis: clock.Hour, WindowMillis: clock.Day,
		},
	})
	assert.Equal(t, r.Kind, model.ResultApplied)
	return w
}

// run advances the time by d. In each second the entry processes report and the
// mover runs a pass.
func (w *world) run(d clock.Millis) {
	for range d / clock.Second {
		w.clock.Advance(clock.Second)
		for _, p := range []model.Process{"e1", "e2"} {
			if p == w.frozen {
				continue
			}
			r := follow.Report{Process: p, Zone: "za", Incarnation: 1, Version: w.group.state.Version, Drained: w.group.state.Version}
			if v, ok := w.drained[p]; ok {
				r.Drained = v
			}
			for _, a := range w.live {
				r.Live = append(r.Live, a)
			}
			for id := range w.group.state.Instances {
				if _, ok := w.live[id]; !ok {
					r.Gone = append(r.Gone, id)
				}
			}
			w.mover.handleInput(input{report: &r})
		}
		w.mover.pass()
	}
}

func (w *world) instance(id model.InstanceID) model.Instance { return w.group.state.Instances[id] }

// TestRepairWaitsForEveryEntry guards against moving an instance to another pool
// while an entry process of its zone may still route to it.
func TestRepairWaitsForEveryEntry(t *testing.T) {
	w := newWorld(t)
	assert.Equal(t, len(w.group.state.Instances), 8)
	w.drained["e2"] = w.group.state.Version
	delete(w.live, "i0")
	w.run(20 * clock.Second)
	assert.Assert(t, w.instance("i0").LostSince != 0)
	assert.Equal(t, len(w.mover.moving), 0, "a restart must not cost moves")
	w.run(20 * clock.Second)
	assert.Equal(t, len(w.mover.moving), 1)
	var moved model.InstanceID
	for id := range w.mover.moving {
		moved = id
	}
	assert.Equal(t, w.instance(moved).Pool, model.Pool("portal"))
	assert.Equal(t, w.instance(moved).Phase, model.PhaseReleasing)
	w.run(60 * clock.Second)
	assert.Equal(t, w.instance(moved).Pool, model.Pool("portal"), "e2 has not confirmed")
	assert.DeepEqual(t, w.mover.waits[0].Unconfirmed, []model.Process{"e2"})
	delete(w.drained, "e2")
	w.run(3 * clock.Second)
	assert.Equal(t, w.instance(moved).Pool, model.Pool("merge"))
	assert.Equal(t, w.instance(moved).Phase, model.PhaseServing)
}

// TestNewLeaderResumes guards against a wave that is forgotten, or takes too many
// instances out of service, when the leader changes while it is in progress.
func TestNewLeaderResumes(t *testing.T) {
	w := newWorld(t)
	r, _ := w.group.Propose(context.Background(), model.Change{
		Kind: model.ChangeMaintenanceDeclare, Time: w.clock.Now(),
		Maintenance: model.Maintenance{Name: "m", Selector: model.Selector{Pool: "merge"}, Deadline: w.clock.Now() + clock.Day},
	})
	assert.Equal(t, r.Kind, model.ResultApplied)
	for step := range 200 {
		w.run(clock.Second)
		if step%7 == 3 {
			w.group.term++
		}
		away := 0
		for id, i := range w.group.state.Instances {
			if i.OutOfService() {
				away++
			}
			// The platform reboots the instances that were handed over.
			if i.Phase == model.PhaseMaintenance {
				a := w.live[id]
				a.Incarnation = i.Incarnation + 1
				w.live[id] = a
			}
		}
		assert.Assert(t, away <= 2, "%d instances are out of service", away)
	}
	for id, i := range w.group.state.Instances {
		if i.Pool == "merge" {
			assert.Assert(t, i.MaintainedAt >= w.group.state.Maintenance["m"].DeclaredAt, "%s was not maintained", id)
		}
	}
}

// TestSilentZoneIsNotMarkedLost guards against marking the instances of a
// partitioned zone as lost and moving other instances to replace them.
func TestSilentZoneIsNotMarkedLost(t *testing.T) {
	w := newWorld(t)
	for range 120 {
		w.clock.Advance(clock.Second)
		w.mover.pass()
	}
	for id, i := range w.group.state.Instances {
		assert.Assert(t, i.LostSince == 0 && i.Phase == model.PhaseServing, "%s is %v", id, i)
	}
}

// TestReportBeforeFirstPassOfTerm guards against an instance that is never
// enrolled because its report arrived between the election and the first pass of
// the new term. Entry processes report an unchanged instance once in a term.
func TestReportBeforeFirstPassOfTerm(t *testing.T) {
	w := newWorld(t)
	w.group.term++
	a := w.live["i0"]
	a.Instance = "i8"
	w.mover.handleInput(input{report: &follow.Report{
		Process: "e1", Zone: "za", Incarnation: 1, Live: []model.Announcement{a},
	}})
	w.mover.pass()
	assert.Equal(t, w.instance("i8").Phase, model.PhaseServing)
	assert.Equal(t, w.instance("i8").ID, model.InstanceID("i8"), "the instance was not enrolled")
}

// TestSilentProcessHidesNoLoss guards against missing the loss of an instance
// because an entry process that reported it failed at the same time, and against
// keeping an instance marked as lost once a process that was only frozen reports
// it again.
func TestSilentProcessHidesNoLoss(t *testing.T) {
	w := newWorld(t)
	w.frozen = "e2"
	w.run(10 * clock.Second)
	delete(w.live, "i0")
	w.run(10 * clock.Second)
	assert.Assert(t, w.instance("i0").LostSince != 0, "the loss was not noticed")
	assert.Assert(t, w.instance("i1").LostSince == 0, "e1 reports it")
	w.live["i0"] = w.live["i1"]
	a := w.live["i0"]
	a.Instance = "i0"
	w.live["i0"] = a
	w.frozen = ""
	w.run(3 * clock.Second)
	assert.Assert(t, w.instance("i0").LostSince == 0, "it is reported again")
}

// TestResumedEntryCountsAgain guards against marking an instance as lost when the
// entry process that reports it was frozen and, once resumed, reports only
// changes.
func TestResumedEntryCountsAgain(t *testing.T) {
	g := NewRegistry()
	a := model.Announcement{Instance: "i0", Zone: "za", Incarnation: 1}
	g.AddReport(follow.Report{Process: "e1", Zone: "za", Incarnation: 1, Live: []model.Announcement{a}}, 0)
	g.AddReport(follow.Report{Process: "e2", Zone: "za", Incarnation: 1}, 0)
	g.AddReport(follow.Report{Process: "e2", Zone: "za", Incarnation: 1}, SilentAfter+1)
	g.MarkSilentProcesses(SilentAfter + 1)
	_, absent := g.Absent["i0"]
	assert.Assert(t, absent, "only the frozen process reports it")
	g.AddReport(follow.Report{Process: "e1", Zone: "za", Incarnation: 1}, SilentAfter+2)
	_, absent = g.Absent["i0"]
	assert.Assert(t, !absent, "the resumed process reports it")
	g.MarkSilentProcesses(4 * SilentAfter)
	_, absent = g.Absent["i0"]
	assert.Assert(t, !absent, "the zone is silent as a whole")
}

// TestRetirementAfterProcessGone guards against an instance that is never retired
// because an entry process that no longer exists can't confirm the release, and
// against retiring an instance while an existing process has not confirmed.
func TestRetirementAfterProcessGone(t *testing.T) {
	w := newWorld(t)
	w.drained["e2"] = w.group.state.Version
	i := w.instance("i0")
	i.Phase, i.Target = model.PhaseReleasing, model.PoolNone
	propose := func(c model.Change) {
		r, _ := w.group.Propose(context.Background(), c)
		assert.Equal(t, r.Kind, model.ResultApplied, r.Reason)
	}
	propose(model.Change{Kind: model.ChangeInstances, Instances: []model.InstanceStep{{Base: i.Version, Instance: i}}})
	w.run(10 * clock.Second)
	assert.Equal(t, w.instance("i0").Phase, model.PhaseReleasing)
	propose(model.Change{Kind: model.ChangeProcessGone, Process: "e2"})
	w.run(3 * clock.Second)
	assert.Equal(t, w.instance("i0").Phase, model.PhaseRetired)
	w.run(10 * clock.Second)
	serving := 0
	for _, x := range w.group.state.Instances {
		if x.Pool == "merge" && x.Phase == model.PhaseServing {
			serving++
		}
	}
	assert.Equal(t, serving, 6, "the pool is filled from the spare")
}
