package sched

import "camphorridge/core/state/jobs"

// PendingJobs returns the number of accepted jobs of a queue of which no task is
// known to have started on a worker. Scheduled jobs are not counted.
func (s *Scheduler[P, H]) PendingJobs(q jobs.QueueName) int { return s.pendingByQueue[q] }

// addPending adds a job to the pending ones, unless it is scheduled, has ended or
// is known to have started. A new leader does not know of runs that are in
// progress or were lost without a checkpoint: their jobs count as pending until a
// worker reports a run.
func (s *Scheduler[P, H]) addPending(rec *jobs.Record) {
	if rec.OccurrenceCount == 0 && !rec.Status.Final() && !hasStarted(rec) {
		s.pending[rec.ID] = rec
		s.pendingByQueue[rec.Queue]++
	}
}

// removePending removes a job from the pending ones if it is one of them.
func (s *Scheduler[P, H]) removePending(id jobs.ID) {
	if rec := s.pending[id]; rec != nil {
		delete(s.pending, id)
		s.pendingByQueue[rec.Queue]--
	}
}

// hasStarted reports whether the state of a job's tasks shows that one of them
// has run.
func hasStarted(rec *jobs.Record) bool {
	for _, state := range rec.Tasks() {
		if state.Phase == jobs.PhaseDone || state.Failures > 0 || state.Checkpoint != "" {
			return true
		}
	}
	return false
}

// removeStarted removes the jobs of the runs in a heartbeat from the pending ones.
// A refused run did not start.
func (s *Scheduler[P, H]) removeStarted(h Heartbeat) {
	for i := range h.Running {
		s.removePending(h.Running[i].Task.Job)
	}
	for i := range h.Ends {
		if h.Ends[i].Result != jobs.ResultRefused {
			s.removePending(h.Ends[i].Task.Job)
		}
	}
}

// assignedPending returns the number of pending jobs of a pool that have been
// assigned to a worker, which has not reported a run of them.
func (s *Scheduler[P, H]) assignedPending(name jobs.PoolName) int {
	n := 0
	for _, rec := range s.pending {
		if rec.EverAssigned && s.poolOf(rec) == name {
			n++
		}
	}
	return n
}
