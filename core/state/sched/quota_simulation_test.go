package sched

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Parameters of the simulation of quotas. An order to start may reach its worker up to
// quotaMemoryMillis after the decision, for which the quota of that time counts: the
// order is repeated for unconfirmedStartMillis, and a new leader counts the run until the
// longest lease has ended.
const (
	quotaSimJobs      = 60
	quotaSimRounds    = 2
	quotaDrainSteps   = 6000
	quotaMemoryMillis = 15 * clock.Second
)

// quotaChange is the quota of each customer from a time on.
type quotaChange struct {
	at     clock.Millis
	quotas map[jobs.CustomerName]jobs.Resources
}

// quotaSimulation adds customers and changes of their quotas to livenessSimulation. It
// checks each plan of the leader and what runs on the workers against the quotas.
type quotaSimulation struct {
	*livenessSimulation
	// changes holds the quotas that were in force in the last quotaMemoryMillis.
	changes []quotaChange
	// labelled holds the jobs whose label no worker has.
	labelled []jobs.ID
	// otherJobs counts the jobs that submitOther has submitted.
	otherJobs int
}

func newQuotaSimulation(seed uint64) *quotaSimulation {
	sim := &quotaSimulation{livenessSimulation: newLivenessSimulation(seed)}
	sim.maxJobs = quotaSimJobs
	sim.customers = []jobs.CustomerName{"a", "b", "c", ""}
	sim.checkPlan = sim.checkStarts
	sim.checkRunning = sim.checkWorkers
	sim.mayRun = func(rec *jobs.Record, t jobs.TaskID) bool {
		s := sim.leader.scheduler
		return s.customer(rec.Customer).allows(rec.Steps[t.Step].Resources)
	}
	sim.changeQuotas()
	return sim
}

func (sim *quotaSimulation) step() {
	if !sim.faultsOff && sim.rand.IntN(60) == 0 {
		sim.changeQuotas()
	}
	if !sim.faultsOff && sim.rand.IntN(40) == 0 {
		sim.submitOther()
	}
	sim.livenessSimulation.step()
	sim.checkNothingIdle()
	sim.leader.scheduler.checkHeld(sim.failf)
}

// submitOther submits a job of best-effort tasks, or one that never starts, because no
// worker has its label, and that must not keep other work of its customer waiting.
func (sim *quotaSimulation) submitOther() {
	sim.otherJobs++
	j := jobs.Job{
		ID: jobs.ID(fmt.Sprint("other", sim.otherJobs)), Queue: "q", Pool: "p", MaxAttempts: simMaxAttempts, Target: 3000, StretchPermille: 1500, Customer: sim.pickCustomer(),
		Steps: []jobs.Step{{TaskCount: 1 + sim.rand.IntN(3), Resources: jobs.Resources{MilliCores: 800, MemoryMiB: 200}, Estimate: 300}},
	}
	if sim.rand.IntN(2) == 0 {
		j.Steps[0].BestEffort = true
	} else {
		j.Steps[0].RequiredLabel = "missing"
		sim.labelled = append(sim.labelled, j.ID)
	}
	sim.leader.scheduler.Submit(j, sim.leaderNow())
}

// stopFaults turns faults off, makes all workers sound and cancels the jobs that never
// end.
func (sim *quotaSimulation) stopFaults() {
	pools := make([]jobs.PoolName, len(sim.workers))
	for n, w := range sim.workers {
		pools[n] = w.pool
	}
	sim.simulation.stopFaults()
	for n, w := range sim.workers {
		w.pool, w.refusing, w.repliesLostUntil = pools[n], false, 0
	}
	for _, id := range sim.labelled {
		sim.leader.scheduler.Cancel(jobs.CancelKey{Job: id}, sim.leaderNow())
	}
}

// changeQuotas configures random quotas: none, one that most tasks exceed, one of some
// tasks, or the removal of the customer.
func (sim *quotaSimulation) changeQuotas() {
	sim.config.Version++
	sim.config.Customers = nil
	quotas := map[jobs.CustomerName]jobs.Resources{}
	for _, name := range sim.customers[:3] {
		c := jobs.Customer{Name: name}
		switch sim.rand.IntN(6) {
		case 0:
		case 1:
			c.Quota = jobs.Resources{MilliCores: 700}
		case 2:
			c.Quota = jobs.Resources{MemoryMiB: 1200}
		case 3:
			continue
		default:
			c.Quota = jobs.Resources{MilliCores: 1000 * (1 + sim.rand.IntN(6)), MemoryMiB: 4000}
		}
		quotas[name] = c.Quota
		sim.config.Customers = append(sim.config.Customers, c)
	}
	sim.leader.scheduler.Configure(sim.config, sim.leaderNow())
}

// checkStarts checks that the starts of a plan keep to the quotas in force: what a
// customer with a start holds after the pass fits in its quota, or it is a single task or
// gang that alone exceeds the quota.
func (sim *quotaSimulation) checkStarts(s *testScheduler, p Plan) {
	quotas := map[jobs.CustomerName]jobs.Resources{}
	for _, c := range s.State.Config.Customers {
		quotas[c.Name] = c.Quota
	}
	if n := len(sim.changes); n == 0 || !maps.Equal(sim.changes[n-1].quotas, quotas) {
		sim.changes = append(sim.changes, quotaChange{sim.now, quotas})
	}
	for len(sim.changes) > 1 && sim.changes[1].at < sim.now-quotaMemoryMillis {
		sim.changes = sim.changes[1:]
	}
	starts := map[jobs.CustomerName][]jobs.TaskID{}
	for _, o := range p.Ops {
		if o.Kind == jobs.OpAssign {
			name := s.State.Jobs[o.Task.Job].Customer
			starts[name] = append(starts[name], o.Task)
		}
	}
	for name, started := range starts {
		var held jobs.Resources
		for _, w := range s.workers {
			for _, r := range w.runs {
				if r.rec.Customer == name {
					held = held.Plus(r.step.Resources)
				}
			}
			for stop := range w.unassigned {
				if rec := s.State.Jobs[stop.Task.Job]; rec != nil && rec.Customer == name {
					held = held.Plus(rec.Steps[stop.Task.Step].Resources)
				}
			}
		}
		first := &s.State.Jobs[started[0].Job].Steps[started[0].Step]
		alone := held == quotaNeed(first) && (len(started) == 1 || first.Gang)
		if name != "" && !alone && !fitsQuota(held, quotas[name]) {
			sim.failf("customer %s holds %+v of %+v after the start of %v", name, held, quotas[name], started)
		}
	}
}

// fitsQuota reports whether held fits in a quota, of which 0 means no limit.
func fitsQuota(held, quota jobs.Resources) bool {
	fits := func(held, quota int) bool { return quota == 0 || held <= quota }
	return fits(held.MilliCores, quota.MilliCores) && fits(held.MemoryMiB, quota.MemoryMiB) && fits(held.Accelerators, quota.Accelerators)
}

// checkWorkers checks, when a task starts on a worker, that what the customer's tasks
// really hold on all workers fits in a quota that was in force lately, or belongs to one
// step alone.
func (sim *quotaSimulation) checkWorkers(started jobs.TaskID) {
	name := sim.committed.Jobs[started.Job].Customer
	if name == "" {
		return
	}
	var held jobs.Resources
	steps := map[stepKey]int{}
	for _, w := range sim.workers {
		for t := range w.runs {
			if rec := sim.committed.Jobs[t.Job]; rec.Customer == name {
				held = held.Plus(rec.Steps[t.Step].Resources)
				steps[stepKeyOf(t)]++
			}
		}
	}
	n := steps[stepKeyOf(started)]
	if len(steps) == 1 && (n == 1 || sim.committed.Jobs[started.Job].Steps[started.Step].Gang) {
		return
	}
	if !slices.ContainsFunc(sim.changes, func(c quotaChange) bool { return fitsQuota(held, c.quotas[name]) }) {
		sim.failf("customer %s runs %+v with quotas %+v after the start of %v", name, held, sim.changes, started)
	}
}

// checkNothingIdle checks after a pass that no worker that waits for orders has room for
// a task that the quota of its customer lets start. Tasks that are kept off a worker, and
// workers in quarantine, are left out because time alone ends that.
func (sim *quotaSimulation) checkNothingIdle() {
	s, now := sim.leader.scheduler, sim.leaderNow()
	for _, p := range s.pools {
		if p.heldByGang {
			continue
		}
		for _, g := range s.groupsOf(p) {
			if !g.live() || !g.withinQuota() || s.keptOffLately(g) {
				continue
			}
			if g.step.Gang {
				if len(g.waiting) == g.step.TaskCount && !g.step.SameRack && s.allSound(p) && s.chooseFromRack(p, g, "", now) != nil {
					sim.failf("gang %v waits with room for it: %s", g.key, g.customer.explainOrNone())
				}
				continue
			}
			if !s.allSound(p) {
				continue
			}
			if w, _ := s.chooseWorker(p, g, g.key.taskID(g.waiting[len(g.waiting)-1]), now); w != nil {
				sim.failf("a task of %v waits, blocked %v, and worker %s has room for it: %s", g.key, g.blocked, w.id, g.customer.explainOrNone())
			}
		}
	}
}

// keptOffLately reports whether a task of the group is or was kept off a worker.
func (s *Scheduler[P, H]) keptOffLately(g *taskGroup) bool {
	for n := range g.step.TaskCount {
		if len(s.avoided[g.key.taskID(n)]) > 0 {
			return true
		}
	}
	return false
}

// allSound reports whether no available worker of a pool is in quarantine.
func (s *Scheduler[P, H]) allSound(p *pool) bool {
	for _, w := range p.available {
		if w.quarantinedUntil > 0 {
			return false
		}
	}
	return true
}

func (c *customer) explainOrNone() string {
	if c == nil {
		return "no customer"
	}
	return c.explain()
}

// TestSimulatedQuotas runs seeded random faults, changes of the quotas included, with
// jobs of several customers in two pools. It guards against a start that brings a
// customer above its quota, against a wrong sum of what a customer holds, against a task
// that waits while a worker has room and its customer has quota for it, against a job
// that never ends, and against what TestSimulatedLongRunningTasks guards against.
func TestSimulatedQuotas(t *testing.T) {
	n := uint64(simulations) / 50
	if testing.Short() {
		n /= 10
	}
	playSeeds(t, n, func(seed uint64) error {
		sim := newQuotaSimulation(seed)
		for range quotaSimRounds {
			sim.faultsOff = false
			for range simFaultSteps {
				sim.step()
			}
			sim.endPartitions()
			for range simCalmSteps {
				sim.step()
			}
		}
		sim.stopFaults()
		for i := 0; i < quotaDrainSteps && sim.err == nil && !sim.allEnded(); i++ {
			sim.step()
		}
		if sim.err == nil && !sim.allEnded() {
			sim.failf("a job has not ended, or a run of an ended job is still running")
		}
		return sim.err
	})
}
