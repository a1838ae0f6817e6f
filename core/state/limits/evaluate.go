package limits

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// ShortfallKind tells the shortfalls apart.
type ShortfallKind string

// The kinds of shortfall.
const (
	// ShortfallInvalid: the contract contradicts itself.
	ShortfallInvalid ShortfallKind = "form"
	// ShortfallInstances: more instances are promised and reserved than owned.
	ShortfallInstances ShortfallKind = "instances"
	// ShortfallSpare: the spare is smaller than the loss of the largest failure
	// domain that the contract covers.
	ShortfallSpare ShortfallKind = "spare"
	// ShortfallMaxUnavailable: the instances cannot all be maintained by a deadline with
	// max-unavailable at once.
	ShortfallMaxUnavailable ShortfallKind = "max-unavailable"
	// ShortfallBudget: the window budget allows too few maintenances before a
	// deadline.
	ShortfallBudget ShortfallKind = "budget"
	// ShortfallQuota: the quotas of all customers exceed the workers.
	ShortfallQuota ShortfallKind = "quota"
	// ShortfallSlots: the concurrency asked exceeds what the instances hold.
	ShortfallSlots ShortfallKind = "slots"
)

// Shortfall is one way in which the fleet falls short of a contract.
type Shortfall struct {
	Kind ShortfallKind
	// Subject is what falls short: a zone, a rack, a declaration, a resource.
	Subject   string
	Required  int64
	Available int64
	Text      string
}

// Decision is the outcome of a judgement.
type Decision string

// The decisions.
const (
	Accept              Decision = "accept"
	AcceptWithShortfall Decision = "accept-with-shortfall"
	Refuse              Decision = "refuse"
)

// Evaluation is a decision with every shortfall found.
type Evaluation struct {
	Decision   Decision
	Shortfalls []Shortfall
}

// Err returns the refusal as an error of KindShort; nil for an acceptance.
func (v Evaluation) Err() error {
	if v.Decision != Refuse {
		return nil
	}
	texts := make([]string, 0, len(v.Shortfalls))
	for _, s := range v.Shortfalls {
		texts = append(texts, s.Text)
	}
	return &Error{Op: "judge contract", Kind: KindRefused, Err: fmt.Errorf("%s", strings.Join(texts, "; "))}
}

// Settings are the figures that a judgement assumes.
type Settings struct {
	// MaintenanceMillis is how long one instance is out of service for one
	// maintenance; at least 1.
	MaintenanceMillis clock.Millis
	// PeriodMillis is the time within which every instance must be maintained
	// once; 0 turns the goal off.
	PeriodMillis clock.Millis
}

// Input is a contract to be judged and what surrounds it.
type Input struct {
	Contract model.Contract
	// Others holds every other accepted contract; an entry of the same
	// customer is ignored.
	Others       []model.Contract
	Fleet        Fleet
	Declarations []model.Maintenance
	Now          clock.Millis
}

// Evaluate decides on a contract. Nothing that falls short is left out of the
// verdict.
func Evaluate[S RefusalPolicy, P SlotsPolicy](severity S, slots P, set Settings, q Input) Evaluation {
	var v Evaluation
	if err := Validate(q.Contract); err != nil {
		v.Shortfalls = append(v.Shortfalls, Shortfall{Kind: ShortfallInvalid, Subject: string(q.Contract.Customer), Text: err.Error()})
	} else {
		all := allContracts(q)
		v.Shortfalls = append(v.Shortfalls, instanceShortfalls(all, q.Fleet)...)
		v.Shortfalls = append(v.Shortfalls, spareShortfalls(q)...)
		v.Shortfalls = append(v.Shortfalls, slotShortfalls(slots, q)...)
		v.Shortfalls = append(v.Shortfalls, quotaShortfalls(all, q.Fleet.WorkerResources)...)
		v.Shortfalls = append(v.Shortfalls, maintenanceShortfalls(set, q)...)
	}
	v.Decision = Accept
	for _, s := range v.Shortfalls {
		if v.Decision != Refuse {
			v.Decision = AcceptWithShortfall
		}
		if severity.Refuses(s) {
			v.Decision = Refuse
		}
	}
	return v
}

func allContracts(q Input) []model.Contract {
	all := []model.Contract{q.Contract}
	for _, c := range q.Others {
		if c.Customer != q.Contract.Customer {
			all = append(all, c)
		}
	}
	return all
}

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

// spareShortfalls compares the spare with the loss of the worst covered domain
// under the best possible spread. The domain's spare instances are lost with
// it, so the spare must hold as many as the customer has in the domain.
func spareShortfalls(q Input) []Shortfall {
	c := q.Contract
	total := PromisedInstances(c) + c.Spare
	sizes := domainSizes(q.Fleet, c.Covers)
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

type domainSize struct {
	name string
	n    int
}

// domainSizes counts instances by domain, in ascending order of names.
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

// DomainOf names the failure domain of that kind which holds the instance.
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

// smallestMaxLoad is the smallest possible count in the fullest domain when total
// instances are spread over the domains, and the name of a domain that is
// filled to it.
func smallestMaxLoad(sizes []domainSize, total int) (load int, name string) {
	largest := 0
	for _, s := range sizes {
		largest = max(largest, s.n)
	}
	for load = 0; load < largest; load++ {
		room := 0
		for _, s := range sizes {
			room += min(s.n, load)
		}
		if room >= total {
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

// slotShortfalls states a concurrency that the promised instances cannot run.
func slotShortfalls[P SlotsPolicy](slots P, q Input) []Shortfall {
	open := q.Contract
	open.Concurrency = 0
	have := concurrency(slots, open, q.Fleet).Value
	if int64(q.Contract.Concurrency) <= have {
		return nil
	}
	return []Shortfall{{
		Kind: ShortfallSlots, Subject: "concurrency", Required: int64(q.Contract.Concurrency), Available: have,
		Text: fmt.Sprintf("concurrency %d asked; the promised instances hold %d slots", q.Contract.Concurrency, have),
	}}
}

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
	add(MilliCores, need.MilliCores, have.MilliCores)
	add(MemoryMiB, need.MemoryMiB, have.MemoryMiB)
	add(Accelerators, need.Accelerators, have.Accelerators)
	return out
}
