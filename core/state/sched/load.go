package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Timing of the load of the pools.
const (
	// unplacedWaitMillis is how long a long-running task waits before its pool
	// counts as lacking a machine for it and cordons yield to it. It is longer than
	// the maximum delay of a reply to a heartbeat, so that each available worker has
	// been considered.
	unplacedWaitMillis clock.Millis = 800
	// loadNotePeriodMillis is the interval between two notes about the load of
	// the pools.
	loadNotePeriodMillis = 2 * clock.Second
)

// poolLoad is the load of one pool.
type poolLoad struct {
	name jobs.PoolName
	// machines counts the machines of the pool whose workers can get tasks, and
	// those being moved to it. needed is the number of machines that the pool
	// needs to start its waiting work in time.
	machines int
	needed   int
	// idle lists the workers that run nothing, the longest idle first. busy
	// lists the workers that run only finite tasks: first those being vacated,
	// then the others, the least busy first.
	idle []*worker
	busy []*worker
}

// noteLoads adds a note on the load of each pool to the plan, at intervals of
// loadNotePeriodMillis.
func (s *Scheduler[P, H]) noteLoads(loads []*poolLoad, now clock.Millis) {
	if now < s.fleet.loadsNotedAt+loadNotePeriodMillis {
		return
	}
	s.fleet.loadsNotedAt = now
	for _, load := range loads {
		withLongRunning, quarantined, cordoned := 0, 0, 0
		for _, w := range s.workers {
			if w.pool == load.name && w.hasLongRunning() {
				withLongRunning++
			}
			if w.pool == load.name && w.quarantinedUntil > now {
				quarantined++
			}
			if w.pool == load.name && w.cordoned {
				cordoned++
			}
		}
		s.noteFleet(DecisionPoolLoad, fmt.Sprintf(
			"pool %s has %d machines and needs %d, %d idle, %d with long-running tasks, %d quarantined, %d cordoned, %d core-ms of work waiting, %d assigned jobs that no worker has reported",
			load.name, load.machines, load.needed, len(load.idle), withLongRunning, quarantined, cordoned, s.waitingMilliCoreMillis(s.pool(load.name))/1000, s.assignedPending(load.name)))
	}
}

// hasLongRunning reports whether the worker runs a long-running task.
func (w *worker) hasLongRunning() bool {
	for _, r := range w.runs {
		if r.step.LongRunning {
			return true
		}
	}
	return false
}

// updatePoolLoads returns the loads of all pools except standby pools, those that
// lack the most machines first; nil while the size of no machine is known. It also
// updates the pools' arrival rates, maxMilliCores, and the idleSince of the workers.
func (s *Scheduler[P, H]) updatePoolLoads(now clock.Millis) []*poolLoad {
	byPool := map[jobs.PoolName]*poolLoad{}
	for _, p := range s.State.Config.Pools {
		if !p.Standby {
			byPool[p.Name] = &poolLoad{name: p.Name}
		}
	}
	busyMilliCores := map[jobs.PoolName]clock.Millis{}
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[id]
		load := byPool[w.pool]
		if load == nil || !w.reported || w.draining || w.goingDown || w.leaseUntil < now {
			continue
		}
		s.fleet.maxMilliCores.MilliCores = max(s.fleet.maxMilliCores.MilliCores, w.capacity.MilliCores)
		load.machines++
		if w.cordoned || w.quarantinedUntil > now {
			load.machines--
			continue
		}
		busyMilliCores[w.pool] += w.requiredMilliCores(now, s.settings.BacklogTargetMillis)
		if len(w.runs)+len(w.unassigned) == 0 {
			if w.idleSince == 0 {
				w.idleSince = now
			}
			load.idle = append(load.idle, w)
		} else {
			w.idleSince = 0
			if !w.hasLongRunning() {
				load.busy = append(load.busy, w)
			}
		}
	}
	for _, move := range s.fleet.moves {
		if load := byPool[move.to]; load != nil {
			load.machines++
		}
	}
	if s.fleet.maxMilliCores.MilliCores == 0 {
		return nil
	}
	perMachine := s.fleet.maxMilliCores.MilliCores
	for name, load := range byPool {
		p := s.pool(name)
		p.updateArrivalRate()
		neededMilliCores := int(busyMilliCores[name] + s.waitingMilliCoreMillis(p)/s.settings.BacklogTargetMillis + clock.Millis(p.arrivalRate))
		load.needed = (neededMilliCores + perMachine - 1) / perMachine
		if n := s.machinesForUnplacedTasks(p, now); n > 0 {
			load.needed = max(load.needed, load.machines+n)
		}
		slices.SortStableFunc(load.busy, func(x, y *worker) int {
			return cmp.Or(-compareBool(x.vacating, y.vacating), cmp.Compare(x.used.MilliCores, y.used.MilliCores))
		})
		slices.SortStableFunc(load.idle, func(x, y *worker) int { return cmp.Compare(x.idleSince, y.idleSince) })
	}
	return slices.SortedFunc(maps.Values(byPool), func(x, y *poolLoad) int {
		return cmp.Or(cmp.Compare(y.needed-y.machines, x.needed-x.machines), cmp.Compare(x.name, y.name))
	})
}

// machinesForUnplacedTasks returns the number of additional machines that the
// pool needs for long-running tasks that no available worker could take. The
// usual cause is a limit on the tasks of a step on one worker. If several steps
// wait, the one that needs the most machines counts.
func (s *Scheduler[P, H]) machinesForUnplacedTasks(p *pool, now clock.Millis) int {
	n := 0
	for g, tasks := range s.startableGroups(p) {
		if g.step.LongRunning && now-g.waitingSince > unplacedWaitMillis {
			perMachine := max(g.step.MaxPerWorker, 1)
			n = max(n, (tasks+perMachine-1)/perMachine)
		}
	}
	return n
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}

// finiteMilliCoreMillis returns the work of a number of tasks of a step, each of
// the given duration; 0 for long-running and best-effort tasks. The unit is
// milli-cores times milliseconds, although the type is clock.Millis.
func finiteMilliCoreMillis(step *jobs.Step, tasks int, duration clock.Millis) clock.Millis {
	if step.LongRunning || step.BestEffort {
		return 0
	}
	return clock.Millis(tasks*step.Resources.MilliCores) * duration
}

// requiredMilliCores returns the processors that the worker's tasks require:
// the whole reservation of a long-running task, and for any other task its
// remaining work divided by the time within which it should end. The unit is
// milli-cores, although the type is clock.Millis.
func (w *worker) requiredMilliCores(now, within clock.Millis) clock.Millis {
	milliCores := clock.Millis(0)
	for _, r := range w.runs {
		if r.step.LongRunning {
			milliCores += clock.Millis(reservation(r.step).MilliCores)
			continue
		}
		milliCores += finiteMilliCoreMillis(r.step, 1, max(r.assignedAt+r.step.Estimate-now, 0)) / within
	}
	return milliCores
}

// arrivalRateWeight is the weight of the latest sample in the moving average of
// the arrival rate.
const arrivalRateWeight = 0.3

// updateArrivalRate updates the moving average with the work that has arrived
// since the last call. The last call is assumed to be rebalancePeriodMillis ago.
func (p *pool) updateArrivalRate() {
	p.arrivalRate += arrivalRateWeight * (float64(p.newMilliCoreMillis/rebalancePeriodMillis) - p.arrivalRate)
	p.newMilliCoreMillis = 0
	clear(p.newByCustomer)
}

// waitingMilliCoreMillis returns the waiting work of the pool, without best-effort
// tasks, without work that can no longer meet its deadline and without work that waits
// for a quota. The unit is milli-cores times milliseconds, although the type is
// clock.Millis.
func (s *Scheduler[P, H]) waitingMilliCoreMillis(p *pool) clock.Millis {
	milliCoreMillis := clock.Millis(0)
	for g, tasks := range s.startableGroups(p) {
		if g.step.BestEffort || g.rank.isLate() {
			continue
		}
		duration := g.step.Estimate
		if g.step.LongRunning {
			// A long-running task has no duration; this value only makes its
			// processors count.
			duration = clock.Second
		}
		milliCoreMillis += clock.Millis(tasks*g.step.Resources.MilliCores) * duration
	}
	return milliCoreMillis
}
