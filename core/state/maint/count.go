package maint

import (
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// uncount removes the item from all counts. The next pass counts it again.
func (pl *Planner[P, S]) uncount(it *item) {
	pl.changed[it.inst.ID] = true
	if !it.counted {
		return
	}
	it.counted = false
	if it.unavailable {
		for _, c := range pl.customersByPool[it.inst.Pool] {
			pl.customers[c].remove(it.inst.ID)
			pl.recheckPoolsOfCustomer(pl.customers[c])
		}
	}
	for _, w := range it.pendingIn {
		w.addPending(it.inst, -1)
	}
	if pl.inProgress[it.inst.ID] != nil {
		delete(pl.inProgress, it.inst.ID)
		it.wave.inProgress--
		pl.recheckPoolsIfCanaryPending(it.wave)
	}
	for _, w := range it.touchedBy {
		w.touched.add(it.tally, -1)
	}
	for _, w := range it.peerIn {
		w.peers.add(it.tally, -1)
	}
	for _, w := range it.observedIn {
		w.observedCount--
	}
	if q := pl.dueByPool[it.inst.Pool]; q != nil {
		q.remove(it)
	}
	it.wave, it.pendingIn, it.touchedBy = nil, it.pendingIn[:0], it.touchedBy[:0]
	it.peerIn, it.observedIn = it.peerIn[:0], it.observedIn[:0]
}

// count adds the item to all counts as of now and sets a timer for the next time
// at which they may change without an input. It does nothing if the item is counted
// already or its instance is retired.
func (pl *Planner[P, S]) count(it *item, now clock.Millis) {
	if it.counted || it.inst.Phase == model.PhaseRetired {
		return
	}
	it.counted = true
	pl.countUnavailable(it)
	stuck := it.inst.Phase == model.PhaseMaintenance && !it.observation.Verified && it.inst.PhaseSince+pl.settings.StuckMillis <= now
	it.tally = Tally{Instances: 1, Calls: it.observation.Calls, Failures: it.observation.Failures}
	if stuck || it.observation.LostSince > 0 {
		it.tally.FailedInstances = 1
	}
	for _, name := range pl.waveNames {
		pl.countInWave(it, pl.waves[name], stuck, now)
	}
	switch {
	case inMaintenance(it.inst):
		pl.countInProgress(it)
	case it.wave != nil && it.inst.Phase == model.PhaseServing:
		pl.dueQueue(it.inst.Pool).add(it)
		pl.poolsToCheck[it.inst.Pool] = true
	}
	pl.setItemTimer(it, pl.nextChange(it, now))
}

// countUnavailable counts the instance as unavailable for the customers of its pool
// if it is out of service.
func (pl *Planner[P, S]) countUnavailable(it *item) {
	lost := it.observation.LostSince > 0
	it.unavailable = it.inst.Phase != model.PhaseServing || lost
	if !it.unavailable {
		return
	}
	outCause := causeLoss
	switch {
	case inMaintenance(it.inst):
		outCause = causeMaintenance
	case !lost:
		outCause = causeMove
	}
	from, ok := pl.openOutages[it.inst.ID]
	switch {
	case ok:
	case it.inst.Phase != model.PhaseServing:
		from = it.inst.PhaseSince
	default:
		from = it.observation.LostSince
	}
	for _, c := range pl.customersByPool[it.inst.Pool] {
		pl.customers[c].add(it.inst, outCause, from)
		pl.recheckPoolsOfCustomer(pl.customers[c])
	}
}

// countInWave counts the instance for one wave: as pending if the wave still has to
// maintain it, as touched or peer, and as observed if its MaintainedAt is not before
// the declaration and at least CanaryMillis ago. It sets the item's wave to this one
// if the wave still has to maintain the instance, by an earlier deadline than the
// waves counted before.
func (pl *Planner[P, S]) countInWave(it *item, w *wave, stuck bool, now clock.Millis) {
	if deadline, ok := w.needs(pl.settings, it.inst, now); ok {
		it.pendingIn = append(it.pendingIn, w)
		if len(w.pending) == 0 {
			pl.wavesToCheck[w.decl.Name] = true
		}
		w.addPending(it.inst, 1)
		if it.wave == nil || deadline < it.deadline {
			it.wave, it.deadline = w, deadline
		}
	}
	if w.maintained(pl.settings, it.inst, now) || (stuck && slices.Contains(it.pendingIn, w)) {
		it.touchedBy = append(it.touchedBy, w)
		w.touched.add(it.tally, 1)
		w.touchedMaintainedAt = it.inst.MaintainedAt
	} else {
		it.peerIn = append(it.peerIn, w)
		w.peers.add(it.tally, 1)
	}
	// Unlike in maintained, the time is not limited to TouchedMillis: the periodic
	// wave would otherwise wait for a new canary once its last one was that long ago.
	if it.inst.MaintainedAt > 0 && it.inst.MaintainedAt >= w.decl.DeclaredAt && w.decl.Selector.Matches(it.inst) &&
		it.inst.MaintainedAt+pl.settings.CanaryMillis <= now {
		it.observedIn = append(it.observedIn, w)
		w.observedCount++
		if w.observedCount == 1 {
			pl.recheckPoolsOfWave(w)
		}
	}
}

// countInProgress counts an instance whose maintenance has started. If no wave
// needs it any more, because its declaration was cancelled, it gets a placeholder
// wave that is not in pl.waves and therefore starts nothing. Steps and waits of the
// instance name "cancelled", the name of the placeholder, as their wave.
func (pl *Planner[P, S]) countInProgress(it *item) {
	if it.wave == nil {
		it.wave = newWave(model.Maintenance{Name: "cancelled"})
	}
	pl.inProgress[it.inst.ID] = it
	it.wave.inProgress++
	pl.recheckPoolsIfCanaryPending(it.wave)
}

// recheckPoolsIfCanaryPending marks the pools with pending instances of the wave for
// evaluation if the canary phase of the wave has not ended.
func (pl *Planner[P, S]) recheckPoolsIfCanaryPending(w *wave) {
	if w.observedCount == 0 {
		pl.recheckPoolsOfWave(w)
	}
}

// recheckPoolsOfWave marks the pools with pending instances of the wave for
// evaluation.
func (pl *Planner[P, S]) recheckPoolsOfWave(w *wave) {
	for p := range w.byPool {
		pl.poolsToCheck[p] = true
	}
}

// nextChange returns the earliest time after now at which count may count the item
// differently even if no input changes; 0 for never.
func (pl *Planner[P, S]) nextChange(it *item, now clock.Millis) clock.Millis {
	next := clock.Millis(0)
	consider := func(t clock.Millis) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	i := it.inst
	if i.Phase == model.PhaseMaintenance && !it.observation.Verified {
		consider(i.PhaseSince + pl.settings.StuckMillis)
	}
	if i.MaintainedAt > 0 {
		consider(i.MaintainedAt + pl.settings.CanaryMillis)
	}
	if pl.settings.PeriodMillis > 0 {
		end := pl.settings.periodEnd(i)
		consider(end - pl.settings.MarginMillis)
		consider(pl.settings.PeriodicStart)
		if i.MaintainedAt > 0 {
			consider(i.MaintainedAt + pl.settings.TouchedMillis)
		}
	}
	for _, name := range pl.waveNames {
		consider(pl.waves[name].decl.DeclaredAt)
	}
	return next
}

// setItemTimer sets the timer of the item to next, unless it has an earlier one or
// next is 0.
func (pl *Planner[P, S]) setItemTimer(it *item, next clock.Millis) {
	if next == 0 || (it.timerAt != 0 && it.timerAt <= next) {
		return
	}
	it.timerAt = next
	pl.timers.Push(timer{at: next, instance: string(it.inst.ID)})
}

// dueQueue returns the queue of due instances of the pool, creating it if needed.
func (pl *Planner[P, S]) dueQueue(p model.Pool) *dueQueue {
	q := pl.dueByPool[p]
	if q == nil {
		q = &dueQueue{}
		pl.dueByPool[p] = q
	}
	return q
}

// processChanges handles the timers that have expired and counts the changed
// instances again.
func (pl *Planner[P, S]) processChanges(now clock.Millis) {
	for pl.timers.Len() > 0 && pl.timers.Top().at <= now {
		t := pl.timers.Pop()
		switch {
		case t.instance != "":
			it := pl.items[model.InstanceID(t.instance)]
			if it != nil && it.timerAt == t.at {
				it.timerAt = 0
				pl.uncount(it)
			}
		case t.pool != "":
			pl.poolsToCheck[model.Pool(t.pool)] = true
			delete(pl.timerByKey, "pool "+t.pool)
		default:
			pl.wavesToCheck[t.wave] = true
			delete(pl.timerByKey, "wave "+t.wave)
		}
	}
	if pl.settings.FullScan {
		pl.recheckAll()
	}
	for _, id := range sortedKeys(pl.changed) {
		pl.count(pl.items[id], now)
	}
	clear(pl.changed)
}

// recheckAll marks every instance, pool and wave for evaluation in this pass.
func (pl *Planner[P, S]) recheckAll() {
	for _, it := range pl.items {
		pl.uncount(it)
	}
	for p := range pl.itemsByPool {
		pl.poolsToCheck[p] = true
	}
	pl.recheckAllWaves()
}

// setTimer schedules the evaluation of a pool or a wave, unless an evaluation at
// that time or earlier is scheduled already. key is "pool " or "wave " followed by
// the name.
func (pl *Planner[P, S]) setTimer(key string, t timer) {
	if earliest, ok := pl.timerByKey[key]; ok && earliest <= t.at {
		return
	}
	pl.timerByKey[key] = t.at
	pl.timers.Push(t)
}
