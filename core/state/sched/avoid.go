package sched

import (
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// otherWorkerWaitMillis is how long a task is kept off a worker that has not
// done it, so that another one gets it. The time is limited because the pool may
// have no other.
const otherWorkerWaitMillis = clock.Second

// avoidedWorker is a worker that a task is kept off until the given time.
type avoidedWorker struct {
	id    jobs.WorkerID
	until clock.Millis
}

// avoid keeps a task off a worker for otherWorkerWaitMillis, unless its job has ended.
func (s *Scheduler[P, H]) avoid(t jobs.TaskID, w *worker, now clock.Millis) {
	if s.State.Jobs[t.Job].Status.Final() {
		return
	}
	kept := slices.DeleteFunc(s.avoided[t], func(a avoidedWorker) bool { return a.id == w.id || a.until <= now })
	s.avoided[t] = append(kept, avoidedWorker{id: w.id, until: now + otherWorkerWaitMillis})
}

// avoids reports whether a task is kept off a worker.
func (s *Scheduler[P, H]) avoids(t jobs.TaskID, w *worker, now clock.Millis) bool {
	return slices.ContainsFunc(s.avoided[t], func(a avoidedWorker) bool { return a.id == w.id && now < a.until })
}

// gangAvoids reports whether any task of a gang is kept off a worker.
func (s *Scheduler[P, H]) gangAvoids(g *taskGroup, w *worker, now clock.Millis) bool {
	for n := range g.step.TaskCount {
		if s.avoids(g.key.taskID(n), w, now) {
			return true
		}
	}
	return false
}

// keepsOff reports whether any waiting task of a group is kept off a worker.
func (s *Scheduler[P, H]) keepsOff(g *taskGroup, now clock.Millis) bool {
	return slices.ContainsFunc(g.waiting, func(index int) bool {
		return slices.ContainsFunc(s.avoided[g.key.taskID(index)], func(a avoidedWorker) bool { return now < a.until })
	})
}
