package sched

import (
	"camphorridge/core/state/clock"
)

// acceptsGroup reports whether a worker accepts new tasks of a group and has the
// label that the group requires.
func (s *Scheduler[P, H]) acceptsGroup(w *worker, g *taskGroup, now clock.Millis) bool {
	if w.draining || w.goingDown || w.vacating || w.quarantinedUntil > now || w.cordonedFor(g, now) {
		return false
	}
	return w.hasLabel(g)
}

// cordonedFor reports whether a cordon keeps the tasks of a group off the worker. It
// yields to a long-running task that no other worker has taken. Such a task may be the
// one that keeps another machine from its maintenance, and it would wait for as long as
// something keeps the cordoned machine up.
func (w *worker) cordonedFor(g *taskGroup, now clock.Millis) bool {
	return w.cordoned && !(g.step.LongRunning && now-g.waitingSince > unplacedWaitMillis)
}
