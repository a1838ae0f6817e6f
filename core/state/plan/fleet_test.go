package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pgregory.net/rapid"

	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
)

// world carries moves out through the replicated state machine, which refuses
// any step that would put an instance into two pools.
type world struct {
	rnd       *rand.Rand
	state     *fleet.State
	index     model.Version
	lost      map[model.InstanceID]bool
	contracts []model.Contract
	moves     int
	book      *FleetIndex
}

// newWorld has n instances round-robin over zones and four to a rack. All are
// in pool "new" at first.
func newWorld(seed uint64, n, zones int, contracts []model.Contract) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 2)), state: fleet.New(), lost: map[model.InstanceID]bool{},
		contracts: contracts, book: NewFleetIndex(contracts),
	}
	for k := range n {
		zone := fmt.Sprintf("z%02d", k%zones)
		w.step(model.Instance{
			ID: model.InstanceID(fmt.Sprintf("i%04d", k)), Zone: model.Zone(zone), Pool: "new", Target: "new", Slots: 8,
			Rack: model.Rack(fmt.Sprintf("%s-r%03d", zone, k/zones/4)),
		})
	}
	return w
}

// users are the contracts of both users: five pools, one of them the spare.
func users(covers model.FailureDomain, spare int, sizes ...int) []model.Contract {
	c := model.Contract{Customer: "user", Covers: covers, Spare: spare, SparePool: "spare"}
	for k, n := range sizes {
		c.Pools = append(c.Pools, model.PoolShare{Pool: Pool(fmt.Sprintf("p%d", k)), Instances: n})
	}
	return []model.Contract{c}
}

func (w *world) step(i model.Instance) model.ResultKind {
	w.index++
	r := w.state.Apply(w.index, model.Change{
		Kind: model.ChangeInstances, Instances: []model.InstanceStep{{Base: w.state.Instances[i.ID].Version, Instance: i}},
	})
	w.book.SetInstance(w.state.Instances[i.ID], w.lost[i.ID])
	return r.Kind
}

func (w *world) ids() []model.InstanceID {
	var ids []model.InstanceID
	for id := range w.state.Instances {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) input(extras ...Extra) Input {
	in := Input{Lost: w.lost, Contracts: w.contracts, Extras: extras}
	for _, id := range w.ids() {
		in.Instances = append(in.Instances, w.state.Instances[id])
	}
	return in
}

// release starts the moves; finish ends those that are under way. Each returns
// the steps that the state machine refused.
func (w *world) release(moves []Move) (refused int) {
	for _, m := range moves {
		i := w.state.Instances[m.Instance]
		if i.Pool != m.From || i.Phase != model.PhaseServing {
			refused++
		}
		i.Phase, i.Target = model.PhaseReleasing, m.To
		if w.step(i) != model.ResultApplied {
			refused++
		}
		w.moves++
	}
	return refused
}

func (w *world) finish() (refused int) {
	for _, id := range w.ids() {
		i := w.state.Instances[id]
		if i.Phase != model.PhaseReleasing || w.lost[id] {
			continue
		}
		i.Phase, i.Pool = model.PhaseServing, i.Target
		if w.step(i) != model.ResultApplied {
			refused++
		}
	}
	return refused
}

func (w *world) lose(pick func(model.Instance) bool, lost bool) {
	for _, id := range w.ids() {
		if pick(w.state.Instances[id]) {
			w.lost[id] = lost
			w.book.SetInstance(w.state.Instances[id], lost)
		}
	}
}

func missingOf(a Assignment) (promised, exposed int) {
	for _, g := range a.Gaps {
		if g.Kind == GapPromised {
			promised += g.Need - g.Have
		}
		if g.Kind == GapExposed {
			exposed += g.Need
		}
	}
	return promised, exposed
}

func drawContracts(t *rapid.T, most int) []model.Contract {
	var out []model.Contract
	for k := range rapid.IntRange(1, 2).Draw(t, "customers") {
		c := model.Contract{Customer: model.Customer(fmt.Sprintf("c%d", k)), Covers: model.FailureDomain(rapid.IntRange(0, 2).Draw(t, "covers"))}
		if rapid.Bool().Draw(t, "has spare") {
			c.Spare, c.SparePool = rapid.IntRange(0, 3).Draw(t, "spare"), "spare"
		}
		for p := range rapid.IntRange(1, 2).Draw(t, "pools") {
			c.Pools = append(c.Pools, model.PoolShare{Pool: Pool(fmt.Sprintf("p%d", k+p)), Instances: rapid.IntRange(1, most).Draw(t, "promised")})
		}
		out = append(out, c)
	}
	return out
}
