package raft

import (
	"errors"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
)

// newConverged returns a simulation of three voters that have applied five writes,
// and the leader.
func newConverged(t *testing.T, seed uint64) (*simulation, *host) {
	t.Helper()
	sim := newSimulation(seed, 3, 3)
	sim.until(t, func() bool { return sim.leader() != nil })
	for i := range 5 {
		sim.submit(sim.leader(), request{kind: opWrite, new: int64(i + 1)})
		sim.run(20)
	}
	sim.until(t, sim.converged)
	return sim, sim.leader()
}

func (sim *simulation) until(t *testing.T, f func() bool) {
	t.Helper()
	for i := 0; !f(); i++ {
		sim.run(5)
		assert.NilError(t, sim.err)
		assert.Assert(t, i < 2000, "the condition was not met within 10 s of simulated time")
	}
}

func (sim *simulation) advance(d clock.Millis) {
	for end := sim.now + d; sim.now < end; {
		sim.run(5)
	}
}

// TestIsolatedMember guards against a member that increments its term while it
// is partitioned and deposes the leader when it reconnects.
func TestIsolatedMember(t *testing.T) {
	for seed := range uint64(50) {
		sim, l := newConverged(t, seed)
		term := l.node.Term()
		isolated := sim.hosts[0]
		if isolated == l {
			isolated = sim.hosts[1]
		}
		isolated.partition = 1
		sim.advance(60_000)
		assert.Equal(t, isolated.node.Term(), term)
		isolated.partition = 0
		sim.advance(2000)
		assert.Equal(t, sim.leader(), l)
		for _, h := range sim.hosts {
			assert.Equal(t, h.node.Term(), term)
			assert.Equal(t, h.node.Leader(), l.self.ID)
		}
		assert.NilError(t, sim.err)
	}
}

// TestStaleLeaderRead guards against a leader that was paused while another one
// was elected and then answers a read from its stale state, and against a
// partitioned leader that never steps down.
func TestStaleLeaderRead(t *testing.T) {
	for seed := range uint64(50) {
		sim, old := newConverged(t, seed)
		old.frozen = true
		sim.until(t, func() bool { return sim.leader() != old })
		sim.submit(sim.leader(), request{kind: opWrite, new: 99})
		sim.advance(100)
		sim.submit(old, request{kind: opRead})
		read := len(sim.history) - 1
		sim.advance(500)
		assert.Equal(t, sim.history[read].Return, noReturn)
		assert.Assert(t, sim.linearizable())

		sim.until(t, sim.converged)
		l := sim.leader()
		l.partition = 1
		sim.advance(2 * sim.cfg.ElectionTimeout)
		assert.Equal(t, l.node.Role(), RoleFollower)
		assert.Assert(t, l.node.ReadIndex(1, sim.now) != nil)
	}
}

// TestSecondLoss guards against the loss of acknowledged writes or of the quorum
// when another disk is lost directly after the group has recovered from the loss
// of the first.
func TestSecondLoss(t *testing.T) {
	for seed := range uint64(50) {
		sim, _ := newConverged(t, seed)
		for i, h := range sim.hosts {
			sim.wipe(h)
			sim.until(t, func() bool {
				sim.reconcile()
				return sim.converged()
			})
			sim.submit(sim.leader(), request{kind: opWrite, new: int64(100 + i)})
			sim.until(t, func() bool { return sim.history[len(sim.history)-1].Return != noReturn })
		}
		sim.recover()
		assert.NilError(t, sim.err)
		assert.Equal(t, sim.leader().value, int64(102))
	}
}

// TestNewIdentity guards against a member with an empty disk that votes or
// campaigns.
func TestNewIdentity(t *testing.T) {
	cfg := Config{ElectionTimeout: 100, HeartbeatInterval: 20, MaxAppendBytes: 100, ChunkBytes: 10}
	n := New(cfg, StoredState{Self: Member{ID: 9}}, 0)
	for _, kind := range []MessageKind{MsgPreVote, MsgVote} {
		assert.NilError(t, n.Step(Message{Kind: kind, From: 1, To: 9, Term: 3, Index: 5, LogTerm: 2}, 1))
		out := n.Output()
		assert.Equal(t, len(out.Messages), 1)
		assert.Assert(t, out.Messages[0].Reject)
		n.ConfirmDurable()
	}
	n.Tick(10_000)
	assert.Equal(t, n.Role(), RoleFollower)
	_, _, err := n.Propose(nil, 10_000)
	var e *Error
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Kind, KindNotLeader)
}

// TestCommitWithinMatch guards against a follower that commits its own
// conflicting entries because the leader's commit index is above the last entry
// of the append.
func TestCommitWithinMatch(t *testing.T) {
	n := New(Config{}, StoredState{
		Self:    Member{ID: 2},
		Hard:    HardState{Term: 1},
		Entries: []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}},
	}, 0)
	assert.NilError(t, n.Step(Message{Kind: MsgAppend, From: 1, To: 2, Term: 2, Index: 1, LogTerm: 1, Commit: 3}, 1))
	assert.Equal(t, n.Commit(), uint64(1))
}

// TestAppendAfterInstall guards against an output that contains both a snapshot
// and entries after it: the snapshot replaces the log, so the entries would be
// lost.
func TestAppendAfterInstall(t *testing.T) {
	n := New(Config{}, StoredState{Self: Member{ID: 2}}, 0)
	meta := SnapshotMeta{Index: 7, Term: 1}
	assert.NilError(t, n.Step(Message{Kind: MsgSnapshot, From: 1, To: 2, Term: 1, Snapshot: meta, Last: true}, 1))
	next := Message{Kind: MsgAppend, From: 1, To: 2, Term: 1, Index: 7, LogTerm: 1, Entries: []Entry{{Index: 8, Term: 1}}}
	assert.NilError(t, n.Step(next, 1))
	out := n.Output()
	assert.Assert(t, out.Install != nil)
	assert.Equal(t, len(out.Append), 0)
	assert.Equal(t, out.Hard.Commit, uint64(0), "a crash before the installation would commit entries of the old log")
	assert.Equal(t, len(out.Messages), 1)
	n.ConfirmDurable()
	assert.NilError(t, n.Step(next, 1))
	out = n.Output()
	assert.Equal(t, len(out.Append), 1)
}

// TestDemotedLeader guards against a group of four that loses its quorum
// permanently when one member is lost, because a leader that is the only member
// to have the entry of its own demotion neither campaigns nor votes.
func TestDemotedLeader(t *testing.T) {
	sim := newSimulation(3, 4, 4)
	sim.until(t, sim.converged)
	l := sim.leader()
	l.partition = 1
	var rest []MemberID
	for _, h := range sim.hosts {
		if h != l {
			rest = append(rest, h.self.ID)
		}
	}
	_, _, err := l.node.ChangeMembers(MemberChange{Kind: SetVoters, Voters: rest}, sim.now)
	assert.NilError(t, err)
	lost := sim.hosts[0]
	if lost == l {
		lost = sim.hosts[1]
	}
	sim.crash(lost)
	sim.advance(500)
	assert.Assert(t, l.node.Role() != RoleLeader)
	l.partition = 0
	sim.until(t, func() bool {
		n := sim.leader()
		return n != nil && n != l && !n.node.joint() && !n.node.MembersPending() && !n.node.areVoters(append(rest, l.self.ID))
	})
}

// TestMembershipRules guards against two membership changes at a time, the
// promotion of a member that has not caught up, and the removal of the last
// voter.
func TestMembershipRules(t *testing.T) {
	sim := newSimulation(1, 1, 1)
	sim.until(t, func() bool { return sim.leader() != nil })
	sim.advance(50)
	n := sim.leader().node
	for _, c := range []struct {
		change MemberChange
		kind   Kind
		fails  bool
	}{
		{MemberChange{Kind: RemoveMember, Member: Member{ID: 1}}, KindInvalid, true},
		{MemberChange{Kind: SetVoters, Voters: []MemberID{1, 5}}, KindInvalid, true},
		{MemberChange{Kind: SetVoters}, KindInvalid, true},
		{MemberChange{Kind: AddMember, Member: Member{}}, KindInvalid, true},
		{MemberChange{Kind: AddMember, Member: Member{ID: 5, Voter: true}}, 0, false},
		{MemberChange{Kind: AddMember, Member: Member{ID: 6}}, KindPending, true},
	} {
		_, _, err := n.ChangeMembers(c.change, sim.now)
		var e *Error
		assert.Equal(t, errors.As(err, &e), c.fails)
		if c.fails {
			assert.Equal(t, e.Kind, c.kind)
		}
	}
	sim.advance(50)
	m, listed := n.member(5)
	assert.Assert(t, listed && !m.Voter)
	_, _, err := n.ChangeMembers(MemberChange{Kind: SetVoters, Voters: []MemberID{1, 5}}, sim.now)
	var e *Error
	assert.Assert(t, errors.As(err, &e) && e.Kind == KindPending)
}

// TestRestartedMemberKeepsLeaderLease guards against a stale answer of a leader that a
// follower has just confirmed: the follower starts again and at once elects a member
// that the leader cannot reach.
func TestRestartedMemberKeepsLeaderLease(t *testing.T) {
	for seed := range uint64(50) {
		sim, old := newConverged(t, seed)
		var follower, cut *host
		for _, h := range sim.hosts {
			switch {
			case h == old:
			case follower == nil:
				follower = h
			default:
				cut = h
			}
		}
		// cut hears nothing of the leader, and its own messages reach the follower.
		deaf := func() {
			sim.network = slices.DeleteFunc(sim.network, func(f inFlight) bool {
				return f.m.To == cut.self.ID && f.m.From == old.self.ID || f.m.From == cut.self.ID && f.m.To == old.self.ID
			})
		}
		step := func() {
			deaf()
			sim.run(1)
		}
		for cut.node.Role() != RoleCandidate {
			step()
		}
		sim.crash(follower)
		sim.start(follower)
		restarted := sim.now
		for sim.now < restarted+sim.cfg.ElectionTimeout/2-1 {
			step()
			assert.Assert(t, cut.node.Role() != RoleLeader, "seed %d: elected %d ms after the restart", seed, sim.now-restarted)
		}
		assert.NilError(t, sim.err)
	}
}

// TestCurrentVotersAreElectedFirst guards against elections that come to nothing after
// all members lost power: a member that is no longer a voter is elected by the commit
// index that it has stored, which is older than the change of the voters, and resigns
// at once.
func TestCurrentVotersAreElectedFirst(t *testing.T) {
	for seed := range uint64(50) {
		sim := newSimulation(seed, 5, 5)
		sim.until(t, func() bool { return sim.leader() != nil && sim.leader().node.commit > 0 })
		sim.until(t, sim.converged)
		// The leader and two others stay voters.
		l := sim.leader()
		voters := []MemberID{l.self.ID}
		for _, h := range sim.hosts {
			if h != l && len(voters) < 3 {
				voters = append(voters, h.self.ID)
			}
		}
		_, _, err := l.node.ChangeMembers(MemberChange{Kind: SetVoters, Voters: voters}, sim.now)
		assert.NilError(t, err)
		sim.advance(500)
		assert.Assert(t, l.node.areVoters(voters) && !l.node.joint() && !l.node.MembersPending())
		for _, h := range sim.hosts {
			sim.crash(h)
			h.disk.hard.Commit = h.disk.snap.Index
		}
		for _, h := range sim.hosts {
			sim.start(h)
		}
		elections := len(sim.leaders)
		sim.until(t, func() bool { return sim.leader() != nil })
		sim.advance(4 * sim.cfg.ElectionTimeout)
		assert.NilError(t, sim.err)
		assert.Equal(t, len(sim.leaders), elections+1, "seed %d", seed)
		assert.Assert(t, slices.Contains(voters, sim.leader().self.ID), "seed %d", seed)
	}
}
