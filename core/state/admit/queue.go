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
func (l *Queue[R]) CanRun() bool { return l.Customer.Running < l.Customer.Limit.MaxInFlight }

// Len returns the number of waiters.
func (l *Queue[R]) Len() int { return l.length }

// EstimateWait estimates how long a new waiter of the queue waits if the pool runs
// slots requests at once; 0 while the run time is unknown. The estimate divides the
// rate of the pool between the waiting customers by weight, and bounds the rate of
// a customer by its share.
func (l *Queue[R]) EstimateWait(slots int) clock.Millis {
	if l.poolQueues.typicalRunTime == 0 || slots <= 0 {
		return 0
	}
	total := l.info.Weight
	for _, o := range l.poolQueues.active {
		if o != l {
			total += o.info.Weight
		}
	}
	rate := float64(slots) * float64(l.info.Weight) / float64(total)
	rate = min(rate, float64(l.Customer.Limit.MaxInFlight))
	return clock.Millis(float64(l.length+1) * l.poolQueues.typicalRunTime / rate)
}

// Remove removes a waiter whose request was given up.
func (l *Queue[R]) Remove(w *Waiter[R]) { l.remove(w) }

func (l *Queue[R]) push(w *Waiter[R]) {
	w.queue = l
	w.prev = l.last
	if l.last == nil {
		l.first = w
		l.info.FirstArrival = w.arrival
		l.activeIndex = len(l.poolQueues.active)
		l.poolQueues.active = append(l.poolQueues.active, l)
		// A queue gets no credit for the time in which it was empty.
		l.info.VirtualTime = max(l.info.VirtualTime, l.poolQueues.virtualTime)
	} else {
		l.last.next = w
	}
	l.last = w
	l.length++
	l.Customer.Waiting++
}

func (l *Queue[R]) remove(w *Waiter[R]) {
	if w.prev == nil {
		l.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		l.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
	l.length--
	l.Customer.Waiting--
	if l.first != nil {
		l.info.FirstArrival = l.first.arrival
		return
	}
	h := l.poolQueues
	end := len(h.active) - 1
	h.active[l.activeIndex] = h.active[end]
	h.active[l.activeIndex].activeIndex = l.activeIndex
	h.active[end] = nil
	h.active = h.active[:end]
}

// advanceVirtualTime advances the virtual time of the queue by one request.
func (l *Queue[R]) advanceVirtualTime() {
	l.info.VirtualTime = max(l.info.VirtualTime, l.poolQueues.virtualTime)
	l.poolQueues.virtualTime = l.info.VirtualTime
	l.info.VirtualTime += 1 / float64(l.info.Weight)
}

// expire removes the waiters whose deadline is at or before now.
func (l *Queue[R]) expire(now clock.Millis, late []R) []R {
	for w := l.first; w != nil; {
		next := w.next
		if w.Deadline <= now {
			l.remove(w)
			late = append(late, w.Ref)
		}
		w = next
	}
	return late
}

func (l *Queue[R]) clear(out []R) []R {
	for l.first != nil {
		out = append(out, l.first.Ref)
		l.remove(l.first)
	}
	return out
}

// dropUnfinishable removes the waiters at the heads of the queues that cannot end
// in time: their deadline is at or before end, the time by which a request that
// starts now is likely to have ended.
func (h *poolQueues[R]) dropUnfinishable(end clock.Millis, late []R) []R {
	for i := len(h.active) - 1; i >= 0; i-- {
		l := h.active[i]
		for l.first != nil && l.first.Deadline <= end {
			late = append(late, l.first.Ref)
			l.remove(l.first)
		}
	}
	return late
}
