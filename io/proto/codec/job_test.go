package codec

import (
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
)

// anyJob generates a job with one of three ids, so that several operations of a
// sequence concern the same job.
func anyJob(t *rapid.T) jobs.Job {
	j := jobs.Job{
		ID: anyJobID(t), Queue: "q", Pool: "p", Spec: "\x00\xff", MaxAttempts: 2, Target: 3600, StretchPermille: 1600, Customer: anyCustomer(t),
		Steps: []jobs.Step{
			{TaskCount: 2, Resources: jobs.Resources{MilliCores: 500, MemoryMiB: 256}, Estimate: 900, DataRack: "r1", MaxPerWorker: 1},
			{TaskCount: 1, DependsOn: []int{0}, Checkpoints: true, LongRunning: rapid.Bool().Draw(t, "lasting"), MaxUnavailable: 1, LatencyTarget: 40},
		},
	}
	j.OccurrenceCount = rapid.IntRange(0, 2).Draw(t, "times")
	return j
}

func anyJobID(t *rapid.T) jobs.ID {
	return jobs.ID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job"))
}

func anyCustomer(t *rapid.T) jobs.CustomerName {
	return jobs.CustomerName(rapid.SampledFrom([]string{"", "c1", "c2"}).Draw(t, "customer"))
}

// anyOp generates an operation on the replicated job state.
func anyOp(t *rapid.T) jobs.Op {
	o := jobs.Op{
		Kind: jobs.OpKind(rapid.IntRange(0, int(jobs.LastOpKind)).Draw(t, "op")),
		Task: jobs.TaskID{Job: anyJobID(t), Step: rapid.IntRange(0, 1).Draw(t, "step"), Index: rapid.IntRange(0, 1).Draw(t, "index")},
		Run:  rapid.IntRange(1, 3).Draw(t, "run"), Worker: "w", Incarnation: 7,
		Result: jobs.Result(rapid.IntRange(0, int(jobs.ResultLost)).Draw(t, "how")), Checkpoint: "\xfe",
		WaveNumber: 1, Machine: jobs.MachineID(rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "machine")),
		Late: rapid.Bool().Draw(t, "late"), Pool: "p", Customer: anyCustomer(t),
	}
	switch o.Kind {
	case jobs.OpSubmit:
		j := anyJob(t)
		o.Job = &j
	case jobs.OpConfig:
		o.Config = &jobs.Config{
			Version: rapid.Uint64Range(1, 9).Draw(t, "version"), Document: []byte("{}"),
			Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/p/", Pool: "p", MaxAttempts: 2, Advice: jobs.AdvicePolicy{TicketValidity: 4000, BaseLatency: 50, LatencyPerWorker: 3}, Public: rapid.Bool().Draw(t, "public")}},
			Pools:  []jobs.Pool{{Name: "p", Standby: true, AdmissionControl: true}},

			RequiresKeys: rapid.Bool().Draw(t, "requires keys"),
			Customers: []jobs.Customer{{
				Name: "c1", KeyDigests: []jobs.KeyDigest{jobs.DigestKey("k1"), jobs.DigestKey("k2")}, WeightPermille: 1500,
				Quota: jobs.Resources{MilliCores: 5000, MemoryMiB: 600, Accelerators: 7},
			}},
		}
	case jobs.OpDeclareWave:
		o.Wave = &jobs.Wave{Number: 1, Machines: []jobs.MachineID{"m1", "m2"}, MaxDown: 1, DeclaredAt: 5, Deadline: clock.Minute}
	}
	return o
}

// TestJobsChangeRoundTrip checks that no part of an operation on the job state is
// lost when its change is encoded for the log and decoded.
func TestJobsChangeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := model.Change{Kind: model.ChangeJobs, Time: 5, Ops: upToThree(t, anyOp)}
		got, err := Codec{}.DecodeChange(Codec{}.EncodeChange(c))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, c, cmpopts.EquateEmpty())
	})
}

// TestInvalidJobsAreRejected checks that jobs are not decoded if they cannot be
// scheduled or have so many tasks that they would exhaust the memory of a process.
func TestInvalidJobsAreRejected(t *testing.T) {
	step := jobs.Step{TaskCount: 1}
	cases := []struct {
		name string
		job  jobs.Job
	}{
		{"no id", jobs.Job{Steps: []jobs.Step{step}}},
		{"no steps", jobs.Job{ID: "a"}},
		{"no tasks", jobs.Job{ID: "a", Steps: []jobs.Step{{}}}},
		{"too many tasks", jobs.Job{ID: "a", Steps: []jobs.Step{{TaskCount: maxDecodedTasks + 1}}}},
		{"too many occurrences", jobs.Job{ID: "a", Steps: []jobs.Step{step}, OccurrenceCount: maxDecodedTasks + 1}},
		{"depends on itself", jobs.Job{ID: "a", Steps: []jobs.Step{{TaskCount: 1, DependsOn: []int{0}}}}},
		{"depends on a later step", jobs.Job{ID: "a", Steps: []jobs.Step{{TaskCount: 1, DependsOn: []int{1}}, step}}},
		{"depends on a negative step", jobs.Job{ID: "a", Steps: []jobs.Step{{TaskCount: 1, DependsOn: []int{-1}}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := JobFromWire(JobToWire(c.job))
			assert.Assert(t, err != nil)
		})
	}
}
