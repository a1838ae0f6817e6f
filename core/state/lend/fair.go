package lend

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// starvedFor is the time, in leases, for which a borrower that got nothing is
// counted on: long enough for others not to be renewed and for it to ask again.
const starvedFor = 2

// parts divides what is lent in one pool between its borrowers, so that those
// that asked first do not keep all of it.
type parts struct {
	// fair is the slots that one borrower may hold; at least 1.
	fair int
	held map[model.Process]int
	// short says that another borrower got nothing lately.
	short bool
}

// divide counts the loans of a pool for an ask of a borrower.
func (l *Ledger[P]) divide(now clock.Millis, a LoanRequest, stocks []UpstreamSlots) parts {
	p := parts{held: map[model.Process]int{a.Borrower: 0}}
	for k, g := range l.given {
		if g.loan.Pool == a.Pool {
			p.held[k.borrower] += g.loan.Slots
		}
	}
	for s, since := range l.starved {
		switch {
		case now-since > starvedFor*l.cfg.Lease:
			delete(l.starved, s)
		case s.pool == a.Pool && s.borrower != a.Borrower:
			p.held[s.borrower] += 0
			p.short = true
		}
	}
	total := 0
	for i := range stocks {
		total += stocks[i].Lendable
	}
	p.fair = max(total/len(p.held), 1)
	return p
}

// starving names a borrower that got nothing in a pool.
type starving struct {
	borrower model.Process
	pool     model.Pool
}
