package entry

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
)

// Lend answers another entry process that asks for slots.
func (d *Dispatcher[P, Q, L]) Lend(a lend.LoanRequest) (out lend.LoanResponse) {
	d.onLoans(func(now clock.Millis) {
		waiting := d.gate.RunnableCount(a.Pool)
		d.stocks = d.router.PoolUpstreamSlots(now, a.Pool, waiting, d.stocks[:0])
		out = d.loans.Grant(now, a, d.stocks, func(id model.InstanceID) (lend.UpstreamSlots, bool) {
			return d.router.UpstreamSlots(id, d.gate.RunnableCount)
		})
	})
	return out
}

// TakeBack takes in loans that another entry process returns.
func (d *Dispatcher[P, Q, L]) TakeBack(r lend.Return) {
	d.onLoans(func(clock.Millis) { d.loans.HandleReturn(r) })
}

// Recalled ends the loans from an earlier run of a lender and reports whether
// all of them are over.
func (d *Dispatcher[P, Q, L]) Recalled(r lend.Recall) (clear bool) {
	d.onLoans(func(clock.Millis) { clear = d.loans.HandleRecall(r) })
	return clear
}

// Answered takes in the answer to an order to ask, sent at asked; ok is false
// without one.
func (d *Dispatcher[P, Q, L]) Answered(o lend.Message, asked clock.Millis, a lend.LoanResponse, ok bool) {
	d.onLoans(func(now clock.Millis) {
		d.loans.HandleResponse(now, o, asked, a, ok)
		for _, l := range a.Loans {
			// The own table may be newer than the lender's.
			if i, known := d.table.Instances[l.Instance]; known {
				d.loans.EndLoansOf(i)
			}
		}
	})
}

// Returned notes how an order to return loans ended.
func (d *Dispatcher[P, Q, L]) Returned(o lend.Message, ok bool) {
	d.onLoans(func(clock.Millis) { d.loans.HandleReturnResult(o, ok) })
}

// Acknowledged notes that a process holds no loan of an earlier run of this
// one.
func (d *Dispatcher[P, Q, L]) Acknowledged(from model.Process) {
	d.onLoans(func(clock.Millis) { d.loans.HandleRecallAck(from) })
}

// Leave ends the loans held and returns the orders that give them back.
func (d *Dispatcher[P, Q, L]) Leave() (orders []lend.Message) {
	d.onLoans(func(now clock.Millis) { orders = d.loans.ReturnAll(now) })
	return orders
}

// onLoans runs f in the duty and puts what it changed in force.
func (d *Dispatcher[P, Q, L]) onLoans(f func(now clock.Millis)) {
	d.call(&command{op: opLoans, loans: func(now clock.Millis) {
		f(now)
		d.syncLoans(now)
		d.pumpAll(now)
	}})
}

// syncLoans tells the router which own slots are lent.
func (d *Dispatcher[P, Q, L]) syncLoans(now clock.Millis) {
	d.router.LoansUncertain = d.loans.Quarantined(now)
	d.loans.TakeChanges(func(id model.InstanceID, lent int) {
		before := d.router.SetLent(id, lent)
		if (before == 0) != (lent == 0) {
			d.event(model.Event{Kind: model.EventLent, Instance: id, Detail: fmt.Sprintf("%d slots are lent", lent)})
		}
	})
}

// peakSpan is the time over which the peaks of the own use are kept, once for
// the present and once for the past.
const peakSpan = clock.Second

// tickLoans hands out the messages that are due.
func (d *Dispatcher[P, Q, L]) tickLoans(now clock.Millis) {
	if !d.loans.Enabled() {
		return
	}
	d.loans.Expire(now)
	d.syncLoans(now)
	if now-d.rolled >= peakSpan {
		d.rolled = now
		d.router.RotatePeaks()
	}
	d.needs = d.needs[:0]
	d.pools = d.gate.WaitingPools(d.pools[:0])
	for _, p := range d.pools {
		if n := d.gate.RunnableCount(p); n > 0 {
			d.needs = append(d.needs, lend.PoolDemand{Pool: p, InstancesByZone: d.spread[p], Pressure: lend.Pressure{
				Waiting: n, Capacity: d.room(now, p), TypicalRunTime: d.gate.TypicalRunTime(p),
			}})
		}
	}
	d.orders = d.loans.DueMessages(now, d.needs, d.orders[:0])
	for i, o := range d.orders {
		if !d.cfg.LoanMessages.TryPut(o) {
			d.unsent(now, o)
		}
		d.orders[i] = lend.Message{}
	}
	d.noteBorrowing(now)
}

// unsent ends an order that found a full ring as one without an answer.
func (d *Dispatcher[P, Q, L]) unsent(now clock.Millis, o lend.Message) {
	switch o.Kind {
	case lend.MessageRequest:
		d.loans.HandleResponse(now, o, now, lend.LoanResponse{}, false)
	case lend.MessageReturn:
		d.loans.HandleReturnResult(o, false)
	case lend.MessageRecall:
	}
}

// noteBorrowing writes an event when the first loan of a pool came or the last
// one ended.
func (d *Dispatcher[P, Q, L]) noteBorrowing(now clock.Millis) {
	d.loans.EachPool(func(p model.Pool) {
		slots := d.loans.BorrowedSlots(now, p)
		if d.borrowing[p] != (slots > 0) {
			d.borrowing[p] = slots > 0
			d.event(model.Event{Kind: model.EventBorrowed, Pool: p, Detail: fmt.Sprintf("%d slots are borrowed", slots)})
		}
	})
}

// mayBorrow reports whether waiters of a pool without own slots may get some
// from others.
func (d *Dispatcher[P, Q, L]) mayBorrow(now clock.Millis, p model.Pool) bool {
	return len(d.spread[p]) > 0 && d.loans.MayBorrow(now, p)
}

// room is the number of requests that own and borrowed slots run at once.
func (d *Dispatcher[P, Q, L]) room(now clock.Millis, p model.Pool) int {
	return d.router.Capacity(now, p) + d.loans.BorrowedSlots(now, p)
}

// pick reserves a slot: of the own share, or of a loan when that has no room.
func (d *Dispatcher[P, Q, L]) pick(now clock.Millis, p model.Pool, avoid model.InstanceID) (place, bool) {
	if h, ok := d.router.Reserve(now, p, avoid); ok {
		return place{held: h}, true
	}
	loan, ok := d.loans.Acquire(now, p, avoid)
	return place{loan: loan}, ok
}

func (d *Dispatcher[P, Q, L]) unpick(now clock.Millis, at place) {
	if at.loan != nil {
		d.loans.Release(now, at.loan, false, false)
		d.loans.Counts.Used--
		return
	}
	d.router.CancelReservation(at.held)
}

// leave gives a slot back and reports whether its upstream was ejected.
func (d *Dispatcher[P, Q, L]) leave(now clock.Millis, at place, o Outcome) (ejected bool) {
	if at.loan == nil {
		return d.router.End(now, at.held, o)
	}
	failed := o == OutcomeError || o == OutcomeUnknown || o == OutcomeTimeout
	d.loans.Release(now, at.loan, failed, o == OutcomeConnect)
	return false
}

func (at place) instance() model.InstanceID {
	if at.loan != nil {
		return at.loan.Instance
	}
	return at.held.Upstream.Instance
}

// upstream is where a request with the deadline goes.
func (at place) upstream(deadline clock.Millis) Upstream {
	if l := at.loan; l != nil {
		return Upstream{
			Instance: l.Instance, Address: l.Address, Incarnation: l.Incarnation, HealthPath: l.HealthPath,
			Connections: l.Connections, LoanName: l.ConnectionName(), WriteDeadline: deadline,
		}
	}
	u := at.held.Upstream
	return Upstream{
		Instance: u.Instance, Address: u.Address, Incarnation: u.Incarnation,
		HealthPath: u.HealthPath, Connections: max(u.Connections, 1),
	}
}
