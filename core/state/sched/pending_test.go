package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// TestPendingIncludesAssignedJobThatNeverStarted guards against a waiting job that pending leaves out because its start order was lost or refused.
func TestPendingIncludesAssignedJobThatNeverStarted(t *testing.T) {
	task := jobs.TaskID{Job: "j"}
	refused := RunEnd{Number: 1, Task: task, Run: 1, Result: jobs.ResultRefused}
	for _, tc := range []struct {
		name string
		then func(f *fixture)
		want int
	}{
		{"order in transit", func(*fixture) {}, 1},
		{"reply lost", func(f *fixture) { f.heartbeat("w", 1, nil) }, 1},
		{"lease ended", func(f *fixture) { f.now += 2 * f.maxLease() }, 1},
		{"worker restarted", func(f *fixture) { f.heartbeat("w", 2, nil) }, 1},
		{"start refused", func(f *fixture) { f.heartbeat("w", 1, nil, refused) }, 1},
		{"new leader", func(f *fixture) {
			f.testScheduler = New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now)
		}, 1},
		{"running", func(f *fixture) { f.heartbeat("w", 1, []RunStatus{{Task: task, Run: 1}}) }, 0},
		{"cancelled", func(f *fixture) { f.Cancel(jobs.CancelKey{Job: "j"}, f.now) }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(Defaults())
			f.submit("j", jobs.Step{TaskCount: 1, Estimate: 400})
			f.heartbeat("w", 1, nil)
			assert.Equal(t, len(ordersFor(f.Pass(f.now), "w").Starts), 1)
			f.now += 100
			tc.then(f)
			f.Pass(f.now)
			assert.Equal(t, f.PendingJobs("q"), tc.want)
		})
	}
}

// TestNewLeaderKnowsStartedJobs guards against a started job that a new leader counts as pending.
func TestNewLeaderKnowsStartedJobs(t *testing.T) {
	task := jobs.TaskID{Job: "j"}
	for _, end := range []RunEnd{
		{Number: 1, Task: task, Run: 1, Result: jobs.ResultDone},
		{Number: 1, Task: task, Run: 1, Result: jobs.ResultFailed},
		{Number: 1, Task: task, Run: 1, Result: jobs.ResultStopped, Checkpoint: "c"},
	} {
		f := newFixture(Defaults())
		f.submit("j", jobs.Step{TaskCount: 2, Estimate: 400})
		f.heartbeat("w", 1, nil)
		f.Pass(f.now)
		f.now += clock.Second
		f.heartbeat("w", 1, nil, end)
		f.Pass(f.now)
		next := New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now)
		assert.Equal(t, next.PendingJobs("q"), 0, "result %s", end.Result)
	}
}
