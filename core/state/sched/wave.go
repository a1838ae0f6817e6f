package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// maintenanceRetryMillis is the pause before a maintenance order is repeated
// after it was refused for now or its answer was lost.
const maintenanceRetryMillis clock.Millis = 400

// refusalsBeforeSuspicion is the number of refused orders for a machine after
// which the machine may no longer exist. The list of machines is requested then.
const refusalsBeforeSuspicion = 8

// waveCheckPeriodMillis is the interval between two checks of the waves.
const waveCheckPeriodMillis clock.Millis = 50

// wave is the progress of a declared wave in this term.
type wave struct {
	*jobs.Wave
	// down holds the machines whose maintenance was ordered and that are not
	// known to be back.
	down map[jobs.MachineID]downtime
	// next holds the machines that come next, from which new tasks are kept off.
	next map[jobs.MachineID]bool
	// nextOrder holds the earliest time at which the order for a machine may be
	// repeated.
	nextOrder map[jobs.MachineID]clock.Millis
	// blockages holds the machines that can't go down now, whether or not their finite
	// tasks end, since mayCordon first found so.
	blockages map[jobs.MachineID]blockage
	// pending holds the machines whose order has no answer yet.
	pending map[jobs.MachineID]bool
	// refusals counts the refused orders for a machine since the last list of
	// machines.
	refusals map[jobs.MachineID]int
	// repeated holds the machines whose maintenance was ordered more than once.
	// The answer to the last order may then be the result of an earlier one.
	repeated map[jobs.MachineID]bool
	// recorded counts the machines whose maintenance was recorded as started in
	// this term, by the kind of evidence.
	recorded [evidenceKinds]int
	// complete caches a positive result of Completed, because every pass asks
	// for it.
	complete bool
}

// isComplete reports whether the wave needs no more orders.
func (v *wave) isComplete() bool {
	v.complete = v.complete || v.Completed()
	return v.complete
}

// downtime is the expected downtime of a machine.
type downtime struct {
	// incarnation is that of the machine's latest worker known when the
	// maintenance was ordered or, later, when the order was answered; 0 for
	// none or unknown.
	incarnation jobs.Incarnation
	// orderedFor is the incarnation of the worker that the latest order of this
	// term would end; 0 for none.
	orderedFor jobs.Incarnation
	// earliestReturn is the time from which a heartbeat of another incarnation
	// shows that the machine is back.
	earliestReturn clock.Millis
	// since is when the maintenance was ordered or, later, when the order was
	// confirmed or its answer was lost; 0 for an order of an earlier term.
	since clock.Millis
	// backAt is the time from which a heartbeat of any incarnation shows that the
	// machine is back; 0 until the platform has confirmed the order.
	backAt clock.Millis
}

// newWave returns the progress of a wave in a new term. inherited holds the machines for
// which an earlier leader may have given orders lately.
func newWave(w *jobs.Wave, inherited map[jobs.MachineID]bool) *wave {
	v := &wave{
		Wave: w, down: map[jobs.MachineID]downtime{}, next: map[jobs.MachineID]bool{}, nextOrder: map[jobs.MachineID]clock.Millis{},
		blockages: map[jobs.MachineID]blockage{}, pending: map[jobs.MachineID]bool{}, repeated: map[jobs.MachineID]bool{}, refusals: map[jobs.MachineID]int{},
	}
	for m := range w.Ordered {
		if inherited[m] {
			v.down[m] = downtime{}
		}
	}
	return v
}

// DeclareWave accepts a wave. Its Deadline is relative to now. The call has no
// effect if the wave number is known. It returns false if the known wave has
// other machines: its completion would say nothing about them.
func (s *Scheduler[P, H]) DeclareWave(w jobs.Wave, now clock.Millis) bool {
	if known := s.State.Waves[w.Number]; known != nil {
		return known.HasMachines(w.Machines)
	}
	w.DeclaredAt = max(now, s.State.Time)
	w.Deadline += w.DeclaredAt
	w.MaxDown = max(w.MaxDown, 1)
	s.apply(jobs.Op{Kind: jobs.OpDeclareWave, WaveNumber: w.Number, Wave: &w}, now)
	s.waves[w.Number] = newWave(s.State.Waves[w.Number], nil)
	return true
}

// advanceWaves ends the downtimes that are over and advances the waves that are
// not completed.
func (s *Scheduler[P, H]) advanceWaves(now clock.Millis) {
	if now < s.nextWaveCheck {
		return
	}
	s.nextWaveCheck = now + waveCheckPeriodMillis
	s.updateMaintenanceDue()
	for _, n := range slices.Sorted(maps.Keys(s.waves)) {
		v := s.waves[n]
		s.clearReturned(v, now)
		if v.isComplete() || !s.isSettled(now) {
			continue
		}
		s.endAbsences(v, now)
		s.advanceWave(v, now)
	}
	s.updateCordons()
}

// updateMaintenanceDue sets maintenanceDue.
func (s *Scheduler[P, H]) updateMaintenanceDue() {
	clear(s.maintenanceDue)
	for _, v := range s.waves {
		if v.isComplete() {
			continue
		}
		for _, m := range v.Machines {
			if !v.Started[m] {
				s.maintenanceDue[m] = true
			}
		}
	}
}

// clearReturned ends the downtime of machines whose worker has returned from
// it. A downtime also ends after the longest time that a maintenance
// can take, because no worker returns on some machines, such as those that are
// powered off.
func (s *Scheduler[P, H]) clearReturned(v *wave, now clock.Millis) {
	for m, down := range v.down {
		if v.pending[m] {
			continue
		}
		w := s.workerByMachine[m]
		returned := w != nil && down.endsWith(w)
		longest := 2 * s.settings.MaintenanceMillis
		if down.incarnation != 0 {
			longest += s.settings.MaintenanceMillis
		}
		if returned || now >= max(down.since, s.termStart)+longest {
			delete(v.down, m)
			s.updateGoingDown(m)
		}
	}
}

// advanceWave orders the maintenance of machines of a wave and keeps new tasks
// off the machines that come next. At most MaxDown machines are down at a time,
// and no more than the deadline requires. Machines of pools without waiting
// work come first, so that the wave takes little capacity from pools that need
// it.
func (s *Scheduler[P, H]) advanceWave(v *wave, now clock.Millis) {
	var remaining []jobs.MachineID
	for _, m := range v.Machines {
		if !v.Started[m] && !v.pending[m] && !s.absences[m].suspended() {
			remaining = append(remaining, m)
		}
	}
	parallel, behind := s.requiredParallelism(v, now), s.behindSchedule(v, now)
	slices.SortStableFunc(remaining, func(x, y jobs.MachineID) int {
		return cmp.Compare(s.disruptionCost(x), s.disruptionCost(y))
	})
	toOrder, toCordon := parallel-len(v.down), parallel
	next, hidden := map[jobs.MachineID]bool{}, s.mayHideWorker(now)
	for _, m := range remaining {
		w := s.workerByMachine[m]
		_, isDown := v.down[m]
		switch {
		case v.nextOrder[m] > now || s.beingMoved(m, now) || !s.mayOrder(m, now) || (w == nil && hidden):
			next[m] = v.next[m] && s.mayCordon(v, m, w, now)
		case isDown && len(v.down) > v.MaxDown:
			// An earlier leader gave orders for more than MaxDown machines,
			// because some orders were refused. It is unknown which of the
			// machines are down, so no order is repeated before enough
			// downtimes have ended.
		case isDown:
			// The answer to an earlier order was lost, or a repeated one was
			// refused. Other tasks may have become unavailable since. The order
			// does not wait for finite tasks, because the machine keeps its place
			// until it is answered.
			if s.mayGoDown(w, true) {
				s.orderMaintenance(v, m, w, now)
			}
		case toOrder > 0 && s.mayGoDown(w, behind):
			toOrder--
			next[m] = s.mayCordon(v, m, w, now)
			s.orderMaintenance(v, m, w, now)
		case w != nil && toCordon > 0 && s.mayCordon(v, m, w, now):
			toCordon--
			next[m] = true
		}
	}
	v.next = next
}

// deadlineMarginMillis is how long before its deadline a wave should be
// completed.
const deadlineMarginMillis = 3 * clock.Second

// requiredParallelism returns the number of machines that must be down at a
// time to complete the wave deadlineMarginMillis before its deadline, from 1 to
// MaxDown.
func (s *Scheduler[P, H]) requiredParallelism(v *wave, now clock.Millis) int {
	remainingMachines := clock.Millis(s.remainingMachines(v))
	perMachine := s.settings.MaintenanceMillis + s.settings.MaxReplyDelayMillis
	timeLeft := max(v.Deadline-deadlineMarginMillis-now, perMachine)
	return int(min(max((remainingMachines*perMachine+timeLeft-1)/timeLeft, 1), clock.Millis(v.MaxDown)))
}

// disruptionCost ranks the machines for maintenance, the lowest cost first. The
// cost is lowest for a machine without a worker. It grows with the number of
// finite tasks on the machine, and by more if tasks of its pool are waiting.
func (s *Scheduler[P, H]) disruptionCost(m jobs.MachineID) int {
	w := s.workerByMachine[m]
	if w == nil {
		return -1
	}
	cost := 0
	for _, r := range w.runs {
		if !r.step.LongRunning {
			cost++
		}
	}
	if s.hasWaiting(s.pool(w.pool)) {
		cost += 1000
	}
	if w.cordoned {
		// A cordoned machine gets no new tasks anyway, so its maintenance takes
		// less capacity.
		cost -= 100
	}
	return max(cost, 0)
}

// behindSchedule reports whether the remaining maintenance of a wave, of
// MaxDown machines at a time, takes longer than the time left until the
// deadline. The wave then no longer waits for running tasks to end.
func (s *Scheduler[P, H]) behindSchedule(v *wave, now clock.Millis) bool {
	rounds := (s.remainingMachines(v) + v.MaxDown - 1) / v.MaxDown
	return now+clock.Millis(rounds)*(s.settings.MaintenanceMillis+s.settings.MaxReplyDelayMillis) > v.Deadline
}

// orderMaintenance orders the maintenance of a machine, or repeats the order. w
// is the machine's worker; nil for none.
func (s *Scheduler[P, H]) orderMaintenance(v *wave, m jobs.MachineID, w *worker, now clock.Millis) {
	v.repeated[m] = v.Ordered[m]
	if !v.Ordered[m] {
		s.apply(jobs.Op{Kind: jobs.OpMaintenanceOrdered, WaveNumber: v.Number, Machine: m}, now)
	}
	down := downtime{since: now, earliestReturn: s.earliestReturn(now)}
	if w != nil {
		down.incarnation, down.orderedFor = w.incarnation, w.incarnation
	}
	if previous, ok := v.down[m]; ok {
		down.since = previous.since
		if previous.incarnation != 0 {
			down.incarnation = previous.incarnation
		}
	}
	v.down[m] = down
	v.pending[m] = true
	s.updateGoingDown(m)
	s.noteMaintenanceOrder(v, m, w)
	v.nextOrder[m] = now + maintenanceRetryMillis
	s.plan.Actions = append(s.plan.Actions, Action{Kind: ActionMaintain, Wave: v.Number, Machine: m})
}

// noteMaintenanceOrder adds a note on an order: which tasks with MaxUnavailable
// it ends, and how many tasks of their step are unavailable then.
func (s *Scheduler[P, H]) noteMaintenanceOrder(v *wave, m jobs.MachineID, w *worker) {
	reason := fmt.Sprintf("machine %s for wave %d, %d machines of the wave are down or ordered to go down", m, v.Number, len(v.down))
	if w != nil {
		for _, t := range sortedTaskIDs(w.runs) {
			r := w.runs[t]
			if r.step.MaxUnavailable > 0 {
				unavailable := s.unavailable(r.rec, stepKeyOf(t))
				reason += fmt.Sprintf("; ends job %s step %d index %d, tasks of the step unavailable then: %d of at most %d", t.Job, t.Step, t.Index, unavailable, r.step.MaxUnavailable)
			}
		}
	}
	s.noteFleet(DecisionMaintenanceOrdered, reason)
}

// Answer is the platform's answer to an action.
type Answer int

// The answers of the platform.
const (
	// AnswerDone means that the action was or is being carried out. For a
	// maintenance order, the machine goes down, or its maintenance had already
	// started.
	AnswerDone Answer = iota
	// AnswerRefusedForNow means that nothing was done, and the request may be
	// repeated.
	AnswerRefusedForNow
	// AnswerRefusedForGood means that nothing was done, and the same request
	// would be refused again. For a maintenance order, the machine does not
	// exist or is not part of the wave.
	AnswerRefusedForGood
	// AnswerUnknown means that there was no answer; the action may have been
	// carried out.
	AnswerUnknown
)

var answerNames = [...]string{"begun", "refused for now", "refused for good", "no answer"}

// String returns the name used in logs.
func (a Answer) String() string {
	if a < 0 || int(a) >= len(answerNames) {
		return "undefined"
	}
	return answerNames[a]
}

// HandleOutcome processes the platform's answer to an action.
func (s *Scheduler[P, H]) HandleOutcome(action Action, outcome Outcome, now clock.Millis) {
	switch action.Kind {
	case ActionMaintain:
		s.handleMaintenance(action, outcome, now)
	case ActionMove:
		s.handleMove(action, outcome, now)
	case ActionListMachines:
		s.handleMachineList(action, outcome, now)
	case ActionAdvise:
		s.handleAdvice(action, outcome, now)
	}
}

// handleMaintenance processes the platform's answer to a maintenance order.
func (s *Scheduler[P, H]) handleMaintenance(action Action, outcome Outcome, now clock.Millis) {
	v := s.waves[action.Wave]
	if v == nil {
		return
	}
	delete(v.pending, action.Machine)
	s.updateGoingDown(action.Machine)
	s.noteFleet(DecisionMaintenanceAnswered, fmt.Sprintf("machine %s of wave %d: %s", action.Machine, action.Wave, outcome))
	switch outcome.Answer {
	case AnswerDone:
		s.recordStarted(v, action.Machine, evidenceAnswer, now)
		ordered := v.down[action.Machine].incarnation
		s.confirmDowntime(v, action.Machine, now)
		s.setConfirmed(v, action.Machine, now)
		if w := s.workerByMachine[action.Machine]; w != nil && w.incarnation == ordered && !v.repeated[action.Machine] {
			s.dropWorker(w, "the maintenance of the worker's machine started", now)
		}
	case AnswerRefusedForGood:
		s.handleRefusedForGood(v, action.Machine, now)
	case AnswerRefusedForNow:
		if v.refusals[action.Machine]++; v.refusals[action.Machine] == refusalsBeforeSuspicion {
			s.suspect(action.Machine)
		}
		// A repeated order may be refused because an earlier one was carried
		// out.
		if !v.repeated[action.Machine] {
			delete(v.down, action.Machine)
			s.updateGoingDown(action.Machine)
			s.updateCordons()
		}
		v.nextOrder[action.Machine] = now + maintenanceRetryMillis
	case AnswerUnknown:
		s.confirmDowntime(v, action.Machine, now)
		v.nextOrder[action.Machine] = now + maintenanceRetryMillis
	}
}

// nextWaveCheckDue returns when the waves must be checked next; false if all
// waves are completed.
func (s *Scheduler[P, H]) nextWaveCheckDue(now clock.Millis) (clock.Millis, bool) {
	for _, v := range s.waves {
		if !v.isComplete() {
			if s.takeover.settled {
				return s.nextWaveCheck, true
			}
			return max(s.nextWaveCheck, s.termStart+s.settings.TakeoverDelayMillis), true
		}
	}
	return 0, false
}
