package sched

import (
	"cmp"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// WaitReason is the reason why waiting tasks do not start.
type WaitReason string

// The wait reasons, in the order in which they are checked. Those about workers
// refer to the workers that passed all earlier checks.
const (
	// WaitNone means that no task waits, or that the job has ended.
	WaitNone WaitReason = ""
	// WaitNotDue means that the occurrence is not due.
	WaitNotDue WaitReason = "not-due"
	// WaitDependencies means that the step depends on one that is not done.
	WaitDependencies WaitReason = "earlier-steps"
	// WaitQuota means that the quota of the job's customer does not let another task
	// start.
	WaitQuota WaitReason = "quota"
	// WaitNoWorkers means that no worker of the pool has sent a heartbeat
	// recently.
	WaitNoWorkers WaitReason = "no-workers"
	// WaitLabel means that no worker has the required label.
	WaitLabel WaitReason = "label"
	// WaitSize means that no worker is large enough, even without other tasks.
	WaitSize WaitReason = "size"
	// WaitLeaving means that the workers are draining, or that their machines
	// are to be maintained or moved.
	WaitLeaving WaitReason = "leaving"
	// WaitQuarantine means that the workers are quarantined because of
	// failures.
	WaitQuarantine WaitReason = "set-aside"
	// WaitAdvice means that the advice service has approved no worker.
	WaitAdvice WaitReason = "advice"
	// WaitPerWorker means that each worker runs the maximum number of tasks of
	// the step.
	WaitPerWorker WaitReason = "per-worker"
	// WaitCapacity means that other tasks use the workers' capacity, or that it is
	// reserved for tasks of higher rank.
	WaitCapacity WaitReason = "room"
	// WaitShare means that the tasks wait for capacity because tasks of other
	// customers go first: the job is beyond its customer's rate, or its customer has
	// had more of its share.
	WaitShare WaitReason = "share"
	// WaitGang means that the workers have enough free resources for some tasks
	// of a gang, but not for all.
	WaitGang WaitReason = "gang-room"
	// WaitHeartbeat means that a worker meets all requirements and may get the
	// task at its next heartbeat.
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
	// Runs counts the starts of all tasks, and Failures the failed runs.
	Runs     int
	Failures int
	// WaitReason applies to the waiting tasks. WaitDetail has the figures that explain
	// it; empty for a reason without any.
	WaitReason WaitReason
	WaitDetail string
}

// RunReport describes a run of a task that is assigned to a worker.
type RunReport struct {
	Task    jobs.TaskID
	Run     int
	Worker  jobs.WorkerID
	Percent int
	// StartedAt is when the run was assigned; for a run assigned in an earlier
	// term, it is the start of this term.
	StartedAt clock.Millis
	// StopReason is empty unless the run is being stopped.
	StopReason string
}

// JobReport describes the progress of a job and what it waits for.
type JobReport struct {
	JobSummary
	Pool jobs.PoolName
	Now  clock.Millis
	// EndedAt is the time of the final status; 0 before.
	EndedAt clock.Millis
	Steps   []StepReport
	Runs    []RunReport
}

// JobSummary describes a job in a list.
type JobSummary struct {
	ID         jobs.ID
	Queue      jobs.QueueName
	Status     jobs.Status
	AcceptedAt clock.Millis
	// Deadline is the latest time at which the job may end to be on time.
	Deadline clock.Millis
}

func summarize(rec *jobs.Record) JobSummary {
	return JobSummary{ID: rec.ID, Queue: rec.Queue, Status: rec.Status, AcceptedAt: rec.AcceptedAt, Deadline: Deadline(rec, len(rec.Occurrences)-1)}
}

// List returns summaries of up to limit jobs that have not ended, the oldest
// first, and the total number of such jobs.
func (s *Scheduler[P, H]) List(limit int) (summaries []JobSummary, total int) {
	var unfinished []*jobs.Record
	for _, rec := range s.State.Jobs {
		if !rec.Status.Final() {
			unfinished = append(unfinished, rec)
		}
	}
	slices.SortFunc(unfinished, func(x, y *jobs.Record) int { return cmp.Compare(x.Seq, y.Seq) })
	for _, rec := range unfinished[:min(len(unfinished), limit)] {
		summaries = append(summaries, summarize(rec))
	}
	return summaries, len(unfinished)
}

// Explain returns a report on a job and whether the job is known.
func (s *Scheduler[P, H]) Explain(id jobs.ID, now clock.Millis) (JobReport, bool) {
	rec := s.State.Jobs[id]
	if rec == nil {
		return JobReport{}, false
	}
	report := JobReport{JobSummary: summarize(rec), Pool: s.poolOf(rec), Now: now, EndedAt: rec.EndedAt}
	for occurrence := range rec.Occurrences {
		for step := range rec.Steps {
			report.Steps = append(report.Steps, s.explainStep(rec, occurrence, step, now))
		}
	}
	for t, state := range rec.Tasks() {
		if w, run := s.assignedRun(t, state); run != nil {
			report.Runs = append(report.Runs, RunReport{
				Task: t, Run: run.number, Worker: w.id, Percent: run.percent, StartedAt: run.assignedAt, StopReason: run.stopReason,
			})
		}
	}
	return report, true
}

func (s *Scheduler[P, H]) explainStep(rec *jobs.Record, occurrence, step int, now clock.Millis) StepReport {
	state := &rec.Occurrences[occurrence].Steps[step]
	report := StepReport{Occurrence: occurrence, Step: step, Tasks: len(state.Tasks), Done: state.DoneTasks, Failures: rec.Failures(occurrence, step)}
	for _, t := range state.Tasks {
		report.Runs += t.Run
		switch t.Phase {
		case jobs.PhaseWaiting:
			report.Waiting++
		case jobs.PhaseAssigned:
			report.Running++
		}
	}
	switch {
	case report.Waiting == 0 || rec.Status.Final():
	case rec.DueAt(occurrence) > now:
		report.WaitReason = WaitNotDue
	case !rec.Ready(occurrence, step):
		report.WaitReason = WaitDependencies
	default:
		report.WaitReason = s.waitReason(rec, occurrence, step, now)
	}
	if report.WaitReason == WaitQuota {
		report.WaitDetail = s.customer(rec.Customer).explainWait(&rec.Steps[step])
	}
	return report
}

// waitReason returns WaitQuota if the quota lets no task start. Otherwise it filters the
// live workers of the pool by each requirement of the task in turn, and returns the reason
// of the first one that no remaining worker meets.
func (s *Scheduler[P, H]) waitReason(rec *jobs.Record, occurrence, step int, now clock.Millis) WaitReason {
	key := stepKey{rec.ID, occurrence, step}
	g := s.pool(s.poolOf(rec)).groupByStep[key]
	if g == nil {
		g = s.newGroup(rec, key, now)
	}
	if !g.withinQuota() {
		return WaitQuota
	}
	filtered := s.filterWorkers(g, now)
	if filtered.last.remaining == 0 {
		if filtered.last.reason == WaitCapacity && s.waitsForShare(g) {
			return WaitShare
		}
		return filtered.last.reason
	}
	if g.step.Gang {
		return WaitGang
	}
	return WaitHeartbeat
}
