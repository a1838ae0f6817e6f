package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// TestExplainWaitReasons guards against a reported wait reason that is not what
// keeps the tasks from starting: on-call engineers act on it.
func TestExplainWaitReasons(t *testing.T) {
	large, apart, labelled, gang := smallStep, smallStep, smallStep, gangStep
	large.Resources.MilliCores = 20_000
	apart.TaskCount, apart.MaxPerWorker = 2, 1
	labelled.RequiredLabel = "gpu"
	gang.TaskCount = 5
	second := smallStep
	second.DependsOn = []int{0}
	wide := smallStep
	wide.TaskCount = 17
	for _, c := range []struct {
		name  string
		steps []jobs.Step
		// step is the index of the step that is checked.
		step int
		with func(r *fixture)
		want WaitReason
	}{
		{name: "no workers", steps: []jobs.Step{smallStep}, with: func(*fixture) {}, want: WaitNoWorkers},
		{name: "silent workers", steps: []jobs.Step{smallStep}, with: func(r *fixture) {
			r.heartbeat("w1", 1, nil)
			r.now += 2 * r.settings.LeaseMillis
		}, want: WaitNoWorkers},
		{name: "label", steps: []jobs.Step{labelled}, want: WaitLabel},
		{name: "size", steps: []jobs.Step{large}, want: WaitSize},
		{name: "maintenance", steps: []jobs.Step{smallStep}, with: func(r *fixture) {
			r.heartbeat("w1", 1, nil)
			r.workers["w1"].goingDown = true
		}, want: WaitLeaving},
		{name: "in quarantine", steps: []jobs.Step{smallStep}, with: func(r *fixture) {
			r.heartbeat("w1", 1, nil)
			r.workers["w1"].quarantinedUntil = r.now + 1
		}, want: WaitQuarantine},
		{name: "maximum per worker", steps: []jobs.Step{apart}, want: WaitPerWorker},
		{name: "room", steps: []jobs.Step{wide}, want: WaitCapacity},
		{name: "capacity for part of a gang", steps: []jobs.Step{gang}, want: WaitGang},
		{name: "unfinished dependency", steps: []jobs.Step{smallStep, second}, step: 1, want: WaitDependencies},
		{name: "no waiting task", steps: []jobs.Step{smallStep}, want: WaitNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(Defaults())
			r.submit("a", c.steps...)
			if c.with == nil {
				r.heartbeat("w1", 1, nil)
			} else {
				c.with(r)
			}
			r.Pass(r.now)
			x, ok := r.Explain("a", r.now)
			assert.Assert(t, ok)
			assert.Equal(t, x.Steps[c.step].WaitReason, c.want)
		})
	}
}

// TestExplainAdvice guards against a queue with advice being reported as
// lacking capacity.
func TestExplainAdvice(t *testing.T) {
	r := newAdvisedFixture()
	r.submit("a", smallStep)
	r.heartbeat("w1", 1, nil)
	r.Pass(r.now)
	x, _ := r.Explain("a", r.now)
	assert.Equal(t, x.Steps[0].WaitReason, WaitAdvice)
}

// TestExplainCounts guards against a report whose counts do not match the
// started, failed and running tasks.
func TestExplainCounts(t *testing.T) {
	r := newFixture(Defaults())
	two := smallStep
	two.TaskCount = 2
	r.submit("a", two)
	r.submit("later", smallStep)
	r.heartbeat("w1", 1, nil)
	o := ordersFor(r.Pass(r.now), "w1")
	r.now += 300
	r.heartbeat("w1", 1, nil, RunEnd{Number: 1, Task: o.Starts[0].Task, Run: 1, Result: jobs.ResultFailed})
	x, ok := r.Explain("a", r.now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, x.Steps, []StepReport{{Tasks: 2, Running: 1, Waiting: 1, Runs: 2, Failures: 1, WaitReason: WaitHeartbeat}})
	assert.Equal(t, len(x.Runs), 1)
	_, ok = r.Explain("none", r.now)
	assert.Assert(t, !ok)
	lines, total := r.List(1)
	assert.Equal(t, total, 2)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].ID, jobs.ID("a"))
}
