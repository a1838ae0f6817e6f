package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// gangStep is a gang whose tasks take a quarter of a worker each.
var gangStep = jobs.Step{TaskCount: 6, Resources: jobs.Resources{MilliCores: 4000, MemoryMiB: 100}, Estimate: 1000, Gang: true, Checkpoints: true}

// runsFor returns the runs that a worker was ordered to start.
func runsFor(o Orders) []RunStatus {
	var out []RunStatus
	for _, s := range o.Starts {
		out = append(out, RunStatus{Task: s.Task, Run: s.Run})
	}
	return out
}

// TestGangStartsTogether guards against starting only some tasks of a gang,
// which would take capacity while they wait for the others.
func TestGangStartsTogether(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("g", gangStep)
	f.heartbeat("w1", 1, nil)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Starts), 0)
	f.heartbeat("w2", 1, nil)
	p := f.Pass(f.now)
	assert.Equal(t, len(ordersFor(p, "w1").Starts)+len(ordersFor(p, "w2").Starts), 6)
}

// TestGangRestartsTogether guards against restarting one task of a gang while
// the others still run, and against restarting the tasks with different run
// numbers or from different checkpoints. Such a gang could never work.
func TestGangRestartsTogether(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("g", gangStep)
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	p := f.Pass(f.now)
	first, second := ordersFor(p, "w1"), ordersFor(p, "w2")
	f.now += 300
	failed := first.Starts[0]
	f.heartbeat("w1", 1, runsFor(first)[1:], RunEnd{Number: 1, Task: failed.Task, Run: 1, Result: jobs.ResultFailed, Checkpoint: "s1"})
	f.heartbeat("w2", 1, runsFor(second))
	p = f.Pass(f.now)
	assert.Equal(t, len(ordersFor(p, "w1").Starts)+len(ordersFor(p, "w2").Starts), 0)
	assert.Equal(t, len(ordersFor(p, "w1").Stops), len(first.Starts)-1)
	assert.Equal(t, len(ordersFor(p, "w2").Stops), len(second.Starts))
	f.now += otherWorkerWaitMillis
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	p = f.Pass(f.now)
	starts := append(ordersFor(p, "w1").Starts, ordersFor(p, "w2").Starts...)
	assert.Equal(t, len(starts), 6)
	for _, s := range starts {
		assert.Equal(t, s.Run, 2)
		assert.Equal(t, s.Checkpoint, "s1")
	}
}

// TestGangEndsTogether guards against a gang whose job never ends because the
// results of some of its tasks are lost with their worker.
func TestGangEndsTogether(t *testing.T) {
	f := newFixture(Defaults())
	after := smallStep
	after.DependsOn = []int{0}
	f.submit("g", gangStep, after)
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	p := f.Pass(f.now)
	first := ordersFor(p, "w1")
	f.now += 1000
	f.heartbeat("w1", 1, nil, endsFor(first, jobs.ResultDone)[:1]...)
	p = f.Pass(f.now)
	assert.Equal(t, f.State.Jobs["g"].Occurrences[0].Steps[0].DoneTasks, 6)
	assert.Equal(t, len(ordersFor(p, "w1").Starts), 1)
	f.RemoveWorker("w2", 1, f.now)
	f.now += 500
	done := endsFor(ordersFor(p, "w1"), jobs.ResultDone)
	done[0].Number = 2
	f.heartbeat("w1", 1, nil, done...)
	f.Pass(f.now)
	assert.Equal(t, f.State.Jobs["g"].Status, jobs.StatusCompleted)
}

// TestGangFailuresCountByRun guards against a job that fails too early because
// several tasks of one run of its gang fail, and against a job that never fails
// because a different task fails in each run.
func TestGangFailuresCountByRun(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("g", gangStep)
	number := int64(0)
	for attempt := range 2 {
		assert.Equal(t, f.State.Jobs["g"].Status.Final(), false)
		f.now += otherWorkerWaitMillis
		f.heartbeat("w1", 1, nil)
		f.heartbeat("w2", 1, nil)
		p := f.Pass(f.now)
		for _, id := range []string{"w1", "w2"} {
			ends := endsFor(ordersFor(p, id), jobs.ResultStopped)
			for n := range ends {
				number++
				ends[n].Number = number
			}
			// Two tasks fail in the first run, and one task of the other worker
			// in the second.
			if (attempt == 0) == (id == "w1") {
				ends[0].Result = jobs.ResultFailed
				if attempt == 0 {
					ends[1].Result = jobs.ResultFailed
				}
			}
			f.now += 100
			f.heartbeat(id, 1, nil, ends...)
		}
		f.Pass(f.now)
	}
	assert.Equal(t, f.State.Jobs["g"].Status, jobs.StatusFailed)
	report, _ := f.Explain("g", f.now)
	assert.Equal(t, report.Steps[0].Failures, 2)
}

// TestGangReservesCapacity runs a full pool with a constant stream of small
// tasks. It guards against a gang that never starts because small tasks take
// each part of the capacity as soon as it becomes free.
func TestGangReservesCapacity(t *testing.T) {
	f := newFixture(Defaults())
	fill := smallStep
	fill.TaskCount, fill.Resources.MilliCores = 16, 1000
	f.submit("fill", fill)
	f.heartbeat("w1", 1, nil)
	running := runsFor(ordersFor(f.Pass(f.now), "w1"))
	assert.Equal(t, len(running), 16)
	wide := gangStep
	wide.TaskCount = 4
	f.submit("g", wide)
	number := int64(0)
	for n := range 40 {
		f.now += 50
		// A later job waits for each task that ends.
		small := smallStep
		f.submit(fmt.Sprint("later", n), small)
		var ends []RunEnd
		if len(running) > 0 {
			number++
			ends = append(ends, RunEnd{Number: number, Task: running[0].Task, Run: running[0].Run, Result: jobs.ResultDone})
			running = running[1:]
		}
		f.heartbeat("w1", 1, running, ends...)
		for _, s := range ordersFor(f.Pass(f.now), "w1").Starts {
			if s.Task.Job == "g" {
				return
			}
			running = append(running, RunStatus{Task: s.Task, Run: s.Run, Percent: 50})
		}
	}
	t.Fatal("the gang did not start")
}

// TestGangWithoutCapacityReservesNone guards against a gang that blocks all
// other work of its pool although it cannot start: long-running tasks take the
// capacity, or the advice service has approved no worker.
func TestGangWithoutCapacityReservesNone(t *testing.T) {
	wide := gangStep
	wide.TaskCount = 4
	longRunning := jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 8000, MemoryMiB: 100}, LongRunning: true}
	for _, c := range []struct {
		name    string
		fixture *fixture
		// before is submitted first.
		before []jobs.Step
	}{
		{"long-running tasks", newFixture(Defaults()), []jobs.Step{longRunning}},
		{"advice", newAdvisedFixture(), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := c.fixture
			if c.before != nil {
				f.submit("before", c.before...)
			}
			f.heartbeat("w1", 1, nil)
			running := runsFor(ordersFor(f.Pass(f.now), "w1"))
			f.submit("g", wide)
			f.now += 2 * gangReserveDelayMillis
			g := f.pool("p").groupByStep[stepKey{job: "g"}]
			assert.Assert(t, !f.reservesCapacity(f.pool("p"), g, f.now))
			if c.before == nil {
				return
			}
			f.submit("small", smallStep)
			f.heartbeat("w1", 1, running)
			assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Starts), 1)
		})
	}
}

// TestGangKeepsToOneRack guards against spreading a SameRack gang over two
// racks although one rack has capacity now or soon; its tasks take several
// times as long on two racks. It also guards against waiting although no rack
// is large enough.
func TestGangKeepsToOneRack(t *testing.T) {
	sameRack := gangStep
	sameRack.TaskCount, sameRack.SameRack = 5, true
	for _, c := range []struct {
		name string
		// racks are the racks of the workers that send a heartbeat, and want
		// the numbers of tasks that these start. busy is the rack of a further
		// worker that is not available yet; empty for none.
		racks []string
		busy  string
		want  []int
	}{
		{"capacity in one rack", []string{"r-1", "r-2", "r-2"}, "", []int{0, 4, 1}},
		{"no rack is large enough", []string{"r-1", "r-2"}, "", []int{4, 1}},
		{"a rack has capacity soon", []string{"r-1", "r-2"}, "r-2", []int{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(Defaults())
			heartbeatFrom := func(id, rack string) {
				f.seq++
				f.Heartbeat(Heartbeat{
					Worker: jobs.WorkerID(id), Incarnation: 1, Machine: jobs.MachineID("m-" + id), Pool: "p", Labels: []string{"a", rack},
					Seq: f.seq, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, ReceivedAt: f.now,
				}, f.now)
			}
			if c.busy != "" {
				heartbeatFrom("busy", c.busy)
				f.now += f.settings.MaxReplyDelayMillis
				f.Pass(f.now)
			}
			f.submit("g", sameRack)
			for n, rack := range c.racks {
				heartbeatFrom(fmt.Sprint("w", n), rack)
			}
			p := f.Pass(f.now)
			var got []int
			for n := range c.racks {
				got = append(got, len(ordersFor(p, fmt.Sprint("w", n)).Starts))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestNewLeaderStopsBrokenGang guards against a new leader that does not stop
// the rest of a gang that lost a task under an earlier leader. The other tasks
// would keep their capacity until they time out.
func TestNewLeaderStopsBrokenGang(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("g", gangStep)
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	p := f.Pass(f.now)
	rest := runsFor(ordersFor(p, "w2"))
	f.RemoveWorker("w1", 1, f.now)
	next := &fixture{testScheduler: New(f.settings, f.rankPolicy, f.healthPolicy, f.State.Clone(), f.now), now: f.now + 100, seq: f.seq}
	next.heartbeat("w2", 1, rest)
	assert.Equal(t, len(ordersFor(next.Pass(next.now), "w2").Stops), len(rest))
}

// TestQueueMovedToPoolIsPlacedAtOnce guards against delays after a
// configuration assigns a queue to another pool: its waiting work must not wait
// for the next heartbeat from that pool.
func TestQueueMovedToPoolIsPlacedAtOnce(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("a", smallStep)
	f.seq++
	f.Heartbeat(Heartbeat{
		Worker: "w1", Incarnation: 1, Machine: "m-w1", Pool: "other", Seq: f.seq,
		Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, ReceivedAt: f.now,
	}, f.now)
	f.Pass(f.now)
	c := f.State.Config
	c.Version++
	c.Queues = []jobs.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "other", MaxAttempts: 2}}
	f.Configure(c, f.now)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Starts), 1)
}

// TestFailedTaskReturnsToOnlyWorker guards against a task that waits forever
// because it failed on the only worker of its pool.
func TestFailedTaskReturnsToOnlyWorker(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("a", smallStep)
	f.heartbeat("w1", 1, nil)
	o := ordersFor(f.Pass(f.now), "w1")
	f.now += 400
	f.heartbeat("w1", 1, nil, endsFor(o, jobs.ResultFailed)...)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Starts), 0)
	f.now += otherWorkerWaitMillis
	f.heartbeat("w1", 1, nil)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Starts), 1)
}

// TestFitCountIsBoundedByTasks guards against a leader that stands still because it
// counts up to a huge MaxPerWorker for tasks that require no resources.
func TestFitCountIsBoundedByTasks(t *testing.T) {
	for _, maxPerWorker := range []int{0, 3, 1 << 31} {
		g := &taskGroup{step: &jobs.Step{TaskCount: 3, MaxPerWorker: maxPerWorker}}
		assert.Equal(t, (&worker{}).fitCount(jobs.Resources{}, g), 3)
	}
	assert.Equal(t, (&worker{}).fitCount(jobs.Resources{}, &taskGroup{step: &jobs.Step{TaskCount: 3, MaxPerWorker: 2}}), 2)
}

// TestGangLeavesBusyRacks guards against a gang that waits for room on one rack, for as
// long as one of its tasks takes, while most of the pool is idle.
func TestGangLeavesBusyRacks(t *testing.T) {
	f := newFixture(Defaults())
	heartbeat := func() {
		for n := range 8 {
			f.seq++
			h := Heartbeat{
				Worker: jobs.WorkerID(fmt.Sprint("w", n)), Incarnation: 1, Machine: jobs.MachineID(fmt.Sprint("m", n)), Pool: "p",
				Labels: []string{"a", fmt.Sprint("r-", n%4)}, Seq: f.seq, Capacity: jobs.Resources{MilliCores: 4000, MemoryMiB: 8000}, ReceivedAt: f.now,
			}
			if w := f.workers[h.Worker]; w != nil {
				for _, id := range sortedTaskIDs(w.runs) {
					h.Running = append(h.Running, RunStatus{Task: id, Run: w.runs[id].number, Percent: 1})
				}
			}
			f.Heartbeat(h, f.now)
		}
	}
	// One worker of each rack has room for no task of the gang.
	for n := range 4 {
		f.submit(fmt.Sprint("busy", n), jobs.Step{
			TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 5000}, Estimate: 90_000, DataRack: fmt.Sprint("r-", n),
		})
	}
	heartbeat()
	f.Pass(f.now)
	f.submit("g", jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 4000}, Estimate: 60_000, MaxPerWorker: 1, Gang: true, SameRack: true})
	for end := f.now + maxFiniteWaitMillis; f.now < end; f.now += 200 {
		heartbeat()
		f.Pass(f.now)
	}
	assert.Equal(t, f.State.Jobs["g"].Task(jobs.TaskID{Job: "g"}).Phase, jobs.PhaseAssigned)
}
