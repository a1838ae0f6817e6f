package peers

import (
	"context"
	"errors"
	"net"

	"github.com/twitchtv/twirp"

	"camphorridge/core/coord/runner"
	"camphorridge/core/state/clock"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/wirepb"
)

// Runner is what the server needs of the runner duty.
type Runner interface {
	Call(ctx context.Context, c runner.Call) runner.Answer
}

// WorkServer serves calls of submitters in a control process.
type WorkServer[W Runner] struct {
	Runner W
	Stamps Stamps
	// RequireLeader returns an error that names the leader unless this member leads.
	RequireLeader func() error
}

// Handle passes a call to the runner.
func (s WorkServer[W]) Handle(ctx context.Context, r *wirepb.WorkCall) (*wirepb.WorkAnswer, error) {
	s.Stamps.Observe(codec.StampFromWire(r.GetStamp()))
	if err := s.RequireLeader(); err != nil {
		return nil, err
	}
	c, err := codec.CallFromWire(r)
	if err != nil {
		return nil, twirp.InvalidArgumentError("call", err.Error())
	}
	w := codec.WorkAnswerToWire(s.Runner.Call(ctx, c))
	w.Stamp = codec.StampToWire(s.Stamps.Next())
	return w, nil
}

// workTimeout bounds one try of a call. Such a call is idempotent and usually
// takes one commit, so that a frozen leader is better left early.
const workTimeout clock.Millis = 600

// CallRunner hands a call to the leader. An error of KindUnknown means that the call
// may have been carried out; after one of another kind it was not.
func (l *LeaderClient) CallRunner(ctx context.Context, c runner.Call) (runner.Answer, error) {
	var a runner.Answer
	reached := false
	req := codec.CallToWire(c)
	req.Stamp = l.client.stamp()
	err := l.search(ctx, "work", workTimeout, func(ctx context.Context, to remote) error {
		resp, err := to.work.Handle(ctx, req)
		if err != nil {
			reached = reached || attemptMayHaveRun(err)
			return err
		}
		l.client.observe(resp.GetStamp())
		a, err = codec.WorkAnswerFromWire(resp)
		return err
	})
	var e *Error
	if errors.As(err, &e) && e.Kind == KindUnknown && !reached {
		e.Kind = KindUnreachable
	}
	return a, err
}

// attemptMayHaveRun reports whether a failed call may have been carried out: not when
// no connection was made, and not when the member answered that it does not
// lead.
func attemptMayHaveRun(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	mapped, _ := fromTwirp("work", err)
	return mapped.Kind != KindNotLeader && mapped.Kind != KindInvalid
}

// MayHaveRun reports whether a failed call may have been carried out.
func MayHaveRun(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Kind == KindUnknown
}
