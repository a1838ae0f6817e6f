package place

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Pass returns what to do now. Leases are renewed first, then full workers
// relieved, and waiting tasks started, urgent ones before all others.
func (b *Placer[F, S, J]) Pass(now clock.Millis) Plan {
	b.fire(now)
	b.renew(now)
	for _, id := range sortedKeys(b.full) {
		b.relieveFull(b.workers[id], now)
	}
	if now >= b.quiet {
		for _, id := range sortedKeys(b.holds) {
			b.passHold(b.workers[id], now)
		}
		b.startWaiting(now)
	}
	b.restoreThrottled()
	b.stopCancelled(now)
	for _, id := range sortedKeys(b.teams) {
		b.wait(id, b.teams[id])
	}
	plan := b.out
	b.out = Plan{}
	if b.due.Len() > 0 {
		plan.Wake = b.due.Top().at
	}
	return plan
}

// stopCancelled tells a bounded number of cancelled tasks to end. Those whose
// end was ordered before need no second order.
func (b *Placer[F, S, J]) stopCancelled(now clock.Millis) {
	told := 0
	for len(b.stops) > 0 && told < b.set.StopsPerPass {
		t := b.stops[0]
		b.stops = b.stops[1:]
		if t.phase != PhaseRunning {
			continue
		}
		b.order(t, ActionStop, "cancelled")
		b.due.Push(due{at: now + b.set.LeaseMillis/2, task: t.ID})
		told++
	}
	if len(b.stops) > 0 {
		b.due.Push(due{at: now + b.set.StopPauseMillis})
	}
}

// passHold starts the task that room is made for once the room is there, and
// gives up when it will not be.
func (b *Placer[F, S, J]) passHold(w *worker, now clock.Millis) {
	t := w.hold
	switch {
	case !w.Gone && b.usable(w, now) && b.estimate(t.Task).Fits(w.Size.Minus(w.used)):
		b.unhold(w)
		b.start(t, w, now)
	case w.Gone || !slices.ContainsFunc(sortedKeys(w.tasks), func(id TaskID) bool { return w.tasks[id].phase == PhaseEnding }):
		b.unhold(w)
	}
}

// fire handles what fell due: leases that ran out, workers to be tried again,
// and orders that were not confirmed.
func (b *Placer[F, S, J]) fire(now clock.Millis) {
	for b.due.Len() > 0 && b.due.Top().at <= now {
		d := b.due.Pop()
		if t := b.tasks[d.task]; t != nil {
			if t.phase == PhaseEnding {
				b.out.Actions = append(b.out.Actions, t.asked)
				b.due.Push(due{at: now + b.set.LeaseMillis/2, task: t.ID})
			}
			continue
		}
		w := b.workers[d.worker]
		if w == nil {
			continue
		}
		if w.until+b.set.SkewMillis <= now {
			b.expire(w, now)
		}
		b.prove(w, now)
		if b.aside[w.ID] && w.since+b.set.AsideMillis <= now {
			// One more failure sets it aside again.
			w.weight = b.judge.Threshold() / 2
			b.restore(w)
		}
	}
}

// prove ends the trial of a worker on which a task has run for the trial time.
func (b *Placer[F, S, J]) prove(w *worker, now clock.Millis) {
	for _, t := range w.tasks {
		if !w.proven && now-t.started >= b.set.TrialMillis {
			w.proven = true
			b.unblock()
		}
	}
}

func (b *Placer[F, S, J]) renew(now clock.Millis) {
	for _, id := range sortedKeys(b.heard) {
		w := b.workers[id]
		if w.until < now+b.set.LeaseMillis/4 {
			b.unblock()
		}
		w.until = now + b.set.LeaseMillis
		b.due.Push(due{at: w.until + b.set.SkewMillis, worker: id})
		b.out.Actions = append(b.out.Actions, Action{Kind: ActionRenew, Worker: id, Until: w.until})
	}
	clear(b.heard)
}

// usable reports whether a worker may be given a task now. One that is not
// proven runs a few tasks only. One whose failures
// come near the limit runs a single task at a time, so that a worker which
// fails quickly does not drain the queue.
func (b *Placer[F, S, J]) usable(w *worker, now clock.Millis) bool {
	if w.Gone || b.aside[w.ID] || w.until < now+b.set.LeaseMillis/4 {
		return false
	}
	if !w.proven && len(w.tasks) >= b.set.TrialTasks {
		return false
	}
	return w.weight < b.judge.Threshold()/2 || len(w.tasks) == 0
}

// attemptsPerTerm is more than the starts of one task under one leader.
const attemptsPerTerm = 1_000_000

func (b *Placer[F, S, J]) start(t *task, w *worker, now clock.Millis) {
	tm := b.teams[t.Team]
	tm.setDisrupted(t, false)
	t.phase, t.worker, t.started, t.until, t.percent = PhaseRunning, w, now, w.until, 100
	t.attempt = max(t.attempt, b.term*attemptsPerTerm) + 1
	w.tasks[t.ID] = t
	if !w.proven {
		b.due.Push(due{at: now + b.set.TrialMillis, worker: w.ID})
	}
	b.resize(t, b.estimate(t.Task))
	b.out.Actions = append(b.out.Actions, Action{
		Kind: ActionStart, Worker: w.ID, Task: t.ID, Attempt: t.attempt, Size: t.reserve, Until: w.until,
	})
}

// startWaiting starts tasks team by team: the most urgent head first, and of
// equals the team that holds the smallest part of its quota.
func (b *Placer[F, S, J]) startWaiting(now clock.Millis) {
	active := make([]*team, 0, len(b.teams))
	for _, id := range sortedKeys(b.teams) {
		if tm := b.teams[id]; !tm.blocked && tm.head() != nil {
			active = append(active, tm)
		}
	}
	var failed []Size
	for len(active) > 0 {
		best := 0
		for k := 1; k < len(active); k++ {
			if before(active[k], active[best]) {
				best = k
			}
		}
		tm := active[best]
		if !b.startOne(tm, now, &failed) {
			tm.blocked = true
		}
		if tm.blocked || tm.head() == nil {
			active = slices.Delete(active, best, best+1)
		}
	}
}

func before(a, b *team) bool {
	x, y := a.head(), b.head()
	if x.Urgent != y.Urgent {
		return x.Urgent
	}
	if x.Priority != y.Priority {
		return x.Priority > y.Priority
	}
	return a.share() < b.share()
}

// startOne starts the first of the team's waiting tasks that may start, within
// the lookahead. Failed collects the sizes that no worker had room for.
func (b *Placer[F, S, J]) startOne(tm *team, now clock.Millis, failed *[]Size) bool {
	var passed []*task
	var first Limit
	started := false
	for range b.set.Lookahead {
		t := tm.head()
		if t == nil {
			break
		}
		tm.pop()
		passed = append(passed, t)
		if started = b.try(tm, t, now, failed); started {
			break
		}
		if len(passed) == 1 {
			first = tm.limit
		}
	}
	for _, t := range passed {
		if t.phase == PhaseWaiting && t.hold == nil {
			tm.push(t)
		}
	}
	tm.limit = first
	return started
}

func (b *Placer[F, S, J]) try(tm *team, t *task, now clock.Millis, failed *[]Size) bool {
	need := b.estimate(t.Task)
	if !tm.used.Plus(need).Fits(tm.contract.Quota) {
		tm.limit = LimitQuota
		return false
	}
	tm.limit = LimitRoom
	if !slices.ContainsFunc(*failed, func(s Size) bool { return s.Fits(need) }) {
		if w := b.choose(t, need, now); w != nil {
			b.start(t, w, now)
			return true
		}
		if len(t.failedOn) == 0 {
			*failed = append(*failed, need)
		}
	}
	if t.Urgent {
		return b.makeRoom(tm, t, need, now)
	}
	return false
}

// choose returns the worker that the policy tries first among those with room.
func (b *Placer[F, S, J]) choose(t *task, need Size, now clock.Millis) *worker {
	ok := func(id WorkerID) *worker {
		w := b.workers[id]
		if w.hold == nil && need.Fits(w.Size.Minus(w.used)) && b.usable(w, now) && !slices.Contains(t.failedOn, id) {
			return w
		}
		return nil
	}
	least, top := bucketOf(need.MilliCores), len(b.free.buckets)-1
	first, step := b.fit.Order(least, top)
	if step == 0 || b.set.Scan {
		return b.scan(ok, step)
	}
	for k := first; k >= least && k <= top; k += step {
		for _, id := range b.free.buckets[k] {
			if w := ok(id); w != nil {
				return w
			}
		}
	}
	return nil
}

// scan looks at all workers by name, for the baseline and with the index off.
func (b *Placer[F, S, J]) scan(ok func(WorkerID) *worker, step int) *worker {
	var best *worker
	for _, id := range sortedKeys(b.workers) {
		w := ok(id)
		if w == nil {
			continue
		}
		if step == 0 {
			return w
		}
		at := func(w *worker) int { return step * bucketOf(w.Size.MilliCores-w.used.MilliCores) }
		if best == nil || at(w) < at(best) {
			best = w
		}
	}
	return best
}

func (b *Placer[F, S, J]) wait(id model.Customer, tm *team) {
	t := tm.head()
	if t == nil || !tm.blocked {
		return
	}
	w := Wait{Team: id, Task: t.ID, Limit: tm.limit, Need: b.estimate(t.Task)}
	switch tm.limit {
	case LimitQuota:
		w.Unblock = fmt.Sprintf("tasks of %s end; it holds %v of %v", id, tm.used, tm.contract.Quota)
	case LimitBudget:
		w.Unblock = "the disruption budgets of running tasks allow to make room, or tasks end"
	default:
		w.Unblock = "tasks end or workers are added"
	}
	b.out.Waits = append(b.out.Waits, w)
}
