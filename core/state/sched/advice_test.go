package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// ticketLife is how long tickets hold in the tests.
const ticketLife = 4 * clock.Second

// newAdvisedRig is a rig whose queue has advice.
func newAdvisedRig() *rig {
	r := newRig(Defaults())
	c := r.State.Config
	c.Version++
	c.Queues = []jobs.Queue{{
		Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxAttempts: 2, Target: 3000, StretchPermille: 1500,
		Advice: jobs.AdvicePolicy{TicketValidity: ticketLife, BaseLatency: 20, LatencyPerWorker: 2},
	}}
	r.Configure(c, r.now)
	return r
}

// question returns the question of a plan.
func question(t *testing.T, p Plan) Action {
	t.Helper()
	asked := actions(p, ActionAdvise)
	assert.Equal(t, len(asked), 1)
	return asked[0]
}

// TestAdvisedStartHasTicket guards against a start on a worker that the advice
// service has not named, or without its ticket, and against workers that are
// asked for again although the answer does not change.
func TestAdvisedStartHasTicket(t *testing.T) {
	r := newAdvisedRig()
	r.submit("a", small)
	r.hear("w1", 1, nil)
	r.hear("w2", 1, nil)
	p := r.Pass(r.now)
	a := question(t, p)
	assert.Equal(t, len(orders(p, "w1").Starts)+len(orders(p, "w2").Starts), 0)
	assert.DeepEqual(t, a.Step, jobs.TaskID{Job: "a"})
	assert.DeepEqual(t, a.Workers, []jobs.WorkerID{"w1", "w2"})
	r.HandleOutcome(a, Outcome{Tickets: []Ticket{{Worker: "w2", Text: "leave"}, {Worker: "w9", Text: "not asked for"}}}, r.now+30)
	r.now += 30
	p = r.Pass(r.now)
	assert.Equal(t, len(orders(p, "w1").Starts), 0)
	assert.Equal(t, len(orders(p, "w2").Starts), 1)
	assert.Equal(t, orders(p, "w2").Starts[0].Ticket, "leave")
	assert.Equal(t, len(actions(p, ActionAdvise)), 0)
}

// TestOneQuestionAtATime guards against questions that wait at the service
// behind those for work that comes later: it takes one at a time.
func TestOneQuestionAtATime(t *testing.T) {
	r := newAdvisedRig()
	r.submit("a", small)
	r.submit("b", small)
	r.hear("w1", 1, nil)
	a := question(t, r.Pass(r.now))
	r.now += 100
	r.hear("w1", 1, nil)
	assert.Equal(t, len(actions(r.Pass(r.now), ActionAdvise)), 0)
	r.HandleOutcome(a, Outcome{}, r.now)
	b := question(t, r.Pass(r.now))
	assert.Equal(t, a.Step.Job, jobs.ID("a"))
	assert.Equal(t, b.Step.Job, jobs.ID("b"))
}

// TestUnansweredQuestionIsRepeated guards against a job that waits for good
// because one answer was lost.
func TestUnansweredQuestionIsRepeated(t *testing.T) {
	r := newAdvisedRig()
	r.submit("a", small)
	r.hear("w1", 1, nil)
	r.HandleOutcome(question(t, r.Pass(r.now)), Outcome{Answer: AnswerUnknown}, r.now)
	r.hear("w1", 1, nil)
	assert.Equal(t, len(actions(r.Pass(r.now), ActionAdvise)), 0)
	r.now += askRetry
	r.hear("w1", 1, nil)
	question(t, r.Pass(r.now))
}

// TestTicketIsRenewed guards against a start under a ticket that has run out,
// belongs to an earlier life of the worker, or was not accepted.
func TestTicketIsRenewed(t *testing.T) {
	two := small
	two.TaskCount, two.MaxPerWorker = 2, 1
	for _, c := range []struct {
		name string
		life jobs.Incarnation
		then func(r *rig, first Orders)
	}{
		{"run out", 1, func(r *rig, first Orders) {
			r.now += ticketLife
			r.hear("w1", 1, nil, endsOf(first, jobs.ResultDone)...)
		}},
		{"new life", 2, func(r *rig, _ Orders) { r.hear("w1", 2, nil) }},
		{"refused", 1, func(r *rig, first Orders) { r.hear("w1", 1, nil, endsOf(first, jobs.ResultRefused)...) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newAdvisedRig()
			r.submit("a", two)
			r.hear("w1", 1, nil)
			r.HandleOutcome(question(t, r.Pass(r.now)), Outcome{Tickets: []Ticket{{Worker: "w1", Text: "leave"}}}, r.now)
			first := orders(r.Pass(r.now), "w1")
			assert.Equal(t, len(first.Starts), 1)
			r.now += 100
			c.then(r, first)
			p := r.Pass(r.now)
			assert.Equal(t, len(orders(p, "w1").Starts), 0)
			r.HandleOutcome(question(t, p), Outcome{Tickets: []Ticket{{Worker: "w1", Text: "again"}}}, r.now)
			r.hear("w1", c.life, nil)
			assert.Equal(t, orders(r.Pass(r.now), "w1").Starts[0].Ticket, "again")
		})
	}
}

// TestQuestionSize plays a fleet of which few may run a step. A question that
// names the whole fleet takes long and is paid for, one that names too few is
// followed by others.
func TestQuestionSize(t *testing.T) {
	r := newAdvisedRig()
	for n := range 40 {
		r.hear("w"+string(rune('0'+n/10))+string(rune('0'+n%10)), 1, nil)
	}
	r.submit("a", small)
	a := question(t, r.Pass(r.now))
	assert.Equal(t, len(a.Workers), 3)
	r.HandleOutcome(a, Outcome{}, r.now)
	r.hear("w00", 1, nil)
	assert.Assert(t, len(question(t, r.Pass(r.now)).Workers) > 3)
	assert.Equal(t, r.advice.counts["q"], adviceCount{named: 3})
	r.Cancel("a", r.now)
	assert.Equal(t, len(r.advice.steps), 0)
}
