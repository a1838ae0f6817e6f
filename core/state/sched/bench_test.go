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

// BenchmarkFullPool measures, for several backlogs of one pool, what a leader does for
// each report in a surge: a heartbeat that reports the end of a run, one submission
// for every four of these, and the pass that starts the next task. The cost must not
// depend on the backlog.
func BenchmarkFullPool(b *testing.B) {
	for _, backlog := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(backlog, "-jobs"), func(b *testing.B) {
			const workers = 130
			s, heartbeats := fullPool(workers, backlog)
			now := s.termStart
			submitted, i := 0, 0
			for b.Loop() {
				h := &heartbeats[i%workers]
				if i++; i%4 == 0 {
					submitted++
					s.Submit(surgeJob(backlog+submitted), now)
				}
				now++
				h.endFirstRun()
				h.Seq++
				h.ReceivedAt = now
				s.Heartbeat(h.Heartbeat, now)
				applyStarts(heartbeats, s.Pass(now).Orders)
			}
		})
	}
}

// surgeWorker is the next heartbeat of a worker.
type surgeWorker struct {
	Heartbeat
	lastEnd int64
}

// endFirstRun reports the end of the run that started first, and of no other.
func (w *surgeWorker) endFirstRun() {
	w.Ends = nil
	if len(w.Running) == 0 {
		return
	}
	w.lastEnd++
	w.Ends = []RunEnd{{Number: w.lastEnd, Task: w.Running[0].Task, Run: w.Running[0].Run, Result: jobs.ResultDone}}
	w.Running = w.Running[1:]
}

// applyStarts adds the started runs to the next heartbeats of their workers, which are
// named by their index.
func applyStarts(workers []surgeWorker, orders []Orders) {
	for _, o := range orders {
		var i int
		_, _ = fmt.Sscanf(string(o.Worker), "w%d", &i)
		for _, start := range o.Starts {
			workers[i].Running = append(workers[i].Running, RunStatus{Task: start.Task, Run: start.Run, Percent: 50})
		}
	}
}

// surgeJob returns a job of eight tasks, of which a worker of fullPool runs six at a
// time.
func surgeJob(n int) jobs.Job {
	return jobs.Job{
		ID: jobs.ID(fmt.Sprint("j", n)), Queue: "q", Pool: "p", MaxAttempts: 3, Target: 3600, StretchPermille: 1600,
		Steps: []jobs.Step{{TaskCount: 8, Resources: jobs.Resources{MilliCores: 2000 + n%5*100, MemoryMiB: 100}, Estimate: 640}},
	}
}

// fullPool returns a scheduler with a pool whose workers are busy and in which the
// given number of jobs wait, and the next heartbeat of each worker.
func fullPool(workers, backlog int) (*testScheduler, []surgeWorker) {
	return poolWith(workers, backlog+workers, nil, func(n int) jobs.Job { return surgeJob(-n) })
}

// poolWith returns a scheduler with a pool to which a number of jobs were submitted and
// whose workers have got their first tasks, and the next heartbeat of each worker.
func poolWith(workers, submitted int, customers []jobs.Customer, job func(n int) jobs.Job) (*testScheduler, []surgeWorker) {
	state := jobs.New()
	c := jobs.Config{
		Version: 1, Pools: []jobs.Pool{{Name: "p"}}, Customers: customers,
		Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: 3, Target: 3600}},
	}
	state.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &c}}, 1000)
	s := New(Defaults(), EarliestDeadline{}, place.PeerComparison{MinScore: 3}, state, 1000)
	for n := range submitted {
		s.Submit(job(n), 1000)
	}
	heartbeats := make([]surgeWorker, workers)
	for i := range heartbeats {
		heartbeats[i].Heartbeat = Heartbeat{
			Worker: jobs.WorkerID(fmt.Sprint("w", i)), Machine: jobs.MachineID(fmt.Sprint("m", i)), Incarnation: 1, Pool: "p", Seq: 1, ReceivedAt: 1000,
			Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 64_000}, Labels: []string{"a", fmt.Sprint("r-", i/8)},
		}
		s.Heartbeat(heartbeats[i].Heartbeat, 1000)
	}
	applyStarts(heartbeats, s.Pass(1000).Orders)
	return s, heartbeats
}
