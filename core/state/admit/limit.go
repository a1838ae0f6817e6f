package admit

import "camphorridge/core/state/model"

// DefaultSlots is the number of slots of an instance that the table does not
// know; the upstreams of both users have 8.
const DefaultSlots = 8

// Limit is what a customer may hold over all entry processes, or the share of
// one entry process after Divide.
type Limit struct {
	// MaxInFlight is the number of requests that run at once.
	MaxInFlight int
	// MaxQueued is the number of requests that wait at once.
	MaxQueued int
	// RetryPercent bounds retries, as a share of the first tries.
	RetryPercent int
	// Weight is the customer's part in the fair choice; below 1 counts as 1.
	Weight int
}

// LimitOf derives the limit from a contract. A contract without a concurrency
// gets the slots of the instances that it promises; slots returns the slots of
// one instance of a pool. The weight is the concurrency, so that customers get
// capacity in proportion to what they were promised.
func LimitOf(c model.Contract, slots func(model.Pool) int) Limit {
	n := c.Concurrency
	if n == 0 {
		for _, p := range c.Pools {
			n += p.Instances * slots(p.Pool)
		}
	}
	return Limit{MaxInFlight: n, MaxQueued: c.Queue, RetryPercent: c.RetryPercent, Weight: max(n, 1)}
}

// Divide returns the share of one entry process. The weight stays whole,
// because it is only compared with other weights.
func (l Limit) Divide(rank, count int) Limit {
	l.MaxInFlight = Share(l.MaxInFlight, rank, count)
	l.MaxQueued = Share(l.MaxQueued, rank, count)
	return l
}
