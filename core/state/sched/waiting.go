package sched

import (
	"fmt"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Timing of the notes about long-running tasks that do not run.
const (
	// waitingNotePeriodMillis is the interval between two such notes about a step.
	waitingNotePeriodMillis = 2 * clock.Second
	// longWaitMillis is how long a task must not have run before it is noted. A
	// task whose worker was lost starts again within this time if a worker has
	// enough free resources.
	longWaitMillis = 2 * clock.Second
)

// workerCheck is a requirement of a task that a worker must meet. detail names it
// in logs.
type workerCheck struct {
	reason WaitReason
	detail string
	meets  func(*worker) bool
}

// workerChecks returns the requirements of the tasks of a group, in the order in
// which they are checked.
func (s *Scheduler[P, H]) workerChecks(g *taskGroup, now clock.Millis) []workerCheck {
	reserved := g.reserved
	free := func(w *worker) jobs.Resources { return w.capacity.Minus(w.used) }
	if !g.step.LongRunning {
		free = s.pool(s.poolOf(g.rec)).free
	}
	return []workerCheck{
		{WaitNoWorkers, "live", func(*worker) bool { return true }},
		{WaitLabel, "label", func(w *worker) bool { return w.hasLabel(g) }},
		{WaitSize, "size", func(w *worker) bool { return reserved.FitsIn(w.capacity) }},
		{WaitLeaving, "draining", func(w *worker) bool { return !w.draining }},
		{WaitLeaving, "going-down", func(w *worker) bool { return !w.goingDown || !s.disruptionExcludes(w, g, now) }},
		{WaitLeaving, "cordoned", func(w *worker) bool { return !w.cordoned || !s.disruptionExcludes(w, g, now) }},
		{WaitLeaving, "vacating", func(w *worker) bool { return !w.vacating }},
		{WaitQuarantine, "quarantined", func(w *worker) bool { return !w.quarantinedFor(g, now) }},
		{WaitAdvice, "advice", func(w *worker) bool { return s.adviceAllows(w, g, now) }},
		{WaitPerWorker, "per-worker", func(w *worker) bool { return g.step.MaxPerWorker == 0 || w.taskCount(g.key) < g.step.MaxPerWorker }},
		{WaitCapacity, "room", func(w *worker) bool { return reserved.FitsIn(free(w)) }},
	}
}

// filterResult is the result of a check: how many of the workers that met all
// earlier checks it excluded, and how many remain.
type filterResult struct {
	reason    WaitReason
	detail    string
	excluded  int
	remaining int
}

// filteredWorkers are the results of the checks of a group's requirements. live is
// the number of live workers of the pool, results holds the checks that excluded
// any, and last is the latest check that was made.
type filteredWorkers struct {
	live    int
	results []filterResult
	last    filterResult
}

// filterWorkers checks the live workers of a group's pool against each requirement
// in turn, until none remains.
func (s *Scheduler[P, H]) filterWorkers(g *taskGroup, now clock.Millis) filteredWorkers {
	var remaining []*worker
	for w := range s.liveWorkers(s.pool(s.poolOf(g.rec)), now) {
		remaining = append(remaining, w)
	}
	filtered := filteredWorkers{live: len(remaining)}
	for _, check := range s.workerChecks(g, now) {
		var kept []*worker
		for _, w := range remaining {
			if check.meets(w) {
				kept = append(kept, w)
			}
		}
		filtered.last = filterResult{reason: check.reason, detail: check.detail, excluded: len(remaining) - len(kept), remaining: len(kept)}
		if filtered.last.excluded > 0 {
			filtered.results = append(filtered.results, filtered.last)
		}
		remaining = kept
		if len(remaining) == 0 {
			break
		}
	}
	return filtered
}

// String describes the results for logs.
func (f filteredWorkers) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d live workers", f.live)
	for _, r := range f.results {
		fmt.Fprintf(&b, ", %d excluded by %s", r.excluded, r.detail)
	}
	fmt.Fprintf(&b, ", %d remain", f.last.remaining)
	return b.String()
}

// noteWaiting adds notes on the long-running tasks that have not run for
// longWaitMillis: those that wait for a worker, with what excludes the workers, and those that
// are assigned to a worker that does not list them.
func (s *Scheduler[P, H]) noteWaiting(now clock.Millis) {
	if now < s.waitingNotedAt+waitingNotePeriodMillis {
		return
	}
	s.waitingNotedAt = now
	for _, p := range s.pools {
		for g, tasks := range s.startableGroups(p) {
			if !g.step.LongRunning || now-g.waitingSince < longWaitMillis {
				continue
			}
			reserved := g.reserved
			s.noteJob(DecisionTaskWaiting, g.rec, fmt.Sprintf("%d tasks of step %d have waited for %d ms for %d milli-cores and %d MiB each: %s",
				tasks, g.key.step, now-g.waitingSince, reserved.MilliCores, reserved.MemoryMiB, s.filterWorkers(g, now)), false)
		}
	}
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.step.LongRunning && !r.listed && now-r.assignedAt >= longWaitMillis {
				s.noteRun(DecisionRunNotListed, r, w, fmt.Sprintf("assigned %d ms ago; %s", now-r.assignedAt, w.lastHeard(now)))
			}
		}
	}
}

// lastHeard describes for logs when the worker was last heard.
func (w *worker) lastHeard(now clock.Millis) string {
	if w.heardAt == 0 {
		return "the worker has not been heard in this term"
	}
	return fmt.Sprintf("the worker was last heard %d ms ago", now-w.heardAt)
}
