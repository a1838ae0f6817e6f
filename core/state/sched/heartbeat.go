package sched

import (
	"slices"
	"strings"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// Heartbeat takes a heartbeat, which waits for its answer in a later plan. It
// reports false for one that is late: of an earlier life of its worker or
// machine, or from before one that was taken already.
func (b *Scheduler[O, J]) Heartbeat(h Heartbeat, now clock.Millis) bool {
	b.now = max(b.now, now)
	w := b.workers[h.Worker]
	if w != nil && (h.Incarnation < w.life || (h.Incarnation == w.life && w.known && h.Seq <= w.seq)) {
		return false
	}
	if m := b.machines[h.Machine]; m != nil && m.id != h.Worker && h.Incarnation < m.life {
		return false
	}
	if h.Incarnation <= b.ended[h.Worker] {
		return false
	}
	if w != nil && h.Incarnation > w.life {
		b.remove(w, "a new life of the worker began", now)
		w = nil
	}
	if w == nil {
		w = &worker{id: h.Worker, life: h.Incarnation, runs: map[jobs.TaskID]*run{}, until: h.ReceivedAt + b.longest(), pace: pace{percent: fullPace}}
		b.workers[h.Worker] = w
		b.leases.Push(dueLease{at: w.until, w: w})
	}
	b.settle(w, h, now)
	ack := b.ends(w, h, now)
	b.listed(w, h, now)
	b.arrived(w)
	w.beat = &waiting{ack: ack, pressed: len(h.Ends) > 0}
	w.until = max(w.until, h.ReceivedAt+b.longest())
	if w.expired {
		w.expired = false
		b.leases.Push(dueLease{at: w.until, w: w})
	}
	b.answerRuns(w, now)
	b.watch(w, now)
	b.setPace(w, now)
	if !w.draining {
		p := b.pool(w.pool)
		p.present[w.id] = w
		b.dirty[p] = true
	}
	b.answerBy(w, b.holdUntil(w, now))
	return true
}

// answerBy sets the time at which a worker's heartbeat has to be answered.
func (b *Scheduler[O, J]) answerBy(w *worker, at clock.Millis) {
	if w.beat == nil || (w.beat.set && w.beat.due <= at) {
		return
	}
	w.beat.due, w.beat.set = at, true
	b.answers.Push(dueBeat{at: at, beat: w.beat, w: w})
}

// settle brings what the worker says of itself up to date.
func (b *Scheduler[O, J]) settle(w *worker, h Heartbeat, now clock.Millis) {
	if m := b.machines[h.Machine]; m != nil && m != w {
		b.remove(m, "another worker runs on its machine", now)
	}
	if w.pool != h.Pool && w.pool != "" {
		delete(b.pool(w.pool).present, w.id)
	}
	w.machine, w.pool, w.zone, w.labels = h.Machine, h.Pool, h.Zone, h.Labels
	w.rack = rackOf(h.Labels)
	w.seq, w.room, w.known = h.Seq, h.Capacity, true
	if h.Machine != "" {
		b.machines[h.Machine] = w
	}
	if h.Draining && !w.draining {
		w.draining = true
		delete(b.pool(w.pool).present, w.id)
	}
}

// rackOf is the label of a worker that names its rack: the last of its labels
// that contains a hyphen.
func rackOf(labels []string) string {
	for i := len(labels) - 1; i >= 0; i-- {
		if strings.Contains(labels[i], "-") {
			return labels[i]
		}
	}
	return ""
}

// ends takes the ends that the worker lists and returns the number of the
// last.
func (b *Scheduler[O, J]) ends(w *worker, h Heartbeat, now clock.Millis) int64 {
	ack := int64(0)
	for _, e := range h.Ends {
		ack = max(ack, e.Number)
		r := w.runs[e.Task]
		if r == nil || r.number != e.Run {
			continue
		}
		b.end(w, r, e.Result, e.Checkpoint, now)
	}
	return ack
}

// end notes the end of a run and queues what may follow it.
func (b *Scheduler[O, J]) end(w *worker, r *run, how jobs.Result, saved string, now clock.Millis) {
	if saved == "" {
		saved = r.saved
	}
	b.detach(w, r)
	rec := r.rec
	before := rec.Status
	current := r.current()
	b.apply(jobs.Op{Kind: jobs.OpEnd, Task: r.task, Run: r.number, Worker: w.id, Result: how, Checkpoint: saved}, now)
	if how != jobs.ResultDone {
		reason := how.String()
		if r.why != "" {
			reason += ": " + r.why
		}
		b.noteRun(DecisionEnded, r, w, reason)
	}
	if how == jobs.ResultDone || how == jobs.ResultFailed {
		b.judgeWorker(w, r, how == jobs.ResultFailed, now)
	}
	if how == jobs.ResultRefused {
		b.refusedTicket(w, r)
	}
	delete(b.failedOn, r.task)
	if how == jobs.ResultFailed && !rec.Status.Final() {
		b.failedOn[r.task] = w.id
	}
	switch {
	case rec.Status.Final():
		if !before.Final() {
			b.noteEnd(rec, now)
			b.stopJob(rec)
		}
	case !current:
	case how == jobs.ResultDone && !r.step.LongRunning:
		b.follow(rec, r.task, now)
	default:
		b.queue(rec, r.task, now)
		b.breakGang(rec, r.task)
	}
}

// follow queues the steps that waited for the step of a task that is done.
func (b *Scheduler[O, J]) follow(r *jobs.Record, t jobs.TaskID, now clock.Millis) {
	st := &r.Occurrences[t.Occurrence].Steps[t.Step]
	if st.DoneTasks < len(st.Tasks) {
		return
	}
	for i := range r.Steps {
		if !slices.Contains(r.Steps[i].DependsOn, t.Step) || !r.Ready(t.Occurrence, i) {
			continue
		}
		for n := r.Steps[i].TaskCount - 1; n >= 0; n-- {
			b.queue(r, jobs.TaskID{Job: t.Job, Occurrence: t.Occurrence, Step: i, Index: n}, now)
		}
	}
}

// listed compares the runs that the worker lists with those assigned to it.
func (b *Scheduler[O, J]) listed(w *worker, h Heartbeat, now clock.Millis) {
	for _, r := range w.runs {
		r.listed = false
	}
	b.dropStrays(w)
	for _, x := range h.Running {
		r := w.runs[x.Task]
		if r == nil || r.number != x.Run {
			b.addStray(w, x)
			continue
		}
		r.listed, r.load = true, x.Load
		if x.Percent != r.percent || r.moved == 0 {
			r.moved = now
		}
		r.percent = x.Percent
		if x.Checkpoint != "" {
			r.saved = x.Checkpoint
		}
	}
}

func (b *Scheduler[O, J]) dropStrays(w *worker) {
	for _, s := range w.strays {
		w.used = w.used.Minus(s.need)
	}
	w.strays = nil
}

// addStray counts a run that is not assigned to the worker: it takes room
// until it has ended.
func (b *Scheduler[O, J]) addStray(w *worker, x RunStatus) {
	s := stray{run: x.Run}
	if r := b.State.Jobs[x.Task.Job]; r != nil && x.Task.Step >= 0 && x.Task.Step < len(r.Steps) {
		s.need = counted(&r.Steps[x.Task.Step])
	}
	if w.strays == nil {
		w.strays = map[jobs.TaskID]stray{}
	}
	w.strays[x.Task] = s
	w.used = w.used.Plus(s.need)
}

// answerRuns repeats the orders that the heartbeat shows not to have arrived.
// A heartbeat that does not list a run was sent after the answer that ordered
// it was taken or dropped, so the run does not start by that answer any more.
func (b *Scheduler[O, J]) answerRuns(w *worker, now clock.Millis) {
	for t, s := range w.strays {
		w.beat.stops = append(w.beat.stops, Stop{Task: t, Run: s.run})
	}
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		switch {
		case r.listed && (r.stopping || !r.current()):
			w.beat.stops = append(w.beat.stops, Stop{Task: id, Run: r.number})
		case !r.listed && (r.stopping || !r.current() || w.draining):
			b.end(w, r, jobs.ResultLost, "", now)
		case !r.listed:
			w.beat.starts = append(w.beat.starts, b.startOf(w, r))
		case w.draining:
			b.leave(w, r, now)
		}
	}
}

// current reports whether the job still needs the run: it is not over, and no
// good end of another task of a gang stands for this one.
func (r *run) current() bool {
	t := r.rec.Task(r.task)
	return !r.rec.Status.Final() && t.Phase == jobs.PhaseAssigned && t.Run == r.number
}

// leave stops a lasting task on a worker that drains, so that it works
// elsewhere before the worker ends.
func (b *Scheduler[O, J]) leave(w *worker, r *run, now clock.Millis) {
	if r.step.LongRunning && !r.stopping {
		b.stop(w, r, "its worker drains")
	}
}

func (b *Scheduler[O, J]) startOf(w *worker, r *run) Start {
	ticket, _ := b.ticket(w, keyOf(r.task), b.now)
	return Start{Task: r.task, Run: r.number, Spec: r.rec.Spec, Checkpoint: r.rec.Task(r.task).Checkpoint, Ticket: ticket}
}

// stop orders the end of a run with the next answer to its worker.
func (b *Scheduler[O, J]) stop(w *worker, r *run, why string) {
	if r.stopping {
		return
	}
	r.stopping, r.why = true, why
	b.noteRun(DecisionStopped, r, w, why)
	if w.beat != nil {
		b.answerBy(w, b.now)
		w.beat.stops = append(w.beat.stops, Stop{Task: r.task, Run: r.number})
		w.beat.starts = slices.DeleteFunc(w.beat.starts, func(s Start) bool { return s.Task == r.task })
	}
}

// RemoveWorker takes a worker that ended by itself off the board.
func (b *Scheduler[O, J]) RemoveWorker(id jobs.WorkerID, life jobs.Incarnation, now clock.Millis) {
	if w := b.workers[id]; w != nil && (life == 0 || life == w.life) {
		b.remove(w, "the worker left", now)
	}
}

// remove takes a life of a worker off the board that certainly runs nothing
// any more; its tasks may start elsewhere.
func (b *Scheduler[O, J]) remove(w *worker, why string, now clock.Millis) {
	b.lose(w, why, now)
	b.ended[w.id] = max(b.ended[w.id], w.life)
	delete(b.pool(w.pool).present, w.id)
	if b.workers[w.id] == w {
		delete(b.workers, w.id)
	}
	if b.machines[w.machine] == w {
		delete(b.machines, w.machine)
	}
}

// lose ends all runs of a worker.
func (b *Scheduler[O, J]) lose(w *worker, why string, now clock.Millis) {
	for _, id := range sortedTasks(w.runs) {
		r := w.runs[id]
		r.why = why
		b.end(w, r, jobs.ResultLost, "", now)
	}
	b.dropStrays(w)
}

// judgeWorker weighs the end of a run against its worker, next to how the
// queue's tasks fare on other workers. Several failures of one job count once:
// a job that can never be done fails wherever it runs.
func (b *Scheduler[O, J]) judgeWorker(w *worker, r *run, failed bool, now clock.Millis) {
	p := b.pool(w.pool)
	rec := p.records[r.rec.Queue]
	if rec == nil {
		rec = place.NewClassHistory()
		p.records[r.rec.Queue] = rec
	}
	if failed && w.lastFailed == r.task.Job {
		return
	}
	id := place.WorkerID(w.id)
	w.weight = max(0, w.weight+b.judge.Score(rec.Evidence(id, failed)))
	rec.Add(id, failed)
	if !failed {
		w.streak = 0
		return
	}
	w.streak++
	w.lastFailed = r.task.Job
	if w.weight >= b.judge.Threshold() && w.streak >= leastStreak && w.aside <= now {
		w.aside = now + b.set.QuarantineMillis
		w.weight = b.judge.Threshold() / 2
		b.noteRun(DecisionQuarantined, r, w, "it fails what its peers run")
	}
}

// leastStreak is the number of jobs in a row that fail on a worker before it
// is set aside.
const leastStreak = 2

// holdUntil is when a heartbeat has to be answered. A worker whose task may
// end soon is answered at once, because it reports the end only after the
// answer.
func (b *Scheduler[O, J]) holdUntil(w *worker, now clock.Millis) clock.Millis {
	if w.beat.pressed || len(w.beat.starts) > 0 || len(w.beat.stops) > 0 {
		return now
	}
	hold := b.set.MaxHoldMillis
	if worst, fillers := w.tails(); fillers > 0 && worst > fastPermille {
		hold = min(hold, paceMillis)
	}
	if end, ok := w.nextEnd(now); ok {
		hold = min(hold, end-now-2*b.set.MinRetryMillis)
	}
	if hold < 2*b.set.MinRetryMillis {
		return now
	}
	return now + hold
}

// nextEnd predicts when the next task of the worker ends, from its progress or
// else its estimate.
func (w *worker) nextEnd(now clock.Millis) (at clock.Millis, ok bool) {
	for _, r := range w.runs {
		if r.step.LongRunning {
			continue
		}
		e := now
		if r.percent > 0 && r.percent < 100 {
			e = now + (now-r.started)*clock.Millis(100-r.percent)/clock.Millis(r.percent)
		} else if left := r.started + r.step.Estimate*3/4 - now; left > 0 {
			e = now + left
		}
		if !ok || e < at {
			at, ok = e, true
		}
	}
	return at, ok
}
