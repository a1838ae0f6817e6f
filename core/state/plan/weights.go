package plan

import "camphorridge/core/state/clock"

// RolloutFirst returns the weights of an operator whose requests must not wait: a
// request that waits for one second costs as much as a spare instance that is
// absent for five seconds.
func RolloutFirst() Weights {
	return Weights{
		WaitCost: 1, RefuseCost: 20, BufferCost: 0.2, MoveCost: 5, MoveMillis: 3 * clock.Second, PeakMillis: 12 * clock.Second,
		PeakIntervalMillis: clock.Minute, ReturnDelayMillis: 10 * clock.Second, LowPercent: 70, MinSpare: 4,
	}
}

// BufferFirst returns the weights of an operator with large instances:
// an instance is lent only when the queue is long.
func BufferFirst() Weights {
	w := RolloutFirst()
	w.WaitCost, w.RefuseCost, w.BufferCost, w.MoveCost = 0.05, 2, 5, 25
	return w
}
