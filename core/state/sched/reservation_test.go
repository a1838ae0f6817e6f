package sched

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

const (
	// busyTickMillis is the time between two steps of a busyPool.
	busyTickMillis clock.Millis = 10
	// runAgainMillis is the time within which a long-running task must run again.
	runAgainMillis = 6 * clock.Second
)

// busyPool simulates workers whose pool has more finite tasks waiting than they can
// run. Finite tasks end after their estimate.
type busyPool struct {
	*fixture
	t       *testing.T
	rand    *rand.Rand
	workers map[string]*busyWorker
	// backlog returns the step of the next finite job; nil for no backlog.
	backlog   func() jobs.Step
	submitted int
	// stopped holds the steps of the runs that were stopped.
	stopped []*jobs.Step
}

type busyWorker struct {
	incarnation jobs.Incarnation
	nextAt      clock.Millis
	waiting     bool
	lastEnd     int64
	runs        map[jobs.TaskID]*busyRun
	ends        []RunEnd
}

type busyRun struct {
	number    int
	step      *jobs.Step
	startedAt clock.Millis
}

func newBusyPool(t *testing.T, workers int, backlog func() jobs.Step) *busyPool {
	b := &busyPool{fixture: newFixture(Defaults()), t: t, rand: rand.New(rand.NewPCG(1, 2)), workers: map[string]*busyWorker{}, backlog: backlog}
	for n := range workers {
		b.workers[fmt.Sprint("w", n)] = &busyWorker{incarnation: 1, runs: map[jobs.TaskID]*busyRun{}}
	}
	return b
}

// end ends a run on a worker.
func (w *busyWorker) end(t jobs.TaskID, result jobs.Result) {
	w.lastEnd++
	w.ends = append(w.ends, RunEnd{Number: w.lastEnd, Task: t, Run: w.runs[t].number, Result: result})
	delete(w.runs, t)
}

// step lets busyTickMillis pass.
func (b *busyPool) step() {
	b.now += busyTickMillis
	for b.backlog != nil && b.pool("p").groups.Len() < 8 {
		b.submitted++
		b.submit(fmt.Sprint("finite", b.submitted), b.backlog())
	}
	for _, id := range slices.Sorted(maps.Keys(b.workers)) {
		w := b.workers[id]
		for _, t := range slices.SortedFunc(maps.Keys(w.runs), compareTaskIDs) {
			if r := w.runs[t]; !r.step.LongRunning && b.now-r.startedAt >= r.step.Estimate {
				w.end(t, jobs.ResultDone)
			}
		}
		if !w.waiting && (b.now >= w.nextAt || len(w.ends) > 0) {
			b.heartbeat(id, w.incarnation, w.statuses(b.now), w.ends...)
			w.ends, w.waiting = nil, true
		}
	}
	for _, o := range b.Pass(b.now).Orders {
		b.carryOut(b.workers[string(o.Worker)], o)
	}
}

func (w *busyWorker) statuses(now clock.Millis) []RunStatus {
	var out []RunStatus
	for t, r := range w.runs {
		percent := 100
		if !r.step.LongRunning {
			percent = int(100 * (now - r.startedAt) / r.step.Estimate)
		}
		out = append(out, RunStatus{Task: t, Run: r.number, Percent: percent})
	}
	return out
}

// carryOut applies the orders in a reply to a worker.
func (b *busyPool) carryOut(w *busyWorker, o Orders) {
	if w == nil || o.Incarnation != w.incarnation {
		return
	}
	w.waiting, w.nextAt = false, b.now+o.RetryAfter
	for _, s := range o.Stops {
		if r := w.runs[s.Task]; r != nil && r.number == s.Run {
			b.stopped = append(b.stopped, r.step)
			w.end(s.Task, jobs.ResultStopped)
		}
	}
	for _, s := range o.Starts {
		if w.runs[s.Task] == nil {
			w.runs[s.Task] = &busyRun{number: s.Run, step: &b.State.Jobs[s.Task.Job].Steps[s.Task.Step], startedAt: b.now}
		}
	}
}

// run lets time pass.
func (b *busyPool) run(duration clock.Millis) {
	for until := b.now + duration; b.now < until; {
		b.step()
	}
}

// runningOn returns the workers that run tasks of a job, once for each task.
func (b *busyPool) runningOn(id jobs.ID) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(b.workers)) {
		for t := range b.workers[name].runs {
			if t.Job == id {
				out = append(out, name)
			}
		}
	}
	return out
}

// waitFor lets time pass until all tasks of a job run, and fails if they do not
// within the limit.
func (b *busyPool) waitFor(id jobs.ID, tasks int, limit clock.Millis) {
	b.t.Helper()
	for from := b.now; len(b.runningOn(id)) < tasks; b.step() {
		assert.Assert(b.t, b.now-from <= limit, "%d of %d tasks of %s run after %d ms", len(b.runningOn(id)), tasks, id, b.now-from)
	}
}

// usedMemory returns the memory of the runs on all workers.
func (b *busyPool) usedMemory() int {
	used := 0
	for _, w := range b.workers {
		for _, r := range w.runs {
			used += r.step.Resources.MemoryMiB
		}
	}
	return used
}

// finiteSteps returns a source of finite steps of the given memory in MiB, whose
// tasks take between shortest and twice that.
func finiteSteps(memoryMiB int, shortest clock.Millis) func() jobs.Step {
	r := rand.New(rand.NewPCG(3, 4))
	return func() jobs.Step {
		return jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: memoryMiB}, Estimate: shortest + clock.Millis(r.IntN(int(shortest)))}
	}
}

// largeStep is a long-running task that takes a third of a worker's memory.
var largeStep = jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1500, MemoryMiB: 11_000}, LongRunning: true}

// TestLargeLongRunningTaskStartsInBusyPool guards against a long-running task that
// never runs because smaller tasks of lower rank take the resources of each task
// that ends.
func TestLargeLongRunningTaskStartsInBusyPool(t *testing.T) {
	wholeWorker := largeStep
	wholeWorker.Resources = jobs.Resources{MilliCores: 16_000, MemoryMiB: 20_000}
	several := largeStep
	several.TaskCount, several.MaxPerWorker = 3, 1
	for _, c := range []struct {
		name   string
		step   jobs.Step
		finite func() jobs.Step
	}{
		{"memory", largeStep, finiteSteps(4000, 1000)},
		{"processors", wholeWorker, finiteSteps(1000, 1000)},
		{"one task on each worker", several, finiteSteps(4000, 1000)},
		{"finite tasks of four seconds", several, finiteSteps(5000, 2000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBusyPool(t, 3, c.finite)
			b.run(3 * clock.Second)
			b.submit("serve", c.step)
			b.waitFor("serve", c.step.TaskCount, runAgainMillis)
			assert.Equal(t, len(b.stopped), 0, "finite tasks were stopped although room became free in time")
		})
	}
}

// TestFailedLongRunningTaskKeepsItsRoom guards against a long-running task that
// loses the room that it had to tasks of lower rank after a failed run, because it
// waits for another worker first.
func TestFailedLongRunningTaskKeepsItsRoom(t *testing.T) {
	b := newBusyPool(t, 2, nil)
	b.submit("serve", largeStep)
	b.waitFor("serve", 1, clock.Second)
	b.backlog = finiteSteps(4000, 3000)
	b.run(3 * clock.Second)
	for range 3 {
		w := b.workers[b.runningOn("serve")[0]]
		w.end(jobs.TaskID{Job: "serve"}, jobs.ResultFailed)
		// The end is reported once the outstanding heartbeat has been answered.
		b.waitFor("serve", 1, b.settings.MaxReplyDelayMillis+otherWorkerWaitMillis+b.settings.MaxRetryMillis)
		b.run(500)
	}
}

// TestRestartedWorkerTakesLargeTasksFirst guards against long-running tasks of a
// worker that has restarted waiting while smaller tasks take its resources.
func TestRestartedWorkerTakesLargeTasksFirst(t *testing.T) {
	b := newBusyPool(t, 3, finiteSteps(4000, 1500))
	several := largeStep
	several.TaskCount, several.MaxPerWorker = 3, 1
	b.submit("serve", several)
	b.waitFor("serve", 3, runAgainMillis)
	b.submit("watch", several)
	b.waitFor("watch", 3, runAgainMillis)
	b.workers["w1"] = &busyWorker{incarnation: 2, runs: map[jobs.TaskID]*busyRun{}}
	b.waitFor("serve", 3, clock.Second)
	b.waitFor("watch", 3, clock.Second)
}

// TestReservationFollowsWorkers guards against room that is reserved on a worker
// that takes no new tasks any more, or that has gone silent, while the task could
// get room on another one.
func TestReservationFollowsWorkers(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(b *busyPool, name string)
	}{
		{"cordoned", func(b *busyPool, name string) { b.fixture.workers[jobs.WorkerID(name)].cordoned = true }},
		{"vacating", func(b *busyPool, name string) { b.fixture.workers[jobs.WorkerID(name)].vacating = true }},
		{"draining", func(b *busyPool, name string) { b.fixture.workers[jobs.WorkerID(name)].draining = true }},
		{"quarantined", func(b *busyPool, name string) {
			b.fixture.workers[jobs.WorkerID(name)].quarantinedUntil = b.now + clock.Minute
		}},
		{"silent", func(b *busyPool, name string) { delete(b.workers, name) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBusyPool(t, 3, finiteSteps(4000, 1000))
			b.run(3 * clock.Second)
			b.submit("serve", largeStep)
			b.run(300)
			for w := range b.pool("p").reserved {
				c.leave(b, string(w.id))
			}
			b.waitFor("serve", 1, runAgainMillis-300)
		})
	}
}

// TestReservationEndsWithItsTask guards against resources that stay reserved for a
// task that was cancelled or that runs.
func TestReservationEndsWithItsTask(t *testing.T) {
	b := newBusyPool(t, 2, finiteSteps(4000, 1000))
	b.run(3 * clock.Second)
	b.submit("serve", largeStep)
	b.run(300)
	b.Cancel(jobs.CancelKey{Job: "serve"}, b.now)
	b.run(200)
	assert.Equal(t, len(b.pool("p").reserved), 0)
	assert.Equal(t, b.usedMemory(), 2*32_000)
	b.submit("again", largeStep)
	b.waitFor("again", 1, runAgainMillis)
	b.run(100)
	assert.Equal(t, len(b.pool("p").reserved), 0)
}

// TestReservationHoldsOnlyWhatIsNeeded guards against a waiting task that keeps more
// of a pool free than it needs: it starts beside other tasks, and other workers are
// not held. It also guards against reserving for a task that fits on no worker.
func TestReservationHoldsOnlyWhatIsNeeded(t *testing.T) {
	b := newBusyPool(t, 4, finiteSteps(2000, 1000))
	b.run(3 * clock.Second)
	b.submit("serve", largeStep)
	// While the task waits, less than its memory is unused on average.
	passed, unused := 0, 0
	for ; len(b.runningOn("serve")) == 0; passed++ {
		b.step()
		unused += 4*32_000 - b.usedMemory()
		assert.Assert(t, passed*int(busyTickMillis) <= int(runAgainMillis))
	}
	assert.Assert(t, unused/passed < largeStep.Resources.MemoryMiB, "%d MiB are unused", unused/passed)
	tooLarge := largeStep
	tooLarge.Resources.MemoryMiB = 33_000
	elsewhere := largeStep
	elsewhere.RequiredLabel = "b"
	b.submit("too-large", tooLarge)
	b.submit("elsewhere", elsewhere)
	passed, unused = 0, 0
	for ; passed < 300; passed++ {
		b.step()
		unused += 4*32_000 - b.usedMemory()
	}
	assert.Assert(t, unused/passed < 4*2000, "%d MiB are unused", unused/passed)
	assert.Equal(t, len(b.stopped), 0)
}

// TestReservationLeavesOtherResources guards against a reservation of processors
// that also keeps off the tasks that reserve none, and against a report that says
// that a finite task could start on resources that are reserved.
func TestReservationLeavesOtherResources(t *testing.T) {
	f := newFixture(Defaults())
	wide := smallStep
	wide.TaskCount, wide.Estimate = 10, 10*clock.Second
	f.submit("wide", wide)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	f.submit("serve", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 10_000, MemoryMiB: 1000}, LongRunning: true})
	f.submit("held", smallStep)
	bestEffort := smallStep
	bestEffort.BestEffort = true
	f.submit("best-effort", bestEffort)
	f.now += 100
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	assert.Equal(t, f.State.Jobs["best-effort"].Task(jobs.TaskID{Job: "best-effort"}).Phase, jobs.PhaseAssigned)
	assert.Equal(t, f.State.Jobs["held"].Task(jobs.TaskID{Job: "held"}).Phase, jobs.PhaseWaiting)
	report, _ := f.Explain("held", f.now)
	assert.Equal(t, report.Steps[0].WaitReason, WaitCapacity)
}

// TestGangAndLongRunningTaskBothStart guards against a gang and a long-running task
// that wait for each other's reserved resources.
func TestGangAndLongRunningTaskBothStart(t *testing.T) {
	for _, gangFirst := range []bool{false, true} {
		t.Run(fmt.Sprint("gang first ", gangFirst), func(t *testing.T) {
			b := newBusyPool(t, 3, finiteSteps(4000, 1000))
			b.run(3 * clock.Second)
			gang := jobs.Step{TaskCount: 4, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 14_000}, Estimate: 500, Gang: true}
			several := largeStep
			several.TaskCount, several.MaxPerWorker = 2, 1
			if gangFirst {
				b.submit("gang", gang)
				b.run(300)
			}
			b.submit("serve", several)
			b.submit("gang", gang)
			b.waitFor("serve", 2, runAgainMillis)
			b.waitFor("gang", 4, runAgainMillis)
		})
	}
}

// TestLongRunningTasksRunAgainAfterFaults plays random failures and crashes in a full
// pool. It guards against a long-running task that does not run for as long as it
// takes until users miss it, although the workers have room for all of them.
func TestLongRunningTasksRunAgainAfterFaults(t *testing.T) {
	for seed := range uint64(10) {
		playFaults(t, seed, 4*clock.Second)
	}
}

// playFaults plays random failures and crashes for 30 s in a full pool whose finite
// tasks take up to longest. It fails if a long-running task does not run again in
// time.
func playFaults(t *testing.T, seed uint64, longest clock.Millis) {
	t.Helper()
	b := newBusyPool(t, 4, nil)
	b.rand = rand.New(rand.NewPCG(seed, 5))
	b.backlog = func() jobs.Step {
		return jobs.Step{
			TaskCount: 1 + b.rand.IntN(8), Resources: jobs.Resources{MilliCores: 500 + b.rand.IntN(5000), MemoryMiB: 500 + b.rand.IntN(10_000)},
			Estimate: clock.Millis(200 + b.rand.IntN(int(longest))), Checkpoints: b.rand.IntN(2) == 0,
		}
	}
	several := largeStep
	several.TaskCount, several.MaxPerWorker = 3, 1
	b.submit("serve", several)
	b.submit("watch", several)
	seenAt := map[jobs.ID]clock.Millis{"serve": b.now, "watch": b.now}
	for range 3000 {
		b.step()
		b.injectFault()
		for id, at := range seenAt {
			if len(b.runningOn(id)) == several.TaskCount {
				seenAt[id] = b.now
			}
			assert.Assert(t, b.now-at <= runAgainMillis, "seed %d: %s runs %d tasks", seed, id, len(b.runningOn(id)))
		}
	}
}

// injectFault lets a long-running task fail or restarts a worker, about every four
// seconds.
func (b *busyPool) injectFault() {
	if b.rand.IntN(400) > 0 {
		return
	}
	name := fmt.Sprint("w", b.rand.IntN(len(b.workers)))
	w := b.workers[name]
	for _, t := range slices.SortedFunc(maps.Keys(w.runs), compareTaskIDs) {
		if w.runs[t].step.LongRunning {
			w.end(t, jobs.ResultFailed)
			return
		}
	}
	b.workers[name] = &busyWorker{incarnation: w.incarnation + 1, runs: map[jobs.TaskID]*busyRun{}}
}

// TestFailingTasksLeaveRoomForOthers guards against long-running tasks that fail again
// and again and keep a task of lower rank from resources that they do not use.
func TestFailingTasksLeaveRoomForOthers(t *testing.T) {
	f := newFixture(Defaults())
	step := lastingStep
	step.TaskCount, step.MaxPerWorker, step.Resources.MilliCores, step.Resources.MemoryMiB = 5, 4, 4000, 100
	f.submit("failing", step)
	step.TaskCount = 1
	f.submit("b", step)
	startedAt, lastEnd := map[jobs.TaskID]Start{}, int64(0)
	for end := f.now + 6*clock.Second; f.now < end; f.now += 50 {
		var running []RunStatus
		var ends []RunEnd
		for _, id := range sortedTaskIDs(startedAt) {
			if f.State.Task(id).Phase != jobs.PhaseAssigned || f.now%clock.Millis(200+100*id.Index) != 0 {
				running = append(running, RunStatus{Task: id, Run: startedAt[id].Run, Percent: 100})
				continue
			}
			lastEnd++
			ends = append(ends, RunEnd{Number: lastEnd, Task: id, Run: startedAt[id].Run, Result: jobs.ResultFailed})
			delete(startedAt, id)
		}
		f.heartbeat("w1", 1, running, ends...)
		for _, s := range ordersFor(f.Pass(f.now), "w1").Starts {
			if s.Task.Job == "b" {
				return
			}
			startedAt[s.Task] = s
		}
	}
	t.Fatal("the task of lower rank did not start within 6 s")
}
