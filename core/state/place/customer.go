package place

import (
	"cmp"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/heap"
	"camphorridge/core/state/model"
)

// customerState is a customer with its waiting tasks, quota use and disruption
// budget.
type customerState struct {
	contract model.Contract
	// used is the sum of what its running tasks have reserved.
	used Size
	// waiting may hold cancelled tasks; firstWaiting removes them when they
	// reach the top.
	waiting heap.Heap[queuedTask]
	// blocked is set while nothing has changed that could let the first waiting
	// task start. waitReason is what prevents it.
	blocked    bool
	waitReason WaitReason
	// disrupted counts the customer's tasks that are disrupted now.
	disrupted       int
	disruptionCosts []disruptionCost
}

// disruptionCost is the task time that one disruption cost.
type disruptionCost struct {
	at   clock.Millis
	cost clock.Millis
}

// queuedTask is a waiting task in the heap of its customer.
type queuedTask struct {
	*task
}

// Before orders by urgency, priority, submission time and name.
func (q queuedTask) Before(r queuedTask) bool {
	if q.Urgent != r.Urgent {
		return q.Urgent
	}
	return cmp.Or(cmp.Compare(r.Priority, q.Priority), cmp.Compare(q.Submitted, r.Submitted), cmp.Compare(q.ID, r.ID)) < 0
}

// firstWaiting returns the first waiting task, or nil if there is none.
func (cs *customerState) firstWaiting() *task {
	for cs.waiting.Len() > 0 {
		if t := cs.waiting.Top().task; t.phase == PhaseWaiting && t.reservedOn == nil {
			return t
		}
		cs.pop()
	}
	return nil
}

// push adds a waiting task to the queue, unless it is still in it, and unblocks
// the customer.
func (cs *customerState) push(t *task) {
	cs.blocked = false
	if !t.queued {
		t.queued = true
		cs.waiting.Push(queuedTask{t})
	}
}

// pop removes the first task from the queue.
func (cs *customerState) pop() {
	cs.waiting.Pop().queued = false
}

// quotaShare returns the largest share of its quota that the customer uses of
// any resource.
func (cs *customerState) quotaShare() float64 {
	of := func(used, quota int) float64 {
		if quota == 0 {
			return 0
		}
		return float64(used) / float64(quota)
	}
	q := cs.contract.Quota
	return max(of(cs.used.MilliCores, q.MilliCores), of(cs.used.MemoryMiB, q.MemoryMiB), of(cs.used.Accelerators, q.Accelerators))
}

// setDisrupted marks a task as disrupted or not and keeps the count.
func (cs *customerState) setDisrupted(t *task, on bool) {
	if t.disrupted == on {
		return
	}
	t.disrupted = on
	if on {
		cs.disrupted++
	} else {
		cs.disrupted--
	}
}

// allowsDisruption reports whether the contract allows one more disruption of
// the given cost, on top of extra disruptions with the total cost pending that
// are already selected.
func (cs *customerState) allowsDisruption(now, cost clock.Millis, extra int, pending clock.Millis) bool {
	c := cs.contract
	if cs.disrupted+extra+1 > c.MaxUnavailable {
		return false
	}
	return c.WindowMillis == 0 || cs.costInWindow(now)+pending+cost <= c.BudgetMillis
}

// costInWindow returns the total cost of the disruptions in the window that
// ends now, and drops older ones.
func (cs *customerState) costInWindow(now clock.Millis) clock.Millis {
	sum := clock.Millis(0)
	kept := cs.disruptionCosts[:0]
	for _, e := range cs.disruptionCosts {
		if e.at > now-cs.contract.WindowMillis {
			kept = append(kept, e)
			sum += e.cost
		}
	}
	cs.disruptionCosts = kept
	return sum
}
