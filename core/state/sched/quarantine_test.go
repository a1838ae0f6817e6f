package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// roundMillis is the time between two heartbeats of a worker in these tests.
const roundMillis clock.Millis = 100

// poolFixture is a fixture with several workers, each of which runs its tasks for
// one round.
type poolFixture struct {
	*fixture
	workers []string
	orders  map[string]Orders
	// notes holds the notes of the passes in stall.
	notes []Note
	// endNumbers holds the number of run ends that each worker has reported.
	endNumbers map[string]int64
}

func newPoolFixture(workers int) *poolFixture {
	f := &poolFixture{fixture: newFixture(Defaults()), orders: map[string]Orders{}, endNumbers: map[string]int64{}}
	for n := range workers {
		f.workers = append(f.workers, fmt.Sprintf("w%d", n))
	}
	return f
}

// round lets all workers send a heartbeat that reports the end of the tasks that
// they were ordered to start in the round before. result decides how a task ends.
func (f *poolFixture) round(result func(worker string, t jobs.TaskID) jobs.Result) {
	f.now += roundMillis
	for _, id := range f.workers {
		var ends []RunEnd
		for _, s := range f.orders[id].Starts {
			f.endNumbers[id]++
			ends = append(ends, RunEnd{Number: f.endNumbers[id], Task: s.Task, Run: s.Run, Result: result(id, s.Task)})
		}
		f.heartbeat(id, 1, nil, ends...)
	}
	plan := f.Pass(f.now)
	for _, id := range f.workers {
		f.orders[id] = ordersFor(plan, id)
	}
}

// submitTo submits a job with one small task to a queue of the pool.
func (f *poolFixture) submitTo(queue jobs.QueueName, id string) {
	f.Submit(jobs.Job{
		ID: jobs.ID(id), Queue: queue, Pool: "p", MaxAttempts: 3, Target: 3000, StretchPermille: 1500,
		Steps: []jobs.Step{{TaskCount: 1, Resources: jobs.Resources{MilliCores: 4000, MemoryMiB: 100}, Estimate: 100}},
	}, f.now)
}

func (f *poolFixture) quarantined() []string {
	var out []string
	for _, id := range f.workers {
		if f.fixture.workers[jobs.WorkerID(id)].quarantinedUntil > f.now {
			out = append(out, id)
		}
	}
	return out
}

// failsIn returns the results of tasks where those of the given queue fail on
// every worker and all others succeed.
func (f *poolFixture) failsIn(queue jobs.QueueName) func(string, jobs.TaskID) jobs.Result {
	return func(_ string, t jobs.TaskID) jobs.Result {
		if f.State.Jobs[t.Job].Queue == queue {
			return jobs.ResultFailed
		}
		return jobs.ResultDone
	}
}

// TestFailingQueueKeepsWorkers guards against jobs that fail on every worker and
// get all workers of their pool quarantined, so that the other jobs of the pool
// wait.
func TestFailingQueueKeepsWorkers(t *testing.T) {
	const workers, rounds = 8, 100
	f := newPoolFixture(workers)
	most := 0
	for n := range rounds {
		for k := range 6 {
			f.submitTo("failing", fmt.Sprintf("bad-%d-%d", n, k))
		}
		f.submitTo("q", fmt.Sprintf("good-%d", n))
		f.round(f.failsIn("failing"))
		most = max(most, len(f.quarantined()))
	}
	// A few failures at the start look like faults of the workers, because
	// nothing is known of the queue.
	assert.Assert(t, most <= workers*f.settings.MaxQuarantinedPercent/100, "%d of %d workers are quarantined", most, workers)
	assert.Equal(t, len(f.quarantined()), 0)
}

// TestReturningWorkerIsNotBlamedForJob guards against a worker that is quarantined
// again, after its quarantine has ended, because of a job that had failed on
// another worker before.
func TestReturningWorkerIsNotBlamedForJob(t *testing.T) {
	f := newPoolFixture(1)
	for _, id := range []string{"a", "b", "c"} {
		f.submitTo("q", id)
	}
	fails := func(string, jobs.TaskID) jobs.Result { return jobs.ResultFailed }
	f.round(fails)
	f.round(fails)
	assert.DeepEqual(t, f.quarantined(), []string{"w0"})
	for _, id := range []string{"a", "b", "c"} {
		f.Cancel(jobs.CancelKey{Job: jobs.ID(id)}, f.now)
	}
	f.now += f.settings.QuarantineMillis

	// The job fails on w1, then on w0.
	f.workers = []string{"w1"}
	f.submitTo("q", "d")
	f.round(fails)
	assert.Equal(t, len(f.orders["w1"].Starts), 1)
	f.round(fails)
	f.workers = []string{"w0"}
	f.round(fails)
	assert.Equal(t, len(f.orders["w0"].Starts), 1)
	f.round(fails)
	assert.Equal(t, len(f.quarantined()), 0)
}

// TestOneFailureAfterQuarantineIsNotEnough guards against a worker that is
// quarantined for good by single failures of jobs, because what led to its first
// quarantine counts again.
func TestOneFailureAfterQuarantineIsNotEnough(t *testing.T) {
	f := newPoolFixture(1)
	fails := func(string, jobs.TaskID) jobs.Result { return jobs.ResultFailed }
	for _, id := range []string{"a", "b"} {
		f.submitTo("q", id)
	}
	f.round(fails)
	f.round(fails)
	assert.DeepEqual(t, f.quarantined(), []string{"w0"})
	for _, id := range []string{"a", "b"} {
		f.Cancel(jobs.CancelKey{Job: jobs.ID(id)}, f.now)
	}
	f.now += f.settings.QuarantineMillis
	f.submitTo("q", "c")
	f.round(fails)
	assert.Equal(t, len(f.orders["w0"].Starts), 1)
	f.round(fails)
	assert.Equal(t, len(f.quarantined()), 0)
}

// TestFailureElsewhereEndsQuarantine guards against a worker that stays
// quarantined because of jobs that then fail on another worker too, and against
// the quarantine of that other worker.
func TestFailureElsewhereEndsQuarantine(t *testing.T) {
	f := newPoolFixture(1)
	fails := func(string, jobs.TaskID) jobs.Result { return jobs.ResultFailed }
	for _, id := range []string{"a", "b", "c"} {
		f.submitTo("q", id)
	}
	f.round(fails)
	f.round(fails)
	assert.DeepEqual(t, f.quarantined(), []string{"w0"})
	f.workers = []string{"w0", "w1"}
	f.round(fails)
	assert.Equal(t, len(f.orders["w1"].Starts), 3)
	f.round(fails)
	assert.Equal(t, len(f.quarantined()), 0)
}

// TestBrokenWorkerAmongOthersIsQuarantined guards against a worker on which every
// task fails and that keeps getting tasks, or another worker that is quarantined.
func TestBrokenWorkerAmongOthersIsQuarantined(t *testing.T) {
	const workers = 8
	f := newPoolFixture(workers)
	broken := func(worker string, _ jobs.TaskID) jobs.Result {
		if worker == "w3" {
			return jobs.ResultFailed
		}
		return jobs.ResultDone
	}
	failures := 0
	for n := range 20 {
		for k := range 2 * workers {
			f.submitTo("q", fmt.Sprintf("job-%d-%d", n, k))
		}
		failures += len(f.orders["w3"].Starts)
		f.round(broken)
	}
	assert.DeepEqual(t, f.quarantined(), []string{"w3"})
	assert.Assert(t, failures <= 8, "%d runs failed before the quarantine", failures)
}

// TestSuccessElsewhereBlamesBothWorkers guards against two broken workers that are
// not quarantined, because each job that fails on one of them fails on the other
// too before it succeeds on a third.
func TestSuccessElsewhereBlamesBothWorkers(t *testing.T) {
	f := newPoolFixture(3)
	broken := func(worker string, _ jobs.TaskID) jobs.Result {
		if worker == "w2" {
			return jobs.ResultDone
		}
		return jobs.ResultFailed
	}
	all := f.workers
	for k := range 3 {
		// The job fails on w0, then on w1, and succeeds on w2.
		f.submitTo("q", fmt.Sprintf("job-%d", k))
		for _, id := range all {
			f.workers = []string{id}
			f.round(broken)
			assert.Equal(t, len(f.orders[id].Starts), 1)
			f.round(broken)
			f.Pass(f.now + f.settings.MaxReplyDelayMillis)
		}
	}
	f.workers = all
	assert.DeepEqual(t, f.quarantined(), []string{"w0"})
	// At most one of three workers may be quarantined, so w1 is not.
	w1 := f.fixture.workers["w1"]
	assert.Assert(t, w1.failureScore >= f.healthPolicy.Threshold() && len(w1.failedJobs) == 3, "score %.1f, %d jobs", w1.failureScore, len(w1.failedJobs))
}

// failJobs lets a number of jobs fail on a worker, each of them once. They are of a
// queue of which nothing is known.
func (f *poolFixture) failJobs(worker string, n int) {
	w := f.fixture.workers[jobs.WorkerID(worker)]
	for k := range n {
		id := jobs.ID(fmt.Sprintf("%s-%d-%d", worker, f.now, k))
		f.submitTo(jobs.QueueName("queue-"+worker), string(id))
		rec := f.State.Jobs[id]
		f.updateHealth(w, &run{task: jobs.TaskID{Job: id}, number: 1, rec: rec, step: &rec.Steps[0]}, true, f.now)
	}
}

// TestQuarantineIsBounded guards against a pool without usable workers: even if
// jobs fail on each of its workers, only MaxQuarantinedPercent of them may be
// quarantined, and these are the workers on which the most jobs failed.
func TestQuarantineIsBounded(t *testing.T) {
	f := newPoolFixture(8)
	f.round(nil)
	for n, failedJobs := range []int{2, 4, 2, 3, 2, 2, 2, 2} {
		f.failJobs(f.workers[n], failedJobs)
	}
	assert.DeepEqual(t, f.quarantined(), []string{"w1", "w3"})
	assert.Equal(t, f.settings.MaxQuarantinedPercent, 25)
}

// TestOnlyWorkerIsQuarantinedBriefly guards against work that waits for the whole
// quarantine of a pool's only worker, although no other one can take it.
func TestOnlyWorkerIsQuarantinedBriefly(t *testing.T) {
	f := newPoolFixture(1)
	f.round(nil)
	f.failJobs("w0", 2)
	assert.DeepEqual(t, f.quarantined(), []string{"w0"})
	f.now += f.settings.MoveMillis
	assert.Equal(t, len(f.quarantined()), 0)
}

// TestLeavingWorkersDoNotRaiseBound guards against the quarantine of the last
// usable workers of a pool while others drain or are to be maintained.
func TestLeavingWorkersDoNotRaiseBound(t *testing.T) {
	f := newPoolFixture(8)
	f.round(nil)
	for _, id := range f.workers[4:6] {
		f.fixture.workers[jobs.WorkerID(id)].draining = true
	}
	for _, id := range f.workers[6:] {
		f.fixture.workers[jobs.WorkerID(id)].cordoned = true
	}
	for _, id := range f.workers[:4] {
		f.failJobs(id, 2)
	}
	assert.Equal(t, len(f.quarantined()), 1)
}

// stall lets every worker report, until now has passed the limit for tasks without
// progress, that the tasks it was ordered to start make none.
func (f *poolFixture) stall() {
	running := map[string][]RunStatus{}
	for id, o := range f.orders {
		for _, s := range o.Starts {
			running[id] = append(running[id], RunStatus{Task: s.Task, Run: s.Run})
		}
	}
	for range 2 {
		for _, id := range f.workers {
			f.heartbeat(id, 1, running[id])
		}
		f.notes = append(f.notes, f.Pass(f.now).Notes...)
		f.now += f.settings.StallMillis + clock.Second
	}
	f.now -= f.settings.StallMillis + clock.Second
}

// endStopped lets a worker report that it has stopped the tasks that it was
// ordered to start.
func (f *poolFixture) endStopped(id string) {
	var ends []RunEnd
	for _, s := range f.orders[id].Starts {
		f.endNumbers[id]++
		ends = append(ends, RunEnd{Number: f.endNumbers[id], Task: s.Task, Run: s.Run, Result: jobs.ResultStopped})
	}
	f.heartbeat(id, 1, nil, ends...)
}

// TestStallIsNoted guards against a worker that is quarantined, because a task on
// it makes no progress, without a line in the log that says so.
func TestStallIsNoted(t *testing.T) {
	f := newPoolFixture(1)
	f.submitTo("q", "a")
	f.round(nil)
	f.stall()
	assert.DeepEqual(t, f.quarantined(), []string{"w0"})
	noted := 0
	for _, n := range f.notes {
		if n.Decision == DecisionQuarantined && n.Worker == "w0" {
			noted++
		}
	}
	assert.Equal(t, noted, 1)
}

// TestStallsQuarantineNoPool guards against a pool without usable workers because
// each of them runs a task that makes no progress.
func TestStallsQuarantineNoPool(t *testing.T) {
	f := newPoolFixture(8)
	for k := range 4 * len(f.workers) {
		f.submitTo("q", fmt.Sprintf("job-%d", k))
	}
	f.round(nil)
	f.stall()
	assert.Equal(t, len(f.quarantined()), 2)
}

// TestJobThatStallsElsewhereIsBlamed guards against a job that makes no progress on
// any worker and gets one worker after the other quarantined.
func TestJobThatStallsElsewhereIsBlamed(t *testing.T) {
	f := newPoolFixture(1)
	f.submitTo("q", "a")
	f.round(nil)
	f.stall()
	assert.DeepEqual(t, f.quarantined(), []string{"w0"})
	f.endStopped("w0")
	f.workers = []string{"w1"}
	f.round(nil)
	assert.Equal(t, len(f.orders["w1"].Starts), 1)
	f.orders["w0"] = Orders{}
	f.stall()
	f.workers = []string{"w0", "w1"}
	assert.Equal(t, len(f.quarantined()), 0)
}

// TestFailuresOfLongRunningTasksDoNotCount guards against the quarantine of
// workers because of long-running tasks, which fail at any time but never succeed.
func TestFailuresOfLongRunningTasksDoNotCount(t *testing.T) {
	f := newPoolFixture(1)
	for k := range 3 {
		f.submit(fmt.Sprintf("serve-%d", k), jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 100, MemoryMiB: 100}, LongRunning: true})
	}
	f.round(nil)
	assert.Equal(t, len(f.orders["w0"].Starts), 3)
	f.round(func(string, jobs.TaskID) jobs.Result { return jobs.ResultFailed })
	assert.Equal(t, len(f.quarantined()), 0)
}
