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
	r := newFixture(Defaults())
	c := r.State.Config
	c.Version++
	c.Queues = []jobs.Queue{{
		Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: 2, Target: 3000, StretchPermille: 1500,
		Advice: jobs.AdvicePolicy{TicketValidity: ticketValidity, BaseLatency: 20, LatencyPerWorker: 2},
	}}
	r.Configure(c, r.now)
	return r
}

// adviceRequest returns the only request to the advice service in a plan.
func adviceRequest(t *testing.T, p Plan) Action {
	t.Helper()
	requests := actionsOf(p, ActionAdvise)
	assert.Equal(t, len(requests), 1)
	return requests[0]
}

// TestAdvisedStartHasTicket guards against a start on a worker that the advice
// service has not approved or without its ticket, and against repeated requests
// about workers whose verdict does not change.
func TestAdvisedStartHasTicket(t *testing.T) {
	r := newAdvisedFixture()
	r.submit("a", smallStep)
	r.heartbeat("w1", 1, nil)
	r.heartbeat("w2", 1, nil)
	p := r.Pass(r.now)
	a := adviceRequest(t, p)
	assert.Equal(t, len(ordersFor(p, "w1").Starts)+len(ordersFor(p, "w2").Starts), 0)
	assert.DeepEqual(t, a.Step, jobs.TaskID{Job: "a"})
	assert.DeepEqual(t, a.Workers, []jobs.WorkerID{"w1", "w2"})
	r.HandleOutcome(a, Outcome{Tickets: []Ticket{{Worker: "w2", Text: "leave"}, {Worker: "w9", Text: "not asked for"}}}, r.now+30)
	r.now += 30
	p = r.Pass(r.now)
	assert.Equal(t, len(ordersFor(p, "w1").Starts), 0)
	assert.Equal(t, len(ordersFor(p, "w2").Starts), 1)
	assert.Equal(t, ordersFor(p, "w2").Starts[0].Ticket, "leave")
	assert.Equal(t, len(actionsOf(p, ActionAdvise)), 0)
}

// TestOneAdviceRequestAtATime guards against requests that queue at the advice
// service, which processes one at a time, behind requests for later work.
func TestOneAdviceRequestAtATime(t *testing.T) {
	r := newAdvisedFixture()
	r.submit("a", smallStep)
	r.submit("b", smallStep)
	r.heartbeat("w1", 1, nil)
	a := adviceRequest(t, r.Pass(r.now))
	r.now += 100
	r.heartbeat("w1", 1, nil)
	assert.Equal(t, len(actionsOf(r.Pass(r.now), ActionAdvise)), 0)
	r.HandleOutcome(a, Outcome{}, r.now)
	b := adviceRequest(t, r.Pass(r.now))
	assert.Equal(t, a.Step.Job, jobs.ID("a"))
	assert.Equal(t, b.Step.Job, jobs.ID("b"))
}

// TestUnansweredAdviceRequestIsRepeated guards against a job that waits forever
// because one response was lost.
func TestUnansweredAdviceRequestIsRepeated(t *testing.T) {
	r := newAdvisedFixture()
	r.submit("a", smallStep)
	r.heartbeat("w1", 1, nil)
	r.HandleOutcome(adviceRequest(t, r.Pass(r.now)), Outcome{Answer: AnswerUnknown}, r.now)
	r.heartbeat("w1", 1, nil)
	assert.Equal(t, len(actionsOf(r.Pass(r.now), ActionAdvise)), 0)
	r.now += adviceRetryMillis
	r.heartbeat("w1", 1, nil)
	adviceRequest(t, r.Pass(r.now))
}

// TestTicketIsRenewed guards against a start with a ticket that has expired,
// belongs to an earlier incarnation of the worker, or was refused.
func TestTicketIsRenewed(t *testing.T) {
	two := smallStep
	two.TaskCount, two.MaxPerWorker = 2, 1
	for _, c := range []struct {
		name string
		life jobs.Incarnation
		then func(r *fixture, first Orders)
	}{
		{"ticket expired", 1, func(r *fixture, first Orders) {
			r.now += ticketValidity
			r.heartbeat("w1", 1, nil, endsFor(first, jobs.ResultDone)...)
		}},
		{"new incarnation", 2, func(r *fixture, _ Orders) { r.heartbeat("w1", 2, nil) }},
		{"refused", 1, func(r *fixture, first Orders) { r.heartbeat("w1", 1, nil, endsFor(first, jobs.ResultRefused)...) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newAdvisedFixture()
			r.submit("a", two)
			r.heartbeat("w1", 1, nil)
			r.HandleOutcome(adviceRequest(t, r.Pass(r.now)), Outcome{Tickets: []Ticket{{Worker: "w1", Text: "leave"}}}, r.now)
			first := ordersFor(r.Pass(r.now), "w1")
			assert.Equal(t, len(first.Starts), 1)
			r.now += 100
			c.then(r, first)
			p := r.Pass(r.now)
			assert.Equal(t, len(ordersFor(p, "w1").Starts), 0)
			r.HandleOutcome(adviceRequest(t, p), Outcome{Tickets: []Ticket{{Worker: "w1", Text: "again"}}}, r.now)
			r.heartbeat("w1", c.life, nil)
			assert.Equal(t, ordersFor(r.Pass(r.now), "w1").Starts[0].Ticket, "again")
		})
	}
}

// TestAdviceRequestSize uses a fleet in which few workers may run a step. A
// request that names all workers is slow and expensive, and one that names too
// few has to be followed by others.
func TestAdviceRequestSize(t *testing.T) {
	r := newAdvisedFixture()
	for n := range 40 {
		r.heartbeat("w"+string(rune('0'+n/10))+string(rune('0'+n%10)), 1, nil)
	}
	r.submit("a", smallStep)
	a := adviceRequest(t, r.Pass(r.now))
	assert.Equal(t, len(a.Workers), 3)
	r.HandleOutcome(a, Outcome{}, r.now)
	r.heartbeat("w00", 1, nil)
	assert.Assert(t, len(adviceRequest(t, r.Pass(r.now)).Workers) > 3)
	assert.Equal(t, r.advice.counts["q"], adviceCount{requested: 3})
	r.Cancel("a", r.now)
	assert.Equal(t, len(r.advice.steps), 0)
}
