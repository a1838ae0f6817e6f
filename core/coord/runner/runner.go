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
	// confirmMillis is the age from which a confirmation of the leadership is
	// renewed before a lease is granted on it.
	confirmMillis clock.Millis = 300
	// pauseMillis is the change of the clock's skew that counts as a suspension.
	pauseMillis clock.Millis = 200
	// idleMillis is the longest pause between two looks at the leadership.
	idleMillis = clock.Second
	// comeBackMillis is when a caller may come back that found no leader.
	comeBackMillis clock.Millis = 500
	actors         int          = 4
	actionRing     int          = 256
	// listMost bounds the jobs of one list.
	listMost int = 200
	// actionTimeout bounds one action of the platform, and actionAge is how old
	// a committed action may be when it is sent: an older one may meet those of
	// a later leader.
	actionTimeout = 2 * clock.Second
	actionAge     = clock.Second
)

// Runner is the duty. Its methods may be called from any goroutine.
type Runner[G Group, M Machines, O sched.RankPolicy, J place.HealthPolicy] struct {
	// Name is the holder of orders to the platform.
	Name     string
	group    G
	machines M
	order    O
	judge    J
	set      sched.Settings
	clock    clock.Clock
	// notes takes explanations of decisions, and observe the time that each
	// commit took; both may be nil and must not wait.
	notes   func([]sched.Note)
	observe func(clock.Millis)

	in      *ring.Ring[input]
	commits *ring.Ring[*batch]
	actions *ring.Ring[action]
	done    chan struct{}
	ended   chan struct{}
	once    sync.Once
	counts  atomic.Pointer[Counts]

	// What follows is touched by the duty's goroutine alone.
	board *sched.Scheduler[O, J]
	term  uint64
	// next collects what the passes decided; flying is being committed.
	next   batch
	flying *batch
	// confirmed is a time at which this process certainly led.
	confirmed clock.Millis
	// skew is the clock's when it last changed by more than pauseMillis.
	skew    clock.Millis
	waiters map[jobs.WorkerID]waiter
	// retryAt is when the state may be loaded again after a failed commit.
	retryAt clock.Millis
	timer   <-chan struct{}
	timerAt clock.Millis
	n       Counts
}

// waiter is a heartbeat whose answer is held back.
type waiter struct {
	reply    chan beatAnswer
	received clock.Millis
}

type beatAnswer struct {
	reply HeartbeatReply
	err   error
}

// action is an action of the platform that may be sent.
type action struct {
	sched.Action
	term uint64
	at   clock.Millis
	// skew is the clock's at that time; it changes with a suspension, during which
	// the clock stands still.
	skew clock.Millis
}

// input is one value in the duty's ring; one part is set.
type input struct {
	call      *Call
	answer    chan Answer
	beat      *sched.Heartbeat
	reply     chan beatAnswer
	leave     *leave
	committed *batch
	acted     *acted
}

type leave struct {
	worker jobs.WorkerID
	life   jobs.Incarnation
}

type acted struct {
	action  action
	outcome sched.Outcome
}

// batch is what waits for one commit.
type batch struct {
	ops []jobs.Op
	// load asks for the state in place of a commit.
	load    bool
	confirm bool
	term    uint64
	since   clock.Millis
	answers []callAnswer
	orders  []beatOrders
	actions []sched.Action

	// state and err are the outcome.
	state *jobs.State
	err   error
}

type callAnswer struct {
	answer Answer
	reply  chan Answer
	// uncertain is set when the call rests on an operation of an earlier batch:
	// it may be done although its own batch is not committed.
	uncertain bool
}

type beatOrders struct {
	orders sched.Orders
	waiter waiter
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
		Name: p.Name, group: p.Group, machines: p.Machines, order: p.Rank, judge: p.Health, set: p.Settings,
		clock: p.Clock, notes: p.Notes, observe: p.ObserveCommit,
		in: ring.New[input](ringSize), commits: ring.New[*batch](1), actions: ring.New[action](actionRing),
		done: make(chan struct{}), ended: make(chan struct{}), waiters: map[jobs.WorkerID]waiter{},
	}
	r.counts.Store(&Counts{})
	return r
}

// Counts returns the counters.
func (r *Runner[G, M, O, J]) Counts() Counts { return *r.counts.Load() }

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
	return Answer{Kind: AnswerUnavailable, RetryAfter: comeBackMillis, Reason: reason}
}

// Heartbeat hands in a heartbeat and waits for its answer. Errors are of kind
// not-leader, busy, unknown or stale.
func (r *Runner[G, M, O, J]) Heartbeat(ctx context.Context, h sched.Heartbeat) (HeartbeatReply, error) {
	reply := make(chan beatAnswer, 1)
	h.ReceivedAt = r.clock.Now()
	if !r.in.TryPut(input{beat: &h, reply: reply}) {
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
	return r.in.TryPut(input{leave: &leave{worker: id, life: life}})
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
	for range actors {
		go r.runActions()
	}
	buf := make([]input, 0, ringSize)
	for {
		select {
		case <-r.done:
			r.drop(failf("run", KindUnknown, "the process stops"))
			return nil
		case in := <-r.in.C():
			buf = r.in.Drain(append(buf[:0], in), ringSize)
		case <-r.timer:
			buf, r.timer = buf[:0], nil
		}
		r.lead()
		now := r.clock.Now()
		r.notePause()
		for i := range buf {
			r.take(&buf[i], now)
		}
		clear(buf)
		r.pass()
		r.counts.Store(new(r.n))
	}
}

// notePause drops the confirmation of the leadership after a suspension of the
// machine, during which the clock stood still: its age is not what it seems.
// A step of the time of day looks the same and costs one confirmation.
func (r *Runner[G, M, O, J]) notePause() {
	skew := r.clock.Skew()
	if d := skew - r.skew; d > pauseMillis || d < -pauseMillis {
		r.confirmed = 0
		r.skew = skew
	}
}

// lead follows the leadership: what was decided in an earlier term and is not
// committed is dropped, and the state is loaded anew.
func (r *Runner[G, M, O, J]) lead() {
	term, ok := r.group.Leads()
	if ok && (term == r.term || r.clock.Now() < r.retryAt) {
		return
	}
	if r.term != 0 {
		r.drop(failf("lead", KindUnknown, "the leadership ended"))
	}
	r.term = 0
	if !ok {
		return
	}
	r.term = term
	r.fly(&batch{load: true, term: term, since: r.clock.Now()})
}

// drop forgets the board and answers everyone who waits.
func (r *Runner[G, M, O, J]) drop(err *Error) {
	if r.board != nil {
		r.n.Resets++
	}
	r.board = nil
	r.fail(&r.next, failf(err.Op, KindNotLeader, "%w", err.Err))
	r.next = batch{}
	for id, w := range r.waiters {
		w.reply <- beatAnswer{err: err}
		delete(r.waiters, id)
	}
}

// fail answers those whose batch was not committed.
func (r *Runner[G, M, O, J]) fail(b *batch, err *Error) {
	for _, a := range b.answers {
		if err.Kind == KindUnknown || a.uncertain {
			a.reply <- Answer{Kind: AnswerOutcomeUnknown, Reason: err.Error()}
		} else {
			a.reply <- unavailable(err.Error())
		}
	}
	for _, o := range b.orders {
		o.waiter.reply <- beatAnswer{err: err}
	}
}

// pass lets the board decide and has the decisions committed.
func (r *Runner[G, M, O, J]) pass() {
	now := r.clock.Now()
	if r.board == nil {
		r.sleep(now, now+idleMillis)
		return
	}
	p := r.board.Pass(now)
	r.next.ops = append(r.next.ops, p.Ops...)
	r.next.actions = append(r.next.actions, p.Actions...)
	for _, o := range p.Orders {
		w, ok := r.waiters[o.Worker]
		if !ok {
			continue
		}
		delete(r.waiters, o.Worker)
		r.next.orders = append(r.next.orders, beatOrders{orders: o, waiter: w})
	}
	for _, o := range p.Ops {
		r.count(o)
	}
	if r.notes != nil && len(p.Notes) > 0 {
		r.notes(p.Notes)
	}
	r.flush(now)
	r.sleep(now, min(p.NextPass, now+idleMillis))
}

func (r *Runner[G, M, O, J]) count(o jobs.Op) {
	switch {
	case o.Kind == jobs.OpAssign:
		r.n.RunsStarted++
	case o.Kind == jobs.OpEnd && o.Result == jobs.ResultLost:
		r.n.RunsLost++
	case o.Kind == jobs.OpEnd && o.Result == jobs.ResultFailed:
		r.n.RunsFailed++
	}
}

// sleep makes sure that the duty wakes up at a time.
func (r *Runner[G, M, O, J]) sleep(now, at clock.Millis) {
	if r.timer != nil && r.timerAt <= at {
		return
	}
	r.timer, r.timerAt = r.clock.After(max(at-now, 1)), at
}

// flush hands the next batch to the committer unless one is on its way. What
// needs no commit is released at once.
func (r *Runner[G, M, O, J]) flush(now clock.Millis) {
	if r.flying != nil {
		return
	}
	b := &r.next
	if len(b.actions) > 0 || (len(b.orders) > 0 && now-r.confirmed > confirmMillis) {
		b.confirm = true
	}
	if len(b.ops) == 0 && !b.confirm {
		if len(b.answers)+len(b.orders) > 0 {
			r.released(b, now)
			r.next = batch{}
		}
		return
	}
	sent := r.next
	r.next = batch{}
	sent.term, sent.since = r.term, now
	r.fly(&sent)
}

func (r *Runner[G, M, O, J]) fly(b *batch) {
	r.flying = b
	r.n.Batches++
	r.n.Operations += int64(len(b.ops))
	// The ring holds one batch and none is on its way, but for the load of a
	// later term.
	r.commits.PutWait(b, r.done)
}

// released sends out what a batch decided.
func (r *Runner[G, M, O, J]) released(b *batch, now clock.Millis) {
	for _, a := range b.answers {
		a.reply <- a.answer
	}
	for _, o := range b.orders {
		lease := r.set.LeaseMillis - max(0, o.waiter.received-r.confirmed)
		if !o.orders.LeaseGranted {
			lease = 0
		}
		o.waiter.reply <- beatAnswer{reply: HeartbeatReply{Orders: o.orders, Lease: max(lease, 0), Token: r.term}}
	}
	for _, a := range b.actions {
		if !r.actions.TryPut(action{Action: a, term: r.term, at: now, skew: r.skew}) {
			r.board.HandleOutcome(a, sched.Outcome{Answer: sched.AnswerRefusedForNow}, now)
		}
	}
}

// finished takes the outcome of a commit.
func (r *Runner[G, M, O, J]) finished(b *batch, now clock.Millis) {
	if r.flying == b {
		r.flying = nil
	}
	if b.err != nil || b.term != r.term {
		err := failf("commit", KindUnknown, "the term ended")
		if b.err != nil {
			err = failf("commit", KindUnknown, "%w", b.err)
			if r.group.Certain(b.err) {
				err.Kind = KindNotLeader
			}
		}
		r.fail(b, err)
		if b.term == r.term {
			r.drop(failf("commit", KindUnknown, "a change before it was not committed"))
			// The state is loaded again if this process still leads.
			r.term, r.retryAt = 0, now+confirmMillis
			r.sleep(now, r.retryAt)
		}
		return
	}
	r.confirmed = b.since
	if r.observe != nil {
		r.observe(now - b.since)
	}
	if b.load {
		r.board = sched.New(r.set, r.order, r.judge, b.state, now)
		return
	}
	r.released(b, now)
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
