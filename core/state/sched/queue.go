package sched

import (
	"cmp"
	"iter"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
)

// Rank places waiting work; smaller comes first.
type Rank struct {
	// Class separates kinds of work that never overtake each other.
	Class int
	Key   clock.Millis
	// Seq breaks ties by acceptance.
	Seq uint64
}

// RankPolicy is the policy that says which waiting work goes first.
type RankPolicy interface {
	Rank(r *jobs.Record, occurrence int, now clock.Millis) Rank
}

// The classes of waiting work.
const (
	classLasting = iota
	classOnTime
	classLate
)

// Deadline is the latest time at which a job is on time.
func Deadline(r *jobs.Record, occurrence int) clock.Millis {
	from := max(r.AcceptedAt, r.Due(occurrence))
	return from + r.Target + r.CriticalPath()*clock.Millis(r.StretchPermille)/1000
}

// EarliestDeadline is for loads that exceed the workers for some seconds and
// fall below them afterwards: work is done in the order of objectives, and
// work that will miss its own comes after all that can still meet its. Without
// the latter every job of a surge would be started just too late.
type EarliestDeadline struct{}

// Rank orders by objective.
func (EarliestDeadline) Rank(r *jobs.Record, occurrence int, now clock.Millis) Rank {
	k := Rank{Class: classOnTime, Key: Deadline(r, occurrence), Seq: r.Seq}
	switch {
	case lasting(&r.Job):
		k.Class, k.Key = classLasting, clock.Millis(r.Priority)
	case k.Key < now+remaining(r, occurrence):
		k.Class = classLate
	}
	return k
}

// remaining is the length of the longest chain of steps that are not done.
func remaining(r *jobs.Record, occurrence int) clock.Millis {
	var longest clock.Millis
	var buf [16]clock.Millis
	ends := buf[:0]
	o := &r.Occurrences[occurrence]
	for i := range r.Steps {
		var end clock.Millis
		for _, before := range r.Steps[i].DependsOn {
			end = max(end, ends[before])
		}
		if o.Steps[i].DoneTasks < len(o.Steps[i].Tasks) {
			end += r.Steps[i].Estimate
		}
		ends = append(ends, end)
		longest = max(longest, end)
	}
	return longest
}

// FIFO is the baseline: work is done in the order of acceptance.
type FIFO struct{}

// Rank orders by acceptance.
func (FIFO) Rank(r *jobs.Record, _ int, _ clock.Millis) Rank { return Rank{Seq: r.Seq} }

func lasting(j *jobs.Job) bool {
	return slices.ContainsFunc(j.Steps, func(s jobs.Step) bool { return s.LongRunning })
}

// pool is the waiting work and the present workers of one pool.
type pool struct {
	// groups holds the steps with waiting tasks; sorted is false after an
	// addition.
	groups []*group
	sorted bool
	// ranked is when the ranks were last brought up to date.
	ranked clock.Millis
	index  map[groupKey]*group
	// present holds the workers whose heartbeat waits for an answer.
	present map[jobs.WorkerID]*worker
	// arrived is the work that was handed in since the last look at the load, in
	// thousandths of a processor times milliseconds, and rate what arrives, in
	// thousandths of a processor, averaged over about half a second.
	arrived clock.Millis
	rate    float64
	// records is how tasks of the pool fared on its workers, by queue.
	records map[jobs.QueueName]*place.ClassHistory
}

type groupKey struct {
	job        jobs.ID
	occurrence int
	step       int
}

// keyOf returns the step of a task.
func keyOf(t jobs.TaskID) groupKey { return groupKey{t.Job, t.Occurrence, t.Step} }

// task returns a task of the step.
func (k groupKey) task(index int) jobs.TaskID {
	return jobs.TaskID{Job: k.job, Occurrence: k.occurrence, Step: k.step, Index: index}
}

// group is the waiting tasks of one step.
type group struct {
	key  groupKey
	rec  *jobs.Record
	step *jobs.Step
	// waiting holds the indexes of tasks, the next one last; since is when the
	// group began to wait.
	waiting []int
	since   clock.Millis
	rank    Rank
}

// later is an occurrence that is not due yet.
type later struct {
	due        clock.Millis
	job        jobs.ID
	occurrence int
}

// Before orders by time, then by name.
func (l later) Before(m later) bool {
	return cmp.Or(cmp.Compare(l.due, m.due), cmp.Compare(l.job, m.job), cmp.Compare(l.occurrence, m.occurrence)) < 0
}

// heard yields the workers of a pool that were heard lately.
func (b *Scheduler[O, J]) heard(p *pool, now clock.Millis) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, w := range b.workers {
			if b.pools[w.pool] == p && w.known && w.until >= now && !yield(w) {
				return
			}
		}
	}
}

func (b *Scheduler[O, J]) pool(name jobs.PoolName) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{
			index: map[groupKey]*group{}, present: map[jobs.WorkerID]*worker{}, records: map[jobs.QueueName]*place.ClassHistory{},
		}
		b.pools[name] = p
	}
	return p
}

// enter queues the tasks of a job that may start.
func (b *Scheduler[O, J]) enter(r *jobs.Record, now clock.Millis) {
	if r.Status.Final() {
		return
	}
	for k := range r.Occurrences {
		if due := r.Due(k); due > now {
			b.later.Push(later{due: due, job: r.ID, occurrence: k})
			continue
		}
		b.enterOccurrence(r, k, now)
	}
}

func (b *Scheduler[O, J]) enterOccurrence(r *jobs.Record, k int, now clock.Millis) {
	p := b.pool(b.poolOf(r))
	for i := range r.Steps {
		p.arrived += ending(&r.Steps[i], r.Steps[i].TaskCount, r.Steps[i].Estimate)
	}
	for i := range r.Steps {
		if !r.Ready(k, i) {
			continue
		}
		tasks := r.Occurrences[k].Steps[i].Tasks
		for n := len(tasks) - 1; n >= 0; n-- {
			if tasks[n].Phase == jobs.PhaseWaiting {
				b.queue(r, jobs.TaskID{Job: r.ID, Occurrence: k, Step: i, Index: n}, now)
			}
		}
	}
}

// queue adds a waiting task.
func (b *Scheduler[O, J]) queue(r *jobs.Record, t jobs.TaskID, now clock.Millis) {
	if r.Status.Final() {
		return
	}
	p := b.pool(b.poolOf(r))
	key := keyOf(t)
	g := p.index[key]
	if g != nil && len(g.waiting) == 0 {
		g.since = now
	}
	if g == nil {
		g = &group{key: key, rec: r, step: &r.Steps[t.Step], rank: b.order.Rank(r, t.Occurrence, now), since: now}
		p.index[key] = g
		p.groups = append(p.groups, g)
		p.sorted = false
	}
	g.waiting = append(g.waiting, t.Index)
	b.dirty[p] = true
}

// regroup moves waiting work to the pools that the configuration names now.
func (b *Scheduler[O, J]) regroup() {
	for name, p := range b.pools {
		kept := p.groups[:0]
		for _, g := range p.groups {
			to := b.poolOf(g.rec)
			if to == name {
				kept = append(kept, g)
				continue
			}
			delete(p.index, g.key)
			q := b.pool(to)
			q.groups, q.sorted = append(q.groups, g), false
			q.index[g.key] = g
			b.dirty[q] = true
		}
		p.groups = kept
	}
}

// rankPeriod bounds how old the ranks of waiting work may be. A rank changes
// when work becomes late, which is a matter of seconds.
const rankPeriod clock.Millis = 100

// arrange sorts the groups by rank and drops those without waiting tasks.
func (b *Scheduler[O, J]) arrange(p *pool, now clock.Millis) {
	fresh := now-p.ranked >= rankPeriod
	if !fresh && p.sorted {
		return
	}
	kept := p.groups[:0]
	for _, g := range p.groups {
		if len(g.waiting) == 0 || g.rec.Status.Final() {
			delete(p.index, g.key)
			continue
		}
		if fresh {
			g.rank = b.order.Rank(g.rec, g.key.occurrence, now)
		}
		kept = append(kept, g)
	}
	clear(p.groups[len(kept):])
	p.groups, p.sorted = kept, true
	if fresh {
		p.ranked = now
	}
	slices.SortFunc(p.groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.rank.Class, b.rank.Class), cmp.Compare(a.rank.Key, b.rank.Key),
			cmp.Compare(a.rank.Seq, b.rank.Seq), cmp.Compare(a.key.step, b.key.step))
	})
}

// release queues the occurrences that have fallen due.
func (b *Scheduler[O, J]) release(now clock.Millis) {
	for b.later.Len() > 0 && b.later.Top().due <= now {
		l := b.later.Pop()
		if r := b.State.Jobs[l.job]; r != nil && !r.Status.Final() {
			b.enterOccurrence(r, l.occurrence, now)
		}
	}
}
