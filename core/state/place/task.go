package place

import (
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// Names of the objects of the package.
type (
	// TaskID names a task.
	TaskID string
	// WorkerID names a machine that runs tasks.
	WorkerID string
	// Size is an amount of processors, memory and accelerators.
	Size = model.Quota
)

// Settings are the figures of task placement.
type Settings struct {
	// LeaseMillis is how long a worker may run tasks after it was last heard.
	LeaseMillis clock.Millis
	// SkewMillis bounds by how much a worker's clock may run slow within a
	// lease.
	SkewMillis clock.Millis
	// CheckpointMillis is the time that a checkpoint and the restart from it
	// cost a task; ThrottleMillis is what a throttling is counted as.
	CheckpointMillis clock.Millis
	ThrottleMillis   clock.Millis
	// AsideMillis is how long a worker stays set aside before it is tried
	// again with one task.
	AsideMillis clock.Millis
	// TrialTasks bounds the tasks on a worker that has not run any yet, until
	// one ended well or ran for TrialMillis. It bounds what a worker that
	// fails everything takes with it at once.
	TrialTasks  int
	TrialMillis clock.Millis
	// AsidePercent bounds the share of workers that are set aside at once. More
	// failing at the same time have a common cause that no worker is to blame
	// for.
	AsidePercent int
	// FailMost is the number of different workers that a task may fail on
	// before it is given up; at least 1.
	FailMost int
	// Lookahead is the number of a team's waiting tasks that are tried when
	// the first does not fit; at least 1.
	Lookahead int
	// StopsPerPass bounds the stops that cancellations lead to in one pass, so
	// that a wave of them does not hold up starts; the rest follow after
	// StopPauseMillis.
	StopsPerPass    int
	StopPauseMillis clock.Millis
	// Scan turns the index of free room off: every choice looks at all
	// workers. It is there to measure what the index saves.
	Scan bool
}

// Defaults are the settings that the benchmarks use.
func Defaults() Settings {
	return Settings{
		LeaseMillis: 10 * clock.Second, SkewMillis: clock.Second, CheckpointMillis: 5 * clock.Second,
		ThrottleMillis: 5 * clock.Second, AsideMillis: 10 * clock.Minute, TrialTasks: 4, TrialMillis: 10 * clock.Second, AsidePercent: 20, FailMost: 3, Lookahead: 8,
		StopsPerPass: 200, StopPauseMillis: 100,
	}
}

// Task is a piece of work.
type Task struct {
	ID   TaskID
	Team model.Customer
	// Class groups tasks of a team that are alike; sizes are learnt by it.
	Class    string
	Urgent   bool
	Priority int
	// Declared is what the submitter says. It counts only until tasks of the
	// class were seen running.
	Declared  Size
	Submitted clock.Millis
	// Checkpoints and Throttles say what the task can bear.
	Checkpoints bool
	Throttles   bool
}

// Phase is the state of a task.
type Phase int

// The phases of a task.
const (
	// PhaseWaiting: not on any worker.
	PhaseWaiting Phase = iota
	// PhaseRunning: started on a worker whose lease lasts.
	PhaseRunning
	// PhaseEnding: told to checkpoint or stop; it may still run.
	PhaseEnding
	// PhaseOver: ended for good.
	PhaseOver
)

// Worker is a machine that runs tasks.
type Worker struct {
	ID   WorkerID
	Zone model.Zone
	Rack model.Rack
	Size Size
	// Gone takes the worker out of use; what runs on it is left to end.
	Gone bool
}

// ActionKind tells the actions apart.
type ActionKind string

// The actions.
const (
	ActionStart      ActionKind = "start"
	ActionRenew      ActionKind = "renew"
	ActionCheckpoint ActionKind = "checkpoint"
	ActionThrottle   ActionKind = "throttle"
	ActionStop       ActionKind = "stop"
)

// Action is something the platform is to do.
type Action struct {
	Kind   ActionKind
	Worker WorkerID
	Task   TaskID
	// Attempt numbers the starts of a task from 1; the platform repeats it in
	// its reports, so that late reports of an earlier start are told apart.
	Attempt int
	Size    Size
	// Percent is the share of its size that a throttled task keeps.
	Percent int
	// Until is the end of the worker's lease.
	Until  clock.Millis
	Reason string
}

// Limit names what keeps a task waiting.
type Limit string

// The limits.
const (
	LimitQuota  Limit = "quota"
	LimitRoom   Limit = "room"
	LimitBudget Limit = "disruption-budget"
	LimitHeld   Limit = "room-being-made"
)

// Wait says why the first waiting task of a team does not start.
type Wait struct {
	Team    model.Customer
	Task    TaskID
	Limit   Limit
	Need    Size
	Unblock string
}

// GivenUp is a task that the system will not run again, and why.
type GivenUp struct {
	Task   TaskID
	Reason string
}

// Aside is a worker that gets no new work, and why.
type Aside struct {
	Worker WorkerID
	Reason string
}

// Plan is the outcome of a pass.
type Plan struct {
	Actions []Action
	Waits   []Wait
	GivenUp []GivenUp
	Aside   []Aside
	// Wake is when the next pass is needed if nothing changes; 0 for never.
	Wake clock.Millis
}

// Outcome is how a run of a task ended.
type Outcome int

// The outcomes of a run.
const (
	OutcomeDone Outcome = iota
	OutcomeFailed
	// OutcomeCheckpointed: stopped with its work saved.
	OutcomeCheckpointed
	// OutcomeStopped: stopped on request, or the worker's lease ran out.
	OutcomeStopped
)

func larger(a, b Size) Size {
	return Size{
		MilliCores:   max(a.MilliCores, b.MilliCores),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func smaller(a, b Size) Size {
	return Size{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
