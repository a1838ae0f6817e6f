package entry

import (
	"cmp"
	"slices"

	"camphorridge/core/state/model"
	"camphorridge/core/state/route"
)

// tally counts what callers felt and what instances ran since it was last
// taken.
type tally struct {
	customers map[model.Customer]*model.CustomerLoad
	instances map[model.InstanceID]*model.InstanceTally
	// turned counts the refusals by pool since the last report of demand.
	turned map[model.Pool]int
}

func newTally() tally {
	return tally{
		customers: map[model.Customer]*model.CustomerLoad{},
		instances: map[model.InstanceID]*model.InstanceTally{},
		turned:    map[model.Pool]int{},
	}
}

func (t *tally) customer(c model.Customer) *model.CustomerLoad {
	f := t.customers[c]
	if f == nil {
		f = &model.CustomerLoad{Customer: c}
		t.customers[c] = f
	}
	return f
}

// refused counts a refusal that the fleet, and not the contract, is the reason
// for.
func (t *tally) refused(c model.Customer, p model.Pool, k RefusalKind) {
	if k == RefusalCapacity || k == RefusalDeadline {
		t.customer(c).Impaired++
		t.turned[p]++
	}
}

// ran counts a request that was sent to an instance.
func (t *tally) ran(c model.Customer, id model.InstanceID, o Outcome) {
	i := t.instances[id]
	if i == nil {
		i = &model.InstanceTally{Instance: id}
		t.instances[id] = i
	}
	i.Calls++
	switch o {
	case route.OutcomeUnknown, route.OutcomeTimeout:
		t.customer(c).Impaired++
		i.Failures++
	case route.OutcomeError, route.OutcomeConnect:
		i.Failures++
	}
}

// take returns the counts in order of their names and starts anew.
func (t *tally) take() model.LoadReport {
	var f model.LoadReport
	for _, c := range t.customers {
		f.Customers = append(f.Customers, *c)
	}
	for _, i := range t.instances {
		f.Instances = append(f.Instances, *i)
	}
	slices.SortFunc(f.Customers, func(a, b model.CustomerLoad) int { return cmp.Compare(a.Customer, b.Customer) })
	slices.SortFunc(f.Instances, func(a, b model.InstanceTally) int { return cmp.Compare(a.Instance, b.Instance) })
	clear(t.customers)
	clear(t.instances)
	return f
}

// LoadReport returns what callers felt since the last call.
func (d *Dispatcher[P, Q, L]) LoadReport() model.LoadReport { return d.call(&command{op: opFelt}).felt }
