package limits

import (
	"cmp"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Name is the name of a limit.
type Name string

// The names of the limits derived from a contract.
const (
	NameConcurrency    Name = "concurrency"
	NameQueue          Name = "queue"
	NameRetries        Name = "retries"
	NameMaxUnavailable Name = "max-unavailable"
	NameBudget         Name = "budget-ms"
	NameSpare          Name = "spare"
	NameMilliCores     Name = "milli-cores"
	NameMemoryMiB      Name = "memory-mib"
	NameAccelerators   Name = "accelerators"
)

// Rule is the name of the rule by which a limit follows from its operands.
type Rule string

// The rules of derivation.
const (
	// RuleRequested takes the value that the contract requests.
	RuleRequested Rule = "as asked"
	// RuleSlots sums up instances times slots per instance over the promised
	// pools.
	RuleSlots Rule = "promised instances x slots"
	// RulePercent takes a percentage of the concurrency, rounded down so that
	// retries never exceed the promised percentage.
	RulePercent Rule = "percent of concurrency"
	// RuleNoWindow leaves the time out of service unbounded because no window
	// is set.
	RuleNoWindow Rule = "no window"
	// RuleAllInstances takes the number of instances of the customer, including
	// spare ones, since no more can be unavailable.
	RuleAllInstances Rule = "at most all instances"
)

// Operand is a number used in a derivation.
type Operand struct {
	Name  string
	Value int64
}

// Limit is a derived limit together with its derivation.
type Limit struct {
	Name Name
	// Requested is the value in the contract. If it is 0 for the concurrency, the
	// contract requests no value, and Value follows from RuleSlots.
	Requested int64
	Value     int64
	Rule      Rule
	// Operands lists the numbers that the rule used, in the order of their use.
	Operands []Operand
}

// Unbounded is the value of a limit that restricts nothing.
const Unbounded = int64(1) << 62

// Fleet describes the machines that limits are derived from.
type Fleet struct {
	// Instances must be sorted by ID and contain no retired instances.
	Instances []model.Instance
	// WorkerResources is the sum of all workers' resources.
	WorkerResources model.Quota
}

// NewFleet returns the fleet of the instances that are not retired.
func NewFleet(instances map[model.InstanceID]model.Instance, workers model.Quota) Fleet {
	f := Fleet{WorkerResources: workers, Instances: make([]model.Instance, 0, len(instances))}
	for _, i := range instances {
		if i.Phase != model.PhaseRetired {
			f.Instances = append(f.Instances, i)
		}
	}
	slices.SortFunc(f.Instances, func(a, b model.Instance) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return f
}

// Set holds all limits of one customer.
type Set struct {
	Customer       model.Customer
	Concurrency    Limit
	Queue          Limit
	Retries        Limit
	MaxUnavailable Limit
	Budget         Limit
	Spare          Limit
	MilliCores     Limit
	MemoryMiB      Limit
	Accelerators   Limit
}

// All returns the limits in a fixed order.
func (s Set) All() []Limit {
	return []Limit{
		s.Concurrency, s.Queue, s.Retries, s.MaxUnavailable, s.Budget,
		s.Spare, s.MilliCores, s.MemoryMiB, s.Accelerators,
	}
}

// SlotsPolicy decides how many slots each instance of a pool adds to the
// concurrency. slots holds the slots of the pool's instances in ascending order.
type SlotsPolicy interface {
	PerInstance(slots []int) int
}

// Derive returns all limits that follow from the contract.
func Derive[P SlotsPolicy](policy P, c model.Contract, f Fleet) Set {
	s := Set{Customer: c.Customer, Concurrency: concurrency(policy, c, f)}
	s.Queue = requested(NameQueue, c.Queue)
	s.Retries = Limit{
		Name: NameRetries, Requested: int64(c.RetryPercent), Rule: RulePercent,
		Value: s.Concurrency.Value * int64(c.RetryPercent) / 100,
		Operands: []Operand{
			{"concurrency", s.Concurrency.Value},
			{"retry-percent", int64(c.RetryPercent)},
		},
	}
	s.MaxUnavailable = requested(NameMaxUnavailable, c.MaxUnavailable)
	if all := int64(PromisedInstances(c) + c.Spare); s.MaxUnavailable.Value > all {
		s.MaxUnavailable.Value, s.MaxUnavailable.Rule = all, RuleAllInstances
		s.MaxUnavailable.Operands = append(s.MaxUnavailable.Operands, Operand{"instances", all})
	}
	s.Budget = outageBudget(c.BudgetMillis, c.WindowMillis)
	s.Spare = requested(NameSpare, c.Spare)
	s.MilliCores = requested(NameMilliCores, c.Quota.MilliCores)
	s.MemoryMiB = requested(NameMemoryMiB, c.Quota.MemoryMiB)
	s.Accelerators = requested(NameAccelerators, c.Quota.Accelerators)
	return s
}

// PromisedInstances returns the number of instances that a contract promises,
// without its spare instances.
func PromisedInstances(c model.Contract) int {
	n := 0
	for _, p := range c.Pools {
		n += p.Instances
	}
	return n
}

// requested returns the limit with the value that the contract requests.
func requested(name Name, v int) Limit {
	return Limit{
		Name: name, Requested: int64(v), Value: int64(v), Rule: RuleRequested,
		Operands: []Operand{{string(name), int64(v)}},
	}
}

// outageBudget returns the limit on the time out of service per window, in
// milliseconds.
func outageBudget(b, window clock.Millis) Limit {
	l := Limit{
		Name: NameBudget, Requested: int64(b), Value: int64(b), Rule: RuleRequested,
		Operands: []Operand{{"budget-ms", int64(b)}, {"window-ms", int64(window)}},
	}
	if window == 0 {
		l.Value, l.Rule = Unbounded, RuleNoWindow
	}
	return l
}

// concurrency returns the requested concurrency, or the slots of the promised
// instances if the contract requests none.
func concurrency[P SlotsPolicy](policy P, c model.Contract, f Fleet) Limit {
	if c.Concurrency > 0 {
		return requested(NameConcurrency, c.Concurrency)
	}
	l := Limit{Name: NameConcurrency, Rule: RuleSlots}
	for _, p := range c.Pools {
		per := policy.PerInstance(slotsOf(f, p.Pool))
		l.Value += int64(p.Instances) * int64(per)
		l.Operands = append(
			l.Operands,
			Operand{string(p.Pool) + " instances", int64(p.Instances)},
			Operand{string(p.Pool) + " slots", int64(per)},
		)
	}
	return l
}

// slotsOf returns the slots of the pool's instances in ascending order. For an
// empty pool it returns those of the whole fleet, because instances will be moved
// to the pool from there.
func slotsOf(f Fleet, pool model.Pool) []int {
	var own, all []int
	for _, i := range f.Instances {
		all = append(all, i.Slots)
		if i.Pool == pool {
			own = append(own, i.Slots)
		}
	}
	if len(own) == 0 {
		own = all
	}
	slices.Sort(own)
	return own
}
