package entry

import (
	"testing"

	"camphorridge/core/state/admit"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/route"

	"gotest.tools/v3/assert"
)

type dispatcher = Dispatcher[admit.Fair, route.LeastLoaded]

// start runs a dispatcher with a pool svc of two upstreams with the given
// slots.
func start(t testing.TB, slots int, contracts ...model.Contract) *dispatcher {
	t.Helper()
	return startOn(t, clock.Real(), slots, contracts...)
}

func startOn(t testing.TB, clk clock.Clock, slots int, contracts ...model.Contract) *dispatcher {
	t.Helper()
	d := New(Settings{
		Self: "e1", Zone: "z1", Entries: []model.Member{{Name: "e1", Zone: "z1"}}, Lease: clock.Minute,
	}, clk, admit.Fair{}, route.LeastLoaded{})
	ended := make(chan struct{})
	go func() { _ = d.Run(); close(ended) }()
	t.Cleanup(func() { d.Stop(); <-ended })
	assert.NilError(t, d.Table(model.Delta{To: 5, Full: true, Contracts: contracts, Instances: []model.Instance{
		instance("ia", slots), instance("ib", slots),
	}}))
	assert.NilError(t, d.Announce(announcement("ia", slots)))
	assert.NilError(t, d.Announce(announcement("ib", slots)))
	return d
}

func instance(id model.InstanceID, slots int) model.Instance {
	return model.Instance{ID: id, Zone: "z1", Pool: "svc", Target: "svc", Slots: slots, Connections: slots, Version: 1}
}

func announcement(id model.InstanceID, slots int) model.Announcement {
	return model.Announcement{
		Instance: id, Zone: "z1", Pool: "svc", Address: "10.0.0.1:" + string(id),
		Slots: slots, Connections: slots, Incarnation: 1,
	}
}
