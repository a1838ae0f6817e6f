package mover

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/plan"
)

// TestSurgeAfterQuietTime guards against a surge that counts as lasting since an earlier
// one, because no demand was reported between the two.
func TestSurgeAfterQuietTime(t *testing.T) {
	s := NewSurgePlanner(plan.QueueOnly{}, plan.Weights{}, true)
	table := model.Table{
		Contracts: map[model.Customer]model.Contract{"x": {Customer: "x", Pools: []model.PoolShare{{Pool: "p", Instances: 1}}}},
		Instances: map[model.InstanceID]model.Instance{"i": {ID: "i", Pool: "p", Phase: model.PhaseServing}},
	}
	surge := []model.PoolDemand{{Pool: "p", Running: 50, TypicalRunTime: 10}}
	now := clock.Hour
	s.RecordDemand("e1", surge, now)
	s.Extras(table, now)
	assert.Equal(t, s.highSince["p"], now)
	now += 10 * clock.Minute
	s.Extras(table, now)
	now += surgeInterval
	s.RecordDemand("e1", surge, now)
	s.Extras(table, now)
	assert.Equal(t, s.highSince["p"], now)
}
