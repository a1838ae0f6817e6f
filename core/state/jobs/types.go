package jobs

import (
	"slices"

	"camphorridge/core/state/clock"
)

// Identifiers of jobs and of what runs them.
type (
	// ID identifies a job; the submitter chooses it.
	ID string
	// QueueName identifies a queue of the configuration.
	QueueName string
	// PoolName identifies a pool of workers that runs the tasks of one or more
	// queues.
	PoolName string
	// WorkerID identifies a worker, which runs tasks on a machine.
	WorkerID string
	// MachineID identifies the hardware that a worker runs on. It outlives the
	// worker.
	MachineID string
	// CustomerName identifies a customer of the configuration.
	CustomerName string
)

// Limits of a submitted job.
const (
	// MaxSpecBytes limits the length of Job.Spec.
	MaxSpecBytes = 4000
	// MaxTasks limits the number of tasks of a job, over all occurrences.
	MaxTasks = 20_000
)

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	MilliCores   int
	MemoryMiB    int
	Accelerators int
}

// Plus returns the sum of r and o for each resource.
func (r Resources) Plus(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores + o.MilliCores,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Minus returns r minus o for each resource; the result may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{
		MilliCores:   r.MilliCores - o.MilliCores,
		MemoryMiB:    r.MemoryMiB - o.MemoryMiB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// FitsIn reports whether free has at least r of every resource.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMiB <= free.MemoryMiB && r.Accelerators <= free.Accelerators
}

// Incarnation distinguishes the successive processes of a worker, which share
// its WorkerID. It is the start time of the process as a Unix time in
// milliseconds. A process keeps no state of an earlier one.
type Incarnation int64

// TaskID identifies one task of a job.
type TaskID struct {
	Job ID
	// Occurrence is the index of the repetition of a scheduled job, from 0.
	Occurrence int
	// Step is the index of the step in the job, and Index that of the task in
	// the step, both from 0.
	Step  int
	Index int
}

// Queue is the configuration of one queue.
type Queue struct {
	Name QueueName
	// Host and Prefix select the queue of a request by its host and the start
	// of its path.
	Host   string
	Prefix string
	Pool   PoolName
	// Priority 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which the job
	// fails; at least 1.
	MaxAttempts int
	// Target and StretchPermille define the time that a job may take: the sum of
	// Target and of StretchPermille/1000 times the length of its critical path.
	Target          clock.Millis
	StretchPermille int
	// Advice is the zero value for a queue whose tasks may run on any worker of
	// the pool.
	Advice AdvicePolicy
	// Public is set for a queue whose calls need no key.
	Public bool
}

// AdvicePolicy applies to a queue that runs each step only on the workers that
// the advice service approves for it.
type AdvicePolicy struct {
	// TicketValidity is how long a ticket of the advice service is valid;
	// greater than 0 for a queue with advice.
	TicketValidity clock.Millis
	// BaseLatency is the expected response time of the advice service, to which
	// LatencyPerWorker is added for each worker named in the request.
	BaseLatency      clock.Millis
	LatencyPerWorker clock.Millis
}

// Pool is the configuration of one pool of workers.
type Pool struct {
	Name PoolName
	// Standby is set for a pool whose machines are powered off.
	Standby bool
	// AdmissionControl is set if the pool's workers reject a start that exceeds
	// their free resources.
	AdmissionControl bool
}

// Config is the configuration of all queues, pools and customers.
type Config struct {
	// Version increases with each configuration; 0 means that there is none.
	Version uint64
	// Document is the configuration as the operator sent it. It contains the
	// customers' keys, so it must not be logged.
	Document []byte
	Queues   []Queue
	Pools    []Pool
	// RequiresKeys is set if calls need the key of a customer, except those of
	// public queues. Without it there are no customers.
	RequiresKeys bool
	// Customers have different names, and no two of them share a key.
	Customers []Customer
}

// Step is a set of identical tasks of a job.
type Step struct {
	// TaskCount is at least 1.
	TaskCount int
	// Resources is what each task requires.
	Resources Resources
	// Estimate is the approximate duration of one task.
	Estimate clock.Millis
	// DependsOn lists the indexes of the earlier steps that must be done before
	// this one starts.
	DependsOn []int
	// Checkpoints is set when the tasks write checkpoints.
	Checkpoints bool
	// Gang is set when the tasks can only work together: they start at the same
	// time with the same run number, complete together and resume from the same
	// checkpoint. SameRack is set for a gang that should run on workers of one
	// rack.
	Gang     bool
	SameRack bool
	// RequiredLabel must be one of the worker's labels, unless it is empty.
	RequiredLabel string
	// DataRack is the rack closest to the data of the tasks; empty for none.
	DataRack string
	// MaxPerWorker limits the tasks of the step on one worker; 0 for no limit.
	MaxPerWorker int
	// Speculative allows several concurrent runs of a task. Package sched never
	// starts more than one.
	Speculative bool
	// LongRunning tasks run until the job is cancelled. All other tasks are
	// finite: they end when their work is done.
	LongRunning bool
	// Image identifies what the tasks run; tasks with the same image behave
	// alike.
	Image string
	// LatencyTarget is the limit on the tail latency of a serving task; 0 for
	// none.
	LatencyTarget clock.Millis
	// BestEffort tasks use the processor time that other tasks leave unused;
	// the processors in their Resources are not reserved.
	BestEffort bool
	// MaxUnavailable is the number of long-running tasks that the scheduler may
	// make unavailable at the same time.
	MaxUnavailable int
}

// Job is a submitted job, with the settings of its queue at the time of
// submission.
type Job struct {
	ID    ID
	Queue QueueName
	// Pool is the queue's pool at submission. It is used if the queue is
	// removed.
	Pool PoolName
	// Spec is passed to workers unchanged.
	Spec  string
	Steps []Step
	// OccurrenceCount is the number of occurrences of a scheduled job, which
	// are due at FirstDue and every Interval after it; 0 for a job that runs
	// once, immediately.
	OccurrenceCount int
	FirstDue        clock.Millis
	Interval        clock.Millis
	// Priority, MaxAttempts, Target and StretchPermille are copied from the
	// queue.
	Priority        int
	MaxAttempts     int
	Target          clock.Millis
	StretchPermille int
	// AcceptedAt is the leader's time at submission.
	AcceptedAt clock.Millis
	// Customer submitted the job; empty for a job without an owner, which was
	// submitted without a key.
	Customer CustomerName
}

// Phase is the state of a task.
type Phase uint8

// The phases of a task.
const (
	// PhaseWaiting means that the task is not done and is assigned to no worker.
	PhaseWaiting Phase = iota
	// PhaseAssigned means that a start order may have reached the task's
	// worker.
	PhaseAssigned
	// PhaseDone means that a run completed successfully.
	PhaseDone
)

// TaskState is the state of a task.
type TaskState struct {
	Phase Phase
	// Run is the number of the latest start. It only increases, also across
	// changes of leader, so that two starts never share a number.
	Run int
	// Failures counts the failed runs. For a task of a gang it is set to the
	// count of the gang at each start, so it includes the earlier runs in which
	// another task of the gang failed.
	Failures int
	// Worker and Incarnation are set in PhaseAssigned.
	Worker      WorkerID
	Incarnation Incarnation
	// Checkpoint is the latest checkpoint; empty for none.
	Checkpoint string
}

// StepState is the state of a step of one occurrence.
type StepState struct {
	Tasks []TaskState
	// DoneTasks counts the tasks in PhaseDone.
	DoneTasks int
}

// Occurrence is the state of one repetition of a job.
type Occurrence struct {
	Steps []StepState
	// DoneSteps counts the steps whose tasks are all done.
	DoneSteps int
}

// Status is the state of a job as submitters see it.
type Status uint8

// The statuses of a job.
const (
	StatusQueued Status = iota
	StatusRunning
	StatusCompleted
	StatusFailed
	StatusCancelled
)

var statusNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the name used in logs and responses.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// Final reports whether the status can no longer change.
func (s Status) Final() bool { return s >= StatusCompleted }

// MaxIDBytes is the maximum length of the ID of a job.
const MaxIDBytes = 256

// Record is a job and its progress.
type Record struct {
	Job
	// Seq orders jobs by acceptance.
	Seq    uint64
	Status Status
	// EverAssigned is set once a task of the job has been assigned to a worker.
	EverAssigned bool
	// EndedAt is the time of the final status; 0 before.
	EndedAt clock.Millis
	// Occurrences has one entry for each repetition, and one for a job that
	// runs once.
	Occurrences []Occurrence
	// DoneOccurrences counts the occurrences whose steps are all done.
	DoneOccurrences int
}

// Wave is a declared maintenance of a set of machines.
type Wave struct {
	Number   int
	Machines []MachineID
	// MaxDown limits the machines of the wave that are down at the same time.
	MaxDown int
	// DeclaredAt is the leader's time at acceptance. Deadline is the time by
	// which the maintenance of every machine should have taken place.
	DeclaredAt clock.Millis
	Deadline   clock.Millis
	// Ordered holds the machines whose maintenance may have been ordered.
	// Started holds the machines whose maintenance was confirmed or that no
	// longer exist.
	Ordered map[MachineID]bool
	Started map[MachineID]bool
}

// MachineOrder is an order for a machine that may have been sent to the platform.
type MachineOrder struct {
	Machine MachineID
	// Pool is the target of a move; empty for maintenance. Incarnation is that of the
	// worker that the move ends; 0 for none.
	Pool        PoolName
	Incarnation Incarnation
	// At is the leader's time of the order.
	At clock.Millis
}

// Completed reports whether the wave needs no more orders: the maintenance of
// every machine has started, but may not have ended, or the machine no longer
// exists.
func (w *Wave) Completed() bool {
	for _, m := range w.Machines {
		if !w.Started[m] {
			return false
		}
	}
	return true
}

// HasMachines reports whether the wave consists of the given machines. Their
// order and duplicates do not matter.
func (w *Wave) HasMachines(machines []MachineID) bool {
	set := func(ids []MachineID) []MachineID { return slices.Compact(slices.Sorted(slices.Values(ids))) }
	return slices.Equal(set(w.Machines), set(machines))
}

// Result is how a run ended.
type Result uint8

// The results of a run.
const (
	// ResultDone means that the run completed successfully.
	ResultDone Result = iota
	// ResultFailed means that the run failed. Only failed runs count towards
	// MaxAttempts.
	ResultFailed
	// ResultStopped means that the worker stopped the run before it was done.
	ResultStopped
	// ResultExpired means that the worker's lease expired.
	ResultExpired
	// ResultRefused means that the worker did not start the run.
	ResultRefused
	// ResultLost means that the run did not reach the worker, or that the
	// worker is gone.
	ResultLost
)

var resultNames = [...]string{"done", "failed", "stopped", "lapsed", "refused", "lost"}

// String returns the name used in logs.
func (r Result) String() string {
	if int(r) >= len(resultNames) {
		return "unknown"
	}
	return resultNames[r]
}

// OpKind is the kind of an operation.
type OpKind uint8

// The kinds of operation.
const (
	// OpSubmit adds Job.
	OpSubmit OpKind = iota
	// OpCancel cancels the job Task.Job, or leaves a tombstone if it is unknown or
	// has ended.
	OpCancel
	// OpAssign assigns Task to Incarnation of Worker as run number Run.
	OpAssign
	// OpEnd ends run number Run of Task with Result and Checkpoint. If Late is set, the
	// run has ended as lost before, and its result completes the task all the same.
	OpEnd
	// OpConfig makes Config the current configuration.
	OpConfig
	// OpDeclareWave declares Wave.
	OpDeclareWave
	// OpMaintenanceOrdered records that the maintenance of Machine in wave
	// WaveNumber may have been ordered.
	OpMaintenanceOrdered
	// OpMaintenanceStarted records that the maintenance of Machine in wave
	// WaveNumber has started, or that the machine no longer exists.
	OpMaintenanceStarted
	// OpMoveOrdered records that the move of Machine to Pool may have been ordered.
	// Incarnation is that of the machine's worker; 0 for none.
	OpMoveOrdered

	// LastOpKind is the highest kind of operation.
	LastOpKind = OpMoveOrdered
)

// Op is one operation. Only the fields that Kind uses are set.
type Op struct {
	Kind        OpKind
	Task        TaskID
	Run         int
	Worker      WorkerID
	Incarnation Incarnation
	Result      Result
	Late        bool
	Checkpoint  string
	WaveNumber  int
	Machine     MachineID
	Pool        PoolName
	// Customer cancels the job; empty for a cancel without a key.
	Customer CustomerName
	// Job, Config and Wave are nil unless Kind uses them. They must not be
	// modified after the operation has been created.
	Job    *Job
	Config *Config
	Wave   *Wave
}
