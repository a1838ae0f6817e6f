package maint

import (
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/heap"
	"camphorridge/core/state/model"
)

// Planner indexes the state of a fleet and plans its maintenance. It is not
// safe for concurrent use: a single goroutine owns it.
type Planner[P Pacer, S StopPolicy] struct {
	pacer      P
	stopPolicy S
	settings   Settings
	items      map[model.InstanceID]*item
	// itemsByPool groups items by the pool of the instance.
	itemsByPool map[model.Pool]map[model.InstanceID]*item
	customers   map[model.Customer]*customerState
	// customersByPool lists, in ascending order, the customers whose limits an
	// outage in the pool counts against.
	customersByPool map[model.Pool][]model.Customer
	waves           map[string]*wave
	// waveNames lists the names of the waves in ascending order.
	waveNames []string
	// dueByPool holds the serving instances that are due for maintenance.
	dueByPool map[model.Pool]*dueQueue
	// inProgress holds the instances whose maintenance has started.
	inProgress map[model.InstanceID]*item
	// changed holds the instances that changed since the last pass.
	changed map[model.InstanceID]bool
	// poolsToCheck holds the pools whose due instances the next pass evaluates,
	// because their maintenance may now be able to start.
	poolsToCheck map[model.Pool]bool
	// wavesToCheck holds the waves whose deadlines the next pass checks.
	wavesToCheck map[string]bool
	// waits holds the reason why due instances wait, by pool, as of the last
	// evaluation of the pool.
	waits map[model.Pool]Wait
	// finishedOutages holds the finished outages by pool, in the order of the
	// SetOutage calls.
	finishedOutages map[model.Pool][]Outage
	// openOutages holds the start time of the outage that has not ended, by instance.
	openOutages map[model.InstanceID]clock.Millis
	timers      heap.Heap[timer]
	// timerByKey holds the earliest time for which a timer of a pool or wave was set;
	// see setTimer. The entry is removed when any timer of the pool or wave expires.
	timerByKey map[string]clock.Millis
	// prunedAt is the time at which old outages were last dropped.
	prunedAt clock.Millis
}

// item is an instance together with its current contribution to the counts of
// its waves and customers.
type item struct {
	inst        model.Instance
	observation Observation
	// counted is set while the fields below are included in the counts.
	counted     bool
	unavailable bool
	// wave is the wave with the earliest deadline among those that still have to
	// maintain the instance, and deadline is the instance's deadline in that wave. If
	// there is none, wave is nil or the placeholder of countInProgress, and deadline
	// has no meaning.
	wave     *wave
	deadline clock.Millis
	// pendingIn, touchedBy, peerIn and observedIn list the waves that count the
	// instance in their fields pending, touched, peers and observedCount.
	pendingIn  []*wave
	touchedBy  []*wave
	peerIn     []*wave
	observedIn []*wave
	tally      Tally
	// timerAt is the time of the item's timer; 0 for none. Timers of the item with
	// other times have been replaced and are ignored when they expire.
	timerAt clock.Millis
}

// NewPlanner returns a planner without instances. If periodic maintenance is
// enabled, the planner has its wave. MaintenanceMillis and PacerRetryMillis are
// raised to 1 if they are lower.
func NewPlanner[P Pacer, S StopPolicy](pacer P, stopPolicy S, set Settings) *Planner[P, S] {
	set.MaintenanceMillis = max(set.MaintenanceMillis, 1)
	set.PacerRetryMillis = max(set.PacerRetryMillis, 1)
	pl := &Planner[P, S]{
		pacer: pacer, stopPolicy: stopPolicy, settings: set,
		items:           map[model.InstanceID]*item{},
		itemsByPool:     map[model.Pool]map[model.InstanceID]*item{},
		customers:       map[model.Customer]*customerState{},
		customersByPool: map[model.Pool][]model.Customer{},
		waves:           map[string]*wave{},
		dueByPool:       map[model.Pool]*dueQueue{},
		inProgress:      map[model.InstanceID]*item{},
		changed:         map[model.InstanceID]bool{},
		poolsToCheck:    map[model.Pool]bool{},
		wavesToCheck:    map[string]bool{},
		waits:           map[model.Pool]Wait{},
		finishedOutages: map[model.Pool][]Outage{},
		openOutages:     map[model.InstanceID]clock.Millis{},
		timerByKey:      map[string]clock.Millis{},
	}
	if set.PeriodMillis > 0 {
		pl.SetDeclaration(model.Maintenance{Name: Periodic, DeclaredAt: set.PeriodicStart})
	}
	return pl
}

// PlanOnce loads a new planner with the whole state and returns the plan of its
// first pass.
func PlanOnce[P Pacer, S StopPolicy](pacer P, stopPolicy S, set Settings, in Input, now clock.Millis) Plan {
	pl := NewPlanner(pacer, stopPolicy, set)
	pl.Load(in)
	return pl.Pass(now)
}

// Load adds a whole state to the planner.
func (pl *Planner[P, S]) Load(in Input) {
	for _, c := range in.Contracts {
		pl.SetContract(c)
	}
	for _, m := range in.Declarations {
		pl.SetDeclaration(m)
	}
	for _, i := range in.Instances {
		pl.SetInstance(i)
	}
	for id, s := range in.Observations {
		pl.SetObservation(id, s)
	}
	for _, o := range in.Outages {
		pl.SetOutage(o)
	}
	for c, p := range in.UnservedPermille {
		pl.SetUnservedPermille(c, p)
	}
}

// SetInstance adds an instance or replaces its state.
func (pl *Planner[P, S]) SetInstance(i model.Instance) {
	it := pl.ensureItem(i.ID)
	pl.uncount(it)
	delete(pl.itemsByPool[it.inst.Pool], i.ID)
	it.inst = i
	if pl.itemsByPool[i.Pool] == nil {
		pl.itemsByPool[i.Pool] = map[model.InstanceID]*item{}
	}
	pl.itemsByPool[i.Pool][i.ID] = it
}

// SetObservation replaces the observation of an instance.
func (pl *Planner[P, S]) SetObservation(id model.InstanceID, obs Observation) {
	it := pl.ensureItem(id)
	calls, failures := obs.Calls-it.observation.Calls, obs.Failures-it.observation.Failures
	withNewCounts := it.observation
	withNewCounts.Calls, withNewCounts.Failures = obs.Calls, obs.Failures
	if !it.counted || withNewCounts != obs {
		pl.uncount(it)
		it.observation = obs
		return
	}
	// Fast path: request counts change most often and affect nothing but the
	// tallies.
	it.observation = obs
	added := Tally{Calls: calls, Failures: failures}
	it.tally.add(added, 1)
	for _, w := range it.touchedBy {
		w.touched.add(added, 1)
	}
	for _, w := range it.peerIn {
		w.peers.add(added, 1)
	}
}

// ensureItem returns the item of an instance, creating it if needed. A new item counts
// as retired until SetInstance sets its state.
func (pl *Planner[P, S]) ensureItem(id model.InstanceID) *item {
	it := pl.items[id]
	if it == nil {
		it = &item{inst: model.Instance{ID: id, Phase: model.PhaseRetired}}
		pl.items[id] = it
	}
	return it
}

// SetContract adds the contract of a customer or replaces it. The share of unserved
// requests that was set for the customer is kept.
func (pl *Planner[P, S]) SetContract(c model.Contract) {
	unservedPermille := 0
	if old := pl.customers[c.Customer]; old != nil {
		unservedPermille = old.unservedPermille
	}
	pl.RemoveContract(c.Customer)
	cs := newCustomerState(c)
	cs.unservedPermille = unservedPermille
	for _, p := range cs.pools {
		pl.uncountPool(p)
	}
	pl.customers[c.Customer] = cs
	for _, p := range cs.pools {
		pl.customersByPool[p] = append(pl.customersByPool[p], c.Customer)
		slices.Sort(pl.customersByPool[p])
	}
	pl.recheckAllWaves()
}

// RemoveContract removes the contract of a customer, if there is one.
func (pl *Planner[P, S]) RemoveContract(name model.Customer) {
	cs := pl.customers[name]
	if cs == nil {
		return
	}
	for _, p := range cs.pools {
		pl.uncountPool(p)
	}
	delete(pl.customers, name)
	for _, p := range cs.pools {
		pl.customersByPool[p] = slices.DeleteFunc(pl.customersByPool[p], func(c model.Customer) bool { return c == name })
	}
	pl.recheckAllWaves()
}

// uncountPool removes the instances of the pool from all counts. The next pass counts
// them again and evaluates the pool.
func (pl *Planner[P, S]) uncountPool(p model.Pool) {
	pl.poolsToCheck[p] = true
	for _, it := range pl.itemsByPool[p] {
		pl.uncount(it)
	}
}

// recheckAllWaves marks the deadlines of all waves for a check in the next pass.
func (pl *Planner[P, S]) recheckAllWaves() {
	for _, n := range pl.waveNames {
		pl.wavesToCheck[n] = true
	}
}

// SetDeclaration adds a maintenance declaration or replaces the one of the same
// name.
func (pl *Planner[P, S]) SetDeclaration(m model.Maintenance) {
	pl.RemoveDeclaration(m.Name)
	pl.waves[m.Name] = newWave(m)
	pl.waveNames = append(pl.waveNames, m.Name)
	slices.Sort(pl.waveNames)
	pl.wavesToCheck[m.Name] = true
	for _, it := range pl.items {
		pl.uncount(it)
	}
}

// RemoveDeclaration removes a maintenance declaration, if there is one.
func (pl *Planner[P, S]) RemoveDeclaration(name string) {
	if pl.waves[name] == nil {
		return
	}
	for _, it := range pl.items {
		pl.uncount(it)
	}
	delete(pl.waves, name)
	delete(pl.wavesToCheck, name)
	pl.waveNames = slices.DeleteFunc(pl.waveNames, func(n string) bool { return n == name })
}

// SetOutage adds an outage. An outage without an end replaces the open outage of the
// instance, if there is one. An outage with an end replaces the open outage of the
// instance only if that has the same start.
func (pl *Planner[P, S]) SetOutage(o Outage) {
	if it := pl.items[o.Instance]; it != nil {
		pl.uncount(it)
	}
	if o.To == 0 {
		pl.openOutages[o.Instance] = o.From
		return
	}
	if pl.openOutages[o.Instance] == o.From {
		delete(pl.openOutages, o.Instance)
	}
	pl.finishedOutages[o.Pool] = append(pl.finishedOutages[o.Pool], o)
	for _, c := range pl.customersByPool[o.Pool] {
		pl.customers[c].usedAt = -1
		pl.recheckPoolsOfCustomer(pl.customers[c])
	}
}

// SetUnservedPermille sets the share of a customer's requests that were not served,
// in permille. It does nothing if the customer has no contract.
func (pl *Planner[P, S]) SetUnservedPermille(c model.Customer, permille int) {
	cs := pl.customers[c]
	if cs == nil || cs.unservedPermille == permille {
		return
	}
	cs.unservedPermille = permille
	pl.recheckPoolsOfCustomer(cs)
}

// recheckPoolsOfCustomer marks the pools of the customer for evaluation in the next
// pass.
func (pl *Planner[P, S]) recheckPoolsOfCustomer(cs *customerState) {
	for _, p := range cs.pools {
		pl.poolsToCheck[p] = true
	}
}

// prune drops the outages that ended before the budget windows of all customers of
// their pool. It scans all finished outages, so it does so at most once an hour.
func (pl *Planner[P, S]) prune(now clock.Millis) {
	if now < pl.prunedAt+clock.Hour {
		return
	}
	pl.prunedAt = now
	for p, list := range pl.finishedOutages {
		longest := clock.Millis(0)
		for _, c := range pl.customersByPool[p] {
			longest = max(longest, pl.customers[c].contract.WindowMillis)
		}
		pl.finishedOutages[p] = slices.DeleteFunc(list, func(o Outage) bool { return o.To <= now-longest })
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
