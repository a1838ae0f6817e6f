package store_test

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/raft"
	"camphorridge/core/state/store"
	"camphorridge/io/proto/codec"
)

var members = []raft.Member{{ID: 7, Name: "c1", Zone: "z", Address: "127.0.0.1:1", Voter: true}}

func open[F store.FileSystem](dir string, files F, size int64) (*store.Store[codec.Codec, F], error) {
	return store.Open(dir, store.Options[codec.Codec, F]{FileSystem: files, SegmentBytes: size, Self: raft.Member{Name: "c1", Zone: "z"}})
}

// assertKind fails the test unless err is an Error of the given kind.
func assertKind(t assert.TestingT, err error, kind store.Kind) {
	var e *store.Error
	assert.Assert(t, errors.As(err, &e), "%T %v", err, err)
	assert.Equal(t, e.Kind, kind, "%v", err)
}

// run is a test run of a store on a fake disk, with the state that the store must
// contain.
type run struct {
	disk  *memDisk
	store *store.Store[codec.Codec, *memDisk]
	id    raft.MemberID
	hard  raft.HardState
	snap  raft.SnapshotMeta
	log   []raft.Entry
	count int
	// abandoned is set after a failed Save that is not repeated. log then
	// contains only the entries that the store must still have.
	abandoned bool
}

func (r *run) last() uint64 { return r.snap.Index + uint64(len(r.log)) }

// step is one call to the store and the expected content of the store after it.
type step struct {
	call func() error
	hard raft.HardState
	snap raft.SnapshotMeta
	log  []raft.Entry
	// keptEntries is the number of entries of the previous log that must be left
	// in place if the call fails.
	keptEntries int
	// afterAbandoned is set if the previous call was abandoned: its entries and
	// its vote may be stored too.
	afterAbandoned bool
}

// drawStep draws a call that is valid for the current content: SaveSnapshot if kind
// is 0 and the log has entries, InstallSnapshot if kind is 1, and otherwise Save.
// After an abandoned call it is always a Save with a new term.
func (r *run) drawStep(t *rapid.T) step {
	out := step{hard: r.hard, snap: r.snap, log: r.log, keptEntries: len(r.log)}
	kind := rapid.IntRange(0, 9).Draw(t, "call")
	if r.abandoned {
		kind = 2
	}
	term := max(r.hard.Term, r.snap.Term)
	r.count++
	data := []byte(strings.Repeat("x", rapid.IntRange(0, 60).Draw(t, "size")) + fmt.Sprint(r.count))
	switch {
	case kind == 0 && len(r.log) > 0:
		k := rapid.IntRange(1, len(r.log)).Draw(t, "snapshot")
		out.snap = raft.SnapshotMeta{Index: r.log[k-1].Index, Term: r.log[k-1].Term, Members: members}
		out.log, out.keptEntries = r.log[k:], 0
		out.call = func() error { return r.store.SaveSnapshot(out.snap, data) }
	case kind == 1:
		// The term of the snapshot is new, so that the log has no entry of that
		// term.
		low := max(r.hard.Commit, r.snap.Index)
		out.snap = raft.SnapshotMeta{Index: rapid.Uint64Range(low+1, r.last()+3).Draw(t, "index"), Term: term + 1, Members: members}
		out.log, out.keptEntries = nil, 0
		out.call = func() error { return r.store.InstallSnapshot(out.snap, data) }
	default:
		if kind < 5 || term > r.hard.Term {
			out.hard.Term, out.hard.Vote = term+1, raft.MemberID(kind)
		}
		out.hard.Commit = max(r.hard.Commit, r.snap.Index)
		out.keptEntries = rapid.IntRange(int(out.hard.Commit-r.snap.Index), len(r.log)).Draw(t, "from")
		if kind%2 == 0 && !r.abandoned {
			out.keptEntries = len(r.log)
		}
		var batch []raft.Entry
		for n := range rapid.IntRange(1, 3).Draw(t, "entries") {
			batch = append(batch, raft.Entry{Index: r.snap.Index + uint64(out.keptEntries+n+1), Term: out.hard.Term, Data: data})
		}
		out.log = append(append([]raft.Entry(nil), r.log[:out.keptEntries]...), batch...)
		out.hard.Commit += uint64(rapid.IntRange(0, len(out.log)-int(out.hard.Commit-r.snap.Index)).Draw(t, "commit"))
		out.call = func() error { return r.store.Save(&out.hard, batch) }
	}
	return out
}

// tryAbandon records that a failed Save is not repeated and returns true. It changes
// nothing and returns false if the call must be repeated, because it is not a Save
// or commits some of its new entries.
func (s step) tryAbandon(r *run) bool {
	if s.snap.Index != r.snap.Index || s.hard.Commit > r.snap.Index+uint64(s.keptEntries) {
		return false
	}
	r.log, r.abandoned, r.hard.Commit = r.log[:s.keptEntries], true, s.hard.Commit
	return true
}

func (r *run) reopen(t *rapid.T) raft.StoredState {
	s, err := open("d", r.disk, 200)
	assert.NilError(t, err)
	r.store = s
	got := s.Stored()
	if r.id == 0 {
		r.id = got.Self.ID
	}
	assert.Assert(t, r.id != 0 && got.Self.ID == r.id, "the member ID changed")
	meta, _, err := s.ReadSnapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, meta, got.Snapshot)
	return got
}

// check compares the recovered state with the expected states before and after
// the last call, which are the same if the call succeeded, and then expects the
// recovered state.
func (r *run) check(t *rapid.T, got raft.StoredState, after step) {
	same := func(a, b []raft.Entry) bool { return fmt.Sprint(a) == fmt.Sprint(b) }
	n := len(got.Entries)
	if after.afterAbandoned {
		assert.Assert(t, n >= after.keptEntries && same(got.Entries[:after.keptEntries], r.log[:after.keptEntries]), "%v, expected at least %v", got.Entries, r.log)
		r.snap, r.log, r.hard = got.Snapshot, got.Entries, got.Hard
		return
	}
	if got.Snapshot.Index == after.snap.Index && after.snap.Index != r.snap.Index {
		// The new snapshot is durable. Segments left by an interrupted
		// InstallSnapshot must not contribute entries: exactly those after the
		// snapshot remain.
		assert.Assert(t, same(got.Entries, after.log), "%v, expected %v", got.Entries, after.log)
	} else {
		assert.Equal(t, got.Snapshot.Index, r.snap.Index)
		whole := same(got.Entries, after.log) && after.snap.Index == r.snap.Index
		part := n >= after.keptEntries && n <= len(r.log) && same(got.Entries, r.log[:n])
		assert.Assert(t, whole || part, "%v, expected %v or a part of %v", got.Entries, after.log, r.log)
	}
	vote := raft.HardState{Term: got.Hard.Term, Vote: got.Hard.Vote}
	assert.Assert(t, vote == raft.HardState{Term: r.hard.Term, Vote: r.hard.Vote} ||
		vote == raft.HardState{Term: after.hard.Term, Vote: after.hard.Vote}, "%+v", got.Hard)
	r.snap, r.log, r.hard = got.Snapshot, got.Entries, got.Hard
}

// TestFaultsAndCrashes guards against a store that loses or changes acknowledged
// data, or that cannot continue, after a failed write, a full disk, a failed sync
// that drops pages, a killed process, or a power cut during any call or during
// recovery.
func TestFaultsAndCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &run{disk: newDisk()}
		r.reopen(t)
		for range rapid.IntRange(1, 25).Draw(t, "calls") {
			next := r.drawStep(t)
			// The numbers of the faults:
			//   0, 1: a power cut during the call
			//   2:    a power cut during the call and another one during the recovery
			//   3:    one failed operation; if the call fails, a crash follows
			//   4:    one failed operation; a failed call is abandoned if tryAbandon
			//         allows it, otherwise repeated
			//   5:    one failed operation; a failed call is repeated
			//   6, 7: a crash after the call
			//   8, 9: none
			fault := rapid.IntRange(0, 9).Draw(t, "fault")
			r.disk.failure = []error{syscall.ENOSPC, syscall.EIO}[fault%2]
			if fault < 6 {
				r.disk.countdown = rapid.IntRange(1, 9).Draw(t, "at")
				r.disk.powerCut = fault < 3
			}
			err := next.call()
			crash := r.disk.powerCut || fault == 6 || fault == 7 || (err != nil && fault == 3)
			r.disk.countdown = 0
			next.afterAbandoned, r.abandoned = r.abandoned, false
			if err != nil && !crash {
				if fault == 4 && next.tryAbandon(r) {
					continue
				}
				assert.NilError(t, next.call(), "the repeated call")
				err = nil
			}
			if err == nil {
				r.hard, r.snap, r.log = next.hard, next.snap, next.log
				next.keptEntries, next.afterAbandoned = len(r.log), false
			}
			if !crash {
				continue
			}
			r.disk.crash(t, rapid.Bool().Draw(t, "machine crash"))
			if fault == 2 {
				// Recovery is interrupted as well.
				r.disk.countdown, r.disk.powerCut = rapid.IntRange(1, 6).Draw(t, "again"), true
				_, _ = open("d", r.disk, 200)
				r.disk.crash(t, true)
			}
			r.check(t, r.reopen(t), next)
		}
		assert.NilError(t, r.store.Close())
		commit := r.hard.Commit
		got := r.reopen(t)
		assert.Assert(t, r.abandoned || got.Hard.Commit >= max(commit, r.snap.Index), "Close lost the commit index")
		r.check(t, got, step{hard: r.hard, snap: r.snap, log: r.log, keptEntries: len(r.log), afterAbandoned: r.abandoned})
	})
}
