package admit

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Queue is the queue of one customer in one pool, first come, first served.
type Queue[R any] struct {
	Customer *CustomerState[R]
	Pool     model.Pool
	hall     *hall[R]
	turn     QueueInfo
	first    *Waiter[R]
	last     *Waiter[R]
	length   int
	// place is the index in hall.active while length is above 0.
	place int
}

// Waiter is a queued request.
type Waiter[R any] struct {
	Ref      R
	Deadline clock.Millis
	Arrived  clock.Millis
	// number orders the waiters of all lines by arrival.
	number     uint64
	line       *Queue[R]
	prev, next *Waiter[R]
}

// Queue returns the line that the waiter stood in.
func (w *Waiter[R]) Queue() *Queue[R] { return w.line }

// CanRun reports whether the customer is below its share.
func (l *Queue[R]) CanRun() bool { return l.Customer.Running < l.Customer.Limit.MaxInFlight }

// Len is the number of waiters.
func (l *Queue[R]) Len() int { return l.length }

// EstimateWait estimates how long a new waiter of the line waits when the pool runs
// slots requests at once. The pool's rate is divided between the waiting
// customers by weight, and a customer's rate is bounded by its share.
func (l *Queue[R]) EstimateWait(slots int) clock.Millis {
	if l.hall.typical == 0 || slots <= 0 {
		return 0
	}
	total := l.turn.Weight
	for _, o := range l.hall.active {
		if o != l {
			total += o.turn.Weight
		}
	}
	rate := float64(slots) * float64(l.turn.Weight) / float64(total)
	rate = min(rate, float64(l.Customer.Limit.MaxInFlight))
	return clock.Millis(float64(l.length+1) * l.hall.typical / rate)
}

// Remove takes a waiter out of its line, for a request that was given up.
func (l *Queue[R]) Remove(w *Waiter[R]) { l.remove(w) }

func (l *Queue[R]) push(w *Waiter[R]) {
	w.line = l
	w.prev = l.last
	if l.last == nil {
		l.first = w
		l.turn.FirstArrival = w.number
		l.place = len(l.hall.active)
		l.hall.active = append(l.hall.active, l)
		// A line that was idle gets no credit for the time it did not use.
		l.turn.VirtualTime = max(l.turn.VirtualTime, l.hall.pass)
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
		l.turn.FirstArrival = l.first.number
		return
	}
	h := l.hall
	end := len(h.active) - 1
	h.active[l.place] = h.active[end]
	h.active[l.place].place = l.place
	h.active[end] = nil
	h.active = h.active[:end]
}

// start moves the virtual time of the line on by one request.
func (l *Queue[R]) start() {
	l.turn.VirtualTime = max(l.turn.VirtualTime, l.hall.pass)
	l.hall.pass = l.turn.VirtualTime
	l.turn.VirtualTime += 1 / float64(l.turn.Weight)
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

// dropLate removes the waiters at the heads of the lines that cannot end in
// time: their deadline is at or before end, the time at which a request that
// starts now has ended most likely.
func (h *hall[R]) dropLate(end clock.Millis, late []R) []R {
	for i := len(h.active) - 1; i >= 0; i-- {
		l := h.active[i]
		for l.first != nil && l.first.Deadline <= end {
			late = append(late, l.first.Ref)
			l.remove(l.first)
		}
	}
	return late
}
