package sched

import (
	"cmp"
	"maps"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Pass makes the scheduling decisions that are due. The plan's orders and
// actions may be sent only once its operations are committed. The cost of a
// pass depends on what has changed since the last one and not on the size of
// the fleet.
func (s *Scheduler[P, H]) Pass(now clock.Millis) Plan {
	s.now = max(s.now, now)
	s.pace.update(now, s.settings.MaxReplyDelayMillis)
	s.expireLeases(now)
	s.queueDueOccurrences(now)
	s.advanceWaves(now)
	s.placeWaiting(now)
	s.rebalance(now)
	s.noteWaiting(now)
	s.noteQuotas(now)
	s.addReplies(now)
	plan := s.plan
	plan.NextPass = s.nextPass(now)
	s.plan = Plan{}
	return plan
}

// expireLeases ends the runs of the workers whose lease has certainly ended.
func (s *Scheduler[P, H]) expireLeases(now clock.Millis) {
	for s.leaseEnds.Len() > 0 && s.leaseEnds.Top().at < now {
		w := s.leaseEnds.Pop().w
		if s.workers[w.id] != w {
			continue
		}
		if w.leaseUntil >= now {
			s.leaseEnds.Push(leaseEnd{at: w.leaseUntil, w: w})
			continue
		}
		runs := sortedTaskIDs(w.runs)
		s.noteExpired(w)
		s.loseRuns(w, "the worker's lease ended", now)
		for _, t := range runs {
			s.setAway(t, max(w.heardAt, s.termStart))
		}
		delete(s.pool(w.pool).available, w.id)
		w.heartbeat = nil
		// The next heartbeat adds the worker to leaseEnds again.
		w.leaseExpired = true
	}
}

// setAway notes that a waiting task may not have run since the given time.
func (s *Scheduler[P, H]) setAway(t jobs.TaskID, since clock.Millis) {
	rec := s.State.Jobs[t.Job]
	if rec == nil {
		return
	}
	if g := s.pool(s.poolOf(rec)).groupByStep[stepKeyOf(t)]; g != nil && len(g.waiting) > 0 {
		g.awaySince = min(g.awaySince, since)
	}
}

// placePool assigns waiting tasks to the available workers of a pool, in the order of
// their ranks.
func (s *Scheduler[P, H]) placePool(p *pool, now clock.Millis) {
	s.refreshRanks(p, now)
	defer s.blockLeading(p, now)
	p.heldByGang = false
	if p.groups.Len() == 0 || len(p.available) == 0 {
		return
	}
	s.updateContention(p, now)
	p.reserved, p.promised = nil, nil
	room := newRoom(p)
	// keptOff holds the groups with tasks that are kept off a worker. Nothing is
	// reserved for them before the other long-running tasks are placed: a task that
	// fails again and again would keep these from resources that it does not use.
	var keptOff, ended, blocked []*taskGroup
	for g := range p.candidates(room, &s.shares, now) {
		if !g.live() {
			ended = append(ended, g)
			continue
		}
		if !g.withinQuota() {
			blocked = append(blocked, g)
			continue
		}
		if !g.step.LongRunning {
			for _, k := range keptOff {
				s.reserve(p, k, now)
			}
			keptOff = nil
		}
		if g.step.Gang {
			if s.startGang(p, g, now) {
				continue
			}
			s.requestAdvice(p, g, now)
			if p.heldByGang = s.reservesCapacity(p, g, now); p.heldByGang {
				break
			}
			continue
		}
		s.placeGroup(p, g, room, now)
		switch {
		case !g.live():
			ended = append(ended, g)
		case !g.withinQuota():
			blocked = append(blocked, g)
		case !g.step.LongRunning:
		case s.keepsOff(g, now):
			keptOff = append(keptOff, g)
		default:
			s.reserve(p, g, now)
		}
	}
	s.dropFromRanked(p, ended, blocked, now)
}

// dropFromRanked removes groups that have ended, and blocks groups that wait for their
// quota.
func (s *Scheduler[P, H]) dropFromRanked(p *pool, ended, blocked []*taskGroup, now clock.Millis) {
	for _, g := range ended {
		p.removeGroup(g)
	}
	for _, g := range blocked {
		// The order by shares returns a group after each start of one of its tasks.
		if !g.blocked {
			s.block(p, g, now)
		}
	}
}

// placeGroup assigns the waiting tasks of a group that is no gang, unless the room
// shows that none fits.
func (s *Scheduler[P, H]) placeGroup(p *pool, g *taskGroup, room *room, now clock.Millis) {
	if room.isTooSmallFor(g.reserved) {
		return
	}
	waiting := len(g.waiting)
	fits := s.placeTasks(p, g, p.tasksAtOnce(g), now)
	if len(g.waiting) < waiting {
		room.update(p)
	}
	if !fits {
		room.exclude(g.reserved)
	}
}

// placeTasks assigns up to limit waiting tasks of a group to available workers, until
// there is none for a task or the quota lets none start. It returns false if none of the
// workers has enough free resources for that task.
func (s *Scheduler[P, H]) placeTasks(p *pool, g *taskGroup, limit int, now clock.Millis) bool {
	for ; len(g.waiting) > 0 && limit > 0 && g.withinQuota(); limit-- {
		last := len(g.waiting) - 1
		t := g.key.taskID(g.waiting[last])
		w, hasCapacity := s.chooseWorker(p, g, t, now)
		if w == nil {
			s.requestAdvice(p, g, now)
			return hasCapacity
		}
		g.waiting = g.waiting[:last]
		s.startTask(w, g, t, now)
	}
	return true
}

// startTask assigns a task to a worker. The start order is part of the reply to
// the worker's heartbeat.
func (s *Scheduler[P, H]) startTask(w *worker, g *taskGroup, t jobs.TaskID, now clock.Millis) {
	state := g.rec.Task(t)
	r := &run{task: t, number: state.Run + 1, rec: g.rec, step: g.step, assignedAt: now, progressedAt: now, checkpoint: state.Checkpoint}
	s.apply(jobs.Op{Kind: jobs.OpAssign, Task: t, Run: r.number, Worker: w.id, Incarnation: w.incarnation}, now)
	s.addRun(w, r)
	s.holdShare(w, r, now)
	w.heartbeat.starts = append(w.heartbeat.starts, s.startOrder(w, r))
	s.replyBy(w, now)
	s.noteRun(DecisionStarted, r, w, "")
}

// chooseWorker returns the best worker for a task of a group, or nil if there
// is none. hasCapacity reports whether any worker has enough free resources,
// even if it was excluded for another reason.
func (s *Scheduler[P, H]) chooseWorker(p *pool, g *taskGroup, t jobs.TaskID, now clock.Millis) (best *worker, hasCapacity bool) {
	var bestScore score
	for _, w := range p.available {
		if !g.reserved.FitsIn(p.free(w)) {
			continue
		}
		hasCapacity = true
		if s.avoids(t, w, now) || !s.canRun(w, g, now) {
			continue
		}
		if candidate := s.scoreWorker(w, g); best == nil || candidate.better(bestScore) {
			best, bestScore = w, candidate
		}
	}
	return best, hasCapacity
}

// canRun reports whether a worker may run one more task of the group,
// regardless of its free resources.
func (s *Scheduler[P, H]) canRun(w *worker, g *taskGroup, now clock.Millis) bool {
	return w.heartbeat != nil && s.acceptsGroup(w, g, now) && s.adviceAllows(w, g, now) && (g.step.MaxPerWorker == 0 || w.taskCount(g.key) < g.step.MaxPerWorker)
}

// hasLabel reports whether the worker has the label that the group requires, if
// any.
func (w *worker) hasLabel(g *taskGroup) bool {
	return g.step.RequiredLabel == "" || slices.Contains(w.labels, g.step.RequiredLabel)
}

// taskCount returns the number of the step's tasks that are assigned to the
// worker.
func (w *worker) taskCount(k stepKey) int {
	n := 0
	for t := range w.runs {
		if stepKeyOf(t) == k {
			n++
		}
	}
	return n
}

// score ranks the workers that may run a task.
type score struct {
	// nearData is set if the worker is on the rack of the step's data.
	nearData bool
	// spreadCost is the cost of placing a long-running task near tasks that it
	// should be kept apart from; see the method of the same name.
	spreadCost int
	// freeMilliCores is the free part of the worker's processors. Workers with
	// less are preferred, so that other workers become idle and their machines
	// can be moved or powered off.
	freeMilliCores int
	// id breaks ties.
	id jobs.WorkerID
}

// better reports whether a worker with score s is preferred to one with score t.
func (s score) better(t score) bool {
	if s.nearData != t.nearData {
		return s.nearData
	}
	return cmp.Or(cmp.Compare(t.spreadCost, s.spreadCost), cmp.Compare(t.freeMilliCores, s.freeMilliCores), cmp.Compare(t.id, s.id)) > 0
}

func (s *Scheduler[P, H]) scoreWorker(w *worker, g *taskGroup) score {
	result := score{freeMilliCores: w.capacity.MilliCores - w.used.MilliCores, id: w.id}
	result.nearData = g.step.DataRack != "" && g.step.DataRack == w.rack
	if g.step.LongRunning {
		result.spreadCost = s.spreadCost(w, g)
	}
	return result
}

// The costs of placing a long-running task on a worker.
const (
	// sameStepCost applies for each task of the same step on the worker. Each
	// one on another available worker of the rack costs 1.
	sameStepCost = 100
	// mixedBestEffortCost applies for each long-running task on the worker that
	// is best-effort while the placed task is not, or the reverse.
	mixedBestEffortCost = 10
	// maintenanceDueCost applies if the worker's machine is to be maintained in an open
	// wave, which would end the task once more.
	maintenanceDueCost = 50
	// firstLongRunningCost applies if the worker runs no long-running task, so
	// that some workers stay without and their machines can be moved or powered
	// off.
	firstLongRunningCost = 5
)

// spreadCost returns the cost of placing a long-running task of the group on a
// worker. The cost grows with the number of tasks of the step that would be
// lost together with the worker or its rack, and with the number of
// long-running tasks that a best-effort task would slow down.
func (s *Scheduler[P, H]) spreadCost(w *worker, g *taskGroup) int {
	cost := sameStepCost * w.taskCount(g.key)
	if !w.hasLongRunning() {
		cost += firstLongRunningCost
	}
	if s.maintenanceDue[w.machine] {
		cost += maintenanceDueCost
	}
	for _, x := range s.pool(w.pool).available {
		if x != w && x.rack == w.rack && w.rack != "" {
			cost += x.taskCount(g.key)
		}
	}
	for _, r := range w.runs {
		if r.step.LongRunning && (r.step.BestEffort != g.step.BestEffort) {
			cost += mixedBestEffortCost
		}
	}
	return cost
}

// addReplies adds the replies that are due to the plan.
func (s *Scheduler[P, H]) addReplies(now clock.Millis) {
	for s.replyDeadlines.Len() > 0 && s.replyDeadlines.Top().at <= now {
		d := s.replyDeadlines.Pop()
		w := d.w
		if w.heartbeat != d.heartbeat || w.heartbeat.replyBy != d.at {
			continue
		}
		retryAfter := s.retryAfter(w, now)
		if s.limitStarts(w) {
			retryAfter = s.settings.MinRetryMillis
		}
		s.plan.Orders = append(s.plan.Orders, Orders{
			Worker: w.id, Incarnation: w.incarnation, AckUpTo: w.heartbeat.ackUpTo, Starts: w.heartbeat.starts, Stops: w.heartbeat.stops, Throttles: w.heartbeat.throttles,
			RetryAfter: retryAfter, LeaseGranted: true,
		})
		w.heartbeat = nil
		if w.repliedAt == 0 {
			w.repliedAt = now
		}
		delete(s.pool(w.pool).available, w.id)
	}
}

// retryAfter returns the pause until a worker's next heartbeat. It lasts until
// the next expected end of a task, within MinRetryMillis and MaxRetryMillis.
// For a worker without finite tasks, which waits for work, it is
// MinRetryMillis.
func (s *Scheduler[P, H]) retryAfter(w *worker, now clock.Millis) clock.Millis {
	end, ok := w.predictNextEnd(now)
	if !ok {
		return s.settings.MinRetryMillis
	}
	longest := s.settings.MaxRetryMillis
	if s.hasWaiting(s.pool(w.pool)) || w.holdsAwaitedQuota() {
		// Waiting tasks should get the resources, or the quota, of a task soon after it
		// ends.
		longest = 2 * s.settings.MinRetryMillis
	}
	return min(max(end-now, s.settings.MinRetryMillis), longest)
}

// nextPass returns when the next pass is due.
func (s *Scheduler[P, H]) nextPass(now clock.Millis) clock.Millis {
	at := now + s.settings.MaxReplyDelayMillis
	if s.replyDeadlines.Len() > 0 {
		at = min(at, s.replyDeadlines.Top().at)
	}
	if s.leaseEnds.Len() > 0 {
		at = min(at, s.leaseEnds.Top().at+1)
	}
	if s.scheduled.Len() > 0 {
		at = min(at, s.scheduled.Top().dueAt)
	}
	if s.fleet.nextRebalance > now {
		at = min(at, s.fleet.nextRebalance)
	}
	if t, ok := s.nextWaveCheckDue(now); ok {
		at = min(at, t)
	}
	return max(at, now+1)
}

func sortedTaskIDs[R any](m map[jobs.TaskID]R) []jobs.TaskID {
	return slices.SortedFunc(maps.Keys(m), compareTaskIDs)
}

func compareTaskIDs(a, b jobs.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}
