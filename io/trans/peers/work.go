package peers

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/twitchtv/twirp"

	"camphorridge/core/coord/runner"
	"camphorridge/core/state/clock"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/wirepb"
	"camphorridge/io/trans/intake"
)

// Runner executes calls of submitters; the production implementation is
// runner.Runner.
type Runner interface {
	Call(ctx context.Context, c runner.Call) runner.Answer
}

// WorkServer implements the Work service, which submitters call, in a control
// process.
type WorkServer[R Runner] struct {
	Runner R
	Stamps Stamps
	// RequireLeader returns an error that names the leader unless this member is
	// the leader.
	RequireLeader func() error
}

// Handle passes a call to the runner if this member is the leader.
func (s WorkServer[R]) Handle(ctx context.Context, r *wirepb.WorkCall) (*wirepb.WorkAnswer, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	if err := s.RequireLeader(); err != nil {
		return nil, err
	}
	c, err := codec.CallFromWire(r)
	if err != nil {
		return nil, twirp.InvalidArgumentError("call", err.Error())
	}
	w := codec.AnswerToWire(s.Runner.Call(ctx, c))
	w.Stamp = codec.StampToWire(s.Stamps.Next())
	return w, nil
}

// workTimeout bounds one attempt of CallRunner. It is shorter than
// attemptTimeout, so that CallRunner gives up on an unresponsive leader early. A
// call usually takes one commit, and it can be sent again because it is idempotent.
const workTimeout clock.Millis = 600

// CallRunner sends a call to the leader's runner. After an *Error of
// KindOutcomeUnknown the call may have been executed, by any of the attempts. After
// an *Error of another kind it was not; it is of KindUnavailable if ctx ended before
// any attempt could have executed the call. An answer that the call was not executed
// holds for all attempts; otherwise it is of kind AnswerOutcomeUnknown. A submission
// without IssuedAt is sent once the leader's time is known.
func (l *LeaderClient) CallRunner(ctx context.Context, c runner.Call) (runner.Answer, error) {
	if c.Kind == runner.CallSubmit && c.IssuedAt == 0 {
		if a, err := l.learnTime(ctx); err != nil || a.Kind != runner.AnswerDone {
			return a, err
		}
		c.IssuedAt = l.LeaderTime()
	}
	return l.sendCall(ctx, c)
}

// learnTime asks the leader for its time. Its answers and errors say that the call for
// which the time is needed was not executed.
func (l *LeaderClient) learnTime(ctx context.Context) (runner.Answer, error) {
	if l.LeaderTime() != 0 {
		return runner.Answer{}, nil
	}
	a, err := l.sendCall(ctx, runner.Call{Kind: runner.CallPing})
	if err != nil {
		return a, &Error{Op: "work", Kind: KindUnavailable, Err: err}
	}
	if a.Kind == runner.AnswerOutcomeUnknown {
		a.Kind = runner.AnswerUnavailable
	}
	return a, nil
}

// sendCall is CallRunner for a call that is complete.
func (l *LeaderClient) sendCall(ctx context.Context, c runner.Call) (runner.Answer, error) {
	var a runner.Answer
	mayHaveRun := false
	req := codec.CallToWire(c)
	req.Stamp = l.client.stamp()
	err := l.callWithTimeout(ctx, "work", workTimeout, func(ctx context.Context, member remote) error {
		resp, err := member.work.Handle(ctx, req)
		if refusedByGate(err) {
			a = runner.Answer{Kind: runner.AnswerOverloaded, RetryAfter: clock.Second, Reason: err.Error()}
			return nil
		}
		if err != nil {
			mayHaveRun = mayHaveRun || attemptMayHaveRun(err)
			return err
		}
		l.client.observe(resp.GetStamp())
		a, err = wholeAnswer(resp)
		l.observeLeaderTime(a.LeaderTime)
		// The member has handled the call even if its answer can't be decoded.
		mayHaveRun = mayHaveRun || err != nil
		return err
	})
	if mayHaveRun && c.Kind.RefusedBy(a.Kind) {
		// The refusal is true of the last attempt alone.
		a.Kind, a.Reason = runner.AnswerOutcomeUnknown, "an earlier attempt may have been executed; the last one was not: "+a.Reason
	}
	var e *Error
	switch {
	case !errors.As(err, &e):
	case mayHaveRun:
		e.Kind = KindOutcomeUnknown
	case e.Kind == KindOutcomeUnknown:
		e.Kind = KindUnavailable
	}
	return a, err
}

// refusedByGate reports whether a request was refused before it was handled because the
// called process has no room for its body. The library takes such a response for one of
// a proxy.
func refusedByGate(err error) bool {
	var te twirp.Error
	return errors.As(err, &te) && te.Meta("status_code") == strconv.Itoa(http.StatusServiceUnavailable) &&
		strings.HasPrefix(te.Meta("body"), intake.NotRun)
}

// wholeAnswer converts a message to an answer. WorkServer.Handle stamps each answer.
// A message without a stamp, such as an empty one, is an error: its zero values would
// be read as success.
func wholeAnswer(w *wirepb.WorkAnswer) (runner.Answer, error) {
	if w.GetStamp() == nil {
		return runner.Answer{}, &Error{Op: "work", Kind: KindOutcomeUnknown, Err: errors.New("the answer has no stamp")}
	}
	return codec.AnswerFromWire(w)
}

// attemptMayHaveRun reports whether the call of a failed attempt may have been
// executed. It was not if no connection could be opened, or if the member
// responded that it is not the leader or that the call is malformed.
func attemptMayHaveRun(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	mapped, _ := fromTwirp("work", err)
	return mapped.Kind != KindNotLeader && mapped.Kind != KindInvalid
}

// MayHaveRun reports whether a call may have been executed although CallRunner
// returned the error err.
func MayHaveRun(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Kind == KindOutcomeUnknown
}
