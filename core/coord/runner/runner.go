package runner

import (
	"context"
	"sync"
	"sync/atomic"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
	"camphorridge/core/state/ring"
	"camphorridge/core/state/sched"
)

// Bounds of the duty.
const (
	ringSize = 4096
	// commitTimeout bounds one change. A leader that cannot commit for so long
	// has lost its followers.
	commitTimeout = 4 * clock.Second
	// maxConfirmationAgeMillis is the age from which a confirmation of the leadership is
	// renewed before a lease is granted on it.
	maxConfirmationAgeMillis clock.Millis = 300
	// suspensionMillis is the change of the clock's skew that counts as a suspension.
	suspensionMillis clock.Millis = 200
	// maxIdleMillis is the longest pause between two looks at the leadership.
	maxIdleMillis = clock.Second
	// retryAfterMillis is when a caller may come back that found no leader.
	retryAfterMillis clock.Millis = 500
	actionSenders    int          = 4
	actionRingSize   int          = 256
	// maxListedJobs bounds the jobs of one list.
	maxListedJobs int = 200
	// actionTimeout bounds one action of the platform, and actionAge is how old
	// a committed action may be when it is sent: an older one may meet those of
	// a later leader.
	actionTimeout = 2 * clock.Second
	maxActionAge  = clock.Second
)

// Runner is the duty. Its methods may be called from any goroutine.
type Runner[G Group, M Machines, O sched.RankPolicy, J place.HealthPolicy] struct {
	// Name is the holder of orders to the platform.
	Name     string
	group    G
	machines M
	rank     O
	health   J
	settings sched.Settings
	clock    clock.Clock
	// notes takes explanations of decisions, and observe the time that each
	// commit took; both may be nil and must not wait.
	notes         func([]sched.Note)
	observeCommit func(clock.Millis)

	in              *ring.Ring[input]
	commits         *ring.Ring[*batch]
	actions         *ring.Ring[pendingAction]
	done            chan struct{}
	ended           chan struct{}
	once            sync.Once
	publishedCounts atomic.Pointer[Counts]

	// What follows is touched by the duty's goroutine alone.
	scheduler *sched.Scheduler[O, J]
	term      uint64
	// next collects what the passes decided; flying is being committed.
	next     batch
	inFlight *batch
	// confirmedAt is a time at which this process certainly led.
	confirmedAt clock.Millis
	// lastSkew is the clock's when it last changed by more than pauseMillis.
	lastSkew clock.Millis
	waiting  map[jobs.WorkerID]waitingHeartbeat
	// reloadAt is when the state may be loaded again after a failed commit.
	reloadAt clock.Millis
	timer    <-chan struct{}
	wakeAt   clock.Millis
	counts   Counts
}

// waitingHeartbeat is a heartbeat whose answer is held back.
type waitingHeartbeat struct {
	reply      chan heartbeatResult
	receivedAt clock.Millis
}

type heartbeatResult struct {
	reply HeartbeatReply
	err   error
}

// pendingAction is an pendingAction of the platform that may be sent.
type pendingAction struct {
	sched.Action
	term      uint64
	decidedAt clock.Millis
	// skew is the clock's at that time; it changes with a suspension, during which
	// the clock stands still.
	skew clock.Millis
}

// input is one value in the duty's ring; one part is set.
type input struct {
	call      *Call
	answer    chan Answer
	heartbeat *sched.Heartbeat
	reply     chan heartbeatResult
	departure *departure
	committed *batch
	action    *actionResult
}

type departure struct {
	worker jobs.WorkerID
	life   jobs.Incarnation
}

type actionResult struct {
	action  pendingAction
	outcome sched.Outcome
}

// batch is what waits for one commit.
type batch struct {
	ops []jobs.Op
	// load asks for the state in place of a commit.
	load      bool
	confirm   bool
	term      uint64
	startedAt clock.Millis
	answers   []pendingAnswer
	orders    []pendingOrders
	actions   []sched.Action

	// state and err are the outcome.
	state *jobs.State
	err   error
}

type pendingAnswer struct {
	answer Answer
	reply  chan Answer
	// uncertain is set when the call rests on an operation of an earlier batch:
	// it may be done although its own batch is not committed.
	uncertain bool
}

type pendingOrders struct {
	orders sched.Orders
	waiter waitingHeartbeat
}

// Config are what a runner works with.
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

// New returns a runner; Run must be called for it to do anything.
func New[G Group, M Machines, O sched.RankPolicy, J place.HealthPolicy](p Config[G, M, O, J]) *Runner[G, M, O, J] {
	r := &Runner[G, M, O, J]{
		Name: p.Name, group: p.Group, machines: p.Machines, rank: p.Rank, health: p.Health, settings: p.Settings,
		clock: p.Clock, notes: p.Notes, observeCommit: p.ObserveCommit,
		in: ring.New[input](ringSize), commits: ring.New[*batch](1), actions: ring.New[pendingAction](actionRingSize),
		done: make(chan struct{}), ended: make(chan struct{}), waiting: map[jobs.WorkerID]waitingHeartbeat{},
	}
	r.publishedCounts.Store(&Counts{})
	return r
}

// Counts returns the counters.
func (r *Runner[G, M, O, J]) Counts() Counts { return *r.publishedCounts.Load() }

// Refused is the number of inputs that found the ring full.
func (r *Runner[G, M, O, J]) Refused() int64 { return r.in.Refused() }

// Wake lets the duty look at the leadership at once.
func (r *Runner[G, M, O, J]) Wake() { r.in.TryPut(input{}) }

// Call hands in a call and waits for its answer. An error stands for
// AnswerUnavailable or, of KindUnknown, AnswerUnknown.
func (r *Runner[G, M, O, J]) Call(ctx context.Context, c Call) Answer {
	reply := make(chan Answer, 1)
	if !r.in.TryPut(input{call: &c, answer: reply}) {
		return unavailable("too many calls wait")
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

func unavailable(reason string) Answer {
	return Answer{Kind: AnswerUnavailable, RetryAfter: retryAfterMillis, Reason: reason}
}

// Heartbeat hands in a heartbeat and waits for its answer. Errors are of kind
// not-leader, busy, unknown or stale.
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
		return HeartbeatReply{}, failf("heartbeat", KindUnknown, "%w", ctx.Err())
	case <-r.ended:
		return HeartbeatReply{}, failf("heartbeat", KindNotLeader, "the process stops")
	}
}

// Leave takes note of a worker that ended by itself.
func (r *Runner[G, M, O, J]) Leave(id jobs.WorkerID, life jobs.Incarnation) bool {
	return r.in.TryPut(input{departure: &departure{worker: id, life: life}})
}

// Leads reports whether this process leads and has the state.
func (r *Runner[G, M, O, J]) Leads() bool {
	_, ok := r.group.Leads()
	return ok
}

// Stop ends Run.
func (r *Runner[G, M, O, J]) Stop() { r.once.Do(func() { close(r.done) }) }

// Run is the duty.
func (r *Runner[G, M, O, J]) Run() error {
	defer close(r.ended)
	go r.runCommits()
	for range actionSenders {
		go r.runActions()
	}
	buf := make([]input, 0, ringSize)
	for {
		select {
		case <-r.done:
			r.reset(failf("run", KindUnknown, "the process stops"))
			return nil
		case in := <-r.in.C():
			buf = r.in.Drain(append(buf[:0], in), ringSize)
		case <-r.timer:
			buf, r.timer = buf[:0], nil
		}
		r.followLeadership()
		now := r.clock.Now()
		r.detectSuspension()
		for i := range buf {
			r.handleInput(&buf[i], now)
		}
		clear(buf)
		r.pass()
		r.publishedCounts.Store(new(r.counts))
	}
}

// detectSuspension drops the confirmation of the leadership after a suspension of the
// machine, during which the clock stood still: its age is not what it seems.
// A step of the time of day looks the same and costs one confirmation.
func (r *Runner[G, M, O, J]) detectSuspension() {
	skew := r.clock.Skew()
	if d := skew - r.lastSkew; d > suspensionMillis || d < -suspensionMillis {
		r.confirmedAt = 0
		r.lastSkew = skew
	}
}

// followLeadership follows the leadership: what was decided in an earlier term and is not
// committed is dropped, and the state is loaded anew.
func (r *Runner[G, M, O, J]) followLeadership() {
	term, ok := r.group.Leads()
	if ok && (term == r.term || r.clock.Now() < r.reloadAt) {
		return
	}
	if r.term != 0 {
		r.reset(failf("lead", KindUnknown, "the leadership ended"))
	}
	r.term = 0
	if !ok {
		return
	}
	r.term = term
	r.startCommit(&batch{load: true, term: term, startedAt: r.clock.Now()})
}

// reset forgets the board and answers everyone who waits.
func (r *Runner[G, M, O, J]) reset(err *Error) {
	if r.scheduler != nil {
		r.counts.Resets++
	}
	r.scheduler = nil
	r.failBatch(&r.next, failf(err.Op, KindNotLeader, "%w", err.Err))
	r.next = batch{}
	for id, w := range r.waiting {
		w.reply <- heartbeatResult{err: err}
		delete(r.waiting, id)
	}
}

// failBatch answers those whose batch was not committed.
func (r *Runner[G, M, O, J]) failBatch(b *batch, err *Error) {
	for _, a := range b.answers {
		if err.Kind == KindUnknown || a.uncertain {
			a.reply <- Answer{Kind: AnswerOutcomeUnknown, Reason: err.Error()}
		} else {
			a.reply <- unavailable(err.Error())
		}
	}
	for _, o := range b.orders {
		o.waiter.reply <- heartbeatResult{err: err}
	}
}

// pass lets the board decide and has the decisions committed.
func (r *Runner[G, M, O, J]) pass() {
	now := r.clock.Now()
	if r.scheduler == nil {
		r.wakeBy(now, now+maxIdleMillis)
		return
	}
	p := r.scheduler.Pass(now)
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
	r.wakeBy(now, min(p.NextPass, now+maxIdleMillis))
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

// wakeBy makes sure that the duty wakes up at a time.
func (r *Runner[G, M, O, J]) wakeBy(now, at clock.Millis) {
	if r.timer != nil && r.wakeAt <= at {
		return
	}
	r.timer, r.wakeAt = r.clock.After(max(at-now, 1)), at
}

// startNextBatch hands the next batch to the committer unless one is on its way. What
// needs no commit is released at once.
func (r *Runner[G, M, O, J]) startNextBatch(now clock.Millis) {
	if r.inFlight != nil {
		return
	}
	b := &r.next
	if len(b.actions) > 0 || (len(b.orders) > 0 && now-r.confirmedAt > maxConfirmationAgeMillis) {
		b.confirm = true
	}
	if len(b.ops) == 0 && !b.confirm {
		if len(b.answers)+len(b.orders) > 0 {
			r.releaseBatch(b, now)
			r.next = batch{}
		}
		return
	}
	sent := r.next
	r.next = batch{}
	sent.term, sent.startedAt = r.term, now
	r.startCommit(&sent)
}

func (r *Runner[G, M, O, J]) startCommit(b *batch) {
	r.inFlight = b
	r.counts.Batches++
	r.counts.Operations += int64(len(b.ops))
	// The ring holds one batch and none is on its way, but for the load of a
	// later term.
	r.commits.PutWait(b, r.done)
}

// releaseBatch sends out what a batch decided.
func (r *Runner[G, M, O, J]) releaseBatch(b *batch, now clock.Millis) {
	for _, a := range b.answers {
		a.reply <- a.answer
	}
	for _, o := range b.orders {
		lease := r.settings.LeaseMillis - max(0, o.waiter.receivedAt-r.confirmedAt)
		if !o.orders.LeaseGranted {
			lease = 0
		}
		o.waiter.reply <- heartbeatResult{reply: HeartbeatReply{Orders: o.orders, Lease: max(lease, 0), Token: r.term}}
	}
	for _, a := range b.actions {
		if !r.actions.TryPut(pendingAction{Action: a, term: r.term, decidedAt: now, skew: r.lastSkew}) {
			r.scheduler.HandleOutcome(a, sched.Outcome{Answer: sched.AnswerRefusedForNow}, now)
		}
	}
}

// handleCommit takes the outcome of a commit.
func (r *Runner[G, M, O, J]) handleCommit(b *batch, now clock.Millis) {
	if r.inFlight == b {
		r.inFlight = nil
	}
	if b.err != nil || b.term != r.term {
		err := failf("commit", KindUnknown, "the term ended")
		if b.err != nil {
			err = failf("commit", KindUnknown, "%w", b.err)
			if r.group.Certain(b.err) {
				err.Kind = KindNotLeader
			}
		}
		r.failBatch(b, err)
		if b.term == r.term {
			r.reset(failf("commit", KindUnknown, "a change before it was not committed"))
			// The state is loaded again if this process still leads.
			r.term, r.reloadAt = 0, now+maxConfirmationAgeMillis
			r.wakeBy(now, r.reloadAt)
		}
		return
	}
	r.confirmedAt = b.startedAt
	if r.observeCommit != nil {
		r.observeCommit(now - b.startedAt)
	}
	if b.load {
		r.scheduler = sched.New(r.settings, r.rank, r.health, b.state, now)
		return
	}
	r.releaseBatch(b, now)
}

// runCommits is the committer duty: one change, read or load at a time.
func (r *Runner[G, M, O, J]) runCommits() {
	for {
		select {
		case b := <-r.commits.C():
			r.commit(b)
			if !r.in.PutWait(input{committed: b}, r.ended) {
				return
			}
		case <-r.ended:
			return
		}
	}
}

func (r *Runner[G, M, O, J]) commit(b *batch) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout.Duration())
	defer cancel()
	switch {
	case b.load:
		b.err = r.load(ctx, b)
	case len(b.ops) > 0:
		b.err = r.propose(ctx, b)
	default:
		b.err = r.group.Read(ctx)
	}
}
