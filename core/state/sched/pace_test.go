package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// TestPace guards against a leader that asks for reports faster than it can handle them,
// and against one that stays slow after an overload.
func TestPace(t *testing.T) {
	const longest clock.Millis = 700
	p, now := pace{}, clock.Millis(1000)
	step := func(age clock.Millis) clock.Millis {
		now += pacePeriodMillis
		p.observe(age)
		p.update(now, longest)
		return p.delay
	}
	assert.Equal(t, step(maxReportAgeMillis), clock.Millis(0))
	for last := clock.Millis(0); last < longest; {
		next := step(maxReportAgeMillis + 1)
		assert.Assert(t, next > last && next <= longest)
		last = next
	}
	for range 30 {
		step(1)
	}
	assert.Equal(t, p.delay, clock.Millis(0))
}

// TestOverloadDelaysReplies guards against replies to reports of ended tasks that ask
// an overloaded leader for the next report at once, and against orders that wait.
func TestOverloadDelaysReplies(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("j", jobs.Step{TaskCount: 4, Resources: jobs.Resources{MilliCores: 1000}, Estimate: 10_000})
	f.heartbeat("w", 1, nil)
	running := runsFor(ordersFor(f.Pass(f.now), "w"))
	f.pace.delay, f.pace.changedAt = 300, f.now
	end := RunEnd{Number: 1, Task: running[0].Task, Run: 1}
	f.heartbeat("w", 1, running[1:], end)
	assert.Equal(t, len(f.Pass(f.now).Orders), 0)
	f.now += 300
	assert.Equal(t, ordersFor(f.Pass(f.now), "w").AckUpTo, int64(1))
	f.heartbeat("w", 1, running[1:])
	f.submit("k", jobs.Step{TaskCount: 4, Resources: jobs.Resources{MilliCores: 1000}, Estimate: 10_000})
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w").Starts), 4)
}
