package group

import (
	"context"
	"sync/atomic"

	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

// inputKind is the type of an input.
type inputKind int

const (
	inputPropose inputKind = iota
	inputMessages
	inputRead
	inputQuery
	inputStatus
	inputWatch
	inputJoin
	inputLeave
)

// input is a request or a batch of messages for the event loop.
type input struct {
	kind inputKind
	// op is the name of the operation in errors.
	op       string
	change   model.Change
	messages []raft.Message
	query    func(*fleet.State)
	watch    watcher
	member   raft.Member
	// done is closed when the caller no longer waits; nil if it always waits.
	done <-chan struct{}
	// reply has a buffer for one answer and is nil for messages.
	reply chan answer
}

// answer is the reply to an input.
type answer struct {
	result model.Result
	status Status
	err    error
}

// answer sends the answer to the caller without blocking: the reply channel has
// a buffer for the only answer that an input receives.
func (in *input) answer(a answer) {
	if in.reply != nil {
		in.reply <- a
	}
}

// abandoned reports whether the caller no longer waits.
func (in *input) abandoned() bool { return isClosed(in.done) }

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// call queues an input for the event loop and waits for its answer. interrupted
// is the kind of the error if the caller's context or the event loop ends before
// the answer.
func (g *Group[S, C]) call(ctx context.Context, in input, interrupted Kind) (answer, error) {
	if isClosed(g.done) {
		return answer{}, failf(in.op, KindStopped, "the member stopped")
	}
	in.reply = make(chan answer, 1)
	in.done = ctx.Done()
	// A quarter of the ring is reserved for messages from peers: if requests
	// displaced them, the leader would lose its leadership under load.
	if g.ring.Len() >= g.cfg.RingCapacity-g.cfg.RingCapacity/4 || !g.ring.TryPut(in) {
		return answer{}, failf(in.op, KindBusy, "%d inputs are queued", g.ring.Len())
	}
	select {
	case a := <-in.reply:
		return a, a.err
	case <-ctx.Done():
		return answer{}, failf(in.op, interrupted, "%w", ctx.Err())
	case <-g.done:
	}
	select {
	case a := <-in.reply:
		return a, a.err
	default:
		return answer{}, failf(in.op, interrupted, "the member stopped")
	}
}

// Propose replicates a change and returns its result once it is applied on this
// member. The leader sets the time of the change. After an error with
// KindOutcomeUnknown the change may or may not be applied; after any other error
// it is never applied.
func (g *Group[S, C]) Propose(ctx context.Context, c model.Change) (model.Result, error) {
	a, err := g.call(ctx, input{kind: inputPropose, op: "propose", change: c}, KindOutcomeUnknown)
	return a.result, err
}

// ReadBarrier waits until a subsequent Query is certain to observe every change
// that any member had acknowledged before the call, and then returns nil. Only
// the leader can answer it.
func (g *Group[S, C]) ReadBarrier(ctx context.Context) error {
	_, err := g.call(ctx, input{kind: inputRead, op: "read"}, KindCanceled)
	return err
}

// Query runs f in the event loop on the state as applied on this member. f must
// neither modify nor retain the state, and must be short because it blocks the
// member.
func (g *Group[S, C]) Query(ctx context.Context, f func(*fleet.State)) error {
	// claimed is set either by the event loop before it runs f, or by the caller
	// when its context ends, so that f never runs after Query has returned.
	var claimed atomic.Bool
	finished := make(chan struct{})
	in := input{kind: inputQuery, op: "query", query: func(s *fleet.State) {
		if claimed.CompareAndSwap(false, true) {
			defer close(finished)
			f(s)
		}
	}}
	_, err := g.call(ctx, in, KindCanceled)
	if err != nil && !claimed.CompareAndSwap(false, true) {
		<-finished
		return nil
	}
	return err
}

// Watch returns a channel that is closed once the version of the state is
// above after. The watch is removed when ctx ends.
func (g *Group[S, C]) Watch(ctx context.Context, after model.Version) (<-chan struct{}, error) {
	w := watcher{after: after, fired: make(chan struct{}), done: ctx.Done()}
	_, err := g.call(ctx, input{kind: inputWatch, op: "watch", watch: w}, KindCanceled)
	return w.fired, err
}

// Step passes messages from peers to the event loop without blocking. If the
// ring is full, the messages are dropped; Raft sends them again later.
func (g *Group[S, C]) Step(messages []raft.Message) {
	g.ring.TryPut(input{kind: inputMessages, op: "step", messages: messages})
}

// Status returns the status of this member.
func (g *Group[S, C]) Status(ctx context.Context) (Status, error) {
	a, err := g.call(ctx, input{kind: inputStatus, op: "status"}, KindCanceled)
	return a.status, err
}

// Join adds a member and returns the member list once the list contains the member.
// The new member takes the addresses of the others from the list. The leader makes it a
// voter when it has caught up and a voter is missing, as the listed member with the same
// name and another ID is. Join must be called on the leader.
func (g *Group[S, C]) Join(ctx context.Context, m raft.Member) ([]raft.Member, error) {
	a, err := g.call(ctx, input{kind: inputJoin, op: "join", member: m}, KindOutcomeUnknown)
	return a.status.Members, err
}

// Leave makes a standby a voter in place of this member, and returns nil once this member
// has no vote. A leader goes on to lead until then, also while it waits for another
// membership change. The error has KindInvalid if there is no standby. After any other
// outcome the member goes on to ask for its replacement until it stops.
func (g *Group[S, C]) Leave(ctx context.Context) error {
	_, err := g.call(ctx, input{kind: inputLeave, op: "leave"}, KindOutcomeUnknown)
	return err
}
