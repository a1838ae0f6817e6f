package sched

import (
	"slices"

	"camphorridge/core/state/jobs"
)

// checkConsistency checks that the scheduler agrees with its state: each waiting
// task that may start is in exactly one group, that of its pool, each assigned
// task has a run, and the resources that a worker has in use are those of its
// runs. What a customer holds are the full resources of its runs. It guards against
// tasks that never start and against resources that are never freed.
func (s *Scheduler[P, H]) checkConsistency(failf func(format string, args ...any)) {
	queued := 0
	for name, p := range s.pools {
		for _, g := range s.groupsOf(p) {
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
		for _, r := range w.unassigned {
			used = used.Plus(r.reserved)
		}
		if w.used != used {
			failf("worker %s has %+v in use, and its runs need %+v", w.id, w.used, used)
		}
	}
	s.checkHeld(failf)
}

// checkHeld checks what each customer holds against a recount over all workers, and that
// the blocked groups are those that wait for a quota.
func (s *Scheduler[P, H]) checkHeld(failf func(format string, args ...any)) {
	held := map[jobs.CustomerName]jobs.Resources{}
	for _, w := range s.workers {
		for _, r := range w.runs {
			held[r.rec.Customer] = held[r.rec.Customer].Plus(r.step.Resources)
		}
		for _, r := range w.unassigned {
			if r.customer != nil {
				held[r.customer.name] = held[r.customer.name].Plus(r.resources)
			}
		}
	}
	for name, c := range s.customers {
		if c.held != held[name] {
			failf("customer %s holds %+v, and its runs need %+v", name, c.held, held[name])
		}
		blocked := 0
		for p, list := range c.blocked {
			for g := range list.All() {
				blocked++
				if !g.blocked || g.customer != c || p.groupByStep[g.key] != g.taskGroup || !g.live() {
					failf("group %v, %+v, must not be among the blocked ones of customer %s", g.key, g, name)
				}
				if g.withinQuota() && !s.unblocking[c] {
					failf("group %v of customer %s is blocked, and the quota lets it start: %s", g.key, name, c.explain())
				}
			}
		}
		if blocked != c.blockedCount {
			failf("customer %s has %d blocked groups and counts %d", name, blocked, c.blockedCount)
		}
	}
}

// groupsOf returns the groups of a pool, the blocked ones included.
func (s *Scheduler[P, H]) groupsOf(p *pool) []*taskGroup {
	groups := slices.Collect(p.groups.All())
	for _, c := range s.customers {
		if list := c.blocked[p]; list != nil {
			for g := range list.All() {
				groups = append(groups, g.taskGroup)
			}
		}
	}
	return groups
}

// mayStart reports whether a task waits and its occurrence and step are ready.
func (s *Scheduler[P, H]) mayStart(rec *jobs.Record, t jobs.TaskID, state *jobs.TaskState) bool {
	return state.Phase == jobs.PhaseWaiting && !rec.Status.Final() && rec.Ready(t.Occurrence, t.Step) && rec.DueAt(t.Occurrence) <= s.queuedUntil
}
