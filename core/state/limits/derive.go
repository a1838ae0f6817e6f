package limits

import (
	"cmp"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Name names a limit.
type Name string

// The limits that a contract leads to.
const (
	Concurrency    Name = "concurrency"
	Queue          Name = "queue"
	Retries        Name = "retries"
	MaxUnavailable Name = "max-unavailable"
	Budget         Name = "budget-ms"
	Spare          Name = "spare"
	MilliCores     Name = "milli-cores"
	MemoryMiB      Name = "memory-mib"
	Accelerators   Name = "accelerators"
)

// Rule names how a limit follows from its figures.
type Rule string

// The rules of derivation.
const (
	// RuleRequested: the contract's own figure.
	RuleRequested Rule = "as asked"
	// RuleSlots: the sum over the promised pools of instances times slots.
	RuleSlots Rule = "promised instances x slots"
	// RulePercent: a percentage of the concurrency, rounded down, so that
	// retries never exceed the promised share.
	RulePercent Rule = "percent of concurrency"
	// RuleNoWindow: no window is set, so time out of service is unbounded.
	RuleNoWindow Rule = "no window"
	// RuleAllInstances: at most all instances of the customer can be unavailable.
	RuleAllInstances Rule = "at most all instances"
)

// Operand is a number that a derivation used.
type Operand struct {
	Name  string
	Value int64
}

// Limit is a derived limit together with its derivation.
type Limit struct {
	Name Name
	// Requested is the contract's own figure; 0 leaves the limit to the rule.
	Requested int64
	Value     int64
	Rule      Rule
	// Operands lists what the rule used, in the order of its use.
	Operands []Operand
}

// Unbounded is the value of a limit that bounds nothing.
const Unbounded = int64(1) << 62

// Fleet is what the limits need to know about the machines.
type Fleet struct {
	// Instances must be sorted by ID, without retired ones.
	Instances []model.Instance
	// WorkerResources is the sum of all workers' resources.
	WorkerResources model.Quota
}

// NewFleet sorts the instances that are part of the fleet.
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

// Set is every limit of one customer.
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

// All lists the limits in a fixed order.
func (s Set) All() []Limit {
	return []Limit{
		s.Concurrency, s.Queue, s.Retries, s.MaxUnavailable, s.Budget,
		s.Spare, s.MilliCores, s.MemoryMiB, s.Accelerators,
	}
}

// SlotsPolicy is the policy that says how many slots one instance of a pool counts
// for. The slots of the pool's instances come in ascending order.
type SlotsPolicy interface {
	PerInstance(slots []int) int
}

// Derive returns every limit that the contract leads to.
func Derive[P SlotsPolicy](policy P, c model.Contract, f Fleet) Set {
	s := Set{Customer: c.Customer, Concurrency: concurrency(policy, c, f)}
	s.Queue = requested(Queue, c.Queue)
	s.Retries = Limit{
		Name: Retries, Requested: int64(c.RetryPercent), Rule: RulePercent,
		Value: s.Concurrency.Value * int64(c.RetryPercent) / 100,
		Operands: []Operand{
			{"concurrency", s.Concurrency.Value},
			{"retry-percent", int64(c.RetryPercent)},
		},
	}
	s.MaxUnavailable = requested(MaxUnavailable, c.MaxUnavailable)
	if all := int64(PromisedInstances(c) + c.Spare); s.MaxUnavailable.Value > all {
		s.MaxUnavailable.Value, s.MaxUnavailable.Rule = all, RuleAllInstances
		s.MaxUnavailable.Operands = append(s.MaxUnavailable.Operands, Operand{"instances", all})
	}
	s.Budget = outageBudget(c.BudgetMillis, c.WindowMillis)
	s.Spare = requested(Spare, c.Spare)
	s.MilliCores = requested(MilliCores, c.Quota.MilliCores)
	s.MemoryMiB = requested(MemoryMiB, c.Quota.MemoryMiB)
	s.Accelerators = requested(Accelerators, c.Quota.Accelerators)
	return s
}

// PromisedInstances is the number of instances that a contract promises, without its
// spare.
func PromisedInstances(c model.Contract) int {
	n := 0
	for _, p := range c.Pools {
		n += p.Instances
	}
	return n
}

func requested(name Name, v int) Limit {
	return Limit{
		Name: name, Requested: int64(v), Value: int64(v), Rule: RuleRequested,
		Operands: []Operand{{string(name), int64(v)}},
	}
}

func outageBudget(b, window clock.Millis) Limit {
	l := Limit{
		Name: Budget, Requested: int64(b), Value: int64(b), Rule: RuleRequested,
		Operands: []Operand{{"budget-ms", int64(b)}, {"window-ms", int64(window)}},
	}
	if window == 0 {
		l.Value, l.Rule = Unbounded, RuleNoWindow
	}
	return l
}

func concurrency[P SlotsPolicy](policy P, c model.Contract, f Fleet) Limit {
	if c.Concurrency > 0 {
		return requested(Concurrency, c.Concurrency)
	}
	l := Limit{Name: Concurrency, Rule: RuleSlots}
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

// slotsOf returns the slots of the pool's instances in ascending order; those
// of the whole fleet while the pool is empty, since instances will be moved
// to it from there.
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
