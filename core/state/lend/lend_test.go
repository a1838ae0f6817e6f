package lend

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// TestSplit guards against a split that leaves own slots without a connection, lends
// more slots than there are, or uses more connections than there are.
func TestSplit(t *testing.T) {
	for slots := range 20 {
		for connections := range 80 {
			for _, reserve := range []int{0, 25, 100} {
				own, lendable, perSlot := SplitShare(slots, connections, reserve)
				assert.Assert(t, own+lendable*perSlot <= connections && lendable <= slots, "%d %d %d", slots, connections, reserve)
				assert.Assert(t, lendable == 0 && own == connections || perSlot >= 1 && own >= slots, "%d %d %d", slots, connections, reserve)
			}
		}
	}
	own, lendable, perSlot := SplitShare(4, 32, 25)
	assert.DeepEqual(t, []int{own, lendable, perSlot}, []int{16, 3, 5})
}

// TestIdle guards against requests for slots that are not needed, and against loans
// of slots that are in use or lent.
func TestIdle(t *testing.T) {
	for _, c := range []struct {
		p    Pressure
		want int
	}{
		{Pressure{Capacity: 4, Duration: clock.Second}, 0},
		{Pressure{Waiting: 9, Capacity: 4, TypicalRunTime: 50, Duration: 50}, 0},
		{Pressure{Waiting: 2, Capacity: 4, TypicalRunTime: 50, Duration: 100}, 0},
		{Pressure{Waiting: 12, Capacity: 4, TypicalRunTime: 50, Duration: 100}, 10},
		{Pressure{Waiting: 2, Capacity: 20, TypicalRunTime: 1000, Duration: 100}, 0},
		{Pressure{Waiting: 3}, 3},
		{Pressure{Waiting: 900, TypicalRunTime: clock.Second}, maxSlotsPerRequest},
	} {
		assert.Equal(t, Idle{}.SlotsToRequest(c.p), c.want, "%+v", c.p)
	}
	s := UpstreamSlots{Loan: Loan{Slots: 4}, Lendable: 3, PeakRunning: 2}
	assert.Equal(t, Idle{}.SlotsToLend(s), 2)
	s.Lent = 1
	assert.Equal(t, Idle{}.SlotsToLend(s), 1)
	s.Waiting = 1
	assert.Equal(t, Idle{}.SlotsToLend(s), 0)
}

// newTestLedger returns the ledger of process b. The only other process is a.
func newTestLedger() *Ledger[Idle] {
	return New(Settings{
		Self: "b", Zone: "z2", Incarnation: 7, Lease: 1000, MaxRequestTime: 5000,
		Entries: []model.Member{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z2"}},
	}, Idle{}, 0)
}

// demand is the demand for one pool whose only instance is in zone z1.
var demand = []LoanDemand{{Pool: "p", InstancesByZone: map[model.Zone]int{"z1": 1}, Pressure: Pressure{Waiting: 3}}}

// dueMessage returns the only due message other than recalls.
func dueMessage(t *testing.T, l *Ledger[Idle], now clock.Millis, demands []LoanDemand) Message {
	t.Helper()
	var due []Message
	for _, m := range l.DueMessages(now, demands, nil) {
		if m.Kind != MessageRecall {
			due = append(due, m)
		}
	}
	assert.Equal(t, len(due), 1, "%+v", due)
	return due[0]
}

// response grants a loan of two slots in response to a request.
func response(incarnation uint64, m Message) LoanResponse {
	return LoanResponse{Incarnation: incarnation, Lease: 1000, Loans: []Loan{{ID: requestLoanID(m.Request.Number) + 1, Instance: "i", Pool: "p", Slots: 2, Connections: 4}}}
}

// TestLeaseCountsFromTheRequest guards against the use of a loan after the end of
// its lease, which counts from the sending of the request, and against a loan that
// is not renewed while it is used or not returned after that.
func TestLeaseCountsFromTheRequest(t *testing.T) {
	l := newTestLedger()
	m := dueMessage(t, l, 100, demand)
	l.HandleResponse(400, m, 100, response(1, m), true)
	h, ok := l.Acquire(999, "p", "")
	assert.Assert(t, ok)
	_, ok = l.Acquire(1000, "p", "")
	assert.Assert(t, !ok)
	m = dueMessage(t, l, 600, nil)
	assert.DeepEqual(t, m.Request.Renew, []ID{h.ID})
	l.HandleResponse(620, m, 600, LoanResponse{Incarnation: 1, Lease: 1000, Renewed: m.Request.Renew}, true)
	assert.Equal(t, l.BorrowedSlots(1499, "p"), 2)
	l.Release(700, h, false, false)
	m = dueMessage(t, l, 1700, nil)
	assert.DeepEqual(t, m.Return.IDs, []ID{h.ID})
	assert.DeepEqual(t, m.CloseConnections, []string{h.ConnectionName()})
	l.HandleReturnResult(m, true)
	assert.Equal(t, l.Counts.HeldSlots, int64(0))
}

// TestIgnoredResponses guards against the use of loans whose response arrives after
// the lender has restarted and its recall was acknowledged, and against slots that
// stay lent because the response that granted them was lost or ignored.
func TestIgnoredResponses(t *testing.T) {
	l := newTestLedger()
	m := dueMessage(t, l, 100, demand)
	assert.Assert(t, l.HandleRecall(Recall{Lender: "a", Incarnation: 2}))
	l.HandleResponse(150, m, 100, response(1, m), true)
	assert.Equal(t, l.BorrowedSlots(150, "p"), 0)
	assert.DeepEqual(t, dueMessage(t, l, 200, nil).Return.IDs, []ID{requestLoanID(m.Request.Number)})

	a := New(Settings{Self: "a", Lease: 1000, MaxRequestTime: 5000}, Idle{}, 0)
	granted := a.Grant(0, m.Request, []UpstreamSlots{{Loan: Loan{Instance: "i", Pool: "p", Slots: 4}, Lendable: 3, ConnectionsPerSlot: 2}}, nil)
	assert.Equal(t, len(granted.Loans), 1)
	assert.Equal(t, a.Lent("i"), 3)
	a.HandleReturn(Return{Borrower: "b", Incarnation: 7, IDs: []ID{requestLoanID(m.Request.Number)}})
	assert.Equal(t, a.Lent("i"), 0)
}

// TestMayBorrowEndsWhenAllRefuse guards against requests that are kept waiting in a
// pool in which every lender refused, and against a refusal that counts for ever.
func TestMayBorrowEndsWhenAllRefuse(t *testing.T) {
	l := newTestLedger()
	m := dueMessage(t, l, 100, demand)
	assert.Assert(t, l.MayBorrow(120, "p"))
	l.HandleResponse(120, m, 100, LoanResponse{Incarnation: 1, Lease: 1000}, true)
	l.DueMessages(150, demand, nil)
	assert.Assert(t, !l.MayBorrow(160, "p"))
	assert.Assert(t, l.MayBorrow(1150, "p"))
}
