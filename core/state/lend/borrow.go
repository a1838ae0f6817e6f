package lend

import (
	"slices"
	"strconv"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

const (
	// leaseMarginDivisor determines the last part of a lease, 1/leaseMarginDivisor
	// of its length, in which no request starts on the loan, because clocks
	// differ in rate and the start of a request takes time.
	leaseMarginDivisor = 10
	// retryAfter is the delay before a recall or a return is sent again. A lender
	// that did not respond to a loan request gets no other loan request or return
	// for retryAfter/2.
	retryAfter clock.Millis = 500
	// refusedBackoff is how long a lender is not asked for slots: for those of one
	// pool after it granted none there, and for those of any pool after its
	// response to a request for slots was lost or ignored. faultyBackoff is how
	// long it is not asked for slots after failed requests ended one of its loans.
	refusedBackoff = clock.Second
	faultyBackoff  = 5 * clock.Second
	// maxFailures is the number of consecutive failed requests that end a loan.
	maxFailures = 3
)

// HeldLoan is a loan that this process may use.
type HeldLoan struct {
	Loan
	Lender model.Process
	// UsableUntil is the time from which no request starts.
	UsableUntil clock.Millis
	// Running is the number of requests in flight on the loan; at most Slots.
	Running int
	// ended is set, for good, once no more requests may start on the loan.
	ended bool
	// lenderIncarnation is the incarnation of the lender that granted the loan.
	lenderIncarnation uint64
	// lastUsed is the last time at which a request started or ended; before the
	// first one, the time at which the loan was received.
	lastUsed clock.Millis
	// renewing is set while a request to renew the loan awaits its response.
	renewing bool
	// failures counts consecutive failed requests.
	failures int
	// nextReturn is the earliest time at which a return is sent, or sent again.
	// From forgetAt on the lender needs no return because the loan has expired
	// there.
	nextReturn, forgetAt clock.Millis
}

// ConnectionName returns the name of the loan's connections. They are separate
// from those of the own share and of other loans, so that they can be closed
// with the loan.
func (h *HeldLoan) ConnectionName() string {
	return string(h.Instance) + "#" + strconv.FormatUint(uint64(h.ID), 16)
}

// poolLoans is the state of a process as a borrower in one pool.
type poolLoans struct {
	loans []*HeldLoan
	// pendingSlots is the number of slots in requests that await a response.
	pendingSlots int
	// pressureSince is the time since which requests have been waiting for slots
	// without a break; 0 if none wait.
	pressureSince clock.Millis
	// refusedUntil holds the time until which each lender is not asked again for
	// slots of the pool.
	refusedUntil map[model.Process]clock.Millis
	// failedSearchUntil is the time until which no loan is expected because
	// every lender refused or failed.
	failedSearchUntil clock.Millis
}

// lender is the state of another process as a lender.
type lender struct {
	member model.Member
	// incarnation is the incarnation in the last recall of the process; 0 before
	// the first one. After that, responses of other incarnations are ignored.
	incarnation uint64
	// busy is set while a loan request or a return to the process awaits its
	// response.
	busy bool
	// faultyUntil is the time until which no slots are requested from the
	// process; held loans are still renewed.
	faultyUntil clock.Millis
	// nextMessage is the earliest time of the next loan request or return.
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

// Release frees a slot that Acquire reserved. failed says that the upstream failed
// the request, and unreached that no connection to the upstream could be opened.
// The loan ends if unreached is set or maxFailures requests in a row have failed,
// and its lender is then not asked for slots for faultyBackoff.
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

// BorrowedSlots returns the number of slots, free or in use, of the usable loans
// held in a pool.
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

// EachPool calls f for each pool for which DueMessages was passed a demand, even if
// no loan was requested.
func (l *Ledger[P]) EachPool(f func(model.Pool)) {
	for p := range l.pools {
		f(p)
	}
}

// MayBorrow reports whether requests of a pool may get borrowed slots: the process
// holds usable loans or awaits the response to a request, or not all lenders have
// recently refused or failed. A process without own slots of the pool need not
// keep requests waiting if it returns false.
func (l *Ledger[P]) MayBorrow(now clock.Millis, p model.Pool) bool {
	if !l.Enabled() {
		return false
	}
	s := l.pools[p]
	return s == nil || s.pendingSlots > 0 || now >= s.failedSearchUntil || l.BorrowedSlots(now, p) > 0
}

// EndLoansOf ends the held loans of an instance that does not serve the pool of the
// loan any more.
func (l *Ledger[P]) EndLoansOf(i model.Instance) {
	for _, h := range l.held {
		if h.Instance == i.ID && (i.Phase != model.PhaseServing || i.Pool != h.Pool) {
			h.ended = true
		}
	}
}

// HandleRecall ends the held loans that earlier runs of the lender granted. It
// reports whether none of them is left. A loan counts as left until its connections
// are closed and it has been returned, or until it has expired at the lender.
func (l *Ledger[P]) HandleRecall(r Recall) (noneLeft bool) {
	if from := l.lenders[r.Lender]; from != nil {
		from.incarnation = r.Incarnation
	}
	noneLeft = true
	for _, h := range l.held {
		if h.Lender == r.Lender && h.lenderIncarnation != r.Incarnation && h.Slots > 0 {
			h.ended, noneLeft = true, false
		}
	}
	return noneLeft
}

// HandleResponse processes the response to the loan request m that was sent at
// sentAt. ok is false if there was no response: the lender may still have granted
// loans, which are then returned unused.
func (l *Ledger[P]) HandleResponse(now clock.Millis, m Message, sentAt clock.Millis, resp LoanResponse, ok bool) {
	from, loans := l.lenders[m.To], l.loansOf(m.Request.Pool)
	from.busy = false
	if !ok {
		from.nextMessage = now + retryAfter/2
	}
	// A response of a run other than the one that sent the last recall is ignored
	// as well.
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
		// The loan without a position stands for all loans that the lender may
		// have granted, so that they are returned.
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

// renewed processes the result of the renewal of one loan. end is the end of its
// new lease. Without a response the loan stays valid until its known end.
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

// hold adds a loan to the held ones. A loan that stands for all loans of a request
// has no slots and is never acquired.
func (l *Ledger[P]) hold(h *HeldLoan) {
	l.held[h.ID] = h
	if h.Slots == 0 {
		return
	}
	s := l.loansOf(h.Pool)
	s.loans = append(s.loans, h)
	l.Counts.HeldSlots += int64(h.Slots)
}

// forget removes a held loan that was returned or has expired at its lender.
func (l *Ledger[P]) forget(h *HeldLoan) {
	delete(l.held, h.ID)
	s := l.loansOf(h.Pool)
	if i := slices.Index(s.loans, h); i >= 0 {
		s.loans = slices.Delete(s.loans, i, i+1)
		l.Counts.HeldSlots -= int64(h.Slots)
	}
}

// HandleReturnResult processes the result of the return m. ok says that the lender
// confirmed it; otherwise the return is sent again later.
func (l *Ledger[P]) HandleReturnResult(m Message, ok bool) {
	l.lenders[m.To].busy = false
	for _, id := range m.Return.IDs {
		if h := l.held[id]; h != nil && ok {
			l.forget(h)
		}
	}
}

// loansOf returns the state of a pool, and creates it if there is none yet.
func (l *Ledger[P]) loansOf(p model.Pool) *poolLoans {
	s := l.pools[p]
	if s == nil {
		s = &poolLoans{refusedUntil: map[model.Process]clock.Millis{}}
		l.pools[p] = s
	}
	return s
}
