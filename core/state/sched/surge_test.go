package sched

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// The load that orders are compared by: a pool of which twice what it holds is
// asked for some seconds, and little before and after.
const (
	loadWorkers               = 9
	loadCores                 = 16_000
	loadStep     clock.Millis = 10
	loadLength                = 20 * clock.Second
	surgeBegin                = 5 * clock.Second
	surgeEnd                  = 11 * clock.Second
	calmPerS                  = 4
	surgePerS                 = 95
	loadPatience              = 60 * clock.Second
)

// arrival is a job of a load, with the true duration of its tasks.
type arrival struct {
	job   jobs.Job
	at    clock.Millis
	takes clock.Millis
}

// newLoad draws the jobs of a load.
func newLoad(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 2))
	var all []arrival
	for at := clock.Millis(0); at < loadLength; at += loadStep {
		rate := calmPerS
		if at >= surgeBegin && at < surgeEnd {
			rate = surgePerS
		}
		if r.IntN(int(clock.Second/loadStep)) >= rate {
			continue
		}
		takes := 300 + clock.Millis(r.IntN(700))
		step := jobs.Step{
			TaskCount: 1 + r.IntN(11), Resources: jobs.Resources{MilliCores: 500 + r.IntN(800), MemoryMiB: 100},
			Estimate: takes * clock.Millis(80+r.IntN(40)) / 100,
		}
		all = append(all, arrival{at: at, takes: takes, job: jobs.Job{
			ID: jobs.ID(fmt.Sprint("j", len(all))), Queue: "q", Pool: "p", MaxAttempts: 3, Target: 3600, StretchPermille: 1600,
			Steps: []jobs.Step{step},
		}})
	}
	return all
}

// objective is the latest end at which the job is on time.
func (a arrival) objective() clock.Millis {
	return a.at + a.job.Target + a.job.Steps[0].Estimate*clock.Millis(a.job.StretchPermille)/1000
}

// work is the processor time of all tasks.
func (a arrival) work() clock.Millis {
	s := a.job.Steps[0]
	return clock.Millis(s.TaskCount*s.Resources.MilliCores) * a.takes / 1000
}

// upperBound is a number of jobs that no schedule can bring to their end in
// time: for each span of time, the jobs that come and are due within it have no
// more processors than there are, so that at most the smallest of them fit.
func upperBound(all []arrival) int {
	const cores = loadWorkers * loadCores / 1000
	best := len(all)
	for from := clock.Millis(0); from < loadLength; from += 100 * loadStep {
		for to := from + clock.Second; to < loadLength+10*clock.Second; to += 100 * loadStep {
			var inside []clock.Millis
			for _, a := range all {
				if a.at >= from && a.objective() <= to {
					inside = append(inside, a.work())
				}
			}
			slices.Sort(inside)
			left, fit := cores*(to-from), 0
			for _, w := range inside {
				if left -= w; left < 0 {
					break
				}
				fit++
			}
			best = min(best, len(all)-len(inside)+fit)
		}
	}
	return best
}

// loadWorker is a sound worker.
type loadWorker struct {
	id   jobs.WorkerID
	seq  int64
	next clock.Millis
	// waits is set while a heartbeat has no answer.
	waits  bool
	runs   map[jobs.TaskID]loadRun
	ends   []RunEnd
	number int64
}

type loadRun struct {
	run        int
	began, due clock.Millis
}

// onTime plays a load with an order and counts the jobs that end in time.
func onTime[O RankPolicy](order O, all []arrival) int {
	set := Defaults()
	set.BacklogTargetMillis = 0
	const start = 100_000
	base := newRig(set)
	b := New(set, order, place.PeerComparison{MinScore: 3}, base.State, start)
	takes := map[jobs.ID]arrival{}
	var workers []*loadWorker
	for n := range loadWorkers {
		workers = append(workers, &loadWorker{id: jobs.WorkerID(fmt.Sprint("w", n)), runs: map[jobs.TaskID]loadRun{}})
	}
	left := all
	for now := clock.Millis(0); now < loadLength+loadPatience; now += loadStep {
		for len(left) > 0 && left[0].at <= now {
			takes[left[0].job.ID] = left[0]
			b.Submit(left[0].job, start+now)
			left = left[1:]
		}
		for _, w := range workers {
			w.work(now)
			if !w.waits && now >= w.next {
				b.Heartbeat(w.beat(start+now), start+now)
			}
		}
		for _, o := range b.Pass(start + now).Orders {
			i := slices.IndexFunc(workers, func(w *loadWorker) bool { return w.id == o.Worker })
			workers[i].obey(o, now, takes)
		}
	}
	n := 0
	for _, a := range all {
		r := b.State.Jobs[a.job.ID]
		if r != nil && r.Status == jobs.StatusCompleted && r.EndedAt <= start+a.objective() {
			n++
		}
	}
	return n
}

// work ends the tasks whose time has come.
func (w *loadWorker) work(now clock.Millis) {
	ids := make([]jobs.TaskID, 0, len(w.runs))
	for id, r := range w.runs {
		if r.due <= now {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b jobs.TaskID) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index)) })
	for _, id := range ids {
		w.number++
		w.ends = append(w.ends, RunEnd{Number: w.number, Task: id, Run: w.runs[id].run, Result: jobs.ResultDone})
		delete(w.runs, id)
		w.next = min(w.next, now+50)
	}
}

func (w *loadWorker) beat(now clock.Millis) Heartbeat {
	w.seq++
	w.waits = true
	h := Heartbeat{
		Worker: w.id, Incarnation: 1, Machine: jobs.MachineID(w.id), Pool: "p", Seq: w.seq, Ends: slices.Clone(w.ends),
		Capacity: jobs.Resources{MilliCores: loadCores, MemoryMiB: 1 << 20}, ReceivedAt: now,
	}
	for id, r := range w.runs {
		h.Running = append(h.Running, RunStatus{Task: id, Run: r.run, Percent: 50})
	}
	return h
}

func (w *loadWorker) obey(o Orders, now clock.Millis, takes map[jobs.ID]arrival) {
	w.waits, w.next = false, now+o.RetryAfter
	w.ends = slices.DeleteFunc(w.ends, func(e RunEnd) bool { return e.Number <= o.AckUpTo })
	for _, s := range o.Starts {
		w.runs[s.Task] = loadRun{run: s.Run, began: now, due: now + takes[s.Task.Job].takes}
	}
}

// TestOrderServesSurge plays a surge with the order of the product and with the
// baseline. It guards against an order that starts every job of a surge just too
// late, and against a bound that is none.
func TestOrderServesSurge(t *testing.T) {
	for seed := range uint64(3) {
		all := newLoad(seed)
		bound, best, baseline := upperBound(all), onTime(EarliestDeadline{}, all), onTime(FIFO{}, all)
		t.Logf("seed %d: %d jobs, bound %d, by objective %d, by arrival %d", seed, len(all), bound, best, baseline)
		assert.Assert(t, best <= bound && baseline <= bound)
		assert.Assert(t, best > baseline)
	}
}

// BenchmarkOrders compares the orders by the share of the bound that they serve
// in time.
func BenchmarkOrders(b *testing.B) {
	all := newLoad(1)
	bound := float64(upperBound(all))
	b.Run("by-objective", func(b *testing.B) {
		for b.Loop() {
			b.ReportMetric(float64(onTime(EarliestDeadline{}, all))/bound, "of-bound")
		}
	})
	b.Run("by-arrival", func(b *testing.B) {
		for b.Loop() {
			b.ReportMetric(float64(onTime(FIFO{}, all))/bound, "of-bound")
		}
	})
}
