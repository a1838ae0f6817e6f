package sched

import (
	"cmp"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// gangReserveDelayMillis is how long a gang waits before resources that become
// free are reserved for it.
const gangReserveDelayMillis clock.Millis = 200

// startGang starts all tasks of a gang at once if all of them are waiting and
// can be placed. It returns false only if they are waiting and cannot be
// placed.
func (s *Scheduler[P, H]) startGang(p *pool, g *taskGroup, now clock.Millis) bool {
	if len(g.waiting) < g.step.TaskCount {
		return true
	}
	workers := s.chooseGangWorkers(p, g, now)
	if workers == nil {
		return false
	}
	// The tasks of a gang have all been started equally often, so their next
	// run numbers are equal.
	for n, w := range workers {
		s.startTask(w, g, g.key.taskID(n), now)
	}
	g.waiting = g.waiting[:0]
	return true
}

// chooseGangWorkers returns an available worker for each task of a gang, or nil
// if not all tasks can be placed or the gang should wait. A gang with SameRack
// works more slowly on several racks. If a rack is large enough for it but has
// too few free resources, the gang waits for at most the estimate of one of its
// tasks, and not for longer than maxExcludedWaitMillis while the pool is mostly idle.
func (s *Scheduler[P, H]) chooseGangWorkers(p *pool, g *taskGroup, now clock.Millis) []*worker {
	if !g.step.SameRack {
		return s.chooseFromRack(p, g, "", now)
	}
	for _, rack := range racks(p.available) {
		if workers := s.chooseFromRack(p, g, rack, now); workers != nil {
			return workers
		}
	}
	waited := now - g.waitingSince
	mayWait := waited < g.step.Estimate && (waited <= maxExcludedWaitMillis || !s.isMostlyIdle(p, now))
	if mayWait {
		if _, inBestRack := s.gangCapacity(p, g, now); inBestRack >= g.step.TaskCount {
			return nil
		}
	}
	return s.chooseFromRack(p, g, "", now)
}

// racks returns the distinct racks of the workers in sorted order.
func racks(workers map[jobs.WorkerID]*worker) []string {
	seen := map[string]bool{}
	for _, w := range workers {
		seen[w.rack] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// chooseFromRack returns an available worker of a rack, or of any rack if rack
// is empty, for each task of a gang; nil if not all tasks can be placed.
// Workers are preferred in the same order as for single tasks.
func (s *Scheduler[P, H]) chooseFromRack(p *pool, g *taskGroup, rack string, now clock.Millis) []*worker {
	byScore := slices.SortedFunc(maps.Values(p.available), func(x, y *worker) int {
		if scoreX, scoreY := s.scoreWorker(x, g), s.scoreWorker(y, g); scoreX.better(scoreY) {
			return -1
		}
		return 1
	})
	var chosen []*worker
	for _, w := range byScore {
		if (rack != "" && w.rack != rack) || !s.canRun(w, g, now) || s.gangAvoids(g, w, now) {
			continue
		}
		for range min(w.fitCount(p.free(w), g), g.step.TaskCount-len(chosen)) {
			chosen = append(chosen, w)
		}
	}
	if len(chosen) < g.step.TaskCount {
		return nil
	}
	return chosen
}

// fitCount returns how many tasks of the group fit into the given resources of
// the worker, at most TaskCount and, unless it is 0, at most MaxPerWorker.
func (w *worker) fitCount(free jobs.Resources, g *taskGroup) int {
	reserved, n := g.reserved, 0
	limit := min(cmp.Or(g.step.MaxPerWorker, g.step.TaskCount), g.step.TaskCount)
	for n < limit && reserved.FitsIn(free) {
		free = free.Minus(reserved)
		n++
	}
	return n
}

// gangCapacity returns how many tasks of the group can run once all other tasks
// except long-running ones have ended, without what is reserved for tasks of higher
// rank: inPool on all workers of the pool, and inBestRack on those of the rack that
// can run the most.
func (s *Scheduler[P, H]) gangCapacity(p *pool, g *taskGroup, now clock.Millis) (inPool, inBestRack int) {
	byRack := map[string]int{}
	for w := range s.liveWorkers(p, now) {
		if !s.acceptsGroup(w, g, now) || !s.adviceAllows(w, g, now) {
			continue
		}
		n := w.fitCount(w.capacityForFiniteTasks().Minus(p.reserved[w]), g)
		inPool += n
		byRack[w.rack] += n
		inBestRack = max(inBestRack, byRack[w.rack])
	}
	return inPool, inBestRack
}

// capacityForFiniteTasks returns the part of the worker's capacity that its
// long-running tasks do not reserve.
func (w *worker) capacityForFiniteTasks() jobs.Resources {
	free := w.capacity
	for _, r := range w.runs {
		if r.step.LongRunning {
			free = free.Minus(reservation(r.step))
		}
	}
	return free
}

// reservesCapacity reports whether the free resources of the pool are reserved
// for a gang, so that lower-ranked work must wait. Without this, a gang of many
// tasks would never find enough free resources at once. Nothing is reserved for
// a gang that is late, that has waited for less than gangReserveDelayMillis,
// that does not fit in the pool or that waits for advice.
func (s *Scheduler[P, H]) reservesCapacity(p *pool, g *taskGroup, now clock.Millis) bool {
	if g.rank.isLate() || now-g.waitingSince < gangReserveDelayMillis {
		return false
	}
	inPool, _ := s.gangCapacity(p, g, now)
	return inPool >= g.step.TaskCount
}

// unqueueGang removes the waiting tasks of a gang from its group once the gang is
// done. It has no effect if t is not part of a gang.
func (s *Scheduler[P, H]) unqueueGang(rec *jobs.Record, t jobs.TaskID) {
	if g := s.pool(s.poolOf(rec)).groupByStep[stepKeyOf(t)]; g != nil && g.step.Gang {
		g.waiting = g.waiting[:0]
		if g.blocked {
			s.pool(s.poolOf(rec)).removeGroup(g)
		}
	}
}

// stopGang stops the other tasks of a gang after task t has ended before the
// work of the gang was done. They cannot work without it, and all tasks must
// start again together. stopGang has no effect if t is not part of a gang.
func (s *Scheduler[P, H]) stopGang(rec *jobs.Record, t jobs.TaskID) {
	if !rec.Steps[t.Step].Gang {
		return
	}
	state := &rec.Occurrences[t.Occurrence].Steps[t.Step]
	for n := range state.Tasks {
		id := stepKeyOf(t).taskID(n)
		if w, other := s.assignedRun(id, &state.Tasks[n]); other != nil {
			s.stopRun(w, other, "another task of its gang ended")
		}
	}
}

// stopBrokenGangs stops the remaining tasks of gangs that lost a task in an
// earlier term.
func (s *Scheduler[P, H]) stopBrokenGangs(rec *jobs.Record) {
	for id, state := range rec.Tasks() {
		if state.Phase == jobs.PhaseWaiting && state.Run > 0 {
			s.stopGang(rec, id)
		}
	}
}
