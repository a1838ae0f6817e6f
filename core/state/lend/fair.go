package lend

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// starvedLeases is the number of leases for which a borrower that got nothing
// counts in the fair share: long enough for loans of other borrowers to end
// because they are not renewed, and for the borrower to ask again.
const starvedLeases = 2

// fairShare is the division of a pool's lendable slots between its borrowers, so
// that those that asked first do not keep all of them.
type fairShare struct {
	// slots is the number of slots that one borrower may hold; at least 1.
	slots int
	// held counts the slots of each borrower in the pool. It also contains the
	// borrowers that hold none but count in the share.
	held map[model.Process]int
	// contended says that another borrower recently got nothing.
	contended bool
}

// fairShare computes the fair share of the borrower of a request in its pool.
// upstreams lists the pool's upstreams that may be lent. It also removes the
// entries of starved, for all pools, that are older than starvedLeases leases.
func (l *Ledger[P]) fairShare(now clock.Millis, req LoanRequest, upstreams []UpstreamSlots) fairShare {
	share := fairShare{held: map[model.Process]int{req.Borrower: 0}}
	for key, granted := range l.lentLoans {
		if granted.loan.Pool == req.Pool {
			share.held[key.borrower] += granted.loan.Slots
		}
	}
	for starved, since := range l.starved {
		switch {
		case now-since > starvedLeases*l.cfg.Lease:
			delete(l.starved, starved)
		case starved.pool == req.Pool && starved.borrower != req.Borrower:
			// The entry makes the borrower count even if it holds no slot.
			share.held[starved.borrower] += 0
			share.contended = true
		}
	}
	total := 0
	for i := range upstreams {
		total += upstreams[i].Lendable
	}
	share.slots = max(total/len(share.held), 1)
	return share
}

// starvedKey identifies a borrower that got nothing in a pool.
type starvedKey struct {
	borrower model.Process
	pool     model.Pool
}
