package claim

import (
	"context"
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/ring"
)

// Limits and timeouts of the claimer.
const (
	// BatchWait is how long the first claim of a batch waits for others.
	BatchWait clock.Millis = 2
	// MaxBatch is the largest number of claims or outcomes in one change.
	MaxBatch int = 128
	// MaxOutcomes is the number of outcomes that can wait for the control group.
	// Further outcomes are dropped. Their keys stay claimed, which is safe because
	// a claimed request doesn't run again.
	MaxOutcomes int = 10_000
	// retryDelay is the time between two attempts to propose outcomes.
	retryDelay clock.Millis = 500
	// ringSize is the number of claims that can wait.
	ringSize int = 4096
	// ProposeTimeout is the limit for one change; a claim that takes longer fails.
	ProposeTimeout clock.Millis = 3 * clock.Second
)

// Kind is the kind of an Error.
type Kind int

// The kinds of error.
const (
	// KindFull means that too many claims are waiting; this call did not claim the
	// key.
	KindFull Kind = iota
	// KindUnavailable means that the control group failed or did not answer before
	// ProposeTimeout or the end of the caller's context; the key may have been claimed
	// or may still be claimed.
	KindUnavailable
	// KindStopped means that the claimer has stopped; the key may have been claimed
	// or may still be claimed.
	KindStopped
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("claim: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Proposer proposes a change to the control group and waits for the result.
type Proposer interface {
	Propose(ctx context.Context, c model.Change) (model.Result, error)
}

// pendingClaim is a claim that waits for its batch.
type pendingClaim struct {
	claim model.Claim
	reply chan<- claimResult
}

type claimResult struct {
	answer model.ClaimAnswer
	err    error
}

// Claimer batches claims and outcomes. Its methods may be called from any
// goroutine.
type Claimer[P Proposer] struct {
	// Owner is the entry process that owns the claims.
	Owner model.Process
	// incarnation identifies the run of the owner; later runs have higher ones.
	incarnation uint64
	proposer    P
	clock       clock.Clock
	pending     *ring.Ring[pendingClaim]
	outcomes    *ring.Ring[model.ClaimOutcome]
	// done is closed by Stop, ended when Run returns, and outcomesEnded when
	// runOutcomes returns.
	done          chan struct{}
	ended         chan struct{}
	outcomesEnded chan struct{}
}

// New returns a claimer for the process owner, whose incarnation must be higher than
// those of its earlier runs. Claims are handled only while Run is running.
func New[P Proposer](owner model.Process, incarnation uint64, p P, c clock.Clock) *Claimer[P] {
	return &Claimer[P]{
		Owner:         owner,
		incarnation:   incarnation,
		proposer:      p,
		clock:         c,
		pending:       ring.New[pendingClaim](ringSize),
		outcomes:      ring.New[model.ClaimOutcome](MaxOutcomes),
		done:          make(chan struct{}),
		ended:         make(chan struct{}),
		outcomesEnded: make(chan struct{}),
	}
}

// Claim requests the exclusive right to run the request with key k. The token
// identifies the attempt: a claim that was granted to the same token is granted again.
// A returned error is an *Error. After an error the request must not run. After an
// error of any kind but KindFull the control group may have granted the claim or may
// still grant it, so the caller must release it by calling Finish with an outcome
// whose NotRun is set.
func (c *Claimer[P]) Claim(ctx context.Context, k model.ClaimKey, token string) (model.ClaimAnswer, error) {
	reply := make(chan claimResult, 1)
	p := pendingClaim{claim: model.Claim{Key: k, Token: token, Owner: c.Owner}, reply: reply}
	if !c.pending.TryPut(p) {
		return model.ClaimAnswer{}, &Error{Op: "claim", Kind: KindFull, Err: fmt.Errorf("%d claims wait", ringSize)}
	}
	select {
	case r := <-reply:
		return r.answer, r.err
	case <-ctx.Done():
		return model.ClaimAnswer{}, &Error{Op: "claim", Kind: KindUnavailable, Err: ctx.Err()}
	case <-c.ended:
		return model.ClaimAnswer{}, &Error{Op: "claim", Kind: KindStopped, Err: fmt.Errorf("the process is stopping")}
	}
}

// Finish records how a claimed request ended. An outcome with NotRun frees the key, so
// that another attempt can claim it; after any other outcome the key stays claimed. An
// outcome with NotRun also holds if the control group applies it before the claim.
// Finish doesn't block; the outcome is proposed repeatedly until the control group
// accepts it. When too many outcomes are
// waiting, the outcome is dropped and counted, and the key stays claimed.
func (c *Claimer[P]) Finish(o model.ClaimOutcome) { c.outcomes.TryPut(o) }

// Refused returns the number of claims and outcomes that were refused because too
// many were waiting.
func (c *Claimer[P]) Refused() int64 { return c.pending.Refused() + c.outcomes.Refused() }

// Run batches claims until Stop. Outcomes are proposed by a separate goroutine, so
// that a claim never waits for them.
func (c *Claimer[P]) Run() error {
	defer close(c.ended)
	go c.runOutcomes()
	for {
		select {
		case first := <-c.pending.C():
			c.claimBatch(c.collectBatch(first))
		case <-c.done:
			<-c.outcomesEnded
			return nil
		}
	}
}

// Stop ends Run. The waiting outcomes are proposed once more first.
func (c *Claimer[P]) Stop() { close(c.done) }

// collectBatch collects claims into a batch for BatchWait, or until it has MaxBatch
// claims.
func (c *Claimer[P]) collectBatch(first pendingClaim) []pendingClaim {
	batch := []pendingClaim{first}
	timer := c.clock.After(BatchWait)
	for len(batch) < MaxBatch {
		select {
		case p := <-c.pending.C():
			batch = append(batch, p)
		case <-timer:
			return batch
		case <-c.done:
			return batch
		}
	}
	return batch
}

// claimBatch proposes a batch of claims and sends the answers.
func (c *Claimer[P]) claimBatch(batch []pendingClaim) {
	change := c.newChange()
	for _, p := range batch {
		change.Claims = append(change.Claims, p.claim)
	}
	r, err := c.propose(change)
	if err == nil && len(r.Claims) != len(batch) {
		err = fmt.Errorf("%d answers to %d claims", len(r.Claims), len(batch))
	}
	for i, p := range batch {
		if err != nil {
			p.reply <- claimResult{err: &Error{Op: "claim", Kind: KindUnavailable, Err: err}}
			continue
		}
		p.reply <- claimResult{answer: r.Claims[i]}
	}
}

// newChange returns a change of this run that holds no claims yet.
func (c *Claimer[P]) newChange() model.Change {
	return model.Change{Kind: model.ChangeClaims, Author: string(c.Owner), Process: c.Owner, Incarnation: c.incarnation}
}

// announceRun proposes a change of this run without claims. It tells the control
// group that earlier runs of the owner have ended, so that callers with requests from
// those runs learn at once that the outcomes are unknown.
func (c *Claimer[P]) announceRun() {
	for {
		if _, err := c.propose(c.newChange()); err == nil || !c.waitForRetry() {
			return
		}
	}
}

func (c *Claimer[P]) propose(change model.Change) (model.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ProposeTimeout.Duration())
	defer cancel()
	return c.proposer.Propose(ctx, change)
}

// runOutcomes announces this run to the control group and then proposes outcomes
// until Stop.
func (c *Claimer[P]) runOutcomes() {
	defer close(c.outcomesEnded)
	c.announceRun()
	var waiting []model.ClaimOutcome
	for {
		select {
		case o := <-c.outcomes.C():
			waiting = append(waiting, o)
		case <-c.done:
			c.proposeOutcomes(c.outcomes.Drain(waiting, MaxOutcomes))
			return
		}
		waiting = c.outcomes.Drain(waiting, MaxBatch)
		for len(waiting) > 0 {
			left := c.proposeOutcomes(waiting)
			if len(left) == len(waiting) && !c.waitForRetry() {
				c.proposeOutcomes(c.outcomes.Drain(left, MaxOutcomes))
				return
			}
			waiting = left
		}
	}
}

// waitForRetry waits for retryDelay. It returns false when the claimer must stop.
func (c *Claimer[P]) waitForRetry() bool {
	select {
	case <-c.clock.After(retryDelay):
		return true
	case <-c.done:
		return false
	}
}

// proposeOutcomes proposes the outcomes in batches and returns those that the control
// group did not accept.
func (c *Claimer[P]) proposeOutcomes(waiting []model.ClaimOutcome) []model.ClaimOutcome {
	for len(waiting) > 0 {
		n := min(len(waiting), MaxBatch)
		_, err := c.propose(model.Change{Kind: model.ChangeOutcomes, Author: string(c.Owner), Outcomes: waiting[:n]})
		if err != nil {
			return waiting
		}
		waiting = waiting[n:]
	}
	return nil
}
