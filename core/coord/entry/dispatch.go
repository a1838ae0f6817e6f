package entry

import (
	"camphorridge/core/state/admit"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// impatient is the multiple of the typical run time below which a passed
// deadline is put down to the caller.
const impatient = 2

// admit grants, queues or refuses an ask.
func (d *Dispatcher[P, Q, L]) admit(now clock.Millis, a *ask) {
	d.counts.Requests++
	r := &a.request
	if !d.ready {
		d.refuse(a, Refusal{Kind: RefusalNotReady, Reason: "the configuration is being read", RetryAfter: clock.Second})
		return
	}
	line, why := d.gate.Queue(r.Customer, r.Pool)
	if why == admit.ReasonNone {
		why = d.spend(line, r)
	}
	if why != admit.ReasonNone {
		d.refuse(a, d.refusal(why, r.Pool))
		return
	}
	d.felt.customer(r.Customer).Requests++
	if r.Deadline <= now {
		d.refuse(a, d.refusal(admit.ReasonDeadline, r.Pool))
		return
	}
	// While others wait that could run, the newcomer joins the queue, so that
	// the choice stays fair.
	if line.CanRun() && line.Len() == 0 && !d.gate.HasRunnable(r.Pool) {
		if h, ok := d.pick(now, r.Pool, r.Avoid); ok {
			d.gate.Start(line)
			d.grant(a, line, h)
			return
		}
	}
	d.queue(now, a, line)
}

// spend pays for a retry, or credits the budget for a first try.
func (d *Dispatcher[P, Q, L]) spend(line *admit.Queue[*ask], r *Request) admit.Reason {
	if !r.Retry {
		line.Customer.AddRetryCredit()
		return admit.ReasonNone
	}
	if !line.Customer.TakeRetry() {
		return admit.ReasonRetry
	}
	d.counts.Retries++
	return admit.ReasonNone
}

func (d *Dispatcher[P, Q, L]) queue(now clock.Millis, a *ask, line *admit.Queue[*ask]) {
	r := &a.request
	upstreams, slots := d.router.Routable(r.Pool)
	switch {
	case slots > 0 || d.mayBorrow(now, r.Pool):
	case upstreams == 0:
		d.refuse(a, noUpstream(r.Pool))
		return
	default:
		d.refuse(a, d.refusal(admit.ReasonShare, r.Pool))
		return
	}
	room := max(d.room(now, r.Pool), 1)
	w, why := d.gate.Enqueue(now, r.Deadline, line, room, a)
	if why != admit.ReasonNone {
		f := d.refusal(why, r.Pool)
		f.RetryAfter = max(line.EstimateWait(room), d.gate.TypicalRunTime(r.Pool), 1)
		d.refuse(a, f)
		return
	}
	a.waiter = w
	d.counts.Queued++
}

// pump starts waiters of a pool while upstreams have room.
func (d *Dispatcher[P, Q, L]) pump(now clock.Millis, p model.Pool) {
	for d.gate.HasRunnable(p) {
		h, ok := d.pick(now, p, "")
		if !ok {
			return
		}
		w, late := d.gate.Next(now, p, d.late[:0])
		d.late = late
		d.refuseLate()
		if w == nil {
			d.unpick(now, h)
			return
		}
		w.Ref.waiter = nil
		d.grant(w.Ref, w.Queue(), h)
	}
}

func (d *Dispatcher[P, Q, L]) grant(a *ask, line *admit.Queue[*ask], at place) {
	var n uint32
	if last := len(d.free) - 1; last >= 0 {
		n = d.free[last]
		d.free = d.free[:last]
	} else {
		n = uint32(len(d.flights))
		d.flights = append(d.flights, flight{})
	}
	f := &d.flights[n]
	f.line, f.place, f.id = line, at, a.request.ID
	f.number++
	d.counts.Grants++
	a.grant = Grant{Ticket: Ticket(f.number)<<32 | Ticket(n), Upstream: at.upstream(a.request.Deadline)}
	a.refusal = nil
	a.reply <- struct{}{}
}

// end gives back what a grant held. A ticket that is not in flight is counted
// and ignored.
func (d *Dispatcher[P, Q, L]) end(now clock.Millis, m message) {
	at, number := uint32(m.ticket), uint32(m.ticket>>32)
	if int(at) >= len(d.flights) || d.flights[at].number != number || d.flights[at].line == nil {
		d.counts.UnknownTickets++
		return
	}
	d.counts.Completed++
	f := d.flights[at]
	d.flights[at].line, d.flights[at].place, d.flights[at].id = nil, place{}, ""
	d.free = append(d.free, at)
	elapsed := m.elapsed
	if m.outcome == OutcomeUnknown || m.outcome == OutcomeTimeout {
		d.event(model.Event{
			Kind: model.EventUnknown, Customer: f.line.Customer.Name, Pool: f.line.Pool,
			Instance: f.instance(), Request: f.id,
		})
	}
	switch m.outcome {
	case OutcomeCancelled, OutcomeConnect, OutcomeBusy:
		elapsed = -1
	case OutcomeTimeout:
		if typical := d.gate.TypicalRunTime(f.line.Pool); elapsed < impatient*typical {
			// The deadline was short; that is not the upstream's failure, and
			// the run time remains unknown.
			m.outcome, elapsed = OutcomeCancelled, -1
		}
	}
	d.felt.ran(f.line.Customer.Name, f.instance(), m.outcome)
	full := !f.line.CanRun()
	d.gate.End(f.line, elapsed)
	if d.leave(now, f.place, m.outcome) {
		d.counts.Ejections++
		d.event(model.Event{Kind: model.EventEjected, Instance: f.instance(), Pool: f.line.Pool, Limit: "failures"})
	}
	d.pump(now, f.line.Pool)
	if full && f.line.Customer.Waiting > 0 {
		// The customer's share held up its waiters in other pools as well.
		d.pumpAll(now)
	}
}

// cancel takes an ask out of its queue. A grant that was made before is given
// back by the caller.
func (d *Dispatcher[P, Q, L]) cancel(a *ask) {
	if a.waiter == nil {
		return
	}
	a.waiter.Queue().Remove(a.waiter)
	d.counts.Cancelled++
	d.refuse(a, Refusal{Kind: RefusalCancelled, Reason: "the caller gave up"})
}

func (d *Dispatcher[P, Q, L]) refuseLate() {
	for i, a := range d.late {
		d.counts.Expired++
		d.refuse(a, d.refusal(admit.ReasonDeadline, a.request.Pool))
		d.late[i] = nil
	}
	d.late = d.late[:0]
}

func (d *Dispatcher[P, Q, L]) refuse(a *ask, r Refusal) {
	d.counts.Refused++
	d.felt.refused(a.request.Customer, a.request.Pool, r.Kind)
	if r.Kind != RefusalNoContract && r.Kind != RefusalCancelled && d.cfg.Events != nil && d.ready {
		d.refusals[refused{a.request.Customer, a.request.Pool, r.Reason}]++
	}
	a.waiter = nil
	a.refusal = &r
	a.reply <- struct{}{}
}

func noUpstream(p model.Pool) Refusal {
	return Refusal{Kind: RefusalCapacity, Reason: "no upstream of " + string(p), RetryAfter: clock.Second}
}

func (d *Dispatcher[P, Q, L]) refusal(why admit.Reason, p model.Pool) Refusal {
	r := Refusal{Reason: why.String(), RetryAfter: clock.Second}
	switch why {
	case admit.ReasonContract, admit.ReasonPool:
		r.Kind, r.RetryAfter = RefusalNoContract, 0
	case admit.ReasonDeadline:
		r.Kind = RefusalDeadline
	case admit.ReasonShare:
		r.Kind = RefusalCapacity
	default:
		r.Kind = RefusalLimit
	}
	return r
}
