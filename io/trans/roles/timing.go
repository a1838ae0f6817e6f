package roles

import (
	"context"

	"github.com/rcrowley/go-metrics"

	"camphorridge/core/coord/entry"
	"camphorridge/core/state/clock"
	"camphorridge/io/trans/admin"
)

// timed measures the waits and the run times of the requests that pass
// through the dispatcher.
type timed struct {
	*dispatcher
	clock   clock.Clock
	wait    metrics.Histogram
	elapsed metrics.Histogram
}

func newTimed(d *dispatcher, c clock.Clock) *timed {
	return &timed{dispatcher: d, clock: c, wait: admin.NewHistogram(), elapsed: admin.NewHistogram()}
}

// Ask measures the time until a request is granted or refused, in ms.
func (t *timed) Ask(ctx context.Context, r entry.Request) (entry.Grant, *entry.Refusal) {
	began := t.clock.Now()
	g, f := t.dispatcher.Ask(ctx, r)
	t.wait.Update(int64(t.clock.Now() - began))
	return g, f
}

// Done measures the time that an upstream took, in ms.
func (t *timed) Done(id entry.Ticket, o entry.Outcome, elapsed clock.Millis) {
	t.elapsed.Update(int64(elapsed))
	t.dispatcher.Done(id, o, elapsed)
}
