package place

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// The identifiers of tasks and workers, and their sizes.
type (
	// TaskID is the name of a task.
	TaskID string
	// WorkerID is the name of a worker, which runs tasks on a machine.
	WorkerID string
	// Size is an amount of processors, memory and accelerators.
	Size = model.Quota
)

// Settings are the parameters of task placement.
type Settings struct {
	// LeaseMillis is how long a worker may run tasks after the pass that followed
	// its last heartbeat and renewed its lease.
	LeaseMillis clock.Millis
	// SkewMillis is the largest amount by which a worker's clock may fall
	// behind within one lease.
	SkewMillis clock.Millis
	// CheckpointMillis is the time that a checkpoint and the restart from it
	// cost a task. ThrottleMillis is the cost charged for one throttling.
	CheckpointMillis clock.Millis
	ThrottleMillis   clock.Millis
	// QuarantineMillis is how long a worker stays quarantined before it is
	// tried again with a single task.
	QuarantineMillis clock.Millis
	// TrialTasks is the largest number of tasks that an unproven worker runs at
	// once, which limits how many tasks a worker that fails everything can fail
	// at once. A worker is proven once one of its tasks succeeded or has run for
	// TrialMillis.
	TrialTasks  int
	TrialMillis clock.Millis
	// MaxQuarantinedPercent is the largest share of the workers that are
	// quarantined at once. If more of them fail tasks, the failures are assumed
	// to have a common cause outside the workers.
	MaxQuarantinedPercent int
	// MaxFailedWorkers is the number of different workers on which a task fails
	// until it is given up; at least 1. A task that failed on every worker that is
	// neither draining nor quarantined is given up earlier.
	MaxFailedWorkers int
	// Lookahead is the largest number of a customer's waiting tasks, including
	// the first one, that are tried until one can start; at least 1.
	Lookahead int
	// StopsPerPass is the largest number of stops that are ordered for cancelled
	// tasks in one pass, so that many cancellations at once do not delay starts.
	// The next pass for the remaining stops follows after StopPauseMillis.
	StopsPerPass    int
	StopPauseMillis clock.Millis
	// FullScan disables the index of free capacity: each choice of a worker
	// examines all workers. It exists to measure what the index saves.
	FullScan bool
}

// Defaults returns the settings that the tests and benchmarks use.
func Defaults() Settings {
	return Settings{
		LeaseMillis: 10 * clock.Second, SkewMillis: clock.Second, CheckpointMillis: 5 * clock.Second,
		ThrottleMillis: 5 * clock.Second, QuarantineMillis: 10 * clock.Minute, TrialTasks: 4, TrialMillis: 10 * clock.Second, MaxQuarantinedPercent: 20, MaxFailedWorkers: 3, Lookahead: 8,
		StopsPerPass: 200, StopPauseMillis: 100,
	}
}

// Task is a unit of work that runs on one worker.
type Task struct {
	ID       TaskID
	Customer model.Customer
	// Class groups the similar tasks of a customer. Sizes and failure rates are
	// learned per class.
	Class string
	// Urgent tasks start before all others and may preempt them. Among tasks
	// of equal urgency, those with a higher Priority start first.
	Urgent   bool
	Priority int
	// Declared is the size that the submitter states. A sizer that learns uses its
	// processors and memory only until it has enough reports on the class, and its
	// accelerators as a minimum after that.
	Declared Size
	// Submitted is the time of the submission.
	Submitted clock.Millis
	// CanCheckpoint says that the task can save its work and resume later, and
	// CanThrottle that it can run with fewer processors.
	CanCheckpoint bool
	CanThrottle   bool
}

// Phase is the state of a task.
type Phase int

// The phases of a task.
const (
	// PhaseWaiting means that the task is not on any worker.
	PhaseWaiting Phase = iota
	// PhaseRunning means that the task was started on a worker whose lease has
	// not expired.
	PhaseRunning
	// PhaseStopping means that the task was ordered to checkpoint or stop and
	// may still run.
	PhaseStopping
	// PhaseFinished means that the task will not run again.
	PhaseFinished
)

// Worker describes a worker, which runs tasks on a machine. Zone and Rack say where
// the machine is, and Size is what the worker has for tasks, whether free or in use.
type Worker struct {
	ID   WorkerID
	Zone model.Zone
	Rack model.Rack
	Size Size
	// Draining excludes the worker from new tasks. The tasks that it runs may
	// finish.
	Draining bool
}

// ActionKind is the kind of an Action.
type ActionKind string

// The kinds of action; Platform describes them.
const (
	ActionStart      ActionKind = "start"
	ActionRenew      ActionKind = "renew"
	ActionCheckpoint ActionKind = "checkpoint"
	ActionThrottle   ActionKind = "throttle"
	ActionStop       ActionKind = "stop"
)

// Action is an instruction to the platform.
type Action struct {
	Kind   ActionKind
	Worker WorkerID
	Task   TaskID
	// Attempt numbers the starts of a task; later starts have higher numbers.
	// The platform repeats it in its reports, so that late reports of an
	// earlier attempt are recognised.
	Attempt int
	Size    Size
	// CPUPercent is the share of its reserved processors that a throttled task
	// keeps; 100 ends the throttling.
	CPUPercent int
	// LeaseEnd is the time at which the worker's lease expires.
	LeaseEnd clock.Millis
	Reason   string
}

// WaitReason names what prevents a waiting task from starting.
type WaitReason string

// The reasons for waiting.
const (
	// WaitQuota means that the customer would exceed its quota.
	WaitQuota WaitReason = "quota"
	// WaitCapacity means that no worker has enough free capacity.
	WaitCapacity WaitReason = "room"
	// WaitBudget means that no worker has enough free capacity for an urgent
	// task and that none can be freed: disruption budgets do not allow it, or no
	// usable worker runs enough tasks that may be preempted.
	WaitBudget WaitReason = "disruption-budget"
	// WaitReserving means that capacity is being freed for the task.
	WaitReserving WaitReason = "room-being-made"
)

// Wait explains why the first waiting task of a customer does not start.
// Unblock says what would let it start.
type Wait struct {
	Customer model.Customer
	Task     TaskID
	Reason   WaitReason
	Need     Size
	Unblock  string
}

// GivenUp is a task that is not started again because it failed, and the reason.
type GivenUp struct {
	Task   TaskID
	Reason string
}

// Quarantine is a worker that gets no new tasks for now, and the reason.
type Quarantine struct {
	Worker WorkerID
	Reason string
}

// Plan is the result of a pass.
type Plan struct {
	Actions     []Action
	Waits       []Wait
	GivenUp     []GivenUp
	Quarantined []Quarantine
	// NextPass is when the next pass is needed if nothing changes; 0 means
	// never.
	NextPass clock.Millis
}

// Outcome is how a run of a task ended.
type Outcome int

// The outcomes of a run.
const (
	OutcomeDone Outcome = iota
	OutcomeFailed
	// OutcomeCheckpointed means that the run stopped with its work saved.
	OutcomeCheckpointed
	// OutcomeStopped means that the run was stopped on request, or that the
	// worker's lease expired.
	OutcomeStopped
)

// componentMax returns the larger amount of each resource.
func componentMax(a, b Size) Size {
	return Size{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// componentMin returns the smaller amount of each resource.
func componentMin(a, b Size) Size {
	return Size{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
