package sched

import (
	"camphorridge/core/state/clock"
)

// Parameters of the throttling of best-effort tasks.
const (
	// speedPeriodMillis is the minimum time between two changes of the speed.
	// The tail latency in a heartbeat covers the last half second.
	speedPeriodMillis clock.Millis = 500
	// Best-effort tasks are slowed down while the tail latency of any serving
	// task exceeds slowTailPermille of its target, and sped up while the tail
	// latencies of all serving tasks are below fastTailPermille of theirs.
	slowTailPermille = 950
	fastTailPermille = 750
	// Slowing down divides the speed by speedDivisor, and speeding up adds
	// speedStepPercent. A speed that would fall below minSpeedPercent becomes
	// 0, which takes three slowdowns from full speed.
	speedDivisor     = 3
	speedStepPercent = 10
	minSpeedPercent  = 10
	fullSpeedPercent = 100
	// fullSpeedRepeats is the number of replies that order a return to full
	// speed, because replies may be lost. A lower speed is part of every reply.
	fullSpeedRepeats = 3
)

// speed is the speed of the best-effort tasks on a worker, as a percentage of
// full speed.
type speed struct {
	percent int
	// changedAt is the time of the latest change.
	changedAt clock.Millis
	// repeatsLeft is the number of further replies that order full speed.
	repeatsLeft int
}

// unknownSpeed returns the initial speed for a worker that received orders from
// an earlier leader: full speed, ordered in the next replies because that
// leader may have throttled the worker.
func unknownSpeed() speed { return speed{percent: fullSpeedPercent, repeatsLeft: fullSpeedRepeats} }

// adjustSpeed slows down the best-effort tasks on a worker while a serving task
// there is close to or above its latency target, and speeds them up step by
// step once all are well below. Without best-effort tasks it sets full speed.
// The adjustment is fast enough for loads of serving tasks that change within
// seconds.
func (s *Scheduler[P, H]) adjustSpeed(w *worker, now clock.Millis) {
	worstPermille, bestEffortTasks := w.tailLatency()
	if bestEffortTasks == 0 {
		w.speed = speed{percent: fullSpeedPercent}
		return
	}
	percent := nextSpeed(w.speed.percent, worstPermille)
	if percent != w.speed.percent && now-w.speed.changedAt >= speedPeriodMillis {
		w.speed = speed{percent: percent, changedAt: now, repeatsLeft: fullSpeedRepeats}
		s.replyBy(w, now)
	}
	if w.speed.percent == fullSpeedPercent {
		if w.speed.repeatsLeft == 0 {
			return
		}
		w.speed.repeatsLeft--
	}
	for _, id := range sortedTaskIDs(w.runs) {
		if r := w.runs[id]; r.throttleable() {
			w.heartbeat.throttles = append(w.heartbeat.throttles, Throttle{Task: id, Run: r.number, Percent: w.speed.percent})
		}
	}
}

// nextSpeed returns the speed that follows percent, given the worst tail
// latency in permille of its target.
func nextSpeed(percent, worstPermille int) int {
	switch {
	case worstPermille > slowTailPermille && percent/speedDivisor < minSpeedPercent:
		return 0
	case worstPermille > slowTailPermille:
		return percent / speedDivisor
	case worstPermille < fastTailPermille:
		return min(percent+speedStepPercent, fullSpeedPercent)
	}
	return percent
}

// throttleable reports whether the run is one of a best-effort task that the
// worker lists and that is not being stopped.
func (r *run) throttleable() bool { return r.step.BestEffort && r.listed && !r.stopping }

// tailLatency returns the worst tail latency of the serving tasks on the
// worker, in permille of the target, and the number of best-effort tasks on it
// that can be throttled.
func (w *worker) tailLatency() (worstPermille, bestEffortTasks int) {
	for _, r := range w.runs {
		if r.throttleable() {
			bestEffortTasks++
		}
		if r.step.LongRunning && r.step.LatencyTarget > 0 && r.serving() {
			worstPermille = max(worstPermille, r.load*1000/int(r.step.LatencyTarget))
		}
	}
	return worstPermille, bestEffortTasks
}
