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
	// used is the sum of what its tasks count against the quota.
	used Size
	// waiting may also hold tasks that no longer wait, such as cancelled ones;
	// firstWaiting removes them when they reach the top.
	waiting heap.Heap[queuedTask]
	// blocked is set when none of the customer's first Lookahead waiting tasks can
	// start, until something changes that could let one start. waitReason is what
	// prevents the start of the first waiting task.
	blocked    bool
	waitReason WaitReason
	// disrupted counts the customer's tasks that are disrupted now.
	disrupted       int
	disruptionCosts []disruptionCost
}

// disruptionCost is the time of a disruption and the task time that it cost.
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
	share := func(used, quota int) float64 {
		if quota == 0 {
			return 0
		}
		return float64(used) / float64(quota)
	}
	q := cs.contract.Quota
	return max(share(cs.used.MilliCores, q.MilliCores), share(cs.used.MemoryMiB, q.MemoryMiB), share(cs.used.Accelerators, q.Accelerators))
}

// hasRoom reports whether the quota has room for a task of the given size, in place of
// what the task counts now.
func (cs *customerState) hasRoom(t *task, need Size) bool {
	return cs.used.Minus(t.charged).Plus(need).FitsIn(cs.contract.Quota)
}

// setDisrupted sets whether a task is disrupted and updates the customer's
// count.
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
// the given cost, in addition to those that are selected but not yet charged:
// their number is selected and their total cost selectedCost.
func (cs *customerState) allowsDisruption(now, cost clock.Millis, selected int, selectedCost clock.Millis) bool {
	c := cs.contract
	if cs.disrupted+selected+1 > c.MaxUnavailable {
		return false
	}
	return c.WindowMillis == 0 || cs.costInWindow(now)+selectedCost+cost <= c.BudgetMillis
}

// costInWindow returns the total cost of the disruptions in the contract's
// window that ends now, and forgets older ones.
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
