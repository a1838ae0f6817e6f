package lend

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// key names a loan given.
type key struct {
	borrower    model.Process
	incarnation uint64
	id          ID
}

// given is a loan of own slots.
type given struct {
	loan Loan
	// until is the time after which nobody uses the loan any more; it never
	// moves back.
	until clock.Millis
}

// Ledger is the record of one process's loans. It is not safe for use by
// several goroutines.
type Ledger[P Policy] struct {
	cfg    Settings
	policy P
	Counts Counts

	given map[key]given
	lent  map[model.InstanceID]int
	// starved holds the time at which a borrower without loans got none.
	starved map[starving]clock.Millis
	// changed lists the instances whose lent slots changed; see Changed.
	changed []model.InstanceID
	// unheard lists the processes that may hold loans of the run before this
	// one; quarantine is the end of all such loans.
	unheard    map[model.Process]clock.Millis
	quarantine clock.Millis

	held   map[ID]*HeldLoan
	pools  map[model.Pool]*purse
	number uint64
	// lenders is the state of other processes as lenders.
	lenders map[model.Process]*lender
}

// New returns the ledger of a process that starts at now.
func New[P Policy](cfg Settings, policy P, now clock.Millis) *Ledger[P] {
	l := &Ledger[P]{
		cfg: cfg, policy: policy,
		given: map[key]given{}, lent: map[model.InstanceID]int{},
		starved: map[starving]clock.Millis{},
		unheard: map[model.Process]clock.Millis{},
		held:    map[ID]*HeldLoan{}, pools: map[model.Pool]*purse{},
		lenders: map[model.Process]*lender{},
	}
	for _, m := range cfg.Entries {
		if m.Name == cfg.Self {
			continue
		}
		l.lenders[m.Name] = &lender{member: m}
		if cfg.Lease > 0 {
			l.unheard[m.Name] = 0
		}
	}
	l.quarantine = now + cfg.Lease + cfg.MaxRequestTime
	return l
}

// Enabled reports whether lending is turned on.
func (l *Ledger[P]) Enabled() bool { return l.cfg.Lease > 0 }

// Quarantined reports whether loans of an earlier run of this process may be
// in use: its lendable slots must then stay unused, and it must confirm no
// release.
func (l *Ledger[P]) Quarantined(now clock.Millis) bool {
	if len(l.unheard) > 0 && now >= l.quarantine {
		clear(l.unheard)
	}
	return len(l.unheard) > 0
}

// HandleRecallAck notes that a process holds no loan of an earlier run.
func (l *Ledger[P]) HandleRecallAck(from model.Process) { delete(l.unheard, from) }

// Lent returns the slots of an own upstream that are lent.
func (l *Ledger[P]) Lent(id model.InstanceID) int { return l.lent[id] }

// TakeChanges calls f for each instance whose lent slots changed since the last
// call.
func (l *Ledger[P]) TakeChanges(f func(id model.InstanceID, lent int)) {
	for _, id := range l.changed {
		f(id, l.lent[id])
	}
	l.changed = l.changed[:0]
}

// Grant answers an ask. stocks lists the upstreams of the pool that may be lent,
// each once; find returns one upstream, false when it is not routable.
func (l *Ledger[P]) Grant(now clock.Millis, a LoanRequest, stocks []UpstreamSlots, find func(model.InstanceID) (UpstreamSlots, bool)) LoanResponse {
	out := LoanResponse{Incarnation: l.cfg.Incarnation, Lease: l.cfg.Lease}
	if !l.Enabled() || l.Quarantined(now) {
		return out
	}
	until := now + l.cfg.Lease + max(l.cfg.MaxRequestTime, a.MaxRequestTime)
	p := l.divide(now, a, stocks)
	for _, id := range a.Renew {
		k := key{a.Borrower, a.Incarnation, id}
		if g := l.given[k]; p.short && g.loan.Pool == a.Pool && p.held[a.Borrower] > p.fair {
			p.held[a.Borrower] -= g.loan.Slots
			continue
		}
		if l.renew(k, until, find) {
			out.Renewed = append(out.Renewed, id)
		}
	}
	want := min(a.Slots, maxSlots, p.fair-p.held[a.Borrower])
	for i := range stocks {
		if want <= 0 || len(out.Loans) >= maxParts || len(l.given) >= maxLoans {
			break
		}
		loan, ok := l.give(a, stocks[i], want, len(out.Loans)+1, until)
		if !ok {
			continue
		}
		want -= loan.Slots
		out.Loans = append(out.Loans, loan)
	}
	if s := (starving{a.Borrower, a.Pool}); a.Slots > 0 && p.held[a.Borrower] == 0 {
		delete(l.starved, s)
		if len(out.Loans) == 0 && len(l.starved) < maxLoans {
			l.starved[s] = now
		}
	}
	return out
}

// renew moves the end of a loan on, unless its upstream is no longer the one
// that was lent or own requests need the slots.
func (l *Ledger[P]) renew(k key, until clock.Millis, find func(model.InstanceID) (UpstreamSlots, bool)) bool {
	g, ok := l.given[k]
	if !ok {
		return false
	}
	s, ok := find(g.loan.Instance)
	if !ok || s.Pool != g.loan.Pool || s.Incarnation != g.loan.Incarnation ||
		s.Waiting > 0 || l.lent[g.loan.Instance] > s.Lendable {
		return false
	}
	g.until = max(g.until, until)
	l.given[k] = g
	return true
}

func (l *Ledger[P]) give(a LoanRequest, s UpstreamSlots, want, part int, until clock.Millis) (Loan, bool) {
	s.Lent = l.lent[s.Instance]
	n := min(l.policy.Give(s), s.Lendable-s.Lent, s.Slots-s.Running-s.Lent, want)
	k := key{a.Borrower, a.Incarnation, askID(a.Number) + ID(part)}
	if _, again := l.given[k]; n <= 0 || again {
		return Loan{}, false
	}
	loan := s.Loan
	loan.ID, loan.Slots, loan.Connections = k.id, n, n*s.ConnectionsPerSlot
	l.given[k] = given{loan: loan, until: until}
	l.add(loan.Instance, n)
	l.Counts.Granted++
	return loan, true
}

func (l *Ledger[P]) add(id model.InstanceID, n int) {
	l.lent[id] += n
	l.Counts.LentSlots += int64(n)
	if l.lent[id] == 0 {
		delete(l.lent, id)
	}
	l.changed = append(l.changed, id)
}

// HandleReturn takes returned loans in. Unknown ones are ignored: they were
// returned before, or their time has passed.
func (l *Ledger[P]) HandleReturn(r Return) {
	for _, id := range r.IDs {
		if id&(1<<partBits-1) != 0 {
			l.end(key{r.Borrower, r.Incarnation, id})
			continue
		}
		for part := 1; part <= maxParts; part++ {
			l.end(key{r.Borrower, r.Incarnation, id + ID(part)})
		}
	}
}

func (l *Ledger[P]) end(k key) {
	if g, ok := l.given[k]; ok {
		delete(l.given, k)
		l.add(g.loan.Instance, -g.loan.Slots)
	}
}

// Expire ends the loans given whose time has passed.
func (l *Ledger[P]) Expire(now clock.Millis) {
	for k, g := range l.given {
		if now >= g.until {
			l.end(k)
			l.Counts.Expired++
		}
	}
}
