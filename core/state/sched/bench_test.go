package sched

import (
	"fmt"
	"testing"

	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// benchmarkFleet returns a scheduler with n workers in pools of 70, and a
// heartbeat of each worker that lists its runs. A pool runs ten tasks for each of
// its workers and has capacity for sixteen.
func benchmarkFleet(n int) (*testScheduler, []Heartbeat) {
	state := jobs.New()
	c := jobs.Config{Version: 1}
	for p := range (n + 69) / 70 {
		name := fmt.Sprint("p", p)
		c.Pools = append(c.Pools, jobs.Pool{Name: jobs.PoolName(name)})
		c.Queues = append(c.Queues, jobs.Queue{Name: jobs.QueueName(name), Host: name, Prefix: "/", Pool: jobs.PoolName(name), MaxAttempts: 3, Target: 1 << 40})
	}
	state.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &c}}, 1000)
	s := New(Defaults(), EarliestDeadline{}, place.PeerComparison{MinScore: 3}, state, 1000)
	heartbeats := make([]Heartbeat, n)
	for i := range heartbeats {
		pool := jobs.PoolName(fmt.Sprint("p", i/70))
		heartbeats[i] = Heartbeat{
			Worker: jobs.WorkerID(fmt.Sprint("w", i)), Machine: jobs.MachineID(fmt.Sprint("m", i)), Incarnation: 1, Pool: pool,
			Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, Labels: []string{"a", "r-1"},
		}
		s.Submit(jobs.Job{ID: jobs.ID(fmt.Sprint("j", i)), Queue: jobs.QueueName(pool), Pool: pool, MaxAttempts: 3, Target: 1 << 40, Steps: []jobs.Step{
			{TaskCount: 10, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, Estimate: 60_000},
		}}, 1000)
	}
	for i := range heartbeats {
		heartbeats[i].Seq++
		heartbeats[i].ReceivedAt = 1000
		s.Heartbeat(heartbeats[i], 1000)
	}
	for _, o := range s.Pass(1000).Orders {
		for i := range heartbeats {
			if heartbeats[i].Worker == o.Worker {
				for _, st := range o.Starts {
					heartbeats[i].Running = append(heartbeats[i].Running, RunStatus{Task: st.Task, Run: st.Run, Percent: 1})
				}
			}
		}
	}
	return s, heartbeats
}

// BenchmarkHeartbeat measures a heartbeat without changes and the pass after it
// for several fleet sizes. The cost must not depend on the size.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{50, 350, 5100} {
		b.Run(fmt.Sprint(n, "-workers"), func(b *testing.B) {
			s, heartbeats := benchmarkFleet(n)
			now := s.termStart
			i := 0
			for b.Loop() {
				h := &heartbeats[i%n]
				if i++; i%n == 0 {
					now += 500
				}
				h.Seq += 1
				h.ReceivedAt = now
				s.Heartbeat(*h, now)
				s.Pass(now)
			}
		})
	}
}

// BenchmarkHeartbeatWithWaitingTasks measures the same while long-running tasks of
// each pool wait for resources, as they do when a pool is full. With pools of one size
// the cost must not depend on the size of the fleet.
func BenchmarkHeartbeatWithWaitingTasks(b *testing.B) {
	for _, n := range []int{50, 350, 5100} {
		b.Run(fmt.Sprint(n, "-workers"), func(b *testing.B) {
			s, heartbeats := benchmarkFleet(n)
			now := s.termStart
			for _, p := range s.State.Config.Pools {
				s.Submit(jobs.Job{ID: jobs.ID("serve-" + string(p.Name)), Queue: jobs.QueueName(p.Name), Pool: p.Name, MaxAttempts: 3, Target: 1 << 40, Steps: []jobs.Step{
					{TaskCount: 40, Resources: jobs.Resources{MilliCores: 16_000, MemoryMiB: 10_000}, LongRunning: true, MaxPerWorker: 1},
				}}, now)
			}
			i := 0
			for b.Loop() {
				h := &heartbeats[i%n]
				if i++; i%n == 0 {
					now += 500
				}
				h.Seq += 1
				h.ReceivedAt = now
				s.Heartbeat(*h, now)
				s.Pass(now)
			}
		})
	}
}
