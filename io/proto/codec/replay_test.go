package codec

import (
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
)

// anyShortJob generates a job that a few operations can bring to any status.
func anyShortJob(t *rapid.T) jobs.Job {
	j := jobs.Job{ID: anyJobID(t), Queue: "q", Pool: "p", Spec: "s", MaxAttempts: rapid.IntRange(1, 2).Draw(t, "attempts")}
	for range rapid.IntRange(1, 2).Draw(t, "steps") {
		j.Steps = append(j.Steps, jobs.Step{
			TaskCount: rapid.IntRange(1, 2).Draw(t, "tasks"), Gang: rapid.Bool().Draw(t, "gang"),
			LongRunning: rapid.IntRange(0, 4).Draw(t, "lasting") == 0,
		})
	}
	j.OccurrenceCount = rapid.IntRange(0, 2).Draw(t, "times")
	return j
}

// jobOfEachStatus returns operations that bring one job, which has the name of the
// status as its ID, to each status.
func jobOfEachStatus() []jobs.Op {
	var ops []jobs.Op
	for status := jobs.StatusQueued; status <= jobs.StatusCancelled; status++ {
		task := jobs.TaskID{Job: jobs.ID(status.String())}
		ops = append(ops, jobs.Op{Kind: jobs.OpSubmit, Job: &jobs.Job{ID: task.Job, MaxAttempts: 1, Steps: []jobs.Step{{TaskCount: 1}}}})
		if status != jobs.StatusQueued && status != jobs.StatusCancelled {
			ops = append(ops, jobs.Op{Kind: jobs.OpAssign, Task: task, Run: 1, Worker: "w", Incarnation: 7})
		}
		switch status {
		case jobs.StatusCompleted:
			ops = append(ops, jobs.Op{Kind: jobs.OpEnd, Task: task, Run: 1, Result: jobs.ResultDone})
		case jobs.StatusFailed:
			ops = append(ops, jobs.Op{Kind: jobs.OpEnd, Task: task, Run: 1, Result: jobs.ResultFailed})
		case jobs.StatusCancelled:
			ops = append(ops, jobs.Op{Kind: jobs.OpCancel, Task: task})
		}
	}
	return ops
}

// anyMatchingOp generates an operation. Most of them match the state, so that jobs
// make progress.
func anyMatchingOp(t *rapid.T, s *jobs.State) jobs.Op {
	o := anyOp(t)
	o.Kind = rapid.SampledFrom([]jobs.OpKind{
		o.Kind, jobs.OpSubmit, jobs.OpAssign, jobs.OpAssign, jobs.OpAssign, jobs.OpEnd, jobs.OpEnd, jobs.OpEnd,
	}).Draw(t, "kind")
	o.Result = rapid.SampledFrom([]jobs.Result{o.Result, jobs.ResultDone, jobs.ResultDone}).Draw(t, "result")
	o.Task.Occurrence = rapid.IntRange(0, 1).Draw(t, "occurrence")
	o.Job, o.Config, o.Wave = nil, nil, nil
	switch o.Kind {
	case jobs.OpSubmit:
		j := anyShortJob(t)
		o.Job = &j
	case jobs.OpConfig:
		o.Config = &jobs.Config{Version: rapid.Uint64Range(1, 9).Draw(t, "version"), Document: []byte("{}")}
	case jobs.OpDeclareWave:
		o.Wave = &jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m1", "m2"}, MaxDown: 1, DeclaredAt: 5, Deadline: clock.Minute}
	case jobs.OpAssign:
		if task := s.Task(o.Task); task != nil {
			o.Run = task.Run + 1
		}
	case jobs.OpEnd:
		if task := s.Task(o.Task); task != nil {
			o.Run = task.Run
		}
	}
	return o
}

// TestRestartKeepsAnswers guards against a member whose answers about jobs and waves
// differ from those of the leader before it, because a part of the state got lost in
// the log or in a snapshot.
func TestRestartKeepsAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, restarted := fleet.New(), fleet.New()
		now := clock.Millis(1000)
		first := model.Change{Kind: model.ChangeJobs, Time: now, Ops: jobOfEachStatus()}
		leader.Apply(1, first)
		restarted.Apply(1, first)
		for id, r := range leader.Jobs.Jobs {
			assert.Equal(t, r.Status.String(), string(id))
		}
		changes := rapid.IntRange(1, 60).Draw(t, "changes")
		snapshotAt := rapid.IntRange(0, changes-1).Draw(t, "snapshot")
		for n := range changes {
			now += rapid.SampledFrom([]clock.Millis{0, 1, clock.Second, jobs.Retention / 2}).Draw(t, "elapsed")
			c := model.Change{Kind: model.ChangeJobs, Time: now, Ops: []jobs.Op{anyMatchingOp(t, leader.Jobs)}}
			logged, err := Codec{}.DecodeChange(Codec{}.EncodeChange(c))
			assert.NilError(t, err)
			if n == snapshotAt {
				restarted, err = Codec{}.DecodeState(Codec{}.EncodeState(restarted))
				assert.NilError(t, err)
			}
			leader.Apply(model.Version(n+2), c)
			restarted.Apply(model.Version(n+2), logged)
			assert.Equal(t, len(restarted.Jobs.Jobs), len(leader.Jobs.Jobs))
			assert.DeepEqual(t, restarted.Jobs.CancelledAt, leader.Jobs.CancelledAt)
			for id, r := range leader.Jobs.Jobs {
				assert.Equal(t, restarted.Jobs.Jobs[id].Status, r.Status)
			}
		}
		assert.DeepEqual(t, restarted.Jobs, leader.Jobs, cmpopts.EquateEmpty())
	})
}
