package sched

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// TestManyStartsFitInReplies guards against a reply with more start orders than a worker
// accepts: it would acknowledge nothing, and the tasks would never start.
func TestManyStartsFitInReplies(t *testing.T) {
	const tasks, specBytes = 1400, 4000
	for _, gang := range []bool{false, true} {
		settings := Defaults()
		f := newFixture(settings)
		step := jobs.Step{TaskCount: tasks, Resources: jobs.Resources{MilliCores: 10, MemoryMiB: 16}, Estimate: 60_000, Gang: gang}
		f.Submit(jobs.Job{ID: "a", Queue: "q", Pool: "p", MaxAttempts: 2, Target: 3000, Spec: strings.Repeat("x", specBytes), Steps: []jobs.Step{step}}, f.now)
		var running []RunStatus
		for f.now = 1000; len(running) < tasks; f.now += 100 {
			assert.Assert(t, f.now < 10_000, "gang %v: %d of %d tasks have started", gang, len(running), tasks)
			f.heartbeat("w", 1, running)
			size := 0
			for _, s := range ordersFor(f.Pass(f.now), "w").Starts {
				assert.Equal(t, s.Run, 1, "gang %v: %v was given up", gang, s.Task)
				size += len(s.Spec) + len(s.Checkpoint) + len(s.Ticket) + len(s.Task.Job)
				running = append(running, RunStatus{Task: s.Task, Run: s.Run})
			}
			assert.Assert(t, size <= settings.MaxStartBytes, "gang %v: %d bytes in one reply", gang, size)
		}
	}
}

// TestLargeStartIsSent guards against a task that never starts because its checkpoint
// alone is larger than the limit of a reply.
func TestLargeStartIsSent(t *testing.T) {
	settings := Defaults()
	settings.MaxStartBytes = 100
	f := newFixture(settings)
	f.Submit(jobs.Job{ID: "a", Queue: "q", Pool: "p", MaxAttempts: 2, Target: 3000, Spec: strings.Repeat("x", 200), Steps: []jobs.Step{smallStep, smallStep}}, f.now)
	f.heartbeat("w", 1, nil)
	assert.Equal(t, len(ordersFor(f.Pass(f.now), "w").Starts), 1)
}
