package maint

import (
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// undo takes the item out of all counts and marks it for the next pass.
func (b *Planner[P, J]) undo(it *item) {
	b.stale[it.inst.ID] = true
	if !it.applied {
		return
	}
	it.applied = false
	if it.out {
		for _, c := range b.holders[it.inst.Pool] {
			b.accounts[c].remove(it.inst.ID)
			b.touchPools(b.accounts[c])
		}
	}
	for _, w := range it.pending {
		w.count(it.inst, -1)
	}
	if b.flight[it.inst.ID] != nil {
		delete(b.flight, it.inst.ID)
		it.wave.flight--
		b.wakeCanary(it.wave)
	}
	for _, w := range it.touched {
		w.touched.add(it.tally, -1)
	}
	for _, w := range it.peer {
		w.peers.add(it.tally, -1)
	}
	for _, w := range it.observed {
		w.observed--
	}
	if y := b.ready[it.inst.Pool]; y != nil {
		y.remove(it)
	}
	it.wave, it.pending, it.touched = nil, it.pending[:0], it.touched[:0]
	it.peer, it.observed = it.peer[:0], it.observed[:0]
}

// apply adds the item to all counts as they are at now, and queues the next
// time at which the passing of time alone changes them.
func (b *Planner[P, J]) apply(it *item, now clock.Millis) {
	if it.applied || it.inst.Phase == model.PhaseRetired {
		return
	}
	it.applied = true
	b.applyOut(it)
	stuck := it.inst.Phase == model.PhaseMaintenance && !it.seen.Verified && it.inst.PhaseSince+b.set.StuckMillis <= now
	it.tally = Tally{Instances: 1, Calls: it.seen.Calls, Failures: it.seen.Failures}
	if stuck || it.seen.LostSince > 0 {
		it.tally.Failed = 1
	}
	for _, name := range b.names {
		b.applyWave(it, b.waves[name], stuck, now)
	}
	switch {
	case inMaintenance(it.inst):
		b.applyFlight(it)
	case it.wave != nil && it.inst.Phase == model.PhaseServing:
		b.yard(it.inst.Pool).add(it)
		b.dirty[it.inst.Pool] = true
	}
	b.queue(it, b.nextChange(it, now))
}

func (b *Planner[P, J]) applyOut(it *item) {
	lost := it.seen.LostSince > 0
	it.out = it.inst.Phase != model.PhaseServing || lost
	if !it.out {
		return
	}
	why := causeLoss
	switch {
	case inMaintenance(it.inst):
		why = causeMaintenance
	case !lost:
		why = causeMove
	}
	from, ok := b.opened[it.inst.ID]
	switch {
	case ok:
	case it.inst.Phase != model.PhaseServing:
		from = it.inst.PhaseSince
	default:
		from = it.seen.LostSince
	}
	for _, c := range b.holders[it.inst.Pool] {
		b.accounts[c].add(it.inst, why, from)
		b.touchPools(b.accounts[c])
	}
}

func (b *Planner[P, J]) applyWave(it *item, w *wave, stuck bool, now clock.Millis) {
	if deadline, ok := w.wants(b.set, it.inst, now); ok {
		it.pending = append(it.pending, w)
		if len(w.pending) == 0 {
			b.check[w.decl.Name] = true
		}
		w.count(it.inst, 1)
		if it.wave == nil || deadline < it.deadline {
			it.wave, it.deadline = w, deadline
		}
	}
	if w.touches(b.set, it.inst, now) || (stuck && slices.Contains(it.pending, w)) {
		it.touched = append(it.touched, w)
		w.touched.add(it.tally, 1)
		w.canary = it.inst.MaintainedAt
	} else {
		it.peer = append(it.peer, w)
		w.peers.add(it.tally, 1)
	}
	if it.inst.MaintainedAt > 0 && it.inst.MaintainedAt >= w.decl.DeclaredAt && w.decl.Selector.Matches(it.inst) &&
		it.inst.MaintainedAt+b.set.CanaryMillis <= now {
		it.observed = append(it.observed, w)
		w.observed++
		if w.observed == 1 {
			b.touchWave(w)
		}
	}
}

// applyFlight counts an instance whose maintenance has begun. Its wave may be
// gone, when the declaration was cancelled; it is then counted for the
// orphan wave, which starts nothing.
func (b *Planner[P, J]) applyFlight(it *item) {
	if it.wave == nil {
		it.wave = newWave(model.Maintenance{Name: "cancelled"})
	}
	b.flight[it.inst.ID] = it
	it.wave.flight++
	b.wakeCanary(it.wave)
}

// wakeCanary looks at all pools of a wave again that waits for its canary.
func (b *Planner[P, J]) wakeCanary(w *wave) {
	if w.observed == 0 {
		b.touchWave(w)
	}
}

func (b *Planner[P, J]) touchWave(w *wave) {
	for p := range w.byPool {
		b.dirty[p] = true
	}
}

// nextChange is the earliest time after now at which apply would count the
// item differently; 0 for never.
func (b *Planner[P, J]) nextChange(it *item, now clock.Millis) clock.Millis {
	next := clock.Millis(0)
	at := func(t clock.Millis) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	i := it.inst
	if i.Phase == model.PhaseMaintenance && !it.seen.Verified {
		at(i.PhaseSince + b.set.StuckMillis)
	}
	if i.MaintainedAt > 0 {
		at(i.MaintainedAt + b.set.CanaryMillis)
	}
	if b.set.PeriodMillis > 0 {
		end := b.set.periodEnd(i)
		at(end - b.set.MarginMillis)
		at(b.set.PeriodicStart)
		if i.MaintainedAt > 0 {
			at(i.MaintainedAt + b.set.ObservationMillis)
		}
	}
	for _, name := range b.names {
		at(b.waves[name].decl.DeclaredAt)
	}
	return next
}

func (b *Planner[P, J]) queue(it *item, next clock.Millis) {
	if next == 0 || (it.wake != 0 && it.wake <= next) {
		return
	}
	it.wake = next
	b.due.Push(due{at: next, instance: string(it.inst.ID)})
}

func (b *Planner[P, J]) yard(p model.Pool) *yard {
	y := b.ready[p]
	if y == nil {
		y = &yard{}
		b.ready[p] = y
	}
	return y
}

// fire handles everything that fell due and refreshes what changed.
func (b *Planner[P, J]) fire(now clock.Millis) {
	for b.due.Len() > 0 && b.due.Top().at <= now {
		d := b.due.Pop()
		switch {
		case d.instance != "":
			it := b.items[model.InstanceID(d.instance)]
			if it != nil && it.wake == d.at {
				it.wake = 0
				b.undo(it)
			}
		case d.pool != "":
			b.dirty[model.Pool(d.pool)] = true
			delete(b.wakes, "pool "+d.pool)
		default:
			b.check[d.wave] = true
			delete(b.wakes, "wave "+d.wave)
		}
	}
	if b.set.FullScan {
		b.markAll()
	}
	for _, id := range sortedKeys(b.stale) {
		b.apply(b.items[id], now)
	}
	clear(b.stale)
}

// markAll makes the pass look at the whole fleet.
func (b *Planner[P, J]) markAll() {
	for _, it := range b.items {
		b.undo(it)
	}
	for p := range b.inPool {
		b.dirty[p] = true
	}
	b.checkAll()
}

// wakeAt queues a look at a pool or a wave; key is "pool " or "wave " and the
// name.
func (b *Planner[P, J]) wakeAt(key string, d due) {
	if held, ok := b.wakes[key]; ok && held <= d.at {
		return
	}
	b.wakes[key] = d.at
	b.due.Push(d)
}
