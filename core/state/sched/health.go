package sched

import (
	"cmp"
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// quarantineFailedJobs is the number of jobs that must have failed on a worker,
// without a successful run in between, before it is quarantined.
const quarantineFailedJobs = 2

// jobFailures is what the failures of a job that has not ended say about the job
// and about its workers.
type jobFailures struct {
	// failedOn holds, for each task that failed or stalled and was not completed
	// since, the worker on which it first did.
	failedOn map[jobs.TaskID]jobs.WorkerID
	// scores holds what the job's failures add to the scores of workers, unless the
	// job is faulty. A job counts once against each worker.
	scores map[*worker]float64
	// faulty is set once a task has failed or stalled on two workers, and cleared if that
	// task, faultyTask, succeeds later.
	faulty     bool
	faultyTask jobs.TaskID
}

// updateHealth updates the worker's failure score with the result of a run,
// which is compared to the results of the queue's tasks on other workers. It
// quarantines the worker when the score reaches a threshold and
// quarantineFailedJobs jobs have failed on it in a row. Runs of long-running tasks
// do not count: they may fail at any time, and none succeeds.
func (s *Scheduler[P, H]) updateHealth(w *worker, r *run, failed bool, now clock.Millis) {
	if r.step.LongRunning {
		return
	}
	p := s.pool(w.pool)
	history := p.history[r.rec.Queue]
	if history == nil {
		history = place.NewClassHistory()
		p.history[r.rec.Queue] = history
	}
	id := place.WorkerID(w.id)
	score := s.healthPolicy.Score(history.Evidence(id, failed))
	history.Add(id, failed)
	if !failed {
		w.failureScore = max(0, w.failureScore+score)
		clear(w.failedJobs)
		s.taskSucceeded(r)
		return
	}
	if s.blameWorker(w, r, score, now) && w.failureScore >= s.healthPolicy.Threshold() && len(w.failedJobs) >= quarantineFailedJobs {
		s.quarantine(w, r, fmt.Sprintf("%d jobs in a row failed on it and are not known to fail elsewhere; score %.1f", len(w.failedJobs), w.failureScore), now)
	}
}

// blameWorker adds the score of a failed or stalled run to that of its worker. It
// returns false if that does not count: because the job has counted against the
// worker already, or because the job itself is faulty. A job is faulty if a task of
// it fails or stalls on two workers; what it has added to the scores of workers is
// then withdrawn.
func (s *Scheduler[P, H]) blameWorker(w *worker, r *run, score float64, now clock.Millis) bool {
	f := s.failures[r.task.Job]
	if f == nil {
		f = &jobFailures{failedOn: map[jobs.TaskID]jobs.WorkerID{}, scores: map[*worker]float64{}}
		s.failures[r.task.Job] = f
	}
	first, failedBefore := f.failedOn[r.task]
	if !failedBefore {
		f.failedOn[r.task] = w.id
	} else if first != w.id && !f.faulty {
		f.faulty, f.faultyTask = true, r.task
		s.withdrawBlame(r.task.Job, f, now)
	}
	if _, counted := f.scores[w]; counted {
		return false
	}
	f.scores[w] = score
	if f.faulty {
		return false
	}
	w.failureScore += score
	w.failedJobs[r.task.Job] = true
	return true
}

// taskSucceeded forgets the failures of a task. What they have added to the scores
// of workers remains. If they made the job count as faulty, it no longer does, and
// what was withdrawn because of them is added again.
func (s *Scheduler[P, H]) taskSucceeded(r *run) {
	f := s.failures[r.task.Job]
	if f == nil {
		return
	}
	delete(f.failedOn, r.task)
	if !f.faulty || f.faultyTask != r.task {
		return
	}
	f.faulty = false
	for w, score := range f.scores {
		w.failureScore += score
		w.failedJobs[r.task.Job] = true
	}
}

// withdrawBlame subtracts what a faulty job has added to the scores of workers,
// and ends the quarantine of those whose score is then below the threshold.
func (s *Scheduler[P, H]) withdrawBlame(job jobs.ID, f *jobFailures, now clock.Millis) {
	for w, score := range f.scores {
		w.failureScore = max(0, w.failureScore-score)
		delete(w.failedJobs, job)
		if w.quarantinedUntil > now && w.failureScore < s.healthPolicy.Threshold() {
			s.release(w)
		}
	}
}

// quarantine keeps new tasks off a worker for a time. If MaxQuarantinedPercent of
// the pool's workers are quarantined already, it does so only if the worker has a
// higher score than one of these, whose quarantine then ends. The quarantine of
// the only usable worker of a pool is limited to the time in which another machine
// can be moved to the pool.
func (s *Scheduler[P, H]) quarantine(w *worker, r *run, reason string, now clock.Millis) {
	if w.quarantinedUntil > now {
		return
	}
	usable, quarantined := s.countQuarantined(s.pool(w.pool), now)
	if len(quarantined) >= max(1, usable*s.settings.MaxQuarantinedPercent/100) {
		weakest := slices.MinFunc(quarantined, compareScores)
		if w.failureScore <= weakest.failureScore {
			return
		}
		s.endQuarantine(weakest)
	}
	duration := s.settings.QuarantineMillis
	if usable <= 1 {
		duration = min(duration, s.settings.MoveMillis)
	}
	w.quarantinedUntil = now + duration
	s.noteRun(DecisionQuarantined, r, w, reason)
}

// countQuarantined returns the number of workers of a pool that get tasks while
// they are not quarantined, and those of them that are quarantined.
func (s *Scheduler[P, H]) countQuarantined(p *pool, now clock.Millis) (usable int, quarantined []*worker) {
	for w := range s.liveWorkers(p, now) {
		if w.draining || w.cordoned || w.goingDown {
			continue
		}
		usable++
		if w.quarantinedUntil > now {
			quarantined = append(quarantined, w)
		}
	}
	return usable, quarantined
}

// compareScores orders workers by their failure score, then by ID.
func compareScores(a, b *worker) int {
	return cmp.Or(cmp.Compare(a.failureScore, b.failureScore), cmp.Compare(a.id, b.id))
}

// endQuarantine ends a worker's quarantine. Half of the threshold remains as
// its score, so that a worker that is still faulty is recognized sooner, but as
// many jobs as for the first quarantine must fail on it.
func (s *Scheduler[P, H]) endQuarantine(w *worker) {
	s.release(w)
	w.failureScore = min(w.failureScore, s.healthPolicy.Threshold()/2)
	clear(w.failedJobs)
}

// release lets a quarantined worker get tasks again.
func (s *Scheduler[P, H]) release(w *worker) {
	w.quarantinedUntil = 0
	s.dirtyPools[s.pool(w.pool)] = true
}

// stalled reports whether the run has made no progress for longer than it may.
func (r *run) stalled(now clock.Millis, settings Settings) bool {
	return now-r.progressedAt > settings.StallMillis+r.step.Estimate/4
}

// stopStalledRuns stops the worker's tasks that make no progress, so that they
// start elsewhere. It quarantines the worker at once, because each stall takes
// long to notice, unless the job is known to fail or stall elsewhere.
func (s *Scheduler[P, H]) stopStalledRuns(w *worker, now clock.Millis) {
	for _, id := range sortedTaskIDs(w.runs) {
		r := w.runs[id]
		// A best-effort task may stall because other tasks use all processor
		// time.
		if r.step.LongRunning || r.step.BestEffort || r.stopping || !r.listed || !r.needed() || r.percent >= 100 {
			continue
		}
		if r.stalled(now, s.settings) {
			s.stopRun(w, r, "it makes no progress")
			if s.blameWorker(w, r, s.healthPolicy.Threshold(), now) {
				s.quarantine(w, r, "a task on it makes no progress and is not known to fail elsewhere", now)
			}
		}
	}
}
