package place

import (
	"cmp"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// softLook is the number of workers that are weighed when room is made for an
// urgent task.
const softLook = 16

// victim is a task that gives way, and how.
type victim struct {
	t    *task
	kind ActionKind
	cost clock.Millis
}

// makeRoom frees room for an urgent task on the worker where that costs least.
// The worker takes no other task until the room is there.
func (b *Placer[F, S, J]) makeRoom(tm *team, t *task, need Size, now clock.Millis) bool {
	var best *worker
	var victims []victim
	least := clock.Millis(0)
	for _, id := range b.softest(bucketOf(need.MilliCores)) {
		w := b.workers[id]
		if !b.usable(w, now) || slices.Contains(t.failedOn, id) || !need.Fits(w.Size.Minus(w.used).Plus(w.soft)) {
			continue
		}
		lack := need.Minus(w.Size.Minus(w.used))
		list, ok := b.ladder(w, lack, now, func(v *task) bool { return !v.Urgent })
		cost := clock.Millis(0)
		for _, v := range list {
			cost += v.cost
		}
		if ok && (best == nil || cost < least) {
			best, victims, least = w, list, cost
		}
	}
	if best == nil {
		tm.limit = LimitBudget
		return false
	}
	best.hold, t.hold = t, best
	b.holds[best.ID] = true
	b.disrupt(victims, now, "room for urgent task "+string(t.ID))
	b.index(best)
	if need.Fits(best.Size.Minus(best.used)) {
		// Throttling frees its room at once.
		b.unhold(best)
		b.start(t, best, now)
	}
	return true
}

// softest lists the workers that would have most room without the tasks that
// can give way.
func (b *Placer[F, S, J]) softest(least int) []WorkerID {
	var out []WorkerID
	for k := len(b.soft.buckets) - 1; k >= least && len(out) < softLook; k-- {
		list := b.soft.buckets[k]
		out = append(out, list[:min(len(list), softLook-len(out))]...)
	}
	return out
}

// relieveFull makes tasks give way on a worker whose tasks use more than it
// has, as far as budgets allow. Tasks that are ending already count as gone.
func (b *Placer[F, S, J]) relieveFull(w *worker, now clock.Millis) {
	lack := w.used.Minus(w.Size)
	for _, t := range w.tasks {
		if t.phase == PhaseEnding {
			lack = lack.Minus(t.reserve)
		}
	}
	if lack.Fits(Size{}) {
		return
	}
	victims, _ := b.ladder(w, lack, now, func(*task) bool { return true })
	b.disrupt(victims, now, "worker "+string(w.ID)+" is used beyond its size")
}

// ladder picks the tasks that give way until the lack is covered: checkpoints
// first, since no work is lost, then throttling, then stops. Each step is
// bounded by the disruption budget of the task's team. It reports whether the
// lack is covered.
func (b *Placer[F, S, J]) ladder(w *worker, lack Size, now clock.Millis, may func(*task) bool) ([]victim, bool) {
	var out []victim
	extra := map[model.Customer]int{}
	pending := map[model.Customer]clock.Millis{}
	taken := map[*task]bool{}
	for _, kind := range []ActionKind{ActionCheckpoint, ActionThrottle, ActionStop} {
		for _, t := range b.orderOf(w, kind, now) {
			if lack.Fits(Size{}) {
				return out, true
			}
			gain, cost := b.gives(t, kind, now)
			tm := b.teams[t.Team]
			if taken[t] || !may(t) || !helps(gain, lack) || !tm.affords(now, cost, extra[t.Team], pending[t.Team]) {
				continue
			}
			taken[t] = true
			extra[t.Team]++
			pending[t.Team] += cost
			lack = lack.Minus(gain)
			out = append(out, victim{t: t, kind: kind, cost: cost})
		}
	}
	return out, lack.Fits(Size{})
}

// helps reports whether the gain covers a part of what is lacking.
func helps(gain, lack Size) bool {
	return (lack.MilliCores > 0 && gain.MilliCores > 0) || (lack.MemoryMiB > 0 && gain.MemoryMiB > 0) ||
		(lack.Accelerators > 0 && gain.Accelerators > 0)
}

// orderOf lists the worker's running tasks that can bear the step, those of
// least priority and least cost first.
func (b *Placer[F, S, J]) orderOf(w *worker, kind ActionKind, now clock.Millis) []*task {
	var out []*task
	for _, id := range sortedKeys(w.tasks) {
		t := w.tasks[id]
		bears := kind == ActionStop || (kind == ActionCheckpoint && t.Checkpoints) || (kind == ActionThrottle && t.Throttles && t.percent == 100)
		if t.phase == PhaseRunning && bears {
			out = append(out, t)
		}
	}
	slices.SortStableFunc(out, func(x, y *task) int {
		if x.Urgent != y.Urgent {
			if y.Urgent {
				return -1
			}
			return 1
		}
		_, cx := b.gives(x, kind, now)
		_, cy := b.gives(y, kind, now)
		return cmp.Or(cmp.Compare(x.Priority, y.Priority), cmp.Compare(cx, cy))
	})
	return out
}

// throttledPercent is what a throttled task keeps of its processors.
const throttledPercent = 50

// gives is the room that a step frees and the time that it costs the task.
func (b *Placer[F, S, J]) gives(t *task, kind ActionKind, now clock.Millis) (Size, clock.Millis) {
	switch kind {
	case ActionCheckpoint:
		return t.reserve, b.set.CheckpointMillis
	case ActionThrottle:
		return Size{MilliCores: t.reserve.MilliCores * (100 - throttledPercent) / 100}, b.set.ThrottleMillis
	default:
		return t.reserve, now - t.started
	}
}

// disrupt carries the steps out on the board and orders them.
func (b *Placer[F, S, J]) disrupt(victims []victim, now clock.Millis, reason string) {
	for _, v := range victims {
		tm := b.teams[v.t.Team]
		tm.spent = append(tm.spent, expense{at: now, cost: v.cost})
		tm.setDisrupted(v.t, true)
		if v.kind != ActionThrottle {
			b.order(v.t, v.kind, reason)
			b.due.Push(due{at: now + b.set.LeaseMillis/2, task: v.t.ID})
			continue
		}
		gain, _ := b.gives(v.t, v.kind, now)
		v.t.percent = throttledPercent
		b.resize(v.t, v.t.reserve.Minus(gain))
		b.throttle(v.t, reason)
	}
}

func (b *Placer[F, S, J]) throttle(t *task, reason string) {
	b.out.Actions = append(b.out.Actions, Action{
		Kind: ActionThrottle, Worker: t.worker.ID, Task: t.ID, Attempt: t.attempt, Percent: t.percent, Reason: reason,
	})
}

// restoreThrottled gives throttled tasks their full size back where there is
// room again that no held task needs.
func (b *Placer[F, S, J]) restoreThrottled() {
	for _, id := range sortedKeys(b.slack) {
		w := b.workers[id]
		if w.hold != nil {
			continue
		}
		for _, tid := range sortedKeys(w.tasks) {
			t := w.tasks[tid]
			whole := b.estimate(t.Task)
			if t.percent == 100 || t.phase != PhaseRunning || !whole.Minus(t.reserve).Fits(w.Size.Minus(w.used)) {
				continue
			}
			t.percent = 100
			b.resize(t, whole)
			b.teams[t.Team].setDisrupted(t, false)
			b.throttle(t, "there is room again")
		}
	}
}
