package peers

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/core/coord/runner"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// timedWork answers each call with the next leader time, and refuses pings if it is
// unavailable.
type timedWork struct {
	mu          sync.Mutex
	calls       []runner.Call
	unavailable bool
}

func (w *timedWork) Call(_ context.Context, c runner.Call) runner.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
	if w.unavailable {
		return runner.Answer{Kind: runner.AnswerUnavailable}
	}
	return runner.Answer{LeaderTime: clock.Millis(100 * len(w.calls))}
}

// TestSubmissionCarriesLeaderTime guards against submissions whose age the leader cannot
// tell, so that one which was held up for long is executed.
func TestSubmissionCarriesLeaderTime(t *testing.T) {
	w := &timedWork{unavailable: true}
	s := WorkServer[*timedWork]{Runner: w, Stamps: zeroStamps{}, RequireLeader: func() error { return nil }}
	l := NewLeaderClient(NewClient("test", zeroStamps{}), []model.Member{{Address: serveWork(t, wirepb.NewWorkServer(s))}}, clock.Real())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	submission := runner.Call{Kind: runner.CallSubmit, JobID: "a", Job: jobs.Job{ID: "a", Steps: []jobs.Step{{TaskCount: 1}}}}
	a, err := l.CallRunner(ctx, submission)
	assert.NilError(t, err)
	assert.Equal(t, a.Kind, runner.AnswerUnavailable)
	w.unavailable = false
	for range 2 {
		a, err = l.CallRunner(ctx, submission)
		assert.NilError(t, err)
		assert.Equal(t, a.Kind, runner.AnswerDone)
	}
	var issued []clock.Millis
	for _, c := range w.calls {
		if c.Kind == runner.CallSubmit {
			issued = append(issued, c.IssuedAt)
		}
	}
	assert.DeepEqual(t, issued, []clock.Millis{200, 300})
	assert.Equal(t, l.LeaderTime(), clock.Millis(400))
}
