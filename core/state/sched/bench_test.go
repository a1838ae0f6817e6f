package sched

import (
	"fmt"
	"testing"

	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// fleet returns a board with workers that each run ten tasks and have room for
// more, in pools of 70, and the heartbeat that each would send.
func fleet(n int) (*testBoard, []Heartbeat) {
	s := jobs.New()
	c := jobs.Config{Version: 1}
	for p := range (n + 69) / 70 {
		name := fmt.Sprint("p", p)
		c.Pools = append(c.Pools, jobs.Pool{Name: jobs.PoolName(name)})
		c.Queues = append(c.Queues, jobs.Queue{Name: jobs.QueueName(name), Host: name, Prefix: "/", Pool: jobs.PoolName(name), MaxAttempts: 3, Target: 1 << 40})
	}
	s.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &c}}, 1000)
	b := New(Defaults(), EarliestDeadline{}, place.PeerComparison{MinScore: 3}, s, 1000)
	beats := make([]Heartbeat, n)
	for i := range beats {
		pool := jobs.PoolName(fmt.Sprint("p", i/70))
		beats[i] = Heartbeat{
			Worker: jobs.WorkerID(fmt.Sprint("w", i)), Machine: jobs.MachineID(fmt.Sprint("m", i)), Incarnation: 1, Pool: pool,
			Capacity: jobs.Resources{MilliCores: 16_000, MemoryMiB: 32_000}, Labels: []string{"a", "r-1"},
		}
		b.Submit(jobs.Job{ID: jobs.ID(fmt.Sprint("j", i)), Queue: jobs.QueueName(pool), Pool: pool, MaxAttempts: 3, Target: 1 << 40, Steps: []jobs.Step{
			{TaskCount: 10, Resources: jobs.Resources{MilliCores: 1000, MemoryMiB: 100}, Estimate: 60_000},
		}}, 1000)
	}
	for i := range beats {
		beats[i].Seq++
		beats[i].ReceivedAt = 1000
		b.Heartbeat(beats[i], 1000)
	}
	for _, o := range b.Pass(1000).Orders {
		for i := range beats {
			if beats[i].Worker == o.Worker {
				for _, st := range o.Starts {
					beats[i].Running = append(beats[i].Running, RunStatus{Task: st.Task, Run: st.Run, Percent: 1})
				}
			}
		}
	}
	return b, beats
}

// BenchmarkBeat measures a heartbeat without news and the pass after it, at
// fleets of several sizes: the cost has to follow what changed.
func BenchmarkBeat(b *testing.B) {
	for _, n := range []int{50, 350, 5100} {
		b.Run(fmt.Sprint(n, "-workers"), func(b *testing.B) {
			board, beats := fleet(n)
			now := board.began
			i := 0
			for b.Loop() {
				h := &beats[i%n]
				if i++; i%n == 0 {
					now += 500
				}
				h.Seq += 1
				h.ReceivedAt = now
				board.Heartbeat(*h, now)
				board.Pass(now)
			}
		})
	}
}
