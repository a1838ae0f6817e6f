package place

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
)

// maxOver bounds the ended tasks that are remembered by name. Submitters send
// a task again within minutes; at the target scale that is some thousand tasks.
const maxOver = 10_000

// Ended tells the board that a run of a task ended. Reports of earlier
// attempts are ignored.
func (b *Placer[F, S, J]) Ended(id TaskID, attempt int, o Outcome, now clock.Millis) {
	t := b.tasks[id]
	if t == nil || t.attempt != attempt || t.worker == nil {
		return
	}
	w := t.worker
	b.leave(t)
	switch o {
	case OutcomeDone:
		b.blame(w, t, false, now)
		b.finish(t)
	case OutcomeFailed:
		b.blame(w, t, true, now)
		if !slices.Contains(t.failedOn, w.ID) {
			t.failedOn = append(t.failedOn, w.ID)
		}
		if len(t.failedOn) >= b.set.FailMost || !b.untried(t) {
			b.giveUp(t)
			return
		}
		b.requeue(t)
	default:
		b.requeue(t)
	}
}

// untried reports whether a worker is left that the task did not fail on.
func (b *Placer[F, S, J]) untried(t *task) bool {
	for id, w := range b.workers {
		if !w.Gone && !b.aside[id] && !slices.Contains(t.failedOn, id) {
			return true
		}
	}
	return false
}

// leave takes a task off its worker.
func (b *Placer[F, S, J]) leave(t *task) {
	w, tm := t.worker, b.teams[t.Team]
	delete(w.tasks, t.ID)
	w.used, tm.used = w.used.Minus(t.reserve), tm.used.Minus(t.reserve)
	t.worker, t.reserve, t.percent, t.asked = nil, Size{}, 100, Action{}
	b.reindex(w)
	b.unblock()
}

func (b *Placer[F, S, J]) requeue(t *task) {
	if t.cancelled {
		b.finish(t)
		return
	}
	t.phase = PhaseWaiting
	b.teams[t.Team].push(t)
}

func (b *Placer[F, S, J]) finish(t *task) {
	b.teams[t.Team].setDisrupted(t, false)
	t.phase = PhaseOver
	if t.hold != nil {
		b.unhold(t.hold)
	}
	b.over = append(b.over, t.ID)
	if len(b.over) > maxOver {
		delete(b.tasks, b.over[0])
		b.over = b.over[1:]
	}
}

// giveUp ends a task that failed on several workers and takes back what its
// failures counted against them: the task is to blame.
func (b *Placer[F, S, J]) giveUp(t *task) {
	for id, n := range t.blame {
		w := b.workers[id]
		w.weight = max(0, w.weight-n)
		if b.aside[id] && w.weight < b.judge.Threshold() {
			b.restore(w)
		}
	}
	b.out.GivenUp = append(b.out.GivenUp, GivenUp{
		Task: t.ID, Reason: fmt.Sprintf("failed on %d workers: %v", len(t.failedOn), t.failedOn),
	})
	b.finish(t)
}

// blame weighs a run against its worker and sets the worker aside when the
// sum reaches the limit.
func (b *Placer[F, S, J]) blame(w *worker, t *task, failed bool, now clock.Millis) {
	class := Class{t.Team, t.Class}
	r := b.classes[class]
	if r == nil {
		r = NewClassHistory()
		b.classes[class] = r
	}
	n := b.judge.Score(r.Evidence(w.ID, failed))
	r.Add(w.ID, failed)
	w.weight = max(0, w.weight+n)
	if !failed {
		w.streak, w.proven = 0, true
		return
	}
	w.streak++
	if t.blame == nil {
		t.blame = map[WorkerID]float64{}
	}
	t.blame[w.ID] += n
	if w.weight < b.judge.Threshold() || b.aside[w.ID] || (len(b.aside)+1)*100 > max(100, len(b.workers)*b.set.AsidePercent) {
		return
	}
	b.aside[w.ID] = true
	w.since = now
	b.out.Aside = append(b.out.Aside, Aside{Worker: w.ID, Reason: w.reason(b.judge.Threshold())})
	b.due.Push(due{at: now + b.set.AsideMillis, worker: w.ID})
	if w.hold != nil {
		b.unhold(w)
	}
	b.index(w)
}

// restore lets a worker that was set aside run tasks again.
func (b *Placer[F, S, J]) restore(w *worker) {
	delete(b.aside, w.ID)
	w.streak, w.proven = 0, false
	b.index(w)
	b.unblock()
}

// unhold gives up making room on a worker.
func (b *Placer[F, S, J]) unhold(w *worker) {
	t := w.hold
	w.hold, t.hold = nil, nil
	delete(b.holds, w.ID)
	b.index(w)
	if t.phase == PhaseWaiting {
		b.teams[t.Team].push(t)
	}
}

// expire ends the lease of a worker that was not heard: nothing runs on it any
// more, so its tasks may start elsewhere. Their loss counts against the same
// budget as disruptions on purpose.
func (b *Placer[F, S, J]) expire(w *worker, now clock.Millis) {
	for _, id := range sortedKeys(w.tasks) {
		t := w.tasks[id]
		tm := b.teams[t.Team]
		tm.spent = append(tm.spent, expense{at: now, cost: now - t.started})
		tm.setDisrupted(t, true)
		b.leave(t)
		b.requeue(t)
	}
	if w.hold != nil {
		b.unhold(w)
	}
}

// Adopt tells a new leader's board that a task runs on a worker, as the worker
// reports it.
func (b *Placer[F, S, J]) Adopt(t Task, w WorkerID, attempt int, until, started clock.Millis) {
	on, tm := b.workers[w], b.teams[t.Team]
	if on == nil || tm == nil || b.tasks[t.ID] != nil {
		return
	}
	held := &task{Task: t, phase: PhaseRunning, attempt: attempt, worker: on, percent: 100, started: started, until: until}
	b.tasks[t.ID] = held
	on.tasks[t.ID] = held
	if until > on.until {
		on.until = until
		b.due.Push(due{at: until + b.set.SkewMillis, worker: w})
	}
	b.resize(held, b.estimate(t))
}
