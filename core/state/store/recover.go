package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"

	"camphorridge/core/state/raft"
)

// Open creates the data folder or recovers what it holds. Its errors have
// KindLocked when another process uses the folder, KindCorrupt and KindGap
// when data is damaged or missing, and KindNoMeta when there is data without
// an identity: a new identity there would vote as a second member.
func Open[C EntryCodec, F FileSystem](dir string, opts Options[C, F]) (*Store[C, F], error) {
	s := &Store[C, F]{dir: dir, codec: opts.Codec, files: opts.FileSystem, segmentBytes: opts.SegmentBytes}
	if s.segmentBytes <= 0 {
		s.segmentBytes = DefaultSegmentBytes
	}
	if err := s.files.MakeDir(dir); err != nil {
		return nil, ioError("create folder", err)
	}
	unlock, err := s.files.Lock(s.path(lockName))
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, &Error{Op: "open", Kind: KindLocked, Err: err}
	}
	if err != nil {
		return nil, ioError("lock", err)
	}
	s.unlock = unlock
	if err := s.recover(opts.Self); err != nil {
		s.closeActive()
		_ = s.unlock()
		return nil, err
	}
	return s, nil
}

// found lists the data files of a folder by their indexes, in ascending order.
type found struct {
	meta  bool
	snaps []uint64
	logs  []uint64
}

func (s *Store[C, F]) recover(self raft.Member) error {
	have, err := s.list()
	if err != nil {
		return err
	}
	if err := s.loadMeta(have); err != nil {
		return err
	}
	if err := s.loadSnap(have.snaps); err != nil {
		return err
	}
	log, err := s.loadLog(have.logs)
	if err != nil {
		return err
	}
	if log, err = s.reconcile(log); err != nil {
		return err
	}
	if s.hard.Commit > s.last() {
		return &Error{Op: "open", Kind: KindGap, Err: fmt.Errorf("the log ends at entry %d, but %d was recorded as committed", s.last(), s.hard.Commit)}
	}
	s.commit = max(s.hard.Commit, s.snap.Index)
	self.ID = s.id
	s.stored = raft.StoredState{Self: self, Hard: s.hard, Snapshot: s.snap, Entries: log}
	s.stored.Hard.Commit = s.commit
	return nil
}

// list finds the data files and removes what a crash left of files that were
// being made: temporary files and segments without a byte. It also syncs the
// folder, because the process before may have ended between a rename and its
// sync, and what is read here must not vanish later.
func (s *Store[C, F]) list() (found, error) {
	names, err := s.files.List(s.dir)
	if err != nil {
		return found{}, ioError("list", err)
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return found{}, ioError("sync folder", err)
	}
	var have found
	for _, name := range names {
		if strings.HasSuffix(name, tempExt) {
			if err := s.files.Remove(s.path(name)); err != nil {
				return found{}, ioError("remove "+name, err)
			}
			continue
		}
		have.meta = have.meta || name == metaName
		if index, ok := parseIndex(name, snapPrefix, snapExt); ok {
			have.snaps = append(have.snaps, index)
		}
		if index, ok := parseIndex(name, logPrefix, logExt); ok {
			size, err := s.files.Size(s.path(name))
			if err != nil {
				return found{}, ioError("size of "+name, err)
			}
			if size == 0 {
				s.doomed = append(s.doomed, name)
				continue
			}
			have.logs = append(have.logs, index)
		}
	}
	slices.Sort(have.snaps)
	slices.Sort(have.logs)
	return have, s.removeDoomed()
}

func (s *Store[C, F]) loadMeta(have found) error {
	if have.meta {
		b, err := s.files.ReadFile(s.path(metaName))
		if err != nil {
			return ioError("read meta", err)
		}
		m, err := decodeMeta(b)
		if err != nil {
			return err
		}
		s.id, s.hard = m.id, m.hard
		return nil
	}
	if len(have.snaps)+len(have.logs) > 0 {
		return &Error{Op: "open", Kind: KindNoMeta, Err: fmt.Errorf(
			"%s has %d snapshots and %d log segments but no meta file", s.dir, len(have.snaps), len(have.logs))}
	}
	id, err := newIdentity()
	if err != nil {
		return err
	}
	s.id = id
	return s.writeMeta(raft.HardState{}, 0)
}

// loadSnap reads the description of the latest snapshot and removes older
// ones, which a crash left behind: the latest one is durable under its name.
func (s *Store[C, F]) loadSnap(snaps []uint64) error {
	if len(snaps) == 0 {
		return nil
	}
	s.snap.Index = snaps[len(snaps)-1]
	meta, _, err := s.ReadSnapshot()
	if err != nil {
		return err
	}
	s.snap = meta
	return s.removeOldSnaps()
}

// loadLog reads the segments, which must follow on each other and reach the
// snapshot, and returns their entries.
func (s *Store[C, F]) loadLog(firsts []uint64) ([]raft.Entry, error) {
	var log []raft.Entry
	next := s.snap.Index + 1
	for i, first := range firsts {
		if first > next || (i > 0 && first < next) {
			return nil, &Error{Op: "open", Kind: KindGap, Err: fmt.Errorf(
				"%s does not follow on entry %d", segment{first: first}.name(), next-1)}
		}
		g, entries, err := s.loadSegment(first, i == len(firsts)-1)
		if err != nil {
			return nil, err
		}
		s.segments = append(s.segments, g)
		log = append(log, entries...)
		next = g.last + 1
	}
	if n := len(s.segments); n > 0 && s.segments[n-1].size == 0 {
		// The first record of a new segment was torn.
		s.doomFrom(n - 1)
	}
	return log, s.removeDoomed()
}

// loadSegment reads one segment. In the last one a damaged record with no
// valid record after it is the torn end of an unacknowledged write, and is
// cut off.
func (s *Store[C, F]) loadSegment(first uint64, final bool) (segment, []raft.Entry, error) {
	g := segment{first: first, last: first - 1}
	b, err := s.files.ReadFile(s.path(g.name()))
	if err != nil {
		return g, nil, ioError("read "+g.name(), err)
	}
	var log []raft.Entry
	for g.size < int64(len(b)) {
		payload, n, ok := cutRecord(b[g.size:])
		if !ok {
			if !final || holdsRecord(b[g.size+1:]) {
				return g, nil, corrupt(g.name(), g.size, "the record is damaged")
			}
			break
		}
		batch, err := decodeBatch(s.codec, payload)
		if err != nil {
			return g, nil, corrupt(g.name(), g.size, "%w", err)
		}
		start := batch[0].Index
		if start < first || start > g.last+1 {
			return g, nil, corrupt(g.name(), g.size, "entry %d follows on entry %d", start, g.last)
		}
		log = append(log[:start-first], batch...)
		s.buf = b[g.size : g.size+int64(n)]
		g.last = batch[len(batch)-1].Index
		g.size += int64(n)
	}
	return g, log, nil
}

// reconcile joins the snapshot and the log: it returns the entries after the
// snapshot. The log is removed when it ends before the snapshot or has another
// entry at the snapshot's index, which is what an interrupted Install leaves.
// A log that starts right after the snapshot was cut by Snapshot, because
// Install removes the first segment last.
func (s *Store[C, F]) reconcile(log []raft.Entry) ([]raft.Entry, error) {
	if len(log) > 0 && s.snap.Index > 0 {
		covered := int(s.snap.Index + 1 - log[0].Index)
		if covered > len(log) || (covered > 0 && log[covered-1].Term != s.snap.Term) {
			s.doomFrom(0)
			return nil, s.removeDoomed()
		}
		log = slices.Clone(log[covered:])
	}
	term := s.snap.Term
	for _, e := range log {
		if e.Term < term {
			return nil, &Error{Op: "open", Kind: KindCorrupt, Err: fmt.Errorf("entry %d has term %d after term %d", e.Index, e.Term, term)}
		}
		term = e.Term
	}
	s.trim()
	if err := s.removeDoomed(); err != nil {
		return nil, err
	}
	return log, s.settle()
}

// settle makes the last record durable. The process before may have ended
// before its sync, or after a failed one, so that the record is in the page
// cache only and would be lost by a crash after this member acknowledged it.
// It is written again because a sync alone skips pages that a failed sync
// marked clean.
func (s *Store[C, F]) settle() error {
	defer func() { s.buf = nil }()
	if len(s.segments) == 0 {
		return nil
	}
	if err := s.reopen(); err != nil {
		return err
	}
	g := s.segments[len(s.segments)-1]
	err := s.active.Truncate(g.size)
	if err == nil {
		_, err = s.active.WriteAt(s.buf, g.size-int64(len(s.buf)))
	}
	if err == nil {
		err = s.active.Sync()
	}
	if err != nil {
		return ioError("sync "+g.name(), err)
	}
	return nil
}
