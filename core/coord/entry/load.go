package entry

import (
	"cmp"
	"slices"

	"camphorridge/core/state/model"
	"camphorridge/core/state/route"
)

// loadCounters counts requests by customer and by instance since the last load
// report.
type loadCounters struct {
	customers map[model.Customer]*model.CustomerLoad
	instances map[model.InstanceID]*model.InstanceTally
	// refusedByPool counts, by pool, the refusals since the last call of Demand that
	// count as unserved; see countRefusal.
	refusedByPool map[model.Pool]int
}

func newLoadCounters() loadCounters {
	return loadCounters{
		customers:     map[model.Customer]*model.CustomerLoad{},
		instances:     map[model.InstanceID]*model.InstanceTally{},
		refusedByPool: map[model.Pool]int{},
	}
}

// customer returns the counters of a customer.
func (l *loadCounters) customer(c model.Customer) *model.CustomerLoad {
	n := l.customers[c]
	if n == nil {
		n = &model.CustomerLoad{Customer: c}
		l.customers[c] = n
	}
	return n
}

// countRefusal counts a refusal of kind k as unserved if its kind is RefusalCapacity
// or RefusalDeadline. Refusals by a limit of the contract don't count. RefusalCapacity
// also covers a process that has no share of the contract's concurrency.
func (l *loadCounters) countRefusal(c model.Customer, p model.Pool, k RefusalKind) {
	if k == RefusalCapacity || k == RefusalDeadline {
		l.customer(c).Unserved++
		l.refusedByPool[p]++
	}
}

// countRun counts a request that was sent to an instance and ended with outcome o.
func (l *loadCounters) countRun(c model.Customer, id model.InstanceID, o Outcome) {
	i := l.instances[id]
	if i == nil {
		i = &model.InstanceTally{Instance: id}
		l.instances[id] = i
	}
	i.Calls++
	switch o {
	case route.OutcomeUnknown, route.OutcomeTimeout:
		l.customer(c).Unserved++
		i.Failures++
	case route.OutcomeError, route.OutcomeConnect:
		i.Failures++
	}
}

// take returns the counts by customer and by instance, sorted by name, and resets
// them.
func (l *loadCounters) take() model.LoadReport {
	var r model.LoadReport
	for _, c := range l.customers {
		r.Customers = append(r.Customers, *c)
	}
	for _, i := range l.instances {
		r.Instances = append(r.Instances, *i)
	}
	slices.SortFunc(r.Customers, func(a, b model.CustomerLoad) int { return cmp.Compare(a.Customer, b.Customer) })
	slices.SortFunc(r.Instances, func(a, b model.InstanceTally) int { return cmp.Compare(a.Instance, b.Instance) })
	clear(l.customers)
	clear(l.instances)
	return r
}

// LoadReport returns the counts of requests since the last call.
func (d *Dispatcher[P, Q, L]) LoadReport() model.LoadReport { return d.call(&command{op: opLoad}).load }
