package store

import (
	"errors"
	"fmt"

	"camphorridge/core/state/raft"
)

// DefaultSegmentBytes is the default size in bytes at which a segment receives
// no more records. Smaller segments let a snapshot free space earlier and
// shorten a restart: a snapshot removes only whole segments, and a restart reads
// the segments that are left.
const DefaultSegmentBytes = 4 << 20

// Options configures a store.
type Options[C EntryCodec, F FileSystem] struct {
	Codec      C
	FileSystem F
	// Self describes this member. Its ID is ignored; the ID is read from the
	// folder.
	Self raft.Member
	// SegmentBytes is the size in bytes from which a segment receives no more
	// records and the next one is started. Values below 1 mean
	// DefaultSegmentBytes.
	SegmentBytes int64
}

// Store is the open data folder of a control member. It is not safe for
// concurrent use.
type Store[C EntryCodec, F FileSystem] struct {
	dir          string
	codec        C
	files        F
	segmentBytes int64
	unlock       func() error

	id raft.MemberID
	// hard is the content of the meta file.
	hard raft.HardState
	// commit is the largest commit index that is known from Open, Save or
	// InstallSnapshot; the one in the meta file may be smaller.
	commit   uint64
	snapshot raft.SnapshotMeta
	// segments lists the segments of the log in ascending order. Records are
	// appended to the last one.
	segments []segment
	// active is the file of the last segment; nil if it is not open.
	active File
	// droppedFiles lists the files that must be removed before the next write.
	droppedFiles []string
	// tornWrite is set while the file of the last segment may have bytes after the
	// last durable record, and failedSync after a failed sync. Both are cleared when
	// the segment has been repaired or dropped.
	tornWrite, failedSync bool
	// recordBuf is a buffer for the next record. During Open it holds the last
	// record of the last segment; see rewriteLastRecord.
	recordBuf []byte
	stored    raft.StoredState
	closed    bool
}

// Stored returns the state that Open recovered. Its entries are available only
// until the first Save.
func (s *Store[C, F]) Stored() raft.StoredState { return s.stored }

// Save makes a hard state and entries durable; hard may be nil and entries may
// be empty. The entries replace all stored entries with an index of
// entries[0].Index or higher. A new term or vote is durable before the entries
// are written; a new commit index alone is written with the next term or vote,
// or by Close.
//
// After an error nothing of the call may be acknowledged, although its term and
// vote, and the first entries of a batch above 16 MiB, may be durable. The same
// call may be repeated; it first truncates the log to its last durable record.
func (s *Store[C, F]) Save(hard *raft.HardState, entries []raft.Entry) error {
	if err := s.prepareWrite("save"); err != nil {
		return err
	}
	if err := s.checkOrder(hard, entries); err != nil {
		return err
	}
	s.stored.Entries = nil
	if hard != nil {
		if err := s.saveHardState(*hard, entries); err != nil {
			return err
		}
	}
	for len(entries) > 0 {
		n := entriesInRecord(entries)
		if err := s.append(entries[:n]); err != nil {
			return err
		}
		entries = entries[n:]
	}
	return nil
}

// saveHardState writes a new term or vote to the meta file. A new commit index
// alone is only kept in memory. entries are the ones that the same call of Save
// writes afterwards.
func (s *Store[C, F]) saveHardState(hard raft.HardState, entries []raft.Entry) error {
	if hard.Term == s.hard.Term && hard.Vote == s.hard.Vote {
		s.commit = max(s.commit, hard.Commit)
		return nil
	}
	lastDurable := s.last()
	if len(entries) > 0 {
		lastDurable = min(lastDurable, entries[0].Index-1)
	}
	hard.Commit = max(hard.Commit, s.commit)
	return s.writeMeta(hard, lastDurable)
}

// checkOrder returns an error with KindOutOfOrder if the arguments of Save would lower
// the term, replace entries that the snapshot or the meta file shows as committed, or
// leave a gap in the log.
func (s *Store[C, F]) checkOrder(hard *raft.HardState, entries []raft.Entry) error {
	if hard != nil && hard.Term < s.hard.Term {
		return outOfOrderError("save", "term %d is below the stored term %d", hard.Term, s.hard.Term)
	}
	for i, e := range entries {
		if want := entries[0].Index + uint64(i); e.Index != want {
			return outOfOrderError("save", "the entries are not contiguous: found index %d, expected %d", e.Index, want)
		}
	}
	if len(entries) == 0 {
		return nil
	}
	if low, first := max(s.snapshot.Index, s.hard.Commit), entries[0].Index; first <= low || first > s.last()+1 {
		return outOfOrderError("save", "first index %d must be above the committed index %d and at most %d", first, low, s.last()+1)
	}
	return nil
}

// entriesInRecord returns how many of the entries, at least 1, fit in one record.
func entriesInRecord(entries []raft.Entry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > maxRecordBytes {
			return i
		}
	}
	return len(entries)
}

// prepareWrite completes the cleanup that an earlier call could not complete: it
// removes dropped files and truncates a failed write at the end of the last
// segment. It fails if the store is closed.
func (s *Store[C, F]) prepareWrite(op string) error {
	if s.closed {
		return &Error{Op: op, Kind: KindClosed, Err: fmt.Errorf("%s is closed", s.dir)}
	}
	if err := s.removeDropped(); err != nil {
		return err
	}
	return s.repairTail()
}

// Close writes the commit index and unlocks the folder. The store cannot be used
// afterwards; a second Close does nothing.
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
