package sched

import (
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
	// moveTimeoutMillis is how long the scheduler waits for the end of a move.
	// It is also how long a machine is not moved after an unanswered order.
	moveTimeoutMillis = 5 * clock.Second
	// moveRetryMillis is the pause before a machine is moved again after its
	// move was refused.
	moveRetryMillis = clock.Second
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
	// availableMachines is the number of machines in the latest list that were
	// available in a pool that is not a standby pool.
	availableMachines int
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

// rebalance moves machines to pools whose waiting work does not start in time:
// first machines of the standby pool, which are powered off, then idle machines
// of other pools. Machines that stay idle are moved to the standby pool. This
// is designed for pools whose loads rise, one after the other, to several times
// their mean for some seconds, and for moves that take about 1.5 seconds.
func (s *Scheduler[P, H]) rebalance(now clock.Millis) {
	if s.settings.BacklogTargetMillis == 0 || now < s.fleet.nextRebalance {
		return
	}
	s.fleet.nextRebalance = now + rebalancePeriodMillis
	s.expireMoves(now)
	standby := s.standbyPool()
	if standby == "" {
		// No machine is moved, so none has to be vacated.
		s.setVacating(nil)
		return
	}
	if !s.refreshMachineList(now) || !s.isSettled(now) {
		return
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

// expireMoves ends the moves that have taken too long.
func (s *Scheduler[P, H]) expireMoves(now clock.Millis) {
	for m, move := range s.fleet.moves {
		if now-move.orderedAt > moveTimeoutMillis {
			delete(s.fleet.moves, m)
			s.updateGoingDown(m)
		}
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

// moveMachineTo orders the move of one machine to a pool: a standby machine or,
// if there is none, the longest idle machine of a pool that has more than
// ReserveMachines machines beyond those that it needs. Machines that may not be
// moved yet are skipped. It returns false if there is no such machine.
func (s *Scheduler[P, H]) moveMachineTo(target *poolLoad, loads []*poolLoad, now clock.Millis) bool {
	for _, m := range slices.Sorted(maps.Keys(s.fleet.standby)) {
		if s.fleet.notMovableUntil[m] <= now && !s.mayBeDown(m) && s.mayOrder(m, now) {
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
			if s.fleet.notMovableUntil[w.machine] > now || w.machine == "" || !s.mayOrder(w.machine, now) {
				continue
			}
			from.idle = slices.Delete(from.idle, k, k+1)
			from.machines--
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
	vacating := map[*worker]bool{}
	for i := len(loads) - 1; i >= 0; i-- {
		load := loads[i]
		surplus := load.machines - load.needed - s.settings.ReserveMachines
		for _, w := range load.busy[:max(0, min(missing, surplus, len(load.busy)))] {
			vacating[w] = true
			missing--
		}
	}
	s.setVacating(vacating)
}

// setVacating keeps new tasks off exactly the given workers because their machines are
// needed by other pools.
func (s *Scheduler[P, H]) setVacating(vacating map[*worker]bool) {
	for _, w := range s.workers {
		if w.vacating && !vacating[w] {
			s.dirtyPools[s.pool(w.pool)] = true
		}
		w.vacating = vacating[w]
	}
}

// releaseIdle moves machines that stay idle to the standby pool. Each pool keeps
// ReserveMachines machines beyond those that it needs.
func (s *Scheduler[P, H]) releaseIdle(loads []*poolLoad, standby jobs.PoolName, now clock.Millis) {
	target := &poolLoad{name: standby}
	for _, load := range loads {
		for _, w := range load.idle {
			if w.goingDown || w.machine == "" || load.machines-load.needed <= s.settings.ReserveMachines || now-w.idleSince < s.settings.IdleMillis || s.fleet.notMovableUntil[w.machine] > now || !s.mayOrder(w.machine, now) {
				continue
			}
			load.machines--
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
	s.apply(jobs.Op{Kind: jobs.OpMoveOrdered, Machine: m, Pool: to.name, Incarnation: incarnation}, now)
	s.fleet.moves[m] = machineMove{to: to.name, incarnation: incarnation, orderedAt: now}
	s.updateGoingDown(m)
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
			s.updateGoingDown(action.Machine)
			s.fleet.standby[action.Machine] = action.Pool
			s.fleet.notMovableUntil[action.Machine] = now + s.settings.MoveMillis
		}
	case AnswerUnknown:
		s.fleet.notMovableUntil[action.Machine] = now + moveTimeoutMillis
	default:
		delete(s.fleet.moves, action.Machine)
		s.updateGoingDown(action.Machine)
		s.fleet.notMovableUntil[action.Machine] = now + moveRetryMillis
	}
}

// machineArrived ends the move of a worker's machine if a new incarnation has
// sent a heartbeat from the target pool. It also removes the machine from the
// standby machines, because these run no worker.
func (s *Scheduler[P, H]) machineArrived(w *worker) {
	if move, ok := s.fleet.moves[w.machine]; ok && move.incarnation != w.incarnation && move.to == w.pool {
		delete(s.fleet.moves, w.machine)
		s.updateGoingDown(w.machine)
	}
	delete(s.fleet.standby, w.machine)
}
