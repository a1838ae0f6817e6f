package maint

import (
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/heap"
	"camphorridge/core/state/model"
)

// Planner is the index that decisions are taken from. It is not safe for
// concurrent use: one duty owns it.
type Planner[P Pacer, J StopPolicy] struct {
	pacer P
	judge J
	set   Settings
	items map[model.InstanceID]*item
	// inPool holds the items by their pool.
	inPool   map[model.Pool]map[model.InstanceID]*item
	accounts map[model.Customer]*account
	// holders lists the customers that an outage in the pool counts for, in
	// ascending order.
	holders map[model.Pool][]model.Customer
	waves   map[string]*wave
	// names lists the waves in ascending order.
	names []string
	ready map[model.Pool]*yard
	// flight holds the instances whose maintenance has begun.
	flight map[model.InstanceID]*item
	// stale holds what changed since the last pass.
	stale map[model.InstanceID]bool
	// dirty holds the pools whose due work may be able to start.
	dirty map[model.Pool]bool
	// check holds the waves whose deadlines are to be checked.
	check map[string]bool
	waits map[model.Pool]Wait
	// closed holds the finished outages by pool, in the order they were told.
	closed map[model.Pool][]Outage
	// opened holds the start of each outage that lasts.
	opened map[model.InstanceID]clock.Millis
	due    heap.Heap[due]
	// wakes holds the earliest time in due for each pool and wave.
	wakes map[string]clock.Millis
	// pruned is when outages were last dropped.
	pruned clock.Millis
}

// item is an instance with what it currently contributes to the counts.
type item struct {
	inst model.Instance
	seen Observation
	// applied is set while the fields below are part of the counts.
	applied bool
	out     bool
	// wave is the pending wave with the earliest deadline; nil for none.
	wave     *wave
	deadline clock.Millis
	pending  []*wave
	touched  []*wave
	peer     []*wave
	observed []*wave
	tally    Tally
	// wake is the earliest time in the due heap for this item; 0 for none.
	wake clock.Millis
}

// NewPlanner returns a board that knows no instance.
func NewPlanner[P Pacer, J StopPolicy](pacer P, judge J, set Settings) *Planner[P, J] {
	set.MaintenanceMillis = max(set.MaintenanceMillis, 1)
	set.PressureRetryMillis = max(set.PressureRetryMillis, 1)
	b := &Planner[P, J]{
		pacer: pacer, judge: judge, set: set,
		items:    map[model.InstanceID]*item{},
		inPool:   map[model.Pool]map[model.InstanceID]*item{},
		accounts: map[model.Customer]*account{},
		holders:  map[model.Pool][]model.Customer{},
		waves:    map[string]*wave{},
		ready:    map[model.Pool]*yard{},
		flight:   map[model.InstanceID]*item{},
		stale:    map[model.InstanceID]bool{},
		dirty:    map[model.Pool]bool{},
		check:    map[string]bool{},
		waits:    map[model.Pool]Wait{},
		closed:   map[model.Pool][]Outage{},
		opened:   map[model.InstanceID]clock.Millis{},
		wakes:    map[string]clock.Millis{},
	}
	if set.PeriodMillis > 0 {
		b.SetDeclaration(model.Maintenance{Name: Periodic, DeclaredAt: set.PeriodicStart})
	}
	return b
}

// PlanOnce fills a board from the whole state and returns its first pass.
func PlanOnce[P Pacer, J StopPolicy](pacer P, judge J, set Settings, in Input, now clock.Millis) Plan {
	b := NewPlanner(pacer, judge, set)
	b.Load(in)
	return b.Pass(now)
}

// Load tells the board a whole state.
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

// SetInstance tells the board the state of an instance.
func (b *Planner[P, J]) SetInstance(i model.Instance) {
	it := b.item(i.ID)
	b.undo(it)
	delete(b.inPool[it.inst.Pool], i.ID)
	it.inst = i
	if b.inPool[i.Pool] == nil {
		b.inPool[i.Pool] = map[model.InstanceID]*item{}
	}
	b.inPool[i.Pool][i.ID] = it
}

// SetObservation tells the board what is known of an instance.
func (b *Planner[P, J]) SetObservation(id model.InstanceID, s Observation) {
	it := b.item(id)
	calls, failures := s.Calls-it.seen.Calls, s.Failures-it.seen.Failures
	same := it.seen
	same.Calls, same.Failures = s.Calls, s.Failures
	if !it.applied || same != s {
		b.undo(it)
		it.seen = s
		return
	}
	// Health reports are the most frequent change and leave all else as it is.
	it.seen = s
	d := Tally{Calls: calls, Failures: failures}
	it.tally.add(d, 1)
	for _, w := range it.touched {
		w.touched.add(d, 1)
	}
	for _, w := range it.peer {
		w.peers.add(d, 1)
	}
}

func (b *Planner[P, J]) item(id model.InstanceID) *item {
	it := b.items[id]
	if it == nil {
		it = &item{inst: model.Instance{ID: id, Phase: model.PhaseRetired}}
		b.items[id] = it
	}
	return it
}

// SetContract tells the board a contract.
func (b *Planner[P, J]) SetContract(c model.Contract) {
	pressure := 0
	if old := b.accounts[c.Customer]; old != nil {
		pressure = old.pressure
	}
	b.RemoveContract(c.Customer)
	a := newAccount(c)
	a.pressure = pressure
	for _, p := range a.pools {
		b.undoPool(p)
	}
	b.accounts[c.Customer] = a
	for _, p := range a.pools {
		b.holders[p] = append(b.holders[p], c.Customer)
		slices.Sort(b.holders[p])
	}
	b.checkAll()
}

// RemoveContract makes the board forget a contract.
func (b *Planner[P, J]) RemoveContract(name model.Customer) {
	a := b.accounts[name]
	if a == nil {
		return
	}
	for _, p := range a.pools {
		b.undoPool(p)
	}
	delete(b.accounts, name)
	for _, p := range a.pools {
		b.holders[p] = slices.DeleteFunc(b.holders[p], func(c model.Customer) bool { return c == name })
	}
	b.checkAll()
}

func (b *Planner[P, J]) undoPool(p model.Pool) {
	b.dirty[p] = true
	for _, it := range b.inPool[p] {
		b.undo(it)
	}
}

func (b *Planner[P, J]) checkAll() {
	for _, n := range b.names {
		b.check[n] = true
	}
}

// SetDeclaration tells the board a maintenance declaration.
func (b *Planner[P, J]) SetDeclaration(m model.Maintenance) {
	b.RemoveDeclaration(m.Name)
	b.waves[m.Name] = newWave(m)
	b.names = append(b.names, m.Name)
	slices.Sort(b.names)
	b.check[m.Name] = true
	for _, it := range b.items {
		b.undo(it)
	}
}

// RemoveDeclaration makes the board forget a declaration.
func (b *Planner[P, J]) RemoveDeclaration(name string) {
	if b.waves[name] == nil {
		return
	}
	for _, it := range b.items {
		b.undo(it)
	}
	delete(b.waves, name)
	delete(b.check, name)
	b.names = slices.DeleteFunc(b.names, func(n string) bool { return n == name })
}

// SetOutage tells the board an outage. An entry with an end replaces the open
// one with the same start.
func (b *Planner[P, J]) SetOutage(o Outage) {
	if it := b.items[o.Instance]; it != nil {
		b.undo(it)
	}
	if o.To == 0 {
		b.opened[o.Instance] = o.From
		return
	}
	if b.opened[o.Instance] == o.From {
		delete(b.opened, o.Instance)
	}
	b.closed[o.Pool] = append(b.closed[o.Pool], o)
	for _, c := range b.holders[o.Pool] {
		b.accounts[c].spentAt = -1
		b.touchPools(b.accounts[c])
	}
}

// SetPressure tells the board what a customer's callers feel, in permille.
func (b *Planner[P, J]) SetPressure(c model.Customer, permille int) {
	a := b.accounts[c]
	if a == nil || a.pressure == permille {
		return
	}
	a.pressure = permille
	b.touchPools(a)
}

func (b *Planner[P, J]) touchPools(a *account) {
	for _, p := range a.pools {
		b.dirty[p] = true
	}
}

// prune drops the outages that no customer's window reaches any more, once an
// hour because it looks at all of them.
func (b *Planner[P, J]) prune(now clock.Millis) {
	if now < b.pruned+clock.Hour {
		return
	}
	b.pruned = now
	for p, list := range b.closed {
		longest := clock.Millis(0)
		for _, c := range b.holders[p] {
			longest = max(longest, b.accounts[c].contract.WindowMillis)
		}
		b.closed[p] = slices.DeleteFunc(list, func(o Outage) bool { return o.To <= now-longest })
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
