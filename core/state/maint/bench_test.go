package maint

import (
	"fmt"
	"runtime"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// BenchmarkWave reports, for each pacer, what a whole-fleet wave of 50
// instances costs: its roll-out time, the instance-minutes out of service
// (capacity that is not there), the excess pressure felt in peaks, and budget
// violations, as means over 10 seeds.
func BenchmarkWave(b *testing.B) {
	for _, u := range []struct {
		name   string
		covers model.FailureDomain
		most   int
	}{{"pruefkette", model.DomainRack, 4}, {"pomar-alto", model.DomainZone, 3}} {
		benchWave(b, u.name+"/full-speed", FullSpeedPacer{}, u.covers, u.most)
		benchWave(b, u.name+"/proportional", ProportionalPacer{HaltPermille: 60}, u.covers, u.most)
		benchWave(b, u.name+"/deadline", DeadlinePacer{SlowPermille: 60, HaltPermille: 200}, u.covers, u.most)
	}
}

func benchWave[P Pacer](b *testing.B, name string, p P, covers model.FailureDomain, most int) {
	b.Run(name, func(b *testing.B) {
		const seeds = 10
		var minutes, absent, felt, violations, missed, taken float64
		for b.Loop() {
			minutes, absent, felt, violations, missed, taken = 0, 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				w := newFakeFleet(seed, 50, 3, 5, 5, covers, most)
				w.peakShift = clock.Millis(seed) * 12 * clock.Minute
				m := w.declare(8 * clock.Hour)
				board := NewPlanner(p, ZTest{Z: 4, MinFailures: 3}, settingsWithoutPeriod())
				board.Load(w.input())
				for w.unfinished(m) > 0 && w.now < m.DeclaredAt+3*clock.Day {
					out := w.setPeakPressure()
					sendChanges(w, board)
					for _, s := range board.Pass(w.now).Steps {
						if s.Kind == StepReturn && !s.Done {
							taken++
						}
						w.carryOut(s)
					}
					absent += float64(out.count)
					felt += float64(out.excess)
					w.advance()
				}
				minutes += float64((w.now - m.DeclaredAt) / clock.Minute)
				violations += float64(len(w.violations))
				if w.now > m.Deadline {
					missed++
				}
			}
		}
		b.ReportMetric(minutes/seeds, "rollout-min")
		b.ReportMetric(absent/seeds, "absent-inst-min")
		b.ReportMetric(felt/seeds, "excess-permille-min")
		b.ReportMetric(taken/seeds, "taken-back")
		b.ReportMetric(missed, "deadlines-missed")
		b.ReportMetric(violations, "violations")
	})
}

type peakSample struct{ count, excess int }

// setPeakPressure sets the pressure of the minute. Hours with peaks and quiet hours take
// turns, shifted by the seed; in the former half of the minutes hold a setPeakPressure, in which callers feel
// 20 permille even of a whole fleet and 25 more for each instance that is out,
// since the setPeakPressure exceeds what the pool holds. The board is told the mean of
// about the last four minutes: peaks are shorter than a maintenance.
func (w *fakeFleet) setPeakPressure() peakSample {
	n := 0
	for id, i := range w.instances {
		if isOutOfService(i, w.observations[id]) {
			n++
		}
	}
	p := 0
	if (w.now+w.peakShift)/clock.Hour%2 == 0 && w.rnd.IntN(2) == 0 {
		p = 20 + 25*n
	}
	for _, c := range w.contracts {
		w.pressure[c.Customer] = (3*w.pressure[c.Customer] + p) / 4
	}
	return peakSample{count: n, excess: max(0, p-20)}
}

// BenchmarkPass reports the time and memory of one pass with 12 changes, with
// the index on and off.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ n, zones, pools int }{{50, 3, 5}, {500, 3, 10}, {5100, 20, 37}} {
		for _, scan := range []bool{false, true} {
			name := map[bool]string{false: "index", true: "scan"}[scan]
			b.Run(fmt.Sprintf("%s/%d", name, size.n), func(b *testing.B) {
				benchPasses(b, newFakeFleet(1, size.n, size.zones, size.pools, 1, model.DomainZone, 2), scan)
			})
			b.Run(fmt.Sprintf("%s-wave/%d", name, size.n), func(b *testing.B) {
				w := newFakeFleet(1, size.n, size.zones, size.pools, 1, model.DomainZone, 2)
				w.decls = []model.Maintenance{{Name: "firmware", DeclaredAt: 100 * clock.Day, Deadline: 110 * clock.Day}}
				benchPasses(b, w, scan)
			})
		}
	}
}

func benchPasses(b *testing.B, w *fakeFleet, scan bool) {
	set := Defaults()
	set.FullScan = scan
	w.now = 100 * clock.Day
	ids := sortedKeys(w.instances)
	for k, id := range ids {
		w.instances[id] = maintainedAt(w.instances[id], w.now-clock.Millis(k)*40*clock.Day/clock.Millis(len(ids)))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	board := NewPlanner(FullSpeedPacer{}, ZTest{Z: 4, MinFailures: 3}, set)
	board.Load(w.input())
	board.Pass(w.now)
	runtime.GC()
	runtime.ReadMemStats(&after)
	k, down := 0, ids[0]
	b.ReportAllocs()
	for b.Loop() {
		w.now += clock.Second
		for range 10 {
			k++
			id := ids[k*7%len(ids)]
			s := w.observations[id]
			s.Calls++
			w.observations[id] = s
			board.SetObservation(id, s)
		}
		for _, lost := range []bool{false, true} {
			if lost {
				down = ids[k*11%len(ids)]
			}
			w.lose(down, lost)
			board.SetObservation(down, w.observations[down])
		}
		w.outages = w.outages[:0]
		for _, s := range board.Pass(w.now).Steps {
			w.carryOut(s)
			board.SetInstance(w.instances[s.Instance])
			w.advance()
			board.SetObservation(s.Instance, w.observations[s.Instance])
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/1024, "board-KiB")
}

// BenchmarkJudge reports how many of 50 instances a wave touched before it
// stopped, with touched instances that fail an eighth of their requests, and
// how many of 20 waves with healthy instances stopped for no reason.
func BenchmarkJudge(b *testing.B) {
	benchStopPolicy(b, "never", NeverStop{})
	benchStopPolicy(b, "ratio", RatioTest{Factor: 3, MinFailures: 8})
	benchStopPolicy(b, "score", ZTest{Z: 4, MinFailures: 3})
}

func benchStopPolicy[J StopPolicy](b *testing.B, name string, j J) {
	b.Run(name, func(b *testing.B) {
		var touched, wrong float64
		for b.Loop() {
			touched, wrong = 0, 0
			for seed := range uint64(20) {
				touched += 50 - float64(runWave(j, seed, true).unfinished(model.Maintenance{DeclaredAt: clock.Day}))
				if runWave(j, seed, false).stopped {
					wrong++
				}
			}
		}
		b.ReportMetric(touched/20, "touched-when-bad")
		b.ReportMetric(wrong, "wrong-stops")
	})
}

// runWave runs a wave for four hours. A returned instance has run few
// requests at first: 8 a minute, one in 400 of which fails as on its peers.
func runWave[J StopPolicy](j J, seed uint64, bad bool) *fakeFleet {
	w := newFakeFleet(seed, 50, 3, 5, 5, model.DomainRack, 4)
	w.declare(8 * clock.Hour)
	board := NewPlanner(FullSpeedPacer{}, j, settingsWithoutPeriod())
	board.Load(w.input())
	for w.now < clock.Day+4*clock.Hour {
		for _, id := range sortedKeys(w.instances) {
			if i := w.instances[id]; i.MaintainedAt > 1 && w.now-i.MaintainedAt < 25*clock.Minute {
				s := w.observations[id]
				if w.now-i.MaintainedAt <= clock.Minute {
					s.Calls, s.Failures = 0, 0
				}
				for range 8 {
					s.Calls++
					if w.rnd.IntN(400) == 0 || bad && w.rnd.IntN(8) == 0 {
						s.Failures++
					}
				}
				w.observations[id] = s
			}
		}
		sendChanges(w, board)
		plan := board.Pass(w.now)
		w.record(plan)
		for _, s := range plan.Steps {
			w.carryOut(s)
		}
		w.advance()
	}
	return w
}
