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
	nextEvent        map[model.InstanceID]clock.Millis
	contracts        []model.Contract
	decls            []model.Maintenance
	outages          []Outage
	unservedPermille map[model.Customer]int
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

func newFakeFleet(seed uint64, n, zones, pools, perContract int, covers model.FailureDomain, maxUnavailable int) *fakeFleet {
	f := &fakeFleet{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: clock.Day, instances: map[model.InstanceID]model.Instance{},
		observations: map[model.InstanceID]Observation{}, nextEvent: map[model.InstanceID]clock.Millis{},
		unservedPermille: map[model.Customer]int{}, firstUnmet: map[string]clock.Millis{},
	}
	for k := range n {
		zone := k % zones
		id := model.InstanceID(fmt.Sprintf("i%04d", k))
		pool := model.Pool(fmt.Sprintf("p%02d", k/zones%pools))
		f.instances[id] = model.Instance{
			ID: id, Zone: model.Zone(fmt.Sprintf("z%02d", zone)), Pool: pool, Target: pool, Slots: 8,
			Rack: model.Rack(fmt.Sprintf("z%02d-r%03d", zone, k/zones/4)), MaintainedAt: 1,
		}
		f.observations[id] = Observation{Calls: 200, Failures: int64(f.rnd.IntN(2))}
	}
	for k := 0; k < pools; k += perContract {
		c := model.Contract{Customer: model.Customer(fmt.Sprintf("c%02d", k)), Covers: covers, MaxUnavailable: maxUnavailable}
		for p := k; p < min(k+perContract, pools); p++ {
			c.Pools = append(c.Pools, model.PoolShare{Pool: model.Pool(fmt.Sprintf("p%02d", p)), Instances: max(1, n/pools-1)})
		}
		f.contracts = append(f.contracts, c)
	}
	return f
}

func (f *fakeFleet) input() Input {
	in := Input{Observations: f.observations, Contracts: f.contracts, Declarations: f.decls, Outages: f.outages, UnservedPermille: f.unservedPermille}
	for _, id := range sortedKeys(f.instances) {
		in.Instances = append(in.Instances, f.instances[id])
	}
	return in
}

func isOutOfService(i model.Instance, s Observation) bool {
	return i.Phase != model.PhaseServing || s.LostSince > 0
}

// sendChanges passes the changes since the last call to the planner.
func sendChanges[P Pacer, S StopPolicy](f *fakeFleet, planner *Planner[P, S]) {
	for id, i := range f.instances {
		if k := slices.IndexFunc(f.sent.Instances, func(x model.Instance) bool { return x.ID == id }); k < 0 {
			f.sent.Instances = append(f.sent.Instances, i)
			planner.SetInstance(i)
		} else if f.sent.Instances[k] != i {
			f.sent.Instances[k] = i
			planner.SetInstance(i)
		}
		if f.sent.Observations == nil {
			f.sent.Observations = map[model.InstanceID]Observation{}
		}
		if f.sent.Observations[id] != f.observations[id] {
			f.sent.Observations[id] = f.observations[id]
			planner.SetObservation(id, f.observations[id])
		}
	}
	for _, o := range f.outages {
		if !slices.Contains(f.sent.Outages, o) {
			f.sent.Outages = append(f.sent.Outages, o)
			planner.SetOutage(o)
		}
	}
	for c, p := range f.unservedPermille {
		planner.SetUnservedPermille(c, p)
	}
}

func (f *fakeFleet) openOutage(id model.InstanceID) {
	f.outages = append(f.outages, Outage{Instance: id, Pool: f.instances[id].Pool, From: f.now})
}

func (f *fakeFleet) closeOutage(id model.InstanceID) {
	for k, o := range f.outages {
		if o.Instance == id && o.To == 0 {
			f.outages[k].To = f.now
		}
	}
}

// carryOut carries out one step, like the component that executes plans.
func (f *fakeFleet) carryOut(s Step) {
	i, obs := f.instances[s.Instance], f.observations[s.Instance]
	i.PhaseSince = f.now
	scheduleEvent := func(lo, hi int) { f.nextEvent[i.ID] = f.now + clock.Millis(lo+f.rnd.IntN(hi-lo+1))*clock.Minute }
	switch s.Kind {
	case StepRelease:
		i.Phase, i.Target = model.PhaseReleasing, i.Pool
		f.openOutage(i.ID)
		f.instances[i.ID] = i
		f.checkRelease(i)
		scheduleEvent(1, 2)
	case StepHandOver:
		i.Phase = model.PhaseMaintenance
		scheduleEvent(1, 4)
	case StepVerify:
		obs.Verified = true
	case StepReturn:
		i.Phase = model.PhaseServing
		if s.Done {
			i.MaintainedAt = f.now
			if f.failTouched {
				obs.Failures = obs.Calls / 4
			}
		}
		obs.ReleaseConfirmed, obs.Restarted, obs.Verified = false, false, false
		f.closeOutage(i.ID)
	}
	f.instances[i.ID], f.observations[i.ID] = i, obs
}

// checkRelease records a violation for each customer of i whose max-unavailable or
// single-domain limit is exceeded after the release of i.
func (f *fakeFleet) checkRelease(i model.Instance) {
	for _, c := range f.contracts {
		own := func(p model.Pool) bool {
			return p == c.SparePool || slices.ContainsFunc(c.Pools, func(s model.PoolShare) bool { return s.Pool == p })
		}
		if !own(i.Pool) {
			continue
		}
		n, domains := 0, map[string]bool{}
		for id, x := range f.instances {
			if own(x.Pool) && isOutOfService(x, f.observations[id]) {
				n++
				domains[[]string{string(x.ID), string(x.Rack), string(x.Zone)}[c.Covers]] = true
			}
		}
		if n > c.MaxUnavailable {
			f.addViolation("%s: %d of %d unavailable", c.Customer, n, c.MaxUnavailable)
		}
		if len(domains) > 1 {
			f.addViolation("%s: %d domains at once", c.Customer, len(domains))
		}
	}
}

func (f *fakeFleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%d: ", f.now)+fmt.Sprintf(format, args...))
}

// checkWindow records a violation for each customer whose window budget is
// exceeded.
func (f *fakeFleet) checkWindow() {
	for _, c := range f.contracts {
		spent := clock.Millis(0)
		for _, o := range f.outages {
			to := o.To
			if to == 0 {
				to = f.now
			}
			if slices.ContainsFunc(c.Pools, func(s model.PoolShare) bool { return s.Pool == o.Pool }) {
				spent += max(0, to-max(o.From, f.now-c.WindowMillis))
			}
		}
		if c.WindowMillis > 0 && spent > c.BudgetMillis {
			f.addViolation("%s: spent %d of %d", c.Customer, spent, c.BudgetMillis)
		}
	}
}

// advance moves the time on by one minute and ends the drains and restarts that are
// due.
func (f *fakeFleet) advance() {
	f.now += clock.Minute
	for _, id := range sortedKeys(f.nextEvent) {
		if f.nextEvent[id] > f.now {
			continue
		}
		s := f.observations[id]
		switch f.instances[id].Phase {
		case model.PhaseReleasing:
			s.ReleaseConfirmed = true
		case model.PhaseMaintenance:
			s.Restarted = true
		}
		f.observations[id] = s
		delete(f.nextEvent, id)
	}
}

// setLost starts or ends an unplanned loss of a serving instance.
func (f *fakeFleet) setLost(id model.InstanceID, lost bool) {
	s := f.observations[id]
	if f.instances[id].Phase != model.PhaseServing || (s.LostSince > 0) == lost {
		return
	}
	if lost {
		s.LostSince = f.now
		f.openOutage(id)
	} else {
		s.LostSince = 0
		f.closeOutage(id)
	}
	f.observations[id] = s
}

// unfinished returns the number of instances still to be maintained for a
// declaration.
func (f *fakeFleet) unfinished(m model.Maintenance) int {
	n := 0
	for _, i := range f.instances {
		if m.Selector.Matches(i) && i.MaintainedAt < m.DeclaredAt {
			n++
		}
	}
	return n
}

// record records the stops and unmet deadlines of a plan.
func (f *fakeFleet) record(p Plan) {
	f.stopped = f.stopped || len(p.Stops) > 0
	for _, l := range p.UnmetDeadlines {
		if f.firstUnmet[l.Wave] == 0 {
			f.firstUnmet[l.Wave] = f.now
		}
	}
}
