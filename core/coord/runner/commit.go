package runner

import (
	"context"
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
	"camphorridge/core/state/sched"
)

// startNextBatch passes the next batch to the committer goroutine unless another
// batch is in flight. A batch that needs no commit and no confirmation is released
// at once.
func (r *Runner[G, M, O, J]) startNextBatch(now clock.Millis) {
	if r.inFlight != nil {
		return
	}
	b := &r.next
	answers := len(b.answers) + len(b.orders)
	if len(b.actions) > 0 || (answers > 0 && now-r.confirmedAt > maxConfirmationAge) {
		b.confirm = true
	}
	if len(b.ops) == 0 && !b.confirm {
		if answers > 0 {
			r.releaseBatch(b, now)
			r.next = batch{}
		}
		return
	}
	sent := r.next
	r.next = batch{}
	sent.term, sent.startedAt = r.term, now
	r.startCommit(&sent)
}

func (r *Runner[G, M, O, J]) startCommit(b *batch) {
	b.skew = r.lastSkew
	r.inFlight = b
	r.counts.Batches++
	r.counts.Operations += int64(len(b.ops))
	// The ring has room for one batch. Usually at most one batch is in flight, but
	// a later term may load the state while a batch of an earlier term still is.
	r.commits.PutWait(b, r.done)
}

// releaseBatch sends the answers, orders and actions of a batch.
func (r *Runner[G, M, O, J]) releaseBatch(b *batch, now clock.Millis) {
	for _, a := range b.answers {
		a.reply <- a.answer
	}
	for _, o := range b.orders {
		r.reply(o)
	}
	for _, a := range b.actions {
		if !r.actions.TryPut(pendingAction{Action: a, term: r.term, generation: r.generation, releasedAt: now, skew: r.lastSkew}) {
			r.scheduler.HandleOutcome(a, sched.Outcome{Answer: sched.AnswerRefusedForNow}, now)
		}
	}
}

// reply sends the reply to a heartbeat. Its lease counts from the latest time at which
// this process is known to have led, because a later leader waits for the longest lease
// from the start of its term.
func (r *Runner[G, M, O, J]) reply(o pendingOrders) {
	lease := r.settings.LeaseMillis - max(0, o.waiter.receivedAt-r.confirmedAt)
	if !o.orders.LeaseGranted {
		lease = 0
	}
	o.waiter.reply <- heartbeatResult{reply: HeartbeatReply{Orders: o.orders, Lease: max(lease, 0), Token: r.term}}
}

// renewWaiting replies to the heartbeats whose orders have waited for a commit for
// maxOrderWait. The reply renews the lease and holds none of the orders, which depend
// on the commit: the worker's next heartbeat lists its ends again, and starts and stops
// are repeated then. Without it a slow commit would end the runs of the whole fleet.
func (r *Runner[G, M, O, J]) renewWaiting(now clock.Millis) {
	batches := []*batch{&r.next}
	if r.inFlight != nil && r.inFlight.term == r.term {
		batches = append(batches, r.inFlight)
	}
	for _, b := range batches {
		b.orders = slices.DeleteFunc(b.orders, func(o pendingOrders) bool {
			at := o.waiter.receivedAt + maxOrderWait
			if now < at {
				r.wakeBy(now, at)
				return false
			}
			r.counts.BareRenewals++
			o.orders = sched.Orders{Worker: o.orders.Worker, Incarnation: o.orders.Incarnation, RetryAfter: r.settings.MinRetryMillis, LeaseGranted: o.orders.LeaseGranted}
			r.reply(o)
			return true
		})
	}
}

// failBatch sends the answers for a batch that is not known to be committed. Calls
// get AnswerOutcomeUnknown if err has KindOutcomeUnknown or they are marked as
// uncertain, and otherwise AnswerUnavailable.
func (r *Runner[G, M, O, J]) failBatch(b *batch, err *Error) {
	for _, a := range b.answers {
		if err.Kind == KindOutcomeUnknown || a.uncertain {
			a.reply <- Answer{Kind: AnswerOutcomeUnknown, Reason: err.Error()}
		} else {
			a.reply <- unavailable(err.Error())
		}
	}
	for _, o := range b.orders {
		o.waiter.reply <- heartbeatResult{err: err}
	}
}

// handleCommit handles the outcome of a commit, load or confirmation.
func (r *Runner[G, M, O, J]) handleCommit(b *batch, now clock.Millis) {
	if r.inFlight == b {
		r.inFlight = nil
	}
	if b.err != nil || b.term != r.term {
		err := failf("commit", KindOutcomeUnknown, "the term ended")
		if b.err != nil {
			err = failf("commit", KindOutcomeUnknown, "%w", b.err)
			if r.group.NotApplied(b.err) {
				err.Kind = KindNotLeader
			}
		}
		r.failBatch(b, err)
		if b.term == r.term {
			r.reset(failf("commit", KindOutcomeUnknown, "a change before it was not committed: %w", b.err))
			// The state is loaded again if this process still leads.
			r.term, r.reloadAt = 0, now+maxConfirmationAge
			r.wakeBy(now, r.reloadAt)
		}
		return
	}
	suspended := b.skew != r.lastSkew
	if !suspended {
		r.confirmedAt = b.startedAt
	}
	r.load.commits++
	r.load.longestCommit = max(r.load.longestCommit, now-b.startedAt)
	if r.observeCommit != nil {
		r.observeCommit(now - b.startedAt)
	}
	switch {
	case b.load:
		r.scheduler = sched.New(r.settings, r.rank, r.health, b.state, now)
		r.generation++
		r.forgetCustomers()
		r.noteLoadedState(b, now)
	case suspended:
		r.confirmAgain(b)
	default:
		r.releaseBatch(b, now)
	}
}

// confirmAgain moves the answers, orders and actions of a committed batch to the
// next batch, which confirms the leadership. The machine may have been suspended
// after the commit, so that startedAt is further in the past than it appears.
func (r *Runner[G, M, O, J]) confirmAgain(b *batch) {
	for i := range b.answers {
		// The operations of the call are committed.
		b.answers[i].uncertain = true
	}
	r.next.answers = append(b.answers, r.next.answers...)
	r.next.orders = append(b.orders, r.next.orders...)
	r.next.actions = append(b.actions, r.next.actions...)
	r.next.confirm = true
}

// runCommits is the committer goroutine; it handles one batch at a time.
func (r *Runner[G, M, O, J]) runCommits() {
	for {
		select {
		case b := <-r.commits.C():
			r.commit(b)
			if !r.in.PutWait(input{committed: b}, r.ended) {
				return
			}
		case <-r.ended:
			return
		}
	}
}

func (r *Runner[G, M, O, J]) commit(b *batch) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout.Duration())
	defer cancel()
	switch {
	case b.load:
		b.err = r.readState(ctx, b)
	case len(b.ops) > 0:
		b.err = r.propose(ctx, b.ops)
	default:
		b.err = r.group.Read(ctx)
	}
}

// propose commits operations as one change or, if that is too large, as several: workers
// report so many run ends with checkpoints at once that the calls of a batch alone do not
// determine its size. An error that proves that nothing was applied holds for all of them.
func (r *Runner[G, M, O, J]) propose(ctx context.Context, ops []jobs.Op) error {
	_, err := r.group.Propose(ctx, model.Change{Kind: model.ChangeJobs, Ops: ops})
	if err == nil || !r.group.TooLarge(err) || len(ops) == 1 {
		return err
	}
	half := len(ops) / 2
	if err := r.propose(ctx, ops[:half]); err != nil {
		return err
	}
	if err := r.propose(ctx, ops[half:]); err != nil {
		// The error is not wrapped, because it may prove that nothing was applied.
		return failf("commit", KindOutcomeUnknown, "a change was committed in part: %v", err)
	}
	return nil
}

// readState sets the batch's state to a copy of the committed jobs state. It commits an
// empty change first: the operations of an earlier batch whose commit timed out may
// still be in this leader's log, and Read does not wait for them. They precede the
// empty change, so the copy contains them.
func (r *Runner[G, M, O, J]) readState(ctx context.Context, b *batch) error {
	if _, err := r.group.Propose(ctx, model.Change{Kind: model.ChangeNone}); err != nil {
		return err
	}
	return r.group.Query(ctx, func(s *fleet.State) { b.state = s.Jobs.Clone() })
}

// noteLoadedState explains which state the answers depend on from now on.
func (r *Runner[G, M, O, J]) noteLoadedState(b *batch, now clock.Millis) {
	s := b.state
	r.noteState(sched.DecisionStateLoaded, fmt.Sprintf("term %d, load %d: %d jobs, %d of them ended, configuration %d, after %d ms",
		b.term, r.generation, len(s.Jobs), len(s.EndedJobs), s.Config.Version, now-b.startedAt))
}

// noteState adds a note on the scheduler's state as a whole.
func (r *Runner[G, M, O, J]) noteState(decision sched.Decision, reason string) {
	if r.notes != nil {
		r.notes([]sched.Note{{Decision: decision, Reason: reason, Important: true}})
	}
}
