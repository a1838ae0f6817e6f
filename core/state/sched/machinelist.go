package sched

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// The intervals between two requests for the list of machines: listRetryMillis
// before the first success, and listPeriodMillis after it.
const (
	listRetryMillis  = clock.Second
	listPeriodMillis = 20 * clock.Second
)

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
	if outcome.Incomplete {
		s.noteFleet(DecisionListFailed, explainList(outcome))
	}
	listed := s.updateStandby(outcome)
	if len(listed) > 0 {
		s.updateAbsences(outcome, listed, action.RequestedAt, now)
	}
}

// updateStandby updates the powered-off machines, the number of available ones and the
// size of the largest machine from a list, and returns the machines in it. A machine that an
// incomplete list lacks stays as it was. An entry whose pool is not configured may have
// been left by another program, or be older than the configuration: it shows only that
// the machine may exist.
func (s *Scheduler[P, H]) updateStandby(list Outcome) map[jobs.MachineID]bool {
	f := &s.fleet
	standby := map[jobs.PoolName]bool{}
	for _, p := range s.State.Config.Pools {
		standby[p.Name] = p.Standby
	}
	if !list.Incomplete {
		clear(f.standby)
	}
	f.availableMachines = 0
	listed := make(map[jobs.MachineID]bool, len(list.Machines))
	for _, m := range list.Machines {
		listed[m.ID] = true
		if !s.configuredPools[m.Pool] {
			continue
		}
		if f.maxMilliCores.MilliCores < m.Capacity.MilliCores {
			f.maxMilliCores = m.Capacity
		}
		if m.Available && !standby[m.Pool] {
			f.availableMachines++
		}
		delete(f.standby, m.ID)
		if !standby[m.Pool] || !m.Available {
			continue
		}
		move, moving := f.moves[m.ID]
		if moving && move.to == m.Pool {
			// The answer to the order was lost, or an earlier leader got it.
			delete(f.moves, m.ID)
			s.updateGoingDown(m.ID)
			moving = false
		}
		if !moving {
			f.standby[m.ID] = m.Pool
		}
	}
	return listed
}
