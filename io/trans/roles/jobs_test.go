package roles

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/sched"
	"camphorridge/io/trans/logs"
)

// TestNoteLines guards against log lines of decisions that lack the job or the worker,
// have the wrong level or are broken by a line break in the reason, and against lines
// for started runs, which are only counted. Operators who investigate a complaint
// search for these lines.
func TestNoteLines(t *testing.T) {
	var out bytes.Buffer
	// The fake clock stands at 1_796_382_000_123 ms since 1970.
	l, err := logs.New(&out, logs.Settings{Level: "info", Process: "c1", Zone: "zone-a"}, clock.NewFake(1_796_382_000_123).Clock())
	assert.NilError(t, err)
	c := &Control{log: l}
	task := jobs.TaskID{Job: "j-1", Occurrence: 1, Step: 2, Index: 3}
	c.logDecisions([]sched.Note{
		{Decision: sched.DecisionAccepted, Task: jobs.TaskID{Job: "j-1"}, Reason: "queue q at version 3"},
		{Decision: sched.DecisionStarted, Task: task, Run: 1, Worker: "w-1"},
		{Decision: sched.DecisionEnded, Task: task, Run: 1, Worker: "w-1", Reason: "lost: the worker's\nlease ended"},
		{Decision: sched.DecisionFailed, Task: jobs.TaskID{Job: "j-1"}, Reason: "after 9 ms", Important: true},
		{Decision: sched.DecisionMachineMoved, Reason: "m-1 to p"},
	})
	golden.Assert(t, out.String(), "note-lines.txt")
}

// TestDecisionsAreExplained guards against decisions in the log that the operators'
// page doesn't explain.
func TestDecisionsAreExplained(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, d := range sched.Decisions {
		assert.Assert(t, strings.Contains(string(page), "`"+string(d)+"`"), "%s is not on the page", d)
	}
}
