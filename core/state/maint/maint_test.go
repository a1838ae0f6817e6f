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

func (w *fakeFleet) declare(deadline clock.Millis) model.Maintenance {
	m := model.Maintenance{Name: "firmware", DeclaredAt: w.now, Deadline: w.now + deadline}
	w.decls = append(w.decls, m)
	return m
}

// runFleet plans and carries out maintenance every minute until the given time, and
// calls each after every minute. Every seven minutes it checks that a planner newly
// loaded with the whole state makes the same decisions.
func runFleet[P Pacer, S StopPolicy](t rapid.TB, w *fakeFleet, p P, policy S, set Settings, until clock.Millis, each func()) {
	planner := NewPlanner(p, policy, set)
	planner.Load(Input{Contracts: w.contracts, Declarations: w.decls})
	for w.now < until {
		sendChanges(w, planner)
		plan := planner.Pass(w.now)
		if w.now%(7*clock.Minute) == 0 {
			fresh := PlanOnce(p, policy, set, w.input(), w.now)
			assert.DeepEqual(t, fresh.Steps, plan.Steps)
			assert.DeepEqual(t, fresh.Stops, plan.Stops)
		}
		w.record(plan)
		for _, s := range plan.Steps {
			w.carryOut(s)
		}
		w.checkWindow()
		w.advance()
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
		w := newFakeFleet(rapid.Uint64().Draw(t, "seed"), n, 3, 2, rapid.IntRange(1, 2).Draw(t, "per"), covers, rapid.IntRange(0, 4).Draw(t, "most"))
		if rapid.Bool().Draw(t, "shared") {
			// A second customer of the same pool.
			w.contracts = append(w.contracts, model.Contract{
				Customer: "shared", Covers: model.DomainZone, MaxUnavailable: 2, Pools: []model.PoolShare{{Pool: "p00", Instances: 1}},
			})
		}
		deadline := clock.Millis(rapid.IntRange(30, 600).Draw(t, "deadline")) * clock.Minute
		m := w.declare(deadline)
		losses := rapid.IntRange(0, 20).Draw(t, "losses")
		ids := sortedKeys(w.instances)
		runFleet(t, w, FullSpeedPacer{}, NeverStop{}, settingsWithoutPeriod(), m.Deadline+clock.Hour, func() {
			id := ids[w.rnd.IntN(len(ids))]
			w.lose(id, w.rnd.IntN(1000) < losses)
			if w.now == m.Deadline && w.unfinished(m) > 0 && w.firstUnmet[m.Name] == 0 {
				t.Fatalf("%d instances are left at the deadline and no report was made", w.unfinished(m))
			}
		})
		for _, v := range w.violations {
			t.Fatal(v)
		}
	})
}

// TestWindowBudgetHolds guards against exceeding the window budget while all
// outages are planned.
func TestWindowBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFakeFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 12).Draw(t, "n"), 3, 1, 1, model.DomainZone, 3)
		w.contracts[0].WindowMillis = clock.Millis(rapid.IntRange(30, 200).Draw(t, "window")) * clock.Minute
		w.contracts[0].BudgetMillis = clock.Millis(rapid.IntRange(0, 60).Draw(t, "budget")) * clock.Minute
		m := w.declare(20 * clock.Hour)
		runFleet(t, w, FullSpeedPacer{}, NeverStop{}, settingsWithoutPeriod(), w.now+10*clock.Hour, nil)
		for _, v := range w.violations {
			t.Fatal(v)
		}
		if w.contracts[0].BudgetMillis < 10*clock.Minute && (w.unfinished(m) == 0 || w.firstUnmet[m.Name] == 0) {
			t.Fatal("a budget below one maintenance has to be reported and start nothing")
		}
	})
}

// TestFeasibleDeadlinesAreMet guards against missing a deadline that equals the
// estimate at the declaration, for each pacer, while there is no pressure.
func TestFeasibleDeadlinesAreMet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 30).Draw(t, "n")
		w := newFakeFleet(rapid.Uint64().Draw(t, "seed"), n, 3, 2, 2, model.FailureDomain(rapid.IntRange(0, 2).Draw(t, "covers")), rapid.IntRange(1, 6).Draw(t, "most"))
		m := w.declare(1)
		late := PlanOnce(FullSpeedPacer{}, NeverStop{}, settingsWithoutPeriod(), w.input(), w.now).UnmetDeadlines
		assert.Equal(t, len(late), 1)
		w.decls[0].Deadline = late[0].Estimate
		m = w.decls[0]
		switch rapid.IntRange(0, 2).Draw(t, "pacer") {
		case 0:
			runFleet(t, w, FullSpeedPacer{}, ZTest{Z: 4, MinFailures: 3}, settingsWithoutPeriod(), m.Deadline, nil)
		case 1:
			runFleet(t, w, ProportionalPacer{HaltPermille: 50}, ZTest{Z: 4, MinFailures: 3}, settingsWithoutPeriod(), m.Deadline, nil)
		default:
			runFleet(t, w, DeadlinePacer{SlowPermille: 50, HaltPermille: 200}, ZTest{Z: 4, MinFailures: 3}, settingsWithoutPeriod(), m.Deadline, nil)
		}
		if left := w.unfinished(m); left > 0 || w.firstUnmet[m.Name] > 0 || len(w.violations) > 0 {
			t.Fatalf("%d left, reported late at %d, %v", left, w.firstUnmet[m.Name], w.violations)
		}
	})
}

// TestWaveStopsOnFailures guards against a wave that continues although its touched
// instances fail, and against one that stops although they are healthy.
func TestWaveStopsOnFailures(t *testing.T) {
	for _, bad := range []bool{false, true} {
		w := newFakeFleet(7, 30, 3, 3, 3, model.DomainRack, 4)
		w.failTouched = bad
		m := w.declare(clock.Day)
		runFleet(t, w, FullSpeedPacer{}, ZTest{Z: 4, MinFailures: 3}, settingsWithoutPeriod(), w.now+6*clock.Hour, nil)
		assert.Equal(t, w.stopped, bad)
		if bad {
			assert.Equal(t, w.unfinished(m), 29, "only the canary is touched")
		} else {
			assert.Equal(t, w.unfinished(m), 0)
		}
	}
}

// TestPressureSlowsWave guards against a pacer that ignores pressure, and against
// waits that name the wrong limit or do not say what ends them.
func TestPressureSlowsWave(t *testing.T) {
	w := newFakeFleet(3, 30, 3, 1, 1, model.DomainZone, 6)
	w.instances["i0000"] = maintainedAt(w.instances["i0000"], w.now)
	w.now += clock.Hour
	w.decls = []model.Maintenance{{Name: "firmware", DeclaredAt: clock.Day, Deadline: 9 * clock.Day}}
	releasesAt := func(p int) (int, Plan) {
		w.pressure["c00"] = p
		plan := PlanOnce(DeadlinePacer{SlowPermille: 50, HaltPermille: 200}, NeverStop{}, settingsWithoutPeriod(), w.input(), w.now)
		return len(plan.Steps), plan
	}
	for _, c := range []struct{ pressure, steps int }{{0, 6}, {25, 3}, {60, 1}, {200, 0}} {
		n, plan := releasesAt(c.pressure)
		assert.Equal(t, n, c.steps, "pressure %d", c.pressure)
		assert.Equal(t, len(plan.Waits), 1)
		want := LimitPressure
		if c.pressure == 0 {
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
	w := newFakeFleet(3, 12, 3, 1, 1, model.DomainZone, 3)
	w.declare(clock.Day)
	w.instances["i0003"] = maintainedAt(w.instances["i0003"], w.now)
	w.now += clock.Hour
	for id, target := range map[model.InstanceID]model.Pool{"i0000": "p00", "i0001": "other"} {
		i := w.instances[id]
		i.Phase, i.Target, i.PhaseSince = model.PhaseReleasing, target, w.now
		w.instances[id] = i
	}
	plan := PlanOnce(FullSpeedPacer{}, NeverStop{}, settingsWithoutPeriod(), w.input(), w.now)
	assert.Equal(t, len(plan.Steps), 1)
	assert.Equal(t, plan.Steps[0].Kind, StepRelease)
	assert.Equal(t, w.instances[plan.Steps[0].Instance].Zone, model.Zone("z00"), "the zone of the maintained instance")
	assert.Equal(t, plan.Waits[0].Limit, LimitMaxUnavailable, "the move counts as unavailable")
}

// TestPeriodicMaintenance guards against an instance that is not maintained within
// its period although the limits allow it. The first periods must all end within
// the first five days.
func TestPeriodicMaintenance(t *testing.T) {
	w := newFakeFleet(5, 24, 3, 2, 2, model.DomainRack, 2)
	set := Defaults()
	set.PeriodMillis, set.MarginMillis, set.PeriodicStart = 4*clock.Day, clock.Day, w.now
	runFleet(t, w, FullSpeedPacer{}, NeverStop{}, set, w.now+9*clock.Day, func() {
		for _, i := range w.instances {
			if w.now > i.MaintainedAt+set.PeriodMillis && i.MaintainedAt > 1 || w.now > 5*clock.Day && i.MaintainedAt == 1 {
				t.Fatalf("%s was last maintained at %d, now %d", i.ID, i.MaintainedAt, w.now)
			}
		}
	})
	assert.Equal(t, len(w.violations), 0)
	assert.Equal(t, w.firstUnmet[Periodic], clock.Millis(0))
}
