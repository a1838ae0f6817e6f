package group

import (
	"context"
	"sync/atomic"

	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

// inputKind tells inputs apart.
type inputKind int

const (
	inputPropose inputKind = iota
	inputMessages
	inputRead
	inputQuery
	inputStatus
	inputWatch
	inputJoin
	inputRemove
)

// input is one value in the duty's ring.
type input struct {
	kind     inputKind
	op       string
	change   model.Change
	messages []raft.Message
	query    func(*fleet.State)
	watch    watcher
	member   raft.Member
	// done is closed when the caller no longer waits; nil for never.
	done <-chan struct{}
	// reply holds one answer and is nil for messages.
	reply chan answer
}

type answer struct {
	result model.Result
	status Status
	err    error
}

// answer replies without waiting; the reply channel has room for the one
// answer that an input gets.
func (in *input) answer(a answer) {
	if in.reply != nil {
		in.reply <- a
	}
}

// gone reports whether the caller no longer waits.
func (in *input) gone() bool { return isClosed(in.done) }

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// call puts an input into the ring and waits for its answer. lost is the kind
// of error when the wait ends early.
func (g *Group[S, C]) call(ctx context.Context, in input, lost Kind) (answer, error) {
	if isClosed(g.done) {
		return answer{}, failf(in.op, KindStopped, "the member stopped")
	}
	in.reply = make(chan answer, 1)
	in.done = ctx.Done()
	// A quarter of the ring is for messages of peers: were they dropped in
	// favour of proposals, the load would cost the leader its term.
	if g.ring.Len() >= g.cfg.RingCapacity-g.cfg.RingCapacity/4 || !g.ring.TryPut(in) {
		return answer{}, failf(in.op, KindBusy, "%d inputs wait", g.ring.Len())
	}
	select {
	case a := <-in.reply:
		return a, a.err
	case <-ctx.Done():
		return answer{}, failf(in.op, lost, "%w", ctx.Err())
	case <-g.done:
	}
	select {
	case a := <-in.reply:
		return a, a.err
	default:
		return answer{}, failf(in.op, lost, "the member stopped")
	}
}

// Propose replicates a change and returns its result once it is applied here.
// The leader sets the change's time. Errors of kind outcome-unknown leave open
// whether the change is applied; after all others it never is.
func (g *Group[S, C]) Propose(ctx context.Context, c model.Change) (model.Result, error) {
	a, err := g.call(ctx, input{kind: inputPropose, op: "propose", change: c}, KindOutcomeUnknown)
	return a.result, err
}

// ReadBarrier returns nil when a query that follows sees every change that was
// acknowledged before the call, by any member.
func (g *Group[S, C]) ReadBarrier(ctx context.Context) error {
	_, err := g.call(ctx, input{kind: inputRead, op: "read"}, KindCanceled)
	return err
}

// Query runs f inside the duty on the state as applied here. f must neither
// change nor keep the state, and must be short: the member waits for it.
func (g *Group[S, C]) Query(ctx context.Context, f func(*fleet.State)) error {
	// Either the duty or a caller whose context ends takes the claim, so that
	// f never runs after Query has returned.
	var claim atomic.Bool
	finished := make(chan struct{})
	in := input{kind: inputQuery, op: "query", query: func(s *fleet.State) {
		if claim.CompareAndSwap(false, true) {
			defer close(finished)
			f(s)
		}
	}}
	_, err := g.call(ctx, in, KindCanceled)
	if err != nil && !claim.CompareAndSwap(false, true) {
		<-finished
		return nil
	}
	return err
}

// Watch returns a channel that is closed once the table version is above
// after. The watch ends with the context.
func (g *Group[S, C]) Watch(ctx context.Context, after model.Version) (<-chan struct{}, error) {
	w := watcher{after: after, fire: make(chan struct{}), done: ctx.Done()}
	_, err := g.call(ctx, input{kind: inputWatch, op: "watch", watch: w}, KindCanceled)
	return w.fire, err
}

// Step hands messages from peers to the duty. It does not wait: when the ring
// is full the messages are dropped, and their senders repeat them.
func (g *Group[S, C]) Step(messages []raft.Message) {
	g.ring.TryPut(input{kind: inputMessages, op: "step", messages: messages})
}

// Status returns a report of this member.
func (g *Group[S, C]) Status(ctx context.Context) (Status, error) {
	a, err := g.call(ctx, input{kind: inputStatus, op: "status"}, KindCanceled)
	return a.status, err
}

// Join asks the leader to add a member and returns the member list once it is
// in it; a new member learns from it where the others are. A
// listed member of the same name whose identity no longer answers is removed
// first. The leader promotes the new member when it has caught up.
func (g *Group[S, C]) Join(ctx context.Context, m raft.Member) ([]raft.Member, error) {
	a, err := g.call(ctx, input{kind: inputJoin, op: "join", member: m}, KindOutcomeUnknown)
	return a.status.Members, err
}

// Remove asks the leader to remove a member and returns nil once it is done.
func (g *Group[S, C]) Remove(ctx context.Context, id raft.MemberID) error {
	_, err := g.call(ctx, input{kind: inputRemove, op: "remove", member: raft.Member{ID: id}}, KindOutcomeUnknown)
	return err
}
