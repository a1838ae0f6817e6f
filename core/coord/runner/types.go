package runner

import (
	"context"
	"fmt"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
	"camphorridge/core/state/sched"
)

// Kind tells the errors of the package apart.
type Kind int

// The kinds of error.
const (
	// KindNotLeader means that this process does not lead, or does not yet
	// have the state; nothing was done.
	KindNotLeader Kind = iota
	// KindBusy means that too many inputs wait; nothing was done.
	KindBusy
	// KindUnknown means that what was asked for may or may not be done.
	KindUnknown
	// KindStale means that a heartbeat came late and was not taken.
	KindStale
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("runner: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func failf(op string, kind Kind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

// Group is what the runner needs of the consensus duty.
type Group interface {
	Propose(ctx context.Context, c model.Change) (model.Result, error)
	// Read returns once a query that follows sees every acknowledged change.
	Read(ctx context.Context) error
	Query(ctx context.Context, f func(*fleet.State)) error
	// Leads reports whether this process leads, and in which term.
	Leads() (uint64, bool)
	// Certain reports whether an error of Propose says that the change was not
	// and will not be applied.
	Certain(err error) bool
}

// Machines is the platform's interface to machines.
type Machines interface {
	// Do carries an order out.
	Do(ctx context.Context, o MachineAction) sched.Outcome
}

// MachineAction is an action of the platform in the name of a leader.
type MachineAction struct {
	sched.Action
	Holder string
	// Token is the leader's fencing token.
	Token uint64
	// MaySend reports whether the order may still be sent. It has to be asked right
	// before the order is written: a process may be held up at any point before,
	// for longer than it takes another one to lead and to give orders.
	MaySend func() bool
}

// CallKind tells calls apart.
type CallKind int

// The kinds of call.
const (
	// CallSubmit hands in Job under the path's identity.
	CallSubmit CallKind = iota
	CallStatus
	CallCancel
	// CallPending counts the jobs of a queue that have not started.
	CallPending
	// CallPing asks whether calls can be answered.
	CallPing
	// CallExplain asks how far a job is and what it waits for, and CallList for
	// the jobs that have not ended.
	CallExplain
	CallList
	// CallConfigure puts Config in force, and CallConfig returns what is.
	CallConfigure
	CallGetConfig
	// CallDeclareWave declares Wave, and CallWave asks for wave Number.
	CallDeclareWave
	CallGetWave
)

// Call is a question or an order of a submitter or an operator.
type Call struct {
	Kind CallKind
	// Host and Path select the queue; what follows the queue's prefix names
	// the job.
	Host string
	Path string
	// Queue and ID name the queue and the job in place of them; a job that is
	// known needs no queue.
	Queue      jobs.QueueName
	JobID      jobs.ID
	Job        jobs.Job
	Config     jobs.Config
	Wave       jobs.Wave
	WaveNumber int
}

// AnswerKind tells answers apart.
type AnswerKind int

// The kinds of answer.
const (
	AnswerDone AnswerKind = iota
	// AnswerNoQueue, AnswerNoJob and AnswerNoWave: there is none.
	AnswerNoQueue
	AnswerNoJob
	AnswerNoWave
	// AnswerInvalid: the call names nothing that can be done.
	AnswerInvalid
	// AnswerUnavailable: nothing was done and nothing will be; Retry says when
	// to come back.
	AnswerUnavailable
	// AnswerOutcomeUnknown: it may be done.
	AnswerOutcomeUnknown
)

var answerNames = [...]string{
	"done", "no-queue", "no-job", "no-wave", "invalid", "unavailable", "unknown",
}

// String returns the name used in logs and metrics.
func (k AnswerKind) String() string {
	if k < 0 || int(k) >= len(answerNames) {
		return "undefined"
	}
	return answerNames[k]
}

// Answer is the answer to a call.
type Answer struct {
	Kind   AnswerKind
	Status jobs.Status
	// Count answers CallPending, and CallList with the number of all jobs of
	// which Jobs may be a part.
	Count int
	// Report answers CallExplain, and Jobs CallList.
	Report *sched.JobReport
	Jobs   []sched.JobSummary
	// ConfigDocument and Version answer CallConfig.
	ConfigDocument []byte
	ConfigVersion  uint64
	// WaveCompleted answers CallWave.
	WaveCompleted bool
	// RetryAfter is when an unavailable caller may come back.
	RetryAfter clock.Millis
	Reason     string
}

// HeartbeatReply is the answer to a heartbeat.
type HeartbeatReply struct {
	Orders sched.Orders
	// Lease is the time, from the sending of the heartbeat, during which the
	// worker may run tasks; 0 for none.
	Lease clock.Millis
	// Token is the fencing token of the orders.
	Token uint64
}

// Counts are counters since the start; they only grow.
type Counts struct {
	Heartbeats      int64
	StaleHeartbeats int64
	Calls           int64
	Batches         int64
	Operations      int64
	// Resets counts the times that uncommitted decisions were dropped.
	Resets int64
	// RunsStarted, Lost and Failed count runs.
	RunsStarted int64
	RunsLost    int64
	RunsFailed  int64
}
