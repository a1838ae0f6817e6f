package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// maxFiniteWaitMillis is the longest time that a finite task may wait while more than half
// of its pool's capacity is free and a worker has room for it.
const maxFiniteWaitMillis = 3 * clock.Second

// newStuckWaveFixture returns a fixture with a wave of the machines of workers w0 to w3,
// which run the tasks of a job with the given step.
func newStuckWaveFixture(t *testing.T, step jobs.Step, deadline clock.Millis) *fixture {
	t.Helper()
	f := newFixture(Defaults())
	f.now += f.settings.TakeoverDelayMillis
	f.submit("a", step)
	var machines []jobs.MachineID
	for n := range 4 {
		f.heartbeat(fmt.Sprint("w", n), 1, nil)
		machines = append(machines, jobs.MachineID(fmt.Sprint("m-w", n)))
	}
	f.Pass(f.now)
	f.playWave(clock.Second, nil)
	f.DeclareWave(jobs.Wave{Number: 1, Machines: machines, MaxDown: 4, Deadline: deadline}, f.now)
	return f
}

// playWave passes the given time, with heartbeats of all workers and the platform's answer
// to each order, and returns the number of orders.
func (f *fixture) playWave(d clock.Millis, answer func(Action) Outcome) int {
	orders := 0
	for end := f.now + d; f.now < end; {
		f.now += 100
		for n := range 4 {
			f.heartbeatOf(fmt.Sprint("w", n))
		}
		for _, order := range actionsOf(f.Pass(f.now), ActionMaintain) {
			orders++
			f.HandleOutcome(order, answer(order), f.now)
		}
	}
	return orders
}

// startsWithin submits a job with one small task and reports whether it is assigned in
// time.
func (f *fixture) startsWithin(d clock.Millis, answer func(Action) Outcome) bool {
	f.submit("small", smallStep)
	for end := f.now + d; f.now < end; {
		f.playWave(100, answer)
		for n := range 4 {
			if f.runs("small", fmt.Sprint("w", n)) > 0 {
				return true
			}
		}
	}
	return false
}

// occupied is a step whose tasks take all of the four workers but little of their
// capacity. One more task has no place, so that no other may be unavailable.
var occupied = jobs.Step{
	TaskCount: 5, Resources: jobs.Resources{MilliCores: 500, MemoryMiB: 64}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1,
}

// TestFiniteTasksStartInBlockedWave guards against finite tasks that wait in a pool that
// is nearly idle, because each of its machines comes next in a wave that can't go on.
func TestFiniteTasksStartInBlockedWave(t *testing.T) {
	for _, wait := range []clock.Millis{0, 2000, 10_000} {
		f := newStuckWaveFixture(t, occupied, 4*clock.Second)
		assert.Equal(t, f.playWave(wait, nil), 0)
		assert.Assert(t, f.startsWithin(maxFiniteWaitMillis, nil), "the wave was declared %d ms before", wait)
	}
}

// TestFiniteTasksDoNotWaitForBlockedWave guards against finite tasks each of which waits
// for a while in a wave that has been known for long to be unable to go on.
func TestFiniteTasksDoNotWaitForBlockedWave(t *testing.T) {
	f := newStuckWaveFixture(t, occupied, 4*clock.Second)
	f.playWave(10*clock.Second, nil)
	assert.Assert(t, f.startsWithin(200, nil))
}

// TestFiniteTasksStartWhilePlatformRefuses guards against the same while the platform
// refuses, or does not answer, the orders for the machines.
func TestFiniteTasksStartWhilePlatformRefuses(t *testing.T) {
	for _, a := range []Answer{AnswerRefusedForNow, AnswerUnknown} {
		for _, wait := range []clock.Millis{0, 500, 2000, 4000, 10_000} {
			answer := func(Action) Outcome { return Outcome{Answer: a} }
			f := newStuckWaveFixture(t, jobs.Step{TaskCount: 1, Resources: jobs.Resources{MilliCores: 500}, LongRunning: true}, 4*clock.Second)
			orders := f.playWave(wait, answer)
			assert.Assert(t, orders > 0 || wait < 500)
			assert.Assert(t, f.startsWithin(maxFiniteWaitMillis, answer), "%s, the wave was declared %d ms before", a, wait)
		}
	}
}

// fourAtOnce is a deadline by which the wave must maintain all four machines at once, but
// need not yet end their finite tasks for nearly four seconds.
const fourAtOnce = 6500 * clock.Millis(1)

// TestFiniteTasksStartBesideLongOnes guards against finite tasks that wait for as long as
// others keep the machines that come next from their maintenance.
func TestFiniteTasksStartBesideLongOnes(t *testing.T) {
	f := newStuckWaveFixture(t, jobs.Step{TaskCount: 4, Resources: jobs.Resources{MilliCores: 500, MemoryMiB: 20_000}, Estimate: 60_000}, fourAtOnce)
	f.playWave(200, nil)
	assert.Assert(t, f.startsWithin(maxFiniteWaitMillis, nil))
}

// TestCordonStaysInBusyPool guards against a wave that never finds a machine without
// finite tasks, because these are started on the machines that come next.
func TestCordonStaysInBusyPool(t *testing.T) {
	f := newStuckWaveFixture(t, jobs.Step{TaskCount: 4, Resources: jobs.Resources{MilliCores: 12_000, MemoryMiB: 20_000}, Estimate: 60_000}, fourAtOnce)
	f.playWave(200, nil)
	assert.Assert(t, !f.startsWithin(maxFiniteWaitMillis, nil))
}
