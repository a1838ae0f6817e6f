package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// orderRetryMillis separates two orders for one machine when the first was
// refused for now or its answer was lost.
const orderRetryMillis clock.Millis = 400

// refusalsToList is the number of refusals of a machine after which the list of
// machines is read again.
const refusalsToList = 8

// upkeepPeriod separates two looks at the waves.
const upkeepPeriod clock.Millis = 50

// wave is the progress of a declared maintenance in this term.
type wave struct {
	*jobs.Wave
	// away holds the machines that were ordered to be maintained and are not
	// known to be back, with the life that their worker had.
	away map[jobs.MachineID]absence
	// next holds the time before which an order is not repeated.
	next map[jobs.MachineID]clock.Millis
	// flying holds the machines whose order has no answer yet.
	flying map[jobs.MachineID]bool
	// refused counts the refusals of a machine since the last list of machines.
	refused map[jobs.MachineID]int
	// repeated holds the machines that were ordered more than once: a good
	// answer may then speak of the first order.
	repeated map[jobs.MachineID]bool
}

type absence struct {
	life jobs.Incarnation
	// from is when the order was given, or the term began.
	from clock.Millis
}

func newWave(w *jobs.Wave) *wave {
	v := &wave{
		Wave: w, away: map[jobs.MachineID]absence{}, next: map[jobs.MachineID]clock.Millis{},
		flying: map[jobs.MachineID]bool{}, repeated: map[jobs.MachineID]bool{}, refused: map[jobs.MachineID]int{},
	}
	// What an earlier leader ordered may be down now.
	for m := range w.Ordered {
		v.away[m] = absence{}
	}
	return v
}

// DeclareWave accepts a wave. A number that is known is left as it is.
func (b *Scheduler[O, J]) DeclareWave(w jobs.Wave, now clock.Millis) {
	if b.State.Waves[w.Number] != nil {
		return
	}
	w.DeclaredAt = max(now, b.State.Time)
	w.Deadline += w.DeclaredAt
	w.MaxDown = max(w.MaxDown, 1)
	b.apply(jobs.Op{Kind: jobs.OpDeclareWave, WaveNumber: w.Number, Wave: &w}, now)
	b.waves[w.Number] = newWave(b.State.Waves[w.Number])
}

// maintain orders the maintenance of machines of the waves, at most the cap of
// each at a time, and keeps new work off the machines that come next.
func (b *Scheduler[O, J]) maintain(now clock.Millis) {
	if now < b.upkeep {
		return
	}
	b.upkeep = now + upkeepPeriod
	for _, n := range slices.Sorted(maps.Keys(b.waves)) {
		v := b.waves[n]
		b.returned(v, now)
		if v.Completed() || now < b.began+b.set.TakeoverDelayMillis {
			continue
		}
		b.advance(v, now)
	}
}

// returned forgets the absence of machines whose worker has a new life. One
// without a known worker, such as a machine that is off, has none to come back;
// the time that a maintenance takes bounds its absence.
func (b *Scheduler[O, J]) returned(v *wave, now clock.Millis) {
	for m, a := range v.away {
		if v.flying[m] {
			continue
		}
		w := b.machines[m]
		back := w != nil && a.life != 0 && w.life != a.life
		most := 2 * b.set.MaintenanceMillis
		if a.life != 0 {
			most += b.set.MaintenanceMillis
		}
		if back || now >= max(a.from, b.began)+most {
			delete(v.away, m)
			b.stay(w, a.life)
		}
	}
}

// stay gives tasks again to a worker whose machine was ordered away and is still
// there after the time that this takes: the order was not carried out.
func (b *Scheduler[O, J]) stay(w *worker, life jobs.Incarnation) {
	if w != nil && w.life == life && w.leaving {
		w.leaving = false
		b.dirty[b.pool(w.pool)] = true
	}
}

// advance gives the orders that the cap allows. No more machines are down at a
// time than the deadline calls for, and those of pools without waiting work go
// first, so that a wave takes little room while a pool needs it.
func (b *Scheduler[O, J]) advance(v *wave, now clock.Millis) {
	var left []jobs.MachineID
	for _, m := range v.Machines {
		if !v.Started[m] && !v.flying[m] {
			left = append(left, m)
		}
	}
	pace := b.pace(v, now)
	slices.SortStableFunc(left, func(x, y jobs.MachineID) int {
		return cmp.Compare(b.burden(x), b.burden(y))
	})
	room, ahead := pace-len(v.away), pace
	for _, m := range left {
		w := b.machines[m]
		_, away := v.away[m]
		switch {
		case v.next[m] > now:
		case away && len(v.away) > v.MaxDown:
			// An earlier leader ordered more than the cap, as some were refused.
			// Which of them are down is not known until all must be back.
		case away:
			// The answer to an earlier order was lost.
			b.orderMaintenance(v, m, w, now)
		case room > 0 && b.clear(v, w, now):
			room--
			b.orderMaintenance(v, m, w, now)
		case w != nil && ahead > 0:
			ahead--
			w.held = true
		case w != nil && w.held:
			w.held = false
			b.dirty[b.pool(w.pool)] = true
		}
	}
}

// marginMillis is the time before a wave's deadline by which it is to be done.
const marginMillis = 3 * clock.Second

// pace is the number of machines that have to be down at a time for the wave
// to end in time.
func (b *Scheduler[O, J]) pace(v *wave, now clock.Millis) int {
	left := clock.Millis(len(v.Machines) - len(v.Started))
	each := b.set.MaintenanceMillis + b.set.MaxHoldMillis
	time := max(v.Deadline-marginMillis-now, each)
	return int(min(max((left*each+time-1)/time, 1), clock.Millis(v.MaxDown)))
}

// burden orders machines for maintenance; small goes first: a machine without
// a worker, then those of pools without waiting work that run little.
func (b *Scheduler[O, J]) burden(m jobs.MachineID) int {
	w := b.machines[m]
	if w == nil {
		return -1
	}
	n := 0
	for _, r := range w.runs {
		if !r.step.LongRunning {
			n++
		}
	}
	if b.pool(w.pool).waits() {
		n += 1000
	}
	if w.held {
		// A machine that is held already has given its room up.
		n -= 100
	}
	return max(n, 0)
}

// waits reports whether tasks of the pool wait for a worker.
func (p *pool) waits() bool {
	return slices.ContainsFunc(p.groups, func(g *group) bool { return len(g.waiting) > 0 && !g.rec.Status.Final() })
}

// clear reports whether a machine may go down now: what ends by itself has
// ended, or the wave is short of time, and no lasting step loses more tasks
// than it may.
func (b *Scheduler[O, J]) clear(v *wave, w *worker, now clock.Millis) bool {
	if w == nil {
		return true
	}
	late := b.late(v, now)
	lost := map[groupKey]int{}
	recs := map[groupKey]*jobs.Record{}
	for t, r := range w.runs {
		switch {
		case !r.step.LongRunning:
			if !late {
				return false
			}
		case r.step.MaxUnavailable > 0 && r.atWork():
			k := keyOf(t)
			lost[k]++
			recs[k] = r.rec
		}
	}
	for k, n := range lost {
		rec := recs[k]
		if rec.Status.Final() {
			continue
		}
		missing := b.missing(rec, k)
		if missing+n <= rec.Steps[k.step].MaxUnavailable {
			continue
		}
		if missing == 0 && n > 1 {
			b.thin(w, k, n)
		}
		return false
	}
	return true
}

// thin stops one of several tasks of a lasting step on a worker, which together
// are more than may be away, so that it starts on another worker first.
func (b *Scheduler[O, J]) thin(w *worker, k groupKey, n int) {
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		if keyOf(id) == k && r.listed && !r.stopping {
			b.stop(w, r, fmt.Sprintf("%d of its step are on a machine to be maintained, no other is away", n))
			return
		}
	}
}

// atWork reports whether a lasting task serves its users.
func (r *run) atWork() bool { return r.listed && r.percent >= 100 && !r.stopping }

// missing counts the tasks of a lasting step that are not at work.
func (b *Scheduler[O, J]) missing(rec *jobs.Record, k groupKey) int {
	n := 0
	for i, t := range rec.Occurrences[k.occurrence].Steps[k.step].Tasks {
		w := b.workers[t.Worker]
		if t.Phase != jobs.PhaseAssigned || w == nil || w.leaving {
			n++
			continue
		}
		r := w.runs[k.task(i)]
		if r == nil || !r.atWork() {
			n++
		}
	}
	return n
}

// late reports whether the rest of a wave does not fit the time left unless
// running tasks are ended.
func (b *Scheduler[O, J]) late(v *wave, now clock.Millis) bool {
	rounds := (len(v.Machines) - len(v.Started) + v.MaxDown - 1) / v.MaxDown
	return now+clock.Millis(rounds)*(b.set.MaintenanceMillis+b.set.MaxHoldMillis) > v.Deadline
}

func (b *Scheduler[O, J]) orderMaintenance(v *wave, m jobs.MachineID, w *worker, now clock.Millis) {
	v.repeated[m] = v.Ordered[m]
	if !v.Ordered[m] {
		b.apply(jobs.Op{Kind: jobs.OpMaintenanceOrdered, WaveNumber: v.Number, Machine: m}, now)
	}
	a := absence{from: now}
	if w != nil {
		a.life = w.life
		w.held, w.leaving = true, true
	}
	if old, ok := v.away[m]; ok {
		a.from = old.from
		if old.life != 0 {
			a.life = old.life
		}
	}
	v.away[m] = a
	b.noteOrder(v, m, w)
	v.flying[m] = true
	v.next[m] = now + orderRetryMillis
	b.out.Actions = append(b.out.Actions, Action{Kind: ActionMaintain, Wave: v.Number, Machine: m})
}

// noteOrder explains an order: what ends with the machine, and how many tasks of
// each lasting step are away beside them.
func (b *Scheduler[O, J]) noteOrder(v *wave, m jobs.MachineID, w *worker) {
	reason := fmt.Sprintf("machine %s for wave %d, %d of it down or on their way", m, v.Number, len(v.away))
	if w != nil {
		for _, t := range sortedTasks(w.runs) {
			r := w.runs[t]
			if r.step.MaxUnavailable > 0 {
				away := b.missing(r.rec, keyOf(t))
				reason += fmt.Sprintf("; ends %s step %d index %d, %d away with it of %d", t.Job, t.Step, t.Index, away, r.step.MaxUnavailable)
			}
		}
	}
	b.noteFleet(DecisionMaintenanceOrdered, reason)
}

// Answer is what the platform said to a maintenance order.
type Answer int

// The answers of the platform.
const (
	// AnswerDone: the machine goes down, or its maintenance had begun already.
	AnswerDone Answer = iota
	// AnswerRefusedForNow: refused for now; nothing was done.
	AnswerRefusedForNow
	// AnswerRefusedForGood: the machine does not exist or is not part of the wave.
	AnswerRefusedForGood
	// AnswerUnknown: no answer; the order may have been carried out.
	AnswerUnknown
)

var platformAnswers = [...]string{"begun", "refused for now", "refused for good", "no answer"}

// String returns the name used in logs.
func (a Answer) String() string {
	if a < 0 || int(a) >= len(platformAnswers) {
		return "undefined"
	}
	return platformAnswers[a]
}

// HandleOutcome takes the platform's answer to an action.
func (b *Scheduler[O, J]) HandleOutcome(a Action, o Outcome, now clock.Millis) {
	switch a.Kind {
	case ActionMaintain:
		b.maintained(a, o, now)
	case ActionMove:
		b.moved(a, o, now)
	case ActionListMachines:
		b.machinesListed(o, now)
	case ActionAdvise:
		b.answered(a, o, now)
	}
}

func (b *Scheduler[O, J]) maintained(o Action, out Outcome, now clock.Millis) {
	v := b.waves[o.Wave]
	if v == nil {
		return
	}
	delete(v.flying, o.Machine)
	b.noteFleet(DecisionMaintenanceAnswered, fmt.Sprintf("machine %s of wave %d: %s", o.Machine, o.Wave, out))
	switch out.Answer {
	case AnswerDone:
		b.apply(jobs.Op{Kind: jobs.OpMaintenanceStarted, WaveNumber: o.Wave, Machine: o.Machine}, now)
		v.away[o.Machine] = absence{life: v.away[o.Machine].life, from: now}
		if w := b.machines[o.Machine]; w != nil && w.life == v.away[o.Machine].life && !v.repeated[o.Machine] {
			b.remove(w, "its machine is maintained", now)
		}
	case AnswerRefusedForGood:
		b.apply(jobs.Op{Kind: jobs.OpMaintenanceStarted, WaveNumber: o.Wave, Machine: o.Machine}, now)
		delete(v.away, o.Machine)
		if w := b.machines[o.Machine]; w != nil {
			w.held, w.leaving = false, false
		}
	case AnswerRefusedForNow:
		if v.refused[o.Machine]++; v.refused[o.Machine] == refusalsToList {
			// The machine may be gone for good; the list of machines tells.
			b.fleet.asked = 0
		}
		// A repeated order may be refused because the first was carried out.
		if !v.repeated[o.Machine] {
			delete(v.away, o.Machine)
		}
		if w := b.machines[o.Machine]; w != nil {
			w.leaving = false
		}
		v.next[o.Machine] = now + orderRetryMillis
	case AnswerUnknown:
		v.away[o.Machine] = absence{life: v.away[o.Machine].life, from: now}
		v.next[o.Machine] = now + orderRetryMillis
	}
}

// dropMissing takes machines that do not exist any more off the waves: none of
// them stays to be maintained.
func (b *Scheduler[O, J]) dropMissing(listed map[jobs.MachineID]bool, now clock.Millis) {
	for _, n := range slices.Sorted(maps.Keys(b.waves)) {
		v := b.waves[n]
		clear(v.refused)
		for _, m := range v.Machines {
			if v.Started[m] || v.flying[m] || listed[m] || b.machines[m] != nil {
				continue
			}
			b.apply(jobs.Op{Kind: jobs.OpMaintenanceStarted, WaveNumber: v.Number, Machine: m}, now)
			delete(v.away, m)
			b.noteFleet(DecisionMaintenanceDropped, fmt.Sprintf("machine %s of wave %d does not exist any more", m, v.Number))
		}
	}
}

// maintenanceDue is when the waves have to be looked at again.
func (b *Scheduler[O, J]) maintenanceDue(now clock.Millis) (clock.Millis, bool) {
	for _, v := range b.waves {
		if !v.Completed() {
			return max(b.upkeep, b.began+b.set.TakeoverDelayMillis), true
		}
	}
	return 0, false
}
