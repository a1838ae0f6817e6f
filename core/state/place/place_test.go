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

// disruptionAudit checks the disruption budgets independently of the placer's own
// accounts: it uses only the actions of the plans.
type disruptionAudit struct {
	disrupted map[TaskID]bool
	costs     map[model.Customer][]disruptionCost
	startedAt map[TaskID]clock.Millis
}

func (a *disruptionAudit) check(t rapid.TB, tasks map[TaskID]Task, contracts map[model.Customer]model.Contract, settings Settings, plan Plan, now clock.Millis) {
	for _, action := range plan.Actions {
		customer := tasks[action.Task].Customer
		contract := contracts[customer]
		cost := map[ActionKind]clock.Millis{
			ActionCheckpoint: settings.CheckpointMillis, ActionThrottle: settings.ThrottleMillis, ActionStop: now - a.startedAt[action.Task],
		}[action.Kind]
		switch {
		case action.Kind == ActionRenew:
			continue
		case action.Kind == ActionStart:
			a.startedAt[action.Task] = now
			delete(a.disrupted, action.Task)
			continue
		case action.CPUPercent == 100:
			delete(a.disrupted, action.Task)
			continue
		case action.Reason == "cancelled" || strings.HasPrefix(action.Reason, "it still"):
			continue
		case a.disrupted[action.Task]:
			continue // The order is repeated.
		}
		a.disrupted[action.Task] = true
		a.costs[customer] = append(a.costs[customer], disruptionCost{now, cost})
		count, spent := 0, clock.Millis(0)
		for id := range a.disrupted {
			if tasks[id].Customer == customer {
				count++
			}
		}
		for _, past := range a.costs[customer] {
			if past.at > now-contract.WindowMillis {
				spent += past.cost
			}
		}
		if count > contract.MaxUnavailable || spent > contract.BudgetMillis {
			t.Fatalf("customer %s: %d tasks disrupted, at most %d allowed; %d ms charged, at most %d allowed; after %v", customer, count, contract.MaxUnavailable, spent, contract.BudgetMillis, action)
		}
	}
}

// TestPlacementUnderFaults guards against a task that runs on two workers at once,
// an exceeded quota or disruption budget, and tasks that never finish. Messages
// are lost and late, workers are partitioned, declarations are wrong, and there
// are urgent tasks and cancellations.
func TestPlacementUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFake(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "workers"))
		f.maxDelay, f.lossPercent = clock.Millis(rapid.IntRange(0, 4000).Draw(t, "delay")), rapid.IntRange(0, 10).Draw(t, "loss percent")
		placer := NewPlacer(BestFit{}, NewQuantile(90), PeerComparison{MinScore: 6}, Defaults())
		f.addWorkers(placer)
		tasks, contracts := map[TaskID]Task{}, map[model.Customer]model.Contract{}
		for k := range 2 {
			c := customerContract(k, rapid.IntRange(4000, 40000).Draw(t, "quota"))
			placer.SetContract(c)
			contracts[c.Customer] = c
		}
		audit := &disruptionAudit{disrupted: map[TaskID]bool{}, costs: map[model.Customer][]disruptionCost{}, startedAt: map[TaskID]clock.Millis{}}
		declaredPercent := rapid.IntRange(20, 200).Draw(t, "declared percent")
		var accepted []TaskID
		faulty := map[TaskID]bool{}
		for step := range 4000 {
			if step < 150 && f.rnd.IntN(3) == 0 {
				x := f.newTask(step%2, step, 500+f.rnd.IntN(4)*1000, clock.Millis(1+f.rnd.IntN(20))*clock.Second, declaredPercent)
				x.Urgent = f.rnd.IntN(10) == 0
				f.actual[x.ID].fails = f.rnd.IntN(20) == 0
				faulty[x.ID] = f.actual[x.ID].fails
				tasks[x.ID] = x
				if placer.Submit(x) == nil {
					accepted = append(accepted, x.ID)
				}
			}
			if step == 100 {
				placer.Cancel(accepted[:len(accepted)/3]...)
			}
			for _, id := range sortedKeys(f.workers) {
				f.workers[id].partitioned = step < 300 && (f.workers[id].partitioned != (f.rnd.IntN(60) == 0))
			}
			plan := placer.Pass(f.now)
			for id := range audit.disrupted {
				if placer.tasks[id].phase == PhaseFinished {
					delete(audit.disrupted, id)
				}
			}
			audit.check(t, tasks, contracts, placer.settings, plan, f.now)
			checkQuotas(t, placer)
			for _, x := range plan.Actions {
				if customer := tasks[x.Task].Customer; x.Kind == ActionStart && x.Size.MilliCores > contracts[customer].Quota.MilliCores {
					t.Fatalf("%v exceeds the quota of %s", x, customer)
				}
			}
			for _, g := range plan.GivenUp {
				if !faulty[g.Task] {
					t.Fatalf("a task that does not fail was given up: %v", g)
				}
			}
			assert.Equal(t, len(Execute(f, plan.Actions)), 0)
			advanceTime(f, placer, 500)
			if step > 300 && !slices.ContainsFunc(accepted, func(id TaskID) bool { return placer.tasks[id].phase != PhaseFinished }) {
				break
			}
		}
		if len(f.violations) > 0 {
			t.Fatal(f.violations[0])
		}
		for _, id := range accepted {
			if placer.tasks[id].phase != PhaseFinished {
				t.Fatalf("%s is not finished: %+v", id, *placer.tasks[id])
			}
		}
	})
}

// TestQuotaIsNotExceeded guards against the start of a task beyond its customer's
// quota.
func TestQuotaIsNotExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFake(rapid.Uint64().Draw(t, "seed"), 4)
		placer := NewPlacer(WorstFit{}, Declared{}, NoQuarantine{}, Defaults())
		f.addWorkers(placer)
		quota := rapid.IntRange(1000, 30000).Draw(t, "quota")
		placer.SetContract(customerContract(0, quota))
		for n := range 40 {
			_ = placer.Submit(f.newTask(0, n, 500+f.rnd.IntN(3000), 5*clock.Second, 100))
		}
		for range 60 {
			for _, id := range sortedKeys(f.workers) {
				placer.Heartbeat(id, 0, nil)
			}
			plan := placer.Pass(f.now)
			if used := placer.customers["team0"].used.MilliCores; used > quota {
				t.Fatalf("customer team0 uses %d milli-cores; its quota is %d", used, quota)
			}
			checkQuotas(t, placer)
			Execute(f, plan.Actions)
			advanceTime(f, placer, 500)
		}
	})
}

// TestImpossibleWorkIsRefused guards against tasks that can never run and wait
// instead of being rejected, and against errors that do not state the size or the
// customer.
func TestImpossibleWorkIsRefused(t *testing.T) {
	f := newFake(1, 3)
	placer := NewPlacer(BestFit{}, Declared{}, NoQuarantine{}, Defaults())
	f.addWorkers(placer)
	placer.SetContract(customerContract(0, 20000))
	for _, c := range []struct {
		task Task
		kind Kind
		has  string
	}{
		{f.newTask(0, 1, 17000, 1, 100), KindImpossible, "17000"},
		{f.newTask(0, 2, 21000, 1, 100), KindQuota, "20000"},
		{f.newTask(9, 3, 1000, 1, 100), KindNoContract, "team9"},
	} {
		var e *Error
		err := placer.Submit(c.task)
		assert.Assert(t, errors.As(err, &e))
		assert.Equal(t, e.Kind, c.kind)
		assert.ErrorContains(t, err, c.has)
	}
	x := f.newTask(0, 4, 1000, 1, 100)
	assert.NilError(t, placer.Submit(x))
	assert.ErrorContains(t, placer.Submit(x), "submitted before")
}

// preemptionActions fills one worker with tasks of one customer, submits an urgent
// task of another, and returns the kinds of the actions that free capacity for it
// and the reason why the first waiting task waits, if any.
func preemptionActions(t *testing.T, maxUnavailable int, budget clock.Millis) (kinds []ActionKind, reason WaitReason) {
	f := newFake(1, 1)
	placer := NewPlacer(BestFit{}, Declared{}, NoQuarantine{}, Defaults())
	f.addWorkers(placer)
	c := customerContract(0, 64000)
	c.MaxUnavailable, c.BudgetMillis = maxUnavailable, budget
	placer.SetContract(c)
	placer.SetContract(customerContract(1, 64000))
	for n := range 4 {
		assert.NilError(t, placer.Submit(f.newTask(0, n, 4000, clock.Hour, 100)))
	}
	placer.Heartbeat("w0000", 0, nil)
	placer.Pass(f.now)
	urgent := f.newTask(1, 9, 12000, clock.Second, 100)
	urgent.Urgent = true
	assert.NilError(t, placer.Submit(urgent))
	placer.Heartbeat("w0000", 0, nil)
	plan := placer.Pass(f.now + 10*clock.Second)
	for _, a := range plan.Actions {
		if a.Kind != ActionRenew {
			kinds = append(kinds, a.Kind)
		}
	}
	if len(plan.Waits) > 0 {
		reason = plan.Waits[0].Reason
	}
	return kinds, reason
}

// TestPreemptionOrderAndBudget guards against throttling before checkpoints and
// stops before either, and against disruptions beyond the number or the cost that
// the contract allows.
func TestPreemptionOrderAndBudget(t *testing.T) {
	kinds, _ := preemptionActions(t, 4, clock.Hour)
	assert.DeepEqual(t, kinds, []ActionKind{ActionCheckpoint, ActionCheckpoint, ActionThrottle, ActionStop})
	kinds, reason := preemptionActions(t, 2, clock.Hour)
	assert.Equal(t, len(kinds), 0)
	assert.Equal(t, reason, WaitBudget)
	kinds, _ = preemptionActions(t, 4, 12*clock.Second)
	assert.Equal(t, len(kinds), 0)
}

// TestBrokenWorkersAndFailingTasks guards against a worker that fails everything
// and keeps getting tasks, and against the quarantine of workers because of tasks
// that fail everywhere.
func TestBrokenWorkersAndFailingTasks(t *testing.T) {
	failedRuns, quarantined := runHealthPolicy(PeerComparison{MinScore: 6}, 1, true, false)
	assert.DeepEqual(t, quarantined, []WorkerID{"w0003"})
	assert.Assert(t, failedRuns <= 8, "%d tasks failed on the broken worker", failedRuns)
	_, quarantined = runHealthPolicy(PeerComparison{MinScore: 6}, 1, false, true)
	assert.Equal(t, len(quarantined), 0)
}

// TestNewLeaderStartsNothingTwice guards against a new leader that starts a task
// that still runs, or that a late message of the previous leader starts after the
// change of leader.
func TestNewLeaderStartsNothingTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFake(rapid.Uint64().Draw(t, "seed"), 4)
		f.maxDelay = clock.Millis(rapid.IntRange(0, 4000).Draw(t, "delay"))
		newPlacer := func(term int) *Placer[BestFit, Declared, PeerComparison] {
			placer := NewPlacer(BestFit{}, Declared{}, PeerComparison{MinScore: 6}, Defaults())
			placer.TakeOver(term, f.now)
			f.addWorkers(placer)
			placer.SetContract(customerContract(0, 64000))
			return placer
		}
		tasks := map[TaskID]Task{}
		for n := range 30 {
			x := f.newTask(0, n, 1000+n%3*1000, clock.Millis(5+n%20)*clock.Second, 100)
			tasks[x.ID] = x
		}
		// All terms use the same pointer, so that late reports reach the placer of
		// the current leader.
		placer := &Placer[BestFit, Declared, PeerComparison]{}
		for term := 1; term <= 4; term++ {
			*placer = *newPlacer(term)
			steps := 60 + f.rnd.IntN(40)
			if term == 4 {
				steps = 1500
			}
			for range steps {
				for _, w := range sortedKeys(f.workers) {
					for id, r := range f.workers[w].runs {
						placer.Adopt(tasks[id], w, r.attempt, f.now+placer.settings.LeaseMillis, f.now)
					}
				}
				if f.now >= placer.startAfter {
					for _, id := range sortedKeys(tasks) {
						if !f.actual[id].done {
							_ = placer.Submit(tasks[id])
						}
					}
				}
				Execute(f, placer.Pass(f.now).Actions)
				advanceTime(f, placer, 500)
			}
		}
		if len(f.violations) > 0 {
			t.Fatal(f.violations[0])
		}
		for id, actual := range f.actual {
			if !actual.done {
				t.Fatalf("%s was not completed", id)
			}
		}
	})
}

// TestManyCancellationsAtOnce guards against cancelled tasks that stay running or
// waiting, and against urgent tasks that are delayed, when many tasks are
// cancelled at once.
func TestManyCancellationsAtOnce(t *testing.T) {
	f := newFake(1, 40)
	settings := Defaults()
	settings.StopsPerPass, settings.TrialTasks = 20, 100
	placer := NewPlacer(WorstFit{}, Declared{}, PeerComparison{MinScore: 6}, settings)
	f.addWorkers(placer)
	placer.SetContract(customerContract(0, 1<<20))
	placer.SetContract(customerContract(1, 1<<20))
	var ids []TaskID
	for n := range 1000 {
		x := f.newTask(0, n, 1000, clock.Hour, 100)
		ids = append(ids, x.ID)
		assert.NilError(t, placer.Submit(x))
	}
	maxStops, startStep := 0, -1
	for step := range 100 {
		if step == 10 {
			placer.Cancel(ids...)
			x := f.newTask(1, 0, 1000, clock.Second, 100)
			x.Urgent = true
			assert.NilError(t, placer.Submit(x))
		}
		plan := placer.Pass(f.now)
		stops := 0
		for _, a := range plan.Actions {
			if a.Kind == ActionStop {
				stops++
			}
			if a.Kind == ActionStart && a.Task == "t1-00000" && startStep < 0 {
				startStep = step
			}
		}
		maxStops = max(maxStops, stops)
		Execute(f, plan.Actions)
		advanceTime(f, placer, 500)
	}
	assert.Assert(t, maxStops <= 2*settings.StopsPerPass, "%d stops in one pass", maxStops)
	assert.Assert(t, startStep >= 10 && startStep <= 16, "urgent task started at step %d", startStep)
	for _, id := range ids {
		assert.Equal(t, placer.tasks[id].phase, PhaseFinished)
	}
}

// TestAttemptsDifferBetweenTerms guards against the same attempt number in two
// terms: a late report about an attempt of an earlier leader would then end the
// current run.
func TestAttemptsDifferBetweenTerms(t *testing.T) {
	f := newFake(1, 1)
	start := func(term int) (*Placer[BestFit, Declared, NoQuarantine], int) {
		placer := NewPlacer(BestFit{}, Declared{}, NoQuarantine{}, Defaults())
		f.addWorkers(placer)
		placer.SetContract(customerContract(0, 64000))
		placer.TakeOver(term, f.now)
		assert.NilError(t, placer.Submit(f.newTask(0, 1, 1000, clock.Second, 100)))
		f.now = placer.startAfter
		placer.Heartbeat("w0000", 0, nil)
		actions := placer.Pass(f.now).Actions
		return placer, actions[len(actions)-1].Attempt
	}
	_, first := start(1)
	placer, second := start(2)
	assert.Assert(t, first != second)
	placer.RunEnded("t0-00001", first, OutcomeDone, f.now)
	assert.Equal(t, placer.tasks["t0-00001"].phase, PhaseRunning)
}

// TestGivenUpTaskRestoresWorkerScores guards against workers that stay quarantined
// because of a task that is given up later. The policy does not compare workers
// with their peers and quarantines a worker at its first failure.
func TestGivenUpTaskRestoresWorkerScores(t *testing.T) {
	f := newFake(1, 4)
	settings := Defaults()
	settings.MaxQuarantinedPercent = 100
	placer := NewPlacer(BestFit{}, Declared{}, ConsecutiveFailures{N: 1}, settings)
	f.addWorkers(placer)
	placer.SetContract(customerContract(0, 64000))
	x := f.newTask(0, 1, 1000, clock.Second, 100)
	f.actual[x.ID].fails = true
	assert.NilError(t, placer.Submit(x))
	givenUp, quarantined := 0, 0
	for range 200 {
		plan := placer.Pass(f.now)
		givenUp, quarantined = givenUp+len(plan.GivenUp), quarantined+len(plan.Quarantined)
		Execute(f, plan.Actions)
		advanceTime(f, placer, 500)
	}
	assert.Equal(t, givenUp, 1)
	assert.Equal(t, quarantined, 3)
	assert.Equal(t, len(placer.quarantined), 0)
}

// runHealthPolicy runs 300 tasks on 12 workers. With badWorker, one worker
// fails everything; with badClass, one class in four fails everywhere. It
// returns the number of failed runs of good tasks and the quarantined workers.
func runHealthPolicy[J HealthPolicy](policy J, seed uint64, badWorker, badClass bool) (failedRuns int, quarantined []WorkerID) {
	f := newFake(seed, 12)
	placer := NewPlacer(WorstFit{}, NewQuantile(90), policy, Defaults())
	f.addWorkers(placer)
	for k := range 4 {
		placer.SetContract(customerContract(k, 1<<20))
	}
	f.workers["w0003"].broken = badWorker
	for n := range 300 {
		x := f.newTask(n%4, n, 1000+n%4*500, clock.Millis(2+n%7)*clock.Second, 100)
		f.actual[x.ID].fails = badClass && n%4 == 0
		_ = placer.Submit(x)
	}
	for range 200 {
		plan := placer.Pass(f.now)
		for _, a := range plan.Quarantined {
			quarantined = append(quarantined, a.Worker)
		}
		Execute(f, plan.Actions)
		advanceTime(f, placer, 500)
	}
	for _, task := range f.actual {
		if !task.fails {
			failedRuns += task.failedRuns
		}
	}
	return failedRuns, quarantined
}
