package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
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

// TestLateHeartbeatAfterTakeover guards against new tasks for a worker that has left: its
// late heartbeat reaches a new leader, which doesn't know that it has left. A worker that
// is there answers the first reply.
func TestLateHeartbeatAfterTakeover(t *testing.T) {
	settings := Defaults()
	settings.LateHeartbeatMillis = 10 * clock.Second
	f := newFixture(settings)
	f.submit("j", jobs.Step{TaskCount: 1, Estimate: 400})
	f.heartbeat("gone", 1, nil)
	f.heartbeat("there", 1, nil)
	plan := f.Pass(f.now)
	assert.Equal(t, len(plan.Orders), 2)
	assert.Equal(t, len(ordersFor(plan, "gone").Starts)+len(ordersFor(plan, "there").Starts), 0)
	// A second late heartbeat arrives with the first.
	f.heartbeat("gone", 1, nil)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "gone").Starts), 0)
	f.now += settings.MinRetryMillis
	f.heartbeat("there", 1, nil)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "there").Starts), 1)
	// From then on late heartbeats are of this term, whose departures are known.
	f.now += settings.LateHeartbeatMillis
	f.submit("k", jobs.Step{TaskCount: 1, Estimate: 400})
	f.heartbeat("new", 1, nil)
	assert.Assert(t, len(ordersFor(f.Pass(f.now), "new").Starts) > 0)
}
