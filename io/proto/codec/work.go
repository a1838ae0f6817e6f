package codec

import (
	"camphorridge/core/coord/runner"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/io/proto/wirepb"
)

// CallToWire maps a call of a submitter.
func CallToWire(c runner.Call) *wirepb.WorkCall {
	w := &wirepb.WorkCall{Kind: int32(c.Kind), Host: text(c.Host), Path: text(c.Path)}
	if c.Kind == runner.CallSubmit {
		w.Job = JobToWire(c.Job)
	}
	return w
}

// CallFromWire maps a call of a submitter. A submitted job gets its identity
// from the path.
func CallFromWire(w *wirepb.WorkCall) (runner.Call, error) {
	kind, err := enum("call", "kind", w.GetKind(), runner.CallPing)
	if err != nil {
		return runner.Call{}, err
	}
	c := runner.Call{Kind: kind, Host: w.GetHost(), Path: w.GetPath()}
	if kind == runner.CallSubmit {
		c.Job, err = JobFromWire(w.GetJob())
	}
	return c, err
}

// WorkAnswerToWire maps the answer to a call.
func WorkAnswerToWire(a runner.Answer) *wirepb.WorkAnswer {
	return &wirepb.WorkAnswer{
		Kind: int32(a.Kind), Status: int32(a.Status), Pending: int64(a.Pending),
		RetryAfterMs: int64(a.Retry), Reason: text(a.Reason),
	}
}

// WorkAnswerFromWire maps the answer to a call.
func WorkAnswerFromWire(w *wirepb.WorkAnswer) (runner.Answer, error) {
	kind, err := enum("answer", "kind", w.GetKind(), runner.AnswerUnknown)
	if err != nil {
		return runner.Answer{}, err
	}
	if w.GetStatus() < 0 || w.GetStatus() > int32(jobs.StatusCancelled) {
		return runner.Answer{}, jobError(KindRange, "an answer has status %d", w.GetStatus())
	}
	return runner.Answer{
		Kind: kind, Status: jobs.Status(w.GetStatus()), Pending: int(w.GetPending()),
		Retry: clock.Millis(w.GetRetryAfterMs()), Reason: w.GetReason(),
	}, nil
}
