package lend

import (
	"slices"
	"strconv"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

const (
	// marginPart is the part of a lease before whose end no request starts
	// any more: clocks differ in rate, and handling takes time.
	marginPart = 10
	// retryAfter is the wait after a message that was not answered.
	retryAfter clock.Millis = 500
	// refusedFor is the time for which a lender that gave nothing is not asked
	// again for the pool, and faultyFor for one whose upstream did not answer.
	refusedFor = clock.Second
	faultyFor  = 5 * clock.Second
	// failMost is the number of failures in a row that end a loan.
	failMost = 3
)

// HeldLoan is a loan that this process uses.
type HeldLoan struct {
	Loan
	Lender model.Process
	// UsableUntil is the time from which no request starts.
	UsableUntil clock.Millis
	// Running is the number of requests in flight; at most Slots.
	Running int
	// ended says that no request starts any more; it never goes back.
	ended bool
	// lenderRun is the incarnation of the lender that gave it.
	lenderRun uint64
	// used is the last time with a request in flight.
	used clock.Millis
	// asked says that a renewal is under way.
	asked bool
	// failures counts those in a row.
	failures int
	// next is the time of the next try of a return, and forget that from which
	// the lender needs none.
	next, forget clock.Millis
}

// ConnectionName names the connections of the loan. They are apart from those of the
// own share and of other loans, so that they can be closed with the loan.
func (h *HeldLoan) ConnectionName() string {
	return string(h.Instance) + "#" + strconv.FormatUint(uint64(h.ID), 16)
}

// purse is what a process borrows in one pool.
type purse struct {
	loans []*HeldLoan
	// pending is the number of slots asked for and not answered.
	pending int
	// since is the begin of the pressure; 0 without.
	since clock.Millis
	// refused holds the time until which a lender is not asked again.
	refused map[model.Process]clock.Millis
	// until is the time until which a search without result stands.
	until clock.Millis
}

// lender is another process as a lender.
type lender struct {
	member model.Member
	// incarnation is that of its last recall; 0 before. Answers of another run
	// are void.
	incarnation uint64
	// busy says that an order is under way.
	busy bool
	// faulty is the time until which it is not asked.
	faulty clock.Millis
	// again is the earliest time of the next order.
	again clock.Millis
}

// Acquire reserves a slot of a held loan; ok is false when none has room. A loan
// of the instance to avoid is not taken.
func (l *Ledger[P]) Acquire(now clock.Millis, p model.Pool, avoid model.InstanceID) (h *HeldLoan, ok bool) {
	s := l.pools[p]
	if s == nil {
		return nil, false
	}
	// The first with room is filled up, so that loans that are not needed
	// become idle.
	for _, h := range s.loans {
		if h.ended || h.Running >= h.Slots || now >= h.UsableUntil || h.Instance == avoid {
			continue
		}
		h.Running++
		h.used = now
		l.Counts.Used++
		return h, true
	}
	return nil, false
}

// Release gives a slot back. failed says that the upstream failed, and unreached
// that no connection could be opened.
func (l *Ledger[P]) Release(now clock.Millis, h *HeldLoan, failed, unreached bool) {
	h.Running--
	h.used = now
	if !failed && !unreached {
		h.failures = 0
		return
	}
	h.failures++
	if unreached || h.failures >= failMost {
		h.ended = true
		if to := l.lenders[h.Lender]; to != nil {
			to.faulty = now + faultyFor
		}
	}
}

// BorrowedSlots returns the slots of the loans held in a pool.
func (l *Ledger[P]) BorrowedSlots(now clock.Millis, p model.Pool) int {
	n := 0
	if s := l.pools[p]; s != nil {
		for _, h := range s.loans {
			if !h.ended && now < h.UsableUntil {
				n += h.Slots
			}
		}
	}
	return n
}

// EachHeld calls f for every loan held.
func (l *Ledger[P]) EachHeld(f func(*HeldLoan)) {
	for _, h := range l.held {
		f(h)
	}
}

// EachPool calls f for each pool in which this process has borrowed.
func (l *Ledger[P]) EachPool(f func(model.Pool)) {
	for p := range l.pools {
		f(p)
	}
}

// MayBorrow reports whether a process without own slots of the pool may get some:
// it holds loans, or a search has not yet ended without one.
func (l *Ledger[P]) MayBorrow(now clock.Millis, p model.Pool) bool {
	if !l.Enabled() {
		return false
	}
	s := l.pools[p]
	return s == nil || s.pending > 0 || now >= s.until || l.BorrowedSlots(now, p) > 0
}

// EndLoansOf ends the loans of an instance that left the pool.
func (l *Ledger[P]) EndLoansOf(i model.Instance) {
	for _, h := range l.held {
		if h.Instance == i.ID && (i.Phase != model.PhaseServing || i.Pool != h.Pool) {
			h.ended = true
		}
	}
}

// HandleRecall ends the loans of an earlier run of a lender, and reports whether
// all of them are over, their connections included.
func (l *Ledger[P]) HandleRecall(r Recall) (clear bool) {
	if from := l.lenders[r.Lender]; from != nil {
		from.incarnation = r.Incarnation
	}
	clear = true
	for _, h := range l.held {
		if h.Lender == r.Lender && h.lenderRun != r.Incarnation && h.Slots > 0 {
			h.ended, clear = true, false
		}
	}
	return clear
}

// HandleResponse takes in the answer to an ask that was sent at asked. Without an
// answer, ok is false: the lender may have granted loans, which are then
// returned unused.
func (l *Ledger[P]) HandleResponse(now clock.Millis, o Message, asked clock.Millis, a LoanResponse, ok bool) {
	to, s := l.lenders[o.To], l.purse(o.Request.Pool)
	to.busy = false
	if !ok {
		to.again = now + retryAfter/2
	}
	// The answer of a run before the last recall is void as well.
	void := !ok || to.incarnation != 0 && to.incarnation != a.Incarnation
	end := asked + a.Lease - a.Lease/marginPart
	for _, id := range o.Request.Renew {
		l.renewed(now, id, end, a, ok, void)
	}
	if o.Request.Slots == 0 {
		return
	}
	s.pending -= o.Request.Slots
	if void {
		to.faulty = now + refusedFor
		// It stands for the loans that may have been granted.
		l.hold(&HeldLoan{
			Loan: Loan{ID: askID(o.Request.Number), Pool: o.Request.Pool}, Lender: o.To, ended: true,
			forget: now + l.cfg.Lease + l.cfg.MaxRequestTime,
		})
	}
	if void || len(a.Loans) == 0 {
		l.Counts.Refused++
		s.refused[o.To] = now + refusedFor
		return
	}
	for _, loan := range a.Loans {
		l.Counts.Received++
		l.hold(&HeldLoan{
			Loan: loan, Lender: o.To, UsableUntil: end, used: now, lenderRun: a.Incarnation,
			forget: now + a.Lease + l.cfg.MaxRequestTime,
		})
	}
}

// renewed takes in what became of one renewal. An unanswered one changes
// nothing: the loan holds until the end that is known.
func (l *Ledger[P]) renewed(now clock.Millis, id ID, end clock.Millis, a LoanResponse, ok, void bool) {
	h := l.held[id]
	if h == nil {
		return
	}
	h.asked = false
	switch {
	case !ok:
	case void || !slices.Contains(a.Renewed, id):
		h.ended = true
	default:
		h.UsableUntil = max(h.UsableUntil, end)
		h.forget = max(h.forget, now+a.Lease+l.cfg.MaxRequestTime)
	}
}

func (l *Ledger[P]) hold(h *HeldLoan) {
	l.held[h.ID] = h
	if h.Slots == 0 {
		return
	}
	s := l.purse(h.Pool)
	s.loans = append(s.loans, h)
	l.Counts.HeldSlots += int64(h.Slots)
}

// drop forgets a loan that was returned, or that the lender has given up.
func (l *Ledger[P]) drop(h *HeldLoan) {
	delete(l.held, h.ID)
	s := l.purse(h.Pool)
	if i := slices.Index(s.loans, h); i >= 0 {
		s.loans = slices.Delete(s.loans, i, i+1)
		l.Counts.HeldSlots -= int64(h.Slots)
	}
}

// HandleReturnResult notes that the lender has taken loans back; ok is false without an
// answer.
func (l *Ledger[P]) HandleReturnResult(o Message, ok bool) {
	l.lenders[o.To].busy = false
	for _, id := range o.Return.IDs {
		if h := l.held[id]; h != nil && ok {
			l.drop(h)
		}
	}
}

func (l *Ledger[P]) purse(p model.Pool) *purse {
	s := l.pools[p]
	if s == nil {
		s = &purse{refused: map[model.Process]clock.Millis{}}
		l.pools[p] = s
	}
	return s
}
