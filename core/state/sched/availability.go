package sched

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// mayGoDown reports whether the machine of a worker may go down now. It may if
// all tasks except long-running ones have ended or may be ended, and if no step
// of which a task may serve there would exceed its MaxUnavailable. A starting task may
// serve since the worker's latest heartbeat. If a step would exceed it only because
// several of its tasks are on the machine, mayGoDown stops one of them.
func (s *Scheduler[P, H]) mayGoDown(w *worker, finiteMayEnd bool) bool {
	if w == nil {
		return true
	}
	if !finiteMayEnd && w.hasFinite() {
		return false
	}
	rec, k, n := s.blockingStep(w)
	if rec == nil {
		return true
	}
	if most := rec.Steps[k.step].MaxUnavailable; n > most && s.unavailable(rec, k) < most {
		s.stopOneTask(w, k, n)
	}
	return false
}

// blockingStep returns a long-running step that keeps the worker's machine up, because too
// many of its tasks would be unavailable without the n that end with the machine. The job
// is nil if there is none.
func (s *Scheduler[P, H]) blockingStep(w *worker) (rec *jobs.Record, k stepKey, n int) {
	ending := map[stepKey]int{}
	records := map[stepKey]*jobs.Record{}
	for t, r := range w.runs {
		if r.step.LongRunning && r.step.MaxUnavailable > 0 && !r.stopping {
			k := stepKeyOf(t)
			ending[k]++
			if r.mayServe(s.now, s.settings) {
				records[k] = r.rec
			}
		}
	}
	for k, rec := range records {
		n := ending[k]
		most := rec.Steps[k.step].MaxUnavailable
		if !rec.Status.Final() && s.unavailable(rec, k)-s.unavailableOn(w, k)+n > most {
			return rec, k, n
		}
	}
	return nil, stepKey{}, 0
}

// hasFinite reports whether the worker runs a finite task.
func (w *worker) hasFinite() bool {
	for _, r := range w.runs {
		if !r.step.LongRunning {
			return true
		}
	}
	return false
}

// stopOneTask stops one of the n tasks of a long-running step on a worker, so
// that it starts on another worker before the machine goes down.
func (s *Scheduler[P, H]) stopOneTask(w *worker, k stepKey, n int) {
	for _, id := range sortedTaskIDs(w.runs) {
		r := w.runs[id]
		if stepKeyOf(id) == k && r.listed && !r.stopping {
			s.stopRun(w, r, fmt.Sprintf("%d tasks of its step are on a machine to be maintained, too many to end at the same time", n))
			return
		}
	}
}

// serving reports whether a long-running task serves its users.
func (r *run) serving() bool { return r.listed && r.percent >= 100 && !r.stopping }

// mayServe reports whether a long-running task serves its users or may have begun to
// since the latest heartbeat of its worker, which is not so if it is stalled.
func (r *run) mayServe(now clock.Millis, settings Settings) bool {
	return !r.stopping && (r.serving() || !r.listed || !r.stalled(now, settings))
}

// unavailableOn returns how many of the tasks that unavailable counts are on a worker and
// are not being stopped.
func (s *Scheduler[P, H]) unavailableOn(w *worker, k stepKey) int {
	n := 0
	for t, r := range w.runs {
		if stepKeyOf(t) == k && !r.stopping && (w.goingDown || s.maySilentlyBeDown(w) || !r.serving()) {
			n++
		}
	}
	return n
}

// unavailable returns the number of tasks of a long-running step that are not
// serving.
func (s *Scheduler[P, H]) unavailable(rec *jobs.Record, k stepKey) int {
	n := 0
	for i, t := range rec.Occurrences[k.occurrence].Steps[k.step].Tasks {
		w := s.workers[t.Worker]
		if t.Phase != jobs.PhaseAssigned || w == nil || w.goingDown || s.maySilentlyBeDown(w) {
			n++
			continue
		}
		r := w.runs[k.taskID(i)]
		if r == nil || !r.serving() {
			n++
		}
	}
	return n
}
