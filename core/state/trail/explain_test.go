package trail_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/trail"
)

const now = clock.Millis(100_000)

func currentState() trail.CurrentState {
	instances := map[model.InstanceID]model.Instance{}
	for _, i := range []model.Instance{
		{ID: "i1", Zone: "a", Pool: "log", Phase: model.PhaseServing},
		{ID: "i2", Zone: "a", Pool: "log", Target: "fees", Phase: model.PhaseReleasing, Version: 40, PhaseSince: 90_000},
		{ID: "i3", Zone: "b", Pool: "log", Target: "log", Phase: model.PhaseMaintenance, PhaseSince: 80_000},
		{ID: "i5", Zone: "a", Pool: "fees", Phase: model.PhaseServing, MaintainedAt: 70_000},
		{ID: "i4", Zone: "b", Pool: "log", Phase: model.PhaseServing},
	} {
		instances[i.ID] = i
	}
	return trail.CurrentState{
		Now: now, Instances: instances,
		Contracts: map[model.Customer]model.Contract{
			"pomar": {Customer: "pomar", Pools: []model.PoolShare{{Pool: "log", Instances: 4}}, MaxUnavailable: 2},
		},
		Maintenance: map[string]model.Maintenance{
			"kernel": {Name: "kernel", Selector: model.Selector{Zone: "a"}, DeclaredAt: 70_000, Deadline: 200_000},
		},
		Processes: []trail.ProcessState{
			{Name: "e1", Zone: "a", DrainedVersion: 39, LastReport: now - clock.Second},
			{Name: "e2", Zone: "a", DrainedVersion: 10, LastReport: 50_000},
			{Name: "e3", Zone: "a", DrainedVersion: 40, LastReport: now},
			{Name: "e4", Zone: "b", DrainedVersion: 0, LastReport: now},
		},
	}
}

func events() []model.Event {
	at := func(wall clock.Millis, e model.Event) model.Event {
		e.Stamp, e.Process = model.Stamp{Wall: wall}, "e1"
		return e
	}
	return trail.Merge([]model.Event{
		at(91_999, model.Event{Kind: model.EventEjected, Instance: "i4", Limit: "failures"}),
		at(95_000, model.Event{Kind: model.EventRequestRefused, Customer: "pomar", Request: "r1", Limit: "queue full", Detail: "first"}),
		at(96_000, model.Event{Kind: model.EventRequestRefused, Customer: "pomar", Request: "r2", Limit: "queue full", Detail: "second"}),
		at(97_000, model.Event{Kind: model.EventOutcomeUnknown, Customer: "pomar", Request: "r3", Instance: "i4"}),
		at(98_000, model.Event{Kind: model.EventEjected, Instance: "i4", Limit: "failures"}),
		at(50_000, model.Event{Kind: model.EventUpstreamAnnounced, Instance: "i4"}),
		at(98_500, model.Event{Kind: model.EventRequestRefused, Customer: "other", Limit: "unheard of"}),
	})
}

// TestExplainCustomer guards against an explanation of a customer that omits a
// limit or an obstacle, or includes one of another customer.
func TestExplainCustomer(t *testing.T) {
	x := trail.ExplainCustomer(currentState(), events(), "pomar")
	assert.Assert(t, x.Found)
	assert.DeepEqual(t, x.Pools, []trail.PoolState{{Pool: "log", Promised: 4, Serving: 2, Releasing: 1, Maintenance: 1}})
	assert.Equal(t, len(x.Events), 3)
	assert.DeepEqual(t, x.LimitHits, []trail.LimitHit{{
		Limit: "queue full", Kind: model.EventRequestRefused, Count: 2, Detail: "second",
		First: model.Stamp{Wall: 95_000}, Last: model.Stamp{Wall: 96_000},
		Advice: trail.Advice{Action: trail.ActionRaiseLimit, Target: "queue"},
	}})
	assert.Equal(t, x.Obstacles[0].Advice.Action, trail.ActionAddInstances, "one missing instance moves to another pool and does not return")
	var kinds []trail.ObstacleKind
	for _, b := range x.Obstacles {
		kinds = append(kinds, b.Kind)
	}
	assert.DeepEqual(t, kinds, []trail.ObstacleKind{
		trail.ObstacleCapacityMissing, trail.ObstacleDisruptionLimit, trail.ObstacleReleaseUnconfirmed, trail.ObstacleReleaseUnconfirmed,
		trail.ObstacleNotReturned, trail.ObstacleEjected,
	})
	none := trail.ExplainCustomer(currentState(), events(), "other")
	assert.Assert(t, none.Found, "the events mention the customer")
	assert.Equal(t, none.Obstacles[0].Kind, trail.ObstacleNoContract)
	assert.Equal(t, none.LimitHits[0].Advice, trail.Advice{Action: trail.ActionInspect, Target: "unheard of"})
}

// TestExplainInstance guards against naming the wrong entry process for an
// unconfirmed release, and against advice to wait for a silent process.
func TestExplainInstance(t *testing.T) {
	x := trail.ExplainInstance(currentState(), events(), "i2")
	assert.DeepEqual(t, x.Obstacles, []trail.Obstacle{
		{
			Kind: trail.ObstacleReleaseUnconfirmed, Instance: "i2", Pool: "log", Process: "e1", Since: 90_000,
			Advice: trail.Advice{Action: trail.ActionWait, Target: "e1"},
		},
		{
			Kind: trail.ObstacleReleaseUnconfirmed, Instance: "i2", Pool: "log", Process: "e2", Since: 90_000,
			Advice: trail.Advice{Action: trail.ActionRestartProcess, Target: "e2"},
		},
	})
	due := trail.ExplainInstance(currentState(), events(), "i1").Obstacles
	assert.Equal(t, len(due), 2)
	assert.Equal(t, due[0].Maintenance, "kernel")
	assert.Equal(t, due[1].Kind, trail.ObstacleDisruptionLimit)
	assert.Equal(t, due[1].Advice.Action, trail.ActionWait)
	assert.Equal(t, len(trail.ExplainInstance(currentState(), events(), "i5").Obstacles), 0, "the instance was maintained after the declaration")
	assert.Assert(t, !trail.ExplainInstance(currentState(), nil, "i9").Found)
}

// TestExplainRequest guards against an explanation of a request with an unknown
// outcome that omits the events of its instance around that time, or includes
// much older events.
func TestExplainRequest(t *testing.T) {
	x := trail.ExplainRequest(currentState(), events(), "r3")
	assert.Equal(t, len(x.Events), 1)
	assert.Equal(t, len(x.RelatedEvents), 1)
	assert.Equal(t, x.RelatedEvents[0].Kind, model.EventEjected)
	assert.Equal(t, x.Obstacles[0].Kind, trail.ObstacleEjected)
	assert.Assert(t, !trail.ExplainRequest(currentState(), events(), "r9").Found)
}

// TestExplainIsBounded guards against an explanation whose size grows with the
// number of events.
func TestExplainIsBounded(t *testing.T) {
	var many []model.Event
	for i := range 3 * trail.MaxEvents {
		many = append(many, model.Event{Stamp: model.Stamp{Wall: clock.Millis(i)}, Customer: "pomar", Seq: uint64(i)})
	}
	x := trail.ExplainCustomer(currentState(), many, "pomar")
	assert.Equal(t, len(x.Events), trail.MaxEvents)
	assert.Equal(t, x.OmittedEvents, 2*trail.MaxEvents)
	assert.Equal(t, x.Events[0].Seq, uint64(2*trail.MaxEvents))
}
