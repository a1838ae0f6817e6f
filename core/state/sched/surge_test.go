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

// Parameters of the simulated load for comparing rank policies. During the
// surge the load is twice what the pool can process; before and after it is
// low. Jobs arrive for loadMillis, and those that are left then can end within
// loadDrainMillis. The simulation proceeds in steps of loadStepMillis.
const (
	loadWorkers                          = 9
	loadMilliCoresPerWorker              = 16_000
	loadStepMillis          clock.Millis = 10
	loadMillis                           = 20 * clock.Second
	surgeStartMillis                     = 5 * clock.Second
	surgeEndMillis                       = 11 * clock.Second
	baseJobsPerSecond                    = 4
	surgeJobsPerSecond                   = 95
	loadDrainMillis                      = 60 * clock.Second
)

// simJob is a job of the load, with the actual duration of each of its tasks.
type simJob struct {
	job       jobs.Job
	arrivesAt clock.Millis
	duration  clock.Millis
}

// newLoad returns the random jobs of a load.
func newLoad(seed uint64) []simJob {
	r := rand.New(rand.NewPCG(seed, 2))
	var all []simJob
	for at := clock.Millis(0); at < loadMillis; at += loadStepMillis {
		rate := baseJobsPerSecond
		if at >= surgeStartMillis && at < surgeEndMillis {
			rate = surgeJobsPerSecond
		}
		if r.IntN(int(clock.Second/loadStepMillis)) >= rate {
			continue
		}
		duration := 300 + clock.Millis(r.IntN(700))
		step := jobs.Step{
			TaskCount: 1 + r.IntN(11), Resources: jobs.Resources{MilliCores: 500 + r.IntN(800), MemoryMiB: 100},
			Estimate: duration * clock.Millis(80+r.IntN(40)) / 100,
		}
		all = append(all, simJob{arrivesAt: at, duration: duration, job: jobs.Job{
			ID: jobs.ID(fmt.Sprint("j", len(all))), Queue: "q", Pool: "p", MaxAttempts: 3, Target: 3600, StretchPermille: 1600,
			Steps: []jobs.Step{step},
		}})
	}
	return all
}

// deadline returns the latest end at which the job is on time.
func (j simJob) deadline() clock.Millis {
	return j.arrivesAt + j.job.Target + j.job.Steps[0].Estimate*clock.Millis(j.job.StretchPermille)/1000
}

// coreMillis returns the processor time of all tasks of the job. The unit is cores
// times milliseconds, although the type is clock.Millis.
func (j simJob) coreMillis() clock.Millis {
	s := j.job.Steps[0]
	return clock.Millis(s.TaskCount*s.Resources.MilliCores) * j.duration / 1000
}

// upperBound returns an upper bound on the number of jobs that any schedule can
// complete on time. For each of several time windows, the jobs that arrive in
// it and whose deadline is in it must share its processor time. At most as many
// of them can complete on time as fit into it when the smallest are chosen
// first.
func upperBound(all []simJob) int {
	const cores = loadWorkers * loadMilliCoresPerWorker / 1000
	bound := len(all)
	for from := clock.Millis(0); from < loadMillis; from += 100 * loadStepMillis {
		for to := from + clock.Second; to < loadMillis+10*clock.Second; to += 100 * loadStepMillis {
			var insideCoreMillis []clock.Millis
			for _, j := range all {
				if j.arrivesAt >= from && j.deadline() <= to {
					insideCoreMillis = append(insideCoreMillis, j.coreMillis())
				}
			}
			slices.Sort(insideCoreMillis)
			remainingCoreMillis, fitting := cores*(to-from), 0
			for _, jobCoreMillis := range insideCoreMillis {
				if remainingCoreMillis -= jobCoreMillis; remainingCoreMillis < 0 {
					break
				}
				fitting++
			}
			bound = min(bound, len(all)-len(insideCoreMillis)+fitting)
		}
	}
	return bound
}

// loadWorker is a simulated worker that never fails.
type loadWorker struct {
	id            jobs.WorkerID
	seq           int64
	nextHeartbeat clock.Millis
	// awaitsReply is set while a heartbeat has no reply.
	awaitsReply bool
	runs        map[jobs.TaskID]loadRun
	ends        []RunEnd
	lastEnd     int64
}

type loadRun struct {
	run               int
	startedAt, endsAt clock.Millis
}

// onTime simulates a load with a rank policy and returns the number of jobs
// that end on time.
func onTime[P RankPolicy](policy P, all []simJob) int {
	settings := Defaults()
	settings.BacklogTargetMillis = 0
	const start = 100_000
	base := newFixture(settings)
	s := New(settings, policy, place.PeerComparison{MinScore: 3}, base.State, start)
	jobByID := map[jobs.ID]simJob{}
	var workers []*loadWorker
	for n := range loadWorkers {
		workers = append(workers, &loadWorker{id: jobs.WorkerID(fmt.Sprint("w", n)), runs: map[jobs.TaskID]loadRun{}})
	}
	upcoming := all
	for now := clock.Millis(0); now < loadMillis+loadDrainMillis; now += loadStepMillis {
		for len(upcoming) > 0 && upcoming[0].arrivesAt <= now {
			jobByID[upcoming[0].job.ID] = upcoming[0]
			s.Submit(upcoming[0].job, start+now)
			upcoming = upcoming[1:]
		}
		for _, w := range workers {
			w.endFinishedRuns(now)
			if !w.awaitsReply && now >= w.nextHeartbeat {
				s.Heartbeat(w.heartbeat(start+now), start+now)
			}
		}
		for _, o := range s.Pass(start + now).Orders {
			i := slices.IndexFunc(workers, func(w *loadWorker) bool { return w.id == o.Worker })
			workers[i].applyOrders(o, now, jobByID)
		}
	}
	n := 0
	for _, j := range all {
		r := s.State.Jobs[j.job.ID]
		if r != nil && r.Status == jobs.StatusCompleted && r.EndedAt <= start+j.deadline() {
			n++
		}
	}
	return n
}

// endFinishedRuns ends the runs whose duration has passed.
func (w *loadWorker) endFinishedRuns(now clock.Millis) {
	ids := make([]jobs.TaskID, 0, len(w.runs))
	for id, r := range w.runs {
		if r.endsAt <= now {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b jobs.TaskID) int { return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index)) })
	for _, id := range ids {
		w.lastEnd++
		w.ends = append(w.ends, RunEnd{Number: w.lastEnd, Task: id, Run: w.runs[id].run, Result: jobs.ResultDone})
		delete(w.runs, id)
		w.nextHeartbeat = min(w.nextHeartbeat, now+50)
	}
}

func (w *loadWorker) heartbeat(now clock.Millis) Heartbeat {
	w.seq++
	w.awaitsReply = true
	h := Heartbeat{
		Worker: w.id, Incarnation: 1, Machine: jobs.MachineID(w.id), Pool: "p", Seq: w.seq, Ends: slices.Clone(w.ends),
		Capacity: jobs.Resources{MilliCores: loadMilliCoresPerWorker, MemoryMiB: 1 << 20}, ReceivedAt: now,
	}
	for id, r := range w.runs {
		h.Running = append(h.Running, RunStatus{Task: id, Run: r.run, Percent: 50})
	}
	return h
}

func (w *loadWorker) applyOrders(o Orders, now clock.Millis, jobByID map[jobs.ID]simJob) {
	w.awaitsReply, w.nextHeartbeat = false, now+o.RetryAfter
	w.ends = slices.DeleteFunc(w.ends, func(e RunEnd) bool { return e.Number <= o.AckUpTo })
	for _, s := range o.Starts {
		w.runs[s.Task] = loadRun{run: s.Run, startedAt: now, endsAt: now + jobByID[s.Task.Job].duration}
	}
}

// TestRankPoliciesInSurge simulates a load peak with the default policy and
// with the baseline. It guards against a policy that starts every job of the
// peak just too late, and against an upper bound that is exceeded.
func TestRankPoliciesInSurge(t *testing.T) {
	for seed := range uint64(3) {
		all := newLoad(seed)
		bound, best, baseline := upperBound(all), onTime(EarliestDeadline{}, all), onTime(FIFO{}, all)
		t.Logf("seed %d: %d jobs, upper bound %d, earliest deadline %d, FIFO %d", seed, len(all), bound, best, baseline)
		assert.Assert(t, best <= bound && baseline <= bound)
		assert.Assert(t, best > baseline)
	}
}

// BenchmarkRankPolicies reports the jobs on time for each rank policy, as a
// share of the upper bound.
func BenchmarkRankPolicies(b *testing.B) {
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
