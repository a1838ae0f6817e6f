package codec

import (
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"camphorridge/core/coord/runner"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/sched"
	"camphorridge/io/proto/wirepb"
)

// TestCallRoundTrip checks that no field of a call about jobs or of its answer is
// lost between an operator or an entry process and the leader.
func TestCallRoundTrip(t *testing.T) {
	for _, c := range []runner.Call{
		{Kind: runner.CallSubmit, IssuedAt: 7, Key: "\xff\x01", Host: "h", Path: "/a", Job: jobs.Job{ID: "a", Steps: []jobs.Step{{TaskCount: 1}}}},
		{Kind: runner.CallExplain, JobID: "a"},
		{Kind: runner.CallList, Queue: "q"},
		{Kind: runner.CallCustomers},
	} {
		got, err := CallFromWire(CallToWire(c))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, c, cmpopts.EquateEmpty())
	}
	summary := sched.JobSummary{ID: "a", Queue: "q", Status: jobs.StatusFailed, AcceptedAt: 5, Deadline: 9}
	for _, a := range []runner.Answer{
		{Kind: runner.AnswerStale, RetryAfter: 500, Reason: "r", LeaderTime: 8},
		{Status: jobs.StatusRunning, Count: 3, Jobs: []sched.JobSummary{summary}},
		{Count: 2, UnknownKeyCalls: 7, Customers: []runner.CustomerStatus{{CustomerReport: sched.CustomerReport{
			Name: "c", Configured: true, WeightPermille: 1500, Quota: jobs.Resources{MilliCores: 1, MemoryMiB: 2, Accelerators: 3},
			Held: jobs.Resources{MilliCores: 4, MemoryMiB: 5, Accelerators: 6}, WaitingTasks: 8,
		}, ForeignJobCalls: 9}, {}}},
		{Report: &sched.JobReport{
			JobSummary: summary, Pool: "p", Now: 7, EndedAt: 6,
			Steps: []sched.StepReport{{
				Occurrence: 1, Step: 2, Tasks: 9, Done: 3, Running: 4, Waiting: 2, Runs: 8, Failures: 1, WaitReason: sched.WaitCapacity, WaitDetail: "d",
			}},
			Runs: []sched.RunReport{{
				Task: jobs.TaskID{Job: "a", Occurrence: 1, Step: 2, Index: 3}, Run: 2, Worker: "w", Percent: 40, StartedAt: 6, StopReason: "s",
			}},
		}},
	} {
		got, err := AnswerFromWire(AnswerToWire(a))
		assert.NilError(t, err)
		assert.DeepEqual(t, got, a, cmpopts.EquateEmpty())
	}
}

// TestUndefinedCallValuesAreRejected checks that kinds and statuses that this
// release does not define, and kinds of call that are not sent between processes,
// are rejected and not taken for other values.
func TestUndefinedCallValuesAreRejected(t *testing.T) {
	_, err := CallFromWire(&wirepb.WorkCall{Kind: int32(runner.CallCustomers) + 1})
	assert.ErrorContains(t, err, "kind")
	for _, w := range []*wirepb.WorkAnswer{
		{Kind: -1},
		{Status: 77},
		{Jobs: []*wirepb.JobLine{{Status: 77}}},
		{Report: &wirepb.JobReport{Job: &wirepb.JobLine{Status: -1}}},
	} {
		_, err := AnswerFromWire(w)
		assert.Assert(t, err != nil, "%v", w)
	}
}
