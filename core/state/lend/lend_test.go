package lend

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Guards against a split that leaves own slots without a connection, or that
// gives out more connections than were set aside.
func TestSplit(t *testing.T) {
	for slots := range 20 {
		for conns := range 80 {
			for _, reserve := range []int{0, 25, 100} {
				own, lendable, per := Split(slots, conns, reserve)
				assert.Assert(t, own+lendable*per <= conns && lendable <= slots, "%d %d %d", slots, conns, reserve)
				assert.Assert(t, lendable == 0 && own == conns || per >= 1 && own >= slots, "%d %d %d", slots, conns, reserve)
			}
		}
	}
	own, lendable, per := Split(4, 32, 25)
	assert.DeepEqual(t, []int{own, lendable, per}, []int{16, 3, 5})
}

// Guards against asks without need, and against loans of slots in use.
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
		assert.Equal(t, Idle{}.Want(c.p), c.want, "%+v", c.p)
	}
	s := UpstreamSlots{Loan: Loan{Slots: 4}, Lendable: 3, PeakRunning: 2}
	assert.Equal(t, Idle{}.Give(s), 2)
	s.Lent = 1
	assert.Equal(t, Idle{}.Give(s), 1)
	s.Waiting = 1
	assert.Equal(t, Idle{}.Give(s), 0)
}

func ledger() *Ledger[Idle] {
	return New(Settings{
		Self: "b", Zone: "z2", Incarnation: 7, Lease: 1000, MaxRequestTime: 5000,
		Entries: []model.Member{{Name: "a", Zone: "z1"}, {Name: "b", Zone: "z2"}},
	}, Idle{}, 0)
}

var need = []PoolDemand{{Pool: "p", InstancesByZone: map[model.Zone]int{"z1": 1}, Pressure: Pressure{Waiting: 3}}}

// plan returns the one order other than recalls.
func plan(t *testing.T, l *Ledger[Idle], now clock.Millis, needs []PoolDemand) Message {
	t.Helper()
	var due []Message
	for _, o := range l.DueMessages(now, needs, nil) {
		if o.Kind != MessageRecall {
			due = append(due, o)
		}
	}
	assert.Equal(t, len(due), 1, "%+v", due)
	return due[0]
}

func answer(run uint64, o Message) LoanResponse {
	return LoanResponse{Incarnation: run, Lease: 1000, Loans: []Loan{{ID: requestLoanID(o.Request.Number) + 1, Instance: "i", Pool: "p", Slots: 2, Connections: 4}}}
}

// Guards against use after the lease, which counts from the ask, and against a
// loan that is not renewed while used or not returned while idle.
func TestLeaseCountsFromTheAsk(t *testing.T) {
	l := ledger()
	o := plan(t, l, 100, need)
	l.HandleResponse(400, o, 100, answer(1, o), true)
	h, ok := l.Acquire(999, "p", "")
	assert.Assert(t, ok)
	_, ok = l.Acquire(1000, "p", "")
	assert.Assert(t, !ok)
	o = plan(t, l, 600, nil)
	assert.DeepEqual(t, o.Request.Renew, []ID{h.ID})
	l.HandleResponse(620, o, 600, LoanResponse{Incarnation: 1, Lease: 1000, Renewed: o.Request.Renew}, true)
	assert.Equal(t, l.BorrowedSlots(1499, "p"), 2)
	l.Release(700, h, false, false)
	o = plan(t, l, 1700, nil)
	assert.DeepEqual(t, o.Return.IDs, []ID{h.ID})
	assert.DeepEqual(t, o.CloseConnections, []string{h.ConnectionName()})
	l.HandleReturnResult(o, true)
	assert.Equal(t, l.Counts.HeldSlots, int64(0))
}

// Guards against loans of a lender's earlier run whose answer came after its
// recall was acknowledged, and against the loss of what a lost answer granted.
func TestVoidAnswers(t *testing.T) {
	l := ledger()
	o := plan(t, l, 100, need)
	assert.Assert(t, l.HandleRecall(Recall{Lender: "a", Incarnation: 2}))
	l.HandleResponse(150, o, 100, answer(1, o), true)
	assert.Equal(t, l.BorrowedSlots(150, "p"), 0)
	assert.DeepEqual(t, plan(t, l, 200, nil).Return.IDs, []ID{requestLoanID(o.Request.Number)})

	a := New(Settings{Self: "a", Lease: 1000, MaxRequestTime: 5000}, Idle{}, 0)
	granted := a.Grant(0, o.Request, []UpstreamSlots{{Loan: Loan{Instance: "i", Pool: "p", Slots: 4}, Lendable: 3, ConnectionsPerSlot: 2}}, nil)
	assert.Equal(t, len(granted.Loans), 1)
	assert.Equal(t, a.Lent("i"), 3)
	a.HandleReturn(Return{Borrower: "b", Incarnation: 7, IDs: []ID{requestLoanID(o.Request.Number)}})
	assert.Equal(t, a.Lent("i"), 0)
}

// Guards against requests that wait in a pool nobody lends in.
func TestHopeEndsWhenAllRefuse(t *testing.T) {
	l := ledger()
	o := plan(t, l, 100, need)
	assert.Assert(t, l.MayBorrow(120, "p"))
	l.HandleResponse(120, o, 100, LoanResponse{Incarnation: 1, Lease: 1000}, true)
	l.DueMessages(150, need, nil)
	assert.Assert(t, !l.MayBorrow(160, "p"))
	assert.Assert(t, l.MayBorrow(1150, "p"))
}
