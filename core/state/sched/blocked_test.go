package sched

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// TestUnplaceableTaskKeepsNoOtherWaiting guards against quota that stays unused because
// the groups that rank first have no worker with their label.
func TestUnplaceableTaskKeepsNoOtherWaiting(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q", "fill", tasks(4))
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 4)
	labelled := tasks(1)
	labelled.RequiredLabel = "missing"
	for n := range 100 {
		f.submitFor("a", "q", jobs.ID("labelled"+strings.Repeat("x", n)), labelled)
	}
	f.submitFor("a", "q", "last", tasks(4))
	f.now += 100
	f.beat("w1", "p", "fill")
	assert.Equal(t, len(f.pass()), 4)
}

// TestBlockedTaskTakesNothing guards against long-running tasks and gangs that wait for
// their quota and yet reserve resources, stop finite tasks, request advice, hold back
// other work or have a machine moved for them.
func TestBlockedTaskTakesNothing(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.now += f.settings.TakeoverDelayMillis
	f.HandleOutcome(Action{Kind: ActionListMachines}, Outcome{Machines: []Machine{{ID: "s1", Pool: "off", Available: true, Capacity: jobs.Resources{MilliCores: 16_000}}}}, f.now)
	serve := smallStep
	serve.LongRunning, serve.Resources.MemoryMiB = true, 8000
	f.submitFor("a", "q", "running", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 4000}, LongRunning: true})
	f.submitFor("b", "q", "finite", jobs.Step{TaskCount: 3, Resources: jobs.Resources{MilliCores: 3000, MemoryMiB: 9000}, Estimate: 60 * clock.Second})
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 4)
	f.submitFor("a", "q", "serve", serve)
	f.submitFor("a", "q", "gang", gangStep)
	for range 50 {
		f.now += 200
		f.beat("w1", "p")
		plan := f.Pass(f.now)
		assert.Equal(t, len(actionsOf(plan, ActionMove)), 0)
		assert.Equal(t, len(startedBy(plan)), 0)
	}
	assert.Equal(t, f.stopping("w1"), 0)
	assert.Equal(t, len(f.pool("p").reserved), 0)
	f.submitFor("b", "q", "small", tasks(1))
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 1)
}

// TestBlockedTaskRequestsNoAdvice guards against a request to the advice service, which
// takes one at a time, for a task that waits for its quota.
func TestBlockedTaskRequestsNoAdvice(t *testing.T) {
	f := &quotaFixture{newAdvisedFixture()}
	f.configure(jobs.Customer{Name: "a", Quota: fourCores})
	f.submitFor("a", "q2", "running", tasks(4))
	f.beat("w1", "other")
	assert.Equal(t, len(f.pass()), 4)
	f.submitFor("a", "q", "blocked", tasks(2))
	f.beat("w2", "p")
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionAdvise)), 0)
}

// TestReservationsFitTheQuota guards against resources that are reserved for more
// long-running tasks than the quota lets start.
func TestReservationsFitTheQuota(t *testing.T) {
	f := newQuotaFixture(jobs.Resources{MilliCores: 8000})
	f.submitFor("b", "q", "finite", jobs.Step{TaskCount: 4, Resources: jobs.Resources{MilliCores: 4000, MemoryMiB: 100}, Estimate: 60 * clock.Second})
	f.beat("w1", "p")
	f.beat("w2", "p")
	assert.Equal(t, len(f.pass()), 4)
	wide := jobs.Step{TaskCount: 3, Resources: jobs.Resources{MilliCores: 4000, MemoryMiB: 13_000}, LongRunning: true}
	f.submitFor("b", "q", "memory", jobs.Step{TaskCount: 2, Resources: jobs.Resources{MemoryMiB: 20_000}, Estimate: 60 * clock.Second, MaxPerWorker: 1})
	f.now += 100
	f.beat("w1", "p")
	f.beat("w2", "p")
	assert.Equal(t, len(f.pass()), 2)
	f.submitFor("a", "q", "serve1", wide)
	f.submitFor("a", "q", "serve2", wide)
	f.now += 100
	f.beat("w1", "p")
	f.beat("w2", "p")
	assert.Equal(t, len(f.pass()), 0)
	var reserved jobs.Resources
	for _, resources := range f.pool("p").reserved {
		reserved = reserved.Plus(resources)
	}
	assert.Equal(t, reserved.MilliCores, 8000)
}

// TestUnblockedTaskWaitsAnew guards against a long-running task that was blocked for long
// and that stops other work or has a machine moved as soon as the quota lets it start,
// before each worker has been considered.
func TestUnblockedTaskWaitsAnew(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q2", "running", tasks(4))
	f.submitFor("b", "q", "finite", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 30_000}, Estimate: 60 * clock.Second})
	f.beat("w1", "p")
	f.beat("w2", "other")
	assert.Equal(t, len(f.pass()), 5)
	f.submitFor("a", "q", "serve", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 4000, MemoryMiB: 4000}, LongRunning: true})
	for range 40 {
		f.now += 200
		f.beat("w1", "p")
		f.beat("w2", "other")
		f.pass()
	}
	f.now += 100
	f.beat("w2", "other", "running")
	f.beat("w1", "p")
	f.pass()
	assert.Equal(t, f.stopping("w1"), 0)
	assert.Equal(t, f.machinesForUnplacedTasks(f.pool("p"), f.now), 0)
	f.now += unplacedWaitMillis + 1
	f.beat("w1", "p")
	f.pass()
	assert.Equal(t, f.stopping("w1"), 1)
	assert.Equal(t, f.machinesForUnplacedTasks(f.pool("p"), f.now), 1)
}

// TestBlockedRankIsUpdated guards against blocked work that has become late and starts
// before other blocked work that can still be on time.
func TestBlockedRankIsUpdated(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q", "running", tasks(4))
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 4)
	f.submitFor("a", "q", "late", tasks(4))
	f.now += 2 * clock.Second
	f.beat("w1", "p")
	f.submitFor("a", "q", "on time", tasks(4))
	f.pass()
	f.now += 2 * clock.Second
	f.beat("w1", "p", "running")
	assert.DeepEqual(t, f.pass(), []jobs.TaskID{{Job: "on time"}, {Job: "on time", Index: 1}, {Job: "on time", Index: 2}, {Job: "on time", Index: 3}})
}

// TestUnblockedGroupsAreForgotten guards against passes that look again and again at the
// blocked groups of customers below their quotas, for which no worker has room.
func TestUnblockedGroupsAreForgotten(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q2", "running", tasks(4))
	f.submitFor("b", "q", "fill", tasks(16))
	f.beat("w1", "p")
	f.beat("w2", "other")
	f.pass()
	for n := range 20 {
		f.submitFor("a", "q", jobs.ID("blocked"+strings.Repeat("x", n)), tasks(1))
	}
	assert.Equal(t, f.customers["a"].blockedCount, 20)
	f.now += 100
	f.beat("w2", "other", "running")
	f.pass()
	assert.Assert(t, f.hasWaiting(f.pool("p")))
	for range 5 {
		f.now += 100
		f.pass()
	}
	assert.Equal(t, len(f.unblocking), 0)
	assert.Equal(t, f.customers["a"].blockedCount, 0)
}

// TestNeedFitsTheQuota guards against machines that are moved to a pool for work that the
// quota does not let start.
func TestNeedFitsTheQuota(t *testing.T) {
	f := newQuotaFixture(fourCores)
	for n := range 10 {
		f.submitFor("a", "q", jobs.ID("j"+strings.Repeat("x", n)), tasks(100))
	}
	p := f.pool("p")
	assert.Equal(t, f.waitingMilliCoreMillis(p), 4*1000*smallStep.Estimate)
	assert.Equal(t, p.newMilliCoreMillis, 4000*rebalancePeriodMillis)
	f.beat("w1", "p")
	assert.Equal(t, len(f.pass()), 4)
	assert.Equal(t, f.waitingMilliCoreMillis(p), clock.Millis(0))
	assert.Assert(t, !f.hasWaiting(p))
	before := p.newMilliCoreMillis
	f.submitFor("a", "q", "later", tasks(100))
	assert.Equal(t, p.newMilliCoreMillis, before)
}

// TestEndedJobLeavesNoBlockedGroup guards against groups of ended jobs that stay among
// the blocked ones for ever.
func TestEndedJobLeavesNoBlockedGroup(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q", "running", tasks(4))
	f.submitFor("a", "q", "blocked", tasks(4))
	f.beat("w1", "p")
	f.pass()
	assert.Equal(t, f.customers["a"].blockedCount, 1)
	f.Cancel(jobs.CancelKey{Job: "blocked", Customer: "a"}, f.now)
	assert.Equal(t, f.customers["a"].blockedCount, 0)
	assert.Equal(t, f.pool("p").groups.Len(), len(f.pool("p").groupByStep))
}

// TestMovedQueueKeepsBlockedTasks guards against blocked tasks that stay in their pool
// when a configuration assigns their queue to another one.
func TestMovedQueueKeepsBlockedTasks(t *testing.T) {
	f := newQuotaFixture(fourCores)
	f.submitFor("a", "q", "running", tasks(4))
	f.beat("w1", "p")
	f.pass()
	f.submitFor("a", "q", "blocked", tasks(4))
	c := f.State.Config
	c.Version++
	c.Queues = slices.Clone(c.Queues)
	c.Queues[0].Pool = "other"
	f.Configure(c, f.now)
	f.checkConsistency(t.Errorf)
	f.now += 100
	f.beat("w2", "other")
	f.beat("w1", "p", "running")
	assert.Equal(t, len(f.pass()), 4)
}

// TestAwaitedQuotaIsReportedSoon guards against blocked tasks that wait for the next
// heartbeat of a worker on which a task of their customer has ended.
func TestAwaitedQuotaIsReportedSoon(t *testing.T) {
	f := newQuotaFixture(fourCores)
	long := tasks(4)
	long.Estimate = 10 * clock.Second
	f.submitFor("a", "q", "running", long)
	f.submitFor("b", "q2", "other", long)
	f.beat("w1", "p")
	f.beat("w2", "other")
	p := f.Pass(f.now)
	assert.Equal(t, ordersFor(p, "w1").RetryAfter, f.settings.MaxRetryMillis)
	f.submitFor("a", "q2", "blocked", long)
	f.beat("w1", "p")
	f.beat("w2", "other")
	f.now += f.settings.MaxReplyDelayMillis
	p = f.Pass(f.now)
	assert.Equal(t, ordersFor(p, "w1").RetryAfter, 2*f.settings.MinRetryMillis)
	assert.Equal(t, ordersFor(p, "w2").RetryAfter, f.settings.MaxRetryMillis)
}
