package sched

import (
	"slices"

	"camphorridge/core/state/jobs"
)

// checkConsistency checks that the scheduler agrees with its state: each waiting
// task that may start is in exactly one group, that of its pool, each assigned
// task has a run, and the resources that a worker has in use are those of its
// runs. It guards against tasks that never start and against resources that are
// never freed.
func (s *Scheduler[P, H]) checkConsistency(failf func(format string, args ...any)) {
	queued := 0
	for name, p := range s.pools {
		for g := range p.groups.All() {
			if g.rec.Status.Final() {
				continue
			}
			if len(g.waiting) > 0 && (p.groupByStep[g.key] != g || s.poolOf(g.rec) != name) {
				failf("the group of step %v in pool %s is not that of the step", g.key, name)
			}
			for n, index := range g.waiting {
				t := g.key.taskID(index)
				if state := g.rec.Task(t); !s.mayStart(g.rec, t, state) || slices.Contains(g.waiting[:n], index) {
					failf("task %v in phase %d is queued", t, state.Phase)
				}
				queued++
			}
		}
	}
	waiting := 0
	for _, rec := range s.State.Jobs {
		for t, state := range rec.Tasks() {
			if s.mayStart(rec, t, state) {
				waiting++
			}
			if w, r := s.assignedRun(t, state); state.Phase == jobs.PhaseAssigned && (r == nil || r.number != state.Run || w.incarnation < state.Incarnation) {
				failf("task %v is assigned to %s, which has no run of it", t, state.Worker)
			}
		}
	}
	if queued != waiting {
		failf("%d tasks are queued, but %d wait", queued, waiting)
	}
	for _, w := range s.workers {
		used := jobs.Resources{}
		for _, r := range w.runs {
			used = used.Plus(reservation(r.step))
		}
		for _, resources := range w.unassigned {
			used = used.Plus(resources)
		}
		if w.used != used {
			failf("worker %s has %+v in use, and its runs need %+v", w.id, w.used, used)
		}
	}
}

// mayStart reports whether a task waits and its occurrence and step are ready.
func (s *Scheduler[P, H]) mayStart(rec *jobs.Record, t jobs.TaskID, state *jobs.TaskState) bool {
	return state.Phase == jobs.PhaseWaiting && !rec.Status.Final() && rec.Ready(t.Occurrence, t.Step) && rec.DueAt(t.Occurrence) <= s.queuedUntil
}
