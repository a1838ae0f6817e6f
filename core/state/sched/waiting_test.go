package sched

import (
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// lastingStep is a step with one long-running task on half of a worker.
var lastingStep = jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 8000, MemoryMiB: 16_000}, LongRunning: true}

// noteOf returns the reason of the first note of a kind; empty for none.
func noteOf(p Plan, decision Decision) string {
	for _, n := range p.Notes {
		if n.Decision == decision {
			return n.Reason
		}
	}
	return ""
}

// TestWaitingLongRunningTaskIsLogged guards against a long-running task that waits
// while the log does not say which check excludes the workers.
func TestWaitingLongRunningTaskIsLogged(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("serve", lastingStep)
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	f.workers["w1"].goingDown, f.workers["w2"].vacating = true, true
	f.Pass(f.now)
	f.now += longWaitMillis + 1
	assert.Assert(t, is.Contains(noteOf(f.Pass(f.now), DecisionTaskWaiting), "2 live workers, 1 excluded by going-down, 1 excluded by vacating, 0 remain"))
}

// TestRunThatIsNotListedIsLogged guards against a long-running task that counts as
// assigned and does not run, without a line in the log.
func TestRunThatIsNotListedIsLogged(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("serve", lastingStep)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	f.now += longWaitMillis
	f.heartbeat("w1", 1, nil)
	assert.Assert(t, is.Contains(noteOf(f.Pass(f.now), DecisionRunNotListed), "assigned 2000 ms ago"))
}

// TestSilentWorkerOfNewTermIsLogged guards against a line that gives the age of a
// heartbeat although the worker has not been heard in this term.
func TestSilentWorkerOfNewTermIsLogged(t *testing.T) {
	f := newFixture(Defaults())
	f.submit("serve", lastingStep)
	f.heartbeat("w1", 1, nil)
	f.Pass(f.now)
	f.testScheduler = New(f.settings, EarliestDeadline{}, place.PeerComparison{MinScore: 3}, f.State.Clone(), f.now)
	f.now += longWaitMillis
	assert.Assert(t, is.Contains(noteOf(f.Pass(f.now), DecisionRunNotListed), "has not been heard in this term"))
}
