package sched

import "camphorridge/core/state/jobs"

// Decision is the kind of decision that a note explains. It is written to logs.
type Decision string

// The kinds of decision.
const (
	DecisionAccepted            Decision = "job-accepted"
	DecisionCompleted           Decision = "job-completed"
	DecisionFailed              Decision = "job-failed"
	DecisionCancelled           Decision = "job-cancelled"
	DecisionCancelRecorded      Decision = "cancel-recorded"
	DecisionSubmissionLate      Decision = "submission-late"
	DecisionStarted             Decision = "run-started"
	DecisionEnded               Decision = "run-ended"
	DecisionStopped             Decision = "run-stopped"
	DecisionStartsDeferred      Decision = "starts-deferred"
	DecisionQuarantined         Decision = "worker-set-aside"
	DecisionTaskWaiting         Decision = "task-waiting"
	DecisionRunNotListed        Decision = "run-not-listed"
	DecisionQuotaWait           Decision = "quota-wait"
	DecisionQuotaWaitEnded      Decision = "quota-wait-ended"
	DecisionAdviceReceived      Decision = "advice-taken"
	DecisionAdviceMissing       Decision = "advice-missing"
	DecisionPoolLoad            Decision = "pool-load"
	DecisionMachineMoved        Decision = "machine-moved"
	DecisionMachineNotMoved     Decision = "machine-not-moved"
	DecisionListFailed          Decision = "machines-not-listed"
	DecisionTakeoverSettled     Decision = "takeover-settled"
	DecisionMaintenanceOrdered  Decision = "maintenance-ordered"
	DecisionMaintenanceAnswered Decision = "maintenance-answered"
	DecisionMaintenanceDropped  Decision = "maintenance-dropped"
	DecisionMachineMissing      Decision = "machine-missing"
	DecisionWaveCompleted       Decision = "wave-completed"
	DecisionLeaderLoad          Decision = "leader-load"
	DecisionStateLoaded         Decision = "state-loaded"
	DecisionStateDiscarded      Decision = "state-discarded"
)

// Decisions lists all kinds of decision, for the documentation page that
// explains them.
var Decisions = []Decision{
	DecisionAccepted, DecisionCompleted, DecisionFailed, DecisionCancelled, DecisionCancelRecorded, DecisionSubmissionLate, DecisionStarted, DecisionEnded, DecisionStopped, DecisionStartsDeferred,
	DecisionQuarantined, DecisionTaskWaiting, DecisionRunNotListed, DecisionQuotaWait, DecisionQuotaWaitEnded, DecisionAdviceReceived, DecisionAdviceMissing, DecisionPoolLoad, DecisionMachineMoved, DecisionMachineNotMoved, DecisionListFailed, DecisionTakeoverSettled, DecisionMaintenanceOrdered, DecisionMaintenanceAnswered,
	DecisionMaintenanceDropped, DecisionMachineMissing, DecisionWaveCompleted, DecisionLeaderLoad, DecisionStateLoaded, DecisionStateDiscarded,
}

// finalDecision returns the decision that corresponds to a job's final status;
// empty for other statuses.
func finalDecision(s jobs.Status) Decision {
	switch s {
	case jobs.StatusCompleted:
		return DecisionCompleted
	case jobs.StatusFailed:
		return DecisionFailed
	case jobs.StatusCancelled:
		return DecisionCancelled
	}
	return ""
}

// Note explains one decision. Task and Run are set for a decision on a run, and
// only Task.Job for a decision on a job.
type Note struct {
	Decision Decision
	Task     jobs.TaskID
	Run      int
	Worker   jobs.WorkerID
	Reason   string
	// Important is set for a decision that a submitter may ask about, such as a
	// failed or late job. Its log line is kept when others are dropped.
	Important bool
}

// noteRun adds a note on a run to the plan.
func (s *Scheduler[P, H]) noteRun(decision Decision, r *run, w *worker, reason string) {
	s.plan.Notes = append(s.plan.Notes, Note{Decision: decision, Task: r.task, Run: r.number, Worker: w.id, Reason: reason})
}

// noteWorker adds a note on a worker to the plan.
func (s *Scheduler[P, H]) noteWorker(decision Decision, w *worker, reason string) {
	s.plan.Notes = append(s.plan.Notes, Note{Decision: decision, Worker: w.id, Reason: reason})
}

// noteJob adds a note on a job to the plan.
func (s *Scheduler[P, H]) noteJob(decision Decision, rec *jobs.Record, reason string, important bool) {
	s.plan.Notes = append(s.plan.Notes, Note{Decision: decision, Task: jobs.TaskID{Job: rec.ID}, Reason: reason, Important: important})
}

// noteFleet adds a note on machines or pools to the plan.
func (s *Scheduler[P, H]) noteFleet(decision Decision, reason string) {
	s.plan.Notes = append(s.plan.Notes, Note{Decision: decision, Reason: reason})
}
