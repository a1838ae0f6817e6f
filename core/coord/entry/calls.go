package entry

import (
	"context"
	"errors"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/member"
	"camphorridge/core/state/model"
)

// Ask waits for the right to send a request. Exactly one of the results is
// set. A refused request has not run; the holder of a grant must call Done.
func (d *Dispatcher[P, Q, L]) Ask(ctx context.Context, r Request) (Grant, *Refusal) {
	a := d.asks.Get().(*ask)
	a.request = r
	if !d.in.TryPut(message{kind: messageAsk, ask: a}) {
		d.asks.Put(a)
		return Grant{}, &Refusal{Kind: RefusalBusy, Reason: "the dispatcher is busy", RetryAfter: clock.Second}
	}
	select {
	case <-a.reply:
		g, f := a.grant, a.refusal
		a.refusal = nil
		d.asks.Put(a)
		return g, f
	case <-ctx.Done():
		return d.giveUp(ctx, a)
	case <-d.done:
		return Grant{}, stopped()
	}
}

// giveUp cancels an ask. The ask is not used again, because the dispatcher may
// still see the cancel after its answer.
func (d *Dispatcher[P, Q, L]) giveUp(ctx context.Context, a *ask) (Grant, *Refusal) {
	if !d.in.PutWait(message{kind: messageCancel, ask: a}, d.done) {
		return Grant{}, stopped()
	}
	select {
	case <-a.reply:
	case <-d.done:
		return Grant{}, stopped()
	}
	switch {
	case a.refusal == nil:
		d.Done(a.grant.Ticket, OutcomeCancelled, 0)
	case a.refusal.Kind != RefusalCancelled:
		return Grant{}, a.refusal
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Grant{}, &Refusal{Kind: RefusalDeadline, Reason: "the deadline passed", RetryAfter: clock.Second}
	}
	return Grant{}, &Refusal{Kind: RefusalCancelled, Reason: "the caller gave up"}
}

func stopped() *Refusal {
	return &Refusal{Kind: RefusalNotReady, Reason: "the process is stopping", RetryAfter: clock.Second}
}

// Done gives a grant back. It waits for room in the ring, so that no end of a
// request is lost while the duty runs.
func (d *Dispatcher[P, Q, L]) Done(t Ticket, o Outcome, elapsed clock.Millis) {
	d.in.PutWait(message{kind: messageDone, ticket: t, outcome: o, elapsed: elapsed}, d.done)
}

// ApplyDelta puts a change of the table in force. The version never goes down; a
// delta that does not follow on the table is a KindVersion error. An empty
// delta from the version in force confirms the table after a pause.
func (d *Dispatcher[P, Q, L]) ApplyDelta(delta model.Delta) error {
	return d.call(&command{op: opTable, delta: delta}).err
}

// Announce takes in an announcement from an upstream itself.
func (d *Dispatcher[P, Q, L]) Announce(a model.Announcement) error {
	return d.ReceiveAnnouncement(member.ReceivedAnnouncement{Announcement: a, Direct: true})
}

// ReceiveAnnouncement takes in an announcement from an upstream or from a neighbour.
func (d *Dispatcher[P, Q, L]) ReceiveAnnouncement(h member.ReceivedAnnouncement) error {
	return d.call(&command{op: opHear, heard: h}).err
}

// AnnouncementsSince returns what upstreams themselves announced after a sequence number,
// for the neighbours, and the number to ask from next.
func (d *Dispatcher[P, Q, L]) AnnouncementsSince(since uint64) ([]member.ReceivedAnnouncement, uint64) {
	c := d.call(&command{op: opNews, since: since})
	return c.news, c.since
}

// Drained returns the highest version of the table such that no request in
// flight uses an instance released at or below it.
func (d *Dispatcher[P, Q, L]) Drained() model.Version { return model.Version(d.drained.Load()) }

// Ready reports whether requests are admitted: a table was read, and read again
// after the last pause of this process.
func (d *Dispatcher[P, Q, L]) Ready() bool { return d.serving.Load() }

// Snapshot returns a copy of the state; its cost follows the number of
// customers and upstreams.
func (d *Dispatcher[P, Q, L]) Snapshot() Status {
	s := d.call(&command{op: opStatus}).status
	s.Counts.RingRefused = d.in.Refused()
	return s
}

// Table returns a copy of the table in force.
func (d *Dispatcher[P, Q, L]) Table() model.Table {
	return d.call(&command{op: opConfig}).table
}

// call hands a command to the duty and waits until it was carried out.
func (d *Dispatcher[P, Q, L]) call(c *command) *command {
	c.reply = make(chan struct{})
	if !d.in.PutWait(message{kind: messageCommand, command: c}, d.done) {
		c.err = fail("dispatcher", KindStopped, "the duty has ended")
		return c
	}
	select {
	case <-c.reply:
		return c
	case <-d.done:
		return &command{err: fail("dispatcher", KindStopped, "the duty has ended")}
	}
}
