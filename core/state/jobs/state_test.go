package jobs

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
)

func submitted(id ID, steps ...Step) Op {
	return Op{Kind: OpSubmit, Job: &Job{ID: id, Queue: "q", Pool: "p", Spec: "s", MaxAttempts: 2, Steps: steps}}
}

func assigned(t TaskID, run int) Op {
	return Op{Kind: OpAssign, Task: t, Run: run, Worker: "w", Incarnation: 1}
}

func ended(t TaskID, run int, how Result) Op {
	return Op{Kind: OpEnd, Task: t, Run: run, Result: how, Checkpoint: "c"}
}

// TestStatus is the table of how operations change a job's status.
func TestStatus(t *testing.T) {
	one, two := TaskID{Job: "a"}, TaskID{Job: "a", Step: 1}
	steps := []Step{{TaskCount: 1}, {TaskCount: 1, DependsOn: []int{0}}}
	lasting := []Step{{TaskCount: 1, LongRunning: true}}
	for _, c := range []struct {
		name  string
		steps []Step
		ops   []Op
		want  Status
	}{
		{"accepted", steps, nil, StatusQueued},
		{"started", steps, []Op{assigned(one, 1)}, StatusRunning},
		{"one step done", steps, []Op{assigned(one, 1), ended(one, 1, ResultDone)}, StatusRunning},
		{"all done", steps, []Op{assigned(one, 1), ended(one, 1, ResultDone), assigned(two, 1), ended(two, 1, ResultDone)}, StatusCompleted},
		{"failed once", steps, []Op{assigned(one, 1), ended(one, 1, ResultFailed)}, StatusRunning},
		{"failed twice", steps, []Op{assigned(one, 1), ended(one, 1, ResultFailed), assigned(one, 2), ended(one, 2, ResultFailed)}, StatusFailed},
		{"lost twice", steps, []Op{assigned(one, 1), ended(one, 1, ResultLost), assigned(one, 2), ended(one, 2, ResultLost)}, StatusRunning},
		{"end of an earlier run", steps, []Op{assigned(one, 1), ended(one, 1, ResultLost), assigned(one, 2), ended(one, 1, ResultDone)}, StatusRunning},
		{"cancelled", steps, []Op{{Kind: OpCancel, Task: one}}, StatusCancelled},
		{"cancelled after its end", steps, []Op{assigned(one, 1), ended(one, 1, ResultDone), assigned(two, 1), ended(two, 1, ResultDone), {Kind: OpCancel, Task: one}}, StatusCompleted},
		{"done after a cancel", steps, []Op{assigned(one, 1), {Kind: OpCancel, Task: one}, ended(one, 1, ResultDone)}, StatusCancelled},
		{"lasting task ended well", lasting, []Op{assigned(one, 1), ended(one, 1, ResultDone)}, StatusRunning},
		{"lasting task failed often", lasting, []Op{assigned(one, 1), ended(one, 1, ResultFailed), assigned(one, 2), ended(one, 2, ResultFailed)}, StatusRunning},
		{"submitted again", steps, []Op{assigned(one, 1), submitted("a", steps...)}, StatusRunning},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.Apply(append([]Op{submitted("a", c.steps...)}, c.ops...), 1)
			assert.Equal(t, s.Jobs["a"].Status, c.want)
		})
	}
}

// TestRunNumbersGrow guards against two starts under one number, which a worker
// would take for one.
func TestRunNumbersGrow(t *testing.T) {
	task := TaskID{Job: "a"}
	s := New()
	s.Apply([]Op{submitted("a", Step{TaskCount: 1}), assigned(task, 1), ended(task, 1, ResultLost), assigned(task, 1)}, 1)
	assert.Equal(t, s.Task(task).Phase, PhaseWaiting)
	s.Apply([]Op{assigned(task, 2)}, 1)
	assert.Equal(t, s.Task(task).Run, 2)
	assert.Equal(t, s.Task(task).Checkpoint, "c")
}

// TestEndedJobsAreForgotten guards against a state that grows for good, and
// against one that forgets a job while its submitter may ask for it.
func TestEndedJobsAreForgotten(t *testing.T) {
	s := New()
	s.Apply([]Op{submitted("a", Step{TaskCount: 1}), {Kind: OpCancel, Task: TaskID{Job: "a"}}}, 1000)
	s.Apply(nil, 1000+Retention-1)
	assert.Assert(t, s.Jobs["a"] != nil)
	s.Apply(nil, 1000+Retention)
	assert.Assert(t, s.Jobs["a"] == nil)
	assert.Assert(t, Retention >= 2*clock.Minute)
}

// TestCloneSharesNothing guards against a leader's copy through which
// uncommitted operations reach the committed state.
func TestCloneSharesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		task := TaskID{Job: "a", Index: rapid.IntRange(0, 2).Draw(t, "index")}
		s.Apply([]Op{submitted("a", Step{TaskCount: 3}), {Kind: OpDeclareWave, Wave: &Wave{Number: 1, Machines: []MachineID{"m"}}}}, 1)
		c := s.Clone()
		c.Apply([]Op{assigned(task, 1), ended(task, 1, ResultDone), {Kind: OpMaintenanceStarted, WaveNumber: 1, Machine: "m"}, {Kind: OpCancel, Task: task}}, 2)
		assert.Equal(t, s.Jobs["a"].Status, StatusQueued)
		assert.Equal(t, s.Task(task).Phase, PhaseWaiting)
		assert.Equal(t, len(s.Waves[1].Started), 0)
		assert.Equal(t, len(s.EndedJobs), 0)
	})
}

// TestObjectiveChain guards against an objective that counts steps side by side
// as if they followed on each other.
func TestObjectiveChain(t *testing.T) {
	j := Job{Steps: []Step{{Estimate: 100}, {Estimate: 300}, {Estimate: 50, DependsOn: []int{0}}, {Estimate: 10, DependsOn: []int{1, 2}}}}
	assert.Equal(t, j.CriticalPath(), clock.Millis(310))
}
