package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// maxOverTargetMillis limits how long best-effort tasks may keep a tail latency
// above its target without interruption.
const maxOverTargetMillis = 4 * clock.Second

// latencyTarget is the target of the serving task's tail latency in the tests.
const latencyTarget clock.Millis = 100

// newThrottleFixture returns a fixture with a worker that runs a serving and a
// best-effort task.
func newThrottleFixture(t *testing.T) (*fixture, []RunStatus) {
	t.Helper()
	f := newFixture(Defaults())
	f.submit("serve", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 4000, MemoryMiB: 100}, LongRunning: true, LatencyTarget: latencyTarget})
	f.submit("fill", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 8000, MemoryMiB: 100}, LongRunning: true, BestEffort: true})
	f.heartbeat("w1", 1, nil)
	running := runsFor(ordersFor(f.Pass(f.now), "w1"))
	assert.Equal(t, len(running), 2)
	for i := range running {
		running[i].Percent = 100
	}
	f.now += 100
	return f, running
}

// TestBestEffortIsThrottled simulates a serving load that rises and falls next
// to a best-effort task, with every third reply lost. It guards against a tail
// latency that exceeds its target long enough for users to notice, and against
// a best-effort task that is slow for longer than the load lasts.
func TestBestEffortIsThrottled(t *testing.T) {
	f, running := newThrottleFixture(t)
	startedAt := f.now
	speedPercent, workMillis, overMillis := 100, clock.Millis(0), clock.Millis(0)
	const phaseMillis, totalMillis = 10 * clock.Second, 40 * clock.Second
	replies := 0
	for f.now < startedAt+totalMillis {
		// baseMillis is the tail latency without the best-effort task;
		// addedMillis is what that task adds to it at full speed.
		baseMillis, addedMillis := 30, 30
		if at := f.now - startedAt; at >= phaseMillis && at < 2*phaseMillis {
			baseMillis, addedMillis = 70, 150
		}
		tailMillis := baseMillis + addedMillis*speedPercent/100
		for i := range running {
			running[i].Load = tailMillis
		}
		f.heartbeat("w1", 1, running)
		p := f.Pass(f.now)
		before := f.now
		for len(p.Orders) == 0 {
			f.now = max(p.NextPass, f.now+1)
			p = f.Pass(f.now)
		}
		replies++
		if replies%3 != 0 {
			for _, throttle := range p.Orders[0].Throttles {
				assert.Equal(t, throttle.Task.Job, jobs.ID("fill"))
				speedPercent = throttle.Percent
			}
		}
		f.now += p.Orders[0].RetryAfter
		workMillis += (f.now - before) * clock.Millis(speedPercent) / 100
		if overMillis += f.now - before; clock.Millis(tailMillis) <= latencyTarget {
			overMillis = 0
		}
		assert.Assert(t, overMillis < maxOverTargetMillis, "the tail latency exceeds its target for %d ms", overMillis)
	}
	// The best-effort task can run at full speed while the load is low and at a
	// fifth of it while the load is high; returning to full speed takes five
	// seconds.
	assert.Assert(t, workMillis > 26*clock.Second, "the work of the best-effort task amounts to %d ms at full speed", workMillis)
}

// TestServingAloneIsNotThrottled guards against useless throttle orders when a
// tail latency exceeds its target although no best-effort task runs on the
// worker.
func TestServingAloneIsNotThrottled(t *testing.T) {
	f, running := newThrottleFixture(t)
	for i := range running {
		running[i].Load = int(2 * latencyTarget)
		if running[i].Task.Job == "fill" {
			f.Cancel(jobs.CancelKey{Job: "fill"}, f.now)
		}
	}
	f.now += speedPeriodMillis
	f.heartbeat("w1", 1, running)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Throttles), 0)
}

// TestNewLeaderRestoresSpeed guards against a best-effort task that stays slow
// forever because the leader that throttled it is gone.
func TestNewLeaderRestoresSpeed(t *testing.T) {
	f, running := newThrottleFixture(t)
	for i := range running {
		running[i].Load = int(2 * latencyTarget)
	}
	f.now += speedPeriodMillis
	f.heartbeat("w1", 1, running)
	assert.Assert(t, ordersFor(f.Pass(f.now), "w1").Throttles[0].Percent < 100)
	next := &fixture{testScheduler: New(f.settings, f.rankPolicy, f.healthPolicy, f.State.Clone(), f.now), now: f.now + 100, seq: f.seq}
	for i := range running {
		running[i].Load = int(latencyTarget) / 4
	}
	next.heartbeat("w1", 1, running)
	next.now += next.settings.MaxReplyDelayMillis
	assert.DeepEqual(t, ordersFor(next.Pass(next.now), "w1").Throttles, []Throttle{{Task: jobs.TaskID{Job: "fill"}, Run: 1, Percent: 100}})
}

// TestSlowBestEffortTaskIsNotStopped guards against restarting a best-effort
// task over and over because it makes no progress while other tasks need the
// processors.
func TestSlowBestEffortTaskIsNotStopped(t *testing.T) {
	f := newFixture(Defaults())
	fill := smallStep
	fill.BestEffort = true
	f.submit("fill", fill)
	f.heartbeat("w1", 1, nil)
	running := runsFor(ordersFor(f.Pass(f.now), "w1"))
	for range 10 {
		f.now += clock.Second
		f.heartbeat("w1", 1, running)
		assert.Equal(t, len(ordersFor(f.Pass(f.now), "w1").Stops), 0)
	}
}
