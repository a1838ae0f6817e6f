package sched

import (
	"cmp"
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Parameters of requests to the advice service.
const (
	// adviceRetryMillis is the pause before a request about the same step is
	// repeated after a failure.
	adviceRetryMillis clock.Millis = 300
	// maxAdviceWorkers limits the workers named in one request, because each
	// one adds to the response time.
	maxAdviceWorkers = 30
	// ticketMarginMillis is the minimum remaining validity of a ticket for a
	// start: the start must be committed and reach the worker before the ticket
	// expires.
	ticketMarginMillis clock.Millis = 200
)

// adviceVerdict is the decision of the advice service on whether one worker may
// run one step.
type adviceVerdict struct {
	incarnation jobs.Incarnation
	// ticket is empty if the worker must not run the step.
	ticket     string
	validUntil clock.Millis
}

// stepAdvice holds the verdicts for the workers of one step.
type stepAdvice struct {
	verdicts map[jobs.WorkerID]adviceVerdict
	// nextRequest is the earliest time of the next request.
	nextRequest clock.Millis
}

// adviceState is the state of the requests to the advice service. The service
// processes the requests of one caller sequentially, so there is at most one
// pending request.
type adviceState struct {
	steps map[stepKey]*stepAdvice
	// pendingStep is the step of the pending request. pendingWorkers holds the
	// incarnation of each worker that the request names; nil without a pending
	// request.
	pendingStep    stepKey
	pendingWorkers map[jobs.WorkerID]jobs.Incarnation
	requestedAt    clock.Millis
	// counts holds the numbers of requested and approved workers of each queue
	// in this term.
	counts map[jobs.QueueName]adviceCount
}

// adviceCount counts the workers named in requests and those of them that were
// approved.
type adviceCount struct {
	requested, approved int
}

func newAdviceState() adviceState {
	return adviceState{steps: map[stepKey]*stepAdvice{}, counts: map[jobs.QueueName]adviceCount{}}
}

// Ticket is the permission of the advice service to run a step on a worker.
type Ticket struct {
	Worker jobs.WorkerID
	Text   string
}

// adviceOf returns the policy of a job's queue; the zero value for a queue
// without advice.
func (s *Scheduler[P, H]) adviceOf(r *jobs.Record) jobs.AdvicePolicy { return s.queueAdvice[r.Queue] }

// ticket returns a worker's ticket for a step and whether it is valid for a
// start now.
func (s *Scheduler[P, H]) ticket(w *worker, k stepKey, now clock.Millis) (string, bool) {
	advice := s.advice.steps[k]
	if advice == nil {
		return "", false
	}
	verdict, ok := advice.verdicts[w.id]
	return verdict.ticket, ok && verdict.ticket != "" && verdict.incarnation == w.incarnation && now+ticketMarginMillis < verdict.validUntil
}

// adviceAllows reports whether the worker may run the group's tasks: their
// queue has no advice, or the worker has a valid ticket.
func (s *Scheduler[P, H]) adviceAllows(w *worker, g *taskGroup, now clock.Millis) bool {
	if s.adviceOf(g.rec).TicketValidity == 0 {
		return true
	}
	_, ok := s.ticket(w, g.key, now)
	return ok
}

// requestAdvice asks the advice service which workers may run the waiting tasks
// of a group, unless another request is pending. The request names as many
// workers as are likely to yield enough approvals, judged by the earlier
// responses for the queue. Workers with enough free resources for a task are
// named first.
func (s *Scheduler[P, H]) requestAdvice(p *pool, g *taskGroup, now clock.Millis) {
	if s.adviceOf(g.rec).TicketValidity == 0 || s.advice.pendingWorkers != nil {
		return
	}
	advice := s.advice.steps[g.key]
	if advice == nil {
		advice = &stepAdvice{verdicts: map[jobs.WorkerID]adviceVerdict{}}
		s.advice.steps[g.key] = advice
	}
	if now < advice.nextRequest {
		return
	}
	candidates := s.adviceCandidates(p, g, advice, now)
	if len(candidates) == 0 {
		return
	}
	incarnations := map[jobs.WorkerID]jobs.Incarnation{}
	workers := make([]jobs.WorkerID, 0, len(candidates))
	for _, w := range candidates[:min(len(candidates), s.adviceRequestSize(g, candidates[0]))] {
		incarnations[w.id] = w.incarnation
		workers = append(workers, w.id)
	}
	s.advice.pendingStep, s.advice.pendingWorkers, s.advice.requestedAt = g.key, incarnations, now
	policy := s.adviceOf(g.rec)
	s.plan.Actions = append(s.plan.Actions, Action{
		Kind: ActionAdvise, FirstTask: g.key.taskID(0), Workers: workers, ExpectedResponseTime: policy.BaseLatency + clock.Millis(len(workers))*policy.LatencyPerWorker,
	})
}

// adviceCandidates returns the pool's workers that could run a task of the
// group and have no valid verdict, those with enough free resources first.
func (s *Scheduler[P, H]) adviceCandidates(p *pool, g *taskGroup, advice *stepAdvice, now clock.Millis) []*worker {
	var candidates []*worker
	for w := range s.liveWorkers(p, now) {
		if !s.acceptsGroup(w, g, now) || w.fitCount(w.capacity, g) == 0 {
			continue
		}
		verdict, ok := advice.verdicts[w.id]
		if ok && verdict.incarnation == w.incarnation && (verdict.ticket == "" || now+ticketMarginMillis < verdict.validUntil) {
			continue
		}
		candidates = append(candidates, w)
	}
	hasCapacity := func(w *worker) bool { return g.reserved.FitsIn(w.capacity.Minus(w.used)) }
	slices.SortFunc(candidates, func(x, y *worker) int {
		if order := compareBool(hasCapacity(y), hasCapacity(x)); order != 0 {
			return order
		}
		return cmp.Compare(x.id, y.id)
	})
	return candidates
}

// adviceRequestSize returns the number of workers to name in a request, at most
// maxAdviceWorkers. The number that the waiting tasks need, as far as the quota lets them
// start, is divided by the share of requested workers that were approved so far, which is
// taken as one half before the first response; one more is added. All candidates are
// assumed to be as large as w.
func (s *Scheduler[P, H]) adviceRequestSize(g *taskGroup, w *worker) int {
	wanted := (g.customer.startable(g, jobs.Resources{}) + w.fitCount(w.capacity, g) - 1) / w.fitCount(w.capacity, g)
	count := s.advice.counts[g.rec.Queue]
	return min(1+wanted*(count.requested+2)/(count.approved+1), maxAdviceWorkers)
}

// handleAdvice processes the response of the advice service.
func (s *Scheduler[P, H]) handleAdvice(action Action, outcome Outcome, now clock.Millis) {
	incarnations, requestedAt, key := s.advice.pendingWorkers, s.advice.requestedAt, s.advice.pendingStep
	s.advice.pendingWorkers = nil
	advice, rec := s.advice.steps[key], s.State.Jobs[key.job]
	if advice == nil || rec == nil || rec.Status.Final() {
		return
	}
	advice.nextRequest = now
	if outcome.Answer != AnswerDone {
		advice.nextRequest = now + adviceRetryMillis
		s.noteJob(DecisionAdviceMissing, rec, fmt.Sprintf("step %d, request for %d workers: %s", key.step, len(action.Workers), outcome), true)
		return
	}
	for id, incarnation := range incarnations {
		advice.verdicts[id] = adviceVerdict{incarnation: incarnation}
	}
	approved := 0
	for _, t := range outcome.Tickets {
		if incarnation, ok := incarnations[t.Worker]; ok && t.Text != "" {
			advice.verdicts[t.Worker] = adviceVerdict{incarnation: incarnation, ticket: t.Text, validUntil: requestedAt + s.adviceOf(rec).TicketValidity}
			approved++
		}
	}
	count := s.advice.counts[rec.Queue]
	s.advice.counts[rec.Queue] = adviceCount{requested: count.requested + len(incarnations), approved: count.approved + approved}
	s.noteJob(DecisionAdviceReceived, rec, fmt.Sprintf("step %d, %d of %d workers approved after %d ms", key.step, approved, len(incarnations), now-requestedAt), false)
	s.dirtyPools[s.pool(s.poolOf(rec))] = true
}

// forgetAdvice drops the verdicts on the steps of a job that has ended.
func (s *Scheduler[P, H]) forgetAdvice(rec *jobs.Record) {
	if len(s.advice.steps) == 0 {
		return
	}
	for occurrence := range rec.Occurrences {
		for step := range rec.Steps {
			delete(s.advice.steps, stepKey{rec.ID, occurrence, step})
		}
	}
}

// dropTicket drops the worker's ticket for the step of a run that it refused. It
// returns false if there is none.
func (s *Scheduler[P, H]) dropTicket(w *worker, r *run) bool {
	advice := s.advice.steps[stepKeyOf(r.task)]
	if advice == nil || advice.verdicts[w.id].ticket == "" {
		return false
	}
	delete(advice.verdicts, w.id)
	return true
}
