package sched

import "camphorridge/core/state/jobs"

// Decision names what a note explains; logs carry it.
type Decision string

// The decisions.
const (
	DecisionAccepted            Decision = "job-accepted"
	DecisionCompleted           Decision = "job-completed"
	DecisionFailed              Decision = "job-failed"
	DecisionCancelled           Decision = "job-cancelled"
	DecisionStarted             Decision = "run-started"
	DecisionEnded               Decision = "run-ended"
	DecisionStopped             Decision = "run-stopped"
	DecisionQuarantined         Decision = "worker-set-aside"
	DecisionAdviceReceived      Decision = "advice-taken"
	DecisionAdviceMissing       Decision = "advice-missing"
	DecisionPoolLoad            Decision = "pool-load"
	DecisionMachineMoved        Decision = "machine-moved"
	DecisionMachineNotMoved     Decision = "machine-not-moved"
	DecisionListFailed          Decision = "machines-not-listed"
	DecisionMaintenanceOrdered  Decision = "maintenance-ordered"
	DecisionMaintenanceAnswered Decision = "maintenance-answered"
	DecisionMaintenanceDropped  Decision = "maintenance-dropped"
)

// Decisions lists all decisions, for the page that explains them.
var Decisions = []Decision{
	DecisionAccepted, DecisionCompleted, DecisionFailed, DecisionCancelled, DecisionStarted, DecisionEnded, DecisionStopped,
	DecisionQuarantined, DecisionAdviceReceived, DecisionAdviceMissing, DecisionPoolLoad, DecisionMachineMoved, DecisionMachineNotMoved, DecisionListFailed, DecisionMaintenanceOrdered, DecisionMaintenanceAnswered,
	DecisionMaintenanceDropped,
}

// finalDecision returns the decision that gave a job its final status; empty for
// another status.
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
// Task.Job alone for one on a job.
type Note struct {
	Decision Decision
	Task     jobs.TaskID
	Run      int
	Worker   jobs.WorkerID
	Reason   string
	// Important is set for a decision that a caller may complain about; its line
	// is kept when others are dropped.
	Important bool
}

// noteRun explains a decision on a run.
func (b *Scheduler[O, J]) noteRun(what Decision, r *run, w *worker, reason string) {
	b.out.Notes = append(b.out.Notes, Note{Decision: what, Task: r.task, Run: r.number, Worker: w.id, Reason: reason})
}

// noteJob explains a decision on a whole job.
func (b *Scheduler[O, J]) noteJob(what Decision, r *jobs.Record, reason string, failure bool) {
	b.out.Notes = append(b.out.Notes, Note{Decision: what, Task: jobs.TaskID{Job: r.ID}, Reason: reason, Important: failure})
}

// noteFleet explains a decision on machines or pools.
func (b *Scheduler[O, J]) noteFleet(what Decision, reason string) {
	b.out.Notes = append(b.out.Notes, Note{Decision: what, Reason: reason})
}
