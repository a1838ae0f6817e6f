package jobs

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
)

func submitOp(id ID, steps ...Step) Op {
	return Op{Kind: OpSubmit, Job: &Job{ID: id, Queue: "q", Pool: "p", Spec: "s", MaxAttempts: 2, Steps: steps}}
}

func assignOp(t TaskID, run int) Op {
	return Op{Kind: OpAssign, Task: t, Run: run, Worker: "w", Incarnation: 1}
}

func endOp(t TaskID, run int, result Result) Op {
	return Op{Kind: OpEnd, Task: t, Run: run, Result: result, Checkpoint: "c"}
}

// TestStatus checks the job status that results from sequences of operations.
func TestStatus(t *testing.T) {
	first, second := TaskID{Job: "a"}, TaskID{Job: "a", Step: 1}
	steps := []Step{{TaskCount: 1}, {TaskCount: 1, DependsOn: []int{0}}}
	longRunning := []Step{{TaskCount: 1, LongRunning: true}}
	for _, c := range []struct {
		name  string
		steps []Step
		ops   []Op
		want  Status
	}{
		{"accepted", steps, nil, StatusQueued},
		{"started", steps, []Op{assignOp(first, 1)}, StatusRunning},
		{"one step done", steps, []Op{assignOp(first, 1), endOp(first, 1, ResultDone)}, StatusRunning},
		{"all done", steps, []Op{assignOp(first, 1), endOp(first, 1, ResultDone), assignOp(second, 1), endOp(second, 1, ResultDone)}, StatusCompleted},
		{"failed once", steps, []Op{assignOp(first, 1), endOp(first, 1, ResultFailed)}, StatusRunning},
		{"failed twice", steps, []Op{assignOp(first, 1), endOp(first, 1, ResultFailed), assignOp(first, 2), endOp(first, 2, ResultFailed)}, StatusFailed},
		{"lost twice", steps, []Op{assignOp(first, 1), endOp(first, 1, ResultLost), assignOp(first, 2), endOp(first, 2, ResultLost)}, StatusRunning},
		{"stale run completed", steps, []Op{assignOp(first, 1), endOp(first, 1, ResultLost), assignOp(first, 2), endOp(first, 1, ResultDone)}, StatusRunning},
		{"cancelled", steps, []Op{{Kind: OpCancel, Task: first}}, StatusCancelled},
		{"cancelled after completion", steps, []Op{assignOp(first, 1), endOp(first, 1, ResultDone), assignOp(second, 1), endOp(second, 1, ResultDone), {Kind: OpCancel, Task: first}}, StatusCompleted},
		{"run completed after cancellation", steps, []Op{assignOp(first, 1), {Kind: OpCancel, Task: first}, endOp(first, 1, ResultDone)}, StatusCancelled},
		{"long-running task completed", longRunning, []Op{assignOp(first, 1), endOp(first, 1, ResultDone)}, StatusRunning},
		{"long-running task failed repeatedly", longRunning, []Op{assignOp(first, 1), endOp(first, 1, ResultFailed), assignOp(first, 2), endOp(first, 2, ResultFailed)}, StatusRunning},
		{"submitted a second time", steps, []Op{assignOp(first, 1), submitOp("a", steps...)}, StatusRunning},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.Apply(append([]Op{submitOp("a", c.steps...)}, c.ops...), 1)
			assert.Equal(t, s.Jobs["a"].Status, c.want)
		})
	}
}

// TestRunNumbersIncrease guards against two starts with the same run number,
// which a worker would treat as one.
func TestRunNumbersIncrease(t *testing.T) {
	task := TaskID{Job: "a"}
	s := New()
	s.Apply([]Op{submitOp("a", Step{TaskCount: 1}), assignOp(task, 1), endOp(task, 1, ResultLost), assignOp(task, 1)}, 1)
	assert.Equal(t, s.Task(task).Phase, PhaseWaiting)
	s.Apply([]Op{assignOp(task, 2)}, 1)
	assert.Equal(t, s.Task(task).Run, 2)
	assert.Equal(t, s.Task(task).Checkpoint, "c")
}

// TestEndedJobsAreRemovedAfterRetention guards against a state that grows
// without limit, and against the removal of a job that its submitter may still
// query.
func TestEndedJobsAreRemovedAfterRetention(t *testing.T) {
	s := New()
	s.Apply([]Op{submitOp("a", Step{TaskCount: 1}), {Kind: OpCancel, Task: TaskID{Job: "a"}}}, 1000)
	s.Apply(nil, 1000+Retention-1)
	assert.Assert(t, s.Jobs["a"] != nil)
	s.Apply(nil, 1000+Retention)
	assert.Assert(t, s.Jobs["a"] == nil)
	assert.Assert(t, Retention >= 2*clock.Minute)
}

// TestReplicasExpireWithTheLeader guards against an accepted job that the replicated state
// ignores: the leader applies operations one by one, and has removed an ended job with the
// same ID before, while the replicas apply them in one batch.
func TestReplicasExpireWithTheLeader(t *testing.T) {
	ops := []Op{submitOp("b", Step{TaskCount: 1}), submitOp("a", Step{TaskCount: 1})}
	leader := New()
	leader.Apply([]Op{submitOp("a", Step{TaskCount: 1}), {Kind: OpCancel, Task: TaskID{Job: "a"}}}, 1000)
	replica := leader.Clone()
	for _, o := range ops {
		leader.Apply([]Op{o}, 1000+Retention)
	}
	replica.Apply(ops, 1001+Retention)
	assert.Equal(t, leader.Jobs["a"].Status, StatusQueued)
	assert.Equal(t, replica.Jobs["a"].Status, StatusQueued)
}

// TestCancelIsRemembered guards against a cancel that does not hold against a later
// submission, and against a state that grows with each repetition of a cancel.
func TestCancelIsRemembered(t *testing.T) {
	cancel := Op{Kind: OpCancel, Task: TaskID{Job: "a"}}
	s := New()
	for _, c := range []struct {
		name       string
		ops        []Op
		now        clock.Millis
		due        bool
		tombstones int
	}{
		{"unknown job", nil, 1000, true, 0},
		{"cancelled", []Op{cancel}, 1000, false, 1},
		{"repeated soon", nil, 1000 + renewalAge, false, 1},
		{"repeated later", nil, 1001 + renewalAge, true, 1},
		{"renewed", []Op{cancel}, 1001 + renewalAge, false, 2},
		{"after the retention of the first", nil, 1000 + Retention, true, 1},
		{"submitted and cancelled", []Op{submitOp("a", Step{TaskCount: 1}), cancel}, 1000 + Retention, false, 1},
		{"after the retention of both", nil, 1001 + renewalAge + Retention, true, 0},
		{"ended long ago", []Op{cancel}, 1001 + renewalAge + Retention, false, 1},
		{"job removed, cancel kept", nil, 1000 + 2*Retention, true, 1},
	} {
		s.Apply(c.ops, c.now)
		assert.Equal(t, s.CancelIsDue(CancelKey{Job: "a"}, c.now), c.due, c.name)
		assert.Equal(t, len(s.Tombstones), c.tombstones, c.name)
		_, remembered := s.CancelledAt[CancelKey{Job: "a"}]
		assert.Equal(t, remembered, c.tombstones > 0, c.name)
	}
	assert.Assert(t, s.Jobs["a"] == nil)
}

// TestCloneIsIndependent guards against a clone that shares modified data with
// its original: operations that the leader has applied only to its own copy
// would change the committed state.
func TestCloneIsIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		task := TaskID{Job: "a", Index: rapid.IntRange(0, 2).Draw(t, "index")}
		s.Apply([]Op{submitOp("a", Step{TaskCount: 3}), {Kind: OpDeclareWave, Wave: &Wave{Number: 1, Machines: []MachineID{"m"}}}}, 1)
		c := s.Clone()
		c.Apply([]Op{assignOp(task, 1), endOp(task, 1, ResultDone), {Kind: OpMaintenanceStarted, WaveNumber: 1, Machine: "m"}, {Kind: OpCancel, Task: task}, {Kind: OpCancel, Task: task}}, 2)
		assert.Equal(t, len(s.Tombstones)+len(s.CancelledAt), 0)
		assert.Equal(t, s.Jobs["a"].Status, StatusQueued)
		assert.Equal(t, s.Task(task).Phase, PhaseWaiting)
		assert.Equal(t, len(s.Waves[1].Started), 0)
		assert.Equal(t, len(s.EndedJobs), 0)
	})
}

// TestCriticalPath guards against a deadline that adds up the durations of
// steps that run in parallel.
func TestCriticalPath(t *testing.T) {
	j := Job{Steps: []Step{{Estimate: 100}, {Estimate: 300}, {Estimate: 50, DependsOn: []int{0}}, {Estimate: 10, DependsOn: []int{1, 2}}}}
	assert.Equal(t, j.CriticalPath(), clock.Millis(310))
}

// TestWaveCompletionCountsItsMachines guards against a wave that counts as
// completed because the maintenance of a machine outside the wave was recorded
// in it, and against one that never completes because it names a machine twice.
func TestWaveCompletionCountsItsMachines(t *testing.T) {
	s := New()
	started := func(m MachineID) Op { return Op{Kind: OpMaintenanceStarted, WaveNumber: 1, Machine: m} }
	s.Apply([]Op{{Kind: OpDeclareWave, Wave: &Wave{Number: 1, Machines: []MachineID{"m1", "m2", "m2"}}}, started("m1"), started("other"), started("another")}, 1)
	assert.Assert(t, !s.Waves[1].Completed())
	s.Apply([]Op{started("m2")}, 2)
	assert.Assert(t, s.Waves[1].Completed())
	s.Apply([]Op{{Kind: OpDeclareWave, Wave: &Wave{Number: 2, Machines: []MachineID{"m1", "m1"}}}, {Kind: OpMaintenanceStarted, WaveNumber: 2, Machine: "m1"}}, 3)
	assert.Assert(t, s.Waves[2].Completed())
}

// TestMachineOrdersAreBounded guards against orders for machines that are kept for ever, and
// against one that is forgotten while it still matters to a new leader.
func TestMachineOrdersAreBounded(t *testing.T) {
	s := New()
	move := Op{Kind: OpMoveOrdered, Machine: "m", Pool: "p", Incarnation: 7}
	s.Apply([]Op{move}, 1000)
	s.Apply([]Op{move}, 1000+orderRetention)
	assert.DeepEqual(t, s.MachineOrders, []MachineOrder{
		{Machine: "m", Pool: "p", Incarnation: 7, At: 1000}, {Machine: "m", Pool: "p", Incarnation: 7, At: 1000 + orderRetention},
	})
	s.Apply(nil, 1001+orderRetention)
	assert.Equal(t, len(s.MachineOrders), 1)
}
