package roles

import (
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/coord/boot"
	"camphorridge/core/coord/group"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/store"
	"camphorridge/io/proto/codec"
	"camphorridge/io/trans/peers"
)

// TestQueriedStatusReplacesNoObservedOne guards against a status that was read before
// a change of leader and is stored after it: this process would take itself for the
// leader of an earlier term, or not for the leader that it is.
func TestQueriedStatusReplacesNoObservedOne(t *testing.T) {
	disk, err := store.Open(t.TempDir(), store.Options[codec.Codec, store.OSFileSystem]{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = disk.Close() })
	stored := raft.StoredState{Self: raft.Member{ID: 1}, Hard: raft.HardState{Term: 3}}
	member, err := group.New(group.Config{RingCapacity: 16}, stored, disk, codec.Codec{}, clock.Real())
	assert.NilError(t, err)
	go func() { _ = member.Run() }()
	t.Cleanup(func() {
		member.Stop()
		<-member.Done()
	})
	m := newMemberAccess(boot.Hello{}, peers.NewSenders(nil, nil))
	m.setMember(member)
	m.updateStatus(group.Status{Role: raft.RoleLeader, Term: 9})
	assert.Equal(t, m.queryStatus(t.Context()).Term, uint64(3))
	term, leads := m.Leads()
	assert.Assert(t, leads, "the term is %d", term)
	assert.Equal(t, term, uint64(9))
}

// TestBusyMemberIsInitialised guards against a member that answers as if it had never been
// in a group while its event loop does not answer: processes with empty data folders
// could form a second group with it.
func TestBusyMemberIsInitialised(t *testing.T) {
	m := newMemberAccess(boot.Hello{}, peers.NewSenders(nil, nil))
	assert.Assert(t, !m.Hello().Initialised)
	m.updateStatus(group.Status{Members: []raft.Member{{ID: 1, Voter: true}}})
	assert.Assert(t, m.Hello().Initialised)
}
