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

// Kind is the kind of an Error.
type Kind int

// The kinds of error.
const (
	// KindNotLeader means that this process is not the leader or has not loaded
	// the state yet, and that nothing was done. A heartbeat also gets it when the
	// process stops; that heartbeat may have been handled.
	KindNotLeader Kind = iota
	// KindBusy means that the input ring is full; nothing was done.
	KindBusy
	// KindOutcomeUnknown means that the request may or may not have been carried out.
	KindOutcomeUnknown
	// KindStale means that the scheduler ignored the heartbeat as outdated (see
	// sched.Scheduler.Heartbeat), or that a later heartbeat of the same worker
	// arrived before this one was answered. In the second case the scheduler has
	// processed the heartbeat.
	KindStale
	// KindUnknownPool means that the scheduler ignored the heartbeat because no
	// configuration names its pool. The sender may be none of the system's workers, or
	// its pool may be part of the next configuration.
	KindUnknownPool
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

// Group is the control group as the runner uses it.
type Group interface {
	// Propose replicates a change and returns the result of applying it. Changes
	// that were proposed earlier in the same term, and are applied at all, have been
	// applied by then.
	Propose(ctx context.Context, c model.Change) (model.Result, error)
	// Read returns once a later Query sees every acknowledged change, but perhaps
	// not a change whose proposal timed out. It fails when this process can't
	// confirm that it leads.
	Read(ctx context.Context) error
	// Query runs f on the replicated state.
	Query(ctx context.Context, f func(*fleet.State)) error
	// Leads returns the current term and whether this process leads in it.
	Leads() (uint64, bool)
	// ChangeBytes returns the size of an encoded change.
	ChangeBytes(c model.Change) int
	// TooLarge reports whether an error of Propose means that the change is too large.
	// The change was not applied then.
	TooLarge(err error) bool
	// NotApplied reports whether an error of Propose proves that the change was
	// not applied and never will be.
	NotApplied(err error) bool
}

// Machines carries out actions on the machines of the platform.
type Machines interface {
	// Do sends an action to the platform and returns the platform's answer.
	Do(ctx context.Context, a MachineAction) sched.Outcome
}

// MachineAction is an action that a leader asks the platform to carry out on a
// machine.
type MachineAction struct {
	sched.Action
	// Holder is the name of the leader that sends the action.
	Holder string
	// Token is the leader's fencing token.
	Token uint64
	// MaySend reports whether the action may still be sent. Call it right before
	// the request is written: this process may be suspended at any earlier point
	// for so long that another process becomes leader and sends actions itself.
	MaySend func() bool
}

// CallKind is the kind of a Call.
type CallKind int

// The kinds of call.
const (
	// CallSubmit submits Job under the ID that the path or JobID names.
	CallSubmit CallKind = iota
	// CallStatus returns the status of a job.
	CallStatus
	// CallCancel cancels a job.
	CallCancel
	// CallPending counts the jobs of a queue that have not started.
	CallPending
	// CallPing checks whether calls can be answered.
	CallPing
	// CallExplain returns a job's progress and what it waits for.
	CallExplain
	// CallList lists the jobs that have not ended.
	CallList
	// CallCustomers lists the customers of the job service.
	CallCustomers
	// CallConfigure puts Config in force.
	CallConfigure
	// CallGetConfig returns the configuration in force.
	CallGetConfig
	// CallDeclareWave declares the maintenance wave Wave.
	CallDeclareWave
	// CallGetWave returns whether the wave WaveNumber has completed.
	CallGetWave
)

// sheddable reports whether calls of the kind are refused when they have waited for
// too long. The calls of operators and cancels are few and free the fleet of work.
func (k CallKind) sheddable() bool {
	switch k {
	case CallSubmit, CallStatus, CallPending, CallExplain, CallList, CallCustomers:
		return true
	}
	return false
}

// RefusedBy reports whether an answer to a call says that it was not executed. That is
// true of the last attempt alone: an earlier one may have reached a queue or used a key
// that has been removed since.
func (k CallKind) RefusedBy(a AnswerKind) bool {
	switch a {
	case AnswerUnavailable, AnswerOverloaded, AnswerStale:
		return true
	case AnswerNoQueue, AnswerUnauthorized:
		return k == CallSubmit
	}
	return false
}

// Call is a request of a submitter or an operator.
type Call struct {
	Kind CallKind
	// IssuedAt is the latest time of the leader that was known to the process which
	// received a submission, when it received it; 0 for none. A submission that is
	// held up is refused once it is older than a cancel is remembered for.
	IssuedAt clock.Millis
	// Key is the digest of the caller's key; empty for none. It is not checked for
	// calls that name their queue or job directly, which only operators make.
	Key jobs.KeyDigest
	// Host and Path select the queue; the part of Path after the queue's prefix
	// is the ID of the job.
	Host string
	Path string
	// Queue and JobID are an alternative to Host and Path. Queue may be empty
	// when a job with JobID exists.
	Queue      jobs.QueueName
	JobID      jobs.ID
	Job        jobs.Job
	Config     jobs.Config
	Wave       jobs.Wave
	WaveNumber int
}

// AnswerKind is the kind of an Answer.
type AnswerKind int

// The kinds of answer.
const (
	// AnswerDone means that the call was carried out.
	AnswerDone AnswerKind = iota
	// AnswerNoQueue, AnswerNoJob and AnswerNoWave mean that the named queue, job
	// or wave does not exist.
	AnswerNoQueue
	AnswerNoJob
	AnswerNoWave
	// AnswerInvalid means that the call needs the ID of a job and has none or one that
	// is too long, or that it declares other machines under the number of a known wave.
	AnswerInvalid
	// AnswerUnavailable means that nothing was done and nothing will be done;
	// the caller may retry after RetryAfter.
	AnswerUnavailable
	// AnswerOutcomeUnknown means that the call may or may not be carried out.
	AnswerOutcomeUnknown
	// AnswerOverloaded is like AnswerUnavailable, but the leader has more calls than
	// it can handle: the call must not be repeated before RetryAfter.
	AnswerOverloaded
	// AnswerStale is like AnswerUnavailable, but the call was issued too long ago:
	// only a new call, with a later IssuedAt, can succeed.
	AnswerStale
	// AnswerTooLarge means that the job, configuration or wave of the call is too large
	// for one change; nothing was done.
	AnswerTooLarge
	// AnswerUnauthorized means that the call has no key of a customer although its
	// queue needs one, or that its job belongs to another customer; nothing was done.
	AnswerUnauthorized

	// LastAnswerKind is the highest kind of answer.
	LastAnswerKind = AnswerUnauthorized
)

var answerNames = [...]string{
	"done", "no-queue", "no-job", "no-wave", "invalid", "unavailable", "unknown", "overloaded", "stale",
	"too-large", "unauthorized",
}

// String returns the name of the kind in logs and metrics.
func (k AnswerKind) String() string {
	if k < 0 || int(k) >= len(answerNames) {
		return "undefined"
	}
	return answerNames[k]
}

// Answer is the answer to a Call.
type Answer struct {
	Kind AnswerKind
	// Status is the status of the job that the call named.
	Status jobs.Status
	// Count is the number of pending jobs for CallPending. For CallList it is
	// the number of all jobs that have not ended, and for CallCustomers that of all
	// customers; Jobs and Customers may hold fewer.
	Count int
	// Report is set for CallExplain.
	Report *sched.JobReport
	// Jobs is set for CallList.
	Jobs []sched.JobSummary
	// Customers is set for CallCustomers, sorted by name. UnknownKeyCalls is the counter
	// Counts.UnknownKeyCalls of the leader for CallCustomers.
	Customers       []CustomerStatus
	UnknownKeyCalls int64
	// ConfigDocument is set for CallGetConfig.
	ConfigDocument []byte
	// ConfigVersion is the version in force; set for CallGetConfig and
	// CallConfigure.
	ConfigVersion uint64
	// WaveCompleted is set for CallGetWave.
	WaveCompleted bool
	// RetryAfter is the delay after which a caller may retry; set for
	// AnswerUnavailable, AnswerOverloaded and AnswerStale.
	RetryAfter clock.Millis
	// LeaderTime is the leader's time when it handled the call, for IssuedAt of later
	// calls; 0 if the call was not handled.
	LeaderTime clock.Millis
	// Reason says why the call was not carried out; empty for AnswerDone.
	Reason string
}

// HeartbeatReply is the answer to a heartbeat.
type HeartbeatReply struct {
	Orders sched.Orders
	// Lease is how long the worker may run tasks, counted from the time at which
	// it sent the heartbeat; 0 grants no lease.
	Lease clock.Millis
	// Token is the fencing token of the orders.
	Token uint64
}

// Counts holds counters since the start of the process; they only grow.
type Counts struct {
	Heartbeats int64
	// StaleHeartbeats counts the heartbeats that the scheduler ignored as outdated.
	StaleHeartbeats int64
	// UnknownPoolHeartbeats counts those that it ignored because of their pool.
	UnknownPoolHeartbeats int64
	// BareRenewals counts the replies that renewed a lease without the orders, because
	// the commit of these took too long.
	BareRenewals int64
	Calls        int64
	// OverloadRefusals counts the calls that were refused because they had waited for
	// too long. Calls includes them.
	OverloadRefusals int64
	// UnauthorizedCalls counts the calls that were answered with AnswerUnauthorized.
	// Calls includes them. It is the sum of UnknownKeyCalls, the calls without a key of
	// a customer, and ForeignJobCalls, the calls with a key of another customer than the
	// one that their job belongs to.
	UnauthorizedCalls int64
	UnknownKeyCalls   int64
	ForeignJobCalls   int64
	// StaleSubmissions counts the submissions that were refused because they had been
	// issued too long ago, and CancelledSubmissions those that came after their
	// cancel. Calls includes them.
	StaleSubmissions     int64
	CancelledSubmissions int64
	// Batches counts the commits that were started, including loads and
	// confirmations of the leadership. Operations counts the operations in them.
	Batches    int64
	Operations int64
	// Resets counts how often the scheduler's state was discarded, together with
	// the decisions that were not committed.
	Resets int64
	// RunsStarted, RunsLost and RunsFailed count runs of tasks. They are counted
	// before the commit, so they include decisions that were not committed.
	RunsStarted int64
	RunsLost    int64
	RunsFailed  int64
}
