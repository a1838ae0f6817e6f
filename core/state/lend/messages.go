package lend

import (
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// DueMessages appends to buf the messages that are due: recalls, returns, renewals,
// and for each pool in demands at most one request for new loans. demands lists the
// pools with waiting requests. It also ends the held loans that are not needed or
// not usable any more. At most one loan request or return is in flight to a
// process.
func (l *Ledger[P]) DueMessages(now clock.Millis, demands []LoanDemand, buf []Message) []Message {
	if !l.Enabled() {
		return buf
	}
	buf = l.appendRecalls(now, buf)
	l.endUnneeded(now)
	buf = l.appendReturns(now, buf)
	buf = l.appendRenewals(now, buf)
	for p, s := range l.pools {
		if !slices.ContainsFunc(demands, func(demand LoanDemand) bool { return demand.Pool == p }) {
			s.pressureSince = 0
		}
	}
	for _, demand := range demands {
		buf = l.requestLoans(now, demand, buf)
	}
	return buf
}

// appendRecalls appends the due recalls while loans of earlier runs may be in use.
func (l *Ledger[P]) appendRecalls(now clock.Millis, buf []Message) []Message {
	if !l.LoansUncertain(now) {
		return buf
	}
	for p, due := range l.nextRecall {
		if now < due {
			continue
		}
		l.nextRecall[p] = now + retryAfter
		buf = append(buf, Message{
			Kind: MessageRecall, To: p, Recall: Recall{Lender: l.cfg.Self, Incarnation: l.cfg.Incarnation},
		})
	}
	return buf
}

// endUnneeded ends the held loans that are not usable any more or have been idle
// for too long, and forgets ended ones that have expired at their lenders.
func (l *Ledger[P]) endUnneeded(now clock.Millis) {
	for _, h := range l.held {
		if now >= h.UsableUntil || h.Running == 0 && !l.policy.KeepIdle(now-h.lastUsed, l.cfg.Lease) {
			h.ended = true
		}
		if h.ended && h.Running == 0 && now >= h.forgetAt {
			l.forget(h)
		}
	}
}

// ReturnAll ends all held loans and returns the messages that give back those
// without a request in flight, even to lenders whose response is awaited.
func (l *Ledger[P]) ReturnAll(now clock.Millis) []Message {
	for _, to := range l.lenders {
		to.busy, to.nextMessage = false, 0
	}
	for _, h := range l.held {
		h.ended, h.renewing, h.nextReturn = true, false, 0
	}
	return l.appendReturns(now, nil)
}

// appendReturns appends the due returns of ended loans without requests in flight,
// one message for each lender.
func (l *Ledger[P]) appendReturns(now clock.Millis, buf []Message) []Message {
	indexByLender := map[model.Process]int{}
	for _, h := range l.held {
		if !h.ended || h.Running > 0 || h.renewing || now < h.nextReturn {
			continue
		}
		to := l.lenders[h.Lender]
		index, started := indexByLender[h.Lender]
		if !started {
			if to.busy || now < to.nextMessage {
				continue
			}
			to.busy = true
			index = len(buf)
			indexByLender[h.Lender] = index
			buf = append(buf, Message{
				Kind: MessageReturn, To: h.Lender,
				Return: Return{Borrower: l.cfg.Self, Incarnation: l.cfg.Incarnation},
			})
		}
		h.nextReturn = now + retryAfter
		buf[index].Return.IDs = append(buf[index].Return.IDs, h.ID)
		if h.Slots > 0 {
			buf[index].CloseConnections = append(buf[index].CloseConnections, h.ConnectionName())
		}
	}
	return buf
}

// appendRenewals appends renewals of the loans that are usable for at most half a
// lease more, one message for each lender with loans of all pools.
func (l *Ledger[P]) appendRenewals(now clock.Millis, buf []Message) []Message {
	indexByLender := map[model.Process]int{}
	for _, h := range l.held {
		if h.ended || h.renewing || h.UsableUntil-now > l.cfg.Lease/2 {
			continue
		}
		index, started := indexByLender[h.Lender]
		if !started {
			to := l.lenders[h.Lender]
			if to.busy || now < to.nextMessage {
				continue
			}
			to.busy = true
			index = len(buf)
			indexByLender[h.Lender] = index
			buf = append(buf, Message{Kind: MessageRequest, To: h.Lender, Request: l.newRequest(h.Pool, 0)})
		}
		h.renewing = true
		buf[index].Request.Renew = append(buf[index].Request.Renew, h.ID)
	}
	return buf
}

// newRequest returns a loan request with the next number.
func (l *Ledger[P]) newRequest(p model.Pool, slots int) LoanRequest {
	l.lastNumber++
	return LoanRequest{
		Borrower: l.cfg.Self, Incarnation: l.cfg.Incarnation, Number: l.lastNumber,
		Pool: p, Slots: slots, MaxRequestTime: l.cfg.MaxRequestTime,
	}
}

// requestLoans appends a request to one lender for the slots that the pool needs
// beyond those already requested.
func (l *Ledger[P]) requestLoans(now clock.Millis, demand LoanDemand, buf []Message) []Message {
	loans := l.loansOf(demand.Pool)
	if loans.pressureSince == 0 {
		loans.pressureSince = now
	}
	demand.Duration = now - loans.pressureSince
	wanted := l.policy.SlotsToRequest(demand.Pressure) - loans.pendingSlots
	if wanted <= 0 || len(l.held) >= maxLoans {
		return buf
	}
	to, allFailed := l.chooseLender(now, loans, demand.InstancesByZone)
	if allFailed && loans.pendingSlots == 0 {
		loans.failedSearchUntil = now + refusedBackoff
	}
	if to == nil {
		return buf
	}
	to.busy = true
	wanted = min(wanted, maxSlotsPerRequest)
	loans.pendingSlots += wanted
	l.Counts.Requested++
	return append(buf, Message{Kind: MessageRequest, To: to.member.Name, Request: l.newRequest(demand.Pool, wanted)})
}

// chooseLender returns the lender to ask, or nil if there is none to ask now: one in
// this process's zone if possible, and round-robin among equals. allFailed reports
// that every lender in a zone with instances of the pool has recently refused or
// failed.
func (l *Ledger[P]) chooseLender(now clock.Millis, loans *poolLoans, zones map[model.Zone]int) (best *lender, allFailed bool) {
	allFailed = true
	all := l.cfg.Entries
	for i := range all {
		m := all[(i+int(l.lastNumber%uint64(len(all))))%len(all)]
		to := l.lenders[m.Name]
		if to == nil || zones[m.Zone] == 0 || now < loans.refusedUntil[m.Name] || now < to.faultyUntil {
			continue
		}
		allFailed = false
		if to.busy || now < to.nextMessage {
			continue
		}
		if best == nil || m.Zone == l.cfg.Zone && best.member.Zone != l.cfg.Zone {
			best = to
		}
	}
	return best, allFailed
}
