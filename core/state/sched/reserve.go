package sched

import (
	"cmp"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Timing of the resources that are reserved for waiting long-running tasks.
const (
	// maxSilenceMillis is how long a worker may not have sent a heartbeat before
	// nothing is reserved on it. A worker that is in contact sends one at least
	// every MaxReplyDelayMillis + MaxRetryMillis.
	maxSilenceMillis clock.Millis = 1500
	// stopDurationMillis is how long it takes until the resources of a run that is
	// being stopped are free.
	stopDurationMillis clock.Millis = 500
)

// free returns the resources of a worker that are neither used nor reserved for a
// task that ranks before the group being placed. A reservation that exceeds what is
// free leaves nothing, so that it does not affect tasks that need none of a resource.
func (p *pool) free(w *worker) jobs.Resources {
	free := w.capacity.Minus(w.used)
	if reserved, ok := p.reserved[w]; ok {
		free.MilliCores -= min(reserved.MilliCores, max(free.MilliCores, 0))
		free.MemoryMiB -= min(reserved.MemoryMiB, max(free.MemoryMiB, 0))
		free.Accelerators -= min(reserved.Accelerators, max(free.Accelerators, 0))
	}
	return free
}

// host is a worker that can run a waiting task once enough of its finite tasks
// have ended, and the predicted time of that.
type host struct {
	w       *worker
	readyAt clock.Millis
}

// reserve reserves the resources of a group's waiting long-running tasks on the
// workers that can run them the soonest, so that groups of lower rank leave these
// resources free. Without this, smaller tasks would take the resources of each task
// that ends, and a large task would never find enough of them on one worker. Each
// worker gets one task before any gets another.
func (s *Scheduler[P, H]) reserve(p *pool, g *taskGroup, now clock.Millis) {
	reserved := reservation(g.step)
	if !g.step.LongRunning || reserved == (jobs.Resources{}) {
		return
	}
	for missing, perWorker := len(g.waiting), 0; missing > 0; perWorker++ {
		hosts := s.preempt(p, g, s.hosts(p, g, perWorker, now), missing, now)
		if len(hosts) == 0 {
			return
		}
		for _, h := range hosts[:min(missing, len(hosts))] {
			if p.reserved == nil {
				p.reserved = map[*worker]jobs.Resources{}
			}
			p.reserved[h.w] = p.reserved[h.w].Plus(reserved)
			missing--
		}
	}
}

// hosts returns the workers that can run one more task of the group in addition to
// what is reserved on them, of which alreadyReserved are tasks of the group. The
// ones that can do so the soonest come first. Among equals it is those on which a
// waiting task failed: the task has room there as soon as it may return.
func (s *Scheduler[P, H]) hosts(p *pool, g *taskGroup, alreadyReserved int, now clock.Millis) []host {
	var out []host
	for w := range s.liveWorkers(p, now) {
		if now-w.heardAt > maxSilenceMillis || !s.acceptsGroup(w, g, now) || !s.adviceAllows(w, g, now) ||
			(g.step.MaxPerWorker > 0 && w.taskCount(g.key)+alreadyReserved >= g.step.MaxPerWorker) {
			continue
		}
		if readyAt, ok := w.predictFree(reservation(g.step).Plus(p.reserved[w]), now); ok {
			out = append(out, host{w, readyAt})
		}
	}
	failedOn := map[jobs.WorkerID]bool{}
	for _, index := range g.waiting {
		for _, a := range s.avoided[g.key.taskID(index)] {
			failedOn[a.id] = true
		}
	}
	slices.SortFunc(out, func(x, y host) int {
		return cmp.Or(cmp.Compare(x.readyAt, y.readyAt), -compareBool(failedOn[x.w.id], failedOn[y.w.id]), cmp.Compare(x.w.id, y.w.id))
	})
	return out
}

// predictFree predicts when the given resources will be free on the worker if it
// starts no further task. ok is false if its long-running tasks leave too little.
func (w *worker) predictFree(needed jobs.Resources, now clock.Millis) (at clock.Millis, ok bool) {
	free := w.capacity.Minus(w.used)
	if needed.FitsIn(free) {
		return now, true
	}
	for _, resources := range w.unassigned {
		free = free.Plus(resources)
	}
	at = now
	if len(w.unassigned) > 0 {
		at += stopDurationMillis
	}
	ending := w.endingRuns(now)
	for _, e := range ending {
		if needed.FitsIn(free) {
			break
		}
		free, at = free.Plus(reservation(e.run.step)), max(at, e.at)
	}
	return at, needed.FitsIn(free)
}

// endingRun is a run and its predicted end.
type endingRun struct {
	run *run
	at  clock.Millis
}

// endingRuns returns the finite runs and those being stopped, the one that ends
// first at the start.
func (w *worker) endingRuns(now clock.Millis) []endingRun {
	var out []endingRun
	for _, r := range w.runs {
		switch {
		case r.stopping || !r.needed():
			out = append(out, endingRun{r, now + stopDurationMillis})
		case !r.step.LongRunning:
			out = append(out, endingRun{r, r.predictEnd(now)})
		}
	}
	slices.SortFunc(out, func(x, y endingRun) int { return cmp.Compare(x.at, y.at) })
	return out
}
