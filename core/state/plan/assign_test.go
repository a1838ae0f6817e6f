package plan

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/model"
)

// TestAssignUnderLosses guards against an instance in two pools, promised
// instances that stay missing although there are enough, unneeded moves, and an
// index that leads to another assignment than the state from which it was filled.
func TestAssignUnderLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contracts := drawContracts(t, 4)
		h := newFleetHarness(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 24).Draw(t, "n"), 3, contracts)
		settings := Settings{UseOthersSpare: true, MaxExchangeMoves: 4}
		ids := h.instanceIDs()
		for range rapid.IntRange(1, 25).Draw(t, "events") {
			a := AssignFromIndex(Balance{}, settings, h.index, nil)
			assert.DeepEqual(t, a, Assign(Balance{}, settings, h.input()))
			if n := h.startMoves(a.Moves); n > 0 {
				t.Fatalf("%d violations when the moves were started: %v", n, a.Moves)
			}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				id := ids[h.rnd.IntN(len(ids))]
				h.setLost(func(i model.Instance) bool { return i.ID == id }, true)
			case 1:
				zone := model.Zone(fmt.Sprintf("z%02d", h.rnd.IntN(3)))
				h.setLost(func(i model.Instance) bool { return i.Zone == zone }, true)
			case 2:
				h.setLost(func(model.Instance) bool { return true }, false)
			default:
				if n := h.finishMoves(); n > 0 {
					t.Fatalf("%d steps were refused", n)
				}
			}
		}
		h.setLost(func(model.Instance) bool { return true }, false)
		h.finishMoves()
		h.startMoves(AssignFromIndex(Spread{}, settings, h.index, nil).Moves)
		h.finishMoves()
		checkStable(t, h, settings)
	})
}

// checkStable checks that in a fleet without losses exactly as many required
// instances are missing as the fleet is too small by, and that it needs no further
// moves.
func checkStable(t *rapid.T, h *fleetHarness, settings Settings) {
	a := AssignFromIndex(Spread{}, settings, h.index, nil)
	required := 0
	for _, n := range h.index.counts.required {
		required += n
	}
	missing := 0
	for _, s := range a.Shortfalls {
		if s.Kind != ShortfallExposed {
			missing += s.Required - s.Available
		}
	}
	if missing != max(0, required-len(h.state.Instances)) || len(a.Moves) > 0 {
		t.Fatalf("%d of %d required instances are missing in a fleet of %d; moves %v", missing, required, len(h.state.Instances), a.Moves)
	}
}

// TestReserveOfOtherCustomersIsKept guards against a repair for one customer that
// uses spare instances reserved for another without UseOthersSpare.
func TestReserveOfOtherCustomersIsKept(t *testing.T) {
	contracts := []model.Contract{
		{Customer: "a", Spare: 1, SparePool: "spare", Pools: []model.PoolShare{{Pool: "pa", Instances: 3}}},
		{Customer: "b", Spare: 2, SparePool: "spare", Pools: []model.PoolShare{{Pool: "pb", Instances: 3}}},
	}
	h := newFleetHarness(1, 9, 3, contracts)
	h.startMoves(AssignFromIndex(Spread{}, Settings{}, h.index, nil).Moves)
	h.finishMoves()
	visited := 0
	h.setLost(func(i model.Instance) bool { visited++; return i.Pool == "pa" }, true)
	a := AssignFromIndex(Spread{}, Settings{}, h.index, nil)
	assert.Equal(t, len(a.Moves), 1)
	promised, _ := missingCounts(a)
	assert.Equal(t, promised, 2)
	assert.Equal(t, len(AssignFromIndex(Spread{}, Settings{UseOthersSpare: true}, h.index, nil).Moves), 3)
}

// optimalOutcome searches all assignments of a tiny fleet for the one with the
// fewest missing instances, then the lowest exposure, then the fewest moves. It
// returns these three numbers. A missing promised instance counts 100, a missing
// spare instance 1.
func optimalOutcome(in Input, pools []Pool) (best [3]int) {
	best = [3]int{1 << 30, 0, 0}
	poolOf := make([]Pool, len(in.Instances))
	var walk func(k, moves int)
	walk = func(k, moves int) {
		if k < len(poolOf) {
			for _, p := range pools {
				poolOf[k] = p
				n := moves
				if p != in.Instances[k].Pool {
					n++
				}
				walk(k+1, n)
			}
			return
		}
		index := NewFleetIndex(in.Contracts)
		for j, i := range in.Instances {
			i.Pool, i.Target = poolOf[j], poolOf[j]
			index.SetInstance(i, in.Lost[i.ID])
		}
		missing, spare, exposed := 0, 0, 0
		for p, need := range index.counts.required {
			if index.counts.spares[p] {
				spare += max(0, need-index.counts.instances[p])
			} else {
				missing += max(0, need-index.counts.instances[p])
			}
		}
		for _, g := range index.counts.groups {
			for _, kind := range domainKinds {
				n, _ := index.counts.worstLoss(g, kind)
				exposed += n
			}
		}
		if got := [3]int{missing*100 + spare, exposed, moves}; less(got, best) {
			best = got
		}
	}
	walk(0, 0)
	return best
}

// less compares outcomes lexicographically.
func less(a, b [3]int) bool {
	for k := range a {
		if a[k] != b[k] {
			return a[k] < b[k]
		}
	}
	return false
}

// outcomeAndOptimum runs a policy on a tiny fleet after the loss of one instance. It
// returns the outcome of the policy and that of optimalOutcome, as the same three
// numbers.
func outcomeAndOptimum[P Policy](policy P, seed uint64) (got, best [3]int) {
	contracts := []model.Contract{
		{Customer: "a", Covers: model.DomainZone, Spare: 1, SparePool: "spare", Pools: []model.PoolShare{{Pool: "pa", Instances: 2}, {Pool: "pb", Instances: 1}}},
	}
	h := newFleetHarness(seed, 7, 3, contracts)
	for _, id := range h.instanceIDs() {
		i := h.state.Instances[id]
		i.Pool = []Pool{"new", "pa", "pb", "spare"}[h.rnd.IntN(4)]
		i.Version = 0
		h.state.Instances[id] = i
		h.index.SetInstance(i, false)
	}
	lostID := h.instanceIDs()[h.rnd.IntN(7)]
	h.setLost(func(i model.Instance) bool { return i.ID == lostID }, true)
	in := h.input()
	a := Assign(policy, Settings{UseOthersSpare: true, MaxExchangeMoves: 6}, in)
	promised, exposed := missingCounts(a)
	spare := 0
	for _, s := range a.Shortfalls {
		if s.Kind == ShortfallSpare {
			spare += s.Required - s.Available
		}
	}
	return [3]int{promised*100 + spare, exposed, len(a.Moves)}, optimalOutcome(in, []Pool{"new", "pa", "pb", "spare"})
}

// TestGapToOptimum guards against an assignment that leaves more instances missing
// than the optimum, and against one that reports a better outcome than the optimum.
func TestGapToOptimum(t *testing.T) {
	for seed := range uint64(12) {
		got, best := outcomeAndOptimum(Balance{}, seed)
		assert.Equal(t, got[0], best[0], "seed %d: outcome %v, optimum %v", seed, got, best)
		assert.Assert(t, !less(got, best), "seed %d: outcome %v is better than the optimum %v", seed, got, best)
	}
}

// TestExposureIsWhatALossLeavesMissing guards against a computed exposure that
// differs from the number of instances that are missing after the failure domain
// is lost and the loss is repaired.
func TestExposureIsWhatALossLeavesMissing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		promised, spare := rapid.IntRange(1, 6).Draw(t, "promised"), rapid.IntRange(0, 4).Draw(t, "spare")
		contracts := []model.Contract{{
			Customer: "a", Covers: model.DomainZone, Spare: spare, SparePool: "spare", Pools: []model.PoolShare{{Pool: "pa", Instances: promised}},
		}}
		h := newFleetHarness(rapid.Uint64().Draw(t, "seed"), promised+spare+rapid.IntRange(0, 3).Draw(t, "surplus"), 3, contracts)
		for k, id := range h.instanceIDs() {
			i := h.state.Instances[id]
			i.Pool = "spare"
			if k >= spare || h.rnd.IntN(2) == 0 {
				i.Pool = "pa"
			}
			h.state.Instances[id] = i
			h.index.SetInstance(i, false)
		}
		g := h.index.counts.groups["spare"]
		for _, zone := range []string{"z00", "z01", "z02"} {
			want := h.index.counts.missingAfterLoss(g, model.DomainZone, zone)
			in := func(i model.Instance) bool { return string(i.Zone) == zone }
			h.setLost(in, true)
			got, _ := missingCounts(AssignFromIndex(Spread{}, Settings{}, h.index, nil))
			h.setLost(in, false)
			if got != want {
				t.Fatalf("the loss of %s leaves %d promised instances missing; missingAfterLoss computed %d", zone, got, want)
			}
		}
		worst, _ := h.index.counts.worstLoss(g, model.DomainZone)
		for _, zone := range []string{"z00", "z01", "z02"} {
			worst -= max(0, h.index.counts.missingAfterLoss(g, model.DomainZone, zone)-worst) * 1000
		}
		if worst < 0 {
			t.Fatal("the loss of a zone leaves more instances missing than worstLoss returns")
		}
	})
}
