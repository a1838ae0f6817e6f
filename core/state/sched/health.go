package sched

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/place"
)

// updateHealth updates the worker's failure score with the result of a run,
// which is compared to the results of the queue's tasks on other workers. It
// quarantines the worker when the score reaches a threshold and
// quarantineFailedJobs failures in a row have counted. A failure does not count
// if the last one that counted on the worker was of the same job, because a job
// that cannot succeed fails on every worker.
func (s *Scheduler[P, H]) updateHealth(w *worker, r *run, failed bool, now clock.Millis) {
	p := s.pool(w.pool)
	history := p.history[r.rec.Queue]
	if history == nil {
		history = place.NewClassHistory()
		p.history[r.rec.Queue] = history
	}
	if failed && w.lastFailedJob == r.task.Job {
		return
	}
	id := place.WorkerID(w.id)
	w.failureScore = max(0, w.failureScore+s.healthPolicy.Score(history.Evidence(id, failed)))
	history.Add(id, failed)
	if !failed {
		w.failedJobsInRow = 0
		return
	}
	w.failedJobsInRow++
	w.lastFailedJob = r.task.Job
	if w.failureScore >= s.healthPolicy.Threshold() && w.failedJobsInRow >= quarantineFailedJobs && w.quarantinedUntil <= now {
		w.quarantinedUntil = now + s.settings.QuarantineMillis
		w.failureScore = s.healthPolicy.Threshold() / 2
		s.noteRun(DecisionQuarantined, r, w, "its tasks fail although they succeed on other workers")
	}
}

// quarantineFailedJobs is the number of failures that must count on a worker,
// without a successful run in between, before it is quarantined. Two successive
// ones that count are of different jobs.
const quarantineFailedJobs = 2

// stopStalledRuns stops the worker's tasks that make no progress, so that they
// start elsewhere, and quarantines the worker if there are any.
func (s *Scheduler[P, H]) stopStalledRuns(w *worker, now clock.Millis) {
	for _, r := range w.runs {
		// A best-effort task may stall because other tasks use all processor
		// time.
		if r.step.LongRunning || r.step.BestEffort || r.stopping || !r.listed || r.percent >= 100 {
			continue
		}
		if now-r.progressedAt > s.settings.StallMillis+r.step.Estimate/4 {
			s.stopRun(w, r, "it makes no progress")
			w.failureScore = max(w.failureScore, s.healthPolicy.Threshold()/2)
			w.quarantinedUntil = max(w.quarantinedUntil, now+s.settings.QuarantineMillis)
		}
	}
}
