package sched

import (
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Rules for machines of waves that may no longer exist.
const (
	// absenceMillis is how long a machine must be missing from the list of
	// machines before it counts as gone. It is longer than a move or a
	// maintenance, during which a machine has no worker, and longer than it
	// takes to read a list: a machine that changes its page while the pages are
	// read is missing from one list, but not from the next.
	absenceMillis = 3 * clock.Second
	// absentLists is the number of lists, absenceMillis or more apart, that must
	// lack a machine that counts as gone.
	absentLists = 2
	// recentMillis is the age up to which the latest list without a machine is
	// sufficient to record the machine as gone. An older list is requested again,
	// because the machine may have returned. It is longer than the interval between
	// two checks of the waves.
	recentMillis = clock.Second
	// liveMillis is the age up to which a worker's heartbeat proves that its
	// machine exists when a list is requested. A list without such a machine
	// lacks machines. It is longer than the interval between two heartbeats.
	liveMillis = clock.Second
	// refusedRetryMillis is the pause before a maintenance order is repeated that
	// the platform refused for good.
	refusedRetryMillis = 2 * clock.Second
)

// absence is the evidence that a machine of a wave no longer exists. It is
// collected anew in each term. It is void when a list names the machine or its
// worker sends a heartbeat.
type absence struct {
	// lists counts the lists without the machine, and countedAt is when the
	// latest of them was received. A list that was requested less than
	// absenceMillis after countedAt is not counted.
	lists     int
	countedAt clock.Millis
}

// proven reports whether the evidence is sufficient.
func (a *absence) proven() bool { return a != nil && a.lists >= absentLists }

// suspended reports whether no maintenance is ordered because a list lacks the
// machine. An order for a machine that is gone is refused again and again, and
// each one counts as a machine that is down until it is answered.
func (a *absence) suspended() bool { return a != nil && a.lists > 0 }

// remainingMachines returns the number of machines of a wave whose maintenance
// has not started, without those that are proven to be gone.
func (s *Scheduler[P, H]) remainingMachines(v *wave) int {
	n := 0
	for _, m := range v.Machines {
		if !v.Started[m] && !s.absences[m].proven() {
			n++
		}
	}
	return n
}

// suspect starts to collect evidence that a machine no longer exists, because
// the platform refuses orders for it.
func (s *Scheduler[P, H]) suspect(m jobs.MachineID) {
	if s.absences[m] == nil {
		s.absences[m] = &absence{}
	}
}

// handleRefusedForGood processes the platform's answer that a machine does not
// exist or is not part of the wave. The answer alone does not prove it: the
// machine counts as gone only once it is also missing from the lists.
func (s *Scheduler[P, H]) handleRefusedForGood(v *wave, m jobs.MachineID, now clock.Millis) {
	v.nextOrder[m] = now + refusedRetryMillis
	s.suspect(m)
	if v.repeated[m] {
		// An earlier order may have been carried out.
		return
	}
	delete(v.down, m)
	delete(v.next, m)
	s.updateGoingDown(m)
	s.updateCordons()
}

// updateAbsences updates the evidence with a list of machines. listed holds the
// machines in it. It also resets the counts of refused orders.
func (s *Scheduler[P, H]) updateAbsences(list Outcome, listed map[jobs.MachineID]bool, requestedAt, now clock.Millis) {
	if unlisted := s.liveMachineOutside(listed, requestedAt); unlisted != "" {
		list.Incomplete = true
		list.Reason = fmt.Sprintf("machine %s is missing although its worker sends heartbeats", unlisted)
	}
	for _, v := range s.waves {
		clear(v.refusals)
	}
	unstarted := s.unstartedMachines()
	maps.DeleteFunc(s.absences, func(m jobs.MachineID, _ *absence) bool { return !unstarted[m] })
	for _, m := range slices.Sorted(maps.Keys(unstarted)) {
		a := s.absences[m]
		switch {
		case listed[m] || s.heardSince(m, requestedAt):
			delete(s.absences, m)
			continue
		case list.Incomplete:
			continue
		case a == nil:
			a = &absence{}
			s.absences[m] = a
		}
		if a.lists == 0 || requestedAt-a.countedAt >= absenceMillis {
			a.lists, a.countedAt = a.lists+1, now
			s.noteFleet(DecisionMachineMissing, fmt.Sprintf("machine %s, missing from %d lists in a row: %s", m, a.lists, explainList(list)))
		}
	}
}

// unstartedMachines returns the machines of all waves whose maintenance has not
// started.
func (s *Scheduler[P, H]) unstartedMachines() map[jobs.MachineID]bool {
	machines := map[jobs.MachineID]bool{}
	for _, v := range s.waves {
		for _, m := range v.Machines {
			if !v.Started[m] {
				machines[m] = true
			}
		}
	}
	return machines
}

// liveMachineOutside returns a machine that is not in a list requested at the
// given time although its worker had just sent a heartbeat; empty for none. The
// machine of a worker that is draining or going down may be leaving.
func (s *Scheduler[P, H]) liveMachineOutside(listed map[jobs.MachineID]bool, requestedAt clock.Millis) jobs.MachineID {
	for m, w := range s.workerByMachine {
		if !listed[m] && !w.draining && !w.goingDown && s.heardSince(m, requestedAt-liveMillis) {
			return m
		}
	}
	return ""
}

// heardSince reports whether the worker of a machine has sent a heartbeat at or
// after the given time.
func (s *Scheduler[P, H]) heardSince(m jobs.MachineID, since clock.Millis) bool {
	w := s.workerByMachine[m]
	return w != nil && w.machine == m && w.heardAt >= since
}

// endAbsences records the maintenance of the remaining machines of a wave as
// started if all of them are proven to be gone by a recent list, so that the wave
// does not wait for them. Until then it requests the lists that it needs as evidence.
// While other machines remain, a machine that seems gone may still return.
func (s *Scheduler[P, H]) endAbsences(v *wave, now clock.Millis) {
	var gone []jobs.MachineID
	proven, recent, othersRemain := true, true, false
	for _, m := range v.Machines {
		a := s.absences[m]
		switch {
		case v.Started[m]:
		case a == nil || v.pending[m]:
			othersRemain = true
		default:
			gone = append(gone, m)
			proven = proven && a.proven()
			recent = recent && now-a.countedAt <= recentMillis
		}
	}
	if !proven || (!recent && !othersRemain) {
		s.requestAbsenceList(now)
	}
	if !proven || !recent || othersRemain {
		return
	}
	for _, m := range gone {
		delete(v.down, m)
		s.updateGoingDown(m)
		s.noteFleet(DecisionMaintenanceDropped, fmt.Sprintf("machine %s of wave %d no longer exists: it is missing from %d lists", m, v.Number, s.absences[m].lists))
		s.recordStarted(v, m, evidenceAbsence, now)
	}
}

// requestAbsenceList requests the list of machines, absenceMillis after the
// latest one at the earliest.
func (s *Scheduler[P, H]) requestAbsenceList(now clock.Millis) {
	f := &s.fleet
	if f.listRequestedAt == 0 || now-max(f.listRequestedAt, f.listedAt) >= absenceMillis {
		s.requestMachineList(now)
	}
}
