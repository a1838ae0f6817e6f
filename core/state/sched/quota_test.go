package sched

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// quotaFixture is a fixture with two pools and customers.
type quotaFixture struct {
	*fixture
}

// fourCores is a quota for four tasks of smallStep.
var fourCores = jobs.Resources{MilliCores: 4000}

// newQuotaFixture returns a fixture with customer "a", which has the given quota, and
// customer "b", which has none.
func newQuotaFixture(quota jobs.Resources) *quotaFixture {
	f := &quotaFixture{newFixture(Defaults())}
	f.configure(jobs.Customer{Name: "a", Quota: quota}, jobs.Customer{Name: "b"})
	return f
}

// configure makes a configuration with the given customers the current one.
func (f *quotaFixture) configure(customers ...jobs.Customer) {
	c := f.State.Config
	c.Version++
	c.Customers = customers
	queue := c.Queues[0]
	queue.Name, queue.Prefix, queue.Pool, queue.Advice = "q2", "/2/", "other", jobs.AdvicePolicy{}
	c.Queues = []jobs.Queue{c.Queues[0], queue}
	f.Configure(c, f.now)
}

// submitFor submits a job of a customer to a queue.
func (f *quotaFixture) submitFor(customer jobs.CustomerName, queue jobs.QueueName, id jobs.ID, steps ...jobs.Step) {
	pool := jobs.PoolName("p")
	if queue == "q2" {
		pool = "other"
	}
	f.Submit(jobs.Job{ID: id, Queue: queue, Pool: pool, Customer: customer, MaxAttempts: 2, Target: 3000, StretchPermille: 1500, Steps: steps}, f.now)
}

// beat sends a heartbeat of a worker that lists all runs assigned to it, except those of
// the ended jobs, which it reports as done, or as stopped if they were to stop.
func (f *quotaFixture) beat(id string, pool jobs.PoolName, ended ...jobs.ID) {
	h := Heartbeat{
		Worker: jobs.WorkerID(id), Incarnation: 1, Machine: jobs.MachineID("m-" + id), Pool: pool, Labels: []string{"a", "r1-1"},
		Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, ReceivedAt: f.now,
	}
	if w := f.workers[h.Worker]; w != nil {
		for _, t := range sortedTaskIDs(w.runs) {
			r := w.runs[t]
			if !slices.Contains(ended, t.Job) {
				h.Running = append(h.Running, RunStatus{Task: t, Run: r.number, Percent: 100})
				continue
			}
			result := jobs.ResultDone
			if r.stopping {
				result = jobs.ResultStopped
			}
			h.Ends = append(h.Ends, RunEnd{Number: f.seq*100 + int64(len(h.Ends)) + 1, Task: t, Run: r.number, Result: result})
		}
	}
	f.seq++
	h.Seq = f.seq
	f.Heartbeat(h, f.now)
}

// pass runs a pass and returns the tasks that it starts.
func (f *quotaFixture) pass() []jobs.TaskID { return startedBy(f.Pass(f.now)) }

// startedBy returns the tasks that a plan starts.
func startedBy(p Plan) []jobs.TaskID {
	var started []jobs.TaskID
	for _, o := range p.Ops {
		if o.Kind == jobs.OpAssign {
			started = append(started, o.Task)
		}
	}
	return started
}

// tasks returns a finite step with n tasks of smallStep.
func tasks(n int) jobs.Step {
	step := smallStep
	step.TaskCount = n
	return step
}

func (f *quotaFixture) waitReason(id jobs.ID) WaitReason {
	report, _ := f.Explain(id, f.now)
	return report.Steps[0].WaitReason
}

// TestQuotaLimitsStarts guards against starts beyond the quota, against a quota that
// limits another customer or jobs without one, and against a task that waits although a
// run of its customer has ended.
func TestQuotaLimitsStarts(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q", "first", tasks(3))
	f.submitFor("a", "q", "second", tasks(3))
	f.submitFor("b", "q", "other", tasks(3))
	f.submitFor("", "q", "none", tasks(3))
	f.beat("w1", "p")
	started := f.pass()
	assert.Equal(t, len(started), 10)
	assert.Equal(t, f.customers["a"].held, jobs.Resources{MilliCores: 4000, MemoryMiB: 400})
	report, _ := f.Explain("second", f.now)
	assert.Equal(t, report.Steps[0].WaitReason, WaitQuota)
	assert.Equal(t, report.Steps[0].WaitDetail,
		"the tasks of customer a hold 4000 of 4000 milli-cores, 400 MiB, 0 accelerators, and a task needs 1000 milli-cores, 100 MiB, 0 accelerators")
	f.now += 100
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 0)
	f.now += 100
	f.beat("w1", "p", "first")
	assert.DeepEqual(t, f.pass(), []jobs.TaskID{{Job: "second", Index: 1}, {Job: "second", Index: 2}})
	f.checkConsistency(t.Errorf)
}

// TestLargeTaskStartsAlone guards against a task or gang that exceeds the quota by
// itself and starts beside other work of its customer, or never.
func TestLargeTaskStartsAlone(t *testing.T) {
	large := smallStep
	large.Resources.MilliCores = 5000
	for name, step := range map[string]jobs.Step{"task": large, "gang": gangStep} {
		t.Run(name, func(t *testing.T) {
			f := newQuotaFixture(fourCores)
			f.submitFor("a", "q", "small", tasks(1))
			f.beat("w1", "p")
			f.beat("w2", "p")
			assert.Equal(t, len(f.pass()), 1)
			f.submitFor("a", "q", "large", step)
			f.now += 100
			f.beat("w1", "p")
			f.beat("w2", "p")
			assert.Equal(t, len(f.pass()), 0)
			f.now += 100
			f.beat("w1", "p", "small")
			f.beat("w2", "p", "small")
			assert.Equal(t, len(f.pass()), step.TaskCount)
			f.submitFor("a", "q", "next", tasks(1))
			f.now += 100
			f.beat("w1", "p")
			f.beat("w2", "p")
			assert.Equal(t, len(f.pass()), 0)
		})
	}
}

// TestGangCountsAsAWhole guards against a gang of which each task, but not all together,
// fits in the quota, and which starts and brings its customer above the quota.
func TestGangCountsAsAWhole(t *testing.T) {
	f := newQuotaFixture(jobs.Resources{MilliCores: 24_000})
	f.submitFor("a", "q", "small", tasks(1))
	f.beat("w1", "p")
	f.beat("w2", "p")
	assert.Equal(t, len(f.pass()), 1)
	f.submitFor("a", "q", "gang", gangStep)
	assert.Equal(t, len(f.pass()), 0)
	assert.Equal(t, f.waitReason("gang"), WaitQuota)
	f.now += 100
	f.beat("w1", "p", "small")
	f.beat("w2", "p", "small")
	assert.Equal(t, len(f.pass()), 6)
}

// TestBestEffortTasksCountInFull guards against best-effort tasks that count without
// their processors, which they do not reserve on a worker.
func TestBestEffortTasksCountInFull(t *testing.T) {
	f := newQuotaFixture(fourCores)
	step := tasks(6)
	step.BestEffort = true
	f.submitFor("a", "q", "j", step)
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 4)
}

// TestRunsCountUntilTheirEnd guards against a start for a customer whose runs may still
// go on: those being stopped, those of cancelled jobs and those of a silent worker.
func TestRunsCountUntilTheirEnd(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q", "old", tasks(4))
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 4)
	f.submitFor("a", "q", "new", tasks(4))
	f.Cancel(jobs.CancelKey{Job: "old", Customer: "a"}, f.now)
	f.beat("w2", "p")
	assert.Equal(t, len(f.pass()), 0)
	f.now += 100
	f.beat("w1", "p")
	f.beat("w2", "p")
	assert.Equal(t, len(f.pass()), 0)
	// The lease of w1 ends while w2 goes on.
	until := f.now + f.maxLease()
	for f.now < until {
		f.now += 200
		f.beat("w2", "p")
		if started := f.pass(); f.now <= until {
			assert.Equal(t, len(started), 0)
		} else {
			assert.Equal(t, len(started), 4)
		}
	}
}

// TestUnassignedRunsCount guards against a start for a customer of which a worker runs
// tasks that are not assigned to it.
func TestUnassignedRunsCount(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q", "old", tasks(4))
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 4)
	f.RemoveWorker("w1", 1, f.now)
	f.Cancel(jobs.CancelKey{Job: "old", Customer: "a"}, f.now)
	f.submitFor("a", "q", "new", tasks(4))
	var running []RunStatus
	for n := range 3 {
		running = append(running, RunStatus{Task: jobs.TaskID{Job: "old", Index: n}, Run: 1})
	}
	f.heartbeat("w2", 1, running)
	f.beat("w3", "p")
	assert.Equal(t, len(f.pass()), 1)
	f.checkConsistency(t.Errorf)
	f.now += 100
	f.beat("w2", "p")
	f.beat("w3", "p")
	assert.Equal(t, len(f.pass()), 3)
	f.checkConsistency(t.Errorf)
}

// TestNewLeaderCountsAssignedRuns guards against starts beyond the quota after a change
// of leader, before the workers of the assigned runs were heard.
func TestNewLeaderCountsAssignedRuns(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q", "old", tasks(3))
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 3)
	f.submitFor("a", "q", "new", tasks(3))
	f.Pass(f.now)
	f.testScheduler = New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now)
	f.beat("w2", "p")
	assert.Equal(t, len(f.pass()), 1)
	f.checkConsistency(t.Errorf)
	f.now += f.maxLease() + 1
	f.beat("w2", "p")
	// The old job's tasks, which rank first, start again.
	assert.DeepEqual(t, f.pass(), []jobs.TaskID{{Job: "old", Index: 2}, {Job: "old", Index: 1}, {Job: "old"}})
}

// TestChangedQuotaApplies guards against a lower quota that stops runs or lets others
// start, and against a higher one, or the removal of the customer, that lets none start.
func TestChangedQuotaApplies(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q", "j", tasks(10))
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 4)
	f.configure(jobs.Customer{Name: "a", Quota: jobs.Resources{MilliCores: 2000}})
	f.now += 100
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 0)
	assert.Equal(t, f.stopping("w1"), 0)
	f.configure(jobs.Customer{Name: "a", Quota: jobs.Resources{MilliCores: 6000}})
	assert.Equal(t, len(f.pass()), 2)
	f.now += 100
	f.beat("w1", "p")
	f.configure()
	assert.Equal(t, len(f.pass()), 4)
	f.checkConsistency(t.Errorf)
}

// TestQuotaIsSharedByPools guards against a task that waits in one pool although a run of
// its customer in another pool has ended.
func TestQuotaIsSharedByPools(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q", "here", tasks(4))
	f.beat("w1", "p")
	f.beat("w2", "other")
	assert.Equal(t, len(f.pass()), 4)
	f.submitFor("a", "q2", "there", tasks(4))
	assert.Equal(t, len(f.pass()), 0)
	f.now += 100
	f.beat("w2", "other")
	f.pass()
	f.beat("w1", "p", "here")
	assert.Equal(t, len(f.pass()), 4)
}

// TestQuotaWaitIsNotedOnce guards against a note in each pass while tasks of a customer
// wait for its quota, and against a wait without a note on its beginning and end.
func TestQuotaWaitIsNotedOnce(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q", "j", tasks(6))
	noted := map[Decision][]string{}
	for n := range 50 {
		f.beat("w1", "p")
		if n == 20 {
			f.beat("w1", "p", "j")
		}
		for _, note := range f.Pass(f.now).Notes {
			noted[note.Decision] = append(noted[note.Decision], note.Reason)
		}
		f.now += 200
	}
	assert.DeepEqual(t, noted[DecisionQuotaWait], []string{"tasks of 1 steps of customer a wait for its quota: 4000 of 4000 milli-cores, 400 MiB, 0 accelerators"})
	assert.DeepEqual(t, noted[DecisionQuotaWaitEnded], []string{"no task of customer a waits for its quota: 2000 of 4000 milli-cores, 200 MiB, 0 accelerators"})
}
