package entry

import (
	"context"
	"errors"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/member"
	"camphorridge/core/state/model"
)

// Acquire waits until a request is granted or refused. Exactly one of the results is
// set. A refused request has not run; the holder of a grant must call Done once.
func (d *Dispatcher[P, Q, L]) Acquire(ctx context.Context, r Request) (Grant, *Refusal) {
	p := d.requestPool.Get().(*pendingRequest)
	p.request = r
	if !d.in.TryPut(message{kind: messageRequest, request: p}) {
		d.requestPool.Put(p)
		return Grant{}, &Refusal{Kind: RefusalBusy, Reason: "the dispatcher is busy", RetryAfter: clock.Second}
	}
	select {
	case <-p.reply:
		grant, refusal := p.grant, p.refusal
		p.refusal = nil
		d.requestPool.Put(p)
		return grant, refusal
	case <-ctx.Done():
		return d.cancelRequest(ctx, p)
	case <-d.done:
		return Grant{}, stopped()
	}
}

// cancelRequest cancels a request whose context has ended. The pendingRequest is not
// put back into the pool, because the dispatcher may still handle the cancel message
// after it has answered.
func (d *Dispatcher[P, Q, L]) cancelRequest(ctx context.Context, p *pendingRequest) (Grant, *Refusal) {
	if !d.in.PutWait(message{kind: messageCancel, request: p}, d.done) {
		return Grant{}, stopped()
	}
	select {
	case <-p.reply:
	case <-d.done:
		return Grant{}, stopped()
	}
	switch {
	case p.refusal == nil:
		d.Done(p.grant.Ticket, OutcomeCancelled, 0)
	case p.refusal.Kind != RefusalCancelled:
		return Grant{}, p.refusal
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Grant{}, &Refusal{Kind: RefusalDeadline, Reason: "the deadline passed", RetryAfter: clock.Second}
	}
	return Grant{}, &Refusal{Kind: RefusalCancelled, Reason: "the caller gave up"}
}

// stopped returns the refusal for a process that is stopping.
func stopped() *Refusal {
	return &Refusal{Kind: RefusalNotReady, Reason: "the process is stopping", RetryAfter: clock.Second}
}

// Done releases a grant; o is the outcome of the request and elapsed its duration.
// Done waits while the ring is full, so that every grant is released while Run is
// running.
func (d *Dispatcher[P, Q, L]) Done(t Ticket, o Outcome, elapsed clock.Millis) {
	d.in.PutWait(message{kind: messageDone, ticket: t, outcome: o, elapsed: elapsed}, d.done)
}

// ApplyDelta applies a delta to the table. It fails with KindVersion when the delta
// would lower the version or doesn't start at the version in force. An empty delta
// from the version in force confirms the table after a pause.
func (d *Dispatcher[P, Q, L]) ApplyDelta(delta model.Delta) error {
	return d.call(&command{op: opApplyDelta, delta: delta}).err
}

// Announce handles an announcement that was received from the upstream itself. It
// fails with KindAnnounce when the announcement is refused.
func (d *Dispatcher[P, Q, L]) Announce(a model.Announcement) error {
	return d.ReceiveAnnouncement(member.ReceivedAnnouncement{Announcement: a, Direct: true})
}

// ReceiveAnnouncement handles an announcement that was received from the upstream
// itself or from a neighbour. It fails with KindAnnounce when the announcement is
// refused.
func (d *Dispatcher[P, Q, L]) ReceiveAnnouncement(a member.ReceivedAnnouncement) error {
	return d.call(&command{op: opReceiveAnnouncement, announcement: a}).err
}

// AnnouncementsSince returns the announcements that were received from upstreams
// themselves after the sequence number afterSeq, for use by neighbours, and the
// sequence number to continue from.
func (d *Dispatcher[P, Q, L]) AnnouncementsSince(afterSeq uint64) ([]member.ReceivedAnnouncement, uint64) {
	c := d.call(&command{op: opAnnouncementsSince, afterSeq: afterSeq})
	return c.updates, c.afterSeq
}

// DrainedVersion returns the version of the table up to which this process has
// carried out all releases: the highest such that no request in flight and no loan
// uses an instance released at or below it.
func (d *Dispatcher[P, Q, L]) DrainedVersion() model.Version {
	return model.Version(d.drainedVersionCopy.Load())
}

// Ready reports whether requests are admitted: a table was applied, and it was
// confirmed after the last pause of this process.
func (d *Dispatcher[P, Q, L]) Ready() bool { return d.readyCopy.Load() }

// Status returns a copy of the state. Its cost is proportional to the number of
// customers and upstreams.
func (d *Dispatcher[P, Q, L]) Status() Status {
	s := d.call(&command{op: opStatus}).status
	s.Counts.RingRefused = d.in.Refused()
	return s
}

// Table returns a copy of the table in force.
func (d *Dispatcher[P, Q, L]) Table() model.Table {
	return d.call(&command{op: opTable}).table
}

// call sends a command to the event loop and waits until it has been executed. The
// returned command has a KindStopped error when the loop has ended.
func (d *Dispatcher[P, Q, L]) call(c *command) *command {
	c.reply = make(chan struct{})
	if !d.in.PutWait(message{kind: messageCommand, command: c}, d.done) {
		c.err = fail("dispatcher", KindStopped, "the dispatcher has stopped")
		return c
	}
	select {
	case <-c.reply:
		return c
	case <-d.done:
		return &command{err: fail("dispatcher", KindStopped, "the dispatcher has stopped")}
	}
}
