package lend

import (
	"slices"
	"strconv"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

const (
	// leaseMarginDivisor sets the margin at the end of a lease in which no
	// request starts, 1/leaseMarginDivisor of the lease: clocks differ in rate,
	// and handling takes time.
	leaseMarginDivisor = 10
	// retryAfter is the delay before a message without a response is sent
	// again.
	retryAfter clock.Millis = 500
	// refusedBackoff is how long a lender that granted nothing is not asked
	// again for the pool. faultyBackoff is how long a lender is not asked at
	// all after its upstream did not respond.
	refusedBackoff = clock.Second
	faultyBackoff  = 5 * clock.Second
	// maxFailures is the number of consecutive failures that end a loan.
	maxFailures = 3
)

// HeldLoan is a loan that this process may use.
type HeldLoan struct {
	Loan
	Lender model.Process
	// UsableUntil is the time from which no request starts.
	UsableUntil clock.Millis
	// Running is the number of requests in flight; at most Slots.
	Running int
	// ended is set, for good, once no more requests may start on the loan.
	ended bool
	// lenderIncarnation is the incarnation of the lender that granted the loan.
	lenderIncarnation uint64
	// lastUsed is the last time at which a request was in flight.
	lastUsed clock.Millis
	// renewing is set while a renewal awaits its response.
	renewing bool
	// failures counts consecutive failures.
	failures int
	// nextReturn is the earliest time of the next return. From forgetAt on
	// the lender needs no return because the loan has expired there.
	nextReturn, forgetAt clock.Millis
}

// ConnectionName returns the name of the loan's connections. They are separate
// from those of the own share and of other loans, so that they can be closed
// with the loan.
func (h *HeldLoan) ConnectionName() string {
	return string(h.Instance) + "#" + strconv.FormatUint(uint64(h.ID), 16)
}

// poolLoans is what a process borrows in one pool.
type poolLoans struct {
	loans []*HeldLoan
	// pendingSlots is the number of requested slots without a response.
	pendingSlots int
	// pressureSince is the time since which requests have waited for slots without
	// a break; 0 if none wait.
	pressureSince clock.Millis
	// refusedUntil holds the time until which a lender is not asked again.
	refusedUntil map[model.Process]clock.Millis
	// failedSearchUntil is the time until which no loan is expected because
	// every lender refused or failed.
	failedSearchUntil clock.Millis
}

// lender is the state of another process as a lender.
type lender struct {
	member model.Member
	// incarnation is the incarnation in the process's last recall; 0 before the
	// first one. Responses of other incarnations are ignored.
	incarnation uint64
	// busy is set while a message awaits its result.
	busy bool
	// faultyUntil is the time until which no slots are requested from the
	// process; held loans are still renewed.
	faultyUntil clock.Millis
	// nextMessage is the earliest time of the next message.
	nextMessage clock.Millis
}

// Acquire reserves a slot of a held loan; ok is false if no loan has a free
// slot. Loans of the instance avoid are skipped.
func (l *Ledger[P]) Acquire(now clock.Millis, p model.Pool, avoid model.InstanceID) (h *HeldLoan, ok bool) {
	s := l.pools[p]
	if s == nil {
		return nil, false
	}
	// The first loan with a free slot is used, so that loans that are not
	// needed become idle.
	for _, h := range s.loans {
		if h.ended || h.Running >= h.Slots || now >= h.UsableUntil || h.Instance == avoid {
			continue
		}
		h.Running++
		h.lastUsed = now
		l.Counts.Used++
		return h, true
	}
	return nil, false
}

// Release frees a slot. failed says that the upstream failed, and unreached
// that no connection could be opened.
func (l *Ledger[P]) Release(now clock.Millis, h *HeldLoan, failed, unreached bool) {
	h.Running--
	h.lastUsed = now
	if !failed && !unreached {
		h.failures = 0
		return
	}
	h.failures++
	if unreached || h.failures >= maxFailures {
		h.ended = true
		if to := l.lenders[h.Lender]; to != nil {
			to.faultyUntil = now + faultyBackoff
		}
	}
}

// BorrowedSlots returns the number of usable slots of the loans held in a pool.
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

// EachHeld calls f for every held loan.
func (l *Ledger[P]) EachHeld(f func(*HeldLoan)) {
	for _, h := range l.held {
		f(h)
	}
}

// EachPool calls f for each pool in which this process has requested loans.
func (l *Ledger[P]) EachPool(f func(model.Pool)) {
	for p := range l.pools {
		f(p)
	}
}

// MayBorrow reports whether a process without own slots of the pool may get
// some: it holds usable loans, or not all lenders have recently refused or
// failed.
func (l *Ledger[P]) MayBorrow(now clock.Millis, p model.Pool) bool {
	if !l.Enabled() {
		return false
	}
	s := l.pools[p]
	return s == nil || s.pendingSlots > 0 || now >= s.failedSearchUntil || l.BorrowedSlots(now, p) > 0
}

// EndLoansOf ends the held loans of an instance that left the pool.
func (l *Ledger[P]) EndLoansOf(i model.Instance) {
	for _, h := range l.held {
		if h.Instance == i.ID && (i.Phase != model.PhaseServing || i.Pool != h.Pool) {
			h.ended = true
		}
	}
}

// HandleRecall ends the loans of earlier runs of a lender. It reports whether
// none of them are left, including their connections.
func (l *Ledger[P]) HandleRecall(r Recall) (clear bool) {
	if from := l.lenders[r.Lender]; from != nil {
		from.incarnation = r.Incarnation
	}
	clear = true
	for _, h := range l.held {
		if h.Lender == r.Lender && h.lenderIncarnation != r.Incarnation && h.Slots > 0 {
			h.ended, clear = true, false
		}
	}
	return clear
}

// HandleResponse processes the response to the loan request m that was sent at
// sentAt. ok is false if there was no response: the lender may have granted
// loans, which are then returned unused.
func (l *Ledger[P]) HandleResponse(now clock.Millis, m Message, sentAt clock.Millis, resp LoanResponse, ok bool) {
	from, loans := l.lenders[m.To], l.loansOf(m.Request.Pool)
	from.busy = false
	if !ok {
		from.nextMessage = now + retryAfter/2
	}
	// A response from a run before the last recall is ignored as well.
	ignored := !ok || from.incarnation != 0 && from.incarnation != resp.Incarnation
	end := sentAt + resp.Lease - resp.Lease/leaseMarginDivisor
	for _, id := range m.Request.Renew {
		l.renewed(now, id, end, resp, ok, ignored)
	}
	if m.Request.Slots == 0 {
		return
	}
	loans.pendingSlots -= m.Request.Slots
	if ignored {
		from.faultyUntil = now + refusedBackoff
		// This entry stands for all loans that the lender may have granted.
		l.hold(&HeldLoan{
			Loan: Loan{ID: requestLoanID(m.Request.Number), Pool: m.Request.Pool}, Lender: m.To, ended: true,
			forgetAt: now + l.cfg.Lease + l.cfg.MaxRequestTime,
		})
	}
	if ignored || len(resp.Loans) == 0 {
		l.Counts.Refused++
		loans.refusedUntil[m.To] = now + refusedBackoff
		return
	}
	for _, loan := range resp.Loans {
		l.Counts.Received++
		l.hold(&HeldLoan{
			Loan: loan, Lender: m.To, UsableUntil: end, lastUsed: now, lenderIncarnation: resp.Incarnation,
			forgetAt: now + resp.Lease + l.cfg.MaxRequestTime,
		})
	}
}

// renewed processes the result of one renewal. Without a response nothing
// changes: the loan is valid until the known end.
func (l *Ledger[P]) renewed(now clock.Millis, id ID, end clock.Millis, resp LoanResponse, ok, ignored bool) {
	h := l.held[id]
	if h == nil {
		return
	}
	h.renewing = false
	switch {
	case !ok:
	case ignored || !slices.Contains(resp.Renewed, id):
		h.ended = true
	default:
		h.UsableUntil = max(h.UsableUntil, end)
		h.forgetAt = max(h.forgetAt, now+resp.Lease+l.cfg.MaxRequestTime)
	}
}

// hold adds a loan to the held ones.
func (l *Ledger[P]) hold(h *HeldLoan) {
	l.held[h.ID] = h
	if h.Slots == 0 {
		return
	}
	s := l.loansOf(h.Pool)
	s.loans = append(s.loans, h)
	l.Counts.HeldSlots += int64(h.Slots)
}

// forget removes a loan that was returned or that has expired at its lender.
func (l *Ledger[P]) forget(h *HeldLoan) {
	delete(l.held, h.ID)
	s := l.loansOf(h.Pool)
	if i := slices.Index(s.loans, h); i >= 0 {
		s.loans = slices.Delete(s.loans, i, i+1)
		l.Counts.HeldSlots -= int64(h.Slots)
	}
}

// HandleReturnResult records that the lender has processed a return; ok is
// false if there was no response.
func (l *Ledger[P]) HandleReturnResult(m Message, ok bool) {
	l.lenders[m.To].busy = false
	for _, id := range m.Return.IDs {
		if h := l.held[id]; h != nil && ok {
			l.forget(h)
		}
	}
}

// loansOf returns the loans in a pool and creates an empty entry if there is
// none.
func (l *Ledger[P]) loansOf(p model.Pool) *poolLoans {
	s := l.pools[p]
	if s == nil {
		s = &poolLoans{refusedUntil: map[model.Process]clock.Millis{}}
		l.pools[p] = s
	}
	return s
}
