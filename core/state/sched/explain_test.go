package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// TestExplainLimits guards against an explanation that names another limit than
// the one that keeps the tasks from starting: on-call engineers act on it.
func TestExplainLimits(t *testing.T) {
	large, apart, labelled, gang := small, small, small, crew
	large.Resources.MilliCores = 20_000
	apart.TaskCount, apart.MaxPerWorker = 2, 1
	labelled.RequiredLabel = "gpu"
	gang.TaskCount = 5
	second := small
	second.DependsOn = []int{0}
	wide := small
	wide.TaskCount = 17
	for _, c := range []struct {
		name  string
		steps []jobs.Step
		// step is the one that is looked at.
		step int
		with func(r *rig)
		want WaitReason
	}{
		{name: "no workers", steps: []jobs.Step{small}, with: func(*rig) {}, want: WaitNoWorkers},
		{name: "silent workers", steps: []jobs.Step{small}, with: func(r *rig) {
			r.hear("w1", 1, nil)
			r.now += 2 * r.set.LeaseMillis
		}, want: WaitNoWorkers},
		{name: "label", steps: []jobs.Step{labelled}, want: WaitLabel},
		{name: "size", steps: []jobs.Step{large}, want: WaitSize},
		{name: "maintenance", steps: []jobs.Step{small}, with: func(r *rig) {
			r.hear("w1", 1, nil)
			r.workers["w1"].leaving = true
		}, want: WaitLeaving},
		{name: "set aside", steps: []jobs.Step{small}, with: func(r *rig) {
			r.hear("w1", 1, nil)
			r.workers["w1"].aside = r.now + 1
		}, want: WaitQuarantine},
		{name: "one on each worker", steps: []jobs.Step{apart}, want: WaitPerWorker},
		{name: "room", steps: []jobs.Step{wide}, want: WaitCapacity},
		{name: "room for a part of a gang", steps: []jobs.Step{gang}, want: WaitGang},
		{name: "earlier step", steps: []jobs.Step{small, second}, step: 1, want: WaitDependencies},
		{name: "nothing waits", steps: []jobs.Step{small}, want: WaitNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(Defaults())
			r.submit("a", c.steps...)
			if c.with == nil {
				r.hear("w1", 1, nil)
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

// TestExplainAdvice guards against a queue with advice that seems to lack room.
func TestExplainAdvice(t *testing.T) {
	r := newAdvisedRig()
	r.submit("a", small)
	r.hear("w1", 1, nil)
	r.Pass(r.now)
	x, _ := r.Explain("a", r.now)
	assert.Equal(t, x.Steps[0].WaitReason, WaitAdvice)
}

// TestExplainCounts guards against a report that does not add up to what was
// started, failed and runs.
func TestExplainCounts(t *testing.T) {
	r := newRig(Defaults())
	two := small
	two.TaskCount = 2
	r.submit("a", two)
	r.submit("later", small)
	r.hear("w1", 1, nil)
	o := orders(r.Pass(r.now), "w1")
	r.now += 300
	r.hear("w1", 1, nil, RunEnd{Number: 1, Task: o.Starts[0].Task, Run: 1, Result: jobs.ResultFailed})
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
