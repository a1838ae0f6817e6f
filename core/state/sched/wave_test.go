package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// TestWaveNumberIsNotReused guards against a wave of other machines that is
// acknowledged under the number of a known one, and so shown as completed before
// the maintenance of its machines has started, and against refusing a repeated
// declaration.
func TestWaveNumberIsNotReused(t *testing.T) {
	f := newFixture(Defaults())
	declare := func(machines ...jobs.MachineID) bool {
		return f.DeclareWave(jobs.Wave{Number: 1, Machines: machines, MaxDown: 1, Deadline: 30_000}, f.now)
	}
	assert.Assert(t, declare("m1", "m2"))
	assert.Assert(t, declare("m2", "m1"))
	assert.Assert(t, !declare("m1", "m3"))
	assert.Assert(t, !declare("m1"))
	assert.DeepEqual(t, f.State.Waves[1].Machines, []jobs.MachineID{"m1", "m2"})
}
