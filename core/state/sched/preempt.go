package sched

import (
	"cmp"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Timing of the preemption of finite tasks by long-running ones.
const (
	// preemptAfterMillis is how long a long-running task is away before finite tasks
	// are stopped for it. A machine of the standby pool usually arrives within this
	// time.
	preemptAfterMillis = 3 * clock.Second
	// startWithinMillis is how long a long-running task should be away at most. Users
	// miss a task that has not run for 6 s. No task is stopped for one that can
	// start earlier without that.
	startWithinMillis = 5 * clock.Second
	// restoreMillis is the work that is lost with each stop of a task that writes
	// checkpoints.
	restoreMillis clock.Millis = 250
)

// preemptible is a host on which finite tasks can be stopped for a waiting task, and
// the work that is lost with them in milli-cores times milliseconds. entitledLost is the
// part of it that is not excess work.
type preemptible struct {
	host         host
	victims      []*run
	lost         int64
	entitledLost int64
}

// preempt stops finite tasks for the long-running tasks of a group that have waited
// for long and would not start in time otherwise. hosts are all workers that can run
// a task of the group, and missing is the number of its waiting tasks to start. Tasks
// are stopped where the least entitled work is lost and, among equals, the least work.
// preempt returns the hosts in the order of preference: those that can run a task in
// time, those on which tasks were stopped, and the others.
func (s *Scheduler[P, H]) preempt(p *pool, g *taskGroup, hosts []host, missing int, now clock.Millis) []host {
	// The hosts are sorted by readyAt.
	inTime := slices.IndexFunc(hosts, func(h host) bool { return h.needsPreemption(g, now) })
	if inTime < 0 || inTime >= missing {
		return hosts
	}
	var candidates []preemptible
	for _, h := range hosts[inTime:] {
		if victims, lost := s.chooseVictims(h.w, g, g.reserved.Plus(p.reserved[h.w]), now); len(victims) > 0 {
			candidates = append(candidates, preemptible{h, victims, lost, s.entitledLost(victims, now)})
		}
	}
	slices.SortStableFunc(candidates, func(x, y preemptible) int {
		return cmp.Or(cmp.Compare(x.entitledLost, y.entitledLost), cmp.Compare(x.lost, y.lost))
	})
	preferred := slices.Clone(hosts[:inTime])
	for _, c := range candidates[:min(missing-inTime, len(candidates))] {
		for _, r := range c.victims {
			s.stopRun(c.host.w, r, "a long-running task needs its resources")
		}
		preferred = append(preferred, c.host)
	}
	for _, h := range hosts {
		if !slices.Contains(preferred, h) {
			preferred = append(preferred, h)
		}
	}
	return preferred
}

// needsPreemption reports whether a task of the group that has been away for long can
// start much earlier on the host if finite tasks are stopped there.
func (h host) needsPreemption(g *taskGroup, now clock.Millis) bool {
	return g.awayForLong(now) && h.readyAt > max(g.awaySince+startWithinMillis, now+2*stopDurationMillis)
}

// chooseVictims returns finite runs of lower rank on the worker that have to be
// stopped so that the needed resources become free, and the work that is lost with
// them in milli-cores times milliseconds. It returns none if that is not enough.
// The tasks of gangs are never chosen, because all others of the gang would stop.
// Excess runs are chosen before entitled ones, and only they are for excess work.
func (s *Scheduler[P, H]) chooseVictims(w *worker, g *taskGroup, needed jobs.Resources, now clock.Millis) (victims []*run, lost int64) {
	free := w.capacity.Minus(w.used)
	var runs []*run
	for _, r := range w.runs {
		switch {
		case r.stopping || !r.needed():
			free = free.Plus(reservation(r.step))
		case r.step.LongRunning || r.step.Gang || (s.shares.isExcess(g.rec) && !s.shares.isExcess(r.rec)):
		case s.rank(r.rec, r.task.Occurrence, now).Class > g.rank.Class:
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(x, y *run) int {
		return cmp.Or(-compareBool(s.shares.isExcess(x.rec), s.shares.isExcess(y.rec)), cmp.Compare(x.lostWork(now), y.lostWork(now)), compareTaskIDs(x.task, y.task))
	})
	for _, r := range runs {
		if needed.FitsIn(free) {
			break
		}
		victims, free = append(victims, r), free.Plus(reservation(r.step))
	}
	if !needed.FitsIn(free) {
		return nil, 0
	}
	// The last runs were the most expensive ones. They may have made some of the
	// cheaper ones superfluous, but not each other.
	for i := len(victims) - 1; i >= 0; i-- {
		if without := free.Minus(reservation(victims[i].step)); needed.FitsIn(without) {
			victims, free = slices.Delete(victims, i, i+1), without
		}
	}
	for _, r := range victims {
		lost += r.lostWork(now)
	}
	return victims, lost
}

// entitledLost returns the work that is lost with those runs that are not excess work,
// in milli-cores times milliseconds.
func (s *Scheduler[P, H]) entitledLost(runs []*run, now clock.Millis) (lost int64) {
	for _, r := range runs {
		if !s.shares.isExcess(r.rec) {
			lost += r.lostWork(now)
		}
	}
	return lost
}

// lostWork returns the work that is lost if the run is stopped, in milli-cores
// times milliseconds.
func (r *run) lostWork(now clock.Millis) int64 {
	lost := restoreMillis
	if !r.step.Checkpoints {
		lost += now - r.assignedAt
	}
	return int64(r.step.Resources.MilliCores) * int64(lost)
}
