package limits

import (
	"fmt"
	"maps"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// maintenanceShortfalls returns a shortfall for every maintenance deadline and
// disruption limit that makes the deadline impossible to meet, for declarations and
// for periodic maintenance. In pools shared with another customer, the limits of both
// customers restrict maintenance, so for declarations those of the other customer are
// checked too.
func maintenanceShortfalls(settings Settings, in Input) []Shortfall {
	var out []Shortfall
	own := poolsOf(in.Contract)
	for _, m := range in.Declarations {
		out = append(out, deadlineShortfalls(settings, in, in.Contract, "maintenance "+m.Name, countDue(in.Fleet, m, own), m.Deadline-in.Now)...)
		for _, o := range allContracts(in)[1:] {
			shared := poolsOf(o)
			maps.DeleteFunc(shared, func(p model.Pool, _ bool) bool { return !own[p] })
			name := fmt.Sprintf("maintenance %s in pools shared with %s", m.Name, o.Customer)
			out = append(out, deadlineShortfalls(settings, in, o, name, countDue(in.Fleet, m, shared), m.Deadline-in.Now)...)
		}
	}
	if settings.PeriodMillis > 0 {
		n := PromisedInstances(in.Contract) + in.Contract.Spare
		out = append(out, deadlineShortfalls(settings, in, in.Contract, "periodic maintenance", n, settings.PeriodMillis)...)
	}
	return out
}

// poolsOf returns the promised pools of a contract and its spare pool.
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

// countDue returns the number of instances of the pools that still have to be
// maintained for a declaration.
func countDue(f Fleet, m model.Maintenance, pools map[model.Pool]bool) int {
	n := 0
	for _, i := range f.Instances {
		if pools[i.Pool] && m.Selector.Matches(i) && i.MaintainedAt < m.DeclaredAt {
			n++
		}
	}
	return n
}

// deadlineShortfalls returns the shortfalls of contract c if n instances have to be
// maintained within the time left. name becomes the Subject of the shortfalls.
func deadlineShortfalls(settings Settings, in Input, c model.Contract, name string, n int, left clock.Millis) []Shortfall {
	var out []Shortfall
	if have := allowedByMaxUnavailable(settings, in.Fleet, c, left); int64(n) > have {
		out = append(out, Shortfall{
			Kind: ShortfallMaxUnavailable, Subject: name, Required: int64(n), Available: have,
			Text: fmt.Sprintf("%s: %d instances to maintain in %d ms; max-unavailable %d with maintenances of %d ms allows %d",
				name, n, left, c.MaxUnavailable, settings.MaintenanceMillis, have),
		})
	}
	if have := allowedByBudget(settings, c, left); int64(n) > have {
		out = append(out, Shortfall{
			Kind: ShortfallBudget, Subject: name, Required: int64(n), Available: have,
			Text: fmt.Sprintf("%s: %d instances to maintain in %d ms; a budget of %d ms in each window of %d ms with maintenances of %d ms allows %d",
				name, n, left, c.BudgetMillis, c.WindowMillis, settings.MaintenanceMillis, have),
		})
	}
	return out
}

// allowedByMaxUnavailable returns the number of maintenances that max-unavailable
// allows in the time left. It is an upper bound, because unplanned losses also
// count against max-unavailable. Two failure domains are never disrupted at once,
// so the number of concurrent maintenances is also limited by the size of the
// largest domain of the covered kind.
func allowedByMaxUnavailable(settings Settings, f Fleet, c model.Contract, left clock.Millis) int64 {
	if left <= 0 {
		return 0
	}
	largest := 0
	for _, d := range domainSizes(f, c.Covers) {
		largest = max(largest, d.n)
	}
	maxConcurrent := int64(min(c.MaxUnavailable, PromisedInstances(c)+c.Spare, largest))
	return int64(left/max(settings.MaintenanceMillis, 1)) * maxConcurrent
}

// allowedByBudget returns the number of maintenances that the window budget allows
// in the time left: one full budget for each window that begins in this time.
func allowedByBudget(settings Settings, c model.Contract, left clock.Millis) int64 {
	if c.WindowMillis == 0 {
		return Unbounded
	}
	if left <= 0 {
		return 0
	}
	windows := int64((left + c.WindowMillis - 1) / c.WindowMillis)
	return windows * int64(c.BudgetMillis/max(settings.MaintenanceMillis, 1))
}
