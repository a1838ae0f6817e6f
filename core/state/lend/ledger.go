package lend

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// loanKey identifies a granted loan.
type loanKey struct {
	borrower model.Process
	// incarnation is that of the borrower.
	incarnation uint64
	id          ID
}

// lentLoan is a loan that this process has granted.
type lentLoan struct {
	loan Loan
	// end is the time from which the borrower certainly does not use the loan any
	// more; it never moves back.
	end clock.Millis
}

// Ledger records the loans that one process has granted to others, and those that
// it holds from others. It is not safe for concurrent use.
type Ledger[P Policy] struct {
	cfg    Settings
	policy P
	Counts Counts

	lentLoans map[loanKey]lentLoan
	lentSlots map[model.InstanceID]int
	// starved holds, for each borrower that holds no loan in a pool, the time of
	// its last request that was granted nothing.
	starved map[starvedKey]clock.Millis
	// changed lists the instances whose number of lent slots has changed since
	// the last call of TakeChanges.
	changed []model.InstanceID
	// nextRecall holds the earliest time of the next recall to each process that
	// may hold loans of earlier runs of this process. All such loans have ended by
	// loansUncertainUntil.
	nextRecall          map[model.Process]clock.Millis
	loansUncertainUntil clock.Millis

	held       map[ID]*HeldLoan
	pools      map[model.Pool]*poolLoans
	lastNumber uint64
	// lenders holds the state of the other entry processes as lenders.
	lenders map[model.Process]*lender
}

// New returns the ledger of a process whose run starts at now.
func New[P Policy](cfg Settings, policy P, now clock.Millis) *Ledger[P] {
	l := &Ledger[P]{
		cfg: cfg, policy: policy,
		lentLoans: map[loanKey]lentLoan{}, lentSlots: map[model.InstanceID]int{},
		starved:    map[starvedKey]clock.Millis{},
		nextRecall: map[model.Process]clock.Millis{},
		held:       map[ID]*HeldLoan{}, pools: map[model.Pool]*poolLoans{},
		lenders: map[model.Process]*lender{},
	}
	for _, m := range cfg.Entries {
		if m.Name == cfg.Self {
			continue
		}
		l.lenders[m.Name] = &lender{member: m}
		if cfg.Lease > 0 {
			l.nextRecall[m.Name] = 0
		}
	}
	l.loansUncertainUntil = now + cfg.Lease + cfg.MaxRequestTime
	return l
}

// Enabled reports whether lending is turned on.
func (l *Ledger[P]) Enabled() bool { return l.cfg.Lease > 0 }

// LoansUncertain reports whether loans that an earlier run of this process granted
// may still be in use. While it returns true, the process must leave its lendable
// slots unused and must not confirm the release of an instance. From
// loansUncertainUntil on, LoansUncertain also clears nextRecall, because all such
// loans have ended.
func (l *Ledger[P]) LoansUncertain(now clock.Millis) bool {
	if len(l.nextRecall) > 0 && now >= l.loansUncertainUntil {
		clear(l.nextRecall)
	}
	return len(l.nextRecall) > 0
}

// HandleRecallAck records that a process holds no loans of earlier runs of this
// process.
func (l *Ledger[P]) HandleRecallAck(from model.Process) { delete(l.nextRecall, from) }

// Lent returns how many of this process's slots of an upstream are lent.
func (l *Ledger[P]) Lent(id model.InstanceID) int { return l.lentSlots[id] }

// TakeChanges calls f for each instance whose number of lent slots has changed
// since the last call. f may be called several times for one instance.
func (l *Ledger[P]) TakeChanges(f func(id model.InstanceID, lent int)) {
	for _, id := range l.changed {
		f(id, l.lentSlots[id])
	}
	l.changed = l.changed[:0]
}

// Grant answers a loan request within the borrower's fair share of the slots.
// upstreams lists the upstreams of the pool whose slots may be lent, each once.
// find returns the upstream of an instance, or false if it is not routable.
func (l *Ledger[P]) Grant(now clock.Millis, req LoanRequest, upstreams []UpstreamSlots, find func(model.InstanceID) (UpstreamSlots, bool)) LoanResponse {
	out := LoanResponse{Incarnation: l.cfg.Incarnation, Lease: l.cfg.Lease}
	if !l.Enabled() || l.LoansUncertain(now) {
		return out
	}
	end := now + l.cfg.Lease + max(l.cfg.MaxRequestTime, req.MaxRequestTime)
	share := l.fairShare(now, req, upstreams)
	// Loans beyond the fair share are not renewed while another borrower gets
	// nothing.
	for _, id := range req.Renew {
		key := loanKey{req.Borrower, req.Incarnation, id}
		if granted := l.lentLoans[key]; share.contended && granted.loan.Pool == req.Pool && share.held[req.Borrower] > share.slots {
			share.held[req.Borrower] -= granted.loan.Slots
			continue
		}
		if l.renew(key, end, find) {
			out.Renewed = append(out.Renewed, id)
		}
	}
	wanted := min(req.Slots, maxSlotsPerRequest, share.slots-share.held[req.Borrower])
	for i := range upstreams {
		if wanted <= 0 || len(out.Loans) >= maxLoansPerResponse || len(l.lentLoans) >= maxLoans {
			break
		}
		loan, ok := l.lend(req, upstreams[i], wanted, len(out.Loans)+1, end)
		if !ok {
			continue
		}
		wanted -= loan.Slots
		out.Loans = append(out.Loans, loan)
	}
	if key := (starvedKey{req.Borrower, req.Pool}); req.Slots > 0 && share.held[req.Borrower] == 0 {
		delete(l.starved, key)
		if len(out.Loans) == 0 && len(l.starved) < maxLoans {
			l.starved[key] = now
		}
	}
	return out
}

// renew extends the lease of a loan to end and reports whether it did. It does not
// if the upstream has changed since the loan was granted, if own requests wait, or
// if more slots are lent than may be.
func (l *Ledger[P]) renew(key loanKey, end clock.Millis, find func(model.InstanceID) (UpstreamSlots, bool)) bool {
	granted, ok := l.lentLoans[key]
	if !ok {
		return false
	}
	upstream, ok := find(granted.loan.Instance)
	if !ok || upstream.Pool != granted.loan.Pool || upstream.Incarnation != granted.loan.Incarnation ||
		upstream.Waiting > 0 || l.lentSlots[granted.loan.Instance] > upstream.Lendable {
		return false
	}
	granted.end = max(granted.end, end)
	l.lentLoans[key] = granted
	return true
}

// lend grants a loan of at most wanted slots of one upstream, and returns false if
// it can lend none. position is the loan's position in the response.
func (l *Ledger[P]) lend(req LoanRequest, upstream UpstreamSlots, wanted, position int, end clock.Millis) (Loan, bool) {
	upstream.Lent = l.lentSlots[upstream.Instance]
	slots := min(l.policy.SlotsToLend(upstream), upstream.Lendable-upstream.Lent, upstream.Slots-upstream.Running-upstream.Lent, wanted)
	key := loanKey{req.Borrower, req.Incarnation, requestLoanID(req.Number) + ID(position)}
	if _, exists := l.lentLoans[key]; slots <= 0 || exists {
		return Loan{}, false
	}
	loan := upstream.Loan
	loan.ID, loan.Slots, loan.Connections = key.id, slots, slots*upstream.ConnectionsPerSlot
	l.lentLoans[key] = lentLoan{loan: loan, end: end}
	l.addLent(loan.Instance, slots)
	l.Counts.Granted++
	return loan, true
}

// addLent changes the number of lent slots of an instance by n.
func (l *Ledger[P]) addLent(id model.InstanceID, n int) {
	l.lentSlots[id] += n
	l.Counts.LentSlots += int64(n)
	if l.lentSlots[id] == 0 {
		delete(l.lentSlots, id)
	}
	l.changed = append(l.changed, id)
}

// HandleReturn ends the returned loans. Unknown loans are ignored: they were
// returned before or have expired.
func (l *Ledger[P]) HandleReturn(r Return) {
	for _, id := range r.IDs {
		// Position 0 stands for all loans of the request.
		if id&(1<<positionBits-1) != 0 {
			l.endLoan(loanKey{r.Borrower, r.Incarnation, id})
			continue
		}
		for position := 1; position <= maxLoansPerResponse; position++ {
			l.endLoan(loanKey{r.Borrower, r.Incarnation, id + ID(position)})
		}
	}
}

// endLoan removes a granted loan, so that its slots are no longer lent.
func (l *Ledger[P]) endLoan(key loanKey) {
	if granted, ok := l.lentLoans[key]; ok {
		delete(l.lentLoans, key)
		l.addLent(granted.loan.Instance, -granted.loan.Slots)
	}
}

// Expire ends the granted loans that were not returned in time; their borrowers
// certainly do not use them any more.
func (l *Ledger[P]) Expire(now clock.Millis) {
	for key, granted := range l.lentLoans {
		if now >= granted.end {
			l.endLoan(key)
			l.Counts.Expired++
		}
	}
}
