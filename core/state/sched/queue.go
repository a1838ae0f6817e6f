package sched

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/heap"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/order"
	"camphorridge/core/state/place"
)

// Rank is the position of waiting work; a smaller rank is placed first.
type Rank struct {
	// Class takes precedence over Key and Seq.
	Class int
	// Key orders the work of a class, for example by its deadline.
	Key clock.Millis
	// Seq breaks ties by the order of acceptance.
	Seq uint64
	// Until is the time from which the rank may be different; 0 for never.
	Until clock.Millis
}

// samePosition reports whether work of both ranks is placed at the same point.
func (r Rank) samePosition(o Rank) bool {
	return r.Class == o.Class && r.Key == o.Key && r.Seq == o.Seq
}

// RankPolicy decides which waiting work is placed first.
type RankPolicy interface {
	Rank(rec *jobs.Record, occurrence int, now clock.Millis) Rank
}

// The classes of waiting work in EarliestDeadline, in the order in which they
// are placed.
const (
	classLongRunning = iota
	classOnTime
	classLate
	// classExcess and classLateExcess hold the finite work of jobs beyond their
	// customers' rates that can meet its deadline, and that cannot.
	classExcess
	classLateExcess
)

// lateRankMillis is how long the rank of late work is kept. It can be on time again
// only when another step of its job has ended sooner than estimated.
const lateRankMillis clock.Millis = 500

// Deadline returns the latest time at which an occurrence of a job counts as on
// time.
func Deadline(rec *jobs.Record, occurrence int) clock.Millis {
	from := max(rec.AcceptedAt, rec.DueAt(occurrence))
	return from + rec.Target + rec.CriticalPath()*clock.Millis(rec.StretchPermille)/1000
}

// EarliestDeadline places work in the order of deadlines, but work that will
// miss its deadline after all work that can still meet it. It is meant for a
// load that exceeds the capacity of the workers for some seconds and is below
// it afterwards. In the order of deadlines alone, every job of such a peak
// would start just too late.
type EarliestDeadline struct{}

// Rank ranks jobs with long-running tasks first, by priority, then work that
// can meet its deadline, and last work that cannot, both by deadline.
func (EarliestDeadline) Rank(rec *jobs.Record, occurrence int, now clock.Millis) Rank {
	rank := Rank{Class: classOnTime, Key: Deadline(rec, occurrence), Seq: rec.Seq}
	if hasLongRunningStep(&rec.Job) {
		rank.Class, rank.Key = classLongRunning, clock.Millis(rec.Priority)
		return rank
	}
	latestStart := rank.Key - remainingPath(rec, occurrence)
	rank.Until = latestStart + 1
	if latestStart < now {
		rank.Class, rank.Until = classLate, now+lateRankMillis
	}
	return rank
}

// remainingPath returns the length of the longest chain of dependent steps that
// are not done, by their estimates.
func remainingPath(rec *jobs.Record, occurrence int) clock.Millis {
	var longest clock.Millis
	var buf [16]clock.Millis
	ends := buf[:0]
	o := &rec.Occurrences[occurrence]
	for i := range rec.Steps {
		var end clock.Millis
		for _, dependency := range rec.Steps[i].DependsOn {
			end = max(end, ends[dependency])
		}
		if o.Steps[i].DoneTasks < len(o.Steps[i].Tasks) {
			end += rec.Steps[i].Estimate
		}
		ends = append(ends, end)
		longest = max(longest, end)
	}
	return longest
}

// FIFO places work in the order of acceptance. It is the baseline for
// comparisons.
type FIFO struct{}

// Rank ranks work by the order of acceptance.
func (FIFO) Rank(rec *jobs.Record, _ int, _ clock.Millis) Rank { return Rank{Seq: rec.Seq} }

func hasLongRunningStep(j *jobs.Job) bool {
	return slices.ContainsFunc(j.Steps, func(s jobs.Step) bool { return s.LongRunning })
}

// pool is the waiting work and the available workers of one pool.
type pool struct {
	name jobs.PoolName
	// workers holds the workers of the pool that have sent a heartbeat in this term.
	workers map[jobs.WorkerID]*worker
	// groups holds the groups of waiting tasks by rank, without those in the blocked
	// groups of a customer. A group that has none left, whose job has ended or that
	// waits for its quota stays until placePool or refreshRanks comes to it.
	// groupByStep holds the blocked groups too.
	groups order.List[*taskGroup, groupNeeds]
	// shares orders the groups of finite tasks by the shares of their customers. It
	// is empty if no customer has a weight.
	shares      shareOrder
	groupByStep map[stepKey]*taskGroup
	// rankEnds orders the groups by the end of their rank's validity. An entry is
	// skipped if the group has left the pool or got another rank.
	rankEnds heap.Heap[rankEnd]
	// available holds the workers that are not draining and have a heartbeat
	// without a reply. Tasks can be assigned only to these.
	available map[jobs.WorkerID]*worker
	// reserved holds what the workers reserve for the waiting long-running tasks
	// that rank before the group being placed. Each pass computes it anew.
	reserved map[*worker]jobs.Resources
	// promised holds what the tasks for which resources are reserved will hold of the
	// quotas. heldByGang is set if the latest placement left all free resources to a
	// gang. Each pass computes them anew.
	promised   map[*customer]jobs.Resources
	heldByGang bool
	// newMilliCoreMillis is the work that has arrived since the last update of
	// arrivalRate. Its unit is milli-cores times milliseconds, although its type
	// is clock.Millis.
	newMilliCoreMillis clock.Millis
	// newByCustomer is the part of newMilliCoreMillis of each customer with a quota of
	// processors.
	newByCustomer map[*customer]clock.Millis
	// arrivalRate is the moving average of the work that arrives per
	// millisecond, in milli-cores, over about half a second.
	arrivalRate float64
	// mostlyIdle caches isMostlyIdle at the time idleCheckedAt.
	mostlyIdle    bool
	idleCheckedAt clock.Millis
	// history records the results of the pool's workers, by queue.
	history map[jobs.QueueName]*place.ClassHistory
}

// stepKey identifies a step of one occurrence of a job.
type stepKey struct {
	job        jobs.ID
	occurrence int
	step       int
}

// stepKeyOf returns the key of the step that a task belongs to.
func stepKeyOf(t jobs.TaskID) stepKey { return stepKey{t.Job, t.Occurrence, t.Step} }

// taskID returns the ID of a task of the step.
func (k stepKey) taskID(index int) jobs.TaskID {
	return jobs.TaskID{Job: k.job, Occurrence: k.occurrence, Step: k.step, Index: index}
}

// taskGroup holds the waiting tasks of one step of an occurrence.
type taskGroup struct {
	key  stepKey
	rec  *jobs.Record
	step *jobs.Step
	// waiting holds the indexes of the waiting tasks; the last one starts
	// first. waitingSince is when the first task was added to the empty group.
	waiting      []int
	waitingSince clock.Millis
	// awaySince is when a waiting task may have stopped running; it is earlier than
	// waitingSince if the lease of the task's worker has ended.
	awaySince clock.Millis
	rank      Rank
	// rankEndAt is the time of the group's latest entry in rankEnds; 0 for none.
	rankEndAt clock.Millis
	// reserved is what each task reserves on its worker, and need what must fit in the
	// quota of customer for a start; see quotaNeed.
	reserved jobs.Resources
	need     jobs.Resources
	customer *customer
	// blocked is set while the group is in the blocked groups of customer and not in
	// the ranked list of its pool.
	blocked bool
	hosts   groupHosts
	// flow holds the group in the pool's order by shares; nil if it is not in it.
	flow *flow
}

// newGroup returns a group without tasks.
func (s *Scheduler[P, H]) newGroup(rec *jobs.Record, key stepKey, now clock.Millis) *taskGroup {
	step := &rec.Steps[key.step]
	return &taskGroup{
		key: key, rec: rec, step: step, reserved: reservation(step), need: quotaNeed(step), customer: s.customer(rec.Customer), waitingSince: now, awaySince: now,
	}
}

// Before orders groups by class, key, turn and the order of acceptance, then by
// occurrence and step.
func (g *taskGroup) Before(other *taskGroup) bool {
	return cmp.Or(cmp.Compare(g.rank.Class, other.rank.Class), cmp.Compare(g.rank.Key, other.rank.Key), cmp.Compare(g.turn(), other.turn()),
		cmp.Compare(g.rank.Seq, other.rank.Seq), cmp.Compare(g.key.step, other.key.step), cmp.Compare(g.key.occurrence, other.key.occurrence)) < 0
}

// Summary returns the needs of the group.
func (g *taskGroup) Summary() groupNeeds {
	return groupNeeds{smallest: g.reserved, special: g.step.LongRunning || g.step.Gang}
}

// live reports whether tasks of the group wait for a worker.
func (g *taskGroup) live() bool { return len(g.waiting) > 0 && !g.rec.Status.Final() }

// groupNeeds says what the tasks of some groups need at least. Most passes find little
// free room, and skip the groups that need more.
type groupNeeds struct {
	// smallest holds for each resource the least that a task of any group reserves.
	smallest jobs.Resources
	// special is set if a group is of long-running tasks or a gang: it may reserve
	// resources even if it does not fit.
	special bool
}

// Merge returns the needs of the groups of both.
func (n groupNeeds) Merge(o groupNeeds) groupNeeds {
	return groupNeeds{smallest: minResources(n.smallest, o.smallest), special: n.special || o.special}
}

// maxResources returns the larger amount of each resource.
func maxResources(x, y jobs.Resources) jobs.Resources {
	return jobs.Resources{
		MilliCores: max(x.MilliCores, y.MilliCores), MemoryMiB: max(x.MemoryMiB, y.MemoryMiB), Accelerators: max(x.Accelerators, y.Accelerators),
	}
}

// minResources returns the smaller amount of each resource.
func minResources(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// rankEnd is the time at which the rank of a group must be computed again.
type rankEnd struct {
	at clock.Millis
	g  *taskGroup
}

// Before orders by time, then by the order of acceptance, step and occurrence. The rank
// of a group may change while an entry for it is in the heap.
func (e rankEnd) Before(other rankEnd) bool {
	return cmp.Or(cmp.Compare(e.at, other.at), cmp.Compare(e.g.rec.Seq, other.g.rec.Seq), cmp.Compare(e.g.key.step, other.g.key.step),
		cmp.Compare(e.g.key.occurrence, other.g.key.occurrence)) < 0
}

// scheduledOccurrence is an occurrence that is not due yet.
type scheduledOccurrence struct {
	dueAt      clock.Millis
	job        jobs.ID
	occurrence int
}

// Before orders by due time, then job and occurrence.
func (o scheduledOccurrence) Before(other scheduledOccurrence) bool {
	return cmp.Or(cmp.Compare(o.dueAt, other.dueAt), cmp.Compare(o.job, other.job), cmp.Compare(o.occurrence, other.occurrence)) < 0
}

// liveWorkers iterates over the workers of a pool that have sent a heartbeat in
// this term and whose lease has not expired.
func (s *Scheduler[P, H]) liveWorkers(p *pool, now clock.Millis) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, w := range p.workers {
			if w.leaseUntil >= now && !yield(w) {
				return
			}
		}
	}
}

// pool returns the pool with the given name and adds it if it is new.
func (s *Scheduler[P, H]) pool(name jobs.PoolName) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{
			name: name, newByCustomer: map[*customer]clock.Millis{},
			workers: map[jobs.WorkerID]*worker{}, groupByStep: map[stepKey]*taskGroup{}, available: map[jobs.WorkerID]*worker{},
			history: map[jobs.QueueName]*place.ClassHistory{},
		}
		s.pools[name] = p
	}
	return p
}

// queueJob queues the tasks of a job that may start now, and schedules the
// occurrences that are due later than queuedUntil.
func (s *Scheduler[P, H]) queueJob(rec *jobs.Record, now clock.Millis) {
	if rec.Status.Final() {
		return
	}
	for occurrence := range rec.Occurrences {
		if due := rec.DueAt(occurrence); due > s.queuedUntil {
			s.scheduled.Push(scheduledOccurrence{dueAt: due, job: rec.ID, occurrence: occurrence})
			continue
		}
		s.queueOccurrence(rec, occurrence, now)
	}
}

// queueOccurrence queues the waiting tasks in those steps of an occurrence whose
// dependencies are done. It also counts the work of all steps of the occurrence
// as newly arrived in the pool.
func (s *Scheduler[P, H]) queueOccurrence(rec *jobs.Record, occurrence int, now clock.Millis) {
	p := s.pool(s.poolOf(rec))
	s.countArrival(p, rec)
	for step := range rec.Steps {
		if !rec.Ready(occurrence, step) {
			continue
		}
		tasks := rec.Occurrences[occurrence].Steps[step].Tasks
		for index := len(tasks) - 1; index >= 0; index-- {
			if tasks[index].Phase == jobs.PhaseWaiting {
				s.queueTask(rec, jobs.TaskID{Job: rec.ID, Occurrence: occurrence, Step: step, Index: index}, now)
			}
		}
	}
}

// queueTask adds a waiting task to its pool. It does nothing while the
// occurrence is in scheduled: a leader whose clock is ahead may have started its
// tasks in an earlier term, and those that wait are queued when it is due.
func (s *Scheduler[P, H]) queueTask(rec *jobs.Record, t jobs.TaskID, now clock.Millis) {
	if rec.Status.Final() || rec.DueAt(t.Occurrence) > s.queuedUntil {
		return
	}
	p := s.pool(s.poolOf(rec))
	key := stepKeyOf(t)
	g := p.groupByStep[key]
	if g != nil && len(g.waiting) == 0 {
		p.removeGroup(g)
		g = nil
	}
	if g == nil {
		g = s.newGroup(rec, key, now)
		s.addGroup(p, g, now)
	}
	if g.step.LongRunning && rec.Task(t).Run > 0 {
		// The tasks that have waited for longer start first: with too few workers
		// for all, the others would take turns and never let them start.
		g.waiting = slices.Insert(g.waiting, 0, t.Index)
	} else {
		g.waiting = append(g.waiting, t.Index)
	}
	s.dirtyPools[p] = true
}

// addGroup adds a group to a pool with its present rank, or to the blocked groups of its
// customer.
func (s *Scheduler[P, H]) addGroup(p *pool, g *taskGroup, now clock.Millis) {
	g.rank = s.rank(g.rec, g.key.occurrence, now)
	p.groupByStep[g.key] = g
	if !g.withinQuota() {
		s.insertBlocked(p, g, now)
		return
	}
	p.groups.Insert(g)
	if s.shares.enabled() && g.rank.Class >= classOnTime {
		p.shares.add(g, &s.shares, now)
	}
	if g.rank.Until > 0 && g.rank.Until != g.rankEndAt {
		g.rankEndAt = g.rank.Until
		p.rankEnds.Push(rankEnd{at: g.rank.Until, g: g})
	}
}

// removeGroup removes a group from the pool.
func (p *pool) removeGroup(g *taskGroup) {
	if g.blocked {
		p.removeBlocked(g)
	} else {
		p.groups.Remove(g)
		p.shares.remove(g)
	}
	delete(p.groupByStep, g.key)
}

// reassignPools moves waiting work to the pools that the current configuration
// assigns to its queues.
func (s *Scheduler[P, H]) reassignPools(now clock.Millis) {
	for name, p := range s.pools {
		for _, g := range slices.Collect(maps.Values(p.groupByStep)) {
			if to := s.poolOf(g.rec); to != name {
				q := s.pool(to)
				p.removeGroup(g)
				if !g.live() {
					continue
				}
				g.rankEndAt = 0
				s.addGroup(q, g, now)
				s.dirtyPools[q] = true
			}
		}
	}
}

// refreshRanks computes the ranks whose validity has ended again, and removes the
// groups that are no longer live.
func (s *Scheduler[P, H]) refreshRanks(p *pool, now clock.Millis) {
	for p.rankEnds.Len() > 0 && p.rankEnds.Top().at <= now {
		e := p.rankEnds.Pop()
		if p.groupByStep[e.g.key] != e.g {
			continue
		}
		if e.g.rankEndAt == e.at {
			e.g.rankEndAt = 0
		}
		if e.g.blocked || e.g.rank.Until != e.at {
			continue
		}
		if rank := s.rank(e.g.rec, e.g.key.occurrence, now); e.g.live() && rank.Until > 0 && rank.samePosition(e.g.rank) {
			e.g.rank.Until, e.g.rankEndAt = rank.Until, rank.Until
			p.rankEnds.Push(rankEnd{at: rank.Until, g: e.g})
			continue
		}
		p.removeGroup(e.g)
		if e.g.live() {
			s.addGroup(p, e.g, now)
		}
	}
}

// turn orders the groups of equal class and key: long-running ones by the time from
// which they wait, so that tasks that fail again and again don't keep others from the
// resources that they leave.
func (g *taskGroup) turn() clock.Millis {
	if g.step.LongRunning {
		return g.waitingSince
	}
	return 0
}

// queueDueOccurrences queues the occurrences that have become due.
func (s *Scheduler[P, H]) queueDueOccurrences(now clock.Millis) {
	s.queuedUntil = max(s.queuedUntil, now)
	for s.scheduled.Len() > 0 && s.scheduled.Top().dueAt <= now {
		next := s.scheduled.Pop()
		if rec := s.State.Jobs[next.job]; rec != nil && !rec.Status.Final() {
			s.queueOccurrence(rec, next.occurrence, now)
		}
	}
}
