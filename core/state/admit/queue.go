package admit

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Queue is the FIFO queue of one customer in one pool.
type Queue[R any] struct {
	Customer   *CustomerState[R]
	Pool       model.Pool
	poolQueues *poolQueues[R]
	info       QueueInfo
	first      *Waiter[R]
	last       *Waiter[R]
	length     int
	// activeIndex is the index in poolQueues.active while length is above 0.
	activeIndex int
}

// Waiter is a queued request.
type Waiter[R any] struct {
	// Ref is the caller's reference to the request.
	Ref      R
	Deadline clock.Millis
	Arrived  clock.Millis
	// arrival is the arrival number, counted over all queues.
	arrival    uint64
	queue      *Queue[R]
	prev, next *Waiter[R]
}

// Queue returns the queue that the waiter is or was in.
func (w *Waiter[R]) Queue() *Queue[R] { return w.queue }

// CanRun reports whether the customer has fewer requests in flight than its share
// allows.
func (q *Queue[R]) CanRun() bool { return q.Customer.Running < q.Customer.Limit.MaxInFlight }

// Len returns the number of waiters.
func (q *Queue[R]) Len() int { return q.length }

// EstimateWait estimates how long a new waiter of the queue waits if the pool can
// run slots requests at once; 0 while the run time is unknown. The estimate divides
// the slots between the waiting customers by weight, and bounds the slots of a
// customer by its share.
func (q *Queue[R]) EstimateWait(slots int) clock.Millis {
	if q.poolQueues.typicalRunTime == 0 || slots <= 0 {
		return 0
	}
	total := q.info.Weight
	for _, o := range q.poolQueues.active {
		if o != q {
			total += o.info.Weight
		}
	}
	slotShare := float64(slots) * float64(q.info.Weight) / float64(total)
	slotShare = min(slotShare, float64(q.Customer.Limit.MaxInFlight))
	return clock.Millis(float64(q.length+1) * q.poolQueues.typicalRunTime / slotShare)
}

// Remove removes a waiter whose request was cancelled. The waiter must still be in
// the queue.
func (q *Queue[R]) Remove(w *Waiter[R]) { q.remove(w) }

func (q *Queue[R]) push(w *Waiter[R]) {
	w.queue = q
	w.prev = q.last
	if q.last == nil {
		q.first = w
		q.info.FirstArrival = w.arrival
		q.activeIndex = len(q.poolQueues.active)
		q.poolQueues.active = append(q.poolQueues.active, q)
		// A queue gets no credit for the time in which it was empty.
		q.info.VirtualTime = max(q.info.VirtualTime, q.poolQueues.virtualTime)
	} else {
		q.last.next = w
	}
	q.last = w
	q.length++
	q.Customer.Waiting++
}

func (q *Queue[R]) remove(w *Waiter[R]) {
	if w.prev == nil {
		q.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		q.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
	q.length--
	q.Customer.Waiting--
	if q.first != nil {
		q.info.FirstArrival = q.first.arrival
		return
	}
	pq := q.poolQueues
	end := len(pq.active) - 1
	pq.active[q.activeIndex] = pq.active[end]
	pq.active[q.activeIndex].activeIndex = q.activeIndex
	pq.active[end] = nil
	pq.active = pq.active[:end]
}

// advanceVirtualTime sets the virtual time of the pool to that at which the next
// request of the queue starts, and advances the queue's by one request.
func (q *Queue[R]) advanceVirtualTime() {
	q.info.VirtualTime = max(q.info.VirtualTime, q.poolQueues.virtualTime)
	q.poolQueues.virtualTime = q.info.VirtualTime
	q.info.VirtualTime += 1 / float64(q.info.Weight)
}

// expire removes the waiters whose deadline is at or before now and appends them to
// late.
func (q *Queue[R]) expire(now clock.Millis, late []R) []R {
	for w := q.first; w != nil; {
		next := w.next
		if w.Deadline <= now {
			q.remove(w)
			late = append(late, w.Ref)
		}
		w = next
	}
	return late
}

func (q *Queue[R]) clear(out []R) []R {
	for q.first != nil {
		out = append(out, q.first.Ref)
		q.remove(q.first)
	}
	return out
}

// dropUnfinishable removes waiters that are not likely to end in time and appends
// them to dropped: their deadline is at or before likelyEnd, the time by which a
// request that starts now is likely to have ended. It stops in each queue at the
// first waiter with a later deadline.
func (pq *poolQueues[R]) dropUnfinishable(likelyEnd clock.Millis, dropped []R) []R {
	for i := len(pq.active) - 1; i >= 0; i-- {
		q := pq.active[i]
		for q.first != nil && q.first.Deadline <= likelyEnd {
			dropped = append(dropped, q.first.Ref)
			q.remove(q.first)
		}
	}
	return dropped
}
