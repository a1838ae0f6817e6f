package plan

import (
	"fmt"
	"runtime"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

var fleets = []struct {
	name   string
	covers model.FailureDomain
	sizes  []int
}{{"pruefkette", model.DomainRack, []int{8, 9, 8, 8, 9}}, {"pomar-alto", model.DomainZone, []int{8, 8, 9, 9, 8}}}

// BenchmarkRepair reports moves, idle instances and what is missing or exposed
// after the first assignment, a rack loss, a second loss of one instance right
// after, and the return of all; means over 20 seeds.
func BenchmarkRepair(b *testing.B) {
	for _, f := range fleets {
		repair(b, f.name+"/first-name", FirstByName{}, f.covers, f.sizes)
		repair(b, f.name+"/spread", Spread{}, f.covers, f.sizes)
		repair(b, f.name+"/balance", Balance{}, f.covers, f.sizes)
	}
}

func repair[P Policy](b *testing.B, name string, p P, covers model.FailureDomain, sizes []int) {
	b.Run(name, func(b *testing.B) {
		const seeds = 20
		var moves, idle, missing, exposed, refused float64
		for b.Loop() {
			moves, idle, missing, exposed, refused = 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				w := newWorld(seed, 54, 3, users(covers, 8, sizes...))
				settle := func() {
					a := Decide(p, Settings{MaxExchangeMoves: 8}, w.book, nil)
					refused += float64(w.release(a.Moves) + w.finish())
					m, e := missingOf(a)
					missing, exposed, idle = missing+float64(m), exposed+float64(e), idle+float64(a.Idle)/4
				}
				settle()
				w.moves = 0
				rack := w.state.Instances[w.ids()[w.rnd.IntN(54)]].Rack
				w.lose(func(i model.Instance) bool { return i.Rack == rack }, true)
				settle()
				second := w.ids()[w.rnd.IntN(54)]
				w.lose(func(i model.Instance) bool { return i.ID == second }, true)
				settle()
				w.lose(func(model.Instance) bool { return true }, false)
				settle()
				moves += float64(w.moves)
			}
		}
		b.ReportMetric(moves/seeds, "moves")
		b.ReportMetric(idle/seeds, "idle-inst")
		b.ReportMetric(missing/seeds, "missing-inst")
		b.ReportMetric(exposed/seeds, "exposed-inst")
		b.ReportMetric(refused, "violations")
	})
}

// BenchmarkGap reports how far each policy is from the optimum of tiny fleets.
func BenchmarkGap(b *testing.B) {
	gap(b, "first-name", FirstByName{})
	gap(b, "spread", Spread{})
	gap(b, "balance", Balance{})
}

func gap[P Policy](b *testing.B, name string, p P) {
	b.Run(name, func(b *testing.B) {
		const seeds = 12
		var sum [3]float64
		for b.Loop() {
			sum = [3]float64{}
			for seed := range uint64(seeds) {
				got, best := gapTo(p, seed)
				for k := range sum {
					sum[k] += float64(got[k]-best[k]) / seeds
				}
			}
		}
		b.ReportMetric(sum[0], "missing-gap")
		b.ReportMetric(sum[1], "exposed-gap")
		b.ReportMetric(sum[2], "moves-gap")
	})
}

// BenchmarkSurge reports ten minutes of services that peak in turn, for each
// way to choose and both preferences; means over 5 seeds.
func BenchmarkSurge(b *testing.B) {
	for _, u := range []struct {
		name  string
		w     Weights
		sizes []int
	}{{"pruefkette", RolloutFirst(), fleets[0].sizes}, {"pomar-alto", BufferFirst(), fleets[1].sizes}} {
		surges(b, u.name+"/queue-only", QueueOnly{}, u.w, u.sizes)
		surges(b, u.name+"/eager", Eager{}, u.w, u.sizes)
		surges(b, u.name+"/cheapest", Cheapest{}, u.w, u.sizes)
		u.w.ReturnDelayMillis = 0
		surges(b, u.name+"/cheapest-no-hold", Cheapest{}, u.w, u.sizes)
		u.w.ReturnDelayMillis, u.w.Donate = 10*clock.Second, true
		surges(b, u.name+"/cheapest-donate", Cheapest{}, u.w, u.sizes)
	}
}

func surges[C Chooser](b *testing.B, name string, c C, w Weights, sizes []int) {
	b.Run(name, func(b *testing.B) {
		const seeds = 5
		var waited, refused, lent, moves, breaches float64
		for b.Loop() {
			waited, refused, lent, moves, breaches = 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				r := newSurge(seed, sizes...)
				for range 600 {
					second(r, c, w)
				}
				waited += r.waited * 1000 / r.requests
				refused += r.refused * 1000 / r.requests
				lent, moves, breaches = lent+r.lent, moves+float64(r.w.moves), breaches+float64(r.breaches)
			}
		}
		b.ReportMetric(waited/seeds, "wait-ms/req")
		b.ReportMetric(refused/seeds, "refused-permille")
		b.ReportMetric(lent/seeds, "lent-inst-s")
		b.ReportMetric(moves/seeds, "moves")
		b.ReportMetric(breaches, "violations")
	})
}

// BenchmarkPass reports the time and memory of one decision after 12 changes,
// with the kept counts and counting anew.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ n, zones, pools int }{{50, 3, 5}, {500, 3, 10}, {5100, 20, 37}} {
		var c []model.Contract
		for k := range size.pools - 1 {
			c = append(c, model.Contract{
				Customer: model.Customer(fmt.Sprintf("c%02d", k)), Covers: model.DomainRack, Spare: 1, SparePool: "spare",
				Pools: []model.PoolShare{{Pool: Pool(fmt.Sprintf("p%02d", k)), Instances: size.n/size.pools - 1}},
			})
		}
		w := newWorld(1, size.n, size.zones, c)
		w.release(Decide(Spread{}, Settings{}, w.book, nil).Moves)
		w.finish()
		b.Run(fmt.Sprintf("index/%d", size.n), func(b *testing.B) { passes(b, w, false) })
		b.Run(fmt.Sprintf("scan/%d", size.n), func(b *testing.B) { passes(b, w, true) })
	}
}

func passes(b *testing.B, w *world, scan bool) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	book := NewFleetIndex(w.contracts)
	in := w.input()
	for _, i := range in.Instances {
		book.SetInstance(i, false)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	k := 0
	b.ReportAllocs()
	for b.Loop() {
		k++
		lost := map[model.InstanceID]bool{}
		for j := range 12 {
			i := in.Instances[(k*12+j*4)%len(in.Instances)]
			lost[i.ID] = j%3 == 0
			book.SetInstance(i, j%3 == 0)
		}
		if scan {
			in.Lost = lost
			Assign(Spread{}, Settings{}, in)
		} else {
			Decide(Spread{}, Settings{}, book, nil)
		}
		for id := range lost {
			book.SetInstance(w.state.Instances[id], false)
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/1024, "book-KiB")
}
