package sched

import (
	"camphorridge/core/state/clock"
)

// Figures of the pace of filling tasks. The tail that a worker reports covers
// the last half second.
const (
	paceMillis clock.Millis = 500
	// Fillers are slowed while a tail is above slowPermille of its target and go
	// faster while all are below fastPermille.
	slowPermille = 950
	fastPermille = 750
	// A step down divides the pace, a step up adds to it, in percent of full
	// speed; less than the least pace is none. Three steps down stop a filler.
	paceDivisor = 3
	paceStep    = 10
	leastPace   = 10
	fullPace    = 100
	// paceRepeats is the number of answers that carry a return to full speed, as
	// answers may be lost. A lower pace is part of each answer.
	paceRepeats = 3
)

// pace is the speed of the filling tasks on a worker.
type pace struct {
	percent int
	// changed is the time of the latest change.
	changed clock.Millis
	// repeats is the number of answers that still carry full speed.
	repeats int
}

// unknownPace is the pace on a worker that an earlier leader gave orders to: it
// says full speed until the tails say otherwise.
func unknownPace() pace { return pace{percent: fullPace, repeats: paceRepeats} }

// setPace slows the filling tasks on a worker down while a serving task there
// answers too slowly, and lets them speed up step by step once it does not. It
// answers loads of serving tasks that change within seconds.
func (b *Scheduler[O, J]) setPace(w *worker, now clock.Millis) {
	worst, fillers := w.tails()
	if fillers == 0 {
		w.pace = pace{percent: fullPace}
		return
	}
	percent := nextPace(w.pace.percent, worst)
	if percent != w.pace.percent && now-w.pace.changed >= paceMillis {
		w.pace = pace{percent: percent, changed: now, repeats: paceRepeats}
		b.answerBy(w, now)
	}
	if w.pace.percent == fullPace {
		if w.pace.repeats == 0 {
			return
		}
		w.pace.repeats--
	}
	for _, id := range sortedTasks(w.runs) {
		if r := w.runs[id]; r.fills() {
			w.beat.rates = append(w.beat.rates, Throttle{Task: id, Run: r.number, Percent: w.pace.percent})
		}
	}
}

// nextPace is the pace that follows one, by the worst tail in thousandths of its
// target.
func nextPace(percent, worst int) int {
	switch {
	case worst > slowPermille && percent/paceDivisor < leastPace:
		return 0
	case worst > slowPermille:
		return percent / paceDivisor
	case worst < fastPermille:
		return min(percent+paceStep, fullPace)
	}
	return percent
}

// fills reports whether the run is a filling task that takes orders.
func (r *run) fills() bool { return r.step.BestEffort && r.listed && !r.stopping }

// tails returns the worst tail of the serving tasks on the worker, in
// thousandths of its target, and the number of filling tasks beside them.
func (w *worker) tails() (worst, fillers int) {
	for _, r := range w.runs {
		if r.fills() {
			fillers++
		}
		if r.step.LongRunning && r.step.LatencyTarget > 0 && r.atWork() {
			worst = max(worst, r.load*1000/int(r.step.LatencyTarget))
		}
	}
	return worst, fillers
}
