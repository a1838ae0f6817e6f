package sched

import (
	"cmp"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Pass decides what to do now. Orders may be sent once the plan's operations
// are committed. Its cost follows what changed since the last one, not the size
// of the fleet.
func (b *Scheduler[O, J]) Pass(now clock.Millis) Plan {
	b.now = max(b.now, now)
	b.expire(now)
	b.release(now)
	b.maintain(now)
	for p := range b.dirty {
		b.passPool(p, now)
	}
	clear(b.dirty)
	b.surge(now)
	b.answer(now)
	plan := b.out
	plan.NextPass = b.wake(now)
	b.out = Plan{}
	return plan
}

// expire ends the runs of workers whose longest lease has ended.
func (b *Scheduler[O, J]) expire(now clock.Millis) {
	for b.leases.Len() > 0 && b.leases.Top().at < now {
		w := b.leases.Pop().w
		if b.workers[w.id] != w {
			continue
		}
		if w.until >= now {
			b.leases.Push(dueLease{at: w.until, w: w})
			continue
		}
		b.lose(w, "the worker's lease ended", now)
		delete(b.pool(w.pool).present, w.id)
		w.beat = nil
		// It is looked at again when it is heard.
		w.expired = true
	}
}

// watch stops tasks that make no progress, so that they start elsewhere.
func (b *Scheduler[O, J]) watch(w *worker, now clock.Millis) {
	for _, r := range w.runs {
		// A filler may stand still because others leave it no processor time.
		if r.step.LongRunning || r.step.BestEffort || r.stopping || !r.listed || r.percent >= 100 {
			continue
		}
		if now-r.moved > b.set.StallMillis+r.step.Estimate/4 {
			b.stop(w, r, "it makes no progress")
			w.weight = max(w.weight, b.judge.Threshold()/2)
			w.aside = max(w.aside, now+b.set.QuarantineMillis)
		}
	}
}

// passPool starts waiting tasks on the present workers of a pool.
func (b *Scheduler[O, J]) passPool(p *pool, now clock.Millis) {
	if len(p.groups) == 0 || len(p.present) == 0 {
		return
	}
	b.arrange(p, now)
	// failed holds the sizes that no present worker had room for.
	var failed []jobs.Resources
	for _, g := range p.groups {
		if len(g.waiting) == 0 || g.rec.Status.Final() {
			continue
		}
		need := counted(g.step)
		if g.step.Gang {
			if b.startGang(p, g, now) {
				continue
			}
			b.ask(p, g, now)
			if b.keepRoom(p, g, now) {
				return
			}
			continue
		}
		if slices.ContainsFunc(failed, func(s jobs.Resources) bool { return s.Fits(need) }) {
			continue
		}
		for len(g.waiting) > 0 {
			n := len(g.waiting) - 1
			t := g.key.task(g.waiting[n])
			w, roomy := b.choose(p, g, t, now)
			if w == nil {
				if !roomy {
					failed = append(failed, need)
				}
				b.ask(p, g, now)
				break
			}
			g.waiting = g.waiting[:n]
			b.start(w, g, t, now)
		}
	}
}

// start assigns a task to a worker; the order is part of the worker's answer.
func (b *Scheduler[O, J]) start(w *worker, g *group, t jobs.TaskID, now clock.Millis) {
	state := g.rec.Task(t)
	r := &run{task: t, number: state.Run + 1, rec: g.rec, step: g.step, started: now, moved: now, saved: state.Checkpoint}
	b.apply(jobs.Op{Kind: jobs.OpAssign, Task: t, Run: r.number, Worker: w.id, Incarnation: w.life}, now)
	b.attach(w, r)
	w.beat.starts = append(w.beat.starts, b.startOf(w, r))
	b.answerBy(w, now)
	b.noteRun(DecisionStarted, r, w, "")
}

// elsewhereMillis is how long a task that failed waits for a worker other than
// the one that it failed on; there may be none.
const elsewhereMillis = clock.Second

// choose picks the worker for a task of a group. roomy tells that a worker had
// room and was passed over for another reason.
func (b *Scheduler[O, J]) choose(p *pool, g *group, t jobs.TaskID, now clock.Millis) (best *worker, roomy bool) {
	need := counted(g.step)
	failed := b.failedOn[t]
	var top score
	for _, w := range p.present {
		if !need.Fits(w.room.Minus(w.used)) {
			continue
		}
		roomy = true
		if (w.id == failed && now-g.since < elsewhereMillis) || !b.may(w, g, now) {
			continue
		}
		if s := b.score(w, g); best == nil || s.better(top) {
			best, top = w, s
		}
	}
	return best, roomy
}

// may reports whether a present worker may run one more task of the group, room
// aside.
func (b *Scheduler[O, J]) may(w *worker, g *group, now clock.Millis) bool {
	return w.beat != nil && b.takes(w, g, now) && b.allowed(w, g, now) && (g.step.MaxPerWorker == 0 || w.count(g.key) < g.step.MaxPerWorker)
}

// takes reports whether a worker takes tasks like those of the group.
func (b *Scheduler[O, J]) takes(w *worker, g *group, now clock.Millis) bool {
	if w.draining || w.held || w.leaving || w.parting || w.aside > now {
		return false
	}
	return w.labelled(g)
}

// labelled reports whether the worker has the label that the group requires.
func (w *worker) labelled(g *group) bool {
	return g.step.RequiredLabel == "" || slices.Contains(w.labels, g.step.RequiredLabel)
}

// count is the number of the group's tasks on the worker.
func (w *worker) count(k groupKey) int {
	n := 0
	for t := range w.runs {
		if keyOf(t) == k {
			n++
		}
	}
	return n
}

// score compares workers that may run a task.
type score struct {
	// near is set on the rack of the data, or of the step's other tasks.
	near bool
	// together weighs what the task is to be kept apart from.
	together int
	// free is the room that is left; a fuller worker is better, so that others
	// run nothing and can be moved or turned off.
	free int
	id   jobs.WorkerID
}

func (s score) better(t score) bool {
	if s.near != t.near {
		return s.near
	}
	return cmp.Or(cmp.Compare(t.together, s.together), cmp.Compare(t.free, s.free), cmp.Compare(t.id, s.id)) > 0
}

func (b *Scheduler[O, J]) score(w *worker, g *group) score {
	s := score{free: w.room.MilliCores - w.used.MilliCores, id: w.id}
	s.near = g.step.DataRack != "" && g.step.DataRack == w.rack
	if g.step.LongRunning {
		s.together = b.together(w, g)
	}
	return s
}

// The weights of what speaks against a worker for a lasting task: a task of the
// same step beside it, a filler beside a serving task, and a worker that runs no
// lasting task yet. The last keeps workers free that can be moved or turned off.
const (
	sameStepWeight = 100
	mixedWeight    = 10
	openWeight     = 5
)

// together weighs the lasting tasks of the step that would be lost with the
// worker or its rack, and the tasks that a filler would disturb.
func (b *Scheduler[O, J]) together(w *worker, g *group) int {
	n := sameStepWeight * w.count(g.key)
	if !w.serves() {
		n += openWeight
	}
	for _, x := range b.pool(w.pool).present {
		if x != w && x.rack == w.rack && w.rack != "" {
			n += x.count(g.key)
		}
	}
	for _, r := range w.runs {
		if r.step.LongRunning && (r.step.BestEffort != g.step.BestEffort) {
			n += mixedWeight
		}
	}
	return n
}

// answer makes the answers to the heartbeats that are due.
func (b *Scheduler[O, J]) answer(now clock.Millis) {
	for b.answers.Len() > 0 && b.answers.Top().at <= now {
		d := b.answers.Pop()
		w := d.w
		if w.beat != d.beat || w.beat.due != d.at {
			continue
		}
		b.out.Orders = append(b.out.Orders, Orders{
			Worker: w.id, Incarnation: w.life, AckUpTo: w.beat.ack, Starts: w.beat.starts, Stops: w.beat.stops, Throttles: w.beat.rates,
			RetryAfter: b.retry(w, now), LeaseGranted: true,
		})
		w.beat = nil
		delete(b.pool(w.pool).present, w.id)
	}
}

// retry is the pause until a worker's next heartbeat: until shortly after the
// next end that is expected, or short for a worker that waits for work.
func (b *Scheduler[O, J]) retry(w *worker, now clock.Millis) clock.Millis {
	end, ok := w.nextEnd(now)
	if !ok {
		return b.set.MinRetryMillis
	}
	most := b.set.MaxRetryMillis
	if b.pool(w.pool).waits() {
		// The room of a task that ends is wanted at once.
		most = 2 * b.set.MinRetryMillis
	}
	return min(max(end-now, b.set.MinRetryMillis), most)
}

// wake is when the next pass is due.
func (b *Scheduler[O, J]) wake(now clock.Millis) clock.Millis {
	at := now + b.set.MaxHoldMillis
	if b.answers.Len() > 0 {
		at = min(at, b.answers.Top().at)
	}
	if b.leases.Len() > 0 {
		at = min(at, b.leases.Top().at+1)
	}
	if b.later.Len() > 0 {
		at = min(at, b.later.Top().due)
	}
	if b.fleet.next > now {
		at = min(at, b.fleet.next)
	}
	if t, ok := b.maintenanceDue(now); ok {
		at = min(at, t)
	}
	return max(at, now+1)
}

func sortedTasks(m map[jobs.TaskID]*run) []jobs.TaskID {
	return slices.SortedFunc(maps.Keys(m), func(a, b jobs.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
			cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}
