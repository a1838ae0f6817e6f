package plan

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/model"
)

// Guards against an instance in two pools, promised instances that stay
// missing although enough are owned, more moves than were lacking, and a book
// that decides differently from the state it was filled from.
func TestAssignUnderLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contracts := drawContracts(t, 4)
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 24).Draw(t, "n"), 3, contracts)
		set := Settings{BorrowReserve: true, MaxExchangeMoves: 4}
		ids := w.ids()
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			a := Decide(Balance{}, set, w.book, nil)
			assert.DeepEqual(t, a, Assign(Balance{}, set, w.input()))
			if n := w.release(a.Moves); n > 0 {
				t.Fatalf("%d moves were refused: %v", n, a.Moves)
			}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				id := ids[w.rnd.IntN(len(ids))]
				w.lose(func(i model.Instance) bool { return i.ID == id }, true)
			case 1:
				zone := model.Zone(fmt.Sprintf("z%02d", w.rnd.IntN(3)))
				w.lose(func(i model.Instance) bool { return i.Zone == zone }, true)
			case 2:
				w.lose(func(model.Instance) bool { return true }, false)
			default:
				if n := w.finish(); n > 0 {
					t.Fatalf("%d steps were refused", n)
				}
			}
		}
		w.lose(func(model.Instance) bool { return true }, false)
		w.finish()
		w.release(Decide(Spread{}, set, w.book, nil).Moves)
		w.finish()
		checkSettled(t, w, set)
	})
}

// checkSettled asserts that a whole fleet holds what it can, and needs no
// further moves.
func checkSettled(t *rapid.T, w *world, set Settings) {
	a := Decide(Spread{}, set, w.book, nil)
	need := 0
	for _, n := range w.book.counts.required {
		need += n
	}
	short := 0
	for _, g := range a.Gaps {
		if g.Kind != GapExposed {
			short += g.Need - g.Have
		}
	}
	if short != max(0, need-len(w.state.Instances)) || len(a.Moves) > 0 {
		t.Fatalf("%d short of %d with %d instances; moves %v", short, need, len(w.state.Instances), a.Moves)
	}
}

// Guards against a repair that lets one customer use up what is reserved for
// another.
func TestReserveOfOthersIsKept(t *testing.T) {
	contracts := []model.Contract{
		{Customer: "a", Spare: 1, SparePool: "spare", Pools: []model.PoolShare{{Pool: "pa", Instances: 3}}},
		{Customer: "b", Spare: 2, SparePool: "spare", Pools: []model.PoolShare{{Pool: "pb", Instances: 3}}},
	}
	w := newWorld(1, 9, 3, contracts)
	w.release(Decide(Spread{}, Settings{}, w.book, nil).Moves)
	w.finish()
	gone := 0
	w.lose(func(i model.Instance) bool { gone++; return i.Pool == "pa" }, true)
	a := Decide(Spread{}, Settings{}, w.book, nil)
	assert.Equal(t, len(a.Moves), 1)
	promised, _ := missingOf(a)
	assert.Equal(t, promised, 2)
	assert.Equal(t, len(Decide(Spread{}, Settings{BorrowReserve: true}, w.book, nil).Moves), 3)
}

// optimum searches every assignment of a tiny fleet: least missing first,
// then least exposure, then fewest moves.
func optimum(in Input, pools []Pool) (best [3]int) {
	best = [3]int{1 << 30, 0, 0}
	at := make([]Pool, len(in.Instances))
	var walk func(k, moves int)
	walk = func(k, moves int) {
		if k < len(at) {
			for _, p := range pools {
				at[k] = p
				n := moves
				if p != in.Instances[k].Pool {
					n++
				}
				walk(k+1, n)
			}
			return
		}
		b := NewFleetIndex(in.Contracts)
		for j, i := range in.Instances {
			i.Pool, i.Target = at[j], at[j]
			b.SetInstance(i, in.Lost[i.ID])
		}
		short, spare, exposed := 0, 0, 0
		for p, need := range b.counts.required {
			if b.counts.spares[p] {
				spare += max(0, need-b.counts.instances[p])
			} else {
				short += max(0, need-b.counts.instances[p])
			}
		}
		for _, g := range b.counts.groups {
			for _, kind := range domainKinds {
				n, _ := b.counts.worstLoss(g, kind)
				exposed += n
			}
		}
		if got := [3]int{short*100 + spare, exposed, moves}; less(got, best) {
			best = got
		}
	}
	walk(0, 0)
	return best
}

func less(a, b [3]int) bool {
	for k := range a {
		if a[k] != b[k] {
			return a[k] < b[k]
		}
	}
	return false
}

// gapTo runs a policy on a tiny fleet after a loss and returns what it reached
// next to the optimum.
func gapTo[P Policy](p P, seed uint64) (got, best [3]int) {
	contracts := []model.Contract{
		{Customer: "a", Covers: model.DomainZone, Spare: 1, SparePool: "spare", Pools: []model.PoolShare{{Pool: "pa", Instances: 2}, {Pool: "pb", Instances: 1}}},
	}
	w := newWorld(seed, 7, 3, contracts)
	for _, id := range w.ids() {
		i := w.state.Instances[id]
		i.Pool = []Pool{"new", "pa", "pb", "spare"}[w.rnd.IntN(4)]
		i.Version = 0
		w.state.Instances[id] = i
		w.book.SetInstance(i, false)
	}
	victim := w.ids()[w.rnd.IntN(7)]
	w.lose(func(i model.Instance) bool { return i.ID == victim }, true)
	in := w.input()
	a := Assign(p, Settings{BorrowReserve: true, MaxExchangeMoves: 6}, in)
	promised, exposed := missingOf(a)
	spare := 0
	for _, g := range a.Gaps {
		if g.Kind == GapSpare {
			spare += g.Need - g.Have
		}
	}
	return [3]int{promised*100 + spare, exposed, len(a.Moves)}, optimum(in, []Pool{"new", "pa", "pb", "spare"})
}

// Guards against a policy that leaves more missing than the optimum, or that
// claims to be better than it.
func TestGapToOptimum(t *testing.T) {
	for seed := range uint64(12) {
		got, best := gapTo(Balance{}, seed)
		assert.Equal(t, got[0], best[0], "seed %d: %v against %v", seed, got, best)
		assert.Assert(t, !less(got, best), "seed %d: %v beats %v", seed, got, best)
	}
}

// Guards against a stated exposure that differs from what a real loss of the
// domain leaves missing after its repair.
func TestExposureIsWhatALossLeavesMissing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		promised, spare := rapid.IntRange(1, 6).Draw(t, "promised"), rapid.IntRange(0, 4).Draw(t, "spare")
		contracts := []model.Contract{{
			Customer: "a", Covers: model.DomainZone, Spare: spare, SparePool: "spare", Pools: []model.PoolShare{{Pool: "pa", Instances: promised}},
		}}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), promised+spare+rapid.IntRange(0, 3).Draw(t, "surplus"), 3, contracts)
		for k, id := range w.ids() {
			i := w.state.Instances[id]
			i.Pool = "spare"
			if k >= spare || w.rnd.IntN(2) == 0 {
				i.Pool = "pa"
			}
			w.state.Instances[id] = i
			w.book.SetInstance(i, false)
		}
		g := w.book.counts.groups["spare"]
		for _, zone := range []string{"z00", "z01", "z02"} {
			want := w.book.counts.missingAfterLoss(g, model.DomainZone, zone)
			in := func(i model.Instance) bool { return string(i.Zone) == zone }
			w.lose(in, true)
			got, _ := missingOf(Decide(Spread{}, Settings{}, w.book, nil))
			w.lose(in, false)
			if got != want {
				t.Fatalf("the loss of %s leaves %d missing; stated were %d", zone, got, want)
			}
		}
		worst, _ := w.book.counts.worstLoss(g, model.DomainZone)
		for _, zone := range []string{"z00", "z01", "z02"} {
			worst -= max(0, w.book.counts.missingAfterLoss(g, model.DomainZone, zone)-worst) * 1000
		}
		if worst < 0 {
			t.Fatal("a domain is worse than the stated worst one")
		}
	})
}
