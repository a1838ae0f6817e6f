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
	queued := map[jobs.TaskID][]jobs.PoolName{}
	for name, p := range s.pools {
		for _, g := range p.groups {
			for _, index := range g.waiting {
				queued[g.key.taskID(index)] = append(queued[g.key.taskID(index)], name)
			}
			if p.groupByStep[g.key] != g {
				failf("a group of step %v is not that of the step in pool %s", g.key, name)
			}
		}
	}
	for _, rec := range s.State.Jobs {
		for t, state := range rec.Tasks() {
			want := []jobs.PoolName{}
			if !rec.Status.Final() && state.Phase == jobs.PhaseWaiting && rec.Ready(t.Occurrence, t.Step) && rec.DueAt(t.Occurrence) <= s.queuedUntil {
				want = append(want, s.poolOf(rec))
			}
			if !rec.Status.Final() && !slices.Equal(queued[t], want) {
				failf("task %v in phase %d is queued in %v and not in %v", t, state.Phase, queued[t], want)
			}
			if w, r := s.assignedRun(t, state); state.Phase == jobs.PhaseAssigned && (r == nil || r.number != state.Run || w.incarnation < state.Incarnation) {
				failf("task %v is assigned to %s, which has no run of it", t, state.Worker)
			}
		}
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
