package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/jobs"
)

// TestIncompleteListKeepsStandbyMachines guards against powered-off machines that are forgotten because an entry of the list can't be read.
func TestIncompleteListKeepsStandbyMachines(t *testing.T) {
	f := newFixture(Defaults())
	list := func(o Outcome) {
		f.fleet.listPending = false
		f.requestMachineList(f.now)
		f.HandleOutcome(Action{Kind: ActionListMachines, RequestedAt: f.now}, o, f.now)
	}
	up := Machine{ID: "up", Pool: "p", Available: true}
	list(Outcome{Machines: []Machine{up, {ID: "s1", Pool: "off", Available: true}, {ID: "s2", Pool: "off", Available: true}}})
	assert.Equal(t, len(f.fleet.standby), 2)
	list(Outcome{Incomplete: true, Machines: []Machine{up, {ID: "s1", Pool: "off"}}})
	assert.DeepEqual(t, f.fleet.standby, map[jobs.MachineID]jobs.PoolName{"s2": "off"})
	list(Outcome{Machines: []Machine{up}})
	assert.Equal(t, len(f.fleet.standby), 0)
}
