package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// TestRememberedCancelsAreBounded guards against cancels of unknown jobs that use up the
// memory of the leader, and against acknowledging one that is not remembered. Cancels of
// known jobs go on.
func TestRememberedCancelsAreBounded(t *testing.T) {
	f := newFixture(Defaults())
	f.Submit(jobs.Job{ID: "known", Queue: "q", Pool: "p", Steps: []jobs.Step{{TaskCount: 1}}}, f.now)
	for n := range maxTombstones {
		assert.Assert(t, f.Cancel(jobs.CancelKey{Job: jobs.ID(fmt.Sprint("j", n))}, f.now))
	}
	ops := f.PendingOps()
	assert.Assert(t, f.Cancel(jobs.CancelKey{Job: "j1"}, f.now), "it is remembered already")
	assert.Assert(t, !f.Cancel(jobs.CancelKey{Job: "unknown"}, f.now))
	assert.Equal(t, f.PendingOps(), ops)
	assert.Assert(t, f.Cancel(jobs.CancelKey{Job: "known"}, f.now))
	assert.Equal(t, f.State.Jobs["known"].Status, jobs.StatusCancelled)
	f.now += jobs.Retention
	f.State.Apply(nil, f.now)
	assert.Assert(t, f.Cancel(jobs.CancelKey{Job: "unknown"}, f.now))
}
