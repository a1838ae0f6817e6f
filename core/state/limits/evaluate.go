package limits

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// ShortfallKind is the kind of a shortfall.
type ShortfallKind string

// The kinds of shortfall.
const (
	// ShortfallInvalid means that the contract contradicts itself.
	ShortfallInvalid ShortfallKind = "form"
	// ShortfallInstances means that all contracts together promise and reserve more
	// instances than the fleet owns.
	ShortfallInstances ShortfallKind = "instances"
	// ShortfallSpare means that the spare is smaller than the loss of the largest
	// failure domain of the kind that the contract covers.
	ShortfallSpare ShortfallKind = "spare"
	// ShortfallMaxUnavailable means that max-unavailable is too low to maintain all
	// instances by a deadline.
	ShortfallMaxUnavailable ShortfallKind = "max-unavailable"
	// ShortfallBudget means that the window budget allows too few maintenances
	// before a deadline.
	ShortfallBudget ShortfallKind = "budget"
	// ShortfallQuota means that the quotas of all customers exceed the workers'
	// resources.
	ShortfallQuota ShortfallKind = "quota"
	// ShortfallSlots means that the requested concurrency exceeds the slots of the
	// promised instances.
	ShortfallSlots ShortfallKind = "slots"
)

// Shortfall is one respect in which the fleet cannot satisfy a contract.
type Shortfall struct {
	Kind ShortfallKind
	// Subject names what falls short, for example a zone, a declaration or a
	// resource.
	Subject string
	// Required and Available are numbers of instances, slots, maintenances or
	// units of a resource, depending on the kind.
	Required  int64
	Available int64
	// Text describes the shortfall to an operator.
	Text string
}

// Decision is the decision about a contract.
type Decision string

// The decisions.
const (
	Accept              Decision = "accept"
	AcceptWithShortfall Decision = "accept-with-shortfall"
	Refuse              Decision = "refuse"
)

// Evaluation is the decision about a contract with all shortfalls found.
type Evaluation struct {
	Decision   Decision
	Shortfalls []Shortfall
}

// Err returns a refusal as an *Error of KindRefused that lists the shortfalls; nil
// if the contract was accepted.
func (e Evaluation) Err() error {
	if e.Decision != Refuse {
		return nil
	}
	texts := make([]string, 0, len(e.Shortfalls))
	for _, s := range e.Shortfalls {
		texts = append(texts, s.Text)
	}
	return &Error{Op: "evaluate contract", Kind: KindRefused, Err: fmt.Errorf("%s", strings.Join(texts, "; "))}
}

// Settings are the assumptions of an evaluation.
type Settings struct {
	// MaintenanceMillis is how long one instance is out of service for one
	// maintenance; at least 1.
	MaintenanceMillis clock.Millis
	// PeriodMillis is the time within which every instance must be maintained
	// once; 0 disables periodic maintenance.
	PeriodMillis clock.Millis
}

// Input is a contract to evaluate and the state to evaluate it against.
type Input struct {
	Contract model.Contract
	// Others holds all other accepted contracts; a contract of the same customer
	// is ignored.
	Others       []model.Contract
	Fleet        Fleet
	Declarations []model.Maintenance
	Now          clock.Millis
}

// Evaluate decides whether to accept a contract. The evaluation contains all
// shortfalls; a contract that contradicts itself is not checked further.
func Evaluate[S RefusalPolicy, P SlotsPolicy](policy S, slots P, settings Settings, in Input) Evaluation {
	var e Evaluation
	if err := Validate(in.Contract); err != nil {
		e.Shortfalls = append(e.Shortfalls, Shortfall{Kind: ShortfallInvalid, Subject: string(in.Contract.Customer), Text: err.Error()})
	} else {
		all := allContracts(in)
		e.Shortfalls = append(e.Shortfalls, instanceShortfalls(all, in.Fleet)...)
		e.Shortfalls = append(e.Shortfalls, spareShortfalls(in)...)
		e.Shortfalls = append(e.Shortfalls, slotShortfalls(slots, in)...)
		e.Shortfalls = append(e.Shortfalls, quotaShortfalls(all, in.Fleet.WorkerResources)...)
		e.Shortfalls = append(e.Shortfalls, maintenanceShortfalls(settings, in)...)
	}
	e.Decision = Accept
	for _, s := range e.Shortfalls {
		if e.Decision != Refuse {
			e.Decision = AcceptWithShortfall
		}
		if policy.Refuses(s) {
			e.Decision = Refuse
		}
	}
	return e
}

// allContracts returns the contract to evaluate, followed by those of all other
// customers.
func allContracts(in Input) []model.Contract {
	all := []model.Contract{in.Contract}
	for _, c := range in.Others {
		if c.Customer != in.Contract.Customer {
			all = append(all, c)
		}
	}
	return all
}

// instanceShortfalls returns a shortfall if the contracts need more instances than
// the fleet owns.
func instanceShortfalls(all []model.Contract, f Fleet) []Shortfall {
	promised, spare := 0, 0
	for _, c := range all {
		promised += PromisedInstances(c)
		spare += c.Spare
	}
	if promised+spare <= len(f.Instances) {
		return nil
	}
	return []Shortfall{{
		Kind: ShortfallInstances, Subject: "fleet", Required: int64(promised + spare), Available: int64(len(f.Instances)),
		Text: fmt.Sprintf("%d instances promised and %d reserved as spare by %d contracts; the fleet owns %d",
			promised, spare, len(all), len(f.Instances)),
	}}
}

// spareShortfalls compares the number of spare instances with the loss of the
// largest covered failure domain, if the instances are spread as evenly as
// possible. Spare instances in the domain are lost with it, so the spare must be at
// least as large as the number of the customer's instances in the domain.
func spareShortfalls(in Input) []Shortfall {
	c := in.Contract
	total := PromisedInstances(c) + c.Spare
	sizes := domainSizes(in.Fleet, c.Covers)
	loss, name := smallestMaxLoad(sizes, total)
	if loss <= c.Spare {
		return nil
	}
	return []Shortfall{{
		Kind: ShortfallSpare, Subject: fmt.Sprintf("%s %s", c.Covers, name), Required: int64(loss), Available: int64(c.Spare),
		Text: fmt.Sprintf("%s %s holds %d of the customer's %d instances even when they are spread evenly; the spare is %d",
			c.Covers, name, loss, total, c.Spare),
	}}
}

// domainSize is the number of instances in a failure domain.
type domainSize struct {
	name string
	n    int
}

// domainSizes returns the number of instances in each domain of a kind, in
// ascending order of the domain names.
func domainSizes(f Fleet, d model.FailureDomain) []domainSize {
	count := map[string]int{}
	for _, i := range f.Instances {
		count[DomainOf(i, d)]++
	}
	sizes := make([]domainSize, 0, len(count))
	for name, n := range count {
		sizes = append(sizes, domainSize{name, n})
	}
	slices.SortFunc(sizes, func(a, b domainSize) int { return cmp.Compare(a.name, b.name) })
	return sizes
}

// DomainOf returns the name of the instance's failure domain of the given kind.
func DomainOf(i model.Instance, d model.FailureDomain) string {
	switch d {
	case model.DomainZone:
		return string(i.Zone)
	case model.DomainRack:
		return string(i.Rack)
	default:
		return string(i.ID)
	}
}

// smallestMaxLoad returns the number of instances in the fullest domain when total
// instances are spread over the domains as evenly as possible, and the name of the
// first domain that can hold as many. If the domains cannot hold total instances, the
// number is the size of the largest domain.
func smallestMaxLoad(sizes []domainSize, total int) (load int, name string) {
	largest := 0
	for _, s := range sizes {
		largest = max(largest, s.n)
	}
	for load = 0; load < largest; load++ {
		capacity := 0
		for _, s := range sizes {
			capacity += min(s.n, load)
		}
		if capacity >= total {
			break
		}
	}
	for _, s := range sizes {
		if s.n >= load {
			return load, s.name
		}
	}
	return load, ""
}

// slotShortfalls returns a shortfall if the requested concurrency exceeds the slots
// of the promised instances.
func slotShortfalls[P SlotsPolicy](slots P, in Input) []Shortfall {
	bySlots := in.Contract
	bySlots.Concurrency = 0
	have := concurrency(slots, bySlots, in.Fleet).Value
	if int64(in.Contract.Concurrency) <= have {
		return nil
	}
	return []Shortfall{{
		Kind: ShortfallSlots, Subject: "concurrency", Required: int64(in.Contract.Concurrency), Available: have,
		Text: fmt.Sprintf("concurrency %d requested; the promised instances have %d slots", in.Contract.Concurrency, have),
	}}
}

// quotaShortfalls returns a shortfall for each resource of which the quotas of all
// contracts exceed what the workers have.
func quotaShortfalls(all []model.Contract, have model.Quota) []Shortfall {
	var need model.Quota
	for _, c := range all {
		need = need.Plus(c.Quota)
	}
	var out []Shortfall
	add := func(name Name, n, h int) {
		if n > h {
			out = append(out, Shortfall{
				Kind: ShortfallQuota, Subject: string(name), Required: int64(n), Available: int64(h),
				Text: fmt.Sprintf("quotas of %d contracts sum up to %d %s; the workers have %d", len(all), n, name, h),
			})
		}
	}
	add(NameMilliCores, need.MilliCores, have.MilliCores)
	add(NameMemoryMiB, need.MemoryMiB, have.MemoryMiB)
	add(NameAccelerators, need.Accelerators, have.Accelerators)
	return out
}
