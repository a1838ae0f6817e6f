package lend

import (
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// DueMessages appends the messages that are due: asks for the pools in need, each once,
// renewals, returns and recalls. At most one ask or return is under way to a
// process.
func (l *Ledger[P]) DueMessages(now clock.Millis, needs []PoolDemand, buf []Message) []Message {
	if !l.Enabled() {
		return buf
	}
	buf = l.recalls(now, buf)
	l.age(now)
	buf = l.returns(now, buf)
	buf = l.renewals(now, buf)
	for p, s := range l.pools {
		if !slices.ContainsFunc(needs, func(n PoolDemand) bool { return n.Pool == p }) {
			s.since = 0
		}
	}
	for _, n := range needs {
		buf = l.ask(now, n, buf)
	}
	return buf
}

func (l *Ledger[P]) recalls(now clock.Millis, buf []Message) []Message {
	if !l.Quarantined(now) {
		return buf
	}
	for p, due := range l.unheard {
		if now < due {
			continue
		}
		l.unheard[p] = now + retryAfter
		buf = append(buf, Message{
			Kind: MessageRecall, To: p, Recall: Recall{Lender: l.cfg.Self, Incarnation: l.cfg.Incarnation},
		})
	}
	return buf
}

// age ends the loans that lapsed or are not needed, and forgets those that
// their lenders have given up.
func (l *Ledger[P]) age(now clock.Millis) {
	for _, h := range l.held {
		if now >= h.UsableUntil || h.Running == 0 && !l.policy.Keep(now-h.used, l.cfg.Lease) {
			h.ended = true
		}
		if h.ended && h.Running == 0 && now >= h.forget {
			l.drop(h)
		}
	}
}

// ReturnAll ends all loans held and returns the orders that give back those without
// a request.
func (l *Ledger[P]) ReturnAll(now clock.Millis) []Message {
	for _, to := range l.lenders {
		to.busy, to.again = false, 0
	}
	for _, h := range l.held {
		h.ended, h.asked, h.next = true, false, 0
	}
	return l.returns(now, nil)
}

func (l *Ledger[P]) returns(now clock.Millis, buf []Message) []Message {
	at := map[model.Process]int{}
	for _, h := range l.held {
		if !h.ended || h.Running > 0 || h.asked || now < h.next {
			continue
		}
		to := l.lenders[h.Lender]
		i, begun := at[h.Lender]
		if !begun {
			if to.busy || now < to.again {
				continue
			}
			to.busy = true
			i = len(buf)
			at[h.Lender] = i
			buf = append(buf, Message{
				Kind: MessageReturn, To: h.Lender,
				Return: Return{Borrower: l.cfg.Self, Incarnation: l.cfg.Incarnation},
			})
		}
		h.next = now + retryAfter
		buf[i].Return.IDs = append(buf[i].Return.IDs, h.ID)
		if h.Slots > 0 {
			buf[i].CloseConnections = append(buf[i].CloseConnections, h.ConnectionName())
		}
	}
	return buf
}

func (l *Ledger[P]) renewals(now clock.Millis, buf []Message) []Message {
	at := map[model.Process]int{}
	for _, h := range l.held {
		if h.ended || h.asked || h.UsableUntil-now > l.cfg.Lease/2 {
			continue
		}
		i, begun := at[h.Lender]
		if !begun {
			to := l.lenders[h.Lender]
			if to.busy || now < to.again {
				continue
			}
			to.busy = true
			i = len(buf)
			at[h.Lender] = i
			buf = append(buf, Message{Kind: MessageRequest, To: h.Lender, Request: l.newAsk(h.Pool, 0)})
		}
		h.asked = true
		buf[i].Request.Renew = append(buf[i].Request.Renew, h.ID)
	}
	return buf
}

func (l *Ledger[P]) newAsk(p model.Pool, slots int) LoanRequest {
	l.number++
	return LoanRequest{
		Borrower: l.cfg.Self, Incarnation: l.cfg.Incarnation, Number: l.number,
		Pool: p, Slots: slots, MaxRequestTime: l.cfg.MaxRequestTime,
	}
}

// ask asks one lender for what the pool needs beyond the asks under way.
func (l *Ledger[P]) ask(now clock.Millis, n PoolDemand, buf []Message) []Message {
	s := l.purse(n.Pool)
	if s.since == 0 {
		s.since = now
	}
	n.Duration = now - s.since
	want := l.policy.Want(n.Pressure) - s.pending
	if want <= 0 || len(l.held) >= maxLoans {
		return buf
	}
	to, none := l.choose(now, s, n.InstancesByZone)
	if none && s.pending == 0 {
		s.until = now + refusedFor
	}
	if to == nil {
		return buf
	}
	to.busy = true
	want = min(want, maxSlots)
	s.pending += want
	l.Counts.Requested++
	return append(buf, Message{Kind: MessageRequest, To: to.member.Name, Request: l.newAsk(n.Pool, want)})
}

// choose returns the process to ask: one of the own zone if any, and among
// equals in turn. none reports that every lender has just refused or failed.
func (l *Ledger[P]) choose(now clock.Millis, s *purse, zones map[model.Zone]int) (best *lender, none bool) {
	none = true
	all := l.cfg.Entries
	for i := range all {
		m := all[(i+int(l.number%uint64(len(all))))%len(all)]
		to := l.lenders[m.Name]
		if to == nil || zones[m.Zone] == 0 || now < s.refused[m.Name] || now < to.faulty {
			continue
		}
		none = false
		if to.busy || now < to.again {
			continue
		}
		if best == nil || m.Zone == l.cfg.Zone && best.member.Zone != l.cfg.Zone {
			best = to
		}
	}
	return best, none
}
