package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"

	"camphorridge/core/state/raft"
)

// Open opens the data folder dir, creating it if it is missing, and recovers its
// content after a crash. The error has KindLocked if another process uses the
// folder, KindCorrupt or KindGap if data is damaged or missing, KindNoMeta if
// the folder contains data but no member ID, and KindIO or KindDiskFull if the
// file system fails. Open does not generate a new ID for existing data, because
// the member could then vote twice, under the old and the new ID.
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

// dataFiles describes the data files in a folder: whether there is a meta file,
// and the indexes of the snapshots and log segments in ascending order.
type dataFiles struct {
	meta  bool
	snaps []uint64
	logs  []uint64
}

// recover loads the meta file, the latest snapshot and the log. It removes
// incomplete and replaced files that a crash left, and generates a member ID if
// the folder contains no data.
func (s *Store[C, F]) recover(self raft.Member) error {
	found, err := s.listDataFiles()
	if err != nil {
		return err
	}
	if err := s.loadMeta(found); err != nil {
		return err
	}
	if err := s.loadSnapshot(found.snaps); err != nil {
		return err
	}
	log, err := s.loadLog(found.logs)
	if err != nil {
		return err
	}
	if log, err = s.reconcile(log); err != nil {
		return err
	}
	if s.hard.Commit > s.last() {
		return &Error{Op: "open", Kind: KindGap, Err: fmt.Errorf("the log ends at entry %d, but %d is stored as the commit index", s.last(), s.hard.Commit)}
	}
	s.commit = max(s.hard.Commit, s.snapshot.Index)
	self.ID = s.id
	s.stored = raft.StoredState{Self: self, Hard: s.hard, Snapshot: s.snapshot, Entries: log}
	s.stored.Hard.Commit = s.commit
	return nil
}

// listDataFiles lists the data files and removes files whose creation was
// interrupted by a crash: temporary files and empty segments. It also syncs the
// folder: the previous process may have ended between a rename and the sync of
// the folder, and files read here must not disappear in a later crash.
func (s *Store[C, F]) listDataFiles() (dataFiles, error) {
	names, err := s.files.List(s.dir)
	if err != nil {
		return dataFiles{}, ioError("list", err)
	}
	if err := s.files.SyncDir(s.dir); err != nil {
		return dataFiles{}, ioError("sync folder", err)
	}
	var found dataFiles
	for _, name := range names {
		if strings.HasSuffix(name, tempExt) {
			if err := s.files.Remove(s.path(name)); err != nil {
				return dataFiles{}, ioError("remove "+name, err)
			}
			continue
		}
		found.meta = found.meta || name == metaName
		if index, ok := parseIndex(name, snapPrefix, snapExt); ok {
			found.snaps = append(found.snaps, index)
		}
		if index, ok := parseIndex(name, logPrefix, logExt); ok {
			size, err := s.files.Size(s.path(name))
			if err != nil {
				return dataFiles{}, ioError("get size of "+name, err)
			}
			if size == 0 {
				s.droppedFiles = append(s.droppedFiles, name)
				continue
			}
			found.logs = append(found.logs, index)
		}
	}
	slices.Sort(found.snaps)
	slices.Sort(found.logs)
	return found, s.removeDropped()
}

// loadMeta reads the meta file. If the folder contains no data, it generates a member
// ID and creates the file.
func (s *Store[C, F]) loadMeta(found dataFiles) error {
	if found.meta {
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
	if len(found.snaps)+len(found.logs) > 0 {
		return &Error{Op: "open", Kind: KindNoMeta, Err: fmt.Errorf(
			"%s contains %d snapshots and %d log segments but no meta file", s.dir, len(found.snaps), len(found.logs))}
	}
	id, err := newMemberID()
	if err != nil {
		return err
	}
	s.id = id
	return s.writeMeta(raft.HardState{}, 0)
}

// loadSnapshot verifies the latest snapshot, keeps its description and removes older
// snapshots left by a crash. The content of the latest one is durable because the
// file is renamed to its name only after a sync.
func (s *Store[C, F]) loadSnapshot(snaps []uint64) error {
	if len(snaps) == 0 {
		return nil
	}
	s.snapshot.Index = snaps[len(snaps)-1]
	meta, _, err := s.ReadSnapshot()
	if err != nil {
		return err
	}
	s.snapshot = meta
	return s.removeOldSnapshots()
}

// loadLog reads the segments that start at the given indexes and returns their
// entries. The segments must be contiguous, and the first must start at most one
// entry after the snapshot. The last segment is removed if it has no complete record.
func (s *Store[C, F]) loadLog(firstIndexes []uint64) ([]raft.Entry, error) {
	var log []raft.Entry
	next := s.snapshot.Index + 1
	for i, first := range firstIndexes {
		if first > next || (i > 0 && first < next) {
			return nil, &Error{Op: "open", Kind: KindGap, Err: fmt.Errorf(
				"%s does not start directly after entry %d", segment{first: first}.name(), next-1)}
		}
		seg, entries, err := s.loadSegment(first, i == len(firstIndexes)-1)
		if err != nil {
			return nil, err
		}
		s.segments = append(s.segments, seg)
		log = append(log, entries...)
		next = seg.last + 1
	}
	if n := len(s.segments); n > 0 && s.segments[n-1].size == 0 {
		// The write of the first record of a new segment was interrupted.
		s.dropSegmentsFrom(n - 1)
	}
	return log, s.removeDropped()
}

// loadSegment reads one segment; final is true for the last one. In the last
// segment, a damaged record without a valid record after it comes from a write
// that was interrupted before it was acknowledged, and is ignored. loadSegment leaves
// the last undamaged record in recordBuf; see rewriteLastRecord.
func (s *Store[C, F]) loadSegment(first uint64, final bool) (segment, []raft.Entry, error) {
	seg := segment{first: first, last: first - 1}
	b, err := s.files.ReadFile(s.path(seg.name()))
	if err != nil {
		return seg, nil, ioError("read "+seg.name(), err)
	}
	var log []raft.Entry
	for seg.size < int64(len(b)) {
		payload, n, ok := parseRecord(b[seg.size:])
		if !ok {
			if !final || containsRecord(b[seg.size+1:]) {
				return seg, nil, corruptError(seg.name(), seg.size, "the record is damaged")
			}
			break
		}
		batch, err := decodeBatch(s.codec, payload)
		if err != nil {
			return seg, nil, corruptError(seg.name(), seg.size, "%w", err)
		}
		start := batch[0].Index
		if start < first || start > seg.last+1 {
			return seg, nil, corruptError(seg.name(), seg.size, "entry %d follows entry %d", start, seg.last)
		}
		log = append(log[:start-first], batch...)
		s.recordBuf = b[seg.size : seg.size+int64(n)]
		seg.last = batch[len(batch)-1].Index
		seg.size += int64(n)
	}
	return seg, log, nil
}

// reconcile reconciles the log with the snapshot and returns the entries after the
// snapshot. It removes the segments that the snapshot covers and rewrites the last
// record. It fails if the terms of the entries decrease. The log is removed if it
// ends before the snapshot or if its entry at the snapshot's index has another term,
// because an interrupted InstallSnapshot leaves such a log. A log that starts
// directly after the snapshot is kept: SaveSnapshot removed the segments before it.
// InstallSnapshot cannot leave such a log, because it removes the first segment
// last.
func (s *Store[C, F]) reconcile(log []raft.Entry) ([]raft.Entry, error) {
	if len(log) > 0 && s.snapshot.Index > 0 {
		covered := int(s.snapshot.Index + 1 - log[0].Index)
		if covered > len(log) || (covered > 0 && log[covered-1].Term != s.snapshot.Term) {
			s.dropSegmentsFrom(0)
			return nil, s.removeDropped()
		}
		log = slices.Clone(log[covered:])
	}
	term := s.snapshot.Term
	for _, e := range log {
		if e.Term < term {
			return nil, &Error{Op: "open", Kind: KindCorrupt, Err: fmt.Errorf("entry %d has term %d after term %d", e.Index, e.Term, term)}
		}
		term = e.Term
	}
	s.dropCoveredSegments()
	if err := s.removeDropped(); err != nil {
		return nil, err
	}
	return log, s.rewriteLastRecord()
}

// rewriteLastRecord makes the last record durable. The previous process may have
// ended before the sync of the record or after a failed sync, so that the record
// exists only in the page cache and a later crash would lose it after this
// member has acknowledged it. The record is written again because a sync alone
// skips pages that a failed sync has marked clean.
func (s *Store[C, F]) rewriteLastRecord() error {
	defer func() { s.recordBuf = nil }()
	if len(s.segments) == 0 {
		return nil
	}
	if err := s.openActive(); err != nil {
		return err
	}
	seg := s.segments[len(s.segments)-1]
	err := s.active.Truncate(seg.size)
	if err == nil {
		_, err = s.active.WriteAt(s.recordBuf, seg.size-int64(len(s.recordBuf)))
	}
	if err == nil {
		err = s.active.Sync()
	}
	if err != nil {
		return ioError("sync "+seg.name(), err)
	}
	return nil
}
