package roles

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/core/coord/record"
	"camphorridge/core/coord/runner"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
	"camphorridge/io/trans/admin"
	"camphorridge/io/trans/logs"
	"camphorridge/io/trans/peers"
)

// scriptedLeader answers calls in turn; the last answer is repeated. An answer of
// AnswerOutcomeUnknown is lost.
type scriptedLeader struct {
	answers []runner.AnswerKind
	calls   atomic.Int64
}

func (l *scriptedLeader) Handle(context.Context, *wirepb.WorkCall) (*wirepb.WorkAnswer, error) {
	n := int(l.calls.Add(1))
	kind := l.answers[min(n, len(l.answers))-1]
	if kind == runner.AnswerOutcomeUnknown {
		panic(http.ErrAbortHandler)
	}
	return &wirepb.WorkAnswer{Kind: int32(kind), RetryAfterMs: 50, Stamp: &wirepb.Stamp{}}, nil
}

// submitServiceFor returns the service of an entry process whose leader is l.
func submitServiceFor(t *testing.T, l *scriptedLeader) SubmitService {
	t.Helper()
	server := httptest.NewServer(wirepb.NewWorkServer(l))
	t.Cleanup(server.Close)
	lg, err := logs.New(t.Output(), logs.Settings{Level: "error"}, clock.Real())
	assert.NilError(t, err)
	client := peers.NewClient("e1", record.New("e1", 10, clock.Real()))
	t.Cleanup(client.Close)
	member := model.Member{Name: "c1", Address: strings.TrimPrefix(server.URL, "http://")}
	return SubmitService{
		leader: peers.NewLeaderClient(client, []model.Member{member}, clock.Real()), clock: clock.Real(), Log: lg,
		lastPing: &atomic.Int64{}, leaving: &atomic.Bool{}, stats: &submitStats{callMillis: admin.NewHistogram()},
	}
}

// TestOverloadedLeaderIsNotAskedAgain guards against entry processes that multiply the
// load of an overloaded leader, and against a refusal as "not run" after an attempt
// whose answer was lost.
func TestOverloadedLeaderIsNotAskedAgain(t *testing.T) {
	const overloaded, unknown, unavailable, done = runner.AnswerOverloaded, runner.AnswerOutcomeUnknown, runner.AnswerUnavailable, runner.AnswerDone
	const noQueue, stale = runner.AnswerNoQueue, runner.AnswerStale
	for _, c := range []struct {
		name    string
		answers []runner.AnswerKind
		want    runner.AnswerKind
		calls   int64
	}{
		{"overloaded", []runner.AnswerKind{overloaded, done}, overloaded, 1},
		{"unavailable, then overloaded", []runner.AnswerKind{unavailable, overloaded, done}, overloaded, 2},
		{"answer lost, then overloaded", []runner.AnswerKind{unknown, overloaded, done}, done, 3},
		{"no queue", []runner.AnswerKind{noQueue}, noQueue, 1},
		{"answer lost, then no queue", []runner.AnswerKind{unknown, noQueue}, unknown, 3},
		{"stale", []runner.AnswerKind{stale}, stale, 1},
		{"answer lost, then stale", []runner.AnswerKind{unknown, stale}, unknown, 3},
		{"answer lost, then overloaded for good", []runner.AnswerKind{unknown, overloaded}, unknown, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &scriptedLeader{answers: c.answers}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			a := submitServiceFor(t, l).Call(ctx, runner.Call{Kind: runner.CallSubmit, IssuedAt: 1, Queue: "q", JobID: "j"})
			assert.Equal(t, a.Kind, c.want)
			if c.calls > 0 {
				assert.Equal(t, l.calls.Load(), c.calls)
			}
		})
	}
}

// TestBusyEntryDoesNotPing guards against readiness checks that add to the load of the
// leader although calls show that it can be reached, and against a refusal that counts
// as reaching it.
func TestBusyEntryDoesNotPing(t *testing.T) {
	for _, c := range []struct {
		kind  runner.AnswerKind
		calls int64
	}{{runner.AnswerNoJob, 1}, {runner.AnswerOverloaded, 1}, {runner.AnswerUnavailable, 2}} {
		l := &scriptedLeader{answers: []runner.AnswerKind{c.kind}}
		p := &pinger{service: submitServiceFor(t, l)}
		p.service.callLeader(context.Background(), runner.Call{Kind: runner.CallStatus, JobID: "j"})
		_, err := p.check()
		assert.NilError(t, err)
		assert.Equal(t, l.calls.Load(), c.calls)
		assert.Equal(t, p.service.Ready(), c.kind != runner.AnswerUnavailable)
	}
}
