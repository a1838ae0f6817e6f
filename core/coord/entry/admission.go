package entry

import (
	"camphorridge/core/state/admit"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// earlyTimeoutFactor is the multiple of the typical run time below which a timeout
// is attributed to a short deadline set by the caller and not to the upstream.
const earlyTimeoutFactor = 2

// admit grants, queues or refuses a request.
func (d *Dispatcher[P, Q, L]) admit(now clock.Millis, req *pendingRequest) {
	d.counts.Requests++
	r := &req.request
	if !d.ready {
		d.refuse(req, Refusal{Kind: RefusalNotReady, Reason: "the configuration is being read", RetryAfter: clock.Second})
		return
	}
	q, reason := d.admission.Queue(r.Customer, r.Pool)
	if reason == admit.ReasonNone {
		reason = d.chargeRetryBudget(q, r)
	}
	if reason != admit.ReasonNone {
		d.refuse(req, d.refusal(reason, r.Pool))
		return
	}
	d.load.customer(r.Customer).Requests++
	if r.Deadline <= now {
		d.refuse(req, d.refusal(admit.ReasonDeadline, r.Pool))
		return
	}
	// While requests that could run are waiting, a new one joins the queue, so that
	// the choice among all of them stays fair.
	if q.CanRun() && q.Len() == 0 && !d.admission.HasRunnable(r.Pool) {
		if picked, ok := d.pick(now, r.Pool, r.Avoid); ok {
			d.admission.Start(q)
			d.grant(req, q, picked)
			return
		}
	}
	d.queue(now, req, q)
}

// chargeRetryBudget takes a retry from the customer's retry budget, or adds credit
// to the budget for a first attempt.
func (d *Dispatcher[P, Q, L]) chargeRetryBudget(q *admit.Queue[*pendingRequest], r *Request) admit.Reason {
	if !r.Retry {
		q.Customer.AddRetryCredit()
		return admit.ReasonNone
	}
	if !q.Customer.TakeRetry() {
		return admit.ReasonRetryBudget
	}
	d.counts.Retries++
	return admit.ReasonNone
}

// queue adds a request to queue q, or refuses it when no upstream can serve it or
// the queue doesn't accept it.
func (d *Dispatcher[P, Q, L]) queue(now clock.Millis, req *pendingRequest, q *admit.Queue[*pendingRequest]) {
	r := &req.request
	upstreams, slots := d.router.Routable(r.Pool)
	switch {
	case slots > 0 || d.mayBorrow(now, r.Pool):
	case upstreams == 0:
		d.refuse(req, noUpstream(r.Pool))
		return
	default:
		d.refuse(req, d.refusal(admit.ReasonNoShare, r.Pool))
		return
	}
	capacity := max(d.capacity(now, r.Pool), 1)
	w, reason := d.admission.Enqueue(now, r.Deadline, q, capacity, req)
	if reason != admit.ReasonNone {
		refusal := d.refusal(reason, r.Pool)
		refusal.RetryAfter = max(q.EstimateWait(capacity), d.admission.TypicalRunTime(r.Pool), 1)
		d.refuse(req, refusal)
		return
	}
	req.waiter = w
	d.counts.Queued++
}

// startWaiting grants waiting requests of a pool while slots are free. The slot is
// reserved before the request is chosen, so Request.Avoid has no effect.
func (d *Dispatcher[P, Q, L]) startWaiting(now clock.Millis, p model.Pool) {
	for d.admission.HasRunnable(p) {
		picked, ok := d.pick(now, p, "")
		if !ok {
			return
		}
		w, expired := d.admission.Next(now, p, d.expired[:0])
		d.expired = expired
		d.refuseExpired()
		if w == nil {
			d.cancelPick(now, picked)
			return
		}
		w.Ref.waiter = nil
		d.grant(w.Ref, w.Queue(), picked)
	}
}

// grant answers a request with a grant of a reserved slot.
func (d *Dispatcher[P, Q, L]) grant(req *pendingRequest, q *admit.Queue[*pendingRequest], slot reservation) {
	var index uint32
	if last := len(d.freeGrants) - 1; last >= 0 {
		index = d.freeGrants[last]
		d.freeGrants = d.freeGrants[:last]
	} else {
		index = uint32(len(d.grants))
		d.grants = append(d.grants, activeGrant{})
	}
	g := &d.grants[index]
	g.queue, g.reservation, g.id = q, slot, req.request.ID
	g.number++
	d.counts.Grants++
	req.grant = Grant{Ticket: Ticket(g.number)<<32 | Ticket(index), Upstream: slot.upstream(req.request.Deadline)}
	req.refusal = nil
	req.reply <- struct{}{}
}

// complete releases the slot of a grant. A ticket without an active grant is
// counted and otherwise ignored.
func (d *Dispatcher[P, Q, L]) complete(now clock.Millis, m message) {
	index, number := uint32(m.ticket), uint32(m.ticket>>32)
	if int(index) >= len(d.grants) || d.grants[index].number != number || d.grants[index].queue == nil {
		d.counts.UnknownTickets++
		return
	}
	d.counts.Completed++
	g := d.grants[index]
	d.grants[index].queue, d.grants[index].reservation, d.grants[index].id = nil, reservation{}, ""
	d.freeGrants = append(d.freeGrants, index)
	elapsed := m.elapsed
	if m.outcome == OutcomeUnknown || m.outcome == OutcomeTimeout {
		d.event(model.Event{
			Kind: model.EventOutcomeUnknown, Customer: g.queue.Customer.Name, Pool: g.queue.Pool,
			Instance: g.instance(), Request: g.id,
		})
	}
	switch m.outcome {
	case OutcomeCancelled, OutcomeConnect, OutcomeBusy:
		elapsed = -1
	case OutcomeTimeout:
		if typical := d.admission.TypicalRunTime(g.queue.Pool); elapsed < earlyTimeoutFactor*typical {
			// The deadline was too short. This is not a failure of the upstream,
			// and the run time remains unknown.
			m.outcome, elapsed = OutcomeCancelled, -1
		}
	}
	d.load.countRun(g.queue.Customer.Name, g.instance(), m.outcome)
	atLimit := !g.queue.CanRun()
	d.admission.End(g.queue, elapsed)
	if d.release(now, g.reservation, m.outcome) {
		d.counts.Ejections++
		d.event(model.Event{Kind: model.EventEjected, Instance: g.instance(), Pool: g.queue.Pool, Limit: "failures"})
	}
	d.startWaiting(now, g.queue.Pool)
	if atLimit && g.queue.Customer.Waiting > 0 {
		// The customer was at its limit, which blocked its requests in other pools
		// as well.
		d.startAllWaiting(now)
	}
}

// cancel removes a request from its queue and refuses it. It does nothing when the
// request was answered before; cancelRequest releases the grant if there is one.
func (d *Dispatcher[P, Q, L]) cancel(req *pendingRequest) {
	if req.waiter == nil {
		return
	}
	req.waiter.Queue().Remove(req.waiter)
	d.counts.Cancelled++
	d.refuse(req, Refusal{Kind: RefusalCancelled, Reason: "the caller gave up"})
}

// refuseExpired refuses the requests in d.expired.
func (d *Dispatcher[P, Q, L]) refuseExpired() {
	for i, req := range d.expired {
		d.counts.Expired++
		d.refuse(req, d.refusal(admit.ReasonDeadline, req.request.Pool))
		d.expired[i] = nil
	}
	d.expired = d.expired[:0]
}

// refuse answers a request with a refusal and counts it.
func (d *Dispatcher[P, Q, L]) refuse(req *pendingRequest, r Refusal) {
	d.counts.Refused++
	d.load.countRefusal(req.request.Customer, req.request.Pool, r.Kind)
	if r.Kind != RefusalNoContract && r.Kind != RefusalCancelled && d.cfg.Events != nil && d.ready {
		d.refusals[refusalKey{req.request.Customer, req.request.Pool, r.Reason}]++
	}
	req.waiter = nil
	req.refusal = &r
	req.reply <- struct{}{}
}

// noUpstream returns the refusal for a pool without an available upstream. Waiting
// requests also get it when this process has lost its share of the pool's slots.
func noUpstream(p model.Pool) Refusal {
	return Refusal{Kind: RefusalCapacity, Reason: "no upstream of " + string(p), RetryAfter: clock.Second}
}

// refusal converts a reason of package admit into a refusal.
func (d *Dispatcher[P, Q, L]) refusal(reason admit.Reason, p model.Pool) Refusal {
	r := Refusal{Reason: reason.String(), RetryAfter: clock.Second}
	switch reason {
	case admit.ReasonNoContract, admit.ReasonPoolNotCovered:
		r.Kind, r.RetryAfter = RefusalNoContract, 0
	case admit.ReasonDeadline:
		r.Kind = RefusalDeadline
	case admit.ReasonNoShare:
		r.Kind = RefusalCapacity
	default:
		r.Kind = RefusalLimit
	}
	return r
}
