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

// TestGangStartsTogether guards against a part of a gang that takes capacity
// while it waits for the rest.
func TestGangStartsTogether(t *testing.T) {
	r := newFixture(Defaults())
	r.submit("g", gangStep)
	r.heartbeat("w1", 1, nil)
	assert.Equal(t, len(ordersFor(r.Pass(r.now), "w1").Starts), 0)
	r.heartbeat("w2", 1, nil)
	p := r.Pass(r.now)
	assert.Equal(t, len(ordersFor(p, "w1").Starts)+len(ordersFor(p, "w2").Starts), 6)
}

// TestGangRestartsTogether guards against restarting one task of a gang next to
// the others of the earlier run, with another run number or from another
// checkpoint. Such a gang could never work.
func TestGangRestartsTogether(t *testing.T) {
	r := newFixture(Defaults())
	r.submit("g", gangStep)
	r.heartbeat("w1", 1, nil)
	r.heartbeat("w2", 1, nil)
	p := r.Pass(r.now)
	first, second := ordersFor(p, "w1"), ordersFor(p, "w2")
	r.now += 300
	failed := first.Starts[0]
	r.heartbeat("w1", 1, runsFor(first)[1:], RunEnd{Number: 1, Task: failed.Task, Run: 1, Result: jobs.ResultFailed, Checkpoint: "s1"})
	r.heartbeat("w2", 1, runsFor(second))
	p = r.Pass(r.now)
	assert.Equal(t, len(ordersFor(p, "w1").Starts)+len(ordersFor(p, "w2").Starts), 0)
	assert.Equal(t, len(ordersFor(p, "w1").Stops), len(first.Starts)-1)
	assert.Equal(t, len(ordersFor(p, "w2").Stops), len(second.Starts))
	r.now += otherWorkerMillis
	r.heartbeat("w1", 1, nil)
	r.heartbeat("w2", 1, nil)
	p = r.Pass(r.now)
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
	r := newFixture(Defaults())
	after := smallStep
	after.DependsOn = []int{0}
	r.submit("g", gangStep, after)
	r.heartbeat("w1", 1, nil)
	r.heartbeat("w2", 1, nil)
	p := r.Pass(r.now)
	first := ordersFor(p, "w1")
	r.now += 1000
	r.heartbeat("w1", 1, nil, endsFor(first, jobs.ResultDone)[:1]...)
	p = r.Pass(r.now)
	assert.Equal(t, r.State.Jobs["g"].Occurrences[0].Steps[0].DoneTasks, 6)
	assert.Equal(t, len(ordersFor(p, "w1").Starts), 1)
	r.RemoveWorker("w2", 1, r.now)
	r.now += 500
	done := endsFor(ordersFor(p, "w1"), jobs.ResultDone)
	done[0].Number = 2
	r.heartbeat("w1", 1, nil, done...)
	r.Pass(r.now)
	assert.Equal(t, r.State.Jobs["g"].Status, jobs.StatusCompleted)
}

// TestGangFailuresCountByRun guards against a job that fails too early because
// several tasks of one run of a gang failed, and against one that never fails
// because each run fails in another task.
func TestGangFailuresCountByRun(t *testing.T) {
	r := newFixture(Defaults())
	r.submit("g", gangStep)
	number := int64(0)
	for attempt := range 2 {
		assert.Equal(t, r.State.Jobs["g"].Status.Final(), false)
		r.now += otherWorkerMillis
		r.heartbeat("w1", 1, nil)
		r.heartbeat("w2", 1, nil)
		p := r.Pass(r.now)
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
			r.now += 100
			r.heartbeat(id, 1, nil, ends...)
		}
		r.Pass(r.now)
	}
	assert.Equal(t, r.State.Jobs["g"].Status, jobs.StatusFailed)
	x, _ := r.Explain("g", r.now)
	assert.Equal(t, x.Steps[0].Failures, 2)
}

// TestGangReservesCapacity runs a full pool with a constant stream of small
// tasks. Without reserved capacity a wide gang would never start.
func TestGangReservesCapacity(t *testing.T) {
	r := newFixture(Defaults())
	fill := smallStep
	fill.TaskCount, fill.Resources.MilliCores = 16, 1000
	r.submit("fill", fill)
	r.heartbeat("w1", 1, nil)
	running := runsFor(ordersFor(r.Pass(r.now), "w1"))
	assert.Equal(t, len(running), 16)
	wide := gangStep
	wide.TaskCount = 4
	r.submit("g", wide)
	number := int64(0)
	for n := range 40 {
		r.now += 50
		// A later job waits for each task that ends.
		one := smallStep
		r.submit(fmt.Sprint("later", n), one)
		var ends []RunEnd
		if len(running) > 0 {
			number++
			ends = append(ends, RunEnd{Number: number, Task: running[0].Task, Run: running[0].Run, Result: jobs.ResultDone})
			running = running[1:]
		}
		r.heartbeat("w1", 1, running, ends...)
		for _, s := range ordersFor(r.Pass(r.now), "w1").Starts {
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
		name string
		rig  *fixture
		// before is submitted first.
		before []jobs.Step
	}{
		{"long-running tasks", newFixture(Defaults()), []jobs.Step{longRunning}},
		{"advice", newAdvisedFixture(), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := c.rig
			if c.before != nil {
				r.submit("before", c.before...)
			}
			r.heartbeat("w1", 1, nil)
			running := runsFor(ordersFor(r.Pass(r.now), "w1"))
			r.submit("g", wide)
			r.now += 2 * gangWaitMillis
			g := r.pool("p").groups
			assert.Assert(t, !r.reservesCapacity(r.pool("p"), g[len(g)-1], r.now))
			if c.before == nil {
				return
			}
			r.submit("small", smallStep)
			r.heartbeat("w1", 1, running)
			assert.Equal(t, len(ordersFor(r.Pass(r.now), "w1").Starts), 1)
		})
	}
}

// TestGangKeepsToOneRack guards against spreading a SameRack gang over two
// racks, where its tasks take several times as long, although one rack has
// capacity now or soon, and against waiting although no rack is large enough.
func TestGangKeepsToOneRack(t *testing.T) {
	one := gangStep
	one.TaskCount, one.SameRack = 5, true
	for _, c := range []struct {
		name string
		// racks are the racks of the workers that send a heartbeat. busy is the
		// rack of a further worker that is available only later.
		racks []string
		busy  string
		want  []int
	}{
		{"capacity in one rack", []string{"r-1", "r-2", "r-2"}, "", []int{0, 4, 1}},
		{"no rack is large enough", []string{"r-1", "r-2"}, "", []int{4, 1}},
		{"a rack has capacity soon", []string{"r-1", "r-2"}, "r-2", []int{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(Defaults())
			racked := func(id, rack string) {
				r.seq++
				r.Heartbeat(Heartbeat{
					Worker: jobs.WorkerID(id), Incarnation: 1, Machine: jobs.MachineID("m-" + id), Pool: "p", Labels: []string{"a", rack},
					Seq: r.seq, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, ReceivedAt: r.now,
				}, r.now)
			}
			if c.busy != "" {
				racked("busy", c.busy)
				r.now += r.settings.MaxHoldMillis
				r.Pass(r.now)
			}
			r.submit("g", one)
			for n, rack := range c.racks {
				racked(fmt.Sprint("w", n), rack)
			}
			p := r.Pass(r.now)
			var got []int
			for n := range c.racks {
				got = append(got, len(ordersFor(p, fmt.Sprint("w", n)).Starts))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestNewLeaderStopsBrokenGang guards against a gang that lost a task under an
// earlier leader and whose other tasks keep their capacity until their own
// timeout.
func TestNewLeaderStopsBrokenGang(t *testing.T) {
	r := newFixture(Defaults())
	r.submit("g", gangStep)
	r.heartbeat("w1", 1, nil)
	r.heartbeat("w2", 1, nil)
	p := r.Pass(r.now)
	rest := runsFor(ordersFor(p, "w2"))
	r.RemoveWorker("w1", 1, r.now)
	next := &fixture{testScheduler: New(r.settings, r.rankPolicy, r.healthPolicy, r.State.Clone(), r.now), now: r.now + 100, seq: r.seq}
	next.heartbeat("w2", 1, rest)
	assert.Equal(t, len(ordersFor(next.Pass(next.now), "w2").Stops), len(rest))
}

// TestQueueMovedToPoolIsPlacedAtOnce guards against waiting work that moves
// with its queue to another pool and is placed only at that pool's next
// heartbeat.
func TestQueueMovedToPoolIsPlacedAtOnce(t *testing.T) {
	r := newFixture(Defaults())
	r.submit("a", smallStep)
	r.seq++
	r.Heartbeat(Heartbeat{
		Worker: "w1", Incarnation: 1, Machine: "m-w1", Pool: "other", Seq: r.seq,
		Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, ReceivedAt: r.now,
	}, r.now)
	r.Pass(r.now)
	c := r.State.Config
	c.Version++
	c.Queues = []jobs.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "other", MaxAttempts: 2}}
	r.Configure(c, r.now)
	assert.Equal(t, len(ordersFor(r.Pass(r.now), "w1").Starts), 1)
}

// TestFailedTaskReturnsToOnlyWorker guards against a task that waits forever
// because it failed on the only worker of its pool.
func TestFailedTaskReturnsToOnlyWorker(t *testing.T) {
	r := newFixture(Defaults())
	r.submit("a", smallStep)
	r.heartbeat("w1", 1, nil)
	o := ordersFor(r.Pass(r.now), "w1")
	r.now += 400
	r.heartbeat("w1", 1, nil, endsFor(o, jobs.ResultFailed)...)
	assert.Equal(t, len(ordersFor(r.Pass(r.now), "w1").Starts), 0)
	r.now += otherWorkerMillis
	r.heartbeat("w1", 1, nil)
	assert.Equal(t, len(ordersFor(r.Pass(r.now), "w1").Starts), 1)
}
