package sched

import (
	"fmt"
	"testing"

	"camphorridge/core/state/jobs"
)

// BenchmarkFullPoolOfCustomers measures the same as BenchmarkFullPool with a backlog of
// 10,000 jobs of several customers, without weights and with them. The cost must not
// depend on the number of customers.
func BenchmarkFullPoolOfCustomers(b *testing.B) {
	for _, customers := range []int{20, 2000} {
		for _, weight := range []int{0, 1000} {
			b.Run(fmt.Sprintf("%d-customers-weight-%d", customers, weight), func(b *testing.B) {
				const workers, backlog = 130, 10_000
				s, heartbeats := fullPoolOfCustomers(workers, backlog, customers, weight)
				now := s.termStart
				submitted, i := 0, 0
				for b.Loop() {
					h := &heartbeats[i%workers]
					if i++; i%4 == 0 {
						submitted++
						s.Submit(weightedJob(backlog+submitted, customers), now)
					}
					now++
					h.endFirstRun()
					h.Seq++
					h.ReceivedAt = now
					s.Heartbeat(h.Heartbeat, now)
					applyStarts(heartbeats, s.Pass(now).Orders)
				}
				if contended := s.pool("p").shares.contended; contended != (weight > 0) {
					b.Fatal("the order by shares applies:", contended)
				}
			})
		}
	}
}

// weightedJob returns a job of surgeJob of one of several customers.
func weightedJob(n, customers int) jobs.Job {
	j := surgeJob(n)
	j.Customer = jobs.CustomerName(fmt.Sprint("c", max(n, -n)%customers))
	return j
}

// fullPoolOfCustomers returns what fullPool returns, with jobs of several customers.
func fullPoolOfCustomers(workers, backlog, customers, weight int) (*testScheduler, []surgeWorker) {
	all := make([]jobs.Customer, customers)
	for n := range all {
		all[n] = jobs.Customer{Name: jobs.CustomerName(fmt.Sprint("c", n)), WeightPermille: weight}
	}
	return poolWith(workers, backlog+workers, all, func(n int) jobs.Job { return weightedJob(-n, customers) })
}
