package store

import (
	"errors"
	"fmt"

	"camphorridge/core/state/raft"
)

// DefaultSegmentBytes is the size from which on a segment takes no further
// records. A restart reads at most the segments since the last snapshot, and
// a snapshot frees whole segments only.
const DefaultSegmentBytes = 4 << 20

// Options configures a store.
type Options[C EntryCodec, F FileSystem] struct {
	Codec      C
	FileSystem F
	// Self holds the settings of this member; its identity comes from the
	// folder.
	Self raft.Member
	// SegmentBytes is the size at which a new segment starts; 0 stands for
	// DefaultSegmentBytes.
	SegmentBytes int64
}

// Store is the open data folder of a control member. It belongs to one duty:
// its methods must not be called concurrently.
type Store[C EntryCodec, F FileSystem] struct {
	dir          string
	codec        C
	files        F
	segmentBytes int64
	unlock       func() error

	id raft.MemberID
	// hard is the content of the meta file.
	hard raft.HardState
	// commit is the largest commit index told; the meta file may have a
	// smaller one.
	commit uint64
	snap   raft.SnapshotMeta
	// segments is the log after the snapshot; its last one takes records.
	segments []segment
	// active is the open file of the last segment; nil when it is not open.
	active File
	// doomed lists files to be removed before anything is written.
	doomed []string
	// torn is set while the last segment may have bytes after its size;
	// unknown is set after a failed sync.
	torn, unknown bool
	buf           []byte
	stored        raft.StoredState
	closed        bool
}

// Stored returns what Open found. The entries are kept until the first Save
// only.
func (s *Store[C, F]) Stored() raft.StoredState { return s.stored }

// Save makes a hard state and entries durable; hard may be nil and entries
// empty. The entries replace all stored entries from entries[0].Index on. A
// term or a vote is synced before the entries are written; a commit index
// alone is written with the next term, vote or Close.
//
// After an error nothing of the call may be acknowledged, although its term
// and vote, and of a batch above 16 MiB the first entries, may be durable.
// The same call may be repeated, and brings the log back to its last good
// record first.
func (s *Store[C, F]) Save(hard *raft.HardState, entries []raft.Entry) error {
	if err := s.ready("save"); err != nil {
		return err
	}
	if err := s.checkOrder(hard, entries); err != nil {
		return err
	}
	s.stored.Entries = nil
	if hard != nil {
		if err := s.saveHard(*hard, entries); err != nil {
			return err
		}
	}
	for len(entries) > 0 {
		n := batchLen(entries)
		if err := s.append(entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return nil
}

func (s *Store[C, F]) saveHard(hard raft.HardState, entries []raft.Entry) error {
	if hard.Term == s.hard.Term && hard.Vote == s.hard.Vote {
		s.commit = max(s.commit, hard.Commit)
		return nil
	}
	durable := s.last()
	if len(entries) > 0 {
		durable = min(durable, entries[0].Index-1)
	}
	hard.Commit = max(hard.Commit, s.commit)
	return s.writeMeta(hard, durable)
}

func (s *Store[C, F]) checkOrder(hard *raft.HardState, entries []raft.Entry) error {
	if hard != nil && hard.Term < s.hard.Term {
		return orderError("save", "term %d after term %d", hard.Term, s.hard.Term)
	}
	for i, e := range entries {
		if want := entries[0].Index + uint64(i); e.Index != want {
			return orderError("save", "entry %d in the place of entry %d", e.Index, want)
		}
	}
	if len(entries) == 0 {
		return nil
	}
	if low, first := max(s.snap.Index, s.hard.Commit), entries[0].Index; first <= low || first > s.last()+1 {
		return orderError("save", "entry %d is not above the committed entry %d and at most %d", first, low, s.last()+1)
	}
	return nil
}

// batchLen is the number of entries, at least 1, that fit one record.
func batchLen(entries []raft.Entry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > maxBatch {
			return i
		}
	}
	return len(entries)
}

// ready finishes what an earlier call could not: files to remove, and a last
// segment that ends in a failed write.
func (s *Store[C, F]) ready(op string) error {
	if s.closed {
		return &Error{Op: op, Kind: KindClosed, Err: fmt.Errorf("%s is closed", s.dir)}
	}
	if err := s.removeDoomed(); err != nil {
		return err
	}
	return s.repair()
}

// Close writes the commit index and releases the folder. The store cannot be
// used afterwards; a second Close does nothing.
func (s *Store[C, F]) Close() error {
	if s.closed {
		return nil
	}
	var err error
	if min(s.commit, s.last()) > s.hard.Commit {
		hard := s.hard
		hard.Commit = s.commit
		err = s.writeMeta(hard, s.last())
	}
	s.closeActive()
	s.closed = true
	if uerr := s.unlock(); uerr != nil {
		err = errors.Join(err, ioError("unlock", uerr))
	}
	return err
}
