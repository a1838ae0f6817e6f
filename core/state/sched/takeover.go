package sched

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// heardPercent is the share of the available machines whose workers must have sent a
// heartbeat before a new leader orders moves or maintenance. A pool whose workers are not
// heard yet looks smaller than it is.
const heardPercent = 90

// clockMarginMillis is the error of the age of an order, because the leader's clock may
// have been set between the order and the latest change of the state.
const clockMarginMillis = 3 * clock.Second

// takeover holds what a new leader needs to know before it gives orders for machines. A
// leader that waits without need is slow to move machines to a pool whose peak has begun.
type takeover struct {
	// inherited holds the machines of recent orders of earlier leaders, and those whose
	// maintenance was ordered and is not recorded as started.
	inherited map[jobs.MachineID]bool
	// settled caches a positive result of isSettled.
	settled bool
}

// newTakeover returns the takeover from the leader that has left the given state. An order
// is committed before it is sent, so the state has all of them. An order is recent for
// effect plus clockMarginMillis.
func newTakeover(state *jobs.State, effect clock.Millis) takeover {
	t := takeover{inherited: map[jobs.MachineID]bool{}}
	for _, o := range state.MachineOrders {
		if state.Time-o.At <= effect+clockMarginMillis {
			t.inherited[o.Machine] = true
		}
	}
	for _, w := range state.Waves {
		for m := range w.Ordered {
			if !w.Started[m] {
				t.inherited[m] = true
			}
		}
	}
	return t
}

// isSettled reports whether this leader may give orders for machines that no earlier leader
// has given orders for: it has heard most workers, or has waited for TakeoverDelayMillis.
func (s *Scheduler[P, H]) isSettled(now clock.Millis) bool {
	t := &s.takeover
	if t.settled {
		return true
	}
	if now >= s.termStart+s.settings.TakeoverDelayMillis {
		t.settled = true
		return true
	}
	if s.fleet.listedAt == 0 {
		return false
	}
	heard := 0
	for _, w := range s.workers {
		if w.reported {
			heard++
		}
	}
	t.settled = heard*100 >= s.fleet.availableMachines*heardPercent
	if t.settled {
		s.noteFleet(DecisionTakeoverSettled, fmt.Sprintf("%d of %d workers heard, list of machines received after %d ms, %d machines with recent orders wait",
			heard, s.fleet.availableMachines, s.fleet.listedAt-s.termStart, len(t.inherited)))
	}
	return t.settled
}

// mayOrder reports whether this leader may order the maintenance or a move of a machine.
// Two leaders must not give orders for one machine in turn within TakeoverDelayMillis.
func (s *Scheduler[P, H]) mayOrder(m jobs.MachineID, now clock.Millis) bool {
	return now >= s.termStart+s.settings.TakeoverDelayMillis || (s.isSettled(now) && !s.takeover.inherited[m])
}

// mayHideWorker reports whether a machine without a known worker may run one: a worker of
// an earlier term has not been heard, and its lease has not ended. Its machine is unknown.
func (s *Scheduler[P, H]) mayHideWorker(now clock.Millis) bool {
	if now > s.termStart+s.maxLease() {
		return false
	}
	for _, w := range s.workers {
		if !w.reported && w.leaseUntil >= now {
			return true
		}
	}
	return false
}

// restoreMoves adds the moves of an earlier leader that may be in progress. The orders are
// in the order of time: a later order for maintenance ends an earlier move.
func (s *Scheduler[P, H]) restoreMoves(now clock.Millis) {
	for _, o := range s.State.MachineOrders {
		age := s.State.Time - o.At
		if o.Pool == "" || age > 2*s.settings.MoveMillis {
			delete(s.fleet.moves, o.Machine)
			continue
		}
		s.fleet.moves[o.Machine] = machineMove{to: o.Pool, incarnation: o.Incarnation, orderedAt: now - age}
	}
}
