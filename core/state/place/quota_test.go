package place

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// runningMilliCores returns what the tasks of a customer that are on a worker have
// reserved, independently of the placer's own sums.
func runningMilliCores[F FitPolicy, S Sizer, J HealthPolicy](placer *Placer[F, S, J], customer string) int {
	sum := 0
	for _, t := range placer.tasks {
		if string(t.Customer) == customer && t.worker != nil {
			sum += t.reserved.MilliCores
		}
	}
	return sum
}

// checkQuotas recounts what the tasks of each customer hold and checks that it is within
// the quota, and that what the placer counts is neither less than that nor different from
// the sum over its tasks.
func checkQuotas[F FitPolicy, S Sizer, J HealthPolicy](t rapid.TB, placer *Placer[F, S, J]) {
	held, charged := map[model.Customer]Size{}, map[model.Customer]Size{}
	for id, x := range placer.tasks {
		if x.worker == nil && x.reservedOn == nil && x.charged != (Size{}) {
			t.Fatalf("task %s is on no worker and counts %v", id, x.charged)
		}
		held[x.Customer], charged[x.Customer] = held[x.Customer].Plus(x.reserved), charged[x.Customer].Plus(x.charged)
	}
	for id, customer := range placer.customers {
		if customer.used != charged[id] || !held[id].FitsIn(customer.used) || !customer.used.FitsIn(customer.contract.Quota) {
			t.Fatalf("customer %s holds %v, its tasks count %v, the placer counts %v; its quota is %v", id, held[id], charged[id], customer.used, customer.contract.Quota)
		}
	}
}

// quotaFixture returns a placer with two workers of 16,000 milli-cores and two customers:
// team0 may use 16,000 milli-cores, and team1 is not limited by its quota.
func quotaFixture() (*fakePlatform, *Placer[BestFit, Declared, NoQuarantine]) {
	f := newFake(1, 2)
	placer := NewPlacer(BestFit{}, Declared{}, NoQuarantine{}, Defaults())
	placer.SetWorker(Worker{ID: "w0000", Size: f.workers["w0000"].size})
	placer.SetContract(customerContract(0, 16000))
	placer.SetContract(customerContract(1, 64000))
	return f, placer
}

// passAfterHeartbeats renews the leases of all workers and makes a pass.
func passAfterHeartbeats(f *fakePlatform, placer *Placer[BestFit, Declared, NoQuarantine]) Plan {
	for id := range placer.workers {
		placer.Heartbeat(id, 0, nil)
	}
	f.now += clock.Second
	return placer.Pass(f.now)
}

// submitTask submits a task of the given customer and size. Its number determines whether
// it can checkpoint (0), be throttled (1) or neither (2).
func submitTask(t *testing.T, f *fakePlatform, placer *Placer[BestFit, Declared, NoQuarantine], customer, n, milliCores int, urgent bool) TaskID {
	t.Helper()
	x := f.newTask(customer, n, milliCores, clock.Hour, 100)
	x.Urgent = urgent
	assert.NilError(t, placer.Submit(x))
	return x.ID
}

// TestThrottledTaskCountsInFull guards against a customer that starts a task with the
// quota that a throttled task of it has left free, and then exceeds its quota when the
// throttled task gets its full size back.
func TestThrottledTaskCountsInFull(t *testing.T) {
	f, placer := quotaFixture()
	throttled := submitTask(t, f, placer, 0, 1, 16000, false)
	passAfterHeartbeats(f, placer)
	urgent := submitTask(t, f, placer, 1, 2, 8000, true)
	passAfterHeartbeats(f, placer)
	assert.Equal(t, placer.tasks[throttled].cpuPercent, throttledPercent)

	placer.SetWorker(Worker{ID: "w0001", Size: f.workers["w0001"].size})
	submitTask(t, f, placer, 0, 5, 8000, false)
	passAfterHeartbeats(f, placer)
	placer.RunEnded(urgent, placer.tasks[urgent].attempt, OutcomeDone, f.now)
	passAfterHeartbeats(f, placer)
	assert.Equal(t, placer.tasks[throttled].cpuPercent, 100)
	assert.Equal(t, runningMilliCores(placer, "team0"), 16000)

	placer.RunEnded(throttled, placer.tasks[throttled].attempt, OutcomeDone, f.now)
	passAfterHeartbeats(f, placer)
	assert.Equal(t, runningMilliCores(placer, "team0"), 8000)
}

// reserveForUrgent lets an urgent task of team0 wait for capacity that a task of team1 is
// ordered to free, and returns both tasks.
func reserveForUrgent(t *testing.T, f *fakePlatform, placer *Placer[BestFit, Declared, NoQuarantine]) (urgent, stopping TaskID) {
	t.Helper()
	stopping = submitTask(t, f, placer, 1, 0, 16000, false)
	passAfterHeartbeats(f, placer)
	urgent = submitTask(t, f, placer, 0, 2, 16000, true)
	passAfterHeartbeats(f, placer)
	assert.Assert(t, placer.tasks[urgent].reservedOn != nil)
	return urgent, stopping
}

// TestReservedTaskCounts guards against a customer that starts a task with the quota of
// one for which capacity is being freed, and exceeds its quota when that one starts too.
func TestReservedTaskCounts(t *testing.T) {
	f, placer := quotaFixture()
	urgent, stopping := reserveForUrgent(t, f, placer)
	placer.SetWorker(Worker{ID: "w0001", Size: f.workers["w0001"].size})
	submitTask(t, f, placer, 0, 5, 8000, false)
	passAfterHeartbeats(f, placer)
	placer.RunEnded(stopping, placer.tasks[stopping].attempt, OutcomeCheckpointed, f.now)
	passAfterHeartbeats(f, placer)
	assert.Equal(t, placer.tasks[urgent].phase, PhaseRunning)
	assert.Equal(t, runningMilliCores(placer, "team0"), 16000)
}

// TestCancelledReservationFreesQuota guards against the quota of a task whose reservation
// ended without a start staying in use, so that the customer's other tasks wait for ever.
func TestCancelledReservationFreesQuota(t *testing.T) {
	f, placer := quotaFixture()
	urgent, _ := reserveForUrgent(t, f, placer)
	placer.SetWorker(Worker{ID: "w0001", Size: f.workers["w0001"].size})
	other := submitTask(t, f, placer, 0, 5, 16000, false)
	passAfterHeartbeats(f, placer)
	assert.Equal(t, placer.tasks[other].phase, PhaseWaiting)
	placer.Cancel(urgent)
	passAfterHeartbeats(f, placer)
	assert.Equal(t, placer.tasks[other].phase, PhaseRunning)
	assert.Equal(t, runningMilliCores(placer, "team0"), 16000)
}

// TestReservedTaskWithinLoweredQuota guards against the start of a task for which capacity
// was freed when the customer's quota has been lowered meanwhile, and against a reservation
// that keeps the freed capacity idle until the quota allows the start.
func TestReservedTaskWithinLoweredQuota(t *testing.T) {
	f, placer := quotaFixture()
	placer.SetContract(customerContract(0, 24000))
	placer.SetWorker(Worker{ID: "w0001", Size: Size{MilliCores: 8000, MemoryMiB: 32768}})
	running := submitTask(t, f, placer, 0, 5, 8000, false)
	passAfterHeartbeats(f, placer)
	urgent, stopping := reserveForUrgent(t, f, placer)
	placer.SetContract(customerContract(0, 16000))
	placer.RunEnded(stopping, placer.tasks[stopping].attempt, OutcomeCheckpointed, f.now)
	passAfterHeartbeats(f, placer)
	assert.Equal(t, runningMilliCores(placer, "team0"), 8000)
	assert.Equal(t, placer.tasks[stopping].phase, PhaseRunning)
	placer.RunEnded(stopping, placer.tasks[stopping].attempt, OutcomeDone, f.now)
	placer.RunEnded(running, placer.tasks[running].attempt, OutcomeDone, f.now)
	passAfterHeartbeats(f, placer)
	assert.Equal(t, placer.tasks[urgent].phase, PhaseRunning)
}

// TestThrottledTaskUnderLoweredQuota guards against a throttled task that runs at its full
// speed again with less than that reserved, or stays throttled, because the customer's
// quota was lowered below what it uses.
func TestThrottledTaskUnderLoweredQuota(t *testing.T) {
	f, placer := quotaFixture()
	throttled := submitTask(t, f, placer, 0, 1, 16000, false)
	passAfterHeartbeats(f, placer)
	urgent := submitTask(t, f, placer, 1, 2, 8000, true)
	passAfterHeartbeats(f, placer)
	placer.SetContract(customerContract(0, 12000))
	placer.RunEnded(urgent, placer.tasks[urgent].attempt, OutcomeDone, f.now)
	passAfterHeartbeats(f, placer)
	assert.Equal(t, placer.tasks[throttled].cpuPercent, 100)
	assert.Equal(t, placer.tasks[throttled].reserved.MilliCores, 12000)
}
