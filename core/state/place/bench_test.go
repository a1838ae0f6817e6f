package place

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// BenchmarkPlace reports, for combinations of fit policy and sizer, how 900 tasks
// of five customers run on 50 workers: the time until all are done, processors
// reserved but not used, use beyond a worker's size, disruptions, starts and
// violations, and the longest wait of an urgent task. The violations are summed
// over 3 seeds, the wait is the maximum, the others are means. A violation is a
// task that was rejected or that ran on two workers at once. The customers declare
// 40, 80, 100, 200 and 300 percent of what their tasks use.
func BenchmarkPlace(b *testing.B) {
	for _, operator := range []struct {
		name       string
		milliCores int
	}{{"pruefkette", 16000}, {"pomar-alto", 32000}} {
		benchmarkPlacement(b, operator.name+"/first-fit/declared", FirstFit{}, func() Declared { return Declared{} }, operator.milliCores)
		benchmarkPlacement(b, operator.name+"/best-fit/declared", BestFit{}, func() Declared { return Declared{} }, operator.milliCores)
		benchmarkPlacement(b, operator.name+"/best-fit/deviation", BestFit{}, func() *Deviation { return NewDeviation(1) }, operator.milliCores)
		benchmarkPlacement(b, operator.name+"/best-fit/quantile", BestFit{}, func() *Quantile { return NewQuantile(90) }, operator.milliCores)
		benchmarkPlacement(b, operator.name+"/worst-fit/quantile", WorstFit{}, func() *Quantile { return NewQuantile(90) }, operator.milliCores)
		benchmarkPlacement(b, operator.name+"/first-fit/quantile", FirstFit{}, func() *Quantile { return NewQuantile(90) }, operator.milliCores)
	}
}

// placementResult holds the figures of one run, or a summary of several. urgent is
// the longest wait of an urgent task. seconds and urgent are in seconds, idle and
// overload in core-seconds, and the others are counts.
type placementResult struct{ seconds, idle, overload, disruptions, starts, urgent, violations float64 }

func benchmarkPlacement[F FitPolicy, S Sizer](b *testing.B, name string, fit F, sizer func() S, milliCores int) {
	b.Run(name, func(b *testing.B) {
		const seeds = 3
		var summary placementResult
		for b.Loop() {
			summary = placementResult{}
			for seed := range uint64(seeds) {
				one := placeAll(fit, sizer(), seed, milliCores)
				summary.seconds += one.seconds / seeds
				summary.idle += one.idle / seeds
				summary.overload += one.overload / seeds
				summary.disruptions += one.disruptions / seeds
				summary.starts += one.starts / seeds
				summary.urgent = max(summary.urgent, one.urgent)
				summary.violations += one.violations
			}
		}
		b.ReportMetric(summary.seconds, "rollout-s")
		b.ReportMetric(summary.idle, "idle-core-s")
		b.ReportMetric(summary.overload, "over-core-s")
		b.ReportMetric(summary.disruptions, "disruptions")
		b.ReportMetric(summary.starts, "starts")
		b.ReportMetric(summary.urgent, "urgent-wait-max-s")
		b.ReportMetric(summary.violations, "violations")
	})
}

// placeAll runs the tasks once and returns the figures of the run.
func placeAll[F FitPolicy, S Sizer](fit F, sizer S, seed uint64, milliCores int) (result placementResult) {
	f := newFake(seed, 50)
	for _, w := range f.workers {
		w.size.MilliCores = milliCores
		w.size.MemoryMiB = milliCores * 2
	}
	placer := NewPlacer(fit, sizer, PeerComparison{MinScore: 6}, Defaults())
	f.addWorkers(placer)
	for k := range 5 {
		placer.SetContract(customerContract(k, 50*milliCores/3))
	}
	startedAt := f.now
	submittedAt := map[TaskID]clock.Millis{}
	for step := 0; step < 4000; step++ {
		if step < 150 {
			for n := range 6 {
				k := f.rnd.IntN(5)
				x := f.newTask(k, step*6+n, (1+f.rnd.IntN(4))*milliCores/16, clock.Millis(20+f.rnd.IntN(60))*clock.Second, []int{40, 80, 100, 200, 300}[k])
				x.Urgent = f.rnd.IntN(20) == 0
				if placer.Submit(x) != nil {
					result.violations++
				}
				if x.Urgent {
					submittedAt[x.ID] = f.now
				}
			}
		}
		plan := placer.Pass(f.now)
		for _, a := range plan.Actions {
			switch {
			case a.Kind == ActionStart:
				result.starts++
				if at, ok := submittedAt[a.Task]; ok {
					result.urgent = max(result.urgent, float64(f.now-at)/1000)
					delete(submittedAt, a.Task)
				}
			case a.Kind != ActionRenew && a.CPUPercent != 100:
				result.disruptions++
			}
		}
		Execute(f, plan.Actions)
		usedBefore := f.usedCores
		advanceTime(f, placer, 500)
		// A step takes half a second.
		for _, w := range placer.workers {
			result.idle += float64(w.used.MilliCores) / 2000
		}
		result.idle -= (f.usedCores - usedBefore) / 2
		if step > 150 && len(placer.finished) == 900 {
			break
		}
	}
	result.seconds = float64(f.now-startedAt) / 1000
	result.overload = f.overload / 2
	result.violations += float64(len(f.violations))
	return result
}

// BenchmarkHealthPolicy reports the runs that failed on a worker that fails
// everything, the share of seeds in which a worker was quarantined then, and how
// many good workers were quarantined while a class of tasks failed everywhere;
// means over 10 seeds.
func BenchmarkHealthPolicy(b *testing.B) {
	benchmarkHealthPolicy(b, "trust", NoQuarantine{})
	benchmarkHealthPolicy(b, "streak", ConsecutiveFailures{N: 3})
	benchmarkHealthPolicy(b, "peers", PeerComparison{MinScore: 6})
}

func benchmarkHealthPolicy[J HealthPolicy](b *testing.B, name string, policy J) {
	b.Run(name, func(b *testing.B) {
		const seeds = 10
		var failedRuns, found, wrongQuarantines float64
		for b.Loop() {
			failedRuns, found, wrongQuarantines = 0, 0, 0
			for seed := range uint64(seeds) {
				n, quarantined := runHealthPolicy(policy, seed, true, false)
				failedRuns += float64(n) / seeds
				found += float64(min(len(quarantined), 1)) / seeds
				_, quarantined = runHealthPolicy(policy, seed, false, true)
				wrongQuarantines += float64(len(quarantined)) / seeds
			}
		}
		b.ReportMetric(failedRuns, "lost-runs")
		b.ReportMetric(found, "found-share")
		b.ReportMetric(wrongQuarantines, "wrong-asides")
	})
}

// BenchmarkPass reports the time and memory of one pass after 12 changes (six
// ended runs and six new tasks), with and without the index of free capacity.
func BenchmarkPass(b *testing.B) {
	for _, n := range []int{50, 500, 5100} {
		for _, scan := range []bool{false, true} {
			name := map[bool]string{false: "index", true: "scan"}[scan]
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) { benchmarkPasses(b, n, scan) })
		}
	}
}

// benchmarkPasses also reports the heap memory of a placer with all workers and
// tasks, in KiB, as board-KiB.
func benchmarkPasses(b *testing.B, workers int, scan bool) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	settings := Defaults()
	settings.FullScan, settings.LeaseMillis, settings.TrialTasks = scan, 1000*clock.Day, 100
	placer := NewPlacer(BestFit{}, NewQuantile(90), PeerComparison{MinScore: 6}, settings)
	for k := range workers {
		id := WorkerID(fmt.Sprintf("w%04d", k))
		placer.SetWorker(Worker{ID: id, Size: Size{MilliCores: 16000, MemoryMiB: 32768}})
		placer.Heartbeat(id, 0, nil)
	}
	for k := range 89 {
		placer.SetContract(model.Contract{Customer: model.Customer(fmt.Sprintf("team%02d", k)), Quota: Size{MilliCores: 1 << 40, MemoryMiB: 1 << 40}})
	}
	next, first := 0, 0
	submit := func() {
		t := Task{
			ID: TaskID(fmt.Sprintf("t%08d", next)), Customer: model.Customer(fmt.Sprintf("team%02d", next%89)), Class: "c",
			Declared: Size{MilliCores: 1000 + next%4*500, MemoryMiB: 1024}, Submitted: clock.Millis(next),
		}
		if err := placer.Submit(t); err != nil {
			b.Fatal(err)
		}
		next++
	}
	for range workers * 6 {
		submit()
	}
	now := clock.Hour
	placer.Pass(now)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		for range 6 {
			placer.RunEnded(TaskID(fmt.Sprintf("t%08d", first)), 1, OutcomeDone, now)
			first++
			submit()
		}
		now += clock.Second
		placer.Pass(now)
	}
	b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/1024, "board-KiB")
}

// BenchmarkCancel reports the time to accept 5,000 cancellations at once, half of
// them of running tasks, the number of passes that order the stops, and the time
// of the longest of these passes.
func BenchmarkCancel(b *testing.B) {
	var cancelTime, longestPass time.Duration
	passes := 0
	for b.Loop() {
		b.StopTimer()
		f := newFake(1, 500)
		settings := Defaults()
		settings.LeaseMillis, settings.TrialTasks = clock.Day, 100
		placer := NewPlacer(WorstFit{}, Declared{}, PeerComparison{MinScore: 6}, settings)
		f.addWorkers(placer)
		placer.SetContract(customerContract(0, 2_500_000))
		var ids []TaskID
		for n := range 5000 {
			x := f.newTask(0, n, 1000, clock.Hour, 100)
			ids = append(ids, x.ID)
			if err := placer.Submit(x); err != nil {
				b.Fatal(err)
			}
		}
		for _, id := range sortedKeys(f.workers) {
			placer.Heartbeat(id, 0, nil)
		}
		placer.Pass(f.now)
		b.StartTimer()
		startedAt := time.Now()
		placer.Cancel(ids...)
		cancelTime = time.Since(startedAt)
		longestPass, passes = 0, 0
		for len(placer.toStop) > 0 {
			f.now += settings.StopPauseMillis
			startedAt = time.Now()
			placer.Pass(f.now)
			longestPass = max(longestPass, time.Since(startedAt))
			passes++
		}
	}
	b.ReportMetric(float64(cancelTime.Microseconds()), "cancel-us")
	b.ReportMetric(float64(longestPass.Microseconds()), "longest-pass-us")
	b.ReportMetric(float64(passes), "passes")
}
