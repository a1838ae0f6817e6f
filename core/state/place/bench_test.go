package place

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// BenchmarkPlace reports, for each way to choose workers and sizes, how 900
// tasks of five teams with wrong declarations run on 50 workers: the time
// until all are done, processors reserved and not used (the buffer), use
// beyond a worker's size, disruptions and starts; means over 3 seeds. A team's
// declarations are 40, 80, 100, 200 or 300 percent of what its tasks use.
func BenchmarkPlace(b *testing.B) {
	for _, u := range []struct {
		name  string
		cores int
	}{{"pruefkette", 16000}, {"pomar-alto", 32000}} {
		placed(b, u.name+"/first-fit/declared", FirstFit{}, func() Declared { return Declared{} }, u.cores)
		placed(b, u.name+"/best-fit/declared", BestFit{}, func() Declared { return Declared{} }, u.cores)
		placed(b, u.name+"/best-fit/deviation", BestFit{}, func() *Deviation { return NewDeviation(1) }, u.cores)
		placed(b, u.name+"/best-fit/quantile", BestFit{}, func() *Quantile { return NewQuantile(90) }, u.cores)
		placed(b, u.name+"/worst-fit/quantile", WorstFit{}, func() *Quantile { return NewQuantile(90) }, u.cores)
		placed(b, u.name+"/first-fit/quantile", FirstFit{}, func() *Quantile { return NewQuantile(90) }, u.cores)
	}
}

type placement struct{ seconds, idle, overload, disruptions, starts, urgent, violations float64 }

func placed[F FitPolicy, S Sizer](b *testing.B, name string, fit F, sizer func() S, cores int) {
	b.Run(name, func(b *testing.B) {
		const seeds = 3
		var sum placement
		for b.Loop() {
			sum = placement{}
			for seed := range uint64(seeds) {
				one := placeAll(fit, sizer(), seed, cores)
				sum.seconds += one.seconds / seeds
				sum.idle += one.idle / seeds
				sum.overload += one.overload / seeds
				sum.disruptions += one.disruptions / seeds
				sum.starts += one.starts / seeds
				sum.urgent = max(sum.urgent, one.urgent)
				sum.violations += one.violations
			}
		}
		b.ReportMetric(sum.seconds, "rollout-s")
		b.ReportMetric(sum.idle, "idle-core-s")
		b.ReportMetric(sum.overload, "over-core-s")
		b.ReportMetric(sum.disruptions, "disruptions")
		b.ReportMetric(sum.starts, "starts")
		b.ReportMetric(sum.urgent, "urgent-wait-max-s")
		b.ReportMetric(sum.violations, "violations")
	})
}

func placeAll[F FitPolicy, S Sizer](fit F, sizer S, seed uint64, cores int) (p placement) {
	f := newFake(seed, 50)
	for _, w := range f.workers {
		w.size.MilliCores = cores
		w.size.MemoryMiB = cores * 2
	}
	board := NewPlacer(fit, sizer, PeerComparison{MinScore: 6}, Defaults())
	f.fill(board)
	for k := range 5 {
		board.SetContract(teamContract(k, 50*cores/3))
	}
	begin := f.now
	waits := map[TaskID]clock.Millis{}
	for step := 0; step < 4000; step++ {
		if step < 150 {
			for n := range 6 {
				k := f.rnd.IntN(5)
				x := f.add(k, step*6+n, (1+f.rnd.IntN(4))*cores/16, clock.Millis(20+f.rnd.IntN(60))*clock.Second, []int{40, 80, 100, 200, 300}[k])
				x.Urgent = f.rnd.IntN(20) == 0
				if board.Submit(x) != nil {
					p.violations++
				}
				if x.Urgent {
					waits[x.ID] = f.now
				}
			}
		}
		plan := board.Pass(f.now)
		for _, a := range plan.Actions {
			switch {
			case a.Kind == ActionStart:
				p.starts++
				if at, ok := waits[a.Task]; ok {
					p.urgent = max(p.urgent, float64(f.now-at)/1000)
					delete(waits, a.Task)
				}
			case a.Kind != ActionRenew && a.CPUPercent != 100:
				p.disruptions++
			}
		}
		Execute(f, plan.Actions)
		before := f.usedCores
		tick(f, board, 500)
		for _, w := range board.workers {
			p.idle += float64(w.used.MilliCores) / 2000
		}
		p.idle -= (f.usedCores - before) / 2
		if step > 150 && len(board.finished) == 900 {
			break
		}
	}
	p.seconds = float64(f.now-begin) / 1000
	p.overload = f.overload / 2
	p.violations += float64(len(f.violations))
	return p
}

// BenchmarkJudge reports the runs that a worker which fails everything takes
// with it, how often it was set aside, and how many good workers were set
// aside while a class of tasks failed everywhere; means over 10 seeds.
func BenchmarkJudge(b *testing.B) {
	judges(b, "trust", NoQuarantine{})
	judges(b, "streak", ConsecutiveFailures{N: 3})
	judges(b, "peers", PeerComparison{MinScore: 6})
}

func judges[J HealthPolicy](b *testing.B, name string, j J) {
	b.Run(name, func(b *testing.B) {
		const seeds = 10
		var lost, found, wrong float64
		for b.Loop() {
			lost, found, wrong = 0, 0, 0
			for seed := range uint64(seeds) {
				n, aside := judged(j, seed, true, false)
				lost += float64(n) / seeds
				found += float64(min(len(aside), 1)) / seeds
				_, aside = judged(j, seed, false, true)
				wrong += float64(len(aside)) / seeds
			}
		}
		b.ReportMetric(lost, "lost-runs")
		b.ReportMetric(found, "found-share")
		b.ReportMetric(wrong, "wrong-asides")
	})
}

// BenchmarkPass reports the time and memory of one pass with 12 changes: six
// ends and six new tasks, with the index of free room on and off.
func BenchmarkPass(b *testing.B) {
	for _, n := range []int{50, 500, 5100} {
		for _, scan := range []bool{false, true} {
			name := map[bool]string{false: "index", true: "scan"}[scan]
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) { passes(b, n, scan) })
		}
	}
}

func passes(b *testing.B, workers int, scan bool) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	set := Defaults()
	set.FullScan, set.LeaseMillis, set.TrialTasks = scan, 1000*clock.Day, 100
	board := NewPlacer(BestFit{}, NewQuantile(90), PeerComparison{MinScore: 6}, set)
	for k := range workers {
		id := WorkerID(fmt.Sprintf("w%04d", k))
		board.SetWorker(Worker{ID: id, Size: Size{MilliCores: 16000, MemoryMiB: 32768}})
		board.Heartbeat(id, 0, nil)
	}
	for k := range 89 {
		board.SetContract(model.Contract{Customer: model.Customer(fmt.Sprintf("team%02d", k)), Quota: Size{MilliCores: 1 << 40, MemoryMiB: 1 << 40}})
	}
	next, first := 0, 0
	submit := func() {
		t := Task{
			ID: TaskID(fmt.Sprintf("t%08d", next)), Team: model.Customer(fmt.Sprintf("team%02d", next%89)), Class: "c",
			Declared: Size{MilliCores: 1000 + next%4*500, MemoryMiB: 1024}, Submitted: clock.Millis(next),
		}
		if err := board.Submit(t); err != nil {
			b.Fatal(err)
		}
		next++
	}
	for range workers * 6 {
		submit()
	}
	now := clock.Hour
	board.Pass(now)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		for range 6 {
			board.RunEnded(TaskID(fmt.Sprintf("t%08d", first)), 1, OutcomeDone, now)
			first++
			submit()
		}
		now += clock.Second
		board.Pass(now)
	}
	b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/1024, "board-KiB")
}

// BenchmarkCancel reports the time to take a wave of 5,000 cancellations, half
// of them of running tasks, and the longest of the passes that tell workers.
func BenchmarkCancel(b *testing.B) {
	var taken, longest time.Duration
	passed := 0
	for b.Loop() {
		b.StopTimer()
		f := newFake(1, 500)
		set := Defaults()
		set.LeaseMillis, set.TrialTasks = clock.Day, 100
		board := NewPlacer(WorstFit{}, Declared{}, PeerComparison{MinScore: 6}, set)
		f.fill(board)
		board.SetContract(teamContract(0, 2_500_000))
		var ids []TaskID
		for n := range 5000 {
			x := f.add(0, n, 1000, clock.Hour, 100)
			ids = append(ids, x.ID)
			if err := board.Submit(x); err != nil {
				b.Fatal(err)
			}
		}
		for _, id := range sortedKeys(f.workers) {
			board.Heartbeat(id, 0, nil)
		}
		board.Pass(f.now)
		b.StartTimer()
		began := time.Now()
		board.Cancel(ids...)
		taken = time.Since(began)
		longest, passed = 0, 0
		for len(board.stops) > 0 {
			f.now += set.StopPauseMillis
			began = time.Now()
			board.Pass(f.now)
			longest = max(longest, time.Since(began))
			passed++
		}
	}
	b.ReportMetric(float64(taken.Microseconds()), "cancel-us")
	b.ReportMetric(float64(longest.Microseconds()), "longest-pass-us")
	b.ReportMetric(float64(passed), "passes")
}
