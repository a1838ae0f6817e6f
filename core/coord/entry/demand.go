package entry

import (
	"cmp"
	"slices"

	"camphorridge/core/state/admit"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/route"
)

// Demand returns the current demand of each pool, sorted by pool: its running and
// waiting requests, and the requests that were refused with RefusalCapacity or
// RefusalDeadline since the last call. Its cost is proportional to the number of
// upstreams plus the number of the customers' pools.
func (d *Dispatcher[P, Q, L]) Demand() []model.PoolDemand {
	return d.call(&command{op: opDemand}).demand
}

func (d *Dispatcher[P, Q, L]) demand() []model.PoolDemand {
	byPool := map[model.Pool]*model.PoolDemand{}
	demandOf := func(p model.Pool) *model.PoolDemand {
		poolDemand := byPool[p]
		if poolDemand == nil {
			poolDemand = &model.PoolDemand{Pool: p, TypicalRunTime: d.admission.TypicalRunTime(p)}
			byPool[p] = poolDemand
		}
		return poolDemand
	}
	d.router.Each(func(u *route.Upstream) {
		if u.Running > 0 && u.Pool != "" {
			demandOf(u.Pool).Running += u.Running
		}
	})
	d.loans.EachHeld(func(h *lend.HeldLoan) {
		if h.Running > 0 {
			demandOf(h.Pool).Running += h.Running
		}
	})
	d.admission.EachCustomer(func(a *admit.CustomerState[*pendingRequest]) {
		if a.Waiting > 0 {
			a.EachWaiting(func(p model.Pool, n int) { demandOf(p).Waiting += n })
		}
	})
	for p, n := range d.load.refusedByPool {
		demandOf(p).Refused += n
	}
	clear(d.load.refusedByPool)
	all := make([]model.PoolDemand, 0, len(byPool))
	for _, poolDemand := range byPool {
		all = append(all, *poolDemand)
	}
	slices.SortFunc(all, func(a, b model.PoolDemand) int { return cmp.Compare(a.Pool, b.Pool) })
	return all
}
