package maint

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// world is a fake fleet and platform. It carries out the steps of a plan, and
// counts violations by its own bookkeeping, not by that of the board.
type world struct {
	rnd *rand.Rand
	now clock.Millis
	// phase shifts the hours with peaks.
	phase clock.Millis
	inst  map[model.InstanceID]model.Instance
	seen  map[model.InstanceID]Observation
	// ready is when the next thing happens to an instance out of service.
	ready     map[model.InstanceID]clock.Millis
	contracts []model.Contract
	decls     []model.Maintenance
	outages   []Outage
	pressure  map[model.Customer]int
	// bad makes touched instances fail their requests.
	bad        bool
	violations []string
	told       Input
	stopped    bool
	late       map[string]clock.Millis
}

func newWorld(seed uint64, n, zones, pools, perContract int, covers model.FailureDomain, most int) *world {
	w := &world{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: clock.Day, inst: map[model.InstanceID]model.Instance{},
		seen: map[model.InstanceID]Observation{}, ready: map[model.InstanceID]clock.Millis{},
		pressure: map[model.Customer]int{}, late: map[string]clock.Millis{},
	}
	for k := range n {
		zone := k % zones
		id := model.InstanceID(fmt.Sprintf("i%04d", k))
		pool := model.Pool(fmt.Sprintf("p%02d", k/zones%pools))
		w.inst[id] = model.Instance{
			ID: id, Zone: model.Zone(fmt.Sprintf("z%02d", zone)), Pool: pool, Target: pool, Slots: 8,
			Rack: model.Rack(fmt.Sprintf("z%02d-r%03d", zone, k/zones/4)), MaintainedAt: 1,
		}
		w.seen[id] = Observation{Calls: 200, Failures: int64(w.rnd.IntN(2))}
	}
	for k := 0; k < pools; k += perContract {
		c := model.Contract{Customer: model.Customer(fmt.Sprintf("c%02d", k)), Covers: covers, MaxUnavailable: most}
		for p := k; p < min(k+perContract, pools); p++ {
			c.Pools = append(c.Pools, model.PoolShare{Pool: model.Pool(fmt.Sprintf("p%02d", p)), Instances: max(1, n/pools-1)})
		}
		w.contracts = append(w.contracts, c)
	}
	return w
}

func (w *world) input() Input {
	in := Input{Observations: w.seen, Contracts: w.contracts, Declarations: w.decls, Outages: w.outages, Pressure: w.pressure}
	for _, id := range sortedKeys(w.inst) {
		in.Instances = append(in.Instances, w.inst[id])
	}
	return in
}

func out(i model.Instance, s Observation) bool {
	return i.Phase != model.PhaseServing || s.LostSince > 0
}

// tell passes on what changed since the last call.
func tell[P Pacer, J StopPolicy](w *world, b *Planner[P, J]) {
	for id, i := range w.inst {
		if k := slices.IndexFunc(w.told.Instances, func(x model.Instance) bool { return x.ID == id }); k < 0 {
			w.told.Instances = append(w.told.Instances, i)
			b.SetInstance(i)
		} else if w.told.Instances[k] != i {
			w.told.Instances[k] = i
			b.SetInstance(i)
		}
		if w.told.Observations == nil {
			w.told.Observations = map[model.InstanceID]Observation{}
		}
		if w.told.Observations[id] != w.seen[id] {
			w.told.Observations[id] = w.seen[id]
			b.SetObservation(id, w.seen[id])
		}
	}
	for _, o := range w.outages {
		if !slices.Contains(w.told.Outages, o) {
			w.told.Outages = append(w.told.Outages, o)
			b.SetOutage(o)
		}
	}
	for c, p := range w.pressure {
		b.SetPressure(c, p)
	}
}

func (w *world) open(id model.InstanceID) {
	w.outages = append(w.outages, Outage{Instance: id, Pool: w.inst[id].Pool, From: w.now})
}

func (w *world) close(id model.InstanceID) {
	for k, o := range w.outages {
		if o.Instance == id && o.To == 0 {
			w.outages[k].To = w.now
		}
	}
}

// do carries out one step, as the mover would.
func (w *world) do(s Step) {
	i, seen := w.inst[s.Instance], w.seen[s.Instance]
	i.PhaseSince = w.now
	minutes := func(lo, hi int) { w.ready[i.ID] = w.now + clock.Millis(lo+w.rnd.IntN(hi-lo+1))*clock.Minute }
	switch s.Kind {
	case StepRelease:
		i.Phase, i.Target = model.PhaseReleasing, i.Pool
		w.open(i.ID)
		w.inst[i.ID] = i
		w.checkRelease(i)
		minutes(1, 2)
	case StepHandOver:
		i.Phase = model.PhaseMaintenance
		minutes(1, 4)
	case StepVerify:
		seen.Verified = true
	case StepReturn:
		i.Phase = model.PhaseServing
		if s.Done {
			i.MaintainedAt = w.now
			if w.bad {
				seen.Failures = seen.Calls / 4
			}
		}
		seen.Drained, seen.Restarted, seen.Verified = false, false, false
		w.close(i.ID)
	}
	w.inst[i.ID], w.seen[i.ID] = i, seen
}

// checkRelease counts what the release of i must not have caused.
func (w *world) checkRelease(i model.Instance) {
	for _, c := range w.contracts {
		own := func(p model.Pool) bool {
			return p == c.SparePool || slices.ContainsFunc(c.Pools, func(s model.PoolShare) bool { return s.Pool == p })
		}
		if !own(i.Pool) {
			continue
		}
		n, domains := 0, map[string]bool{}
		for id, x := range w.inst {
			if own(x.Pool) && out(x, w.seen[id]) {
				n++
				domains[[]string{string(x.ID), string(x.Rack), string(x.Zone)}[c.Covers]] = true
			}
		}
		if n > c.MaxUnavailable {
			w.violate("%s: %d of %d unavailable", c.Customer, n, c.MaxUnavailable)
		}
		if len(domains) > 1 {
			w.violate("%s: %d domains at once", c.Customer, len(domains))
		}
	}
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%d: ", w.now)+fmt.Sprintf(format, args...))
}

// checkWindow counts customers whose window is overspent.
func (w *world) checkWindow() {
	for _, c := range w.contracts {
		spent := clock.Millis(0)
		for _, o := range w.outages {
			to := o.To
			if to == 0 {
				to = w.now
			}
			if slices.ContainsFunc(c.Pools, func(s model.PoolShare) bool { return s.Pool == o.Pool }) {
				spent += max(0, to-max(o.From, w.now-c.WindowMillis))
			}
		}
		if c.WindowMillis > 0 && spent > c.BudgetMillis {
			w.violate("%s: spent %d of %d", c.Customer, spent, c.BudgetMillis)
		}
	}
}

// advance lets a minute pass: drains and restarts end.
func (w *world) advance() {
	w.now += clock.Minute
	for _, id := range sortedKeys(w.ready) {
		if w.ready[id] > w.now {
			continue
		}
		s := w.seen[id]
		switch w.inst[id].Phase {
		case model.PhaseReleasing:
			s.Drained = true
		case model.PhaseMaintenance:
			s.Restarted = true
		}
		w.seen[id] = s
		delete(w.ready, id)
	}
}

// lose takes a serving instance out without a plan, or brings one back.
func (w *world) lose(id model.InstanceID, lost bool) {
	s := w.seen[id]
	if w.inst[id].Phase != model.PhaseServing || (s.LostSince > 0) == lost {
		return
	}
	if lost {
		s.LostSince = w.now
		w.open(id)
	} else {
		s.LostSince = 0
		w.close(id)
	}
	w.seen[id] = s
}

// unfinished counts the instances that a declaration still has to reach.
func (w *world) unfinished(m model.Maintenance) int {
	n := 0
	for _, i := range w.inst {
		if m.Selector.Matches(i) && i.MaintainedAt < m.DeclaredAt {
			n++
		}
	}
	return n
}

// note remembers what a plan reported.
func (w *world) note(p Plan) {
	w.stopped = w.stopped || len(p.Stops) > 0
	for _, l := range p.UnmetDeadlines {
		if w.late[l.Wave] == 0 {
			w.late[l.Wave] = w.now
		}
	}
}
