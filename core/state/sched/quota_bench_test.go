package sched

import (
	"fmt"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// quotaBenchCores is the sum of the quotas in the benchmarks with blocked work, less than
// half of what the workers have.
const quotaBenchCores = 1000

// customerJob returns a job of one of the customers. Its estimate is long because the
// heartbeats of the benchmark show no progress.
func customerJob(n, customers int) jobs.Job {
	return jobs.Job{
		ID: jobs.ID(fmt.Sprint("j", n)), Queue: "q", Pool: "p", MaxAttempts: 3, Target: 3600, StretchPermille: 1600, Customer: customerName(n % customers),
		Steps: []jobs.Step{{TaskCount: 8, Resources: jobs.Resources{MilliCores: 500, MemoryMiB: 100}, Estimate: clock.Minute}},
	}
}

func customerName(n int) jobs.CustomerName { return jobs.CustomerName(fmt.Sprint("c", n)) }

// customerPool returns a scheduler with a pool in which the given number of jobs of
// customers wait, and the next heartbeat of each worker. Each customer has the given
// quota.
func customerPool(workers, customers, backlog int, quota jobs.Resources) (*testScheduler, []surgeWorker) {
	all := make([]jobs.Customer, customers)
	for n := range all {
		all[n] = jobs.Customer{Name: customerName(n), Quota: quota}
	}
	return poolWith(workers, backlog, all, func(n int) jobs.Job { return customerJob(n, customers) })
}

// BenchmarkCustomers measures a heartbeat that reports the end of a run, one submission
// for every eight of these, and the pass that starts the next task, for several numbers of
// customers and jobs that wait. In the case blocked, all jobs wait for the quotas, of
// which the sum is the same for each number of customers. In the case full, they wait for
// workers and the quotas are far off. The cost must not depend on the number of customers
// or jobs.
func BenchmarkCustomers(b *testing.B) {
	for _, name := range []string{"blocked", "full"} {
		for _, customers := range []int{20, 2000} {
			for _, backlog := range []int{4000, 16_000} {
				b.Run(fmt.Sprint(name, "/", customers, "-customers/", backlog, "-jobs"), func(b *testing.B) {
					quota := jobs.Resources{MilliCores: 1_000_000}
					if name == "blocked" {
						quota.MilliCores = quotaBenchCores * 1000 / customers
					}
					benchmarkCustomers(b, customers, backlog, quota)
				})
			}
		}
	}
}

func benchmarkCustomers(b *testing.B, customers, backlog int, quota jobs.Resources) {
	const workers = 130
	s, heartbeats := customerPool(workers, customers, backlog, quota)
	now := s.termStart
	submitted, i := backlog, 0
	for b.Loop() {
		h := &heartbeats[i%workers]
		if i++; i%8 == 0 {
			s.Submit(customerJob(submitted, customers), now)
			submitted++
		}
		now++
		h.endFirstRun()
		h.Seq++
		h.ReceivedAt = now
		s.Heartbeat(h.Heartbeat, now)
		applyStarts(heartbeats, s.Pass(now).Orders)
	}
}
