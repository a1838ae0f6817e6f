package maint

import (
	"fmt"
	"runtime"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// BenchmarkWave reports for each pacer the cost of a wave over a whole fleet of 50
// instances: roll-out time, instance-minutes out of service, the excess of unserved
// requests in load peaks over those of a complete fleet, releases taken back,
// missed deadlines and limit violations. The first four are means over 10 seeds,
// the last two totals.
func BenchmarkWave(b *testing.B) {
	for _, u := range []struct {
		name           string
		covers         model.FailureDomain
		maxUnavailable int
	}{{"pruefkette", model.DomainRack, 4}, {"pomar-alto", model.DomainZone, 3}} {
		benchWave(b, u.name+"/full-speed", FullSpeedPacer{}, u.covers, u.maxUnavailable)
		benchWave(b, u.name+"/proportional", ProportionalPacer{HaltPermille: 60}, u.covers, u.maxUnavailable)
		benchWave(b, u.name+"/deadline", DeadlinePacer{SlowPermille: 60, HaltPermille: 200}, u.covers, u.maxUnavailable)
	}
}

func benchWave[P Pacer](b *testing.B, name string, p P, covers model.FailureDomain, maxUnavailable int) {
	b.Run(name, func(b *testing.B) {
		const seeds = 10
		var minutes, outMinutes, excess, violations, missed, takenBack float64
		for b.Loop() {
			minutes, outMinutes, excess, violations, missed, takenBack = 0, 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				f := newFakeFleet(seed, 50, 3, 5, 5, covers, maxUnavailable)
				f.peakShift = clock.Millis(seed) * 12 * clock.Minute
				m := f.declare(8 * clock.Hour)
				planner := NewPlanner(p, ZTest{Z: 4, MinFailures: 3}, settingsWithoutPeriod())
				planner.Load(f.input())
				for f.unfinished(m) > 0 && f.now < m.DeclaredAt+3*clock.Day {
					sample := f.setPeakUnserved()
					sendChanges(f, planner)
					for _, s := range planner.Pass(f.now).Steps {
						if s.Kind == StepReturn && !s.Done {
							takenBack++
						}
						f.carryOut(s)
					}
					outMinutes += float64(sample.outOfService)
					excess += float64(sample.excess)
					f.advance()
				}
				minutes += float64((f.now - m.DeclaredAt) / clock.Minute)
				violations += float64(len(f.violations))
				if f.now > m.Deadline {
					missed++
				}
			}
		}
		b.ReportMetric(minutes/seeds, "rollout-min")
		b.ReportMetric(outMinutes/seeds, "absent-inst-min")
		b.ReportMetric(excess/seeds, "excess-permille-min")
		b.ReportMetric(takenBack/seeds, "taken-back")
		b.ReportMetric(missed, "deadlines-missed")
		b.ReportMetric(violations, "violations")
	})
}

// peakSample holds the number of instances out of service in one minute, and by how
// many permille the share of unserved requests exceeds the 20 permille that a
// complete fleet has in a peak.
type peakSample struct{ outOfService, excess int }

// setPeakUnserved sets the share of unserved requests in the present minute. Hours
// with load peaks alternate with quiet hours, shifted by peakShift. In an hour with
// peaks, about half of the minutes, chosen at random, have a peak that exceeds the
// capacity of the pool: the share is 20 permille with a complete fleet and 25
// permille more for each instance out of service. The planner gets a moving average
// over about four minutes, because peaks are shorter than a maintenance.
func (f *fakeFleet) setPeakUnserved() peakSample {
	n := 0
	for id, i := range f.instances {
		if isOutOfService(i, f.observations[id]) {
			n++
		}
	}
	p := 0
	if (f.now+f.peakShift)/clock.Hour%2 == 0 && f.rnd.IntN(2) == 0 {
		p = 20 + 25*n
	}
	for _, c := range f.contracts {
		f.unservedPermille[c.Customer] = (3*f.unservedPermille[c.Customer] + p) / 4
	}
	return peakSample{outOfService: n, excess: max(0, p-20)}
}

// BenchmarkPass reports the time and memory of one pass with 12 changes, with and
// without the index.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ n, zones, pools int }{{50, 3, 5}, {500, 3, 10}, {5100, 20, 37}} {
		for _, scan := range []bool{false, true} {
			name := map[bool]string{false: "index", true: "scan"}[scan]
			b.Run(fmt.Sprintf("%s/%d", name, size.n), func(b *testing.B) {
				benchPasses(b, newFakeFleet(1, size.n, size.zones, size.pools, 1, model.DomainZone, 2), scan)
			})
			b.Run(fmt.Sprintf("%s-wave/%d", name, size.n), func(b *testing.B) {
				f := newFakeFleet(1, size.n, size.zones, size.pools, 1, model.DomainZone, 2)
				f.decls = []model.Maintenance{{Name: "firmware", DeclaredAt: 100 * clock.Day, Deadline: 110 * clock.Day}}
				benchPasses(b, f, scan)
			})
		}
	}
}

// benchPasses measures passes of a planner for the fleet. It also reports as
// board-KiB the heap memory of the planner after the first pass, in KiB.
func benchPasses(b *testing.B, f *fakeFleet, scan bool) {
	set := Defaults()
	set.FullScan = scan
	f.now = 100 * clock.Day
	ids := sortedKeys(f.instances)
	for k, id := range ids {
		f.instances[id] = maintainedAt(f.instances[id], f.now-clock.Millis(k)*40*clock.Day/clock.Millis(len(ids)))
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	planner := NewPlanner(FullSpeedPacer{}, ZTest{Z: 4, MinFailures: 3}, set)
	planner.Load(f.input())
	planner.Pass(f.now)
	runtime.GC()
	runtime.ReadMemStats(&after)
	k, down := 0, ids[0]
	b.ReportAllocs()
	for b.Loop() {
		f.now += clock.Second
		for range 10 {
			k++
			id := ids[k*7%len(ids)]
			s := f.observations[id]
			s.Calls++
			f.observations[id] = s
			planner.SetObservation(id, s)
		}
		for _, lost := range []bool{false, true} {
			if lost {
				down = ids[k*11%len(ids)]
			}
			f.setLost(down, lost)
			planner.SetObservation(down, f.observations[down])
		}
		f.outages = f.outages[:0]
		for _, s := range planner.Pass(f.now).Steps {
			f.carryOut(s)
			planner.SetInstance(f.instances[s.Instance])
			f.advance()
			planner.SetObservation(s.Instance, f.observations[s.Instance])
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/1024, "board-KiB")
}

// BenchmarkStopPolicy reports for each stop policy how many of 50 instances a wave
// touches before it stops, if touched instances fail an eighth of their requests,
// and how many of 20 waves with healthy instances are stopped wrongly.
func BenchmarkStopPolicy(b *testing.B) {
	benchStopPolicy(b, "never", NeverStop{})
	benchStopPolicy(b, "ratio", RatioTest{Factor: 3, MinFailures: 8})
	benchStopPolicy(b, "score", ZTest{Z: 4, MinFailures: 3})
}

func benchStopPolicy[S StopPolicy](b *testing.B, name string, policy S) {
	b.Run(name, func(b *testing.B) {
		var touched, wrong float64
		for b.Loop() {
			touched, wrong = 0, 0
			for seed := range uint64(20) {
				touched += 50 - float64(runWave(policy, seed, true).unfinished(model.Maintenance{DeclaredAt: clock.Day}))
				if runWave(policy, seed, false).stopped {
					wrong++
				}
			}
		}
		b.ReportMetric(touched/20, "touched-when-bad")
		b.ReportMetric(wrong, "wrong-stops")
	})
}

// runWave runs a wave for four hours. The request counts of a returned instance
// start at 0 and grow by 8 a minute for 25 minutes. On average, one request in 400
// fails, as on its peers; if bad is set, one in eight fails in addition.
func runWave[S StopPolicy](policy S, seed uint64, bad bool) *fakeFleet {
	f := newFakeFleet(seed, 50, 3, 5, 5, model.DomainRack, 4)
	f.declare(8 * clock.Hour)
	planner := NewPlanner(FullSpeedPacer{}, policy, settingsWithoutPeriod())
	planner.Load(f.input())
	for f.now < clock.Day+4*clock.Hour {
		for _, id := range sortedKeys(f.instances) {
			if i := f.instances[id]; i.MaintainedAt > 1 && f.now-i.MaintainedAt < 25*clock.Minute {
				s := f.observations[id]
				if f.now-i.MaintainedAt <= clock.Minute {
					s.Calls, s.Failures = 0, 0
				}
				for range 8 {
					s.Calls++
					if f.rnd.IntN(400) == 0 || bad && f.rnd.IntN(8) == 0 {
						s.Failures++
					}
				}
				f.observations[id] = s
			}
		}
		sendChanges(f, planner)
		plan := planner.Pass(f.now)
		f.record(plan)
		for _, s := range plan.Steps {
			f.carryOut(s)
		}
		f.advance()
	}
	return f
}
