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
type Planner[P Pacer, J StopPolicy] struct {
	pacer      P
	stopPolicy J
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
	// changedPools holds the pools in which due maintenance may have become
	// able to start.
	changedPools map[model.Pool]bool
	// wavesToCheck holds the waves whose deadlines the next pass checks.
	wavesToCheck map[string]bool
	waits        map[model.Pool]Wait
	// finishedOutages holds the finished outages by pool, in the order of the
	// SetOutage calls.
	finishedOutages map[model.Pool][]Outage
	// openOutages holds the start time of each outage that has not ended.
	openOutages map[model.InstanceID]clock.Millis
	timers      heap.Heap[timer]
	// timerByKey holds the earliest time in timers for each pool and wave.
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
	// wave is the pending wave with the earliest deadline; nil for none.
	wave     *wave
	deadline clock.Millis
	// pendingIn, maintainedBy, peerIn and observedIn list the waves that count
	// the instance as pending, touched, peer and observed.
	pendingIn    []*wave
	maintainedBy []*wave
	peerIn       []*wave
	observedIn   []*wave
	tally        Tally
	// timerAt is the earliest time in timers for this item; 0 for none.
	timerAt clock.Millis
}

// NewPlanner returns a planner without instances.
func NewPlanner[P Pacer, J StopPolicy](pacer P, stopPolicy J, set Settings) *Planner[P, J] {
	set.MaintenanceMillis = max(set.MaintenanceMillis, 1)
	set.PressureRetryMillis = max(set.PressureRetryMillis, 1)
	b := &Planner[P, J]{
		pacer: pacer, stopPolicy: stopPolicy, settings: set,
		items:           map[model.InstanceID]*item{},
		itemsByPool:     map[model.Pool]map[model.InstanceID]*item{},
		customers:       map[model.Customer]*customerState{},
		customersByPool: map[model.Pool][]model.Customer{},
		waves:           map[string]*wave{},
		dueByPool:       map[model.Pool]*dueQueue{},
		inProgress:      map[model.InstanceID]*item{},
		changed:         map[model.InstanceID]bool{},
		changedPools:    map[model.Pool]bool{},
		wavesToCheck:    map[string]bool{},
		waits:           map[model.Pool]Wait{},
		finishedOutages: map[model.Pool][]Outage{},
		openOutages:     map[model.InstanceID]clock.Millis{},
		timerByKey:      map[string]clock.Millis{},
	}
	if set.PeriodMillis > 0 {
		b.SetDeclaration(model.Maintenance{Name: Periodic, DeclaredAt: set.PeriodicStart})
	}
	return b
}

// PlanOnce loads a new planner with the whole state and returns the plan of its
// first pass.
func PlanOnce[P Pacer, J StopPolicy](pacer P, stopPolicy J, set Settings, in Input, now clock.Millis) Plan {
	b := NewPlanner(pacer, stopPolicy, set)
	b.Load(in)
	return b.Pass(now)
}

// Load adds a whole state to the planner.
func (b *Planner[P, J]) Load(in Input) {
	for _, c := range in.Contracts {
		b.SetContract(c)
	}
	for _, m := range in.Declarations {
		b.SetDeclaration(m)
	}
	for _, i := range in.Instances {
		b.SetInstance(i)
	}
	for id, s := range in.Observations {
		b.SetObservation(id, s)
	}
	for _, o := range in.Outages {
		b.SetOutage(o)
	}
	for c, p := range in.Pressure {
		b.SetPressure(c, p)
	}
}

// SetInstance adds an instance or replaces its state.
func (b *Planner[P, J]) SetInstance(i model.Instance) {
	it := b.ensureItem(i.ID)
	b.uncount(it)
	delete(b.itemsByPool[it.inst.Pool], i.ID)
	it.inst = i
	if b.itemsByPool[i.Pool] == nil {
		b.itemsByPool[i.Pool] = map[model.InstanceID]*item{}
	}
	b.itemsByPool[i.Pool][i.ID] = it
}

// SetObservation replaces the observation of an instance.
func (b *Planner[P, J]) SetObservation(id model.InstanceID, s Observation) {
	it := b.ensureItem(id)
	calls, failures := s.Calls-it.observation.Calls, s.Failures-it.observation.Failures
	same := it.observation
	same.Calls, same.Failures = s.Calls, s.Failures
	if !it.counted || same != s {
		b.uncount(it)
		it.observation = s
		return
	}
	// Fast path: request counts change most often and affect nothing but the
	// tallies.
	it.observation = s
	d := Tally{Calls: calls, Failures: failures}
	it.tally.add(d, 1)
	for _, w := range it.maintainedBy {
		w.touched.add(d, 1)
	}
	for _, w := range it.peerIn {
		w.peers.add(d, 1)
	}
}

func (b *Planner[P, J]) ensureItem(id model.InstanceID) *item {
	it := b.items[id]
	if it == nil {
		it = &item{inst: model.Instance{ID: id, Phase: model.PhaseRetired}}
		b.items[id] = it
	}
	return it
}

// SetContract adds the contract of a customer or replaces it.
func (b *Planner[P, J]) SetContract(c model.Contract) {
	pressure := 0
	if old := b.customers[c.Customer]; old != nil {
		pressure = old.pressure
	}
	b.RemoveContract(c.Customer)
	a := newCustomerState(c)
	a.pressure = pressure
	for _, p := range a.pools {
		b.uncountPool(p)
	}
	b.customers[c.Customer] = a
	for _, p := range a.pools {
		b.customersByPool[p] = append(b.customersByPool[p], c.Customer)
		slices.Sort(b.customersByPool[p])
	}
	b.checkAllWaves()
}

// RemoveContract removes the contract of a customer, if there is one.
func (b *Planner[P, J]) RemoveContract(name model.Customer) {
	a := b.customers[name]
	if a == nil {
		return
	}
	for _, p := range a.pools {
		b.uncountPool(p)
	}
	delete(b.customers, name)
	for _, p := range a.pools {
		b.customersByPool[p] = slices.DeleteFunc(b.customersByPool[p], func(c model.Customer) bool { return c == name })
	}
	b.checkAllWaves()
}

// uncountPool removes the instances of the pool from all counts until the next pass.
func (b *Planner[P, J]) uncountPool(p model.Pool) {
	b.changedPools[p] = true
	for _, it := range b.itemsByPool[p] {
		b.uncount(it)
	}
}

func (b *Planner[P, J]) checkAllWaves() {
	for _, n := range b.waveNames {
		b.wavesToCheck[n] = true
	}
}

// SetDeclaration adds a maintenance declaration or replaces the one of the same
// name.
func (b *Planner[P, J]) SetDeclaration(m model.Maintenance) {
	b.RemoveDeclaration(m.Name)
	b.waves[m.Name] = newWave(m)
	b.waveNames = append(b.waveNames, m.Name)
	slices.Sort(b.waveNames)
	b.wavesToCheck[m.Name] = true
	for _, it := range b.items {
		b.uncount(it)
	}
}

// RemoveDeclaration removes a maintenance declaration, if there is one.
func (b *Planner[P, J]) RemoveDeclaration(name string) {
	if b.waves[name] == nil {
		return
	}
	for _, it := range b.items {
		b.uncount(it)
	}
	delete(b.waves, name)
	delete(b.wavesToCheck, name)
	b.waveNames = slices.DeleteFunc(b.waveNames, func(n string) bool { return n == name })
}

// SetOutage adds an outage. An outage with an end replaces the open outage of
// the instance with the same start.
func (b *Planner[P, J]) SetOutage(o Outage) {
	if it := b.items[o.Instance]; it != nil {
		b.uncount(it)
	}
	if o.To == 0 {
		b.openOutages[o.Instance] = o.From
		return
	}
	if b.openOutages[o.Instance] == o.From {
		delete(b.openOutages, o.Instance)
	}
	b.finishedOutages[o.Pool] = append(b.finishedOutages[o.Pool], o)
	for _, c := range b.customersByPool[o.Pool] {
		b.customers[c].usedAt = -1
		b.markPools(b.customers[c])
	}
}

// SetPressure sets the permille of a customer's requests that were refused or
// late.
func (b *Planner[P, J]) SetPressure(c model.Customer, permille int) {
	a := b.customers[c]
	if a == nil || a.pressure == permille {
		return
	}
	a.pressure = permille
	b.markPools(a)
}

// markPools marks the pools of the customer for evaluation in the next pass.
func (b *Planner[P, J]) markPools(a *customerState) {
	for _, p := range a.pools {
		b.changedPools[p] = true
	}
}

// prune drops the outages that ended before every customer's budget window. It
// scans all outages, so it runs only once an hour.
func (b *Planner[P, J]) prune(now clock.Millis) {
	if now < b.prunedAt+clock.Hour {
		return
	}
	b.prunedAt = now
	for p, list := range b.finishedOutages {
		longest := clock.Millis(0)
		for _, c := range b.customersByPool[p] {
			longest = max(longest, b.customers[c].contract.WindowMillis)
		}
		b.finishedOutages[p] = slices.DeleteFunc(list, func(o Outage) bool { return o.To <= now-longest })
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
