package runner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/jobs"
	"camphorridge/core/state/model"
	"camphorridge/core/state/place"
	"camphorridge/core/state/sched"
)

// TestCancelHoldsAgainstLaterSubmission guards against a job that runs although its
// cancel was acknowledged: the submission was held up and arrives later, at the same
// leader or at the next one.
func TestCancelHoldsAgainstLaterSubmission(t *testing.T) {
	g := newFakeGroup()
	leaders := []*testRunner{start(t, g)}
	cancel := Call{Kind: CallCancel, Host: "h", Path: "/q/a"}
	ask(t, leaders[0], AnswerNoJob, cancel)
	ask(t, leaders[0], AnswerNoJob, Call{Kind: CallCancel, Host: "h", Path: "/q/b"})
	ask(t, leaders[0], AnswerNoJob, Call{Kind: CallStatus, Host: "h", Path: "/q/a"})
	a := ask(t, leaders[0], AnswerDone, submit("/q/a"))
	assert.Equal(t, a.Status, jobs.StatusCancelled)
	g.set(func() { g.term++ })
	leaders = append(leaders, start(t, g))
	assert.Equal(t, ask(t, leaders[1], AnswerDone, submit("/q/b")).Status, jobs.StatusCancelled)
	assert.Equal(t, ask(t, leaders[1], AnswerDone, submit("/q/a")).Status, jobs.StatusCancelled)
	reply, err := sendHeartbeat(leaders[1], 1)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Orders.Starts), 0)
	assert.Equal(t, ask(t, leaders[1], AnswerDone, Call{Kind: CallPending, Host: "h", Path: "/q/"}).Count, 0)
	ask(t, leaders[1], AnswerDone, cancel)
}

// TestCancelIsCommittedBeforeItsAnswer guards against a cancel of an unknown job that is
// acknowledged and then lost with the leader.
func TestCancelIsCommittedBeforeItsAnswer(t *testing.T) {
	g := newFakeGroup()
	r := start(t, g)
	g.set(func() { g.fail = errUnknown })
	ask(t, r, AnswerOutcomeUnknown, Call{Kind: CallCancel, Host: "h", Path: "/q/a"})
	g.set(func() { g.fail = errNotLeader })
	ask(t, r, AnswerUnavailable, Call{Kind: CallCancel, Host: "h", Path: "/q/b"})
}

// TestStaleSubmissionIsRefused guards against a submission that is held up for longer
// than a cancel is remembered for, and against refusing the repetition of one that was
// accepted.
func TestStaleSubmissionIsRefused(t *testing.T) {
	fake := clock.NewFake(10 * clock.Minute)
	r := startAt(t, newFakeGroup(), fake.Clock())
	issued := func(path string, age clock.Millis) Call {
		c := submit(path)
		c.IssuedAt = fake.Now() - age
		return c
	}
	ask(t, r, AnswerStale, issued("/q/a", maxSubmissionAge+1))
	ask(t, r, AnswerNoJob, Call{Kind: CallStatus, Host: "h", Path: "/q/a"})
	a := ask(t, r, AnswerDone, issued("/q/a", maxSubmissionAge))
	assert.Equal(t, a.LeaderTime, fake.Now())
	ask(t, r, AnswerDone, issued("/q/a", maxSubmissionAge+1))
}

// TestLongIDs guards against cancels that are remembered for IDs of any length, and
// against one that is acknowledged without effect, of a job that an older version of the
// program accepted under a longer ID.
func TestLongIDs(t *testing.T) {
	g := newFakeGroup()
	id := strings.Repeat("a", jobs.MaxIDBytes)
	old := jobs.Job{ID: jobs.ID(id + "old"), Queue: "q", Pool: "p", Steps: []jobs.Step{{TaskCount: 1}}}
	g.apply(model.Change{Kind: model.ChangeJobs, Ops: []jobs.Op{{Kind: jobs.OpSubmit, Job: &old}}})
	r := start(t, g)
	ask(t, r, AnswerInvalid, submit("/q/"+id+"a"))
	ask(t, r, AnswerNoJob, Call{Kind: CallCancel, Host: "h", Path: "/q/" + id + "a"})
	g.set(func() { assert.Equal(t, len(g.state.Jobs.Tombstones), 0) })
	ask(t, r, AnswerNoJob, Call{Kind: CallCancel, Host: "h", Path: "/q/" + id})
	g.set(func() { assert.Equal(t, len(g.state.Jobs.Tombstones), 1) })
	assert.Equal(t, ask(t, r, AnswerDone, Call{Kind: CallCancel, Host: "h", Path: "/q/" + string(old.ID)}).Status, jobs.StatusCancelled)
}

// Parameters of lateSimulation.
const (
	lateJobs = 40
	// lateLength is the simulated time of one seed.
	lateLength = 10 * clock.Minute
	// maxClockOffset is how far the clock of a leader is from the true time.
	maxClockOffset = 20 * clock.Second
	// maxSocketTime is how long after an acknowledged cancel an entry process reads a
	// submission of the job from a socket.
	maxSocketTime = clock.Minute
	// maxTransit is the longest time between an entry process and the leader.
	maxTransit = 5 * clock.Minute
)

// lateSimulation sends submissions and cancels with random delays, more than once, to
// leaders that change and whose clocks differ. Some commits are lost with their leader,
// or are applied later.
type lateSimulation struct {
	rand   *rand.Rand
	now    clock.Millis
	group  *fakeGroup
	fake   *clock.Fake
	leader *testRunner
	// entryTime is the latest time of a leader that entry processes know.
	entryTime clock.Millis
	// transit holds the calls that have not arrived.
	transit []*lateCall
	// cancelledAt is the time of the latest acknowledged cancel of a job.
	cancelledAt map[string]clock.Millis
	accepted    int
}

type lateCall struct {
	id   string
	call Call
	at   clock.Millis
}

func newLateSimulation(seed uint64) *lateSimulation {
	s := &lateSimulation{rand: rand.New(rand.NewPCG(seed, 5)), now: clock.Hour, group: newFakeGroup(), cancelledAt: map[string]clock.Millis{}}
	s.group.clock = clock.NewFake(s.now).Clock()
	s.group.apply(model.Change{Kind: model.ChangeJobs, Ops: []jobs.Op{{Kind: jobs.OpConfig, Config: &jobs.Config{
		Version: 1, Pools: []jobs.Pool{{Name: "p"}}, Queues: []jobs.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Target: 3000}},
	}}}})
	s.elect()
	return s
}

// elect makes another process the leader, with another clock.
func (s *lateSimulation) elect() {
	offset := clock.Millis(s.rand.Int64N(int64(2*maxClockOffset))) - maxClockOffset
	s.fake = clock.NewFake(s.now + offset)
	s.group.term++
	s.leader = New(Config[*fakeGroup, noMachines, sched.EarliestDeadline, place.PeerComparison]{
		Group: s.group, Health: place.PeerComparison{MinScore: 3}, Settings: sched.Defaults(), Clock: s.fake.Clock(),
	})
	s.leader.term = s.group.term
	s.group.clock = s.fake.Clock()
	load := &batch{load: true, term: s.group.term, startedAt: s.fake.Now()}
	s.leader.commit(load)
	s.leader.handleCommit(load, s.fake.Now())
}

// transitTime draws the time between an entry process and the leader.
func (s *lateSimulation) transitTime() clock.Millis {
	limit := [...]clock.Millis{100, 100, 10 * clock.Second, maxTransit}[s.rand.IntN(4)]
	return clock.Millis(s.rand.Int64N(int64(limit)))
}

// send sends a call once or twice.
func (s *lateSimulation) send(id string, c Call) {
	for range 1 + s.rand.IntN(2) {
		s.transit = append(s.transit, &lateCall{id: id, call: c, at: s.now + s.transitTime()})
	}
}

// act lets an entry process receive a submission or a cancel of a random job.
func (s *lateSimulation) act() {
	id := fmt.Sprint("j", s.rand.IntN(lateJobs))
	if s.rand.IntN(3) == 0 {
		s.send(id, Call{Kind: CallCancel, Host: "h", Path: "/q/" + id})
		return
	}
	if at, cancelled := s.cancelledAt[id]; s.entryTime == 0 || (cancelled && s.now-at > maxSocketTime) {
		return
	}
	c := submit("/q/" + id)
	c.IssuedAt = s.entryTime
	s.send(id, c)
}

// deliver hands a call to the leader, and its answer back.
func (s *lateSimulation) deliver(l *lateCall) {
	reply := make(chan Answer, 1)
	s.leader.handleCall(&pendingCall{call: l.call, receivedAt: s.fake.Now(), answer: reply}, s.fake.Now())
	s.leader.pass()
	if s.leader.commits.Len() > 0 {
		s.commit(<-s.leader.commits.C())
	}
	if len(reply) == 0 {
		return
	}
	a := <-reply
	s.entryTime = max(s.entryTime, a.LeaderTime)
	switch {
	case l.call.Kind == CallCancel && (a.Kind == AnswerDone || a.Kind == AnswerNoJob):
		s.cancelledAt[l.id] = s.now
	case l.call.Kind == CallSubmit && a.Kind == AnswerDone && a.Status != jobs.StatusCancelled:
		s.accepted++
	}
}

// commit commits a batch, or loses the leader before or after it is applied.
func (s *lateSimulation) commit(b *batch) {
	switch s.rand.IntN(20) {
	case 0:
		s.group.holding = true
		s.leader.commit(b)
		s.group.holding = false
		s.elect()
	case 1:
		s.elect()
	default:
		s.leader.commit(b)
		s.leader.handleCommit(b, s.fake.Now())
	}
}

// step advances the time and delivers what arrives.
func (s *lateSimulation) step() {
	s.now += 200
	s.fake.Advance(200)
	if s.rand.IntN(200) == 0 {
		s.elect()
	}
	for range s.rand.IntN(2) {
		s.act()
	}
	s.transit = slices.DeleteFunc(s.transit, func(l *lateCall) bool {
		if l.at > s.now {
			return false
		}
		s.deliver(l)
		return true
	})
}

// check returns an error if a job is to run although its cancel was acknowledged.
func (s *lateSimulation) check() error {
	for id, at := range s.cancelledAt {
		for _, state := range []*jobs.State{s.group.state.Jobs, s.leader.scheduler.State} {
			if rec := state.Jobs[jobs.ID(id)]; rec != nil && !rec.Status.Final() {
				return fmt.Errorf("job %s is %s %d ms after its cancel was acknowledged", id, rec.Status, s.now-at)
			}
		}
	}
	return nil
}

// TestSimulatedLateSubmissions guards against a job that is accepted, or accepted again,
// after its cancel was acknowledged, whatever the delays of the calls and whichever
// process leads.
func TestSimulatedLateSubmissions(t *testing.T) {
	accepted, cancelled := 0, 0
	for seed := range uint64(20) {
		s := newLateSimulation(seed)
		for s.now < clock.Hour+lateLength {
			s.step()
			assert.NilError(t, s.check(), "seed %d", seed)
		}
		accepted += s.accepted
		cancelled += len(s.cancelledAt)
	}
	assert.Assert(t, accepted > 100 && cancelled > 100, "%d submissions were accepted, %d jobs cancelled", accepted, cancelled)
}
