package sched

import (
	"fmt"
	"slices"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Parameters of the simulation of long-running tasks. From simRestartMillis
// after its last run, a task must not be away for simAbsenceMillis with room for
// it all the while, unless there was a fault in that time or in the
// simCalmMillis before. Each of simRounds rounds has steps with faults and steps
// without.
const (
	simRestartMillis                   = 6 * clock.Second
	simAbsenceMillis                   = 3 * clock.Second
	simCalmMillis                      = 4 * clock.Second
	simRounds                          = 3
	simFaultSteps                      = 400
	simCalmSteps                       = 700
	simMaxClockOffset     clock.Millis = 2400
	simMaxReplyLossMillis              = 6 * clock.Second
)

// livenessSimulation adds to simulation a second pool, configurations that move
// and remove queues, leaders with different clocks, workers that refuse
// everything, workers that lose all replies, and long-running tasks that fail.
// It checks that long-running tasks do not stay away while a worker has room.
type livenessSimulation struct {
	*simulation
	// config is the latest configuration, with the queues that it removed.
	config jobs.Config
	// faultAt is the time of the latest fault.
	faultAt clock.Millis
	// ranAt is when each long-running task last ran or was accepted or due, and
	// lateSince is since when it has been away too long with room for it.
	ranAt     map[jobs.TaskID]clock.Millis
	lateSince map[jobs.TaskID]clock.Millis
	// longJobs counts the jobs that submitLongRunning has submitted.
	longJobs int
	// mayRun reports whether a limit other than the room of the workers lets a task
	// run; nil for no such limit.
	mayRun func(rec *jobs.Record, t jobs.TaskID) bool
}

func newLivenessSimulation(seed uint64) *livenessSimulation {
	sim := &livenessSimulation{simulation: newSimulation(seed), ranAt: map[jobs.TaskID]clock.Millis{}, lateSince: map[jobs.TaskID]clock.Millis{}}
	sim.maxClockOffset = simMaxClockOffset
	sim.config = jobs.Config{
		Version: 2, Pools: []jobs.Pool{{Name: "p", AdmissionControl: true}, {Name: "r", AdmissionControl: true}},
		Queues: []jobs.Queue{
			{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: simMaxAttempts, Target: 3000, StretchPermille: 1500},
			{Name: "long", Host: "h", Prefix: "/long/", Pool: "r", MaxAttempts: simMaxAttempts, Target: 3000, StretchPermille: 1500},
		},
	}
	for range 3 {
		w := sim.newWorker(len(sim.workers))
		w.pool = "r"
		sim.workers = append(sim.workers, w)
	}
	return sim
}

func (sim *livenessSimulation) step() {
	if !sim.faultsOff {
		sim.injectMoreFaults()
		sim.faultAt = sim.now
	}
	sim.failLongRunning()
	// A worker that replaces another one is in the same pool.
	pools := make([]jobs.PoolName, len(sim.workers))
	for n, w := range sim.workers {
		pools[n] = w.pool
	}
	sim.simulation.step()
	for n, w := range sim.workers {
		w.pool = pools[n]
	}
	sim.checkLongRunning()
}

func (sim *livenessSimulation) injectMoreFaults() {
	w := sim.workers[sim.rand.IntN(len(sim.workers))]
	switch sim.rand.IntN(150) {
	case 0, 1:
		sim.submitLongRunning()
	case 2:
		sim.reconfigure()
	case 3:
		w.refusing = sim.rand.IntN(2) == 0
	case 4:
		w.repliesLostUntil = sim.now + clock.Millis(sim.rand.Int64N(int64(simMaxReplyLossMillis)))
	}
}

// reconfigure moves the queues to random pools and at times removes one.
func (sim *livenessSimulation) reconfigure() {
	sim.config.Version++
	sim.config.Queues = slices.Clone(sim.config.Queues)
	for n := range sim.config.Queues {
		sim.config.Queues[n].Pool = []jobs.PoolName{"p", "r"}[sim.rand.IntN(2)]
	}
	c := sim.config
	if sim.rand.IntN(3) == 0 {
		c.Queues = c.Queues[:1]
	}
	sim.leader.scheduler.Configure(c, sim.leaderNow())
}

// submitLongRunning submits a job with one long-running step.
func (sim *livenessSimulation) submitLongRunning() {
	sim.longJobs++
	if sim.longJobs > 4 {
		return
	}
	step := jobs.Step{
		TaskCount: 1 + sim.rand.IntN(3), Resources: jobs.Resources{MilliCores: 500, MemoryMiB: 300}, LongRunning: true, MaxUnavailable: 1,
		MaxPerWorker: sim.rand.IntN(3),
	}
	sim.leader.scheduler.Submit(jobs.Job{
		ID: jobs.ID(fmt.Sprint("long", sim.longJobs)), Queue: "long", Pool: "r", MaxAttempts: simMaxAttempts, Target: 3000, StretchPermille: 1500,
		Steps: []jobs.Step{step}, Customer: sim.pickCustomer(),
	}, sim.leaderNow())
}

// endPartitions turns faults off and lets the leader receive the heartbeats of
// all workers again.
func (sim *livenessSimulation) endPartitions() {
	sim.faultsOff = true
	for _, w := range sim.workers {
		w.nextHeartbeat = min(w.nextHeartbeat, sim.now+sim.settings.MaxRetryMillis)
	}
}

// failLongRunning ends some runs of long-running tasks as failed.
func (sim *livenessSimulation) failLongRunning() {
	for _, w := range sim.workers {
		for _, t := range sortedTaskIDs(w.runs) {
			r := w.runs[t]
			if sim.committed.Jobs[t.Job].Steps[t.Step].LongRunning && (sim.now-r.startedAt)%1500 == 0 && sim.rand.IntN(20) == 0 {
				w.end(t, r, jobs.ResultFailed)
			}
		}
	}
}

// checkLongRunning checks that no long-running task stays away while a worker
// has room for it.
func (sim *livenessSimulation) checkLongRunning() {
	running := map[jobs.TaskID]bool{}
	for _, w := range sim.workers {
		for t := range w.runs {
			running[t] = true
		}
	}
	for _, rec := range sim.committed.Jobs {
		if rec.Status.Final() {
			continue
		}
		for t := range rec.Tasks() {
			if !rec.Steps[t.Step].LongRunning {
				continue
			}
			if running[t] || sim.ranAt[t] == 0 {
				sim.ranAt[t] = max(sim.now, rec.DueAt(t.Occurrence))
			}
			if sim.now-sim.ranAt[t] <= simRestartMillis || !sim.hasRoom(rec, t) || (sim.mayRun != nil && !sim.mayRun(rec, t)) {
				sim.lateSince[t] = sim.now
			}
			if sim.now-sim.lateSince[t] > simAbsenceMillis && sim.now-sim.faultAt > simCalmMillis+simAbsenceMillis {
				s := sim.leader.scheduler
				g := &taskGroup{key: stepKeyOf(t), rec: s.State.Jobs[rec.ID], step: &rec.Steps[t.Step]}
				sim.failf("long-running task %v, %+v, has not run for %d ms, with room for it for %d ms: %s",
					t, *s.State.Task(t), sim.now-sim.ranAt[t], sim.now-sim.lateSince[t], s.filterWorkers(g, sim.leaderNow()))
			}
		}
	}
}

// hasRoom reports whether a sound worker could run the task beside what it runs.
func (sim *livenessSimulation) hasRoom(rec *jobs.Record, t jobs.TaskID) bool {
	pool := rec.Pool
	if q, ok := sim.committed.Config.Queue(rec.Queue); ok {
		pool = q.Pool
	}
	step := &rec.Steps[t.Step]
	for _, w := range sim.workers {
		if w.pool != pool || w.draining || w.failing || w.stuck || w.refusing || sim.now < w.repliesLostUntil {
			continue
		}
		free, ofStep := w.capacity, 0
		for other := range w.runs {
			free = free.Minus(sim.committed.Jobs[other.Job].Steps[other.Step].Resources)
			if stepKeyOf(other) == stepKeyOf(t) {
				ofStep++
			}
		}
		if step.Resources.FitsIn(free) && (step.MaxPerWorker == 0 || ofStep < step.MaxPerWorker) {
			return true
		}
	}
	return false
}

// TestSimulatedLongRunningTasks runs seeded random faults with calm times in
// between. It guards against a long-running task that does not run for seconds
// while a worker has room for it, and against what TestSimulatedFaults guards
// against.
func TestSimulatedLongRunningTasks(t *testing.T) {
	n := uint64(simulations) / 100
	if testing.Short() {
		n /= 10
	}
	playSeeds(t, n, func(seed uint64) error {
		sim := newLivenessSimulation(seed)
		for range simRounds {
			sim.faultsOff = false
			for range simFaultSteps {
				sim.step()
			}
			sim.endPartitions()
			for range simCalmSteps {
				sim.step()
			}
		}
		return sim.err
	})
}
