package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// ticketValidity is the validity of tickets in the tests.
const ticketValidity = 4 * clock.Second

// newAdvisedFixture returns a fixture whose queue has advice.
func newAdvisedFixture() *fixture {
	f := newFixture(Defaults())
	c := f.State.Config
	c.Version++
	c.Queues = []jobs.Queue{{
		Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: 2, Target: 3000, StretchPermille: 1500,
		Advice: jobs.AdvicePolicy{TicketValidity: ticketValidity, BaseLatency: 20, LatencyPerWorker: 2},
	}}
	f.Configure(c, f.now)
	return f
}

// adviceRequest returns the only request to the advice service in a plan.
func adviceRequest(t *testing.T, p Plan) Action {
	t.Helper()
	requests := actionsOf(p, ActionAdvise)
	assert.Equal(t, len(requests), 1)
	return requests[0]
}

// TestAdvisedStartHasTicket guards against a start on a worker that the advice
// service has not approved, against a start without the worker's ticket, and
// against repeated requests about workers whose verdict is known.
func TestAdvisedStartHasTicket(t *testing.T) {
	f := newAdvisedFixture()
	f.submit("a", smallStep)
	f.heartbeat("w1", 1, nil)
	f.heartbeat("w2", 1, nil)
	p := f.Pass(f.now)
	a := adviceRequest(t, p)
	assert.Equal(t, len(ordersFor(p, "w1").Starts)+len(ordersFor(p, "w2").Starts), 0)
	assert.DeepEqual(t, a.FirstTask, jobs.TaskID{Job: "a"})
	assert.DeepEqual(t, a.Workers, []jobs.WorkerID{"w1", "w2"})
	f.HandleOutcome(a, Outcome{Tickets: []Ticket{{Worker: "w2", Text: "ticket-w2"}, {Worker: "w9", Text: "ticket-w9"}}}, f.now+30)
	f.now += 30
	p = f.Pass(f.now)
	assert.Equal(t, len(ordersFor(p, "w1").Starts), 0)
	assert.Equal(t, len(ordersFor(p, "w2").Starts), 1)
	assert.Equal(t, ordersFor(p, "w2").Starts[0].Ticket, "ticket-w2")
	assert.Equal(t, len(actionsOf(p, ActionAdvise)), 0)
}

// TestOneAdviceRequestAtATime guards against sending several requests at once.
// The advice service processes one at a time, so urgent requests would queue
// behind those for later work.
func TestOneAdviceRequestAtATime(t *testing.T) {
	f := newAdvisedFixture()
	f.submit("a", smallStep)
	f.submit("b", smallStep)
	f.heartbeat("w1", 1, nil)
	a := adviceRequest(t, f.Pass(f.now))
	f.now += 100
	f.heartbeat("w1", 1, nil)
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionAdvise)), 0)
	f.HandleOutcome(a, Outcome{}, f.now)
	b := adviceRequest(t, f.Pass(f.now))
	assert.Equal(t, a.FirstTask.Job, jobs.ID("a"))
	assert.Equal(t, b.FirstTask.Job, jobs.ID("b"))
}

// TestUnansweredAdviceRequestIsRepeated guards against a job that waits forever
// because one response was lost.
func TestUnansweredAdviceRequestIsRepeated(t *testing.T) {
	f := newAdvisedFixture()
	f.submit("a", smallStep)
	f.heartbeat("w1", 1, nil)
	f.HandleOutcome(adviceRequest(t, f.Pass(f.now)), Outcome{Answer: AnswerUnknown}, f.now)
	f.heartbeat("w1", 1, nil)
	assert.Equal(t, len(actionsOf(f.Pass(f.now), ActionAdvise)), 0)
	f.now += adviceRetryMillis
	f.heartbeat("w1", 1, nil)
	adviceRequest(t, f.Pass(f.now))
}

// TestTicketIsRenewed guards against a start with a ticket that has expired,
// belongs to an earlier incarnation of the worker, or was refused by the
// worker.
func TestTicketIsRenewed(t *testing.T) {
	two := smallStep
	two.TaskCount, two.MaxPerWorker = 2, 1
	for _, c := range []struct {
		name        string
		incarnation jobs.Incarnation
		next        func(f *fixture, first Orders)
	}{
		{"expired", 1, func(f *fixture, first Orders) {
			f.now += ticketValidity
			f.heartbeat("w1", 1, nil, endsFor(first, jobs.ResultDone)...)
		}},
		{"new incarnation", 2, func(f *fixture, _ Orders) { f.heartbeat("w1", 2, nil) }},
		{"refused by the worker", 1, func(f *fixture, first Orders) { f.heartbeat("w1", 1, nil, endsFor(first, jobs.ResultRefused)...) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newAdvisedFixture()
			f.submit("a", two)
			f.heartbeat("w1", 1, nil)
			f.HandleOutcome(adviceRequest(t, f.Pass(f.now)), Outcome{Tickets: []Ticket{{Worker: "w1", Text: "old-ticket"}}}, f.now)
			first := ordersFor(f.Pass(f.now), "w1")
			assert.Equal(t, len(first.Starts), 1)
			f.now += 100
			c.next(f, first)
			p := f.Pass(f.now)
			assert.Equal(t, len(ordersFor(p, "w1").Starts), 0)
			f.HandleOutcome(adviceRequest(t, p), Outcome{Tickets: []Ticket{{Worker: "w1", Text: "new-ticket"}}}, f.now)
			f.heartbeat("w1", c.incarnation, nil)
			assert.Equal(t, ordersFor(f.Pass(f.now), "w1").Starts[0].Ticket, "new-ticket")
		})
	}
}

// TestAdviceRequestSize uses a fleet in which few workers may run a step. It
// guards against requests that name all workers, which are slow and expensive,
// and against requests that stay small although no worker was approved: each
// one that names too few has to be followed by another.
func TestAdviceRequestSize(t *testing.T) {
	f := newAdvisedFixture()
	for n := range 40 {
		f.heartbeat("w"+string(rune('0'+n/10))+string(rune('0'+n%10)), 1, nil)
	}
	f.submit("a", smallStep)
	a := adviceRequest(t, f.Pass(f.now))
	assert.Equal(t, len(a.Workers), 3)
	f.HandleOutcome(a, Outcome{}, f.now)
	f.heartbeat("w00", 1, nil)
	assert.Assert(t, len(adviceRequest(t, f.Pass(f.now)).Workers) > 3)
	assert.Equal(t, f.advice.counts["q"], adviceCount{requested: 3})
	f.Cancel(jobs.CancelKey{Job: "a"}, f.now)
	assert.Equal(t, len(f.advice.steps), 0)
}
