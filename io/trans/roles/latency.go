package roles

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"camphorridge/core/coord/entry"
	"camphorridge/core/state/clock"
	"camphorridge/io/trans/admin"
)

// timedDispatcher is a dispatcher that records how long requests wait for its
// decision and how long upstreams take.
type timedDispatcher struct {
	*dispatcher
	clock         clock.Clock
	waitMillis    metrics.Histogram
	elapsedMillis metrics.Histogram
}

func newTimedDispatcher(d *dispatcher, c clock.Clock) *timedDispatcher {
	return &timedDispatcher{dispatcher: d, clock: c, waitMillis: admin.NewHistogram(), elapsedMillis: admin.NewHistogram()}
}

// Acquire calls the dispatcher's Acquire and records the time until the request is
// granted or refused.
func (t *timedDispatcher) Acquire(ctx context.Context, r entry.Request) (entry.Grant, *entry.Refusal) {
	began := t.clock.Now()
	grant, refusal := t.dispatcher.Acquire(ctx, r)
	t.waitMillis.Update(int64(t.clock.Now() - began))
	return grant, refusal
}

// Done records the time that the upstream took, and calls the dispatcher's Done.
func (t *timedDispatcher) Done(id entry.Ticket, o entry.Outcome, elapsed clock.Millis) {
	t.elapsedMillis.Update(int64(elapsed))
	t.dispatcher.Done(id, o, elapsed)
}
