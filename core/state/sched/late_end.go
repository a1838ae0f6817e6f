package sched

import (
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// expiredRun is a run that ended as lost because the lease of its worker ended. The run may
// have completed its task before that, at a time when the worker could not report it.
type expiredRun struct {
	task        jobs.TaskID
	number      int
	worker      jobs.WorkerID
	incarnation jobs.Incarnation
}

// noteExpired remembers the runs of a worker whose lease has ended, without those that can't
// complete a task by themselves.
func (s *Scheduler[P, H]) noteExpired(w *worker) {
	for _, r := range w.runs {
		if !r.step.LongRunning && !r.step.Gang && !r.rec.Status.Final() {
			s.expiredRuns[r.task] = append(s.expiredRuns[r.task], expiredRun{r.task, r.number, w.id, w.incarnation})
		}
	}
}

// acceptLateEnd completes the task of a run that was lost with its worker's lease, if the
// worker reports it as done later. A later run of the task is stopped.
func (s *Scheduler[P, H]) acceptLateEnd(w *worker, e RunEnd, now clock.Millis) {
	expired := expiredRun{e.Task, e.Run, w.id, w.incarnation}
	rec := s.State.Jobs[e.Task.Job]
	if e.Result != jobs.ResultDone || rec == nil || rec.Status.Final() || !slices.Contains(s.expiredRuns[e.Task], expired) {
		return
	}
	state := rec.Task(e.Task)
	if state.Phase == jobs.PhaseDone {
		return
	}
	s.unqueueTask(rec, e.Task)
	later, run := s.assignedRun(e.Task, state)
	s.apply(jobs.Op{Kind: jobs.OpEnd, Task: e.Task, Run: e.Run, Worker: w.id, Incarnation: w.incarnation, Result: jobs.ResultDone, Late: true}, now)
	s.plan.Notes = append(s.plan.Notes, Note{
		Decision: DecisionEnded, Task: e.Task, Run: e.Run, Worker: w.id, Reason: fmt.Sprintf("done, reported after the lease ended; its latest run is number %d", state.Run),
	})
	if run != nil {
		s.stopRun(later, run, "an earlier run has completed the task")
	}
	delete(s.avoided, e.Task)
	delete(s.expiredRuns, e.Task)
	if rec.Status.Final() {
		s.noteJobEnd(rec, now)
		s.stopJobRuns(rec)
		return
	}
	s.queueDependents(rec, e.Task, now)
}

// unqueueTask removes a task from the waiting ones of its group, if it is one of them.
func (s *Scheduler[P, H]) unqueueTask(rec *jobs.Record, t jobs.TaskID) {
	p := s.pool(s.poolOf(rec))
	g := p.groupByStep[stepKeyOf(t)]
	if g == nil {
		return
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(index int) bool { return index == t.Index })
	if g.blocked && len(g.waiting) == 0 {
		p.removeGroup(g)
	}
}
