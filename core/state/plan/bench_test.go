package plan

import (
	"fmt"
	"runtime"
	"testing"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// fleets are the pool sizes and the covered failure domains of two operators.
var fleets = []struct {
	name   string
	covers model.FailureDomain
	sizes  []int
}{{"pruefkette", model.DomainRack, []int{8, 9, 8, 8, 9}}, {"pomar-alto", model.DomainZone, []int{8, 8, 9, 9, 8}}}

// BenchmarkRepair makes four assignments: the first one, one after the loss of a
// rack, one after the loss of one more instance, and one after the return of all.
// It reports, as means over 20 seeds: the sum of the moves of all assignments but
// the first, the mean of the idle instances over the four assignments, and the sums
// of the missing and of the exposed instances over the four assignments. The
// violations are the sum over all assignments and seeds.
func BenchmarkRepair(b *testing.B) {
	for _, f := range fleets {
		benchmarkRepair(b, f.name+"/first-name", FirstByName{}, f.covers, f.sizes)
		benchmarkRepair(b, f.name+"/spread", Spread{}, f.covers, f.sizes)
		benchmarkRepair(b, f.name+"/balance", Balance{}, f.covers, f.sizes)
	}
}

func benchmarkRepair[P Policy](b *testing.B, name string, policy P, covers model.FailureDomain, sizes []int) {
	b.Run(name, func(b *testing.B) {
		const seeds = 20
		var moves, idle, missing, exposed, violations float64
		for b.Loop() {
			moves, idle, missing, exposed, violations = 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				h := newFleetHarness(seed, 54, 3, userContracts(covers, 8, sizes...))
				settle := func() {
					a := AssignFromIndex(policy, Settings{MaxExchangeMoves: 8}, h.index, nil)
					violations += float64(h.startMoves(a.Moves) + h.finishMoves())
					m, e := missingCounts(a)
					missing, exposed, idle = missing+float64(m), exposed+float64(e), idle+float64(a.Idle)/4
				}
				settle()
				h.moves = 0
				rack := h.state.Instances[h.instanceIDs()[h.rnd.IntN(54)]].Rack
				h.setLost(func(i model.Instance) bool { return i.Rack == rack }, true)
				settle()
				second := h.instanceIDs()[h.rnd.IntN(54)]
				h.setLost(func(i model.Instance) bool { return i.ID == second }, true)
				settle()
				h.setLost(func(model.Instance) bool { return true }, false)
				settle()
				moves += float64(h.moves)
			}
		}
		b.ReportMetric(moves/seeds, "moves")
		b.ReportMetric(idle/seeds, "idle-inst")
		b.ReportMetric(missing/seeds, "missing-inst")
		b.ReportMetric(exposed/seeds, "exposed-inst")
		b.ReportMetric(violations, "violations")
	})
}

// BenchmarkGap reports by how much the outcome of each policy differs from the
// optimum on tiny fleets, as means over 12 seeds.
func BenchmarkGap(b *testing.B) {
	benchmarkGap(b, "first-name", FirstByName{})
	benchmarkGap(b, "spread", Spread{})
	benchmarkGap(b, "balance", Balance{})
}

func benchmarkGap[P Policy](b *testing.B, name string, policy P) {
	b.Run(name, func(b *testing.B) {
		const seeds = 12
		var mean [3]float64
		for b.Loop() {
			mean = [3]float64{}
			for seed := range uint64(seeds) {
				got, best := outcomeAndOptimum(policy, seed)
				for k := range mean {
					mean[k] += float64(got[k]-best[k]) / seeds
				}
			}
		}
		b.ReportMetric(mean[0], "missing-gap")
		b.ReportMetric(mean[1], "exposed-gap")
		b.ReportMetric(mean[2], "moves-gap")
	})
}

// BenchmarkSurge simulates ten minutes of services that peak in turn, for each
// chooser and the weights of both operators. It reports the waiting time per
// request, the permille of refused requests, the lent instance-seconds and the
// moves as means over 5 seeds, and the sum of the violations.
func BenchmarkSurge(b *testing.B) {
	for _, operator := range []struct {
		name  string
		w     Weights
		sizes []int
	}{{"pruefkette", RolloutFirst(), fleets[0].sizes}, {"pomar-alto", BufferFirst(), fleets[1].sizes}} {
		benchmarkSurge(b, operator.name+"/queue-only", QueueOnly{}, operator.w, operator.sizes)
		benchmarkSurge(b, operator.name+"/eager", Eager{}, operator.w, operator.sizes)
		benchmarkSurge(b, operator.name+"/cheapest", Cheapest{}, operator.w, operator.sizes)
		operator.w.ReturnDelayMillis = 0
		benchmarkSurge(b, operator.name+"/cheapest-no-hold", Cheapest{}, operator.w, operator.sizes)
		operator.w.ReturnDelayMillis, operator.w.Donate = 10*clock.Second, true
		benchmarkSurge(b, operator.name+"/cheapest-donate", Cheapest{}, operator.w, operator.sizes)
	}
}

func benchmarkSurge[C Chooser](b *testing.B, name string, chooser C, weights Weights, sizes []int) {
	b.Run(name, func(b *testing.B) {
		const seeds = 5
		var waited, refused, lent, moves, violations float64
		for b.Loop() {
			waited, refused, lent, moves, violations = 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				h := newSurgeHarness(seed, sizes...)
				for range 600 {
					advanceSecond(h, chooser, weights)
				}
				waited += h.waited * 1000 / h.requests
				refused += h.refused * 1000 / h.requests
				lent, moves, violations = lent+h.lent, moves+float64(h.fleet.moves), violations+float64(h.violations)
			}
		}
		b.ReportMetric(waited/seeds, "wait-ms/req")
		b.ReportMetric(refused/seeds, "refused-permille")
		b.ReportMetric(lent/seeds, "lent-inst-s")
		b.ReportMetric(moves/seeds, "moves")
		b.ReportMetric(violations, "violations")
	})
}

// BenchmarkPass reports the time and memory of one assignment after 12 changes, with
// the index and with counting from scratch.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ n, zones, pools int }{{50, 3, 5}, {500, 3, 10}, {5100, 20, 37}} {
		var c []model.Contract
		for k := range size.pools - 1 {
			c = append(c, model.Contract{
				Customer: model.Customer(fmt.Sprintf("c%02d", k)), Covers: model.DomainRack, Spare: 1, SparePool: "spare",
				Pools: []model.PoolShare{{Pool: Pool(fmt.Sprintf("p%02d", k)), Instances: size.n/size.pools - 1}},
			})
		}
		h := newFleetHarness(1, size.n, size.zones, c)
		h.startMoves(AssignFromIndex(Spread{}, Settings{}, h.index, nil).Moves)
		h.finishMoves()
		b.Run(fmt.Sprintf("index/%d", size.n), func(b *testing.B) { benchmarkPasses(b, h, false) })
		b.Run(fmt.Sprintf("scan/%d", size.n), func(b *testing.B) { benchmarkPasses(b, h, true) })
	}
}

// benchmarkPasses also reports the heap memory of the index, in KiB, as book-KiB.
func benchmarkPasses(b *testing.B, h *fleetHarness, scan bool) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	index := NewFleetIndex(h.contracts)
	in := h.input()
	for _, i := range in.Instances {
		index.SetInstance(i, false)
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
			index.SetInstance(i, j%3 == 0)
		}
		if scan {
			in.Lost = lost
			Assign(Spread{}, Settings{}, in)
		} else {
			AssignFromIndex(Spread{}, Settings{}, index, nil)
		}
		for id := range lost {
			index.SetInstance(h.state.Instances[id], false)
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/1024, "book-KiB")
}
