package sched

import (
	"cmp"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// roomMillis is how long a gang waits for its room to come about by itself.
// After that smaller work no longer takes the room that becomes free.
const roomMillis clock.Millis = 200

// startGang starts all tasks of a gang at once, and reports whether it could or
// none of them may start now.
func (b *Scheduler[O, J]) startGang(p *pool, g *group, now clock.Millis) bool {
	if len(g.waiting) < g.step.TaskCount {
		return true
	}
	workers := b.seats(p, g, now)
	if workers == nil {
		return false
	}
	// All of them were started as often, so that they share the run number.
	for n, w := range workers {
		b.start(w, g, g.key.task(n), now)
	}
	g.waiting = g.waiting[:0]
	return true
}

// seats picks a present worker for each task of a gang; nil when there is not
// room for all of them. A gang for one rack waits for it for as long as one of
// its tasks takes, because it works more slowly on several.
func (b *Scheduler[O, J]) seats(p *pool, g *group, now clock.Millis) []*worker {
	if !g.step.SameRack {
		return b.gather(p, g, "", now)
	}
	for _, rack := range racks(p.present) {
		if workers := b.gather(p, g, rack, now); workers != nil {
			return workers
		}
	}
	if _, rack := b.capacity(p, g, now); rack >= g.step.TaskCount && now-g.since < g.step.Estimate {
		return nil
	}
	return b.gather(p, g, "", now)
}

func racks(workers map[jobs.WorkerID]*worker) []string {
	seen := map[string]bool{}
	for _, w := range workers {
		seen[w.rack] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// gather picks present workers of a rack, or of any if rack is empty. Workers on
// the rack of the data go first and then fuller ones, as for single tasks.
func (b *Scheduler[O, J]) gather(p *pool, g *group, rack string, now clock.Millis) []*worker {
	failed := b.failedWorkers(g)
	order := slices.SortedFunc(maps.Values(p.present), func(x, y *worker) int {
		if s, t := b.score(x, g), b.score(y, g); s.better(t) {
			return -1
		}
		return 1
	})
	var chosen []*worker
	for _, w := range order {
		if (rack != "" && w.rack != rack) || (failed[w.id] && now-g.since < elsewhereMillis) || !b.may(w, g, now) {
			continue
		}
		for range min(w.seats(w.room.Minus(w.used), g), g.step.TaskCount-len(chosen)) {
			chosen = append(chosen, w)
		}
	}
	if len(chosen) < g.step.TaskCount {
		return nil
	}
	return chosen
}

// failedWorkers holds the workers on which tasks of the group failed last.
func (b *Scheduler[O, J]) failedWorkers(g *group) map[jobs.WorkerID]bool {
	failed := map[jobs.WorkerID]bool{}
	for n := range g.step.TaskCount {
		if id, ok := b.failedOn[g.key.task(n)]; ok {
			failed[id] = true
		}
	}
	return failed
}

// seats counts the tasks of a group that fit into room on the worker.
func (w *worker) seats(room jobs.Resources, g *group) int {
	need, n := counted(g.step), 0
	most := cmp.Or(g.step.MaxPerWorker, g.step.TaskCount)
	for n < most && need.Fits(room) {
		room = room.Minus(need)
		n++
	}
	return n
}

// capacity counts the tasks of a group that the pool's workers, and those of
// its best rack, could run once all that ends by itself has ended.
func (b *Scheduler[O, J]) capacity(p *pool, g *group, now clock.Millis) (whole, rack int) {
	byRack := map[string]int{}
	for w := range b.heard(p, now) {
		if !b.takes(w, g, now) || !b.allowed(w, g, now) {
			continue
		}
		n := w.seats(w.beside(), g)
		whole += n
		byRack[w.rack] += n
		rack = max(rack, byRack[w.rack])
	}
	return whole, rack
}

// beside is the worker's room that its lasting tasks leave.
func (w *worker) beside() jobs.Resources {
	room := w.room
	for _, r := range w.runs {
		if r.step.LongRunning {
			room = room.Minus(counted(r.step))
		}
	}
	return room
}

// keepRoom reports whether work that comes after a gang has to leave the free
// room of the pool to it: without that a wide gang never finds enough at once.
// A gang that the pool cannot hold, or that waits for advice, keeps none.
func (b *Scheduler[O, J]) keepRoom(p *pool, g *group, now clock.Millis) bool {
	if g.rank.Class == classLate || now-g.since < roomMillis {
		return false
	}
	whole, _ := b.capacity(p, g, now)
	return whole >= g.step.TaskCount
}

// breakGang stops the other tasks of a gang when one has ended before its work
// was done: they cannot work without it, and start again all together.
func (b *Scheduler[O, J]) breakGang(r *jobs.Record, t jobs.TaskID) {
	if !r.Steps[t.Step].Gang {
		return
	}
	st := &r.Occurrences[t.Occurrence].Steps[t.Step]
	for n := range st.Tasks {
		id := keyOf(t).task(n)
		if w, x := b.assigned(id, &st.Tasks[n]); x != nil {
			b.stop(w, x, "another task of its gang ended")
		}
	}
}

// adoptGangs stops what is left of gangs that broke in an earlier term.
func (b *Scheduler[O, J]) adoptGangs(r *jobs.Record) {
	for id, t := range r.Tasks() {
		if t.Phase == jobs.PhaseWaiting && t.Run > 0 {
			b.breakGang(r, id)
		}
	}
}
