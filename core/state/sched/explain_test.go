package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// TestExplainWaitReasons guards against a reported wait reason that is not what
// keeps the tasks from starting: on-call engineers act on it.
func TestExplainWaitReasons(t *testing.T) {
	large, onePerWorker, labelled, gang := smallStep, smallStep, smallStep, gangStep
	large.Resources.MilliCores = 20_000
	onePerWorker.TaskCount, onePerWorker.MaxPerWorker = 2, 1
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
		step  int
		setup func(f *fixture)
		want  WaitReason
	}{
		{name: "no workers", steps: []jobs.Step{smallStep}, setup: func(*fixture) {}, want: WaitNoWorkers},
		{name: "worker without recent heartbeat", steps: []jobs.Step{smallStep}, setup: func(f *fixture) {
			f.heartbeat("w1", 1, nil)
			f.now += 2 * f.settings.LeaseMillis
		}, want: WaitNoWorkers},
		{name: "no worker has the label", steps: []jobs.Step{labelled}, want: WaitLabel},
		{name: "no worker is large enough", steps: []jobs.Step{large}, want: WaitSize},
		{name: "machine goes down", steps: []jobs.Step{smallStep}, setup: func(f *fixture) {
			f.heartbeat("w1", 1, nil)
			f.workers["w1"].goingDown = true
		}, want: WaitLeaving},
		{name: "worker in quarantine", steps: []jobs.Step{smallStep}, setup: func(f *fixture) {
			f.heartbeat("w1", 1, nil)
			f.workers["w1"].quarantinedUntil = f.now + 1
		}, want: WaitQuarantine},
		{name: "maximum per worker", steps: []jobs.Step{onePerWorker}, want: WaitPerWorker},
		{name: "capacity for part of the tasks", steps: []jobs.Step{wide}, want: WaitCapacity},
		{name: "capacity for part of a gang", steps: []jobs.Step{gang}, want: WaitGang},
		{name: "unfinished dependency", steps: []jobs.Step{smallStep, second}, step: 1, want: WaitDependencies},
		{name: "no waiting task", steps: []jobs.Step{smallStep}, want: WaitNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(Defaults())
			f.submit("a", c.steps...)
			if c.setup == nil {
				f.heartbeat("w1", 1, nil)
			} else {
				c.setup(f)
			}
			f.Pass(f.now)
			report, ok := f.Explain("a", f.now)
			assert.Assert(t, ok)
			assert.Equal(t, report.Steps[c.step].WaitReason, c.want)
		})
	}
}

// TestExplainAdvice guards against a queue with advice being reported as
// lacking capacity.
func TestExplainAdvice(t *testing.T) {
	f := newAdvisedFixture()
	f.submit("a", smallStep)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	report, _ := f.Explain("a", f.now)
	assert.Equal(t, report.Steps[0].WaitReason, WaitAdvice)
}

// TestExplainCounts guards against wrong counts of tasks, runs and failures in
// a report, and against a list that exceeds its limit.
func TestExplainCounts(t *testing.T) {
	f := newFixture(Defaults())
	two := smallStep
	two.TaskCount = 2
	f.submit("a", two)
	f.submit("later", smallStep)
	f.heartbeat("w1", 1, nil)
	o := ordersFor(f.Pass(f.now), "w1")
	f.now += 300
	f.heartbeat("w1", 1, nil, RunEnd{Number: 1, Task: o.Starts[0].Task, Run: 1, Result: jobs.ResultFailed})
	report, ok := f.Explain("a", f.now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, report.Steps, []StepReport{{Tasks: 2, Running: 1, Waiting: 1, Runs: 2, Failures: 1, WaitReason: WaitHeartbeat}})
	assert.Equal(t, len(report.Runs), 1)
	_, ok = f.Explain("none", f.now)
	assert.Assert(t, !ok)
	summaries, total := f.List(1)
	assert.Equal(t, total, 2)
	assert.Equal(t, len(summaries), 1)
	assert.Equal(t, summaries[0].ID, jobs.ID("a"))
}
