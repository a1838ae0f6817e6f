package runner

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/place"
	"camphorridge/core/state/sched"
)

// The simulated leader needs reportMicros for a report and callMicros for a call. The
// calls alone would keep its processor busy, and so would the workers' reports.
const (
	overloadWorkers        = 540
	overloadCallsPerSecond = 700
	overloadMillis         = 15 * clock.Second
	reportMicros           = 500
	callMicros             = 1500
	refusalMicros          = 100
	// replyPatience is the age above which a worker drops a reply.
	replyPatience = clock.Second
	// simCommitMillis is how long a commit takes.
	simCommitMillis clock.Millis = 10
	overloadStart   clock.Millis = 100_000
)

// overloadedWorker is a worker that has one heartbeat on its way at any time.
type overloadedWorker struct {
	id         jobs.WorkerID
	seq        int64
	sentAt     clock.Millis
	reply      chan heartbeatResult
	leaseUntil clock.Millis
}

// overload is a leader whose processor is too slow for its load, in simulated time.
type overload struct {
	runner *testRunner
	fake   *clock.Fake
	// spentMicros is the processor time that has not been simulated yet.
	spentMicros int64
	workers     []*overloadedWorker
	lapses      int
	submitted   int
	sent        []sentCall
	answers     map[AnswerKind]int
	// longestWait is the longest time until a call was answered.
	longestWait clock.Millis
	commitEnds  clock.Millis
}

// sentCall is a call without an answer.
type sentCall struct {
	at    clock.Millis
	reply chan Answer
}

func newOverload() *overload {
	fake, g := clock.NewFake(overloadStart), newFakeGroup()
	settings := sched.Defaults()
	settings.BacklogTargetMillis, settings.LeaseMillis = 0, 3*clock.Second
	o := &overload{fake: fake, answers: map[AnswerKind]int{}, runner: New(Config[*fakeGroup, noMachines, sched.EarliestDeadline, place.PeerComparison]{
		Group: g, Health: place.PeerComparison{MinScore: 3}, Settings: settings, Clock: fake.Clock(),
	})}
	state := jobs.New()
	state.Apply([]jobs.Op{{Kind: jobs.OpConfig, Config: &jobs.Config{
		Version: 1, Pools: []jobs.Pool{{Name: "p"}}, Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Target: 3000}},
	}}}, overloadStart)
	o.runner.term = g.term
	o.runner.handleCommit(&batch{load: true, term: g.term, startedAt: overloadStart, state: state}, overloadStart)
	for i := range overloadWorkers {
		o.workers = append(o.workers, &overloadedWorker{id: jobs.WorkerID(fmt.Sprint("w", i)), leaseUntil: overloadStart + settings.LeaseMillis})
	}
	return o
}

// run simulates the given time.
func (o *overload) run(length clock.Millis) {
	for now := overloadStart; now < overloadStart+length; now++ {
		for _, w := range o.workers {
			o.stepWorker(w, now)
		}
		o.submit(now)
		o.readAnswers(now)
		if o.spentMicros -= 1000; o.spentMicros < 0 {
			o.spentMicros = 0
			o.turn(now)
		}
		o.fake.Advance(1)
	}
}

// turn lets the leader handle what waits.
func (o *overload) turn(now clock.Millis) {
	if o.commitEnds > 0 && now >= o.commitEnds {
		b := <-o.runner.commits.C()
		o.runner.commit(b)
		o.runner.in.TryPut(input{committed: b})
		o.commitEnds = 0
	}
	before := o.runner.counts
	o.runner.turn(nil)
	if o.commitEnds == 0 && o.runner.commits.Len() > 0 {
		o.commitEnds = now + simCommitMillis
	}
	after := o.runner.counts
	refused := after.OverloadRefusals - before.OverloadRefusals
	o.spentMicros += (after.Heartbeats-before.Heartbeats)*reportMicros + (after.Calls-before.Calls-refused)*callMicros + refused*refusalMicros
}

// stepWorker reads the reply to a worker's heartbeat and sends the next one.
func (o *overload) stepWorker(w *overloadedWorker, now clock.Millis) {
	if w.reply != nil {
		select {
		case got := <-w.reply:
			w.reply = nil
			if got.err == nil && got.reply.Lease > 0 {
				w.leaseUntil = max(w.leaseUntil, w.sentAt+got.reply.Lease)
			}
		default:
		}
	}
	if w.leaseUntil < now {
		o.lapses++
		w.leaseUntil = now + o.runner.settings.LeaseMillis
	}
	if w.reply != nil && now-w.sentAt <= replyPatience {
		return
	}
	w.seq++
	w.sentAt, w.reply = now, make(chan heartbeatResult, 1)
	end := sched.RunEnd{Number: w.seq, Task: jobs.TaskID{Job: "ended"}, Run: 1, Result: jobs.ResultDone}
	o.runner.in.TryPut(input{reply: w.reply, heartbeat: &sched.Heartbeat{
		Worker: w.id, Incarnation: 1, Machine: jobs.MachineID("m-" + w.id), Pool: "p", Seq: w.seq, Ends: []sched.RunEnd{end}, ReceivedAt: now,
	}})
}

// submit sends the submissions that are due.
func (o *overload) submit(now clock.Millis) {
	for ; o.submitted < int(now-overloadStart)*overloadCallsPerSecond/1000; o.submitted++ {
		c := sentCall{at: now, reply: make(chan Answer, 1)}
		if o.runner.calls.TryPut(pendingCall{call: submit(fmt.Sprint("/q/j", o.submitted)), receivedAt: now, answer: c.reply}) {
			o.sent = append(o.sent, c)
		} else {
			o.answers[AnswerOverloaded]++
		}
	}
}

func (o *overload) readAnswers(now clock.Millis) {
	o.sent = slices.DeleteFunc(o.sent, func(c sentCall) bool {
		select {
		case a := <-c.reply:
			o.answers[a.Kind]++
			o.longestWait = max(o.longestWait, now-c.at)
			return true
		default:
			return false
		}
	})
}

// TestOverloadedLeaderRenewsLeases guards against runs of healthy workers that are given
// up because the leader's processor is too slow for the submissions: their reports
// waited behind them.
func TestOverloadedLeaderRenewsLeases(t *testing.T) {
	o := newOverload()
	o.run(overloadMillis)
	t.Logf("%d submitted, answers %v, the longest wait %d ms", o.submitted, o.answers, o.longestWait)
	assert.Equal(t, o.lapses, 0)
	assert.Assert(t, o.answers[AnswerDone] > 0)
	assert.Assert(t, o.answers[AnswerOverloaded] > 0)
	assert.Equal(t, o.answers[AnswerDone]+o.answers[AnswerOverloaded]+len(o.sent), o.submitted)
	accepted := o.runner.scheduler.PendingJobs("q")
	assert.Assert(t, accepted >= o.answers[AnswerDone] && accepted <= o.answers[AnswerDone]+len(o.sent), "%d jobs accepted", accepted)
}

// TestSlowCommitRenewsLeases guards against runs that end because the answer to their
// worker waits for a commit that takes longer than the worker waits, and against orders
// that are sent before their commit.
func TestSlowCommitRenewsLeases(t *testing.T) {
	g, fake := newFakeGroup(), clock.NewFake(overloadStart)
	r := startAt(t, g, fake.Clock())
	gate := make(chan struct{})
	g.set(func() { g.gate = gate })
	submitted := make(chan Answer, 1)
	go func() { submitted <- r.Call(context.Background(), submit("/q/a")) }()
	for blocked := 0; blocked == 0; g.set(func() { blocked = g.blocked }) {
		<-clock.Real().After(1)
	}
	replies := make(chan HeartbeatReply, 1)
	go func() {
		reply, _ := sendHeartbeat(r, 1)
		replies <- reply
	}()
	var first HeartbeatReply
	for answered := false; !answered; {
		select {
		case first = <-replies:
			answered = true
		case <-clock.Real().After(2):
			fake.Advance(20)
		}
	}
	assert.Assert(t, first.Lease > 0 && first.Lease <= r.settings.LeaseMillis)
	assert.Equal(t, len(first.Orders.Starts), 0)
	g.set(func() { g.gate = nil })
	close(gate)
	assert.Equal(t, (<-submitted).Kind, AnswerDone)
	second, err := sendHeartbeat(r, 2)
	assert.NilError(t, err)
	assert.Equal(t, len(second.Orders.Starts), 2)
}
