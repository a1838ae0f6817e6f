package sched

import (
	"cmp"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// WaitReason is what keeps waiting tasks from starting.
type WaitReason string

// The limits, in the order in which they are looked at.
const (
	WaitNone WaitReason = ""
	// WaitNotDue: the occurrence is not due.
	WaitNotDue WaitReason = "not-due"
	// WaitDependencies: an earlier step is not done.
	WaitDependencies WaitReason = "earlier-steps"
	// WaitNoWorkers: the pool has no worker that was heard lately.
	WaitNoWorkers WaitReason = "no-workers"
	// WaitLabel: no worker has the required label.
	WaitLabel WaitReason = "label"
	// WaitSize: no worker is large enough, even if it ran nothing.
	WaitSize WaitReason = "size"
	// WaitLeaving: the workers drain, or their machines are to be maintained or
	// moved.
	WaitLeaving WaitReason = "leaving"
	// WaitQuarantine: the workers are set aside for their failures.
	WaitQuarantine WaitReason = "set-aside"
	// WaitAdvice: the advice service has named no worker.
	WaitAdvice WaitReason = "advice"
	// WaitPerWorker: each worker runs as many tasks of the step as it may.
	WaitPerWorker WaitReason = "per-worker"
	// WaitCapacity: other tasks take the workers' room.
	WaitCapacity WaitReason = "room"
	// WaitGang: the workers have room for some of a gang's tasks, not for all.
	WaitGang WaitReason = "gang-room"
	// WaitHeartbeat: a worker may take a task at its next heartbeat.
	WaitHeartbeat WaitReason = "heartbeat"
)

// StepReport is the progress of a step of one occurrence.
type StepReport struct {
	Occurrence int
	Step       int
	Tasks      int
	Done       int
	Running    int
	Waiting    int
	// Runs counts the starts of all tasks, and Fails the failed ones.
	Runs     int
	Failures int
	// WaitReason binds the waiting tasks.
	WaitReason WaitReason
}

// RunReport is a task that is assigned to a worker.
type RunReport struct {
	Task       jobs.TaskID
	Run        int
	Worker     jobs.WorkerID
	Percent    int
	StartedAt  clock.Millis
	StopReason string
}

// JobReport says how far a job is and what it waits for.
type JobReport struct {
	JobSummary
	Pool jobs.PoolName
	Now  clock.Millis
	// EndedAt is the time of the final status; 0 before.
	EndedAt clock.Millis
	Steps   []StepReport
	Runs    []RunReport
}

// JobSummary is a job in a list.
type JobSummary struct {
	ID         jobs.ID
	Queue      jobs.QueueName
	Status     jobs.Status
	AcceptedAt clock.Millis
	// Deadline is the latest end at which the job is on time.
	Deadline clock.Millis
}

func lineOf(r *jobs.Record) JobSummary {
	return JobSummary{ID: r.ID, Queue: r.Queue, Status: r.Status, AcceptedAt: r.AcceptedAt, Deadline: Deadline(r, len(r.Occurrences)-1)}
}

// List returns the jobs that have not ended, the oldest first and at most a
// number of them, and how many there are.
func (b *Scheduler[O, J]) List(most int) (lines []JobSummary, total int) {
	var open []*jobs.Record
	for _, r := range b.State.Jobs {
		if !r.Status.Final() {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(x, y *jobs.Record) int { return cmp.Compare(x.Seq, y.Seq) })
	for _, r := range open[:min(len(open), most)] {
		lines = append(lines, lineOf(r))
	}
	return lines, len(open)
}

// Explain reports on a job; false for one that is not known.
func (b *Scheduler[O, J]) Explain(id jobs.ID, now clock.Millis) (JobReport, bool) {
	r := b.State.Jobs[id]
	if r == nil {
		return JobReport{}, false
	}
	x := JobReport{JobSummary: lineOf(r), Pool: b.poolOf(r), Now: now, EndedAt: r.EndedAt}
	for k := range r.Occurrences {
		for i := range r.Steps {
			x.Steps = append(x.Steps, b.explainStep(r, k, i, now))
		}
	}
	for t, state := range r.Tasks() {
		if w, run := b.assigned(t, state); run != nil {
			x.Runs = append(x.Runs, RunReport{
				Task: t, Run: run.number, Worker: w.id, Percent: run.percent, StartedAt: run.started, StopReason: run.why,
			})
		}
	}
	return x, true
}

func (b *Scheduler[O, J]) explainStep(r *jobs.Record, k, i int, now clock.Millis) StepReport {
	st := &r.Occurrences[k].Steps[i]
	x := StepReport{Occurrence: k, Step: i, Tasks: len(st.Tasks), Done: st.DoneTasks, Failures: r.Failures(k, i)}
	for _, t := range st.Tasks {
		x.Runs += t.Run
		switch t.Phase {
		case jobs.PhaseWaiting:
			x.Waiting++
		case jobs.PhaseAssigned:
			x.Running++
		}
	}
	switch {
	case x.Waiting == 0 || r.Status.Final():
	case r.Due(k) > now:
		x.WaitReason = WaitNotDue
	case !r.Ready(k, i):
		x.WaitReason = WaitDependencies
	default:
		x.WaitReason = b.limitOf(r, k, i, now)
	}
	return x
}

// limitOf passes the workers of the pool through what a task asks of them, one
// after the other, and returns what the last of them fail.
func (b *Scheduler[O, J]) limitOf(r *jobs.Record, k, i int, now clock.Millis) WaitReason {
	p := b.pool(b.poolOf(r))
	g := &group{key: groupKey{r.ID, k, i}, rec: r, step: &r.Steps[i]}
	need := counted(g.step)
	left := slices.Collect(b.heard(p, now))
	for _, c := range []struct {
		limit WaitReason
		holds func(*worker) bool
	}{
		{WaitNoWorkers, func(*worker) bool { return true }},
		{WaitLabel, func(w *worker) bool { return w.labelled(g) }},
		{WaitSize, func(w *worker) bool { return need.Fits(w.room) }},
		{WaitLeaving, func(w *worker) bool { return !w.draining && !w.held && !w.leaving && !w.parting }},
		{WaitQuarantine, func(w *worker) bool { return w.aside <= now }},
		{WaitAdvice, func(w *worker) bool { return b.allowed(w, g, now) }},
		{WaitPerWorker, func(w *worker) bool { return g.step.MaxPerWorker == 0 || w.count(g.key) < g.step.MaxPerWorker }},
		{WaitCapacity, func(w *worker) bool { return need.Fits(w.room.Minus(w.used)) }},
	} {
		left = slices.DeleteFunc(left, func(w *worker) bool { return !c.holds(w) })
		if len(left) == 0 {
			return c.limit
		}
	}
	if g.step.Gang {
		return WaitGang
	}
	return WaitHeartbeat
}
