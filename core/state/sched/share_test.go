package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// configureWeights makes a configuration with the given weights, in permille, the current
// one.
func (f *fixture) configureWeights(weights map[jobs.CustomerName]int) {
	c := f.State.Config
	c.Version++
	c.Customers = nil
	for name, weight := range weights {
		c.Customers = append(c.Customers, jobs.Customer{Name: name, WeightPermille: weight})
	}
	f.Configure(c, f.now)
}

// submitFor submits a job of a customer with a target.
func (f *fixture) submitFor(name jobs.CustomerName, id string, target clock.Millis, steps ...jobs.Step) {
	f.Submit(jobs.Job{ID: jobs.ID(id), Customer: name, Queue: "q", Pool: "p", MaxAttempts: 2, Target: target, StretchPermille: 1500, Steps: steps}, f.now)
}

// isExcessJob reports whether the work of a job is excess work.
func (f *fixture) isExcessJob(id string) bool { return f.shares.isExcess(f.State.Jobs[jobs.ID(id)]) }

// submitMany submits n jobs of a customer and returns how many are within its rate.
func (f *fixture) submitMany(name jobs.CustomerName, n int) int {
	entitled := 0
	for range n {
		id := fmt.Sprint("j", f.State.Seq)
		f.submitFor(name, id, clock.Hour, smallStep)
		if !f.isExcessJob(id) {
			entitled++
		}
	}
	return entitled
}

// TestRateOfCustomer guards against a customer that may submit more jobs, or fewer, than
// its weight allows: a burst of one window, and then its weight in jobs per second.
func TestRateOfCustomer(t *testing.T) {
	for _, c := range []struct {
		name         string
		weight       int
		burst        int
		pause        clock.Millis
		afterPause   int
		afterAnother int
	}{
		{name: "two jobs a second", weight: 2000, burst: 10, pause: clock.Second, afterPause: 2, afterAnother: 2},
		{name: "a job in ten seconds", weight: 100, burst: 1, pause: 9999, afterPause: 0, afterAnother: 1},
		{name: "after a long pause", weight: 2000, burst: 10, pause: clock.Day, afterPause: 10, afterAnother: 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(Defaults())
			f.configureWeights(map[jobs.CustomerName]int{"a": c.weight, "b": 1000})
			assert.Equal(t, f.submitMany("a", 20), c.burst)
			assert.Equal(t, f.submitMany("b", 5), 5)
			f.now += c.pause
			assert.Equal(t, f.submitMany("a", 20), c.afterPause)
			f.now += c.pause
			assert.Equal(t, f.submitMany("a", 20), c.afterAnother)
		})
	}
}

// TestWorkOutsideTheRates guards against jobs without an owner that lose their rank, and
// against those of a customer without a weight, or that has been removed, that keep it.
func TestWorkOutsideTheRates(t *testing.T) {
	f := newFixture(Defaults())
	f.configureWeights(map[jobs.CustomerName]int{"a": 1000, "b": 1000, "none": 0})
	assert.Equal(t, f.submitMany("", 100), 100)
	assert.Equal(t, f.submitMany("none", 1), 0)
	f.submitFor("b", "removed", clock.Hour, smallStep)
	assert.Assert(t, !f.isExcessJob("removed"))
	f.configureWeights(map[jobs.CustomerName]int{"a": 1000})
	assert.Assert(t, f.isExcessJob("removed"))
	assert.Equal(t, f.pool("p").groupByStep[stepKey{job: "removed"}].rank.Class, classExcess)
	f.configureWeights(nil)
	assert.Equal(t, f.pool("p").groupByStep[stepKey{job: "removed"}].rank.Class, classOnTime)
	assert.Equal(t, f.submitMany("a", 100), 100)
}

// TestExcessWorkStartsLast guards against work beyond a customer's rate that starts before
// entitled work, also if that is late, and against long-running work that loses its class.
func TestExcessWorkStartsLast(t *testing.T) {
	f := newFixture(Defaults())
	f.configureWeights(map[jobs.CustomerName]int{"a": 200, "b": 1000})
	whole, lasting := smallStep, lastingStep
	whole.Resources.MilliCores, lasting.Resources.MilliCores, lasting.TaskCount = 16_000, 16_000, 1
	f.submitFor("a", "entitled", clock.Hour, whole)
	f.submitFor("a", "excess", 3000, whole)
	f.submitFor("a", "excess-late", 0, whole)
	f.submitFor("a", "excess-lasting", 0, lasting)
	f.submitFor("b", "late", 0, whole)
	f.submitFor("b", "on-time", clock.Hour, whole)
	f.submitFor("b", "lasting", 0, lasting)
	f.now += 2 * clock.Second
	f.refreshRanks(f.pool("p"), f.now)
	var got []jobs.ID
	for g := range f.pool("p").groups.All() {
		got = append(got, g.key.job)
	}
	assert.DeepEqual(t, got, []jobs.ID{"lasting", "excess-lasting", "entitled", "on-time", "late", "excess", "excess-late"})
	f.updateContention(f.pool("p"), f.now)
	assert.Assert(t, !f.pool("p").shares.contended)
	f.heartbeat("w1", 1, nil)
	f.now += contentionPeriodMillis
	f.updateContention(f.pool("p"), f.now)
	assert.Assert(t, f.pool("p").shares.contended)
	got = nil
	for g := range f.pool("p").candidates(newRoom(f.pool("p")), &f.shares, f.now) {
		got = append(got, g.key.job)
	}
	assert.DeepEqual(t, got, []jobs.ID{"lasting", "excess-lasting", "entitled", "on-time", "late", "excess", "excess-late"})
}

// TestExcessSurvivesChangeOfLeader guards against a new leader that places work beyond the
// rate before entitled work, or the reverse, because it forgets which is which.
func TestExcessSurvivesChangeOfLeader(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 4))
		f := newFixture(Defaults())
		f.configureWeights(map[jobs.CustomerName]int{"a": 1000, "b": 300, "c": 5000})
		names := []jobs.CustomerName{"a", "b", "c", ""}
		for n := range 300 {
			f.now += clock.Millis(r.IntN(300))
			name := names[r.IntN(len(names))]
			if r.IntN(5) == 0 {
				// The cancel arrives before the job.
				f.Cancel(jobs.CancelKey{Job: jobs.ID(fmt.Sprint("j", n)), Customer: name}, f.now)
			}
			f.submitFor(name, fmt.Sprint("j", n), clock.Hour, smallStep)
			if r.IntN(3) == 0 {
				f.Cancel(jobs.CancelKey{Job: jobs.ID(fmt.Sprint("j", r.IntN(n+1)))}, f.now)
			}
		}
		// The submissions take less time than ended jobs are kept.
		assert.Assert(t, f.now < 1000+jobs.Retention)
		next := New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now)
		assert.Assert(t, len(f.shares.excess) > 0)
		assert.DeepEqual(t, next.shares.excess, f.shares.excess)
		for id, rec := range f.State.Jobs {
			assert.Assert(t, !f.shares.excess[id] || !rec.Status.Final(), "the mark of an ended job is kept")
		}
	}
}

// TestExcessWorkIsStoppedFirst guards against a long-running task for which entitled work
// is stopped although it is enough to stop excess work, and against an excess long-running
// task for which entitled work is stopped.
func TestExcessWorkIsStoppedFirst(t *testing.T) {
	for _, c := range []struct {
		name    string
		serve   jobs.CustomerName
		weights map[jobs.CustomerName]int
		// want is the job that is stopped.
		want jobs.ID
	}{
		{name: "entitled", serve: "b", weights: map[jobs.CustomerName]int{"a": 200, "b": 1000}, want: "excess"},
		{name: "excess", serve: "c", weights: map[jobs.CustomerName]int{"a": 200, "b": 1000}, want: "excess"},
		{name: "no weights", serve: "b", weights: map[jobs.CustomerName]int{"a": 0, "b": 0}, want: "cheap"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(Defaults())
			f.configureWeights(c.weights)
			finite := jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 16_000}, Estimate: 60 * clock.Second}
			f.submitFor("a", "cheap", clock.Hour, func() jobs.Step { s := finite; s.Checkpoints = true; return s }())
			f.submitFor("a", "excess", clock.Hour, finite)
			f.heartbeat("w1", 1, nil)
			f.Pass(f.now)
			serve := largeStep
			serve.TaskCount, serve.Resources.MemoryMiB = 1, 16_000
			f.submitFor(c.serve, "serve", clock.Hour, serve)
			for until := f.now + startWithinMillis; f.now < until; {
				f.now += 200
				f.heartbeat("w1", 1, []RunStatus{{Task: jobs.TaskID{Job: "cheap"}, Run: 1, Percent: 1}, {Task: jobs.TaskID{Job: "excess"}, Run: 1, Percent: 1}})
				f.Pass(f.now)
			}
			for id, r := range f.workers["w1"].runs {
				assert.Equal(t, r.stopping, id.Job == c.want, "%s", id.Job)
			}
		})
	}
}

// TestStopsWhereExcessWorkRuns guards against a long-running task for which entitled work
// is stopped on one worker although only excess work is lost on another one.
func TestStopsWhereExcessWorkRuns(t *testing.T) {
	f := newFixture(Defaults())
	f.configureWeights(map[jobs.CustomerName]int{"a": 200, "b": 1000})
	finite := jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 24_000}, Estimate: 60 * clock.Second}
	cheap := finite
	cheap.Checkpoints = true
	f.submitFor("a", "entitled", clock.Hour, cheap)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	f.submitFor("a", "excess", clock.Hour, finite)
	f.heartbeat("w2", 1, nil)
	f.Pass(f.now)
	serve := largeStep
	serve.TaskCount = 1
	f.submitFor("b", "serve", clock.Hour, serve)
	for until := f.now + startWithinMillis; f.now < until; {
		f.now += 200
		f.heartbeat("w1", 1, []RunStatus{{Task: jobs.TaskID{Job: "entitled"}, Run: 1, Percent: 1}})
		f.heartbeat("w2", 1, []RunStatus{{Task: jobs.TaskID{Job: "excess"}, Run: 1, Percent: 1}})
		f.Pass(f.now)
	}
	assert.Equal(t, f.stopping("w1"), 0)
	assert.Equal(t, f.stopping("w2"), 1)
}

// TestAccountIsLittleBehind guards against a customer whose tasks fit on no worker for
// long, and that gets everything for as long once they do.
func TestAccountIsLittleBehind(t *testing.T) {
	terms := newShares(5 * clock.Second)
	terms.configure([]jobs.Customer{{Name: "a", WeightPermille: 1000}, {Name: "b", WeightPermille: 3000}})
	o := shareOrder{contended: true, capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 1000}}
	step := smallStep
	for _, name := range []jobs.CustomerName{"a", "b"} {
		o.add(&taskGroup{rec: &jobs.Record{Job: jobs.Job{Customer: name}}, step: &step, rank: Rank{Class: classOnTime}}, &terms, 1000)
	}
	for now := clock.Millis(1000); now < 100_000; now += 100 {
		h := o.start("b", &step, &terms, now)
		o.end("b", &step, h, &terms, now+100)
	}
	limit := float64(terms.window) / float64(terms.totalWeight)
	assert.Assert(t, o.virtual > 1.1*limit, "%f", o.virtual)
	assert.Assert(t, o.virtualTime(o.account("a", &terms, 100_000)) >= o.virtual-limit)
}

// TestEntitledWorkIsNotStoppedForExcess guards against a task beyond its customer's rate
// for which entitled work is stopped.
func TestEntitledWorkIsNotStoppedForExcess(t *testing.T) {
	f := newFixture(Defaults())
	f.configureWeights(map[jobs.CustomerName]int{"a": 200, "b": 1000})
	f.submitFor("b", "entitled", clock.Hour, jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 24_000}, Estimate: 60 * clock.Second})
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	assert.Equal(t, f.submitMany("a", 5), 1)
	serve := largeStep
	serve.TaskCount = 1
	f.submitFor("a", "serve", clock.Hour, serve)
	for until := f.now + 2*startWithinMillis; f.now < until; {
		f.now += 200
		f.heartbeat("w1", 1, []RunStatus{{Task: jobs.TaskID{Job: "entitled"}, Run: 1, Percent: 1}})
		f.Pass(f.now)
	}
	assert.Equal(t, f.stopping("w1"), 0)
}

// TestExplainShare guards against a job that is said to wait for capacity although the work
// of other customers goes first, and against the reverse.
func TestExplainShare(t *testing.T) {
	f := newFixture(Defaults())
	f.configureWeights(map[jobs.CustomerName]int{"a": 200, "b": 1000})
	whole := smallStep
	whole.TaskCount, whole.Resources.MilliCores = 3, 16_000
	f.submitFor("a", "entitled", clock.Hour, whole)
	f.submitFor("a", "excess", clock.Hour, whole)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	reason := func(id jobs.ID) WaitReason {
		report, _ := f.Explain(id, f.now)
		return report.Steps[0].WaitReason
	}
	assert.Equal(t, reason("entitled"), WaitCapacity)
	assert.Equal(t, reason("excess"), WaitShare)
	f.submitFor("b", "other", clock.Hour, whole)
	assert.Equal(t, reason("entitled"), WaitShare)
	assert.Equal(t, reason("other"), WaitCapacity)
}

// TestRanksAreKeptWithWeights guards against the same failure as TestRanksOfBacklogAreKept
// while customers share a pool.
func TestRanksAreKeptWithWeights(t *testing.T) {
	const backlog = 1000
	ranks := 0
	base := newFixture(Defaults())
	base.configureWeights(map[jobs.CustomerName]int{"a": 1000, "b": 1_000_000})
	s := New(Defaults(), countingPolicy{ranks: &ranks}, place.PeerComparison{MinScore: 3}, base.State, base.now)
	for n := range backlog {
		s.Submit(jobs.Job{ID: jobs.ID(fmt.Sprint("j", n)), Customer: []jobs.CustomerName{"a", "b"}[n%2], Queue: "q", Pool: "p", MaxAttempts: 1, Target: clock.Day, Steps: []jobs.Step{
			{TaskCount: 1, Estimate: 100, Resources: jobs.Resources{MilliCores: 9000}},
		}}, base.now)
	}
	ranks = 0
	for i := range 20 {
		base.now += 100
		s.Heartbeat(Heartbeat{
			Worker: "w", Incarnation: 1, Machine: "m", Pool: "p", Seq: int64(i), ReceivedAt: base.now, Capacity: jobs.Resources{MilliCores: 16_000},
		}, base.now)
		s.Pass(base.now)
	}
	assert.Assert(t, s.pool("p").shares.contended)
	assert.Assert(t, ranks <= 30, "%d ranks were computed", ranks)
}

// checkShares checks that the order by shares of each pool agrees with its groups and with
// the runs: it guards against work that is never placed and holdings that drift.
func (s *Scheduler[P, H]) checkShares(failf func(format string, args ...any)) {
	held := map[*shareOrder]map[jobs.CustomerName]jobs.Resources{}
	for _, w := range s.workers {
		for _, r := range w.runs {
			if counted := r.hold.order != nil; counted == r.step.LongRunning {
				failf("run %v is counted: %v", r.task, counted)
			}
			if o := r.hold.order; o != nil {
				if held[o] == nil {
					held[o] = map[jobs.CustomerName]jobs.Resources{}
				}
				held[o][r.rec.Customer] = held[o][r.rec.Customer].Plus(reservation(r.step))
			}
		}
	}
	for _, p := range s.pools {
		o := &p.shares
		for name, resources := range held[o] {
			if o.accounts[name] == nil || o.accounts[name].running != resources {
				failf("customer %q holds %v, its account says otherwise", name, resources)
			}
		}
		for name, a := range o.accounts {
			if a.running != held[o][name] {
				failf("the account of customer %q has %v, its runs %v", name, a.running, held[o][name])
			}
		}
		ordered := 0
		for f := range o.flows.All() {
			for g := range f.groups.All() {
				ordered++
				if g.flow != f || g.rank.Class != f.class || p.groupByStep[g.key] != g {
					failf("group %v is in a wrong flow", g.key)
				}
			}
		}
		for g := range p.groups.All() {
			if g.rank.Class >= classOnTime {
				ordered--
			}
		}
		if ordered != 0 {
			failf("the order by shares has %d groups too many", ordered)
		}
	}
}

// TestSharesInSimulatedFaults plays the simulation of TestSimulatedFaults with customers
// that have weights, of which some are changed and removed meanwhile. It guards against
// the same failures, and against shares that do not agree with the runs.
func TestSharesInSimulatedFaults(t *testing.T) {
	names := []jobs.CustomerName{"a", "b", "c", ""}
	n := uint64(200)
	if testing.Short() {
		n /= 4
	}
	playSeeds(t, n, func(seed uint64) error {
		sim := newSimulation(seed)
		sim.customerOf = func(n int) jobs.CustomerName { return names[n%len(names)] }
		configure := func(weights ...int) {
			c := sim.committed.Config
			c.Version, c.Customers = sim.leader.scheduler.State.Config.Version+1, nil
			for i, weight := range weights {
				c.Customers = append(c.Customers, jobs.Customer{Name: names[i], WeightPermille: weight})
			}
			sim.leader.scheduler.Configure(c, sim.leaderNow())
		}
		configure(1000, 100, 20_000)
		for i := range faultySteps {
			sim.step()
			switch i {
			case 200:
				configure(1000, 2000)
			case 300:
				configure()
				for _, w := range sim.leader.scheduler.workers {
					for _, r := range w.runs {
						if r.hold.order != nil {
							sim.failf("run %v is counted without weights", r.task)
						}
					}
				}
				configure(1, 1, 1)
			}
			if i%5 == 0 {
				sim.leader.scheduler.checkShares(sim.failf)
			}
		}
		sim.stopFaults()
		for i := 0; i < faultFreeSteps && !sim.allEnded(); i++ {
			sim.step()
		}
		sim.leader.scheduler.checkShares(sim.failf)
		if sim.err == nil && !sim.allEnded() {
			sim.failf("a job has not ended, or a run of an ended job is still running")
		}
		return sim.err
	})
}
