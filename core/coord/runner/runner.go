package runner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
	"camphorridge/core/state/place"
	"camphorridge/core/state/ring"
	"camphorridge/core/state/sched"
)

// Limits and timeouts of the runner.
const (
	// ringSize is the number of reports that can wait, and callRingSize that of calls.
	ringSize     = 4096
	callRingSize = 1024
	// maxCallsPerPass is the number of calls that are handled before the reports that
	// have arrived meanwhile.
	maxCallsPerPass int = 256
	// maxCallWait is the time above which a waiting call is refused. An entry process
	// that gets no answer for twice as long sends the call again, which adds to the
	// load.
	maxCallWait clock.Millis = 300
	// maxSubmissionAge is the age above which a submission is refused. Cancels are
	// remembered for longer (jobs.Retention): a cancel may be acknowledged before an
	// entry process reads the submission, and the clocks of successive leaders differ.
	maxSubmissionAge = clock.Minute
	// lateSubmissionAge is the age above which the receipt of a submission is logged.
	lateSubmissionAge = 2 * clock.Second
	// maxCallBytes is the largest size of a change with the job, configuration or wave of
	// one call. The rest of a change is for the other operations of its batch.
	maxCallBytes int = model.MaxChangeBytes - 2<<20
	// maxBatchBytes is the size of the changes of the calls in one batch from which on
	// further calls wait for the next batch: a batch that takes longer to replicate holds
	// up the workers' reports, and its callers give up.
	maxBatchBytes int = 1 << 20
	// commitTimeout is the limit for one commit, load or confirmation of the
	// leadership. A leader that can't commit for this long has lost its quorum.
	commitTimeout = 4 * clock.Second
	// maxConfirmationAge is the age above which the leadership is confirmed
	// again before calls and heartbeats are answered, because the answers show the
	// state or may grant worker leases. Members of the control group elect no other
	// leader so soon after a confirmation. It is also the delay between a failed
	// commit and the next load of the state.
	maxConfirmationAge clock.Millis = 300
	// maxSkewChange is the change of the clock's skew above which the machine
	// is assumed to have been suspended.
	maxSkewChange clock.Millis = 200
	// maxIdleTime is the longest time between two checks of the leadership.
	maxIdleTime = clock.Second
	// maxOrderWait is the time after the receipt of a heartbeat above which its reply
	// waits no longer for a commit, but renews the lease alone. A worker drops a reply
	// that arrives more than a second after its heartbeat.
	maxOrderWait clock.Millis = 800
	// retryAfter is the retry delay in all answers of kind AnswerUnavailable.
	retryAfter clock.Millis = 500
	// overloadRetryAfter is the shortest retry delay in answers of kind
	// AnswerOverloaded, and overloadRetrySpread the time over which they are spread.
	overloadRetryAfter  = clock.Second
	overloadRetrySpread = 2 * clock.Second
	// actionSenders is the number of goroutines that send actions to the platform.
	actionSenders int = 4
	// actionRingSize is the number of actions that can wait to be sent. Further
	// actions are handled as if the platform had refused them for now.
	actionRingSize int = 256
	// maxListedJobs is the largest number of jobs in an answer to CallList.
	maxListedJobs int = 200
	// actionTimeout is the limit for sending one action to the platform, on top
	// of the time that the action itself takes.
	actionTimeout = 2 * clock.Second
	// maxActionAge is the time after its release above which a committed action is
	// no longer sent, because it may conflict with actions of a later leader.
	maxActionAge = clock.Second
)

// Runner schedules jobs while its process leads. The goroutine that runs Run owns
// the scheduler; all methods may be called from any goroutine.
type Runner[G Group, M Machines, O sched.RankPolicy, J place.HealthPolicy] struct {
	// Name is sent to the platform as the holder of machine actions.
	Name     string
	group    G
	machines M
	rank     O
	health   J
	settings sched.Settings
	clock    clock.Clock
	// notes receives explanations of decisions; it may be nil and must not block.
	notes func([]sched.Note)
	// observeCommit receives the duration of each successful commit, load and
	// confirmation of the leadership in the current term; it may be nil and must not
	// block.
	observeCommit func(clock.Millis)

	// in holds everything but calls. It is read first: a worker that gets no answer
	// within its lease gives up its runs, and a caller only has to come back.
	in              *ring.Ring[input]
	calls           *ring.Ring[pendingCall]
	commits         *ring.Ring[*batch]
	actions         *ring.Ring[pendingAction]
	done            chan struct{}
	ended           chan struct{}
	stopOnce        sync.Once
	publishedCounts atomic.Pointer[Counts]
	// publishedCustomers is nil while there are no reports on customers.
	publishedCustomers atomic.Pointer[[]sched.CustomerReport]

	// The fields below are used by Run's goroutine alone.

	// scheduler is nil while this process does not lead or has not loaded the
	// state.
	scheduler *sched.Scheduler[O, J]
	// generation counts the schedulers; a load in the same term increases it too.
	generation uint64
	// term is the term in which this process leads; 0 when it doesn't.
	term uint64
	// next collects the decisions for the next commit.
	next batch
	// inFlight is the batch that is being committed; nil for none.
	inFlight *batch
	// confirmedAt is the latest time at which this process is known to have led;
	// 0 for none.
	confirmedAt clock.Millis
	// lastSkew is the clock's skew when it last changed by more than
	// maxSkewChange.
	lastSkew clock.Millis
	// waiting holds the latest heartbeat of each worker for which the scheduler has
	// not made orders yet. A heartbeat with orders is part of a batch.
	waiting map[jobs.WorkerID]waitingHeartbeat
	// reloadAt is the time from which the state may be loaded again after a
	// failed commit: maxConfirmationAge after the failure was handled.
	reloadAt clock.Millis
	// timer fires at wakeAt; nil for no timer.
	timer  <-chan struct{}
	wakeAt clock.Millis
	counts Counts
	load   load
	// foreignJobCalls holds CustomerStatus.ForeignJobCalls by customer. It has customers
	// of the configuration in force only.
	foreignJobCalls map[jobs.CustomerName]int64
	// handledReports is the buffer of turn.
	handledReports []input
}

// waitingHeartbeat is a heartbeat that waits for its answer.
type waitingHeartbeat struct {
	reply      chan heartbeatResult
	receivedAt clock.Millis
}

type heartbeatResult struct {
	reply HeartbeatReply
	err   error
}

// pendingAction is a committed action that has not been sent to the platform.
type pendingAction struct {
	sched.Action
	// term is the leader's term in which the action was decided, and generation
	// identifies the scheduler that decided it.
	term       uint64
	generation uint64
	// releasedAt is the time at which the action was passed on for sending, after
	// its batch was committed.
	releasedAt clock.Millis
	// skew is the value of lastSkew at releasedAt. A suspension of the machine
	// changes the clock's skew, because the clock stands still during it.
	skew clock.Millis
}

// input is one element of the runner's ring of reports. At most one of heartbeat,
// departure, committed and result is set; an input without any only wakes the event
// loop.
type input struct {
	heartbeat *sched.Heartbeat
	reply     chan heartbeatResult
	departure *departure
	committed *batch
	result    *actionResult
}

// pendingCall is a call that waits to be handled.
type pendingCall struct {
	call       Call
	receivedAt clock.Millis
	answer     chan Answer
}

// departure is the report that a worker has exited.
type departure struct {
	worker      jobs.WorkerID
	incarnation jobs.Incarnation
}

type actionResult struct {
	action  pendingAction
	outcome sched.Outcome
}

// batch is a set of operations that is committed as one change, with the
// answers, orders and actions that are sent only after the commit.
type batch struct {
	ops []jobs.Op
	// callBytes is the size of the changes of the calls in the batch.
	callBytes int
	// load is set to read the state instead of committing operations.
	load bool
	// confirm is set when the leadership must be confirmed even if there are no
	// operations to commit.
	confirm   bool
	term      uint64
	startedAt clock.Millis
	// skew is the value of lastSkew at startedAt.
	skew    clock.Millis
	answers []pendingAnswer
	orders  []pendingOrders
	actions []sched.Action

	// state is the result of a load.
	state *jobs.State
	err   error
}

type pendingAnswer struct {
	answer Answer
	reply  chan Answer
	// uncertain is set when the call may depend on an operation of an earlier
	// batch, committed or not. Such a call may take effect even if its own batch is
	// not committed.
	uncertain bool
}

type pendingOrders struct {
	orders sched.Orders
	waiter waitingHeartbeat
}

// Config holds the settings and dependencies of a Runner; see the fields of
// Runner.
type Config[G Group, M Machines, O sched.RankPolicy, J place.HealthPolicy] struct {
	Name          string
	Group         G
	Machines      M
	Rank          O
	Health        J
	Settings      sched.Settings
	Clock         clock.Clock
	Notes         func([]sched.Note)
	ObserveCommit func(clock.Millis)
}

// New returns a runner. It processes inputs only while Run is running.
func New[G Group, M Machines, O sched.RankPolicy, J place.HealthPolicy](cfg Config[G, M, O, J]) *Runner[G, M, O, J] {
	r := &Runner[G, M, O, J]{
		Name: cfg.Name, group: cfg.Group, machines: cfg.Machines, rank: cfg.Rank, health: cfg.Health, settings: cfg.Settings,
		clock: cfg.Clock, notes: cfg.Notes, observeCommit: cfg.ObserveCommit,
		in: ring.New[input](ringSize), calls: ring.New[pendingCall](callRingSize), commits: ring.New[*batch](1), actions: ring.New[pendingAction](actionRingSize),
		done: make(chan struct{}), ended: make(chan struct{}), waiting: map[jobs.WorkerID]waitingHeartbeat{},
		foreignJobCalls: map[jobs.CustomerName]int64{},
	}
	r.publishedCounts.Store(&Counts{})
	return r
}

// Counts returns a copy of the counters.
func (r *Runner[G, M, O, J]) Counts() Counts { return *r.publishedCounts.Load() }

// Refused returns the number of inputs that were refused because their ring was full.
func (r *Runner[G, M, O, J]) Refused() int64 { return r.in.Refused() + r.calls.Refused() }

// Wake makes the runner check the leadership at once.
func (r *Runner[G, M, O, J]) Wake() { r.in.TryPut(input{}) }

// Call passes a call to the runner and waits for its answer. Failures are
// reported as AnswerUnavailable, or as AnswerOutcomeUnknown when the call may
// have been carried out.
func (r *Runner[G, M, O, J]) Call(ctx context.Context, c Call) Answer {
	reply := make(chan Answer, 1)
	if !r.calls.TryPut(pendingCall{call: c, receivedAt: r.clock.Now(), answer: reply}) {
		return overloaded(&c, "too many calls wait")
	}
	select {
	case a := <-reply:
		return a
	case <-ctx.Done():
		return Answer{Kind: AnswerOutcomeUnknown, Reason: "no answer in time"}
	case <-r.ended:
		return Answer{Kind: AnswerOutcomeUnknown, Reason: "the process stops"}
	}
}

// Heartbeat passes a worker's heartbeat to the runner and waits for the answer.
// A returned error is an *Error; it may be of any kind.
func (r *Runner[G, M, O, J]) Heartbeat(ctx context.Context, h sched.Heartbeat) (HeartbeatReply, error) {
	reply := make(chan heartbeatResult, 1)
	h.ReceivedAt = r.clock.Now()
	if !r.in.TryPut(input{heartbeat: &h, reply: reply}) {
		return HeartbeatReply{}, failf("heartbeat", KindBusy, "too many inputs wait")
	}
	select {
	case a := <-reply:
		return a.reply, a.err
	case <-ctx.Done():
		return HeartbeatReply{}, failf("heartbeat", KindOutcomeUnknown, "%w", ctx.Err())
	case <-r.ended:
		return HeartbeatReply{}, failf("heartbeat", KindNotLeader, "the process stops")
	}
}

// RemoveWorker removes a worker that has exited. An incarnation of 0 matches only a
// worker that is draining. It returns false when the ring is full.
func (r *Runner[G, M, O, J]) RemoveWorker(id jobs.WorkerID, incarnation jobs.Incarnation) bool {
	return r.in.TryPut(input{departure: &departure{worker: id, incarnation: incarnation}})
}

// Leads reports whether this process leads.
func (r *Runner[G, M, O, J]) Leads() bool {
	_, ok := r.group.Leads()
	return ok
}

// Stop ends Run; it may be called more than once.
func (r *Runner[G, M, O, J]) Stop() { r.stopOnce.Do(func() { close(r.done) }) }

// Run is the event loop; it returns after Stop.
func (r *Runner[G, M, O, J]) Run() error {
	defer close(r.ended)
	go r.runCommits()
	for range actionSenders {
		go r.runActions()
	}
	for {
		var first *pendingCall
		select {
		case <-r.done:
			r.reset(failf("run", KindOutcomeUnknown, "the process stops"))
			return nil
		case in := <-r.in.C():
			r.handledReports = append(r.handledReports, in)
		case c := <-r.acceptedCalls():
			first = &c
		case <-r.timer:
			r.timer = nil
		}
		r.turn(first)
		r.publishedCounts.Store(new(r.counts))
	}
}

// turn handles all reports that wait, then first, unless it is nil, and further calls,
// and makes the decisions that follow from them.
func (r *Runner[G, M, O, J]) turn(first *pendingCall) {
	reports := r.in.Drain(r.handledReports, ringSize)
	r.followLeadership()
	now := r.clock.Now()
	r.detectSuspension()
	for i := range reports {
		r.handleInput(&reports[i], now)
	}
	clear(reports)
	r.handledReports = reports[:0]
	r.handleCalls(first, now)
	r.pass()
}

// acceptedCalls returns the channel of the calls, or nil while the next batch is full. The
// next batch is full only while the one before it is being committed.
func (r *Runner[G, M, O, J]) acceptedCalls() <-chan pendingCall {
	if r.next.callBytes >= maxBatchBytes {
		return nil
	}
	return r.calls.C()
}

// handleCalls handles first, unless it is nil, and calls that wait, maxCallsPerPass at
// most and until the next batch is full. Calls that are refused for overload don't count: a
// long queue is cleared of them at once, and the calls that have just arrived are handled
// in time.
func (r *Runner[G, M, O, J]) handleCalls(first *pendingCall, now clock.Millis) {
	handled := 0
	if first != nil && r.handleCall(first, now) {
		handled++
	}
	for handled < maxCallsPerPass {
		select {
		case c := <-r.acceptedCalls():
			if r.handleCall(&c, now) {
				handled++
			}
		default:
			return
		}
	}
}

// detectSuspension discards the confirmation of the leadership after a
// suspension of the machine: the clock stood still during it, so the
// confirmation is older than it appears. A step of the wall clock can't be told
// from a suspension; it costs one additional confirmation, and the actions that
// wait to be sent are not sent (see maySend).
func (r *Runner[G, M, O, J]) detectSuspension() {
	skew := r.clock.Skew()
	if d := skew - r.lastSkew; d > maxSkewChange || d < -maxSkewChange {
		r.confirmedAt = 0
		r.lastSkew = skew
	}
}

// followLeadership reacts to a change of leader or term: it discards the
// uncommitted decisions of the earlier term and loads the state again when this
// process leads.
func (r *Runner[G, M, O, J]) followLeadership() {
	term, ok := r.group.Leads()
	if ok && (term == r.term || r.clock.Now() < r.reloadAt) {
		return
	}
	if r.term != 0 {
		r.reset(failf("lead", KindOutcomeUnknown, "the leadership ended"))
	}
	r.term = 0
	if !ok {
		return
	}
	r.term = term
	r.startCommit(&batch{load: true, term: term, startedAt: r.clock.Now()})
}

// reset discards the scheduler and the next batch. It fails the next batch with
// KindNotLeader, because none of its operations was proposed, and answers the
// heartbeats in waiting with err. A batch in flight is answered by handleCommit.
func (r *Runner[G, M, O, J]) reset(err *Error) {
	if r.scheduler != nil {
		r.counts.Resets++
		r.noteState(sched.DecisionStateDiscarded, fmt.Sprintf("term %d, load %d: %v", r.term, r.generation, err.Err))
	}
	r.scheduler = nil
	r.publishedCustomers.Store(nil)
	r.failBatch(&r.next, failf(err.Op, KindNotLeader, "%w", err.Err))
	r.next = batch{}
	for id, w := range r.waiting {
		w.reply <- heartbeatResult{err: err}
		delete(r.waiting, id)
	}
}

// pass runs one scheduling pass and adds its decisions to the next batch.
func (r *Runner[G, M, O, J]) pass() {
	now := r.clock.Now()
	if r.scheduler == nil {
		r.wakeBy(now, now+maxIdleTime)
		return
	}
	p := r.scheduler.Pass(now)
	r.load.passes++
	r.load.longestPass = max(r.load.longestPass, r.clock.Now()-now)
	r.noteLoad(now)
	r.next.ops = append(r.next.ops, p.Ops...)
	r.next.actions = append(r.next.actions, p.Actions...)
	for _, o := range p.Orders {
		w, ok := r.waiting[o.Worker]
		if !ok {
			continue
		}
		delete(r.waiting, o.Worker)
		r.next.orders = append(r.next.orders, pendingOrders{orders: o, waiter: w})
	}
	for _, o := range p.Ops {
		r.countRun(o)
	}
	if r.notes != nil && len(p.Notes) > 0 {
		r.notes(p.Notes)
	}
	r.startNextBatch(now)
	r.renewWaiting(now)
	r.wakeBy(now, min(p.NextPass, now+maxIdleTime))
}

func (r *Runner[G, M, O, J]) countRun(o jobs.Op) {
	switch {
	case o.Kind == jobs.OpAssign:
		r.counts.RunsStarted++
	case o.Kind == jobs.OpEnd && o.Result == jobs.ResultLost:
		r.counts.RunsLost++
	case o.Kind == jobs.OpEnd && o.Result == jobs.ResultFailed:
		r.counts.RunsFailed++
	}
}

// wakeBy sets the timer so that the loop runs again at the given time or before.
func (r *Runner[G, M, O, J]) wakeBy(now, at clock.Millis) {
	if r.timer != nil && r.wakeAt <= at {
		return
	}
	r.timer, r.wakeAt = r.clock.After(max(at-now, 1)), at
}
