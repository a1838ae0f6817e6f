package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// TestCustomersReport guards against a customer whose runs or waiting tasks are missing in
// the operators' list: runs that are being stopped, best-effort runs, runs that no
// operation assigned, and those of a customer that the configuration no longer has.
func TestCustomersReport(t *testing.T) {
	f := newFixture(Defaults())
	config := f.State.Config
	quota := jobs.Resources{MilliCores: 40_000}
	config.Version, config.RequiresKeys = 2, true
	config.Customers = []jobs.Customer{
		{Name: "idle", KeyDigests: []jobs.KeyDigest{jobs.DigestKey("k1")}},
		{Name: "busy", KeyDigests: []jobs.KeyDigest{jobs.DigestKey("k2")}, WeightPermille: 1500, Quota: quota},
	}
	f.Configure(config, f.now)
	step := jobs.Step{TaskCount: 2, Resources: jobs.Resources{MilliCores: 6000, MemoryMiB: 10, Accelerators: 0}, Estimate: 500}
	bestEffort := step
	bestEffort.TaskCount, bestEffort.BestEffort = 1, true
	second := smallStep
	second.DependsOn = []int{0}
	submit := func(id jobs.ID, customer jobs.CustomerName, steps ...jobs.Step) {
		f.Submit(jobs.Job{ID: id, Queue: "q", Pool: "p", MaxAttempts: 2, Target: 3000, StretchPermille: 1500, Customer: customer, Steps: steps}, f.now)
	}
	submit("a", "busy", step, second)
	submit("b", "removed", bestEffort)
	submit("c", "", smallStep)
	f.heartbeat("w", 1, nil)
	f.Pass(f.now)
	submit("d", "busy", step)
	busy := CustomerReport{Name: "busy", Configured: true, WeightPermille: 1500, Quota: quota, Held: jobs.Resources{MilliCores: 12_000, MemoryMiB: 20}, WaitingTasks: 2}
	idle := CustomerReport{Name: "idle", Configured: true}
	removed := CustomerReport{Name: "removed", Held: jobs.Resources{MilliCores: 6000, MemoryMiB: 10}}
	assert.DeepEqual(t, f.Customers(), []CustomerReport{busy, idle, removed})

	// The runs of a cancelled job count until they have ended, and a run that the worker
	// lists counts although its job has ended.
	assert.Assert(t, f.Cancel(jobs.CancelKey{Job: "a", Customer: "busy"}, f.now))
	assert.Assert(t, f.Cancel(jobs.CancelKey{Job: "d", Customer: "busy"}, f.now))
	busy.WaitingTasks = 0
	assert.DeepEqual(t, f.Customers(), []CustomerReport{busy, idle, removed})
	var ended []RunEnd
	for n, index := range []int{0, 1} {
		ended = append(ended, RunEnd{Number: int64(n + 1), Task: jobs.TaskID{Job: "a", Index: index}, Run: 1, Result: jobs.ResultStopped})
	}
	listed := []RunStatus{{Task: jobs.TaskID{Job: "d"}, Run: 3}, {Task: jobs.TaskID{Job: "b"}, Run: 1}}
	f.now += 300
	f.heartbeat("w", 1, listed, ended...)
	busy.Held = jobs.Resources{MilliCores: 6000, MemoryMiB: 10}
	assert.DeepEqual(t, f.Customers(), []CustomerReport{busy, idle, removed})
}

// BenchmarkCustomerReports measures the reports on 89 customers, which a leader makes every two
// seconds, for several fleet sizes with ten runs on each worker. The cost grows with the
// number of runs.
func BenchmarkCustomerReports(b *testing.B) {
	for _, n := range []int{50, 350, 5100} {
		b.Run(fmt.Sprint(n, "-workers"), func(b *testing.B) {
			s, _ := benchmarkFleet(n)
			i := 0
			for _, rec := range s.State.Jobs {
				rec.Customer = jobs.CustomerName(fmt.Sprint("c", i%89))
				i++
			}
			for b.Loop() {
				s.Customers()
			}
		})
	}
}
