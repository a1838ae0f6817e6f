package sched

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// reasonsOf returns the reasons of the notes of the given decision.
func reasonsOf(p Plan, d Decision) []string {
	var reasons []string
	for _, n := range p.Notes {
		if n.Decision == d {
			reasons = append(reasons, n.Reason)
		}
	}
	return reasons
}

// TestWaveCompletionIsExplained guards against a completed wave whose line does
// not tell a machine that was maintained from one that counts as gone.
func TestWaveCompletionIsExplained(t *testing.T) {
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.DeclareWave(jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m1"}, MaxDown: 1, Deadline: 30_000}, f.now)
	f.HandleOutcome(actionsOf(f.Pass(f.now), ActionMaintain)[0], Outcome{Answer: AnswerDone}, f.now)
	reasons := reasonsOf(f.Pass(f.now), DecisionWaveCompleted)
	assert.Equal(t, len(reasons), 1)
	assert.Assert(t, strings.HasPrefix(reasons[0], "wave 1, 1 machines, 1 answered"), reasons[0])
}
