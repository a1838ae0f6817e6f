package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// TestLateDepartureKeepsRunningWorker guards against a departure of an earlier
// incarnation that removes the running one, which is refused from then on.
func TestLateDepartureKeepsRunningWorker(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("serve", lastingStep)
	f.heartbeat("w1", 2, nil)
	start := ordersFor(f.Pass(f.now), "w1").Starts[0]
	f.RemoveWorker("w1", 0, f.now)
	f.heartbeat("w2", 1, nil)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w2").Starts), 0)
	f.now += 50
	f.heartbeat("w1", 2, []RunStatus{{Task: start.Task, Run: start.Run, Percent: 100}})
	assert.Assert(t, f.workers["w1"].runs[start.Task].serving())
}

// TestDepartureOfDrainingWorkerFreesTasks guards against tasks that wait for the end
// of a lease although their worker has exited.
func TestDepartureOfDrainingWorkerFreesTasks(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("serve", lastingStep)
	f.heartbeat("w1", 1, nil)
	start := ordersFor(f.Pass(f.now), "w1").Starts[0]
	f.seq++
	f.Heartbeat(Heartbeat{
		Worker: "w1", Incarnation: 1, Machine: "m-w1", Pool: "p", Seq: f.seq, Draining: true, ReceivedAt: f.now,
		Running: []RunStatus{{Task: start.Task, Run: start.Run, Percent: 100}},
	}, f.now)
	f.RemoveWorker("w1", 0, f.now)
	f.heartbeat("w2", 1, nil)
	assert.DeepEqual(t, ordersFor(f.Pass(f.now), "w2").Starts, []Start{{Task: start.Task, Run: 2}})
	assert.Equal(t, f.State.Task(start.Task).Worker, jobs.WorkerID("w2"))
}
