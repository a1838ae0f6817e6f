package sched

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
)

// Settings are the figures of the board.
type Settings struct {
	// LeaseMillis is the longest time that a worker runs tasks after it has
	// sent a heartbeat.
	LeaseMillis clock.Millis
	// DriftPermille bounds by how much a worker's clock may run slow.
	DriftPermille clock.Millis
	// MaxHoldMillis bounds how long the answer to a heartbeat is held back. A
	// worker drops an answer that comes after a second.
	MaxHoldMillis clock.Millis
	// MinRetryMillis is the shortest pause that a worker is told to make before
	// its next heartbeat, and SlowRetryMillis the longest.
	MinRetryMillis clock.Millis
	MaxRetryMillis clock.Millis
	// TakeoverDelayMillis is how long a new leader orders no maintenance, so that two
	// leaders do not give orders for a machine in turns.
	TakeoverDelayMillis clock.Millis
	// MaintenanceMillis is how long the maintenance of a machine takes.
	MaintenanceMillis clock.Millis
	// BacklogTargetMillis is the time within which the waiting work of a pool is to be
	// started; machines are moved to a pool that needs longer. 0 turns moves
	// off.
	BacklogTargetMillis clock.Millis
	// MoveMillis is how long a move of a machine takes.
	MoveMillis clock.Millis
	// IdleMillis is how long a machine runs nothing before it goes to the
	// standby pool.
	IdleMillis clock.Millis
	// ReserveMachines is the number of machines beyond its need that a pool keeps.
	ReserveMachines int
	// QuarantineMillis is how long a worker that fails its tasks gets no others
	// before it is tried again.
	QuarantineMillis clock.Millis
	// StallMillis is how long a task may make no progress before it is started
	// elsewhere.
	StallMillis clock.Millis
}

// Defaults are the settings that tests and the product start from.
func Defaults() Settings {
	return Settings{
		LeaseMillis: 4 * clock.Second, DriftPermille: 25, MaxHoldMillis: 700, MinRetryMillis: 20, MaxRetryMillis: 250,
		TakeoverDelayMillis: 3 * clock.Second, MaintenanceMillis: 2 * clock.Second, QuarantineMillis: 5 * clock.Second,
		BacklogTargetMillis: 1500, MoveMillis: 1500, IdleMillis: 2 * clock.Second, ReserveMachines: 2,
		StallMillis: 1500,
	}
}

// RunStatus is a run that a worker lists.
type RunStatus struct {
	Task jobs.TaskID
	Run  int
	// Checkpoint is the latest checkpoint; empty for none.
	Checkpoint string
	// Percent is the progress of a task that ends, and 100 for a lasting task
	// that is at work.
	Percent int
	// Load is the tail in milliseconds of a serving task, and the use of
	// processors, in thousandths, of any other.
	Load int
}

// RunEnd is the end of a run.
type RunEnd struct {
	// Number counts the ends of one life of a worker from 1.
	Number     int64
	Task       jobs.TaskID
	Run        int
	Result     jobs.Result
	Checkpoint string
}

// Heartbeat is a heartbeat of a worker.
type Heartbeat struct {
	Worker      jobs.WorkerID
	Incarnation jobs.Incarnation
	Machine     jobs.MachineID
	Pool        jobs.PoolName
	Zone        string
	Labels      []string
	// Seq grows with each heartbeat of a life.
	Seq int64
	// Capacity is all that the worker has for tasks.
	Capacity jobs.Resources
	// Draining workers get no new task. Remaining is the least time that is
	// left to them.
	Draining  bool
	Remaining clock.Millis
	// Running and Ends are complete but for ends beyond a bound of the
	// worker's, which follow once earlier ones are acknowledged.
	Running []RunStatus
	Ends    []RunEnd
	// ReceivedAt is the steady time at which the leader got the heartbeat.
	ReceivedAt clock.Millis
}

// Start tells a worker to run a task.
type Start struct {
	Task       jobs.TaskID
	Run        int
	Spec       string
	Checkpoint string
	// Ticket is the leave of the advice service; empty for a queue without
	// advice.
	Ticket string
}

// Stop tells a worker to end a run.
type Stop struct {
	Task jobs.TaskID
	Run  int
}

// Throttle tells a worker to let a task work at a share of its speed.
type Throttle struct {
	Task    jobs.TaskID
	Run     int
	Percent int
}

// Orders answer a heartbeat.
type Orders struct {
	Worker      jobs.WorkerID
	Incarnation jobs.Incarnation
	// AckUpTo is the number of the last end that is taken note of.
	AckUpTo   int64
	Starts    []Start
	Stops     []Stop
	Throttles []Throttle
	// RetryAfter is the pause until the next heartbeat.
	RetryAfter clock.Millis
	// LeaseGranted is false for a worker that may no longer run anything.
	LeaseGranted bool
}

// ActionKind tells actions apart.
type ActionKind int

// The kinds of action.
const (
	// ActionMaintain orders the maintenance of a machine in a wave.
	ActionMaintain ActionKind = iota
	// ActionMove moves a machine to a pool; what runs on it ends.
	ActionMove
	// ActionListMachines asks for the machines of all pools.
	ActionListMachines
	// ActionAdvise asks which of Workers may run a step.
	ActionAdvise
)

// Action is what the platform is to do.
type Action struct {
	Kind    ActionKind
	Machine jobs.MachineID
	Wave    int
	Pool    jobs.PoolName
	// Step is the first task of the step that Workers are named for, and Takes
	// how long the answer is expected to take.
	Step             jobs.TaskID
	Workers          []jobs.WorkerID
	ExpectedDuration clock.Millis
}

// Machine is a machine as the platform lists it.
type Machine struct {
	ID   jobs.MachineID
	Pool jobs.PoolName
	// Up is false while the machine moves, is maintained or is down.
	Up       bool
	Capacity jobs.Resources
}

// Outcome is the platform's answer to an action.
type Outcome struct {
	Answer Answer
	// Reason says why the answer is not AnswerDone; empty for no reason given.
	Reason string
	// Machines answers ActionList.
	Machines []Machine
	// Tickets answers ActionAdvise.
	Tickets []Ticket
}

// String returns the answer and its reason for logs.
func (o Outcome) String() string {
	if o.Reason == "" {
		return o.Answer.String()
	}
	return o.Answer.String() + ": " + o.Reason
}

// Plan is the outcome of a pass.
type Plan struct {
	// Ops have to be committed before anything else of the plan takes effect.
	Ops     []jobs.Op
	Orders  []Orders
	Actions []Action
	// Notes explain the decisions of the pass.
	Notes []Note
	// NextPass is when the next pass is due if nothing happens before.
	NextPass clock.Millis
}
