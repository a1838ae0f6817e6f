package sched

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Settings configures the scheduler.
type Settings struct {
	// LeaseMillis is the longest time that a worker may run tasks after it has
	// sent a heartbeat.
	LeaseMillis clock.Millis
	// DriftPermille is the maximum by which a worker's clock may run slow, in
	// permille. It has the type clock.Millis only because LeaseMillis is
	// multiplied by it.
	DriftPermille clock.Millis
	// MaxReplyDelayMillis limits the delay of the reply to a heartbeat. A worker
	// drops a reply that arrives more than a second after its heartbeat.
	MaxReplyDelayMillis clock.Millis
	// LateHeartbeatMillis is the longest time by which a heartbeat may arrive late. For
	// so long, a new leader gives new tasks only to workers that answer it: it doesn't
	// know which workers have left, and a late heartbeat looks like one of a worker
	// that is there.
	LateHeartbeatMillis clock.Millis
	// MinRetryMillis and MaxRetryMillis limit the pause that a worker makes
	// before its next heartbeat.
	MinRetryMillis clock.Millis
	MaxRetryMillis clock.Millis
	// MaxStartBytes limits the texts of the start orders in one reply. A worker drops a
	// reply that is too large. The first order is sent in any case.
	MaxStartBytes int
	// TakeoverDelayMillis is how long a new leader waits before it orders
	// maintenance or moves of machines for which an earlier leader has given orders
	// lately, so that the two do not give orders for one machine in turn.
	TakeoverDelayMillis clock.Millis
	// MaintenanceMillis is how long the maintenance of a machine takes.
	MaintenanceMillis clock.Millis
	// BacklogTargetMillis is the time within which the waiting work of a pool
	// should start. Machines are moved to a pool that would need longer; 0
	// disables all moves.
	BacklogTargetMillis clock.Millis
	// MoveMillis is how long the move of a machine takes.
	MoveMillis clock.Millis
	// IdleMillis is how long the worker of a machine must run nothing before
	// the machine is moved to the standby pool.
	IdleMillis clock.Millis
	// ReserveMachines is the number of machines that a pool keeps in addition
	// to those that it needs.
	ReserveMachines int
	// QuarantineMillis is how long a worker on which tasks fail or stall gets
	// no new tasks.
	QuarantineMillis clock.Millis
	// MaxQuarantinedPercent is the largest share of a pool's workers that are
	// quarantined at once, but one always may be. It is well below half, so that
	// work that waits finds a worker while less than half of the pool's capacity
	// is in use.
	MaxQuarantinedPercent int
	// StallMillis plus a quarter of its estimate is how long a task may make no
	// progress before it is stopped and started elsewhere.
	StallMillis clock.Millis
	// ShareWindowMillis is the time over which the customers' shares and rates are
	// measured: the burst of jobs that a customer may submit is what its rate allows
	// in this time.
	ShareWindowMillis clock.Millis
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		LeaseMillis: 4 * clock.Second, DriftPermille: 25, MaxReplyDelayMillis: 700, MinRetryMillis: 20, MaxRetryMillis: 250, MaxStartBytes: 512 << 10,
		TakeoverDelayMillis: 3 * clock.Second, MaintenanceMillis: 2 * clock.Second, QuarantineMillis: 5 * clock.Second, MaxQuarantinedPercent: 25,
		BacklogTargetMillis: 1500, MoveMillis: 1500, IdleMillis: 2 * clock.Second, ReserveMachines: 2,
		StallMillis: 1500, ShareWindowMillis: 5 * clock.Second,
	}
}

// RunStatus is a run as listed in a worker's heartbeat.
type RunStatus struct {
	Task jobs.TaskID
	Run  int
	// Checkpoint is the latest checkpoint; empty for none.
	Checkpoint string
	// Percent is the progress of a finite task, and 100 for a long-running task
	// that is serving.
	Percent int
	// Load is in milliseconds for a serving task, as its tail latency, and in
	// permille for any other task, as its processor use. The scheduler reads only
	// the tail latency, and only of tasks with a LatencyTarget.
	Load int
}

// RunEnd reports the end of a run.
type RunEnd struct {
	// Number counts the run ends of one incarnation of a worker from 1.
	Number     int64
	Task       jobs.TaskID
	Run        int
	Result     jobs.Result
	Checkpoint string
}

// Heartbeat is a worker's periodic report of its state.
type Heartbeat struct {
	Worker      jobs.WorkerID
	Incarnation jobs.Incarnation
	Machine     jobs.MachineID
	Pool        jobs.PoolName
	Zone        string
	Labels      []string
	// Seq increases with each heartbeat of an incarnation.
	Seq int64
	// Capacity is the total amount for tasks, whether free or in use.
	Capacity jobs.Resources
	// Draining is set for a worker that is about to exit; it gets no new tasks.
	// Remaining is the minimum time until it exits.
	Draining  bool
	Remaining clock.Millis
	// Running lists all runs on the worker. Ends lists the run ends that are
	// not acknowledged; a worker limits their number and reports the rest once
	// these are acknowledged. MoreEnds is set if there may be such a rest.
	Running  []RunStatus
	Ends     []RunEnd
	MoreEnds bool
	// ReceivedAt is the leader's monotonic time of receipt.
	ReceivedAt clock.Millis
}

// Start orders a worker to run a task.
type Start struct {
	Task       jobs.TaskID
	Run        int
	Spec       string
	Checkpoint string
	// Ticket is the permission of the advice service; empty for a queue without
	// advice.
	Ticket string
}

// Stop orders a worker to stop a run.
type Stop struct {
	Task jobs.TaskID
	Run  int
}

// Throttle orders a worker to limit a task to a percentage of its full speed.
type Throttle struct {
	Task    jobs.TaskID
	Run     int
	Percent int
}

// Orders is the reply to a heartbeat.
type Orders struct {
	Worker      jobs.WorkerID
	Incarnation jobs.Incarnation
	// AckUpTo is the highest number of the processed run ends.
	AckUpTo   int64
	Starts    []Start
	Stops     []Stop
	Throttles []Throttle
	// RetryAfter is the pause until the next heartbeat.
	RetryAfter clock.Millis
	// LeaseGranted is false if the worker must not run anything any more.
	LeaseGranted bool
}

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of action.
const (
	// ActionMaintain orders the maintenance of a machine in a wave.
	ActionMaintain ActionKind = iota
	// ActionMove moves a machine to a pool; the tasks running on it end.
	ActionMove
	// ActionListMachines requests the list of the machines of all pools.
	ActionListMachines
	// ActionAdvise requests which of Workers may run a step.
	ActionAdvise
)

// Action is a request to the platform, which manages the machines, or to its
// advice service. Only the fields that Kind uses are set.
type Action struct {
	Kind    ActionKind
	Machine jobs.MachineID
	Wave    int
	Pool    jobs.PoolName
	// RequestedAt is the time of ActionListMachines; it identifies the request.
	RequestedAt clock.Millis
	// FirstTask is the first task of the step that ActionAdvise is about; it
	// identifies the step. Workers are the workers to judge, and
	// ExpectedResponseTime is the response time that the queue's advice policy
	// predicts for their number.
	FirstTask            jobs.TaskID
	Workers              []jobs.WorkerID
	ExpectedResponseTime clock.Millis
}

// Machine is a machine in the platform's list.
type Machine struct {
	ID   jobs.MachineID
	Pool jobs.PoolName
	// Available is false while the machine is being moved or maintained, or is
	// broken. It is true for a machine of a standby pool that is powered off but
	// can be moved to another pool.
	Available bool
	Capacity  jobs.Resources
}

// Outcome is the platform's answer to an action, with the requested data.
type Outcome struct {
	Answer Answer
	// Reason says why Answer is not AnswerDone, or why Incomplete is set; empty if no
	// reason was given.
	Reason string
	// Machines is the result of ActionListMachines.
	Machines []Machine
	// Incomplete is set only for ActionListMachines with AnswerDone. If it is set,
	// part of the list could not be read: Machines holds only machines that exist,
	// but the absence of a machine proves nothing.
	Incomplete bool
	// Tickets is the result of ActionAdvise.
	Tickets []Ticket
}

// String returns the answer and its reason for logs.
func (o Outcome) String() string {
	if o.Reason == "" {
		return o.Answer.String()
	}
	return o.Answer.String() + ": " + o.Reason
}

// Plan is the result of Scheduler.Pass.
type Plan struct {
	// Ops must be committed before any other part of the plan takes effect.
	Ops     []jobs.Op
	Orders  []Orders
	Actions []Action
	// Notes explain the decisions of the pass.
	Notes []Note
	// NextPass is when the next pass is due, unless an event requires an
	// earlier one.
	NextPass clock.Millis
}
