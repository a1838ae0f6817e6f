package maint

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

func settingsWithoutPeriod() Settings {
	s := Defaults()
	s.PeriodMillis = 0
	return s
}

func (f *fakeFleet) declare(deadline clock.Millis) model.Maintenance {
	m := model.Maintenance{Name: "firmware", DeclaredAt: f.now, Deadline: f.now + deadline}
	f.decls = append(f.decls, m)
	return m
}

// runFleet plans and carries out maintenance every minute until the given time, and
// calls each after every minute. Every seven minutes it checks that a planner newly
// loaded with the whole state makes the same decisions.
func runFleet[P Pacer, S StopPolicy](t rapid.TB, f *fakeFleet, p P, policy S, set Settings, until clock.Millis, each func()) {
	planner := NewPlanner(p, policy, set)
	planner.Load(Input{Contracts: f.contracts, Declarations: f.decls})
	for f.now < until {
		sendChanges(f, planner)
		plan := planner.Pass(f.now)
		if f.now%(7*clock.Minute) == 0 {
			fresh := PlanOnce(p, policy, set, f.input(), f.now)
			assert.DeepEqual(t, fresh.Steps, plan.Steps)
			assert.DeepEqual(t, fresh.Stops, plan.Stops)
		}
		f.record(plan)
		for _, s := range plan.Steps {
			f.carryOut(s)
		}
		f.checkWindow()
		f.advance()
		if each != nil {
			each()
		}
	}
}

// TestWavesUnderLosses guards against exceeding max-unavailable, disrupting a
// second failure domain, a new leader that decides differently, and a deadline that
// is missed without a report, while unplanned losses occur at any time.
func TestWavesUnderLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 18).Draw(t, "n")
		covers := model.FailureDomain(rapid.IntRange(0, 2).Draw(t, "covers"))
		f := newFakeFleet(rapid.Uint64().Draw(t, "seed"), n, 3, 2, rapid.IntRange(1, 2).Draw(t, "per"), covers, rapid.IntRange(0, 4).Draw(t, "most"))
		if rapid.Bool().Draw(t, "shared") {
			// A second customer of the same pool.
			f.contracts = append(f.contracts, model.Contract{
				Customer: "shared", Covers: model.DomainZone, MaxUnavailable: 2, Pools: []model.PoolShare{{Pool: "p00", Instances: 1}},
			})
		}
		deadline := clock.Millis(rapid.IntRange(30, 600).Draw(t, "deadline")) * clock.Minute
		m := f.declare(deadline)
		losses := rapid.IntRange(0, 20).Draw(t, "losses")
		ids := sortedKeys(f.instances)
		runFleet(t, f, FullSpeedPacer{}, NeverStop{}, settingsWithoutPeriod(), m.Deadline+clock.Hour, func() {
			id := ids[f.rnd.IntN(len(ids))]
			f.setLost(id, f.rnd.IntN(1000) < losses)
			if f.now == m.Deadline && f.unfinished(m) > 0 && f.firstUnmet[m.Name] == 0 {
				t.Fatalf("%d instances are left at the deadline, which was not reported as unmet", f.unfinished(m))
			}
		})
		for _, v := range f.violations {
			t.Fatal(v)
		}
	})
}

// TestWindowBudgetHolds guards against exceeding the window budget while all
// outages are planned.
func TestWindowBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 12).Draw(t, "n"), 3, 1, 1, model.DomainZone, 3)
		f.contracts[0].WindowMillis = clock.Millis(rapid.IntRange(30, 200).Draw(t, "window")) * clock.Minute
		f.contracts[0].BudgetMillis = clock.Millis(rapid.IntRange(0, 60).Draw(t, "budget")) * clock.Minute
		m := f.declare(20 * clock.Hour)
		runFleet(t, f, FullSpeedPacer{}, NeverStop{}, settingsWithoutPeriod(), f.now+10*clock.Hour, nil)
		for _, v := range f.violations {
			t.Fatal(v)
		}
		if f.contracts[0].BudgetMillis < 10*clock.Minute && (f.unfinished(m) == 0 || f.firstUnmet[m.Name] == 0) {
			t.Fatal("a budget shorter than one maintenance was not reported, or the wave finished in spite of it")
		}
	})
}

// TestFeasibleDeadlinesAreMet guards against missing a deadline that equals the
// estimate at the declaration, for each pacer, while all requests are served.
func TestFeasibleDeadlinesAreMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 30).Draw(t, "n")
		f := newFakeFleet(rapid.Uint64().Draw(t, "seed"), n, 3, 2, 2, model.FailureDomain(rapid.IntRange(0, 2).Draw(t, "covers")), rapid.IntRange(1, 6).Draw(t, "most"))
		m := f.declare(1)
		unmet := PlanOnce(FullSpeedPacer{}, NeverStop{}, settingsWithoutPeriod(), f.input(), f.now).UnmetDeadlines
		assert.Equal(t, len(unmet), 1)
		f.decls[0].Deadline = unmet[0].Estimate
		m = f.decls[0]
		switch rapid.IntRange(0, 2).Draw(t, "pacer") {
		case 0:
			runFleet(t, f, FullSpeedPacer{}, ZTest{Z: 4, MinFailures: 3}, settingsWithoutPeriod(), m.Deadline, nil)
		case 1:
			runFleet(t, f, ProportionalPacer{HaltPermille: 50}, ZTest{Z: 4, MinFailures: 3}, settingsWithoutPeriod(), m.Deadline, nil)
		default:
			runFleet(t, f, DeadlinePacer{SlowPermille: 50, HaltPermille: 200}, ZTest{Z: 4, MinFailures: 3}, settingsWithoutPeriod(), m.Deadline, nil)
		}
		if left := f.unfinished(m); left > 0 || f.firstUnmet[m.Name] > 0 || len(f.violations) > 0 {
			t.Fatalf("%d instances left, deadline reported as unmet at %d, violations: %v", left, f.firstUnmet[m.Name], f.violations)
		}
	})
}

// TestWaveStopsOnFailures guards against a wave that continues although its touched
// instances fail, and against one that stops although they are healthy.
func TestWaveStopsOnFailures(t *testing.T) {
	for _, bad := range []bool{false, true} {
		f := newFakeFleet(7, 30, 3, 3, 3, model.DomainRack, 4)
		f.failTouched = bad
		m := f.declare(clock.Day)
		runFleet(t, f, FullSpeedPacer{}, ZTest{Z: 4, MinFailures: 3}, settingsWithoutPeriod(), f.now+6*clock.Hour, nil)
		assert.Equal(t, f.stopped, bad)
		if bad {
			assert.Equal(t, f.unfinished(m), 29, "only the canary is touched")
		} else {
			assert.Equal(t, f.unfinished(m), 0)
		}
	}
}

// TestUnservedRequestsSlowWave guards against a pacer that ignores unserved
// requests, and against waits that name the wrong limit or do not say what ends
// them.
func TestUnservedRequestsSlowWave(t *testing.T) {
	f := newFakeFleet(3, 30, 3, 1, 1, model.DomainZone, 6)
	f.instances["i0000"] = maintainedAt(f.instances["i0000"], f.now)
	f.now += clock.Hour
	f.decls = []model.Maintenance{{Name: "firmware", DeclaredAt: clock.Day, Deadline: 9 * clock.Day}}
	releasesAt := func(p int) (int, Plan) {
		f.unservedPermille["c00"] = p
		plan := PlanOnce(DeadlinePacer{SlowPermille: 50, HaltPermille: 200}, NeverStop{}, settingsWithoutPeriod(), f.input(), f.now)
		return len(plan.Steps), plan
	}
	for _, c := range []struct{ unservedPermille, steps int }{{0, 6}, {25, 3}, {60, 1}, {200, 0}} {
		n, plan := releasesAt(c.unservedPermille)
		assert.Equal(t, n, c.steps, "unserved %d permille", c.unservedPermille)
		assert.Equal(t, len(plan.Waits), 1)
		want := LimitUnserved
		if c.unservedPermille == 0 {
			want = LimitMaxUnavailable
		}
		assert.Equal(t, plan.Waits[0].Limit, want)
		assert.Assert(t, plan.Waits[0].Unblock != "")
	}
}

func maintainedAt(i model.Instance, at clock.Millis) model.Instance {
	i.MaintainedAt = at
	return i
}

// TestMovesDoNotBlockOtherDomains guards against treating an instance that moves
// between pools as lost, which would block or take back maintenance in other
// domains.
func TestMovesDoNotBlockOtherDomains(t *testing.T) {
	f := newFakeFleet(3, 12, 3, 1, 1, model.DomainZone, 3)
	f.declare(clock.Day)
	f.instances["i0003"] = maintainedAt(f.instances["i0003"], f.now)
	f.now += clock.Hour
	for id, target := range map[model.InstanceID]model.Pool{"i0000": "p00", "i0001": "other"} {
		i := f.instances[id]
		i.Phase, i.Target, i.PhaseSince = model.PhaseReleasing, target, f.now
		f.instances[id] = i
	}
	plan := PlanOnce(FullSpeedPacer{}, NeverStop{}, settingsWithoutPeriod(), f.input(), f.now)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Kind, StepRelease)
	assert.Equal(t, f.instances[plan.Steps[0].Instance].Zone, model.Zone("z00"), "the zone of the maintained instance")
	assert.Equal(t, plan.Waits[0].Limit, LimitMaxUnavailable, "the move counts as unavailable")
}

// TestPeriodicMaintenance guards against an instance that is not maintained within
// its period although the limits allow it. Every instance must have been maintained
// by day 5 of the fake clock, one period after the start on day 1.
func TestPeriodicMaintenance(t *testing.T) {
	f := newFakeFleet(5, 24, 3, 2, 2, model.DomainRack, 2)
	set := Defaults()
	set.PeriodMillis, set.MarginMillis, set.PeriodicStart = 4*clock.Day, clock.Day, f.now
	runFleet(t, f, FullSpeedPacer{}, NeverStop{}, set, f.now+9*clock.Day, func() {
		for _, i := range f.instances {
			if f.now > i.MaintainedAt+set.PeriodMillis && i.MaintainedAt > 1 || f.now > 5*clock.Day && i.MaintainedAt == 1 {
				t.Fatalf("%s was last maintained at %d, now %d", i.ID, i.MaintainedAt, f.now)
			}
		}
	})
	assert.Equal(t, len(f.violations), 0)
	assert.Equal(t, f.firstUnmet[Periodic], clock.Millis(0))
}
