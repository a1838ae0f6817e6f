package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// harmMillis is how long a tail may be above its target because of the tasks
// that fill beside it.
const harmMillis = 4 * clock.Second

// target is the target of the serving task's tail in the tests.
const target clock.Millis = 100

// newPaceRig is a worker with a serving and a filling task at work.
func newPaceRig(t *testing.T) (*rig, []RunStatus) {
	t.Helper()
	r := newRig(Defaults())
	r.submit("serve", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 4000, MemoryMiB: 100}, LongRunning: true, LatencyTarget: target})
	r.submit("fill", jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 8000, MemoryMiB: 100}, LongRunning: true, BestEffort: true})
	r.hear("w1", 1, nil)
	running := runningOf(orders(r.Pass(r.now), "w1"))
	assert.Equal(t, len(running), 2)
	for i := range running {
		running[i].Percent = 100
	}
	r.now += 100
	return r, running
}

// TestFillersArePaced plays serving load that rises and falls beside a filler,
// with every third answer lost. It guards against a tail that stays above its
// target for as long as users would notice, and against a filler that is slowed
// for longer than the load lasts.
func TestFillersArePaced(t *testing.T) {
	r, running := newPaceRig(t)
	began := r.now
	pace, work, over := 100, clock.Millis(0), clock.Millis(0)
	const high, end = 10 * clock.Second, 40 * clock.Second
	answers := 0
	for r.now < began+end {
		base, share := 30, 30
		if at := r.now - began; at >= high && at < 2*high {
			base, share = 70, 150
		}
		tail := base + share*pace/100
		for i := range running {
			running[i].Load = tail
		}
		r.hear("w1", 1, running)
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
				pace = x.Percent
			}
		}
		r.now += p.Orders[0].RetryAfter
		work += (r.now - before) * clock.Millis(pace) / 100
		if over += r.now - before; clock.Millis(tail) <= target {
			over = 0
		}
		assert.Assert(t, over < harmMillis, "the tail is above its target for %d ms", over)
	}
	// While the load is low the filler may work at full speed, and while it is
	// high at a fifth of it; going up again takes five seconds.
	assert.Assert(t, work > 26*clock.Second, "the filler worked for %d ms", work)
}

// TestServingAloneIsNotPaced guards against orders that change nothing: a tail
// above its target without a filler beside it.
func TestServingAloneIsNotPaced(t *testing.T) {
	r, running := newPaceRig(t)
	for i := range running {
		running[i].Load = int(2 * target)
		if running[i].Task.Job == "fill" {
			r.Cancel("fill", r.now)
		}
	}
	r.now += paceMillis
	r.hear("w1", 1, running)
	assert.Equal(t, len(orders(r.Pass(r.now), "w1").Throttles), 0)
}

// TestNewLeaderSetsPace guards against a filler that stays slow for good because
// the leader that slowed it is gone.
func TestNewLeaderSetsPace(t *testing.T) {
	r, running := newPaceRig(t)
	for i := range running {
		running[i].Load = int(2 * target)
	}
	r.now += paceMillis
	r.hear("w1", 1, running)
	assert.Assert(t, orders(r.Pass(r.now), "w1").Throttles[0].Percent < 100)
	next := &rig{testBoard: New(r.set, r.order, r.judge, r.State.Clone(), r.now), now: r.now + 100, seq: r.seq}
	for i := range running {
		running[i].Load = int(target) / 4
	}
	next.hear("w1", 1, running)
	next.now += next.set.MaxHoldMillis
	assert.DeepEqual(t, orders(next.Pass(next.now), "w1").Throttles, []Throttle{{Task: jobs.TaskID{Job: "fill"}, Run: 1, Percent: 100}})
}

// TestSlowFillerIsNotStopped guards against a filler that is started anew again
// and again because it makes no progress while others need the processors.
func TestSlowFillerIsNotStopped(t *testing.T) {
	r := newRig(Defaults())
	fill := small
	fill.BestEffort = true
	r.submit("fill", fill)
	r.hear("w1", 1, nil)
	running := runningOf(orders(r.Pass(r.now), "w1"))
	for range 10 {
		r.now += clock.Second
		r.hear("w1", 1, running)
		assert.Equal(t, len(orders(r.Pass(r.now), "w1").Stops), 0)
	}
}
