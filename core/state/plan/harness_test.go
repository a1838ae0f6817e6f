package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pgregory.net/rapid"

	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
)

// fleetHarness applies moves through the replicated state machine, which
// rejects any step that would put an instance into two pools.
type fleetHarness struct {
	rnd       *rand.Rand
	state     *fleet.State
	version   model.Version
	lost      map[model.InstanceID]bool
	contracts []model.Contract
	moves     int
	index     *FleetIndex
}

// newFleetHarness returns a fleet of n instances, distributed round-robin over
// zones, with four to a rack. All are in pool "new" at first.
func newFleetHarness(seed uint64, n, zones int, contracts []model.Contract) *fleetHarness {
	h := &fleetHarness{
		rnd: rand.New(rand.NewPCG(seed, 2)), state: fleet.New(), lost: map[model.InstanceID]bool{},
		contracts: contracts, index: NewFleetIndex(contracts),
	}
	for k := range n {
		zone := fmt.Sprintf("z%02d", k%zones)
		h.apply(model.Instance{
			ID: model.InstanceID(fmt.Sprintf("i%04d", k)), Zone: model.Zone(zone), Pool: "new", Target: "new", Slots: 8,
			Rack: model.Rack(fmt.Sprintf("%s-r%03d", zone, k/zones/4)),
		})
	}
	return h
}

// userContracts returns one contract that promises one pool of each size and
// reserves spare instances in a spare pool. The benchmarks use it with five pools,
// as many as the contracts of the two known operators have.
func userContracts(covers model.FailureDomain, spare int, sizes ...int) []model.Contract {
	c := model.Contract{Customer: "user", Covers: covers, Spare: spare, SparePool: "spare"}
	for k, n := range sizes {
		c.Pools = append(c.Pools, model.PoolShare{Pool: Pool(fmt.Sprintf("p%d", k)), Instances: n})
	}
	return []model.Contract{c}
}

// apply changes an instance through the state machine and updates the index with
// the result.
func (h *fleetHarness) apply(i model.Instance) model.ResultKind {
	h.version++
	r := h.state.Apply(h.version, model.Change{
		Kind: model.ChangeInstances, Instances: []model.InstanceStep{{Base: h.state.Instances[i.ID].Version, Instance: i}},
	})
	h.index.SetInstance(h.state.Instances[i.ID], h.lost[i.ID])
	return r.Kind
}

func (h *fleetHarness) instanceIDs() []model.InstanceID {
	var ids []model.InstanceID
	for id := range h.state.Instances {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// input returns the state of the fleet as an input of Assign.
func (h *fleetHarness) input(extras ...Extra) Input {
	in := Input{Lost: h.lost, Contracts: h.contracts, Extras: extras}
	for _, id := range h.instanceIDs() {
		in.Instances = append(in.Instances, h.state.Instances[id])
	}
	return in
}

// startMoves starts moves and returns the number of violations: the moves of
// instances that don't serve the pool that the move names, plus the steps that the
// state machine refused. One move can count twice.
func (h *fleetHarness) startMoves(moves []Move) (violations int) {
	for _, m := range moves {
		i := h.state.Instances[m.Instance]
		if i.Pool != m.From || i.Phase != model.PhaseServing {
			violations++
		}
		i.Phase, i.Target = model.PhaseReleasing, m.To
		if h.apply(i) != model.ResultApplied {
			violations++
		}
		h.moves++
	}
	return violations
}

// finishMoves completes the moves that were started, except those of lost
// instances. It returns the number of steps that the state machine refused.
func (h *fleetHarness) finishMoves() (refused int) {
	for _, id := range h.instanceIDs() {
		i := h.state.Instances[id]
		if i.Phase != model.PhaseReleasing || h.lost[id] {
			continue
		}
		i.Phase, i.Pool = model.PhaseServing, i.Target
		if h.apply(i) != model.ResultApplied {
			refused++
		}
	}
	return refused
}

// setLost marks the selected instances as lost or as back in service.
func (h *fleetHarness) setLost(selected func(model.Instance) bool, lost bool) {
	for _, id := range h.instanceIDs() {
		if selected(h.state.Instances[id]) {
			h.lost[id] = lost
			h.index.SetInstance(h.state.Instances[id], lost)
		}
	}
}

// missingCounts returns the number of missing promised instances, and the sum over
// the exposed failure domains of the promised instances that the loss of each would
// leave missing.
func missingCounts(a Assignment) (promised, exposed int) {
	for _, s := range a.Shortfalls {
		if s.Kind == ShortfallPromised {
			promised += s.Required - s.Available
		}
		if s.Kind == ShortfallExposed {
			exposed += s.Required
		}
	}
	return promised, exposed
}

// drawContracts draws the contracts of one or two customers, each of which promises
// up to maxInstances in each of its pools.
func drawContracts(t *rapid.T, maxInstances int) []model.Contract {
	var out []model.Contract
	for k := range rapid.IntRange(1, 2).Draw(t, "customers") {
		c := model.Contract{Customer: model.Customer(fmt.Sprintf("c%d", k)), Covers: model.FailureDomain(rapid.IntRange(0, 2).Draw(t, "covers"))}
		if rapid.Bool().Draw(t, "has spare") {
			c.Spare, c.SparePool = rapid.IntRange(0, 3).Draw(t, "spare"), "spare"
		}
		for p := range rapid.IntRange(1, 2).Draw(t, "pools") {
			c.Pools = append(c.Pools, model.PoolShare{Pool: Pool(fmt.Sprintf("p%d", k+p)), Instances: rapid.IntRange(1, maxInstances).Draw(t, "promised")})
		}
		out = append(out, c)
	}
	return out
}
