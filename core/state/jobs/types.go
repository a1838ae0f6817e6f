package jobs

import "camphorridge/core/state/clock"

// Names of the objects of the package.
type (
	// ID names a job; submitters choose it.
	ID string
	// QueueName names a queue of the configuration.
	QueueName string
	// PoolName names the workers that run a queue's tasks.
	PoolName string
	// WorkerID names a machine that runs tasks.
	WorkerID string
	// MachineID names the hardware under a worker; it outlasts the worker.
	MachineID string
)

// Bounds of a job that is handed in.
const (
	MaxSpecBytes = 4000
	// MaxTasks bounds the tasks over all occurrences.
	MaxTasks = 20_000
)

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	MilliCores   int
	MemoryMiB    int
	Accelerators int
}

// Plus adds each resource of o.
func (s Resources) Plus(o Resources) Resources {
	return Resources{
		MilliCores:   s.MilliCores + o.MilliCores,
		MemoryMiB:    s.MemoryMiB + o.MemoryMiB,
		Accelerators: s.Accelerators + o.Accelerators,
	}
}

// Minus takes each resource of o off; the result may be negative.
func (s Resources) Minus(o Resources) Resources {
	return Resources{
		MilliCores:   s.MilliCores - o.MilliCores,
		MemoryMiB:    s.MemoryMiB - o.MemoryMiB,
		Accelerators: s.Accelerators - o.Accelerators,
	}
}

// Fits reports whether room has enough of every resource.
func (s Resources) Fits(room Resources) bool {
	return s.MilliCores <= room.MilliCores && s.MemoryMiB <= room.MemoryMiB && s.Accelerators <= room.Accelerators
}

// Incarnation tells the lives of a worker with one name apart: the Unix millisecond
// of its start. A later life knows nothing of an earlier one.
type Incarnation int64

// TaskID names one task of a job.
type TaskID struct {
	Job ID
	// Occurrence counts the repetitions of a scheduled job from 0.
	Occurrence int
	Step       int
	Index      int
}

// Queue is a rule of the configuration.
type Queue struct {
	Name QueueName
	// Host and Prefix select the queue for a request.
	Host   string
	Prefix string
	Pool   PoolName
	// Priority 0 goes first.
	Priority int
	// MaxAttempts is the number of failed runs after which a task fails its job;
	// at least 1.
	MaxAttempts int
	// Target and StretchPermille make a job's objective: the target on top of
	// the stretched length of its longest chain of steps.
	Target          clock.Millis
	StretchPermille int
	// Advice is the zero value for a queue whose tasks may run on any worker of
	// the pool.
	Advice AdvicePolicy
}

// AdvicePolicy is the rule of a queue that runs each step only on the workers that
// the advice service names for it.
type AdvicePolicy struct {
	// TicketValidity is how long a ticket holds; above 0 for a queue with advice.
	TicketValidity clock.Millis
	// BaseLatency is how long an answer takes, and Each how much longer for each
	// worker named.
	BaseLatency      clock.Millis
	LatencyPerWorker clock.Millis
}

// Pool is a set of workers of the configuration.
type Pool struct {
	Name PoolName
	// Standby pools hold machines that are off.
	Standby bool
	// AdmissionControl workers reject a start that they have no room for.
	AdmissionControl bool
}

// Config is the configuration in force.
type Config struct {
	// Version only grows; 0 stands for no configuration.
	Version uint64
	// Document is the configuration as the operator sent it.
	Document []byte
	Queues   []Queue
	Pools    []Pool
}

// Step is one step of a job.
type Step struct {
	// TaskCount is the number of tasks; at least 1.
	TaskCount int
	Resources Resources
	// Estimate is a rough duration of one task.
	Estimate clock.Millis
	// DependsOn lists the earlier steps that must be done first.
	DependsOn []int
	// Checkpoints is set when tasks make checkpoints.
	Checkpoints bool
	// Gang tasks work only all together: they start at once with one run number,
	// end well together, and go on from one checkpoint.
	Gang     bool
	SameRack bool
	// RequiredLabel must be among a worker's labels when it is not empty.
	RequiredLabel string
	// DataRack is the rack near the data; empty for none.
	DataRack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 for no bound.
	MaxPerWorker int
	// Speculative allows several runs of a task at a time.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	Image       string
	// LatencyTarget is the bound on a serving task's tail; 0 for none.
	LatencyTarget clock.Millis
	// BestEffort tasks take processor time that others leave; their share of Need
	// is not counted.
	BestEffort bool
	// MaxUnavailable is the number of lasting tasks that may be away at a time by the
	// system's own action.
	MaxUnavailable int
}

// Job is what a submitter hands in, with the rules of its queue at that time.
type Job struct {
	ID    ID
	Queue QueueName
	// Pool is the queue's pool at submission; it serves when the queue is
	// removed.
	Pool PoolName
	// Spec is passed on to workers as it is.
	Spec  string
	Steps []Step
	// OccurrenceCount is the number of occurrences of a scheduled job, which are due at
	// First and then each Interval; 0 for a job that runs once, at once.
	OccurrenceCount int
	FirstDue        clock.Millis
	Interval        clock.Millis
	// Priority, Attempts, Target and StretchPermille are the queue's.
	Priority        int
	MaxAttempts     int
	Target          clock.Millis
	StretchPermille int
	// AcceptedAt is the leader's time at submission.
	AcceptedAt clock.Millis
}

// Phase is the state of a task.
type Phase uint8

// The phases of a task.
const (
	// PhaseWaiting: on no worker.
	PhaseWaiting Phase = iota
	// PhaseAssigned: a start order may have reached Worker.
	PhaseAssigned
	// PhaseDone: a run ended well.
	PhaseDone
)

// TaskState is what is known of a task.
type TaskState struct {
	Phase Phase
	// Run is the number of the latest start; it only grows, also over changes
	// of leader, so that two starts never share a number.
	Run int
	// Failures counts the runs that failed; for a task of a gang those of the gang
	// in which this task or, before its latest start, any of them failed.
	Failures int
	// Worker and Life are set in PhaseAssigned.
	Worker      WorkerID
	Incarnation Incarnation
	// Checkpoint is the latest checkpoint; empty for none.
	Checkpoint string
}

// StepState is what is known of a step of one occurrence.
type StepState struct {
	Tasks []TaskState
	// DoneTasks counts the tasks in PhaseDone.
	DoneTasks int
}

// Occurrence is one repetition of a job.
type Occurrence struct {
	Steps []StepState
	// DoneSteps counts the steps whose tasks are all done.
	DoneSteps int
}

// Status is the state of a job as submitters see it.
type Status uint8

// The states of a job.
const (
	StatusQueued Status = iota
	StatusRunning
	StatusCompleted
	StatusFailed
	StatusCancelled
)

var statusNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the name used in logs and answers.
func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// Final reports whether the status never changes again.
func (s Status) Final() bool { return s >= StatusCompleted }

// Record is a job and its progress.
type Record struct {
	Job
	// Seq orders jobs by acceptance.
	Seq    uint64
	Status Status
	// EverAssigned is set once a task has been assigned.
	EverAssigned bool
	// EndedAt is the time of the final status; 0 before.
	EndedAt clock.Millis
	// Occurrences has one entry for each repetition; one for a job that runs
	// once.
	Occurrences []Occurrence
	// DoneOccurrences counts the occurrences whose steps are all done.
	DoneOccurrences int
}

// Wave is a declared maintenance of machines.
type Wave struct {
	Number   int
	Machines []MachineID
	// MaxDown bounds the machines that are down for the wave at a time.
	MaxDown int
	// DeclaredAt is the leader's time at acceptance; Deadline is later.
	DeclaredAt clock.Millis
	Deadline   clock.Millis
	// Ordered holds the machines whose maintenance may have been ordered, and
	// Begun those of them whose order was confirmed or that are gone.
	Ordered map[MachineID]bool
	Started map[MachineID]bool
}

// Completed reports whether the maintenance of every machine has begun.
func (w *Wave) Completed() bool { return len(w.Started) >= len(w.Machines) }

// Result says how a run ended.
type Result uint8

// The ends of a run.
const (
	ResultDone Result = iota
	// ResultFailed counts as an attempt.
	ResultFailed
	ResultStopped
	// ResultExpired: the worker's lease ran out.
	ResultExpired
	// ResultRefused: the worker did not start the run.
	ResultRefused
	// ResultLost: the run did not reach the worker, or the worker is gone.
	ResultLost
)

var howNames = [...]string{"done", "failed", "stopped", "lapsed", "refused", "lost"}

// String returns the name used in logs.
func (h Result) String() string {
	if int(h) >= len(howNames) {
		return "unknown"
	}
	return howNames[h]
}

// OpKind tells operations apart.
type OpKind uint8

// The kinds of operation.
const (
	// OpSubmit adds Job.
	OpSubmit OpKind = iota
	// OpCancel cancels Task.Job.
	OpCancel
	// OpAssign assigns Task to Worker and Life with number Run.
	OpAssign
	// OpEnd ends run Run of Task as How, with checkpoint Saved.
	OpEnd
	// OpConfig puts Config in force.
	OpConfig
	// OpDeclareWave declares Wave.
	OpDeclareWave
	// OpMaintenanceOrdered notes that the maintenance of Machine in wave Number may have
	// been ordered.
	OpMaintenanceOrdered
	// OpMaintenanceStarted notes that the maintenance of Machine in wave Number has begun.
	OpMaintenanceStarted
)

// Op is one operation. The fields that belong to Kind are set.
type Op struct {
	Kind        OpKind
	Task        TaskID
	Run         int
	Worker      WorkerID
	Incarnation Incarnation
	Result      Result
	Checkpoint  string
	WaveNumber  int
	Machine     MachineID
	// Job, Config and Wave are nil unless Kind calls for them; they are not
	// changed after the operation was made.
	Job    *Job
	Config *Config
	Wave   *Wave
}
