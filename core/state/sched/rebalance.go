package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Timing of machine moves between pools.
const (
	// rebalancePeriodMillis is the interval between two checks of the load of
	// the pools.
	rebalancePeriodMillis clock.Millis = 200
	// listRetryMillis is the interval between two requests for the list of
	// machines before the first success, and listPeriodMillis after it.
	listRetryMillis  = clock.Second
	listPeriodMillis = 20 * clock.Second
	// moveTimeoutMillis is how long the scheduler waits for the end of a move.
	// It is also how long a machine is not moved after an unanswered order.
	moveTimeoutMillis = 5 * clock.Second
	// moveRetryMillis is the pause before a machine is moved again after its
	// move was refused.
	moveRetryMillis = clock.Second
	// unplacedWaitMillis is how long a long-running task waits before its pool
	// counts as lacking a machine for it. It is longer than the maximum delay
	// of a reply to a heartbeat.
	unplacedWaitMillis clock.Millis = 800
	// loadNotePeriodMillis is the interval between two notes about the load of
	// the pools.
	loadNotePeriodMillis = 2 * clock.Second
)

// machineFleet is what is known of machines beyond the state of their workers.
type machineFleet struct {
	// standby holds the machines that are powered off, with their standby pool.
	standby map[jobs.MachineID]jobs.PoolName
	// moves holds the machines that are being moved. notMovableUntil holds the
	// time until which a machine is not moved again, after a refused or
	// unanswered order or a move to the standby pool.
	moves           map[jobs.MachineID]machineMove
	notMovableUntil map[jobs.MachineID]clock.Millis
	// maxMilliCores holds, in its field MilliCores, the most milli-cores of any
	// machine in a list of machines or in a heartbeat. Its other fields are not
	// used: a heartbeat raises MilliCores alone, so they may belong to a smaller
	// machine.
	maxMilliCores jobs.Resources
	// listPending is set while a request for the list of machines is pending.
	listPending bool
	// listFailed is set once a request for the list has failed. listRequestedAt
	// is the time of the latest request, and listedAt that of the latest list;
	// 0 for none.
	listFailed      bool
	listRequestedAt clock.Millis
	listedAt        clock.Millis
	// finiteWorkSeen caches a positive result of the method of the same name.
	finiteWorkSeen bool
	// nextRebalance is the time of the next check of the pools' load, and
	// loadsNotedAt that of the latest notes about it.
	nextRebalance clock.Millis
	loadsNotedAt  clock.Millis
}

// machineMove is the move of a machine to another pool.
type machineMove struct {
	to jobs.PoolName
	// incarnation is that of the machine's worker when the move was ordered; 0
	// for no worker.
	incarnation jobs.Incarnation
	orderedAt   clock.Millis
}

func newMachineFleet() machineFleet {
	return machineFleet{
		standby: map[jobs.MachineID]jobs.PoolName{}, moves: map[jobs.MachineID]machineMove{}, notMovableUntil: map[jobs.MachineID]clock.Millis{},
	}
}

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

// rebalance moves machines to pools whose waiting work does not start in time:
// first machines of the standby pool, which are powered off, then idle machines
// of other pools. Machines that stay idle are moved to the standby pool. This
// is designed for pools whose loads rise, one after the other, to several times
// their mean for some seconds, and for moves that take about 1.5 seconds.
func (s *Scheduler[P, H]) rebalance(now clock.Millis) {
	if s.settings.BacklogTargetMillis == 0 || now < s.fleet.nextRebalance || now < s.termStart+s.settings.TakeoverDelayMillis {
		return
	}
	s.fleet.nextRebalance = now + rebalancePeriodMillis
	standby := s.standbyPool()
	if standby == "" || !s.refreshMachineList(now) {
		return
	}
	for m, move := range s.fleet.moves {
		if now-move.orderedAt > moveTimeoutMillis {
			delete(s.fleet.moves, m)
			s.clearGoingDown(s.workerByMachine[m], move.incarnation)
		}
	}
	loads := s.updatePoolLoads(now)
	s.noteLoads(loads, now)
	missing := 0
	for _, load := range loads {
		for n := load.needed - load.machines; n > 0; n-- {
			if !s.moveMachineTo(load, loads, now) {
				missing += n
				break
			}
		}
	}
	s.vacateWorkers(loads, missing)
	if s.finiteWorkSeen() {
		s.releaseIdle(loads, standby, now)
	}
}

// finiteWorkSeen reports whether a job without long-running tasks has been
// submitted. Idle machines are kept until then; otherwise a newly started fleet
// would be powered off just before its first load.
func (s *Scheduler[P, H]) finiteWorkSeen() bool {
	if !s.fleet.finiteWorkSeen {
		for _, rec := range s.State.Jobs {
			s.fleet.finiteWorkSeen = s.fleet.finiteWorkSeen || !hasLongRunningStep(&rec.Job)
		}
	}
	return s.fleet.finiteWorkSeen
}

// noteLoads adds a note on the load of each pool to the plan, at intervals of
// loadNotePeriodMillis.
func (s *Scheduler[P, H]) noteLoads(loads []*poolLoad, now clock.Millis) {
	if now < s.fleet.loadsNotedAt+loadNotePeriodMillis {
		return
	}
	s.fleet.loadsNotedAt = now
	for _, load := range loads {
		withLongRunning := 0
		for _, w := range s.workers {
			if w.pool == load.name && w.hasLongRunning() {
				withLongRunning++
			}
		}
		s.noteFleet(DecisionPoolLoad, fmt.Sprintf(
			"pool %s has %d machines and needs %d, %d idle, %d with long-running tasks, %d core-ms of work waiting, %d assigned jobs that no worker has reported",
			load.name, load.machines, load.needed, len(load.idle), withLongRunning, s.pool(load.name).waitingMilliCoreMillis()/1000, s.assignedPending(load.name)))
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

// standbyPool returns the name of the first pool whose machines are powered
// off; empty for none.
func (s *Scheduler[P, H]) standbyPool() jobs.PoolName {
	for _, p := range s.State.Config.Pools {
		if p.Standby {
			return p.Name
		}
	}
	return ""
}

// refreshMachineList requests the list of machines if the latest one is old. It
// reports whether at least one request of this term has been answered or has
// failed.
func (s *Scheduler[P, H]) refreshMachineList(now clock.Millis) bool {
	f := &s.fleet
	interval := listPeriodMillis
	if f.listedAt == 0 {
		interval = listRetryMillis
	}
	if f.listRequestedAt == 0 || now-f.listRequestedAt >= interval {
		s.requestMachineList(now)
	}
	return f.listedAt != 0 || f.listFailed
}

// requestMachineList requests the list of machines unless a request is pending.
func (s *Scheduler[P, H]) requestMachineList(now clock.Millis) {
	if f := &s.fleet; !f.listPending {
		f.listPending, f.listRequestedAt = true, now
		s.plan.Actions = append(s.plan.Actions, Action{Kind: ActionListMachines, RequestedAt: now})
	}
}

// handleMachineList processes the list of machines. It ignores a list that an
// earlier scheduler of the same term requested, because it is older than what
// this scheduler knows.
func (s *Scheduler[P, H]) handleMachineList(action Action, outcome Outcome, now clock.Millis) {
	f := &s.fleet
	if !f.listPending || action.RequestedAt != f.listRequestedAt {
		return
	}
	f.listPending = false
	if outcome.Answer != AnswerDone {
		// Without a list the standby machines are unknown, but idle machines
		// can still be moved.
		f.listFailed = true
		s.noteFleet(DecisionListFailed, outcome.String())
		return
	}
	f.listedAt = now
	standby := map[jobs.PoolName]bool{}
	for _, p := range s.State.Config.Pools {
		standby[p.Name] = p.Standby
	}
	clear(f.standby)
	listed := make(map[jobs.MachineID]bool, len(outcome.Machines))
	for _, m := range outcome.Machines {
		listed[m.ID] = true
		if f.maxMilliCores.MilliCores < m.Capacity.MilliCores {
			f.maxMilliCores = m.Capacity
		}
		if _, moving := f.moves[m.ID]; standby[m.Pool] && m.Available && !moving {
			f.standby[m.ID] = m.Pool
		}
	}
	if len(listed) > 0 {
		s.updateAbsences(outcome, listed, action.RequestedAt, now)
	}
}

// updatePoolLoads returns the loads of all pools except standby pools, those that
// lack the most machines first; nil while the size of no machine is known. It also
// updates the pools' arrival rates, maxMilliCores, and the idleSince and vacating
// of the workers.
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
			w.vacating = false
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
		neededMilliCores := int(busyMilliCores[name] + p.waitingMilliCoreMillis()/s.settings.BacklogTargetMillis + clock.Millis(p.arrivalRate))
		load.needed = (neededMilliCores + perMachine - 1) / perMachine
		if n := s.pool(name).machinesForUnplacedTasks(now); n > 0 {
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
func (p *pool) machinesForUnplacedTasks(now clock.Millis) int {
	n := 0
	for _, g := range p.groups {
		if g.step.LongRunning && !g.rec.Status.Final() && len(g.waiting) > 0 && now-g.waitingSince > unplacedWaitMillis {
			perMachine := max(g.step.MaxPerWorker, 1)
			n = max(n, (len(g.waiting)+perMachine-1)/perMachine)
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
}

// waitingMilliCoreMillis returns the waiting work of the pool, without best-effort
// tasks and without work that can no longer meet its deadline. The unit is
// milli-cores times milliseconds, although the type is clock.Millis.
func (p *pool) waitingMilliCoreMillis() clock.Millis {
	milliCoreMillis := clock.Millis(0)
	for _, g := range p.groups {
		if g.step.BestEffort || g.rec.Status.Final() || g.rank.Class == classLate {
			continue
		}
		duration := g.step.Estimate
		if g.step.LongRunning {
			// A long-running task has no duration; this value only makes its
			// processors count.
			duration = clock.Second
		}
		milliCoreMillis += clock.Millis(len(g.waiting)*g.step.Resources.MilliCores) * duration
	}
	return milliCoreMillis
}

// moveMachineTo orders the move of one machine to a pool: a standby machine or,
// if there is none, the longest idle machine of a pool that has more than
// ReserveMachines machines beyond those that it needs. Machines that may not be
// moved yet are skipped. It returns false if there is no such machine.
func (s *Scheduler[P, H]) moveMachineTo(target *poolLoad, loads []*poolLoad, now clock.Millis) bool {
	for _, m := range slices.Sorted(maps.Keys(s.fleet.standby)) {
		if s.fleet.notMovableUntil[m] <= now && !s.mayBeDown(m) {
			delete(s.fleet.standby, m)
			s.orderMove(m, 0, target, now)
			return true
		}
	}
	for i := len(loads) - 1; i >= 0; i-- {
		from := loads[i]
		if from == target || from.machines-from.needed <= s.settings.ReserveMachines {
			continue
		}
		for k, w := range from.idle {
			if s.fleet.notMovableUntil[w.machine] > now || w.machine == "" {
				continue
			}
			from.idle = slices.Delete(from.idle, k, k+1)
			from.machines--
			w.goingDown = true
			s.orderMove(w.machine, w.incarnation, target, now)
			return true
		}
	}
	return false
}

// vacateWorkers keeps new tasks off busy workers of pools that have more than
// ReserveMachines machines beyond those that they need, up to the number of
// machines that other pools lack. It lets the other busy workers get new tasks
// again. Otherwise a stream of short tasks, of a second or two, would keep each
// of these workers slightly busy for as long as its pool has any work, and its
// machine could not be moved.
func (s *Scheduler[P, H]) vacateWorkers(loads []*poolLoad, missing int) {
	for i := len(loads) - 1; i >= 0; i-- {
		load := loads[i]
		surplus := load.machines - load.needed - s.settings.ReserveMachines
		for _, w := range load.busy {
			w.vacating = missing > 0 && surplus > 0
			s.dirtyPools[s.pool(w.pool)] = true
			if w.vacating {
				missing--
				surplus--
			}
		}
	}
}

// releaseIdle moves machines that stay idle to the standby pool. Each pool keeps
// ReserveMachines machines beyond those that it needs.
func (s *Scheduler[P, H]) releaseIdle(loads []*poolLoad, standby jobs.PoolName, now clock.Millis) {
	target := &poolLoad{name: standby}
	for _, load := range loads {
		for _, w := range load.idle {
			if w.goingDown || w.machine == "" || load.machines-load.needed <= s.settings.ReserveMachines || now-w.idleSince < s.settings.IdleMillis || s.fleet.notMovableUntil[w.machine] > now {
				continue
			}
			load.machines--
			w.goingDown = true
			s.orderMove(w.machine, w.incarnation, target, now)
		}
	}
}

// mayBeDown reports whether a machine may be down, or is about to go down, for
// its maintenance in a wave. Such a machine must not be moved.
func (s *Scheduler[P, H]) mayBeDown(m jobs.MachineID) bool {
	for _, v := range s.waves {
		if _, isDown := v.down[m]; isDown || v.pending[m] {
			return true
		}
	}
	return false
}

// orderMove orders the move of a machine. incarnation is that of its worker; 0
// for none.
func (s *Scheduler[P, H]) orderMove(m jobs.MachineID, incarnation jobs.Incarnation, to *poolLoad, now clock.Millis) {
	to.machines++
	s.fleet.moves[m] = machineMove{to: to.name, incarnation: incarnation, orderedAt: now}
	s.plan.Actions = append(s.plan.Actions, Action{Kind: ActionMove, Machine: m, Pool: to.name})
}

// handleMove processes the platform's answer to a move.
func (s *Scheduler[P, H]) handleMove(action Action, outcome Outcome, now clock.Millis) {
	move, ok := s.fleet.moves[action.Machine]
	if !ok || move.to != action.Pool {
		return
	}
	w := s.workerByMachine[action.Machine]
	sameIncarnation := w != nil && w.incarnation == move.incarnation
	if outcome.Answer != AnswerDone {
		s.noteFleet(DecisionMachineNotMoved, fmt.Sprintf("%s to pool %s: %s", action.Machine, action.Pool, outcome))
	}
	switch outcome.Answer {
	case AnswerDone:
		s.noteFleet(DecisionMachineMoved, string(action.Machine)+" to pool "+string(action.Pool))
		if sameIncarnation {
			s.dropWorker(w, "the machine of the worker was moved", now)
		}
		if action.Pool == s.standbyPool() {
			delete(s.fleet.moves, action.Machine)
			s.fleet.standby[action.Machine] = action.Pool
			s.fleet.notMovableUntil[action.Machine] = now + s.settings.MoveMillis
		}
	case AnswerUnknown:
		s.fleet.notMovableUntil[action.Machine] = now + moveTimeoutMillis
	default:
		delete(s.fleet.moves, action.Machine)
		s.fleet.notMovableUntil[action.Machine] = now + moveRetryMillis
		if sameIncarnation {
			w.goingDown = false
		}
	}
}

// machineArrived ends the move of a worker's machine if a new incarnation has
// sent a heartbeat from the target pool. It also removes the machine from the
// standby machines, because these run no worker.
func (s *Scheduler[P, H]) machineArrived(w *worker) {
	if move, ok := s.fleet.moves[w.machine]; ok && move.incarnation != w.incarnation && move.to == w.pool {
		delete(s.fleet.moves, w.machine)
	}
	delete(s.fleet.standby, w.machine)
}
