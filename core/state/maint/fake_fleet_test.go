package maint

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// fakeFleet simulates a fleet and its platform. It carries out the steps of a plan
// and detects limit violations independently of the planner.
type fakeFleet struct {
	rnd *rand.Rand
	now clock.Millis
	// peakShift shifts the hours with load peaks.
	peakShift    clock.Millis
	instances    map[model.InstanceID]model.Instance
	observations map[model.InstanceID]Observation
	// nextEvent is the time at which the drain or restart of an instance ends.
	nextEvent map[model.InstanceID]clock.Millis
	contracts []model.Contract
	decls     []model.Maintenance
	outages   []Outage
	pressure  map[model.Customer]int
	// failTouched makes touched instances fail their requests.
	failTouched bool
	violations  []string
	// sent is the state that sendChanges has passed to the planner.
	sent Input
	// stopped is set once a plan has stopped a wave.
	stopped bool
	// firstUnmet is the time of the first report of an unmet deadline, by wave.
	firstUnmet map[string]clock.Millis
}

func newFakeFleet(seed uint64, n, zones, pools, perContract int, covers model.FailureDomain, most int) *fakeFleet {
	w := &fakeFleet{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: clock.Day, instances: map[model.InstanceID]model.Instance{},
		observations: map[model.InstanceID]Observation{}, nextEvent: map[model.InstanceID]clock.Millis{},
		pressure: map[model.Customer]int{}, firstUnmet: map[string]clock.Millis{},
	}
	for k := range n {
		zone := k % zones
		id := model.InstanceID(fmt.Sprintf("i%04d", k))
		pool := model.Pool(fmt.Sprintf("p%02d", k/zones%pools))
		w.instances[id] = model.Instance{
			ID: id, Zone: model.Zone(fmt.Sprintf("z%02d", zone)), Pool: pool, Target: pool, Slots: 8,
			Rack: model.Rack(fmt.Sprintf("z%02d-r%03d", zone, k/zones/4)), MaintainedAt: 1,
		}
		w.observations[id] = Observation{Calls: 200, Failures: int64(w.rnd.IntN(2))}
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

func (w *fakeFleet) input() Input {
	in := Input{Observations: w.observations, Contracts: w.contracts, Declarations: w.decls, Outages: w.outages, Pressure: w.pressure}
	for _, id := range sortedKeys(w.instances) {
		in.Instances = append(in.Instances, w.instances[id])
	}
	return in
}

func isOutOfService(i model.Instance, s Observation) bool {
	return i.Phase != model.PhaseServing || s.LostSince > 0
}

// sendChanges passes the changes since the last call to the planner.
func sendChanges[P Pacer, S StopPolicy](w *fakeFleet, planner *Planner[P, S]) {
	for id, i := range w.instances {
		if k := slices.IndexFunc(w.sent.Instances, func(x model.Instance) bool { return x.ID == id }); k < 0 {
			w.sent.Instances = append(w.sent.Instances, i)
			planner.SetInstance(i)
		} else if w.sent.Instances[k] != i {
			w.sent.Instances[k] = i
			planner.SetInstance(i)
		}
		if w.sent.Observations == nil {
			w.sent.Observations = map[model.InstanceID]Observation{}
		}
		if w.sent.Observations[id] != w.observations[id] {
			w.sent.Observations[id] = w.observations[id]
			planner.SetObservation(id, w.observations[id])
		}
	}
	for _, o := range w.outages {
		if !slices.Contains(w.sent.Outages, o) {
			w.sent.Outages = append(w.sent.Outages, o)
			planner.SetOutage(o)
		}
	}
	for c, p := range w.pressure {
		planner.SetPressure(c, p)
	}
}

func (w *fakeFleet) open(id model.InstanceID) {
	w.outages = append(w.outages, Outage{Instance: id, Pool: w.instances[id].Pool, From: w.now})
}

func (w *fakeFleet) close(id model.InstanceID) {
	for k, o := range w.outages {
		if o.Instance == id && o.To == 0 {
			w.outages[k].To = w.now
		}
	}
}

// carryOut carries out one step, like the component that executes plans.
func (w *fakeFleet) carryOut(s Step) {
	i, seen := w.instances[s.Instance], w.observations[s.Instance]
	i.PhaseSince = w.now
	minutes := func(lo, hi int) { w.nextEvent[i.ID] = w.now + clock.Millis(lo+w.rnd.IntN(hi-lo+1))*clock.Minute }
	switch s.Kind {
	case StepRelease:
		i.Phase, i.Target = model.PhaseReleasing, i.Pool
		w.open(i.ID)
		w.instances[i.ID] = i
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
			if w.failTouched {
				seen.Failures = seen.Calls / 4
			}
		}
		seen.Drained, seen.Restarted, seen.Verified = false, false, false
		w.close(i.ID)
	}
	w.instances[i.ID], w.observations[i.ID] = i, seen
}

// checkRelease records a violation for each customer of i whose max-unavailable or
// single-domain limit is exceeded after the release of i.
func (w *fakeFleet) checkRelease(i model.Instance) {
	for _, c := range w.contracts {
		own := func(p model.Pool) bool {
			return p == c.SparePool || slices.ContainsFunc(c.Pools, func(s model.PoolShare) bool { return s.Pool == p })
		}
		if !own(i.Pool) {
			continue
		}
		n, domains := 0, map[string]bool{}
		for id, x := range w.instances {
			if own(x.Pool) && isOutOfService(x, w.observations[id]) {
				n++
				domains[[]string{string(x.ID), string(x.Rack), string(x.Zone)}[c.Covers]] = true
			}
		}
		if n > c.MaxUnavailable {
			w.addViolation("%s: %d of %d unavailable", c.Customer, n, c.MaxUnavailable)
		}
		if len(domains) > 1 {
			w.addViolation("%s: %d domains at once", c.Customer, len(domains))
		}
	}
}

func (w *fakeFleet) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%d: ", w.now)+fmt.Sprintf(format, args...))
}

// checkWindow records a violation for each customer whose window budget is
// exceeded.
func (w *fakeFleet) checkWindow() {
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
			w.addViolation("%s: spent %d of %d", c.Customer, spent, c.BudgetMillis)
		}
	}
}

// advance moves the time on by one minute and ends the drains and restarts that are
// due.
func (w *fakeFleet) advance() {
	w.now += clock.Minute
	for _, id := range sortedKeys(w.nextEvent) {
		if w.nextEvent[id] > w.now {
			continue
		}
		s := w.observations[id]
		switch w.instances[id].Phase {
		case model.PhaseReleasing:
			s.Drained = true
		case model.PhaseMaintenance:
			s.Restarted = true
		}
		w.observations[id] = s
		delete(w.nextEvent, id)
	}
}

// lose starts or ends an unplanned loss of a serving instance.
func (w *fakeFleet) lose(id model.InstanceID, lost bool) {
	s := w.observations[id]
	if w.instances[id].Phase != model.PhaseServing || (s.LostSince > 0) == lost {
		return
	}
	if lost {
		s.LostSince = w.now
		w.open(id)
	} else {
		s.LostSince = 0
		w.close(id)
	}
	w.observations[id] = s
}

// unfinished returns the number of instances still to be maintained for a
// declaration.
func (w *fakeFleet) unfinished(m model.Maintenance) int {
	n := 0
	for _, i := range w.instances {
		if m.Selector.Matches(i) && i.MaintainedAt < m.DeclaredAt {
			n++
		}
	}
	return n
}

// record records the stops and unmet deadlines of a plan.
func (w *fakeFleet) record(p Plan) {
	w.stopped = w.stopped || len(p.Stops) > 0
	for _, l := range p.UnmetDeadlines {
		if w.firstUnmet[l.Wave] == 0 {
			w.firstUnmet[l.Wave] = w.now
		}
	}
}
