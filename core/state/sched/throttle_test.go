package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// maxHarmMillis is how long best-effort tasks may keep a tail latency above its
// target.
const maxHarmMillis = 4 * clock.Second

// latencyTarget is the target of the serving task's tail latency in the tests.
const latencyTarget clock.Millis = 100

// newThrottleFixture returns a fixture with a worker that runs a serving and a
// best-effort task.
func newThrottleFixture(t *testing.T) (*fixture, []RunStatus) {
	t.Helper()
	r := newFixture(Defaults())
	r.submit("serve", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 4000, MemoryMiB: 100}, LongRunning: true, LatencyTarget: latencyTarget})
	r.submit("fill", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 8000, MemoryMiB: 100}, LongRunning: true, BestEffort: true})
	r.heartbeat("w1", 1, nil)
	running := runsFor(ordersFor(r.Pass(r.now), "w1"))
	assert.Equal(t, len(running), 2)
	for i := range running {
		running[i].Percent = 100
	}
	r.now += 100
	return r, running
}

// TestBestEffortIsThrottled simulates a serving load that rises and falls next
// to a best-effort task, with every third reply lost. It guards against a tail
// latency that exceeds its target long enough for users to notice, and against
// a best-effort task that is slow for longer than the load lasts.
func TestBestEffortIsThrottled(t *testing.T) {
	r, running := newThrottleFixture(t)
	startedAt := r.now
	speed, workMillis, overMillis := 100, clock.Millis(0), clock.Millis(0)
	const high, end = 10 * clock.Second, 40 * clock.Second
	answers := 0
	for r.now < startedAt+end {
		base, share := 30, 30
		if at := r.now - startedAt; at >= high && at < 2*high {
			base, share = 70, 150
		}
		tail := base + share*speed/100
		for i := range running {
			running[i].Load = tail
		}
		r.heartbeat("w1", 1, running)
		p := r.Pass(r.now)
		before := r.now
		for len(p.Orders) == 0 {
			r.now = max(p.NextPass, r.now+1)
			p = r.Pass(r.now)
		}
		answers++
		if answers%3 != 0 {
			for _, x := range p.Orders[0].Throttles {
				assert.Equal(t, x.Task.Job, jobs.ID("fill"))
				speed = x.Percent
			}
		}
		r.now += p.Orders[0].RetryAfter
		workMillis += (r.now - before) * clock.Millis(speed) / 100
		if overMillis += r.now - before; clock.Millis(tail) <= latencyTarget {
			overMillis = 0
		}
		assert.Assert(t, overMillis < maxHarmMillis, "the tail latency exceeds its target for %d ms", overMillis)
	}
	// The best-effort task can run at full speed while the load is low and at a
	// fifth of it while the load is high; returning to full speed takes five
	// seconds.
	assert.Assert(t, workMillis > 26*clock.Second, "the best-effort task worked for %d ms at full speed", workMillis)
}

// TestServingAloneIsNotThrottled guards against useless orders when a tail
// latency exceeds its target without a best-effort task next to it.
func TestServingAloneIsNotThrottled(t *testing.T) {
	r, running := newThrottleFixture(t)
	for i := range running {
		running[i].Load = int(2 * latencyTarget)
		if running[i].Task.Job == "fill" {
			r.Cancel("fill", r.now)
		}
	}
	r.now += speedPeriodMillis
	r.heartbeat("w1", 1, running)
	assert.Equal(t, len(ordersFor(r.Pass(r.now), "w1").Throttles), 0)
}

// TestNewLeaderRestoresSpeed guards against a best-effort task that stays slow
// forever because the leader that throttled it is gone.
func TestNewLeaderRestoresSpeed(t *testing.T) {
	r, running := newThrottleFixture(t)
	for i := range running {
		running[i].Load = int(2 * latencyTarget)
	}
	r.now += speedPeriodMillis
	r.heartbeat("w1", 1, running)
	assert.Assert(t, ordersFor(r.Pass(r.now), "w1").Throttles[0].Percent < 100)
	next := &fixture{testScheduler: New(r.settings, r.rankPolicy, r.healthPolicy, r.State.Clone(), r.now), now: r.now + 100, seq: r.seq}
	for i := range running {
		running[i].Load = int(latencyTarget) / 4
	}
	next.heartbeat("w1", 1, running)
	next.now += next.settings.MaxHoldMillis
	assert.DeepEqual(t, ordersFor(next.Pass(next.now), "w1").Throttles, []Throttle{{Task: jobs.TaskID{Job: "fill"}, Run: 1, Percent: 100}})
}

// TestSlowBestEffortTaskIsNotStopped guards against restarting a best-effort
// task over and over because it makes no progress while other tasks need the
// processors.
func TestSlowBestEffortTaskIsNotStopped(t *testing.T) {
	r := newFixture(Defaults())
	fill := smallStep
	fill.BestEffort = true
	r.submit("fill", fill)
	r.heartbeat("w1", 1, nil)
	running := runsFor(ordersFor(r.Pass(r.now), "w1"))
	for range 10 {
		r.now += clock.Second
		r.heartbeat("w1", 1, running)
		assert.Equal(t, len(ordersFor(r.Pass(r.now), "w1").Stops), 0)
	}
}
