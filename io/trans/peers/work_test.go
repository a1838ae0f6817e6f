package peers

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"camphorridge/core/coord/runner"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// serveWork serves the Work service with the given handler and returns its address.
func serveWork(t *testing.T, h http.Handler) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wirepb.WorkPathPrefix, h)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// rawAnswer answers every call with status 200 and the given body. The announced
// length of the body is missing bytes longer.
func rawAnswer(body []byte, missing int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		if missing > 0 {
			w.Header().Set("Content-Length", "64")
			body = body[:min(len(body), 64-missing)]
		}
		_, _ = w.Write(body)
	})
}

// callWorker calls the runner at the given addresses, which are tried in turn.
func callWorker(addresses ...string) (runner.Answer, error) {
	var members []model.Member
	for _, a := range addresses {
		members = append(members, model.Member{Address: a})
	}
	l := NewLeaderClient(NewClient("test", zeroStamps{}), members, clock.Real())
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	return l.CallRunner(ctx, runner.Call{Kind: runner.CallSubmit, IssuedAt: 1, Host: "h", Path: "/q/a", Job: jobs.Job{ID: "a", Steps: []jobs.Step{{TaskCount: 1}}}})
}

// TestAnswerThatIsNotWhole guards against a response without content that is taken
// for success, and against a submission that is refused as never run although a
// member responded to it with something that can't be read.
func TestAnswerThatIsNotWhole(t *testing.T) {
	undefined, err := proto.Marshal(&wirepb.WorkAnswer{Kind: 99, Stamp: &wirepb.Stamp{}})
	assert.NilError(t, err)
	unstamped, err := proto.Marshal(&wirepb.WorkAnswer{Status: int32(jobs.StatusCompleted)})
	assert.NilError(t, err)
	for _, c := range []struct {
		name    string
		handler http.Handler
	}{
		{"empty body", rawAnswer(nil, 0)},
		{"no stamp", rawAnswer(unstamped, 0)},
		{"undefined kind", rawAnswer(undefined, 0)},
		{"not a message", rawAnswer([]byte{0xff, 0xff}, 0)},
		{"cut off", rawAnswer(undefined, 60)},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, err := callWorker(serveWork(t, c.handler))
			assert.Assert(t, err != nil, "the answer is %+v", a)
			assert.Assert(t, MayHaveRun(err), "%v", err)
		})
	}
}

// invalidWork rejects every call as malformed.
type invalidWork struct{}

func (invalidWork) Handle(context.Context, *wirepb.WorkCall) (*wirepb.WorkAnswer, error) {
	return nil, twirp.InvalidArgumentError("call", "not valid")
}

// TestRejectionAfterUnknownOutcome guards against a call that is reported as not run
// because the second member rejected it, although the first may have executed it.
func TestRejectionAfterUnknownOutcome(t *testing.T) {
	rejects := serveWork(t, wirepb.NewWorkServer(invalidWork{}))
	_, err := callWorker(rejects)
	assert.Assert(t, err != nil && !MayHaveRun(err), "%v", err)
	fails := serveWork(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	_, err = callWorker(fails, rejects)
	assert.Assert(t, err != nil && MayHaveRun(err), "%v", err)
}

// stampedWork accepts every call.
type stampedWork struct{}

func (stampedWork) Call(context.Context, runner.Call) runner.Answer { return runner.Answer{} }

// TestWholeAnswerWithoutOtherFields guards against rejecting the answer to an
// accepted call, whose fields other than the stamp may all be zero.
func TestWholeAnswerWithoutOtherFields(t *testing.T) {
	s := WorkServer[stampedWork]{Stamps: zeroStamps{}, RequireLeader: func() error { return nil }}
	a, err := callWorker(serveWork(t, wirepb.NewWorkServer(s)))
	assert.NilError(t, err)
	assert.Equal(t, a.Kind, runner.AnswerDone)
}

// TestEmptyResponseIsNoResult guards against an empty response to a proposal that is
// taken for a change that was applied.
func TestEmptyResponseIsNoResult(t *testing.T) {
	mux := http.NewServeMux()
	mux.Handle(wirepb.ControlPathPrefix, rawAnswer(nil, 0))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	l := NewLeaderClient(NewClient("test", zeroStamps{}), []model.Member{{Address: strings.TrimPrefix(s.URL, "http://")}}, clock.Real())
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	r, err := l.Propose(ctx, model.Change{Kind: model.ChangeNone})
	assert.Assert(t, err != nil && MayHaveRun(err), "%+v, %v", r, err)
}

// refusingWork refuses every call as not carried out.
type refusingWork struct{ kind runner.AnswerKind }

func (w refusingWork) Call(context.Context, runner.Call) runner.Answer {
	return runner.Answer{Kind: w.kind, RetryAfter: 700, Reason: "no leader is known here"}
}

// TestRefusalAfterUnknownOutcome guards against a submission that is refused as never
// run by the second member asked, although the answer of the first was lost.
func TestRefusalAfterUnknownOutcome(t *testing.T) {
	fails := serveWork(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	// The queue may have been removed between the two attempts.
	for _, kind := range []runner.AnswerKind{runner.AnswerUnavailable, runner.AnswerOverloaded, runner.AnswerNoQueue} {
		s := WorkServer[refusingWork]{Runner: refusingWork{kind}, Stamps: zeroStamps{}, RequireLeader: func() error { return nil }}
		refuses := serveWork(t, wirepb.NewWorkServer(s))
		a, err := callWorker(refuses)
		assert.NilError(t, err)
		assert.Equal(t, a.Kind, kind)
		a, err = callWorker(fails, refuses)
		assert.NilError(t, err)
		assert.Equal(t, a.Kind, runner.AnswerOutcomeUnknown)
		assert.Equal(t, a.RetryAfter, clock.Millis(700))
	}
}
