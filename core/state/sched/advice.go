package sched

import (
	"cmp"
	"fmt"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Figures of questions to the advice service.
const (
	// askRetry separates two questions on one step when the first had no answer.
	askRetry clock.Millis = 300
	// askMost bounds the workers that one question names; each costs time.
	askMost = 30
	// ticketMargin is the time before the end of a ticket from which no start
	// rests on it: the order has to be committed and to reach the worker.
	ticketMargin clock.Millis = 200
)

// opinion is what the advice service said of a worker for a step.
type opinion struct {
	life jobs.Incarnation
	// ticket is empty for a worker that may not run the step.
	ticket string
	until  clock.Millis
}

// advised is what is known of the workers that may run a step.
type advised struct {
	opinions map[jobs.WorkerID]opinion
	// next is the time before which the service is not asked again.
	next clock.Millis
}

// advice is the state of questions to the advice service. It takes the calls of
// one caller in turn, so that there is one at a time.
type advice struct {
	steps map[groupKey]*advised
	// asking is the step of the question on its way, and lives holds the life of
	// each worker that it names; nil for none.
	asking groupKey
	lives  map[jobs.WorkerID]jobs.Incarnation
	asked  clock.Millis
	// counts says how many of a queue's answers were good.
	counts map[jobs.QueueName]adviceCount
}

type adviceCount struct {
	named, good int
}

func newAdvice() advice {
	return advice{steps: map[groupKey]*advised{}, counts: map[jobs.QueueName]adviceCount{}}
}

// Ticket is the leave to run a step on a worker.
type Ticket struct {
	Worker jobs.WorkerID
	Text   string
}

// adviceOf returns the rule of a job's queue; the zero value for a queue without
// advice.
func (b *Scheduler[O, J]) adviceOf(r *jobs.Record) jobs.AdvicePolicy { return b.advices[r.Queue] }

// ticket returns a worker's ticket for a step of a queue with advice.
func (b *Scheduler[O, J]) ticket(w *worker, k groupKey, now clock.Millis) (string, bool) {
	a := b.advice.steps[k]
	if a == nil {
		return "", false
	}
	o, ok := a.opinions[w.id]
	return o.ticket, ok && o.ticket != "" && o.life == w.life && now+ticketMargin < o.until
}

// allowed reports whether the rules of the group's queue let the worker run it.
func (b *Scheduler[O, J]) allowed(w *worker, g *group, now clock.Millis) bool {
	if b.adviceOf(g.rec).TicketValidity == 0 {
		return true
	}
	_, ok := b.ticket(w, g.key, now)
	return ok
}

// ask asks the advice service for workers that may run the waiting tasks of a
// group, unless another question is on its way. It names about as many as hold
// enough good ones by the queue's earlier answers, those that tasks would be
// placed on first.
func (b *Scheduler[O, J]) ask(p *pool, g *group, now clock.Millis) {
	if b.adviceOf(g.rec).TicketValidity == 0 || b.advice.lives != nil {
		return
	}
	a := b.advice.steps[g.key]
	if a == nil {
		a = &advised{opinions: map[jobs.WorkerID]opinion{}}
		b.advice.steps[g.key] = a
	}
	if now < a.next {
		return
	}
	open := b.unasked(p, g, a, now)
	if len(open) == 0 {
		return
	}
	lives := map[jobs.WorkerID]jobs.Incarnation{}
	names := make([]jobs.WorkerID, 0, len(open))
	for _, w := range open[:min(len(open), b.question(g, open[0]))] {
		lives[w.id] = w.life
		names = append(names, w.id)
	}
	b.advice.asking, b.advice.lives, b.advice.asked = g.key, lives, now
	rule := b.adviceOf(g.rec)
	b.out.Actions = append(b.out.Actions, Action{
		Kind: ActionAdvise, Step: g.key.task(0), Workers: names, ExpectedDuration: rule.BaseLatency + clock.Millis(len(names))*rule.LatencyPerWorker,
	})
}

// unasked lists the pool's workers that could take a task of the group and of
// which it is not known whether they may.
func (b *Scheduler[O, J]) unasked(p *pool, g *group, a *advised, now clock.Millis) []*worker {
	var open []*worker
	for w := range b.heard(p, now) {
		if !b.takes(w, g, now) || w.seats(w.room, g) == 0 {
			continue
		}
		o, ok := a.opinions[w.id]
		if ok && o.life == w.life && (o.ticket == "" || now+ticketMargin < o.until) {
			continue
		}
		open = append(open, w)
	}
	room := func(w *worker) bool { return counted(g.step).Fits(w.room.Minus(w.used)) }
	slices.SortFunc(open, func(x, y *worker) int {
		if order := compareBool(room(y), room(x)); order != 0 {
			return order
		}
		return cmp.Compare(x.id, y.id)
	})
	return open
}

// question is the number of workers to name: as many as the waiting tasks take,
// over the share of good ones.
func (b *Scheduler[O, J]) question(g *group, w *worker) int {
	wanted := (len(g.waiting) + w.seats(w.room, g) - 1) / w.seats(w.room, g)
	c := b.advice.counts[g.rec.Queue]
	return min(1+wanted*(c.named+2)/(c.good+1), askMost)
}

// answered takes the answer of the advice service.
func (b *Scheduler[O, J]) answered(a Action, o Outcome, now clock.Millis) {
	lives, asked, key := b.advice.lives, b.advice.asked, b.advice.asking
	b.advice.lives = nil
	step, rec := b.advice.steps[key], b.State.Jobs[key.job]
	if step == nil || rec == nil || rec.Status.Final() {
		return
	}
	step.next = now
	if o.Answer != AnswerDone {
		step.next = now + askRetry
		b.noteJob(DecisionAdviceMissing, rec, fmt.Sprintf("step %d, %d workers named: %s", key.step, len(a.Workers), o), true)
		return
	}
	for id, life := range lives {
		step.opinions[id] = opinion{life: life}
	}
	good := 0
	for _, t := range o.Tickets {
		if life, ok := lives[t.Worker]; ok && t.Text != "" {
			step.opinions[t.Worker] = opinion{life: life, ticket: t.Text, until: asked + b.adviceOf(rec).TicketValidity}
			good++
		}
	}
	c := b.advice.counts[rec.Queue]
	b.advice.counts[rec.Queue] = adviceCount{named: c.named + len(lives), good: c.good + good}
	b.noteJob(DecisionAdviceReceived, rec, fmt.Sprintf("step %d, %d of %d workers after %d ms", key.step, good, len(lives), now-asked), false)
	b.dirty[b.pool(b.poolOf(rec))] = true
}

// forgetAdvice drops what is known of the steps of a job that is over.
func (b *Scheduler[O, J]) forgetAdvice(r *jobs.Record) {
	if len(b.advice.steps) == 0 {
		return
	}
	for k := range r.Occurrences {
		for i := range r.Steps {
			delete(b.advice.steps, groupKey{r.ID, k, i})
		}
	}
}

// refusedTicket drops a ticket that a worker has not accepted.
func (b *Scheduler[O, J]) refusedTicket(w *worker, r *run) {
	if a := b.advice.steps[keyOf(r.task)]; a != nil {
		delete(a.opinions, w.id)
	}
}
