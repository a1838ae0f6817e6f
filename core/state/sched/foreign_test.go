package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// foreignHeartbeat returns the heartbeat of a program on a worker's machine that runs in
// a pool which no configuration names.
func (f *fixture) foreignHeartbeat(id, machine string) Heartbeat {
	return Heartbeat{
		Worker: jobs.WorkerID(id), Incarnation: 9, Machine: jobs.MachineID(machine), Pool: "night-backup", Zone: "z1", Seq: 1,
		Capacity: jobs.Resources{MilliCores: 64_000, MemoryMiB: 32_000}, ReceivedAt: f.now,
	}
}

// TestForeignHeartbeatDropsNoWorker guards against a task that is started a second time,
// and a worker that is refused from then on, because another program on its machine, or
// one that uses its ID, sent a heartbeat.
func TestForeignHeartbeatDropsNoWorker(t *testing.T) {
	for _, foreignID := range []string{"agent", "w"} {
		f := newFixture(Defaults())
		f.submit("a", smallStep)
		f.heartbeat("w", 1, nil)
		starts := ordersFor(f.Pass(f.now), "w").Starts
		assert.Equal(t, len(starts), 1)
		running := []RunStatus{{Task: starts[0].Task, Run: starts[0].Run}}
		f.now += 100
		f.heartbeat("w", 1, running)
		f.heartbeat("w2", 1, nil)
		f.Pass(f.now)
		f.now += 100
		assert.Assert(t, !f.Heartbeat(f.foreignHeartbeat(foreignID, "m-w"), f.now))
		assert.Assert(t, len(f.Pass(f.now).Ops) == 0, "a heartbeat of %s ends a run", foreignID)
		f.now += 100
		f.seq++
		assert.Assert(t, f.Heartbeat(Heartbeat{
			Worker: "w", Incarnation: 1, Machine: "m-w", Pool: "p", Seq: f.seq, Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, Running: running, ReceivedAt: f.now,
		}, f.now), "the worker is refused after a heartbeat of %s", foreignID)
	}
}

// TestForeignHeartbeatBeforeConfiguration guards against a program that takes a worker's
// machine while no configuration is known yet.
func TestForeignHeartbeatBeforeConfiguration(t *testing.T) {
	f := newFixture(Defaults())
	config := f.State.Config
	f.testScheduler = New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, jobs.New(), f.now)
	assert.Assert(t, !f.Heartbeat(f.foreignHeartbeat("agent", "m-w"), f.now))
	f.Configure(config, f.now)
	f.heartbeat("w", 1, nil)
	f.submit("a", smallStep)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w").Starts), 1)
}

// TestWorkerOfDroppedPool guards against a worker that loses its tasks because the
// configuration no longer names its pool.
func TestWorkerOfDroppedPool(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("a", smallStep)
	f.heartbeat("w", 1, nil)
	starts := ordersFor(f.Pass(f.now), "w").Starts
	f.Configure(jobs.Config{Version: 2, Pools: []jobs.Pool{{Name: "other"}}}, f.now)
	f.now += 100
	f.heartbeat("w", 1, nil, RunEnd{Number: 1, Task: starts[0].Task, Run: 1, Result: jobs.ResultDone})
	assert.Equal(t, ordersFor(f.Pass(f.now), "w").AckUpTo, int64(1))
	assert.Equal(t, f.State.Jobs["a"].Status, jobs.StatusCompleted)
}

// TestForeignMachineEntry guards against an entry of the list of machines that another
// program left: its size would change the number of machines that the pools need, and a
// powered-off machine that it names would no longer be used.
func TestForeignMachineEntry(t *testing.T) {
	f := newFixture(Defaults())
	f.heartbeat("w", 1, nil)
	capacity := jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}
	list := []Machine{
		{ID: "m-w", Pool: "p", Available: true, Capacity: capacity},
		{ID: "m-off", Pool: "off", Available: true, Capacity: capacity},
		{ID: "m-off", Pool: "night-backup", Available: true, Capacity: jobs.Resources{MilliCores: 640_000}},
	}
	f.fleet.listPending, f.fleet.listRequestedAt = true, f.now
	f.HandleOutcome(Action{Kind: ActionListMachines, RequestedAt: f.now}, Outcome{Machines: list}, f.now)
	assert.Equal(t, f.fleet.standby["m-off"], jobs.PoolName("off"))
	assert.Equal(t, f.fleet.maxMilliCores.MilliCores, 16_000)
}
