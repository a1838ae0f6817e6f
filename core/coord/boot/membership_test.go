package boot

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/ring"
)

// fakeGroup is a Group whose view the test sets. It counts the calls of fakePeers.Join,
// which return joinAddress and joinErr.
type fakeGroup struct {
	view        View
	joinCalls   int
	joinAddress string
	joinErr     error
	asked       []JoinAttempt
	// asksOf lists the members that the last call of fakePeers.Join asked, and addresses
	// the members passed to AddAddress.
	asksOf    []model.Member
	addresses []raft.Member
}

func (f *fakeGroup) AddAddress(m raft.Member) { f.addresses = append(f.addresses, m) }

func (f *fakeGroup) Refresh(context.Context) View            { return f.view }
func (f *fakeGroup) Join(context.Context, raft.Member) error { return nil }

// fakePeers is a PeerClient that counts the Join calls in group. Only the peers at the
// addresses in hellos answer Hello, and only before the call is cancelled; the others do
// not answer until then. Calls of Hello pass their deadlines to deadlines, if it is set.
type fakePeers struct {
	group     *fakeGroup
	hellos    map[string]Hello
	deadlines *ring.Ring[time.Time]
}

func (f fakePeers) Hello(ctx context.Context, m model.Member) (Hello, error) {
	if deadline, ok := ctx.Deadline(); ok && f.deadlines != nil {
		f.deadlines.TryPut(deadline)
	}
	if h, ok := f.hellos[m.Address]; ok && ctx.Err() == nil {
		return h, nil
	}
	<-ctx.Done()
	return Hello{}, errors.New("no answer")
}

func (f fakePeers) Join(_ context.Context, members []model.Member, _ raft.Member) (string, error) {
	f.group.joinCalls++
	f.group.asksOf = members
	return f.group.joinAddress, f.group.joinErr
}

func newTestManager() (*MembershipManager[fakePeers, *fakeGroup], *fakeGroup) {
	g, c := &fakeGroup{}, clock.NewFake(1000)
	mm := NewMembershipManager(Config[fakePeers, *fakeGroup]{
		Self: Hello{Name: "c4", ID: 4}, Member: raft.Member{ID: 4, Name: "c4"},
		Peers: fakePeers{group: g, hellos: map[string]Hello{"c1:1": {Name: "c1", ID: 1}, "c2:1": {Name: "c2", ID: 2}}},
		Group: g,
		Clock: c.Clock(), Joined: func(raft.Member) {},
		Asked: func(a JoinAttempt) { g.asked = append(g.asked, a) },
	})
	return mm, g
}

// TestUnconfiguredProcessFormsNoGroup guards against a second group: a process that is
// not in the settings must wait for the group that the others form.
func TestUnconfiguredProcessFormsNoGroup(t *testing.T) {
	configured := []model.Member{{Name: "c1"}, {Name: "c2"}}
	answers := []Hello{{Name: "c4", ID: 4}, {Name: "c1", ID: 1}, {Name: "c2", ID: 2}}
	mode, _ := DecideJoinMode(4, configured, answers, true)
	assert.Equal(t, mode, JoinModeRetry)
	mode, members := DecideJoinMode(1, configured, answers, true)
	assert.Equal(t, mode, JoinModeFounder)
	assert.Equal(t, len(members), 2)
	answers[1].Initialised = true
	mode, _ = DecideJoinMode(4, configured, answers, true)
	assert.Equal(t, mode, JoinModeExisting)
}

// TestNonMemberAsksToJoin guards against a process with an empty disk at a new address
// that is never added to the group, and against a removed member that never returns.
func TestNonMemberAsksToJoin(t *testing.T) {
	mm, g := newTestManager()
	g.view = View{Members: []raft.Member{{ID: 1}, {ID: 2}}, Leader: 1}
	mm.check()
	assert.Equal(t, g.joinCalls, 1)
	g.view = View{Members: []raft.Member{{ID: 1}, {ID: 4}}, Leader: 1}
	mm.check()
	assert.Equal(t, g.joinCalls, 1, "a member must not ask to join")
	g.view.Leader = 0
	for range maxChecksWithoutLeader {
		mm.check()
	}
	assert.Equal(t, g.joinCalls, 2, "a member that knows no leader must ask to join")
}

// TestJoinAttemptsAreReportedOnChange guards against a process whose requests for
// membership fail without a trace, and against a line of the log for each request.
func TestJoinAttemptsAreReportedOnChange(t *testing.T) {
	mm, g := newTestManager()
	g.joinAddress, g.joinErr = "c1:1", errors.New("no answer")
	mm.check()
	mm.check()
	g.joinAddress, g.joinErr = "c2:1", nil
	mm.check()
	mm.check()
	assert.DeepEqual(t, g.asked, []JoinAttempt{{Address: "c1:1", Err: "no answer"}, {Address: "c2:1"}})
}

// TestUnresponsivePeersDoNotAddUp guards against a starting process, or a leader, that
// waits for each process that is gone in turn: the group would lack a voter for longer.
func TestUnresponsivePeersDoNotAddUp(t *testing.T) {
	configured := []model.Member{{Name: "c0", Address: "c0:1"}, {Name: "c1", Address: "c1:1"}, {Name: "c2", Address: "c2:1"}, {Name: "c3", Address: "c3:1"}}
	peers := fakePeers{
		hellos:    map[string]Hello{"c1:1": {Name: "c1", ID: 1}, "c2:1": {Name: "c2", ID: 2}},
		deadlines: ring.New[time.Time](len(configured)),
	}
	answers := collectAnswers(peers, Hello{Name: "c4", ID: 4}, configured)
	deadlines := peers.deadlines.Drain(nil, len(configured))
	assert.Equal(t, len(deadlines), len(configured))
	for _, d := range deadlines {
		assert.Equal(t, d, deadlines[0], "the calls must end at the same time")
	}
	assert.DeepEqual(t, answers, []Hello{{Name: "c4", ID: 4}, {Name: "c1", ID: 1}, {Name: "c2", ID: 2}})
}

// TestListedMembersAreAsked guards against a process that is never added because none of
// the processes in its settings exists any more, although it knows members from its own
// list, and against one that asks a process twice or itself.
func TestListedMembersAreAsked(t *testing.T) {
	mm, g := newTestManager()
	mm.Configure([]model.Member{{Name: "c1", Address: "c1:1"}, {Name: "c4", Address: "c4:1"}})
	g.view = View{Members: []raft.Member{{ID: 1, Name: "c1", Address: "c1:1"}, {ID: 2, Name: "c2", Address: "c2:1"}, {ID: 9, Name: "c4", Address: "c4:1"}}}
	mm.check()
	assert.DeepEqual(t, g.asksOf, []model.Member{{Name: "c1", Address: "c1:1"}, {Name: "c2", Address: "c2:1"}})
}

// TestUnlistedLeaderIsAsked guards against a member that comes back with a list without
// the current leader, hears from it and never asks for its address.
func TestUnlistedLeaderIsAsked(t *testing.T) {
	mm, g := newTestManager()
	g.view = View{Members: []raft.Member{{ID: 1, Name: "c1", Address: "c1:1"}, {ID: 4, Name: "c4"}}, Leader: 9}
	for range maxChecksWithoutLeader {
		mm.check()
	}
	assert.Equal(t, g.joinCalls, 1)
}

// TestLeaderAddressIsLearnt guards against a process that is listed but never receives
// the list, because its settings do not name the leader and it cannot reply to it.
func TestLeaderAddressIsLearnt(t *testing.T) {
	mm, g := newTestManager()
	g.joinAddress = "c2:1"
	mm.check()
	assert.DeepEqual(t, g.addresses, []raft.Member{{ID: 2, Name: "c2", Address: "c2:1"}})
}

// TestCheckInterval guards against a process that waits long before it asks again to be
// added, and against members that check the list more often than needed.
func TestCheckInterval(t *testing.T) {
	mm, g := newTestManager()
	g.joinErr = errors.New("no answer")
	assert.Equal(t, mm.check(), unlistedCheckInterval)
	g.view = View{Members: []raft.Member{{ID: 1}, {ID: 4}}, Leader: 1}
	assert.Equal(t, mm.check(), checkInterval)
	g.view.IsLeader = true
	assert.Equal(t, mm.check(), checkInterval)
}
