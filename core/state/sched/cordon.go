package sched

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Limits of the cordons of machines that come next in a wave.
const (
	// maxBlockedMillis is how long a machine stays cordoned although ending its finite
	// tasks would not let it go down. A long-running task that is unavailable for a
	// moment mostly serves again within that time.
	maxBlockedMillis = 2 * clock.Second
	// refusalMemoryMillis is how long after the pause that follows a refused order the
	// platform is assumed to refuse the next one as well.
	refusalMemoryMillis = clock.Second
	// maxExcludedWaitMillis is how long finite tasks wait, in a pool that is mostly idle,
	// for a worker whose machine is not to go down, or for room on one rack.
	maxExcludedWaitMillis = 1500 * clock.Millis(1)
)

// blockage is a time during which a machine of a wave can't go down, whether or not its
// finite tasks end.
type blockage struct {
	// since is its start, and seenAt the latest time at which it was found.
	since, seenAt clock.Millis
}

// mayCordon reports whether the worker's machine may be kept free of new finite tasks
// because it comes next in a wave. It may not be for long while something else keeps it
// up, such as a long-running task or the platform: the finite tasks would wait in vain.
func (s *Scheduler[P, H]) mayCordon(v *wave, m jobs.MachineID, w *worker, now clock.Millis) bool {
	if !s.isBlocked(v, m, w, now) {
		delete(v.blockages, m)
		return true
	}
	b, ok := v.blockages[m]
	if !ok || now-b.seenAt > maxBlockedMillis {
		b.since = now
	}
	b.seenAt = now
	v.blockages[m] = b
	return now-b.since < maxBlockedMillis
}

// isBlocked reports whether a machine can't go down, whether or not its finite tasks end:
// a step lacks too many tasks, or the platform has just refused an order for it.
func (s *Scheduler[P, H]) isBlocked(v *wave, m jobs.MachineID, w *worker, now clock.Millis) bool {
	if at, refused := v.nextOrder[m]; refused && now < at+refusalMemoryMillis {
		return true
	}
	if w == nil {
		return false
	}
	rec, _, _ := s.blockingStep(w)
	return rec != nil
}

// disruptionExcludes reports whether a maintenance or a move of the worker's machine that
// is open, or a maintenance that comes next, keeps the tasks of a group off the worker.
func (s *Scheduler[P, H]) disruptionExcludes(w *worker, g *taskGroup, now clock.Millis) bool {
	if !w.goingDown && !w.cordoned {
		return false
	}
	if !g.step.LongRunning {
		return !s.waitsInIdlePool(w, g, now)
	}
	return w.goingDown || w.cordonedFor(g, now)
}

// cordonedFor reports whether a cordon keeps a long-running task of a group off the
// worker. It yields to a task that no other worker has taken. Such a task may be the
// one that keeps another machine from its maintenance, and it would wait for as long as
// something keeps the cordoned machine up.
func (w *worker) cordonedFor(g *taskGroup, now clock.Millis) bool {
	return w.cordoned && now-g.waitingSince <= unplacedWaitMillis
}

// waitsInIdlePool reports whether finite tasks of a group have waited for long although
// the worker's pool is mostly idle. They then run on a worker whose machine is to go down:
// what delays it may last for longer than they take.
func (s *Scheduler[P, H]) waitsInIdlePool(w *worker, g *taskGroup, now clock.Millis) bool {
	return now-g.waitingSince > maxExcludedWaitMillis && s.isMostlyIdle(s.pool(w.pool), now)
}

// isMostlyIdle reports whether less than half of the processors of a pool's live workers
// is in use.
func (s *Scheduler[P, H]) isMostlyIdle(p *pool, now clock.Millis) bool {
	if p.idleCheckedAt != now {
		capacity, used := 0, 0
		for w := range s.liveWorkers(p, now) {
			capacity += w.capacity.MilliCores
			used += w.used.MilliCores
		}
		p.mostlyIdle, p.idleCheckedAt = 2*used < capacity, now
	}
	return p.mostlyIdle
}

// updateCordons cordons the workers of the machines that come next in a wave that is
// not completed, and ends the cordons of all others. An ordered machine is not cordoned:
// its worker counts as going down, unless it has returned from the maintenance.
func (s *Scheduler[P, H]) updateCordons() {
	cordons := map[jobs.MachineID]bool{}
	for _, v := range s.waves {
		if v.isComplete() {
			continue
		}
		for m, isNext := range v.next {
			if _, ordered := v.down[m]; isNext && !ordered && !v.Started[m] {
				cordons[m] = true
			}
		}
	}
	for m := range s.cordons {
		if w := s.workerByMachine[m]; w != nil && !cordons[m] {
			w.cordoned = false
			s.dirtyPools[s.pool(w.pool)] = true
		}
	}
	for m := range cordons {
		if w := s.workerByMachine[m]; w != nil {
			w.cordoned = true
		}
	}
	s.cordons = cordons
}
