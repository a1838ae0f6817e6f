package entry

import (
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/lend"
	"camphorridge/core/state/model"
)

// Lend answers a loan request of another entry process.
func (d *Dispatcher[P, Q, L]) Lend(r lend.LoanRequest) (response lend.LoanResponse) {
	d.withLoans(func(now clock.Millis) {
		waiting := d.admission.RunnableCount(r.Pool)
		d.ownSlots = d.router.PoolUpstreamSlots(now, r.Pool, waiting, d.ownSlots[:0])
		response = d.loans.Grant(now, r, d.ownSlots, func(id model.InstanceID) (lend.UpstreamSlots, bool) {
			return d.router.UpstreamSlots(id, d.admission.RunnableCount)
		})
	})
	return response
}

// HandleReturn handles the return of loans by another entry process.
func (d *Dispatcher[P, Q, L]) HandleReturn(r lend.Return) {
	d.withLoans(func(clock.Millis) { d.loans.HandleReturn(r) })
}

// HandleRecall handles the recall of loans by a lender that was restarted. It ends the
// loans from the lender's earlier runs and reports whether all of them have ended.
func (d *Dispatcher[P, Q, L]) HandleRecall(r lend.Recall) (clear bool) {
	d.withLoans(func(clock.Millis) { clear = d.loans.HandleRecall(r) })
	return clear
}

// HandleResponse handles the response to the loan request m that was sent at
// requestedAt; ok is false when there was no response.
func (d *Dispatcher[P, Q, L]) HandleResponse(m lend.Message, requestedAt clock.Millis, response lend.LoanResponse, ok bool) {
	d.withLoans(func(now clock.Millis) {
		d.loans.HandleResponse(now, m, requestedAt, response, ok)
		for _, l := range response.Loans {
			// This process's table may be newer than the lender's. EndLoansOf ends
			// only loans whose instance no longer serves their pool in this table.
			if i, known := d.table.Instances[l.Instance]; known {
				d.loans.EndLoansOf(i)
			}
		}
	})
}

// HandleReturnResult records whether the return of loans in m was received.
func (d *Dispatcher[P, Q, L]) HandleReturnResult(m lend.Message, ok bool) {
	d.withLoans(func(clock.Millis) { d.loans.HandleReturnResult(m, ok) })
}

// HandleRecallAck records that the borrower holds no loans of an earlier run of this
// process.
func (d *Dispatcher[P, Q, L]) HandleRecallAck(borrower model.Process) {
	d.withLoans(func(clock.Millis) { d.loans.HandleRecallAck(borrower) })
}

// ReturnAllLoans ends all held loans and returns the messages that return them to
// their lenders.
func (d *Dispatcher[P, Q, L]) ReturnAllLoans() (messages []lend.Message) {
	d.withLoans(func(now clock.Millis) { messages = d.loans.ReturnAll(now) })
	return messages
}

// withLoans runs f in the event loop. Then it passes the changes of loans to the
// router and grants waiting requests that can run.
func (d *Dispatcher[P, Q, L]) withLoans(f func(now clock.Millis)) {
	d.call(&command{op: opLoans, loanFunc: func(now clock.Millis) {
		f(now)
		d.syncLoans(now)
		d.startAllWaiting(now)
	}})
}

// syncLoans passes the changed numbers of lent slots to the router, and whether loans
// of an earlier run may still be in use. It writes an event for each upstream of which
// the first slot was lent or the last one returned.
func (d *Dispatcher[P, Q, L]) syncLoans(now clock.Millis) {
	d.router.LoansUncertain = d.loans.LoansUncertain(now)
	d.loans.TakeChanges(func(id model.InstanceID, lent int) {
		before := d.router.SetLent(id, lent)
		if (before == 0) != (lent == 0) {
			d.event(model.Event{Kind: model.EventLent, Instance: id, Detail: fmt.Sprintf("%d slots are lent", lent)})
		}
	})
}

// peakWindow is the length of a window in which the router measures the peak use of
// own slots. The router keeps the current and the previous window.
const peakWindow = clock.Second

// tickLoans ends expired loans and sends the loan messages that are due.
func (d *Dispatcher[P, Q, L]) tickLoans(now clock.Millis) {
	if !d.loans.Enabled() {
		return
	}
	d.loans.Expire(now)
	d.syncLoans(now)
	if now-d.peaksRotatedAt >= peakWindow {
		d.peaksRotatedAt = now
		d.router.RotatePeaks()
	}
	d.loanDemands = d.loanDemands[:0]
	d.pools = d.admission.WaitingPools(d.pools[:0])
	for _, p := range d.pools {
		if n := d.admission.RunnableCount(p); n > 0 {
			d.loanDemands = append(d.loanDemands, lend.LoanDemand{Pool: p, InstancesByZone: d.servingByZone[p], Pressure: lend.Pressure{
				Waiting: n, Capacity: d.capacity(now, p), TypicalRunTime: d.admission.TypicalRunTime(p),
			}})
		}
	}
	d.loanMessages = d.loans.DueMessages(now, d.loanDemands, d.loanMessages[:0])
	for i, m := range d.loanMessages {
		if !d.cfg.LoanMessages.TryPut(m) {
			d.failMessage(now, m)
		}
		d.loanMessages[i] = lend.Message{}
	}
	d.reportBorrowing(now)
}

// failMessage handles a message that was not sent because the ring was full, as if
// it had not been answered.
func (d *Dispatcher[P, Q, L]) failMessage(now clock.Millis, m lend.Message) {
	switch m.Kind {
	case lend.MessageRequest:
		d.loans.HandleResponse(now, m, now, lend.LoanResponse{}, false)
	case lend.MessageReturn:
		d.loans.HandleReturnResult(m, false)
	case lend.MessageRecall:
	}
}

// reportBorrowing writes an event when this process starts to hold borrowed slots of
// a pool and when it holds none any more.
func (d *Dispatcher[P, Q, L]) reportBorrowing(now clock.Millis) {
	d.loans.EachPool(func(p model.Pool) {
		slots := d.loans.BorrowedSlots(now, p)
		if d.borrowing[p] != (slots > 0) {
			d.borrowing[p] = slots > 0
			d.event(model.Event{Kind: model.EventBorrowed, Pool: p, Detail: fmt.Sprintf("%d slots are borrowed", slots)})
		}
	})
}

// mayBorrow reports whether waiting requests of a pool without own slots may get
// slots from other processes.
func (d *Dispatcher[P, Q, L]) mayBorrow(now clock.Millis, p model.Pool) bool {
	return len(d.servingByZone[p]) > 0 && d.loans.MayBorrow(now, p)
}

// capacity returns the number of requests that can run at once on own and borrowed
// slots of a pool.
func (d *Dispatcher[P, Q, L]) capacity(now clock.Millis, p model.Pool) int {
	return d.router.Capacity(now, p) + d.loans.BorrowedSlots(now, p)
}

// pick reserves a slot of this process's own share, or of a loan when the own share
// has no free slot. The own share of the instance avoid is used when no other
// instance has a free own slot, and before a loan of another instance is tried.
// Loans of avoid are never used.
func (d *Dispatcher[P, Q, L]) pick(now clock.Millis, p model.Pool, avoid model.InstanceID) (reservation, bool) {
	if own, ok := d.router.Reserve(now, p, avoid); ok {
		return reservation{own: own}, true
	}
	loan, ok := d.loans.Acquire(now, p, avoid)
	return reservation{loan: loan}, ok
}

// cancelPick undoes pick for a slot that was not used.
func (d *Dispatcher[P, Q, L]) cancelPick(now clock.Millis, r reservation) {
	if r.loan != nil {
		// Neither failed nor unreached: nothing was sent. Acquire has counted the
		// slot as used.
		d.loans.Release(now, r.loan, false, false)
		d.loans.Counts.Used--
		return
	}
	d.router.CancelReservation(r.own)
}

// release frees the slot of a request that ended with outcome o. It reports whether
// the upstream was ejected because of it.
func (d *Dispatcher[P, Q, L]) release(now clock.Millis, r reservation, o Outcome) (ejected bool) {
	if r.loan == nil {
		return d.router.End(now, r.own, o)
	}
	failed := o == OutcomeError || o == OutcomeUnknown || o == OutcomeTimeout
	d.loans.Release(now, r.loan, failed, o == OutcomeConnect)
	return false
}

func (r reservation) instance() model.InstanceID {
	if r.loan != nil {
		return r.loan.Instance
	}
	return r.own.Upstream.Instance
}

// upstream returns the destination of a request with the given deadline.
func (r reservation) upstream(deadline clock.Millis) Upstream {
	if l := r.loan; l != nil {
		return Upstream{
			Instance: l.Instance, Address: l.Address, Incarnation: l.Incarnation, HealthPath: l.HealthPath,
			Connections: l.Connections, ConnectionName: l.ConnectionName(), WriteDeadline: deadline,
		}
	}
	u := r.own.Upstream
	return Upstream{
		Instance: u.Instance, Address: u.Address, Incarnation: u.Incarnation,
		HealthPath: u.HealthPath, Connections: max(u.Connections, 1),
	}
}
