package sched

import (
	"cmp"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// orderRetryMillis separates two orders for one machine when the first was
// refused for now or its answer was lost.
const orderRetryMillis clock.Millis = 400

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
	// repeated holds the machines that were ordered more than once: a good
	// answer may then speak of the first order.
	repeated map[jobs.MachineID]bool
}

type absence struct {
	life jobs.Life
	// from is when the order was given, or the term began.
	from clock.Millis
}

func newWave(w *jobs.Wave) *wave {
	v := &wave{
		Wave: w, away: map[jobs.MachineID]absence{}, next: map[jobs.MachineID]clock.Millis{},
		flying: map[jobs.MachineID]bool{}, repeated: map[jobs.MachineID]bool{},
	}
	// What an earlier leader ordered may be down now.
	for m := range w.Ordered {
		v.away[m] = absence{}
	}
	return v
}

// Declare accepts a wave. A number that is known is left as it is.
func (b *Board[O, J]) Declare(w jobs.Wave, now clock.Millis) {
	if b.State.Waves[w.Number] != nil {
		return
	}
	w.Declared = max(now, b.State.Time)
	w.Deadline += w.Declared
	w.Cap = max(w.Cap, 1)
	b.apply(jobs.Op{Kind: jobs.OpWave, Number: w.Number, Wave: &w}, now)
	b.waves[w.Number] = newWave(b.State.Waves[w.Number])
}

// maintain orders the maintenance of machines of the waves, at most the cap of
// each at a time, and keeps new work off the machines that come next.
func (b *Board[O, J]) maintain(now clock.Millis) {
	for _, n := range slices.Sorted(maps.Keys(b.waves)) {
		v := b.waves[n]
		b.returned(v, now)
		if v.Completed() || now < b.began+b.set.QuietMillis {
			continue
		}
		b.advance(v, now)
	}
}

// returned forgets the absence of machines whose worker has a new life.
func (b *Board[O, J]) returned(v *wave, now clock.Millis) {
	for m, a := range v.away {
		w := b.machines[m]
		if v.flying[m] || w == nil {
			continue
		}
		since := max(a.from, b.began)
		if (a.life != 0 && w.life != a.life) || (a.life == 0 && now >= since+2*b.set.DownMillis) {
			delete(v.away, m)
		}
	}
}

// advance gives the orders that the cap allows.
func (b *Board[O, J]) advance(v *wave, now clock.Millis) {
	var left []jobs.MachineID
	for _, m := range v.Machines {
		if !v.Begun[m] && !v.flying[m] {
			left = append(left, m)
		}
	}
	slices.SortStableFunc(left, func(x, y jobs.MachineID) int {
		return cmp.Or(cmp.Compare(b.burden(y, v), b.burden(x, v)))
	})
	room := v.Cap - len(v.away)
	ahead := v.Cap
	for _, m := range left {
		w := b.machines[m]
		_, away := v.away[m]
		if away && v.next[m] <= now {
			// The answer to an earlier order was lost, or the machine was busy.
			b.orderMaintenance(v, m, w, now)
			continue
		}
		if away || v.next[m] > now {
			continue
		}
		if room > 0 && b.clear(v, w, now) {
			room--
			b.orderMaintenance(v, m, w, now)
			continue
		}
		if w != nil && (ahead > 0 || w.held) {
			ahead--
			w.held = true
		}
	}
}

// burden orders machines: those that are held and free go first.
func (b *Board[O, J]) burden(m jobs.MachineID, _ *wave) int {
	w := b.machines[m]
	if w == nil {
		return 0
	}
	n := 0
	if w.held {
		n += 1000
	}
	return n - len(w.runs)
}

// clear reports whether a machine may go down now: what ends by itself has
// ended, or the wave is short of time, and no lasting step loses more tasks
// than it may.
func (b *Board[O, J]) clear(v *wave, w *worker, now clock.Millis) bool {
	if w == nil {
		return true
	}
	late := b.late(v, now)
	lost := map[groupKey]int{}
	for t, r := range w.runs {
		switch {
		case !r.step.Lasting:
			if !late {
				return false
			}
		case r.step.MayMiss > 0 && r.percent >= 100 && r.listed:
			lost[groupKey{t.Job, t.Occurrence, t.Step}]++
		}
	}
	for k, n := range lost {
		rec := b.State.Jobs[k.job]
		if rec.Status.Final() {
			continue
		}
		if b.missing(rec, k, w)+n > rec.Steps[k.step].MayMiss {
			return false
		}
	}
	return true
}

// missing counts the tasks of a lasting step that are not at work, those on
// one worker left out.
func (b *Board[O, J]) missing(rec *jobs.Record, k groupKey, but *worker) int {
	n := 0
	for i, t := range rec.Occurrences[k.occurrence].Steps[k.step].Tasks {
		if t.Phase != jobs.PhaseAssigned {
			n++
			continue
		}
		if t.Worker == but.id {
			continue
		}
		w := b.workers[t.Worker]
		if w == nil {
			n++
			continue
		}
		r := w.runs[jobs.Task{Job: k.job, Occurrence: k.occurrence, Step: k.step, Index: i}]
		if r == nil || !r.listed || r.percent < 100 || r.stopping {
			n++
		}
	}
	return n
}

// late reports whether the rest of a wave does not fit the time left unless
// running tasks are ended.
func (b *Board[O, J]) late(v *wave, now clock.Millis) bool {
	rounds := (len(v.Machines) - len(v.Begun) + v.Cap - 1) / v.Cap
	return now+clock.Millis(rounds)*(b.set.DownMillis+b.set.HoldMillis) > v.Deadline
}

func (b *Board[O, J]) orderMaintenance(v *wave, m jobs.MachineID, w *worker, now clock.Millis) {
	v.repeated[m] = v.Ordered[m]
	if !v.Ordered[m] {
		b.apply(jobs.Op{Kind: jobs.OpOrdered, Number: v.Number, Machine: m}, now)
	}
	a := absence{from: now}
	if w != nil {
		a.life = w.life
		w.held = true
	}
	if old, ok := v.away[m]; ok && old.life != 0 {
		a.life = old.life
	}
	v.away[m] = a
	v.flying[m] = true
	v.next[m] = now + orderRetryMillis
	b.out.Maintain = append(b.out.Maintain, Maintain{Wave: v.Number, Machine: m})
}

// Answer is what the platform said to a maintenance order.
type Answer int

// The answers of the platform.
const (
	// AnswerDone: the machine goes down, or its maintenance had begun already.
	AnswerDone Answer = iota
	// AnswerLater: refused for now; nothing was done.
	AnswerLater
	// AnswerNever: the machine does not exist or is not part of the wave.
	AnswerNever
	// AnswerUnknown: no answer; the order may have been carried out.
	AnswerUnknown
)

// Maintained takes the platform's answer to an order.
func (b *Board[O, J]) Maintained(o Maintain, a Answer, now clock.Millis) {
	v := b.waves[o.Wave]
	if v == nil {
		return
	}
	delete(v.flying, o.Machine)
	switch a {
	case AnswerDone:
		b.apply(jobs.Op{Kind: jobs.OpBegun, Number: o.Wave, Machine: o.Machine}, now)
		v.away[o.Machine] = absence{life: v.away[o.Machine].life, from: now}
		if w := b.machines[o.Machine]; w != nil && w.life == v.away[o.Machine].life && !v.repeated[o.Machine] {
			b.remove(w, "its machine is maintained", now)
		}
	case AnswerNever:
		b.apply(jobs.Op{Kind: jobs.OpBegun, Number: o.Wave, Machine: o.Machine}, now)
		delete(v.away, o.Machine)
		if w := b.machines[o.Machine]; w != nil {
			w.held = false
		}
	case AnswerLater:
		delete(v.away, o.Machine)
		v.next[o.Machine] = now + orderRetryMillis
	case AnswerUnknown:
		v.next[o.Machine] = now + orderRetryMillis
	}
}

// maintenanceDue is when the waves have to be looked at again.
func (b *Board[O, J]) maintenanceDue(now clock.Millis) (clock.Millis, bool) {
	for _, v := range b.waves {
		if !v.Completed() {
			return max(now+50, b.began+b.set.QuietMillis), true
		}
	}
	return 0, false
}
