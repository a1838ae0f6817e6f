package sched

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
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

// updateGoingDown updates goingDown of a machine's worker. It is called whenever a
// downtime or a move of the machine begins or ends.
func (s *Scheduler[P, H]) updateGoingDown(m jobs.MachineID) {
	w := s.workerByMachine[m]
	if w == nil {
		return
	}
	wasGoingDown := w.goingDown
	w.goingDown = s.hasOpenOrder(w)
	if wasGoingDown && !w.goingDown {
		s.dirtyPools[s.pool(w.pool)] = true
	}
}

// hasOpenOrder reports whether a maintenance or a move of the worker's machine is open
// that was ordered for this incarnation of the worker.
func (s *Scheduler[P, H]) hasOpenOrder(w *worker) bool {
	if move, ok := s.fleet.moves[w.machine]; ok && move.incarnation == w.incarnation {
		return true
	}
	for _, v := range s.waves {
		if down, ok := v.down[w.machine]; ok && down.orderedFor == w.incarnation {
			return true
		}
	}
	return false
}
