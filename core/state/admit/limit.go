package admit

import "camphorridge/core/state/model"

// DefaultSlots is the number of slots assumed for an instance whose slots are not
// in the table. 8 is the number of slots of the upstreams that operators
// are known to run.
const DefaultSlots = 8

// Limit holds the limits of a customer over all entry processes or, after Divide,
// the share of one entry process.
type Limit struct {
	// MaxInFlight bounds the requests that run at once.
	MaxInFlight int
	// MaxQueued bounds the requests that wait at once.
	MaxQueued int
	// RetryPercent bounds the retries, as a percentage of the first attempts.
	RetryPercent int
	// Weight is the customer's weight in fair queueing; values below 1 count as 1.
	Weight int
}

// LimitOf derives the limit from a contract. Without a concurrency in the contract,
// MaxInFlight is the number of slots of the promised instances; slots returns the
// slots of one instance of a pool. The weight is MaxInFlight, but at least 1, so
// that customers get capacity in proportion to what they were promised.
func LimitOf(c model.Contract, slots func(model.Pool) int) Limit {
	n := c.Concurrency
	if n == 0 {
		for _, p := range c.Pools {
			n += p.Instances * slots(p.Pool)
		}
	}
	return Limit{MaxInFlight: n, MaxQueued: c.Queue, RetryPercent: c.RetryPercent, Weight: max(n, 1)}
}

// Divide returns the share of the entry process with the given rank among count
// processes. RetryPercent is not divided, because each process applies it to its own
// first attempts, nor is the weight, because it is only compared with other weights.
func (l Limit) Divide(rank, count int) Limit {
	l.MaxInFlight = Share(l.MaxInFlight, rank, count)
	l.MaxQueued = Share(l.MaxQueued, rank, count)
	return l
}
