package place

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// audit keeps its own account of disruptions from the actions alone.
type audit struct {
	out   map[TaskID]bool
	spent map[model.Customer][]disruptionCost
	start map[TaskID]clock.Millis
}

func (a *audit) check(t rapid.TB, tasks map[TaskID]Task, contracts map[model.Customer]model.Contract, set Settings, plan Plan, now clock.Millis) {
	for _, x := range plan.Actions {
		team := tasks[x.Task].Team
		c := contracts[team]
		cost := map[ActionKind]clock.Millis{
			ActionCheckpoint: set.CheckpointMillis, ActionThrottle: set.ThrottleMillis, ActionStop: now - a.start[x.Task],
		}[x.Kind]
		switch {
		case x.Kind == ActionRenew:
			continue
		case x.Kind == ActionStart:
			a.start[x.Task] = now
			delete(a.out, x.Task)
			continue
		case x.CPUPercent == 100:
			delete(a.out, x.Task)
			continue
		case x.Reason == "cancelled" || strings.HasPrefix(x.Reason, "it still"):
			continue
		case a.out[x.Task]:
			continue // asked again
		}
		a.out[x.Task] = true
		a.spent[team] = append(a.spent[team], disruptionCost{now, cost})
		n, sum := 0, clock.Millis(0)
		for id := range a.out {
			if tasks[id].Team == team {
				n++
			}
		}
		for _, e := range a.spent[team] {
			if e.at > now-c.WindowMillis {
				sum += e.cost
			}
		}
		if n > c.MaxUnavailable || sum > c.BudgetMillis {
			t.Fatalf("%s: %d of %d disrupted, %d of %d ms spent by %v", team, n, c.MaxUnavailable, sum, c.BudgetMillis, x)
		}
	}
}

// Guards against a task on two workers at once, an overspent quota or
// disruption budget, and tasks that are forgotten, with lost and late
// messages, cut workers, wrong declarations, urgent work and cancellations.
func TestPlacementUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFake(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "workers"))
		f.delay, f.drop = clock.Millis(rapid.IntRange(0, 4000).Draw(t, "delay")), rapid.IntRange(0, 10).Draw(t, "drop")
		b := NewPlacer(BestFit{}, NewQuantile(90), PeerComparison{MinScore: 6}, Defaults())
		f.fill(b)
		tasks, contracts := map[TaskID]Task{}, map[model.Customer]model.Contract{}
		for k := range 2 {
			c := teamContract(k, rapid.IntRange(4000, 40000).Draw(t, "quota"))
			b.SetContract(c)
			contracts[c.Customer] = c
		}
		a := &audit{out: map[TaskID]bool{}, spent: map[model.Customer][]disruptionCost{}, start: map[TaskID]clock.Millis{}}
		off := rapid.IntRange(20, 200).Draw(t, "off")
		var accepted []TaskID
		faulty := map[TaskID]bool{}
		for step := range 4000 {
			if step < 150 && f.rnd.IntN(3) == 0 {
				x := f.add(step%2, step, 500+f.rnd.IntN(4)*1000, clock.Millis(1+f.rnd.IntN(20))*clock.Second, off)
				x.Urgent = f.rnd.IntN(10) == 0
				f.work[x.ID].fails = f.rnd.IntN(20) == 0
				faulty[x.ID] = f.work[x.ID].fails
				tasks[x.ID] = x
				if b.Submit(x) == nil {
					accepted = append(accepted, x.ID)
				}
			}
			if step == 100 {
				b.Cancel(accepted[:len(accepted)/3]...)
			}
			for _, id := range sortedKeys(f.workers) {
				f.workers[id].cut = step < 300 && (f.workers[id].cut != (f.rnd.IntN(60) == 0))
			}
			plan := b.Pass(f.now)
			for id := range a.out {
				if b.tasks[id].phase == PhaseFinished {
					delete(a.out, id)
				}
			}
			a.check(t, tasks, contracts, b.settings, plan, f.now)
			for _, x := range plan.Actions {
				if team := tasks[x.Task].Team; x.Kind == ActionStart && x.Size.MilliCores > contracts[team].Quota.MilliCores {
					t.Fatalf("%v exceeds the quota of %s", x, team)
				}
			}
			for _, g := range plan.GivenUp {
				if !faulty[g.Task] {
					t.Fatalf("given up: %v", g)
				}
			}
			assert.Equal(t, len(Execute(f, plan.Actions)), 0)
			tick(f, b, 500)
			if step > 300 && !slices.ContainsFunc(accepted, func(id TaskID) bool { return b.tasks[id].phase != PhaseFinished }) {
				break
			}
		}
		if len(f.violations) > 0 {
			t.Fatal(f.violations[0])
		}
		for _, id := range accepted {
			if b.tasks[id].phase != PhaseFinished {
				t.Fatalf("%s is not over: %+v", id, *b.tasks[id])
			}
		}
	})
}

// Guards against the start of a task beyond its team's quota.
func TestQuotaHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFake(rapid.Uint64().Draw(t, "seed"), 4)
		b := NewPlacer(WorstFit{}, Declared{}, NoQuarantine{}, Defaults())
		f.fill(b)
		quota := rapid.IntRange(1000, 30000).Draw(t, "quota")
		b.SetContract(teamContract(0, quota))
		for n := range 40 {
			_ = b.Submit(f.add(0, n, 500+f.rnd.IntN(3000), 5*clock.Second, 100))
		}
		for range 60 {
			for _, id := range sortedKeys(f.workers) {
				b.Heartbeat(id, 0, nil)
			}
			plan := b.Pass(f.now)
			if used := b.teams["team0"].used.MilliCores; used > quota {
				t.Fatalf("%d of %d in use", used, quota)
			}
			Execute(f, plan.Actions)
			tick(f, b, 500)
		}
	})
}

// Guards against impossible work that waits in place of being refused, and
// against refusals without figures.
func TestImpossibleWorkIsRefused(t *testing.T) {
	f := newFake(1, 3)
	b := NewPlacer(BestFit{}, Declared{}, NoQuarantine{}, Defaults())
	f.fill(b)
	b.SetContract(teamContract(0, 20000))
	for _, c := range []struct {
		task Task
		kind Kind
		has  string
	}{
		{f.add(0, 1, 17000, 1, 100), KindImpossible, "17000"},
		{f.add(0, 2, 21000, 1, 100), KindQuota, "20000"},
		{f.add(9, 3, 1000, 1, 100), KindNoContract, "team9"},
	} {
		var e *Error
		err := b.Submit(c.task)
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Kind, c.kind)
		assert.ErrorContains(t, err, c.has)
	}
	x := f.add(0, 4, 1000, 1, 100)
	assert.NilError(t, b.Submit(x))
	assert.ErrorContains(t, b.Submit(x), "submitted before")
}

// ladderKinds fills one worker and returns how room is made for urgent work.
func ladderKinds(t *testing.T, most int, budget clock.Millis) (kinds []ActionKind, limit Limit) {
	f := newFake(1, 1)
	b := NewPlacer(BestFit{}, Declared{}, NoQuarantine{}, Defaults())
	f.fill(b)
	c := teamContract(0, 64000)
	c.MaxUnavailable, c.BudgetMillis = most, budget
	b.SetContract(c)
	b.SetContract(teamContract(1, 64000))
	for n := range 4 {
		assert.NilError(t, b.Submit(f.add(0, n, 4000, clock.Hour, 100)))
	}
	b.Heartbeat("w0000", 0, nil)
	b.Pass(f.now)
	urgent := f.add(1, 9, 12000, clock.Second, 100)
	urgent.Urgent = true
	assert.NilError(t, b.Submit(urgent))
	b.Heartbeat("w0000", 0, nil)
	plan := b.Pass(f.now + 10*clock.Second)
	for _, a := range plan.Actions {
		if a.Kind != ActionRenew {
			kinds = append(kinds, a.Kind)
		}
	}
	if len(plan.Waits) > 0 {
		limit = plan.Waits[0].Limit
	}
	return kinds, limit
}

// Guards against a step of the ladder that is used before a milder one, and
// against disruptions beyond the budget.
func TestLadderOrderAndBudget(t *testing.T) {
	kinds, _ := ladderKinds(t, 4, clock.Hour)
	assert.DeepEqual(t, kinds, []ActionKind{ActionCheckpoint, ActionCheckpoint, ActionThrottle, ActionStop})
	kinds, limit := ladderKinds(t, 2, clock.Hour)
	assert.Equal(t, len(kinds), 0)
	assert.Equal(t, limit, LimitBudget)
	kinds, _ = ladderKinds(t, 4, 12*clock.Second)
	assert.Equal(t, len(kinds), 0)
}

// Guards against a worker that fails everything and keeps getting work, and
// against workers condemned for tasks that fail everywhere.
func TestBadWorkersAndBadTasks(t *testing.T) {
	lost, aside := judged(PeerComparison{MinScore: 6}, 1, true, false)
	assert.DeepEqual(t, aside, []WorkerID{"w0003"})
	assert.Assert(t, lost <= 8, "%d tasks were lost to the bad worker", lost)
	_, aside = judged(PeerComparison{MinScore: 6}, 1, false, true)
	assert.Equal(t, len(aside), 0)
}

// Guards against a new leader that starts what still runs, or what a late
// message of the leader before it starts after the change.
func TestNewLeaderStartsNothingTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFake(rapid.Uint64().Draw(t, "seed"), 4)
		f.delay = clock.Millis(rapid.IntRange(0, 4000).Draw(t, "delay"))
		board := func(term int) *Placer[BestFit, Declared, PeerComparison] {
			b := NewPlacer(BestFit{}, Declared{}, PeerComparison{MinScore: 6}, Defaults())
			b.TakeOver(term, f.now)
			f.fill(b)
			b.SetContract(teamContract(0, 64000))
			return b
		}
		tasks := map[TaskID]Task{}
		for n := range 30 {
			x := f.add(0, n, 1000+n%3*1000, clock.Millis(5+n%20)*clock.Second, 100)
			tasks[x.ID] = x
		}
		// Late reports reach the board of the leader at the time.
		b := &Placer[BestFit, Declared, PeerComparison]{}
		for term := 1; term <= 4; term++ {
			*b = *board(term)
			length := 60 + f.rnd.IntN(40)
			if term == 4 {
				length = 1500
			}
			for range length {
				for _, w := range sortedKeys(f.workers) {
					for id, r := range f.workers[w].runs {
						b.Adopt(tasks[id], w, r.attempt, f.now+b.settings.LeaseMillis, f.now)
					}
				}
				if f.now >= b.startAfter {
					for _, id := range sortedKeys(tasks) {
						if !f.work[id].over {
							_ = b.Submit(tasks[id])
						}
					}
				}
				Execute(f, b.Pass(f.now).Actions)
				tick(f, b, 500)
			}
		}
		if len(f.violations) > 0 {
			t.Fatal(f.violations[0])
		}
		for id, j := range f.work {
			if !j.over {
				t.Fatalf("%s did not run", id)
			}
		}
	})
}

// Guards against a wave of cancellations that leaves tasks running or waiting,
// and against one that holds up urgent work.
func TestWaveOfCancellations(t *testing.T) {
	f := newFake(1, 40)
	set := Defaults()
	set.StopsPerPass, set.TrialTasks = 20, 100
	b := NewPlacer(WorstFit{}, Declared{}, PeerComparison{MinScore: 6}, set)
	f.fill(b)
	b.SetContract(teamContract(0, 1<<20))
	b.SetContract(teamContract(1, 1<<20))
	var ids []TaskID
	for n := range 1000 {
		x := f.add(0, n, 1000, clock.Hour, 100)
		ids = append(ids, x.ID)
		assert.NilError(t, b.Submit(x))
	}
	stops, started := 0, -1
	for step := range 100 {
		if step == 10 {
			b.Cancel(ids...)
			x := f.add(1, 0, 1000, clock.Second, 100)
			x.Urgent = true
			assert.NilError(t, b.Submit(x))
		}
		plan := b.Pass(f.now)
		n := 0
		for _, a := range plan.Actions {
			if a.Kind == ActionStop {
				n++
			}
			if a.Kind == ActionStart && a.Task == "t1-00000" && started < 0 {
				started = step
			}
		}
		stops = max(stops, n)
		Execute(f, plan.Actions)
		tick(f, b, 500)
	}
	assert.Assert(t, stops <= 2*set.StopsPerPass, "%d stops in one pass", stops)
	assert.Assert(t, started >= 10 && started <= 16, "urgent work started at step %d", started)
	for _, id := range ids {
		assert.Equal(t, b.tasks[id].phase, PhaseFinished)
	}
}

// Guards against a late report of an earlier leader's start that ends the run
// of the present one.
func TestAttemptsDifferBetweenTerms(t *testing.T) {
	f := newFake(1, 1)
	start := func(term int) (*Placer[BestFit, Declared, NoQuarantine], int) {
		b := NewPlacer(BestFit{}, Declared{}, NoQuarantine{}, Defaults())
		f.fill(b)
		b.SetContract(teamContract(0, 64000))
		b.TakeOver(term, f.now)
		assert.NilError(t, b.Submit(f.add(0, 1, 1000, clock.Second, 100)))
		f.now = b.startAfter
		b.Heartbeat("w0000", 0, nil)
		actions := b.Pass(f.now).Actions
		return b, actions[len(actions)-1].Attempt
	}
	_, first := start(1)
	b, second := start(2)
	assert.Assert(t, first != second)
	b.RunEnded("t0-00001", first, OutcomeDone, f.now)
	assert.Equal(t, b.tasks["t0-00001"].phase, PhaseRunning)
}

// Guards against workers that stay set aside for a task which turned out to
// fail everywhere, under a policy that does not compare with peers.
func TestGivenUpTaskTakesBlameBack(t *testing.T) {
	f := newFake(1, 4)
	set := Defaults()
	set.MaxQuarantinedPercent = 100
	b := NewPlacer(BestFit{}, Declared{}, ConsecutiveFailures{N: 1}, set)
	f.fill(b)
	b.SetContract(teamContract(0, 64000))
	x := f.add(0, 1, 1000, clock.Second, 100)
	f.work[x.ID].fails = true
	assert.NilError(t, b.Submit(x))
	given, aside := 0, 0
	for range 200 {
		plan := b.Pass(f.now)
		given, aside = given+len(plan.GivenUp), aside+len(plan.Quarantined)
		Execute(f, plan.Actions)
		tick(f, b, 500)
	}
	assert.Equal(t, given, 1)
	assert.Equal(t, aside, 3)
	assert.Equal(t, len(b.quarantined), 0)
}

// judged runs 300 tasks on 12 workers, one of which fails everything it is
// given, or with one class in four that fails everywhere. It returns the runs
// lost to the worker and the workers that were set aside.
func judged[J HealthPolicy](j J, seed uint64, badWorker, badClass bool) (lost int, aside []WorkerID) {
	f := newFake(seed, 12)
	b := NewPlacer(WorstFit{}, NewQuantile(90), j, Defaults())
	f.fill(b)
	for k := range 4 {
		b.SetContract(teamContract(k, 1<<20))
	}
	f.workers["w0003"].bad = badWorker
	for n := range 300 {
		x := f.add(n%4, n, 1000+n%4*500, clock.Millis(2+n%7)*clock.Second, 100)
		f.work[x.ID].fails = badClass && n%4 == 0
		_ = b.Submit(x)
	}
	for range 200 {
		plan := b.Pass(f.now)
		for _, a := range plan.Quarantined {
			aside = append(aside, a.Worker)
		}
		Execute(f, plan.Actions)
		tick(f, b, 500)
	}
	for _, j := range f.work {
		if !j.fails {
			lost += j.lost
		}
	}
	return lost, aside
}
