package sched

import (
	"cmp"
	"maps"
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
	// reservationAgeMillis is how long the hosts of a group's waiting tasks are kept
	// before they are chosen anew, because all workers of the pool are looked at then.
	reservationAgeMillis clock.Millis = 100
)

// groupHosts are the workers on which resources are reserved for the waiting tasks of a
// group, one for each task; a worker may occur more than once.
type groupHosts struct {
	workers []*worker
	// tasks is the number of waiting tasks for which the workers were chosen, and
	// chosenAt the time of that.
	tasks    int
	chosenAt clock.Millis
}

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
// that ends, and a large task would never find enough of them on one worker. Nothing is
// reserved for the tasks that the customer's quota does not let start.
func (s *Scheduler[P, H]) reserve(p *pool, g *taskGroup, now clock.Millis) {
	reserved := g.reserved
	if !g.step.LongRunning || reserved == (jobs.Resources{}) {
		return
	}
	tasks := p.reservable(g)
	if tasks == 0 {
		return
	}
	if !s.hostsAreCurrent(g, tasks, now) {
		g.hosts = groupHosts{workers: s.chooseHosts(p, g, tasks, now), tasks: tasks, chosenAt: now}
	}
	p.promise(g, len(g.hosts.workers))
	for _, w := range g.hosts.workers {
		p.addReserved(w, reserved)
	}
}

// hostsAreCurrent reports whether the hosts of a group were chosen recently for the
// given number of its waiting tasks and can still run them.
func (s *Scheduler[P, H]) hostsAreCurrent(g *taskGroup, tasks int, now clock.Millis) bool {
	return g.hosts.tasks == tasks && now-g.hosts.chosenAt < reservationAgeMillis &&
		!slices.ContainsFunc(g.hosts.workers, func(w *worker) bool { return s.workers[w.id] != w || !s.mayHost(w, g, now) })
}

// addReserved reserves resources of a worker for the rest of the pass.
func (p *pool) addReserved(w *worker, resources jobs.Resources) {
	if p.reserved == nil {
		p.reserved = map[*worker]jobs.Resources{}
	}
	p.reserved[w] = p.reserved[w].Plus(resources)
}

// chooseHosts chooses the workers for some of the waiting tasks of a group. Each worker
// gets one task before any gets another.
func (s *Scheduler[P, H]) chooseHosts(p *pool, g *taskGroup, tasks int, now clock.Millis) []*worker {
	var chosen []*worker
	reservedBefore := maps.Clone(p.reserved)
	for perWorker := 0; len(chosen) < tasks; perWorker++ {
		missing := tasks - len(chosen)
		hosts := s.preempt(p, g, s.hosts(p, g, perWorker, now), missing, now)
		if len(hosts) == 0 {
			break
		}
		for _, h := range hosts[:min(missing, len(hosts))] {
			p.addReserved(h.w, g.reserved)
			chosen = append(chosen, h.w)
		}
	}
	p.reserved = reservedBefore
	return chosen
}

// mayHost reports whether the worker may get tasks of the group, regardless of its
// resources and of how many tasks of the step it runs.
func (s *Scheduler[P, H]) mayHost(w *worker, g *taskGroup, now clock.Millis) bool {
	return w.leaseUntil >= now && now-w.heardAt <= maxSilenceMillis && s.acceptsGroup(w, g, now) && s.adviceAllows(w, g, now)
}

// hosts returns the workers that can run one more task of the group in addition to
// what is reserved on them, of which alreadyReserved are tasks of the group. The
// ones that can do so the soonest come first. Among equals it is those on which a
// waiting task failed: the task has room there as soon as it may return.
func (s *Scheduler[P, H]) hosts(p *pool, g *taskGroup, alreadyReserved int, now clock.Millis) []host {
	var out []host
	for w := range s.liveWorkers(p, now) {
		if !s.mayHost(w, g, now) || (g.step.MaxPerWorker > 0 && w.taskCount(g.key)+alreadyReserved >= g.step.MaxPerWorker) {
			continue
		}
		if readyAt, ok := w.predictFree(g.reserved.Plus(p.reserved[w]), now); ok {
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
	for _, r := range w.unassigned {
		free = free.Plus(r.reserved)
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
			// A run is expected to go on for at least as long as it has made no
			// progress: its estimate may be wrong, and a throttled one stands still.
			out = append(out, endingRun{r, max(r.predictEnd(now), now+now-r.progressedAt)})
		}
	}
	slices.SortFunc(out, func(x, y endingRun) int { return cmp.Compare(x.at, y.at) })
	return out
}
