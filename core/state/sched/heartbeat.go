package sched

import (
	"slices"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Heartbeat processes a heartbeat; the reply is part of a later plan. It
// ignores a heartbeat of an unknown pool (see InKnownPool) and an outdated one, and
// returns false: one whose incarnation was removed or is earlier than that of the
// worker or of another worker on the machine, or whose sequence number is not higher
// than that of the last heartbeat processed.
func (s *Scheduler[P, H]) Heartbeat(h Heartbeat, now clock.Millis) bool {
	s.now = max(s.now, now)
	s.pace.observe(now - h.ReceivedAt)
	if !s.InKnownPool(h) {
		return false
	}
	w := s.workers[h.Worker]
	if w != nil && (h.Incarnation < w.incarnation || (h.Incarnation == w.incarnation && w.reported && h.Seq <= w.seq)) {
		return false
	}
	if other := s.workerByMachine[h.Machine]; other != nil && other.id != h.Worker && h.Incarnation < other.incarnation {
		return false
	}
	if h.Incarnation <= s.removedIncarnations[h.Worker] {
		return false
	}
	if w != nil && h.Incarnation > w.incarnation {
		s.dropWorker(w, "a new incarnation of the worker started", now)
		w = nil
	}
	if w == nil {
		w = &worker{id: h.Worker, incarnation: h.Incarnation, runs: map[jobs.TaskID]*run{}, failedJobs: map[jobs.ID]bool{}, leaseUntil: h.ReceivedAt + s.maxLease(), speed: speed{percent: fullSpeedPercent}}
		s.workers[h.Worker] = w
		s.leaseEnds.Push(leaseEnd{at: w.leaseUntil, w: w})
	}
	s.updateWorker(w, h, now)
	s.removeStarted(h)
	if w.quarantinedUntil > 0 && w.quarantinedUntil <= now {
		s.endQuarantine(w)
	}
	ack := s.handleRunEnds(w, h, now)
	s.updateRuns(w, h, now)
	s.machineArrived(w)
	w.heartbeat = &pendingHeartbeat{ackUpTo: ack, urgent: len(h.Ends) > 0}
	w.leaseUntil = max(w.leaseUntil, h.ReceivedAt+s.maxLease())
	if w.leaseExpired {
		w.leaseExpired = false
		s.leaseEnds.Push(leaseEnd{at: w.leaseUntil, w: w})
	}
	s.repeatOrders(w, h.MoreEnds, now)
	s.stopStalledRuns(w, now)
	s.adjustSpeed(w, now)
	s.confirmWorker(w, h, now)
	if !w.draining && w.confirmed {
		p := s.pool(w.pool)
		p.available[w.id] = w
		s.dirtyPools[p] = true
	}
	s.replyBy(w, s.replyTime(w, now))
	return true
}

// InKnownPool reports whether a heartbeat names a pool of the configuration, or the pool
// of a known worker, which the configuration may have dropped since. A heartbeat of any
// other pool may come from a program that is none of the system's workers, although it
// names the machine or the ID of one.
func (s *Scheduler[P, H]) InKnownPool(h Heartbeat) bool {
	w := s.workers[h.Worker]
	return s.configuredPools[h.Pool] || (w != nil && w.incarnation == h.Incarnation && w.pool == h.Pool)
}

// confirmWorker notes whether the worker is known to be there: its heartbeat came after
// the pause that the first reply in this term asked for, so that it was sent after it.
func (s *Scheduler[P, H]) confirmWorker(w *worker, h Heartbeat, now clock.Millis) {
	answers := w.repliedAt > 0 && h.ReceivedAt >= w.repliedAt+s.settings.MinRetryMillis
	w.confirmed = w.confirmed || answers || now >= s.termStart+s.settings.LateHeartbeatMillis
}

// replyBy sets the time at which a worker's heartbeat must be answered, unless
// an earlier time is set.
func (s *Scheduler[P, H]) replyBy(w *worker, at clock.Millis) {
	if w.heartbeat == nil || (w.heartbeat.hasReplyBy && w.heartbeat.replyBy <= at) {
		return
	}
	w.heartbeat.replyBy, w.heartbeat.hasReplyBy = at, true
	s.replyDeadlines.Push(replyDeadline{at: at, heartbeat: w.heartbeat, w: w})
}

// updateWorker updates the worker from its heartbeat.
func (s *Scheduler[P, H]) updateWorker(w *worker, h Heartbeat, now clock.Millis) {
	if other := s.workerByMachine[h.Machine]; other != nil && other != w {
		s.dropWorker(other, "another worker runs on its machine", now)
	}
	if w.pool != h.Pool && w.pool != "" {
		delete(s.pool(w.pool).available, w.id)
		delete(s.pool(w.pool).workers, w.id)
	}
	if w.machine != h.Machine && s.workerByMachine[w.machine] == w {
		delete(s.workerByMachine, w.machine)
	}
	w.machine, w.pool, w.zone, w.labels = h.Machine, h.Pool, h.Zone, h.Labels
	w.rack = rackOf(h.Labels)
	s.pool(w.pool).workers[w.id] = w
	w.seq, w.capacity, w.reported = h.Seq, h.Capacity, true
	w.heardAt = max(w.heardAt, h.ReceivedAt)
	delete(s.absences, h.Machine)
	if h.Machine != "" && s.workerByMachine[h.Machine] != w {
		s.workerByMachine[h.Machine] = w
		s.updateGoingDown(h.Machine)
	}
	if h.Draining && !w.draining {
		w.draining = true
		delete(s.pool(w.pool).available, w.id)
	}
}

// rackOf returns the label that identifies a worker's rack, which is the last
// one that contains a hyphen; empty for none.
func rackOf(labels []string) string {
	for i := len(labels) - 1; i >= 0; i-- {
		if strings.Contains(labels[i], "-") {
			return labels[i]
		}
	}
	return ""
}

// handleRunEnds processes the run ends in a heartbeat and returns the highest
// of their numbers; 0 for none.
func (s *Scheduler[P, H]) handleRunEnds(w *worker, h Heartbeat, now clock.Millis) int64 {
	ack := int64(0)
	for _, e := range h.Ends {
		ack = max(ack, e.Number)
		r := w.runs[e.Task]
		if r == nil || r.number != e.Run {
			s.acceptLateEnd(w, e, now)
			continue
		}
		s.endRun(w, r, e.Result, e.Checkpoint, now)
	}
	return ack
}

// endRun records the end of a run and queues the tasks that can start because
// of it: those of dependent steps or, if the run did not complete its task,
// that task. In the latter case the other tasks of its gang are stopped. If the
// job has ended, all its tasks are stopped instead.
func (s *Scheduler[P, H]) endRun(w *worker, r *run, result jobs.Result, checkpoint string, now clock.Millis) {
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	s.removeRun(w, r)
	s.releaseShare(r, now)
	rec := r.rec
	previousStatus := rec.Status
	needed := r.needed()
	s.apply(jobs.Op{Kind: jobs.OpEnd, Task: r.task, Run: r.number, Worker: w.id, Result: result, Checkpoint: checkpoint}, now)
	if result != jobs.ResultDone {
		reason := result.String()
		if r.stopReason != "" {
			reason += ": " + r.stopReason
		}
		s.noteRun(DecisionEnded, r, w, reason)
	}
	if (result == jobs.ResultDone || result == jobs.ResultFailed) && !previousStatus.Final() {
		s.updateHealth(w, r, result == jobs.ResultFailed, now)
	}
	// A refusal of a ticket keeps the task off the worker until there is a new one.
	refused := result == jobs.ResultRefused && !s.dropTicket(w, r)
	switch {
	case result == jobs.ResultDone || rec.Status.Final():
		delete(s.avoided, r.task)
	case result == jobs.ResultFailed || refused:
		s.avoid(r.task, w, now)
	}
	switch {
	case rec.Status.Final():
		if !previousStatus.Final() {
			s.noteJobEnd(rec, now)
			s.stopJobRuns(rec)
		}
	case !needed:
	case result == jobs.ResultDone && !r.step.LongRunning:
		s.unqueueGang(rec, r.task)
		s.queueDependents(rec, r.task, now)
	default:
		s.queueTask(rec, r.task, now)
		s.stopGang(rec, r.task)
	}
}

// queueDependents queues the steps that become ready when all tasks of the step
// of t are done.
func (s *Scheduler[P, H]) queueDependents(rec *jobs.Record, t jobs.TaskID, now clock.Millis) {
	state := &rec.Occurrences[t.Occurrence].Steps[t.Step]
	if state.DoneTasks < len(state.Tasks) {
		return
	}
	for i := range rec.Steps {
		if !slices.Contains(rec.Steps[i].DependsOn, t.Step) || !rec.Ready(t.Occurrence, i) {
			continue
		}
		for n := rec.Steps[i].TaskCount - 1; n >= 0; n-- {
			s.queueTask(rec, jobs.TaskID{Job: t.Job, Occurrence: t.Occurrence, Step: i, Index: n}, now)
		}
	}
}

// updateRuns updates the runs that are assigned to the worker from its heartbeat,
// and records those in the heartbeat that are not assigned to it.
func (s *Scheduler[P, H]) updateRuns(w *worker, h Heartbeat, now clock.Millis) {
	for _, r := range w.runs {
		if r.listed || r.unlistedSince == 0 {
			r.unlistedSince = now
		}
		r.listed = false
	}
	s.clearUnassigned(w)
	for _, status := range h.Running {
		r := w.runs[status.Task]
		if r == nil || r.number != status.Run {
			s.addUnassigned(w, status)
			continue
		}
		r.listed, r.load = true, status.Load
		if status.Percent != r.percent || r.progressedAt == 0 {
			r.progressedAt = now
		}
		r.percent = status.Percent
		if status.Checkpoint != "" {
			r.checkpoint = status.Checkpoint
		}
	}
}

// clearUnassigned forgets the unassigned runs of a worker and frees their
// resources.
func (s *Scheduler[P, H]) clearUnassigned(w *worker) {
	for _, r := range w.unassigned {
		w.used = w.used.Minus(r.reserved)
		s.removeHeld(r.customer, r.resources)
	}
	w.unassigned = nil
}

// addUnassigned records a run that is not assigned to the worker. Its resources
// count as used, and as held by its customer, while the worker lists it.
func (s *Scheduler[P, H]) addUnassigned(w *worker, status RunStatus) {
	key := Stop{Task: status.Task, Run: status.Run}
	if _, ok := w.unassigned[key]; ok {
		return
	}
	r := unassignedRun{}
	if rec := s.State.Jobs[status.Task.Job]; rec != nil && status.Task.Step >= 0 && status.Task.Step < len(rec.Steps) {
		step := &rec.Steps[status.Task.Step]
		r = unassignedRun{customer: s.customer(rec.Customer), resources: step.Resources, reserved: reservation(step)}
	}
	if w.unassigned == nil {
		w.unassigned = map[Stop]unassignedRun{}
	}
	w.unassigned[key] = r
	w.used = w.used.Plus(r.reserved)
	s.addHeld(r.customer, r.resources)
}

// repeatOrders repeats the orders that, according to the heartbeat, did not
// arrive, and orders the stop of the runs that are not assigned to the worker.
// When a worker sends a heartbeat, it has processed or dropped the reply to the
// one before. An earlier start order for a run that the heartbeat does not list
// can therefore no longer take effect. If the run should not start any more, or
// has not been listed for unconfirmedStartMillis, it is ended as lost, but not
// while its end may be among those that the heartbeat omits (moreEnds). On a
// draining worker, the long-running tasks that the heartbeat lists are stopped.
func (s *Scheduler[P, H]) repeatOrders(w *worker, moreEnds bool, now clock.Millis) {
	for stop := range w.unassigned {
		w.heartbeat.stops = append(w.heartbeat.stops, stop)
	}
	for _, id := range sortedTaskIDs(w.runs) {
		r := w.runs[id]
		switch {
		case r.listed && (r.stopping || !r.needed()):
			w.heartbeat.stops = append(w.heartbeat.stops, Stop{Task: id, Run: r.number})
		case !r.listed && moreEnds:
		case !r.listed && now-r.unlistedSince >= unconfirmedStartMillis:
			s.endRun(w, r, jobs.ResultLost, "", now)
			s.avoid(id, w, now)
		case !r.listed && (r.stopping || !r.needed() || w.draining):
			s.endRun(w, r, jobs.ResultLost, "", now)
		case !r.listed:
			w.heartbeat.starts = append(w.heartbeat.starts, s.startOrder(w, r))
		case w.draining:
			s.stopForDrain(w, r)
		}
	}
}

// unconfirmedStartMillis is how long the start order of a run is repeated that
// the worker's heartbeats do not list. A worker that gets no reply sends its next
// heartbeat after a second, so at least two replies in a row were lost by then.
const unconfirmedStartMillis = 2 * clock.Second

// needed reports whether the job still needs the run: the job has not ended,
// and the task was not completed by the end of another task of its gang.
func (r *run) needed() bool {
	t := r.rec.Task(r.task)
	return !r.rec.Status.Final() && t.Phase == jobs.PhaseAssigned && t.Run == r.number
}

// stopForDrain stops a long-running task on a draining worker, so that it
// starts elsewhere before the worker exits. A task that may serve is not stopped
// while as many other tasks of its step are unavailable as may be: a maintenance
// order in flight may end another one.
func (s *Scheduler[P, H]) stopForDrain(w *worker, r *run) {
	if !r.step.LongRunning || r.stopping {
		return
	}
	limit := r.step.MaxUnavailable
	if !r.serving() {
		// The task is one of those that are unavailable.
		limit++
	}
	if r.step.MaxUnavailable > 0 && r.mayServe(s.now, s.settings) && s.unavailable(r.rec, stepKeyOf(r.task)) >= limit {
		return
	}
	s.stopRun(w, r, "the worker is draining")
}

// stopRun orders the stop of a run in the next reply to its worker.
func (s *Scheduler[P, H]) stopRun(w *worker, r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping, r.stopReason = true, reason
	s.noteRun(DecisionStopped, r, w, reason)
	if w.heartbeat != nil {
		s.replyBy(w, s.now)
		w.heartbeat.stops = append(w.heartbeat.stops, Stop{Task: r.task, Run: r.number})
		w.heartbeat.starts = slices.DeleteFunc(w.heartbeat.starts, func(start Start) bool { return start.Task == r.task })
	}
}

// RemoveWorker removes a worker that has exited. An incarnation of 0 stands for an
// unknown one and matches only a worker that is draining, which each worker is before
// it exits: the departure may be a late one of an earlier incarnation. If it does not
// match, the tasks of a worker that has exited start elsewhere after its lease.
func (s *Scheduler[P, H]) RemoveWorker(id jobs.WorkerID, incarnation jobs.Incarnation, now clock.Millis) {
	if w := s.workers[id]; w != nil && (incarnation == w.incarnation || (incarnation == 0 && w.draining)) {
		s.dropWorker(w, "the worker exited", now)
	}
}

// dropWorker removes an incarnation of a worker that can no longer run
// anything, and ends its runs as lost so that the tasks start elsewhere.
func (s *Scheduler[P, H]) dropWorker(w *worker, reason string, now clock.Millis) {
	s.loseRuns(w, reason, now)
	s.removedIncarnations[w.id] = max(s.removedIncarnations[w.id], w.incarnation)
	delete(s.pool(w.pool).available, w.id)
	if s.workers[w.id] == w {
		delete(s.workers, w.id)
		delete(s.pool(w.pool).workers, w.id)
	}
	if s.workerByMachine[w.machine] == w {
		delete(s.workerByMachine, w.machine)
	}
}

// loseRuns ends all runs of a worker as lost.
func (s *Scheduler[P, H]) loseRuns(w *worker, reason string, now clock.Millis) {
	for _, id := range sortedTaskIDs(w.runs) {
		r := w.runs[id]
		r.stopReason = reason
		s.endRun(w, r, jobs.ResultLost, "", now)
	}
	s.clearUnassigned(w)
}

// replyTime returns when a worker's heartbeat must be answered. It is answered
// immediately if a task of the worker may end soon, because the worker can
// report the end only after the reply. The delay is at most speedPeriodMillis
// while best-effort tasks run next to a serving task whose tail latency is above
// fastTailPermille of its target, because their speed may have to change. While the
// leader is overloaded, only replies with orders are not delayed; see pace.
func (s *Scheduler[P, H]) replyTime(w *worker, now clock.Millis) clock.Millis {
	switch {
	case len(w.heartbeat.starts) > 0 || len(w.heartbeat.stops) > 0 || !w.confirmed:
		return now
	case w.heartbeat.urgent:
		return now + s.pace.delay
	}
	return now + max(s.replyDelay(w, now), s.pace.delay)
}

// replyDelay returns by how much the reply to a heartbeat without news is delayed.
func (s *Scheduler[P, H]) replyDelay(w *worker, now clock.Millis) clock.Millis {
	delay := s.settings.MaxReplyDelayMillis
	if worstPermille, bestEffortTasks := w.tailLatency(); bestEffortTasks > 0 && worstPermille > fastTailPermille {
		delay = min(delay, speedPeriodMillis)
	}
	if end, ok := w.predictNextEnd(now); ok {
		delay = min(delay, end-now-2*s.settings.MinRetryMillis)
	}
	if delay < 2*s.settings.MinRetryMillis {
		return 0
	}
	return delay
}

// predictNextEnd predicts when the next task of the worker ends. ok is false if the
// worker runs no finite task.
func (w *worker) predictNextEnd(now clock.Millis) (at clock.Millis, ok bool) {
	for _, r := range w.runs {
		if r.step.LongRunning {
			continue
		}
		if end := r.predictEnd(now); !ok || end < at {
			at, ok = end, true
		}
	}
	return at, ok
}

// predictEnd predicts when a finite run ends. The prediction is based on its
// progress or, if that is unknown, on three quarters of its estimate.
func (r *run) predictEnd(now clock.Millis) clock.Millis {
	if r.percent > 0 && r.percent < 100 {
		return now + (now-r.assignedAt)*clock.Millis(100-r.percent)/clock.Millis(r.percent)
	}
	return max(now, r.assignedAt+r.step.Estimate*3/4)
}
