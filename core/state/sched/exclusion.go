package sched

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// acceptsGroup reports whether a worker accepts new tasks of a group and has the
// label that the group requires.
func (s *Scheduler[P, H]) acceptsGroup(w *worker, g *taskGroup, now clock.Millis) bool {
	if w.draining || w.vacating || w.quarantinedFor(g, now) || s.disruptionExcludes(w, g, now) {
		return false
	}
	return w.hasLabel(g)
}

// quarantinedFor reports whether a quarantine keeps the tasks of a group off the worker.
// It yields to a long-running task that has been away for long and that no other worker
// has taken: the worker may be sound, and one quarantine after the other, or one after
// the lease of a lost worker, would keep the task away for longer than it may be.
func (w *worker) quarantinedFor(g *taskGroup, now clock.Millis) bool {
	return w.quarantinedUntil > now && !(g.step.LongRunning && g.awayForLong(now))
}

// awayForLong reports whether a long-running task of the group has been away for so long
// that it is started at the cost of other work. The time that the lease of a lost worker
// took to end counts, but the task waits in any case until each available worker has
// been considered.
func (g *taskGroup) awayForLong(now clock.Millis) bool {
	return now-g.awaySince >= preemptAfterMillis && now-g.waitingSince > unplacedWaitMillis
}

// updateGoingDown updates goingDown of a machine's worker. It is called whenever a
// downtime or a move of the machine begins or ends, an order for it is answered, or
// another worker joins.
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
// that was ordered for this incarnation of the worker, or whether a maintenance order has
// no answer yet: it may end a worker that joined after it was given.
func (s *Scheduler[P, H]) hasOpenOrder(w *worker) bool {
	if move, ok := s.fleet.moves[w.machine]; ok && move.incarnation == w.incarnation {
		return true
	}
	for _, v := range s.waves {
		if down, ok := v.down[w.machine]; ok && (v.pending[w.machine] || down.orderedFor == w.incarnation) {
			return true
		}
	}
	return false
}

// maySilentlyBeDown reports whether an order for a worker's machine may have ended the
// worker without its being known: the worker has sent no heartbeat for liveMillis while an
// order, such as one of an earlier leader, may have been carried out, or none since such
// an order was confirmed. An order that is carried out late ends a worker that joined
// after it was given.
func (s *Scheduler[P, H]) maySilentlyBeDown(w *worker) bool {
	if s.now-w.heardAt > liveMillis {
		return s.mayBeDown(w.machine)
	}
	for _, v := range s.waves {
		if down, ok := v.down[w.machine]; ok && down.since > w.heardAt {
			return true
		}
	}
	return false
}
