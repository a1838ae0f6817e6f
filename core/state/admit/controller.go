package admit

import (
	"math"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Reason is the reason why a request was refused or dropped.
type Reason int

// The reasons for a refusal; ReasonNone for an admitted request.
const (
	ReasonNone Reason = iota
	// ReasonNoContract: the customer has no contract.
	ReasonNoContract
	// ReasonPoolNotCovered: the contract does not cover the pool.
	ReasonPoolNotCovered
	// ReasonNoShare: this process has no share of the contract's concurrency.
	ReasonNoShare
	// ReasonQueueFull: the customer's queue is full.
	ReasonQueueFull
	// ReasonDeadline: the request is not expected to end before its deadline.
	ReasonDeadline
	// ReasonRetryBudget: the customer's retry budget is spent.
	ReasonRetryBudget
)

var reasonNames = [...]string{
	"", "no contract", "pool not in contract", "no share", "queue full",
	"deadline cannot be met", "retry budget spent",
}

// String returns the text used in answers to callers and in logs.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Parameters of the run time and wait estimates.
const (
	// runTimeWeight is the weight of a new sample in the typical run time.
	runTimeWeight = 0.1
	// A request is started only if the time left before its deadline is at least
	// the runTimeQuantile quantile of the run times. With the mean instead of the
	// quantile, half of the requests that started at the last moment missed their
	// deadline, and a few long requests kept all short ones from being queued.
	// quantileStep is the step of the quantile estimate, as a fraction of the
	// typical run time.
	runTimeQuantile = 0.85
	quantileStep    = 0.05
	// quantileFall is the smallest step of a fall of the estimate, as a fraction of
	// the distance between the estimate and the typical run time. Like every step
	// down, it is multiplied by 1-runTimeQuantile: the estimate falls by at least 3 %
	// of the distance.
	quantileFall = 0.2
	// waitMargin is the fraction by which the estimated wait is increased, because
	// the estimate leaves out the time between two requests on a slot.
	waitMargin = 0.125
)

// Controller decides which requests run. R is the caller's reference to a queued
// request. A Controller is not safe for concurrent use.
type Controller[P Picker, R any] struct {
	picker      P
	customers   map[model.Customer]*CustomerState[R]
	pools       map[model.Pool]*poolQueues[R]
	lastArrival uint64
	// candidateInfos and candidates are reused by the calls of Next.
	candidateInfos []*QueueInfo
	candidates     []*Queue[R]
}

// CustomerState is the state of one customer in this process.
type CustomerState[R any] struct {
	Name  model.Customer
	Limit Limit
	// Running is the number of requests in flight. It exceeds Limit.MaxInFlight
	// only after the limit was reduced.
	Running int
	// Waiting is the number of queued requests in all pools.
	Waiting int
	// RetryTokens is the number of retries allowed now; at most retryBurst.
	RetryTokens float64
	// removed is set when the contract was removed. If requests are in flight, the
	// state is kept until they end, so that a new contract of the same customer counts
	// them.
	removed bool
	queues  map[model.Pool]*Queue[R]
}

// poolQueues holds the queues of one pool and its run time estimates.
type poolQueues[R any] struct {
	// active lists the queues that are not empty.
	active []*Queue[R]
	// virtualTime is the virtual time of the last request that started, for
	// weighted fair queueing.
	virtualTime float64
	// typicalRunTime is the smoothed run time in milliseconds; 0 until a sample is
	// above 0.
	typicalRunTime float64
	// highRunTime estimates the runTimeQuantile quantile of the run times, in
	// milliseconds.
	highRunTime float64
}

// timeNeeded returns the time that a request must have left before its deadline
// when it starts.
func (pq *poolQueues[R]) timeNeeded() clock.Millis { return clock.Millis(math.Ceil(pq.highRunTime)) }

// addRunTime updates the estimates with the run time of a request, in
// milliseconds.
func (pq *poolQueues[R]) addRunTime(elapsed float64) {
	if pq.typicalRunTime == 0 {
		pq.typicalRunTime, pq.highRunTime = elapsed, elapsed
		return
	}
	pq.typicalRunTime += runTimeWeight * (elapsed - pq.typicalRunTime)
	step := quantileStep * pq.typicalRunTime
	if elapsed < pq.highRunTime {
		// Far above the typical run time the estimate falls geometrically.
		// Otherwise one long request would distort it for thousands of others.
		step = max(step, (pq.highRunTime-pq.typicalRunTime)*quantileFall)
		pq.highRunTime = max(pq.highRunTime-step*(1-runTimeQuantile), 0)
		return
	}
	pq.highRunTime += step * runTimeQuantile
}

// New returns a controller without customers.
func New[P Picker, R any](picker P) *Controller[P, R] {
	return &Controller[P, R]{
		picker:    picker,
		customers: map[model.Customer]*CustomerState[R]{},
		pools:     map[model.Pool]*poolQueues[R]{},
	}
}

// SetCustomer sets this process's share of a customer's limits. It removes the
// queues of pools that the contract no longer covers and returns the references
// of their waiters.
func (c *Controller[P, R]) SetCustomer(name model.Customer, share Limit, pools []model.PoolShare) []R {
	cs := c.customers[name]
	if cs == nil {
		cs = &CustomerState[R]{Name: name, queues: map[model.Pool]*Queue[R]{}}
		if share.RetryPercent > 0 {
			// One retry is allowed before first attempts have earned a token.
			cs.RetryTokens = 1
		}
		c.customers[name] = cs
	}
	share.Weight = max(share.Weight, 1)
	cs.Limit = share
	cs.removed = false
	covered := make(map[model.Pool]bool, len(pools))
	for _, p := range pools {
		covered[p.Pool] = true
		if cs.queues[p.Pool] == nil {
			cs.queues[p.Pool] = &Queue[R]{Customer: cs, Pool: p.Pool, poolQueues: c.poolQueues(p.Pool)}
		}
		cs.queues[p.Pool].info.Weight = share.Weight
	}
	var out []R
	for p, q := range cs.queues {
		if !covered[p] {
			out = q.clear(out)
			delete(cs.queues, p)
		}
	}
	return out
}

// RemoveCustomer removes a customer and returns the references of its waiters.
func (c *Controller[P, R]) RemoveCustomer(name model.Customer) []R {
	cs := c.customers[name]
	if cs == nil {
		return nil
	}
	var out []R
	for _, q := range cs.queues {
		out = q.clear(out)
	}
	cs.removed = true
	c.dropUnused(cs)
	return out
}

// dropUnused drops the state of a customer whose contract was removed and that
// has no requests in flight.
func (c *Controller[P, R]) dropUnused(cs *CustomerState[R]) {
	if cs.removed && cs.Running == 0 {
		delete(c.customers, cs.Name)
	}
}

func (c *Controller[P, R]) poolQueues(p model.Pool) *poolQueues[R] {
	pq := c.pools[p]
	if pq == nil {
		pq = &poolQueues[R]{}
		c.pools[p] = pq
	}
	return pq
}

// Queue returns the queue of a customer in a pool, or the reason why requests of
// the customer cannot run in this process.
func (c *Controller[P, R]) Queue(name model.Customer, p model.Pool) (*Queue[R], Reason) {
	cs := c.customers[name]
	if cs == nil || cs.removed {
		return nil, ReasonNoContract
	}
	q := cs.queues[p]
	if q == nil {
		return nil, ReasonPoolNotCovered
	}
	if cs.Limit.MaxInFlight == 0 {
		return nil, ReasonNoShare
	}
	return q, ReasonNone
}

// Customer returns the state of a customer; nil if the customer is unknown.
func (c *Controller[P, R]) Customer(name model.Customer) *CustomerState[R] { return c.customers[name] }

// EachCustomer calls f for every customer.
func (c *Controller[P, R]) EachCustomer(f func(*CustomerState[R])) {
	for _, cs := range c.customers {
		f(cs)
	}
}

// EachWaiting calls f for every pool in which the customer has queued requests,
// with their number.
func (cs *CustomerState[R]) EachWaiting(f func(p model.Pool, n int)) {
	for p, q := range cs.queues {
		if q.length > 0 {
			f(p, q.length)
		}
	}
}

// Start counts a request that starts without having been queued.
func (c *Controller[P, R]) Start(q *Queue[R]) {
	q.Customer.Running++
	q.advanceVirtualTime()
}

// End counts the end of a request. Its run time updates the estimates of the pool
// unless it is negative.
func (c *Controller[P, R]) End(q *Queue[R], elapsed clock.Millis) {
	q.Customer.Running--
	c.dropUnused(q.Customer)
	if elapsed >= 0 {
		q.poolQueues.addRunTime(float64(elapsed))
	}
}

// TypicalRunTime returns the smoothed run time of a pool; 0 if it is unknown.
func (c *Controller[P, R]) TypicalRunTime(p model.Pool) clock.Millis {
	if pq := c.pools[p]; pq != nil {
		return clock.Millis(pq.typicalRunTime)
	}
	return 0
}

// Enqueue queues a request. slots is the number of requests that the pool can run
// at once. The request is refused if the customer's queue is full, or if it is
// not expected to end before its deadline, given its estimated wait and run time.
func (c *Controller[P, R]) Enqueue(now, deadline clock.Millis, q *Queue[R], slots int, ref R) (*Waiter[R], Reason) {
	if q.Customer.Waiting >= q.Customer.Limit.MaxQueued {
		return nil, ReasonQueueFull
	}
	wait := q.EstimateWait(slots)
	wait += clock.Millis(float64(wait) * waitMargin)
	if now+wait+q.poolQueues.timeNeeded() >= deadline {
		return nil, ReasonDeadline
	}
	c.lastArrival++
	w := &Waiter[R]{Ref: ref, Deadline: deadline, Arrived: now, arrival: c.lastArrival}
	q.push(w)
	return w, ReasonNone
}

// HasRunnable reports whether a pool has a waiter whose customer has fewer requests
// in flight than its share allows.
func (c *Controller[P, R]) HasRunnable(p model.Pool) bool {
	pq := c.pools[p]
	if pq == nil {
		return false
	}
	for _, q := range pq.active {
		if q.CanRun() {
			return true
		}
	}
	return false
}

// RunnableCount returns the number of waiters of a pool that the shares of their
// customers allow to run now.
func (c *Controller[P, R]) RunnableCount(p model.Pool) int {
	pq := c.pools[p]
	if pq == nil {
		return 0
	}
	n := 0
	for _, q := range pq.active {
		n += max(0, min(q.length, q.Customer.Limit.MaxInFlight-q.Customer.Running))
	}
	return n
}

// Next removes the waiter that runs next from the queues of a pool and counts it
// as running; nil if none may run. Waiters at the head of a queue that are no
// longer likely to end before their deadline are removed and appended to late.
func (c *Controller[P, R]) Next(now clock.Millis, p model.Pool, late []R) (*Waiter[R], []R) {
	pq := c.pools[p]
	if pq == nil {
		return nil, late
	}
	late = pq.dropUnfinishable(now+pq.timeNeeded(), late)
	c.candidateInfos, c.candidates = c.candidateInfos[:0], c.candidates[:0]
	for _, q := range pq.active {
		if q.CanRun() {
			c.candidateInfos = append(c.candidateInfos, &q.info)
			c.candidates = append(c.candidates, q)
		}
	}
	if len(c.candidates) == 0 {
		return nil, late
	}
	q := c.candidates[c.picker.Pick(c.candidateInfos)]
	w := q.first
	q.remove(w)
	q.Customer.Running++
	q.advanceVirtualTime()
	return w, late
}

// Expire removes the waiters whose deadline has passed and appends them to late.
func (c *Controller[P, R]) Expire(now clock.Millis, late []R) []R {
	for _, pq := range c.pools {
		for i := len(pq.active) - 1; i >= 0; i-- {
			late = pq.active[i].expire(now, late)
		}
	}
	return late
}

// Clear removes all waiters of a pool and appends them to out.
func (c *Controller[P, R]) Clear(p model.Pool, out []R) []R {
	pq := c.pools[p]
	if pq == nil {
		return out
	}
	for len(pq.active) > 0 {
		out = pq.active[0].clear(out)
	}
	return out
}

// WaitingPools appends the pools that have waiters to buf.
func (c *Controller[P, R]) WaitingPools(buf []model.Pool) []model.Pool {
	for p, pq := range c.pools {
		if len(pq.active) > 0 {
			buf = append(buf, p)
		}
	}
	return buf
}
