package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// crew is a gang whose tasks take a quarter of a worker each.
var crew = jobs.Step{TaskCount: 6, Resources: jobs.Resources{MilliCores: 4000, MemoryMiB: 100}, Estimate: 1000, Gang: true, Checkpoints: true}

// runningOf lists the runs that a worker was ordered to start.
func runningOf(o Orders) []RunStatus {
	var out []RunStatus
	for _, s := range o.Starts {
		out = append(out, RunStatus{Task: s.Task, Run: s.Run})
	}
	return out
}

// TestGangStartsWhole guards against a part of a gang that takes room and waits
// for the rest.
func TestGangStartsWhole(t *testing.T) {
	r := newRig(Defaults())
	r.submit("g", crew)
	r.hear("w1", 1, nil)
	assert.Equal(t, len(orders(r.Pass(r.now), "w1").Starts), 0)
	r.hear("w2", 1, nil)
	p := r.Pass(r.now)
	assert.Equal(t, len(orders(p, "w1").Starts)+len(orders(p, "w2").Starts), 6)
}

// TestGangRestartsWhole guards against one task of a gang that is started again
// beside the others of the earlier run, under another run number or from another
// checkpoint: none of them could ever work.
func TestGangRestartsWhole(t *testing.T) {
	r := newRig(Defaults())
	r.submit("g", crew)
	r.hear("w1", 1, nil)
	r.hear("w2", 1, nil)
	p := r.Pass(r.now)
	first, second := orders(p, "w1"), orders(p, "w2")
	r.now += 300
	failed := first.Starts[0]
	r.hear("w1", 1, runningOf(first)[1:], RunEnd{Number: 1, Task: failed.Task, Run: 1, Result: jobs.ResultFailed, Checkpoint: "s1"})
	r.hear("w2", 1, runningOf(second))
	p = r.Pass(r.now)
	assert.Equal(t, len(orders(p, "w1").Starts)+len(orders(p, "w2").Starts), 0)
	assert.Equal(t, len(orders(p, "w1").Stops), len(first.Starts)-1)
	assert.Equal(t, len(orders(p, "w2").Stops), len(second.Starts))
	r.now += elsewhereMillis
	r.hear("w1", 1, nil)
	r.hear("w2", 1, nil)
	p = r.Pass(r.now)
	starts := append(orders(p, "w1").Starts, orders(p, "w2").Starts...)
	assert.Equal(t, len(starts), 6)
	for _, s := range starts {
		assert.Equal(t, s.Run, 2)
		assert.Equal(t, s.Checkpoint, "s1")
	}
}

// TestGangEndsTogether guards against a gang whose job never ends because the
// good ends of some of its tasks are lost with their worker.
func TestGangEndsTogether(t *testing.T) {
	r := newRig(Defaults())
	after := small
	after.DependsOn = []int{0}
	r.submit("g", crew, after)
	r.hear("w1", 1, nil)
	r.hear("w2", 1, nil)
	p := r.Pass(r.now)
	first := orders(p, "w1")
	r.now += 1000
	r.hear("w1", 1, nil, endsOf(first, jobs.ResultDone)[:1]...)
	p = r.Pass(r.now)
	assert.Equal(t, r.State.Jobs["g"].Occurrences[0].Steps[0].DoneTasks, 6)
	assert.Equal(t, len(orders(p, "w1").Starts), 1)
	r.RemoveWorker("w2", 1, r.now)
	r.now += 500
	done := endsOf(orders(p, "w1"), jobs.ResultDone)
	done[0].Number = 2
	r.hear("w1", 1, nil, done...)
	r.Pass(r.now)
	assert.Equal(t, r.State.Jobs["g"].Status, jobs.StatusCompleted)
}

// TestGangFailuresCountByRun guards against a job that is given up early because
// several tasks of one run of a gang failed, and one that never is because each
// run fails in another task.
func TestGangFailuresCountByRun(t *testing.T) {
	r := newRig(Defaults())
	r.submit("g", crew)
	number := int64(0)
	for attempt := range 2 {
		assert.Equal(t, r.State.Jobs["g"].Status.Final(), false)
		r.now += elsewhereMillis
		r.hear("w1", 1, nil)
		r.hear("w2", 1, nil)
		p := r.Pass(r.now)
		for _, id := range []string{"w1", "w2"} {
			ends := endsOf(orders(p, id), jobs.ResultStopped)
			for n := range ends {
				number++
				ends[n].Number = number
			}
			// Two tasks fail in the first run, one of the other worker in the second.
			if (attempt == 0) == (id == "w1") {
				ends[0].Result = jobs.ResultFailed
				if attempt == 0 {
					ends[1].Result = jobs.ResultFailed
				}
			}
			r.now += 100
			r.hear(id, 1, nil, ends...)
		}
		r.Pass(r.now)
	}
	assert.Equal(t, r.State.Jobs["g"].Status, jobs.StatusFailed)
	x, _ := r.Explain("g", r.now)
	assert.Equal(t, x.Steps[0].Failures, 2)
}

// TestSmallWorkLeavesRoomForGang plays a full pool with small tasks that never
// stop coming: without room kept for it a wide gang never starts.
func TestSmallWorkLeavesRoomForGang(t *testing.T) {
	r := newRig(Defaults())
	fill := small
	fill.TaskCount, fill.Resources.MilliCores = 16, 1000
	r.submit("fill", fill)
	r.hear("w1", 1, nil)
	running := runningOf(orders(r.Pass(r.now), "w1"))
	assert.Equal(t, len(running), 16)
	wide := crew
	wide.TaskCount = 4
	r.submit("g", wide)
	number := int64(0)
	for n := range 40 {
		r.now += 50
		// A later job waits for each task that ends.
		one := small
		r.submit(fmt.Sprint("later", n), one)
		var ends []RunEnd
		if len(running) > 0 {
			number++
			ends = append(ends, RunEnd{Number: number, Task: running[0].Task, Run: running[0].Run, Result: jobs.ResultDone})
			running = running[1:]
		}
		r.hear("w1", 1, running, ends...)
		for _, s := range orders(r.Pass(r.now), "w1").Starts {
			if s.Task.Job == "g" {
				return
			}
			running = append(running, RunStatus{Task: s.Task, Run: s.Run, Percent: 50})
		}
	}
	t.Fatal("the gang did not start")
}

// TestImpossibleGangKeepsNoRoom guards against a gang that stops all other work
// of its pool, although its room cannot come about: lasting tasks have it, or
// the advice service has named no worker.
func TestImpossibleGangKeepsNoRoom(t *testing.T) {
	wide := crew
	wide.TaskCount = 4
	lasting := jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 8000, MemoryMiB: 100}, LongRunning: true}
	for _, c := range []struct {
		name string
		rig  *rig
		// before is handed in first.
		before []jobs.Step
	}{
		{"lasting tasks", newRig(Defaults()), []jobs.Step{lasting}},
		{"advice", newAdvisedRig(), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := c.rig
			if c.before != nil {
				r.submit("before", c.before...)
			}
			r.hear("w1", 1, nil)
			running := runningOf(orders(r.Pass(r.now), "w1"))
			r.submit("g", wide)
			r.now += 2 * roomMillis
			g := r.pool("p").groups
			assert.Assert(t, !r.keepRoom(r.pool("p"), g[len(g)-1], r.now))
			if c.before == nil {
				return
			}
			r.submit("small", small)
			r.hear("w1", 1, running)
			assert.Equal(t, len(orders(r.Pass(r.now), "w1").Starts), 1)
		})
	}
}

// TestGangKeepsToOneRack guards against a gang for one rack that is spread over
// two, where its tasks take a multiple of their time, although a rack has room
// or will have it soon, and against one that waits although none could hold it.
func TestGangKeepsToOneRack(t *testing.T) {
	one := crew
	one.TaskCount, one.SameRack = 5, true
	for _, c := range []struct {
		name string
		// racks are those of the workers that are heard, and busy that of one which
		// is heard again later.
		racks []string
		busy  string
		want  []int
	}{
		{"room in one rack", []string{"r-1", "r-2", "r-2"}, "", []int{0, 4, 1}},
		{"no rack is large enough", []string{"r-1", "r-2"}, "", []int{4, 1}},
		{"a rack has room soon", []string{"r-1", "r-2"}, "r-2", []int{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(Defaults())
			racked := func(id, rack string) {
				r.seq++
				r.Heartbeat(Heartbeat{
					Worker: jobs.WorkerID(id), Incarnation: 1, Machine: jobs.MachineID("m-" + id), Pool: "p", Labels: []string{"a", rack},
					Seq: r.seq, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, ReceivedAt: r.now,
				}, r.now)
			}
			if c.busy != "" {
				racked("busy", c.busy)
				r.now += r.set.MaxHoldMillis
				r.Pass(r.now)
			}
			r.submit("g", one)
			for n, rack := range c.racks {
				racked(fmt.Sprint("w", n), rack)
			}
			p := r.Pass(r.now)
			var got []int
			for n := range c.racks {
				got = append(got, len(orders(p, fmt.Sprint("w", n)).Starts))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestNewLeaderStopsBrokenGang guards against the rest of a gang that broke
// under an earlier leader and keeps its room until it gives up waiting.
func TestNewLeaderStopsBrokenGang(t *testing.T) {
	r := newRig(Defaults())
	r.submit("g", crew)
	r.hear("w1", 1, nil)
	r.hear("w2", 1, nil)
	p := r.Pass(r.now)
	rest := runningOf(orders(p, "w2"))
	r.RemoveWorker("w1", 1, r.now)
	next := &rig{testBoard: New(r.set, r.order, r.judge, r.State.Clone(), r.now), now: r.now + 100, seq: r.seq}
	next.hear("w2", 1, rest)
	assert.Equal(t, len(orders(next.Pass(next.now), "w2").Stops), len(rest))
}

// TestMovedQueueIsPlacedAtOnce guards against waiting work of a queue that is
// sent to another pool and waits there for that pool's next heartbeat.
func TestMovedQueueIsPlacedAtOnce(t *testing.T) {
	r := newRig(Defaults())
	r.submit("a", small)
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
	assert.Equal(t, len(orders(r.Pass(r.now), "w1").Starts), 1)
}

// TestFailedTaskReturnsToOnlyWorker guards against a task that waits for good
// because the only worker of its pool is the one that it failed on.
func TestFailedTaskReturnsToOnlyWorker(t *testing.T) {
	r := newRig(Defaults())
	r.submit("a", small)
	r.hear("w1", 1, nil)
	o := orders(r.Pass(r.now), "w1")
	r.now += 400
	r.hear("w1", 1, nil, endsOf(o, jobs.ResultFailed)...)
	assert.Equal(t, len(orders(r.Pass(r.now), "w1").Starts), 0)
	r.now += elsewhereMillis
	r.hear("w1", 1, nil)
	assert.Equal(t, len(orders(r.Pass(r.now), "w1").Starts), 1)
}
