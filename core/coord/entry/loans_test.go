package entry

import (
	"testing"

	"camphorridge/core/state/admit"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
	"camphorridge/core/state/route"

	"gotest.tools/v3/assert"
)

// startLending runs a dispatcher in zone z1 or z2 with one upstream in z1, and
// returns it with the ring of its loan messages.
func startLending(t *testing.T, self model.Process, zone model.Zone) (*testDispatcher, *ring.Ring[lend.Message]) {
	t.Helper()
	all := []model.Member{{Name: "e1", Zone: "z1"}, {Name: "e2", Zone: "z2"}}
	messages := ring.New[lend.Message](16)
	d := New(Settings{
		Self: self, Zone: zone, Entries: all, Lease: clock.Minute, LoanMessages: messages,
		Lending: lend.Settings{
			Self: self, Zone: zone, Entries: all, Incarnation: 1, Lease: clock.Minute, MaxRequestTime: clock.Minute, ReservePercent: 25,
		},
	}, clock.Real(), admit.WeightedFair{}, route.LeastLoaded{}, lend.Idle{})
	ended := make(chan struct{})
	go func() { _ = d.Run(); close(ended) }()
	t.Cleanup(func() { d.Stop(); <-ended })
	i := instance("ia", 4)
	i.Connections = 8
	assert.NilError(t, d.ApplyDelta(model.Delta{To: 5, Full: true, Contracts: []model.Contract{contract("acme", 20, 20)}, Instances: []model.Instance{i}}))
	return d, messages
}

// nextMessage returns the next message of the given kind and drops those of other
// kinds.
func nextMessage(messages *ring.Ring[lend.Message], kind lend.MessageKind) lend.Message {
	for {
		if m := <-messages.C(); m.Kind == kind {
			return m
		}
	}
}

// TestLenderKeepsLentSlots guards against a lender that uses lent slots or confirms
// the release of an instance while slots of it are lent, and against one that lends
// slots or confirms releases before the loans of its earlier runs have ended.
func TestLenderKeepsLentSlots(t *testing.T) {
	d, messages := startLending(t, "e1", "z1")
	a := announcement("ia", 4)
	a.Connections = 8
	assert.NilError(t, d.Announce(a))
	request := lend.LoanRequest{Borrower: "e2", Incarnation: 1, Number: 1, Pool: "svc", Slots: 9}
	assert.Equal(t, len(d.Lend(request).Loans), 0)
	assert.Equal(t, d.DrainedVersion(), model.Version(0))
	nextMessage(messages, lend.MessageRecall)
	d.HandleRecallAck("e2")
	assert.Equal(t, d.DrainedVersion(), model.Version(5))
	g := mustAsk(t, d)
	// Half of the 8 connections are reserved for loans.
	assert.Equal(t, g.Upstream.Connections, 4)
	loans := d.Lend(request).Loans
	assert.Equal(t, len(loans), 1)
	// Of the 4 slots, 25 percent are never lent; 9 were requested.
	assert.Equal(t, loans[0].Slots, 3)
	assert.Equal(t, d.Status().Upstreams[0].Lent, 3)
	d.Done(g.Ticket, OutcomeOK, 1)
	i := instance("ia", 4)
	i.Phase, i.Version = model.PhaseReleasing, 6
	assert.NilError(t, d.ApplyDelta(model.Delta{From: 5, To: 6, Instances: []model.Instance{i}}))
	assert.Equal(t, d.DrainedVersion(), model.Version(5))
	renew := lend.LoanRequest{Borrower: "e2", Incarnation: 1, Number: 2, Pool: "svc", Renew: []lend.ID{loans[0].ID}}
	assert.Equal(t, len(d.Lend(renew).Renewed), 0)
	d.HandleReturn(lend.Return{Borrower: "e2", Incarnation: 1, IDs: []lend.ID{loans[0].ID}})
	waitUntil(t, "drained", func(Status) bool { return d.DrainedVersion() == 6 }, d)
}

// TestBorrowerServesOnALoan guards against a process without upstreams that refuses
// requests although it may borrow slots, and against using a loan after its instance
// was released.
func TestBorrowerServesOnALoan(t *testing.T) {
	d, messages := startLending(t, "e2", "z2")
	got := make(chan Grant, 1)
	go func() { got <- mustAsk(t, d) }()
	m := nextMessage(messages, lend.MessageRequest)
	assert.Equal(t, m.To, model.Process("e1"))
	// The ID of a loan is the number of the request, followed by 8 bits for the
	// position of the loan in the response.
	d.HandleResponse(m, clock.Real().Now(), lend.LoanResponse{Incarnation: 1, Lease: clock.Minute, Loans: []lend.Loan{
		{ID: lend.ID(m.Request.Number<<8 | 1), Instance: "ia", Pool: "svc", Address: "10.0.0.1:1", Slots: 2, Connections: 2},
	}}, true)
	g := <-got
	assert.Equal(t, g.Upstream.Instance, model.InstanceID("ia"))
	// 1<<60 is the deadline of the request that ask makes.
	assert.Assert(t, g.Upstream.ConnectionName != "" && g.Upstream.WriteDeadline == 1<<60)
	i := instance("ia", 4)
	i.Phase, i.Version = model.PhaseReleasing, 6
	assert.NilError(t, d.ApplyDelta(model.Delta{From: 5, To: 6, Instances: []model.Instance{i}}))
	_, refusal := ask(t.Context(), d)
	assert.Equal(t, refusal.Kind, RefusalCapacity)
	d.Done(g.Ticket, OutcomeOK, 1)
	assert.DeepEqual(t, nextMessage(messages, lend.MessageReturn).CloseConnections, []string{g.Upstream.ConnectionName})
}
