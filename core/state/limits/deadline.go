package limits

import (
	"fmt"
	"maps"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// maintenanceShortfalls states every deadline that the disruption budgets exclude:
// those of declarations and that of the periodic goal. In pools that the
// customer shares with another one, the budget of either bounds maintenance,
// so the other's deadlines are stated too.
func maintenanceShortfalls(set Settings, q Input) []Shortfall {
	var out []Shortfall
	own := poolsOf(q.Contract)
	for _, m := range q.Declarations {
		out = append(out, deadlineShortfalls(set, q, q.Contract, "maintenance "+m.Name, countDue(q.Fleet, m, own), m.Deadline-q.Now)...)
		for _, o := range allContracts(q)[1:] {
			shared := poolsOf(o)
			maps.DeleteFunc(shared, func(p model.Pool, _ bool) bool { return !own[p] })
			name := fmt.Sprintf("maintenance %s in pools shared with %s", m.Name, o.Customer)
			out = append(out, deadlineShortfalls(set, q, o, name, countDue(q.Fleet, m, shared), m.Deadline-q.Now)...)
		}
	}
	if set.PeriodMillis > 0 {
		n := PromisedInstances(q.Contract) + q.Contract.Spare
		out = append(out, deadlineShortfalls(set, q, q.Contract, "periodic maintenance", n, set.PeriodMillis)...)
	}
	return out
}

func poolsOf(c model.Contract) map[model.Pool]bool {
	pools := map[model.Pool]bool{}
	for _, p := range c.Pools {
		pools[p.Pool] = true
	}
	if c.SparePool != "" {
		pools[c.SparePool] = true
	}
	return pools
}

// countDue counts the instances of the pools that a declaration still has to
// reach.
func countDue(f Fleet, m model.Maintenance, pools map[model.Pool]bool) int {
	n := 0
	for _, i := range f.Instances {
		if pools[i.Pool] && m.Selector.Matches(i) && i.MaintainedAt < m.DeclaredAt {
			n++
		}
	}
	return n
}

func deadlineShortfalls(set Settings, q Input, c model.Contract, name string, n int, left clock.Millis) []Shortfall {
	var out []Shortfall
	if have := allowedByMaxUnavailable(set, q.Fleet, c, left); int64(n) > have {
		out = append(out, Shortfall{
			Kind: ShortfallMaxUnavailable, Subject: name, Required: int64(n), Available: have,
			Text: fmt.Sprintf("%s: %d instances in %d ms; with max-unavailable %d and %d ms each, %d can be done",
				name, n, left, c.MaxUnavailable, set.MaintenanceMillis, have),
		})
	}
	if have := allowedByBudget(set, c, left); int64(n) > have {
		out = append(out, Shortfall{
			Kind: ShortfallBudget, Subject: name, Required: int64(n), Available: have,
			Text: fmt.Sprintf("%s: %d instances in %d ms; a budget of %d ms in %d ms with %d ms each allows %d",
				name, n, left, c.BudgetMillis, c.WindowMillis, set.MaintenanceMillis, have),
		})
	}
	return out
}

// allowedByMaxUnavailable is the number of maintenances that max-unavailable allows in the
// time left. It is an upper bound: unplanned losses use the same allowance.
// Never two failure domains are disrupted at once, so the width is also
// bounded by the largest domain of the covered kind.
func allowedByMaxUnavailable(set Settings, f Fleet, c model.Contract, left clock.Millis) int64 {
	if left <= 0 {
		return 0
	}
	largest := 0
	for _, d := range domainSizes(f, c.Covers) {
		largest = max(largest, d.n)
	}
	width := int64(min(c.MaxUnavailable, PromisedInstances(c)+c.Spare, largest))
	return int64(left/max(set.MaintenanceMillis, 1)) * width
}

// allowedByBudget is the number of maintenances that the window budget allows in the
// time left: a full budget at the start and one more after each window.
func allowedByBudget(set Settings, c model.Contract, left clock.Millis) int64 {
	if c.WindowMillis == 0 {
		return Unbounded
	}
	if left <= 0 {
		return 0
	}
	windows := int64((left + c.WindowMillis - 1) / c.WindowMillis)
	return windows * int64(c.BudgetMillis/max(set.MaintenanceMillis, 1))
}
