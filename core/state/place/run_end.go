package place

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
)

// maxFinished is the number of finished tasks whose names are kept. Submitters
// repeat a submission within minutes; at the target scale, a few thousand tasks
// finish in that time.
const maxFinished = 10_000

// RunEnded records that a run of a task ended. Reports of earlier attempts are
// ignored.
func (p *Placer[F, S, J]) RunEnded(id TaskID, attempt int, o Outcome, now clock.Millis) {
	t := p.tasks[id]
	if t == nil || t.attempt != attempt || t.worker == nil {
		return
	}
	w := t.worker
	p.detach(t)
	switch o {
	case OutcomeDone:
		p.recordRun(w, t, false, now)
		p.finish(t)
	case OutcomeFailed:
		p.recordRun(w, t, true, now)
		if !slices.Contains(t.failedOn, w.ID) {
			t.failedOn = append(t.failedOn, w.ID)
		}
		if len(t.failedOn) >= p.settings.MaxFailedWorkers || !p.hasUntriedWorker(t) {
			p.giveUp(t)
			return
		}
		p.requeue(t)
	default:
		p.requeue(t)
	}
}

// hasUntriedWorker reports whether there is a worker, neither draining nor
// quarantined, on which the task has not failed.
func (p *Placer[F, S, J]) hasUntriedWorker(t *task) bool {
	for id, w := range p.workers {
		if !w.Draining && !p.quarantined[id] && !slices.Contains(t.failedOn, id) {
			return true
		}
	}
	return false
}

// detach removes a task from its worker and releases what it had reserved.
func (p *Placer[F, S, J]) detach(t *task) {
	w := t.worker
	delete(w.tasks, t.ID)
	w.used = w.used.Minus(t.reserved)
	p.charge(t, Size{})
	t.worker, t.reserved, t.cpuPercent, t.pendingAction = nil, Size{}, 100, Action{}
	p.refreshWorker(w)
	p.unblockCustomers()
}

// requeue puts a task back into the queue of its customer. A cancelled task is
// finished instead.
func (p *Placer[F, S, J]) requeue(t *task) {
	if t.cancelled {
		p.finish(t)
		return
	}
	t.phase = PhaseWaiting
	p.customers[t.Customer].push(t)
}

// finish ends a task for good. If more than maxFinished tasks have finished, it
// forgets the oldest of them.
func (p *Placer[F, S, J]) finish(t *task) {
	p.customers[t.Customer].setDisrupted(t, false)
	t.phase = PhaseFinished
	if t.reservedOn != nil {
		p.cancelReservation(t.reservedOn)
	}
	p.finished = append(p.finished, t.ID)
	if len(p.finished) > maxFinished {
		delete(p.tasks, p.finished[0])
		p.finished = p.finished[1:]
	}
}

// giveUp ends a task that failed on MaxFailedWorkers workers, or on all that are
// neither draining nor quarantined. Its failures are subtracted from the scores of
// the workers because the task is the cause, not the workers.
func (p *Placer[F, S, J]) giveUp(t *task) {
	for id, score := range t.scores {
		w := p.workers[id]
		w.score = max(0, w.score-score)
		if p.quarantined[id] && w.score < p.health.Threshold() {
			p.endQuarantine(w)
		}
	}
	p.out.GivenUp = append(p.out.GivenUp, GivenUp{
		Task: t.ID, Reason: fmt.Sprintf("failed on %d workers: %v", len(t.failedOn), t.failedOn),
	})
	p.finish(t)
}

// recordRun adds the score of a run to the sum of its worker. A failure
// quarantines the worker if the sum reaches the threshold, unless more than
// MaxQuarantinedPercent of the workers would be quarantined then. One worker may
// always be quarantined.
func (p *Placer[F, S, J]) recordRun(w *worker, t *task, failed bool, now clock.Millis) {
	class := Class{t.Customer, t.Class}
	history := p.classes[class]
	if history == nil {
		history = NewClassHistory()
		p.classes[class] = history
	}
	score := p.health.Score(history.Evidence(w.ID, failed))
	history.Add(w.ID, failed)
	w.score = max(0, w.score+score)
	if !failed {
		w.failuresInRow, w.proven = 0, true
		return
	}
	w.failuresInRow++
	if t.scores == nil {
		t.scores = map[WorkerID]float64{}
	}
	t.scores[w.ID] += score
	if w.score < p.health.Threshold() || p.quarantined[w.ID] || (len(p.quarantined)+1)*100 > max(100, len(p.workers)*p.settings.MaxQuarantinedPercent) {
		return
	}
	p.quarantined[w.ID] = true
	w.quarantinedAt = now
	p.out.Quarantined = append(p.out.Quarantined, Quarantine{Worker: w.ID, Reason: w.quarantineReason(p.health.Threshold())})
	p.timers.Push(timer{at: now + p.settings.QuarantineMillis, worker: w.ID})
	if w.reservedFor != nil {
		p.cancelReservation(w)
	}
	p.updateIndex(w)
}

// endQuarantine lets a quarantined worker run tasks again, as an unproven worker.
func (p *Placer[F, S, J]) endQuarantine(w *worker) {
	delete(p.quarantined, w.ID)
	w.failuresInRow, w.proven = 0, false
	p.updateIndex(w)
	p.unblockCustomers()
}

// cancelReservation ends the reservation of a worker for a task. The task goes
// back into the queue if it still waits.
func (p *Placer[F, S, J]) cancelReservation(w *worker) {
	t := w.reservedFor
	w.reservedFor, t.reservedOn = nil, nil
	delete(p.reservedWorkers, w.ID)
	p.charge(t, Size{})
	p.customers[t.Customer].blocked = false
	p.updateIndex(w)
	if t.phase == PhaseWaiting {
		p.customers[t.Customer].push(t)
	}
}

// expireLease handles the end of the lease of a worker whose heartbeats stopped.
// The worker has ended its runs by then, so its tasks may start on other workers.
// The lost task time counts against the same budget as deliberate disruptions.
func (p *Placer[F, S, J]) expireLease(w *worker, now clock.Millis) {
	for _, id := range sortedKeys(w.tasks) {
		t := w.tasks[id]
		customer := p.customers[t.Customer]
		customer.disruptionCosts = append(customer.disruptionCosts, disruptionCost{at: now, cost: now - t.startedAt})
		customer.setDisrupted(t, true)
		p.detach(t)
		p.requeue(t)
	}
	if w.reservedFor != nil {
		p.cancelReservation(w)
	}
}

// Adopt adds a running task that its worker reported to a new leader. leaseEnd is
// the end of the worker's lease, and started is when the run started. The task is
// ignored if its worker or customer is unknown or the task itself is known.
func (p *Placer[F, S, J]) Adopt(t Task, id WorkerID, attempt int, leaseEnd, started clock.Millis) {
	w, customer := p.workers[id], p.customers[t.Customer]
	if w == nil || customer == nil || p.tasks[t.ID] != nil {
		return
	}
	adopted := &task{Task: t, phase: PhaseRunning, attempt: attempt, worker: w, cpuPercent: 100, startedAt: started, leaseEnd: leaseEnd}
	p.tasks[t.ID] = adopted
	w.tasks[t.ID] = adopted
	if leaseEnd > w.leaseEnd {
		w.leaseEnd = leaseEnd
		p.timers.Push(timer{at: leaseEnd + p.settings.SkewMillis, worker: id})
	}
	p.resize(adopted, p.sizeToReserve(t))
}
