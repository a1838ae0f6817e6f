package place

import (
	"cmp"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/heap"
	"camphorridge/core/state/model"
)

// team is a customer's tasks, quota and disruption budget.
type team struct {
	contract model.Contract
	used     Size
	// waiting also holds cancelled tasks until they surface.
	waiting heap.Heap[queued]
	// blocked is set while nothing changed that could let the first waiting
	// task start, and limit is why.
	blocked bool
	limit   Limit
	// disrupted counts the tasks that are disrupted now.
	disrupted int
	spent     []expense
}

// expense is the time that a disruption cost.
type expense struct {
	at   clock.Millis
	cost clock.Millis
}

// queued is a waiting task in its team's queue.
type queued struct {
	*task
}

// Before orders by urgency, priority, submission and name.
func (q queued) Before(r queued) bool {
	if q.Urgent != r.Urgent {
		return q.Urgent
	}
	return cmp.Or(cmp.Compare(r.Priority, q.Priority), cmp.Compare(q.Submitted, r.Submitted), cmp.Compare(q.ID, r.ID)) < 0
}

// head returns the first waiting task; nil when there is none.
func (tm *team) head() *task {
	for tm.waiting.Len() > 0 {
		if t := tm.waiting.Top().task; t.phase == PhaseWaiting && t.hold == nil {
			return t
		}
		tm.pop()
	}
	return nil
}

func (tm *team) push(t *task) {
	tm.blocked = false
	if !t.queued {
		t.queued = true
		tm.waiting.Push(queued{t})
	}
}

func (tm *team) pop() {
	tm.waiting.Pop().queued = false
}

// share is the largest part of its quota that the team holds of any resource.
func (tm *team) share() float64 {
	of := func(used, quota int) float64 {
		if quota == 0 {
			return 0
		}
		return float64(used) / float64(quota)
	}
	q := tm.contract.Quota
	return max(of(tm.used.MilliCores, q.MilliCores), of(tm.used.MemoryMiB, q.MemoryMiB), of(tm.used.Accelerators, q.Accelerators))
}

func (tm *team) setDisrupted(t *task, on bool) {
	if t.disrupted == on {
		return
	}
	t.disrupted = on
	if on {
		tm.disrupted++
	} else {
		tm.disrupted--
	}
}

// affords reports whether the contract bears one more disruption of that cost
// on top of extra ones that are being considered.
func (tm *team) affords(now, cost clock.Millis, extra int, pending clock.Millis) bool {
	c := tm.contract
	if tm.disrupted+extra+1 > c.MaxUnavailable {
		return false
	}
	return c.WindowMillis == 0 || tm.spentIn(now)+pending+cost <= c.BudgetMillis
}

// spentIn sums up the disruptions of the window that ends now and forgets
// older ones.
func (tm *team) spentIn(now clock.Millis) clock.Millis {
	sum := clock.Millis(0)
	kept := tm.spent[:0]
	for _, e := range tm.spent {
		if e.at > now-tm.contract.WindowMillis {
			kept = append(kept, e)
			sum += e.cost
		}
	}
	tm.spent = kept
	return sum
}
