package roles

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"camphorridge/core/coord/boot"
	"camphorridge/core/coord/group"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/raft"
	"camphorridge/io/trans/logs"
)

// TestMemberLines guards against a group without a leader whose logs do not show why:
// which members the list names, which of them were silent and for how long, and when a
// new process asked to join and became a voter. It also guards against a line for each
// status.
func TestMemberLines(t *testing.T) {
	var out bytes.Buffer
	fake := clock.NewFake(1_796_382_000_123)
	lg, err := logs.New(&out, logs.Settings{Level: "info", Process: "c1", Zone: "zone-a"}, fake.Clock())
	assert.NilError(t, err)
	l := newMemberLog(lg, fake.Clock(), boot.Hello{Name: "c1", ID: 0xa1})

	fake.Advance(200)
	l.asked(boot.JoinAttempt{Err: "join through c2: no answer"})
	fake.Advance(1000)
	l.asked(boot.JoinAttempt{Address: "c3:7060"})
	c1, c2, c3 := raft.Member{ID: 0xa1, Name: "c1"}, raft.Member{ID: 0xa2, Name: "c2", Voter: true}, raft.Member{ID: 0xa3, Name: "c3", Voter: true}
	s := group.Status{Self: 0xa1, Term: 4, MembersIndex: 7, Members: []raft.Member{c2, c3, c1}}
	l.observe(s)
	l.observe(s)
	fake.Advance(300)
	c1.Voter = true
	s.MembersIndex, s.Members = 9, []raft.Member{c2, c3, c1}
	l.observe(s)
	s.Term, s.Role = 5, raft.RoleLeader
	s.Peers = []raft.PeerStatus{{Member: c2, SilentMillis: 750}, {Member: c3, RecentlyActive: true}}
	l.observe(s)
	l.observe(s)
	fake.Advance(2000)
	s.Peers = []raft.PeerStatus{{Member: c2, RecentlyActive: true}, {Member: c3, RecentlyActive: true}}
	l.observe(s)
	s.Role, s.Peers = raft.RoleFollower, nil
	s.PeersAtResignation = []raft.PeerStatus{{Member: c2, SilentMillis: 701}, {Member: c3, SilentMillis: 9000}}
	l.observe(s)
	l.observe(s)
	golden.Assert(t, out.String(), "member-lines.txt")
}

// TestRestartedVoterIsNoNewVoter guards against a line that reports a process that was a
// voter before it started as a new one.
func TestRestartedVoterIsNoNewVoter(t *testing.T) {
	var out bytes.Buffer
	lg, err := logs.New(&out, logs.Settings{Level: "info", Process: "c1", Zone: "zone-a"}, clock.NewFake(0).Clock())
	assert.NilError(t, err)
	l := newMemberLog(lg, clock.NewFake(0).Clock(), boot.Hello{Name: "c1", ID: 0xa1, Initialised: true})
	l.observe(group.Status{Term: 4, Members: []raft.Member{{ID: 0xa1, Name: "c1", Voter: true}}})
	assert.Assert(t, !bytes.Contains(out.Bytes(), []byte("became-voter")), "%s", out.String())
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("members-changed")), "%s", out.String())
}
