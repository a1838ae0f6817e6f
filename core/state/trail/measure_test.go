package trail

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// TestMeasure guards against a rollout that counts as complete while an entry
// process has not applied the change, and against wrong counts of a maintenance
// wave or of idle instances.
func TestMeasure(t *testing.T) {
	at := func(ms clock.Millis, p model.Process, k model.EventKind, v model.Version) model.Event {
		return model.Event{Stamp: model.Stamp{Wall: ms}, Process: p, Kind: k, Version: v, Customer: "acme"}
	}
	state := CurrentState{
		Now:       9000,
		Processes: []ProcessState{{Name: "e1"}, {Name: "e2"}},
		Contracts: map[model.Customer]model.Contract{"acme": {Pools: []model.PoolShare{{Pool: "merge", Instances: 1}}}},
		Instances: map[model.InstanceID]model.Instance{
			"a": {ID: "a", Pool: "merge", MaintainedAt: 4000}, "b": {ID: "b", Pool: "merge"}, "c": {ID: "c", Pool: "portal", LostSince: 1},
		},
		Maintenance: map[string]model.Maintenance{"w": {Name: "w", DeclaredAt: 3000, Selector: model.Selector{Pool: "merge"}}},
	}
	m := Measure(state, []model.Event{
		at(100, "c1", model.EventChangeApplied, 5), at(130, "e1", model.EventTableInForce, 5), at(150, "e2", model.EventTableInForce, 6),
		at(200, "c1", model.EventMoved, 7), at(300, "c1", model.EventChangeApplied, 8), at(310, "e1", model.EventTableInForce, 8),
		at(400, "c1", model.EventMaintained, 9),
	})
	assert.DeepEqual(t, m, Measures{
		Rollouts:      []Rollout{{Version: 5, Elapsed: 50}, {Version: 8, Missing: []model.Process{"e2"}}},
		MedianRollout: 50, LongestRollout: 50, Moves: 1, FinishedMaintenances: 1, IdleInstances: 1,
		Waves: []WaveProgress{{Name: "w", Maintained: 1, Selected: 2, Elapsed: 6000}},
	})
}
