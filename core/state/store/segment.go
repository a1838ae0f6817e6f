package store

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"

	"camphorridge/core/state/raft"
)

const (
	logPrefix = "log-"
	logExt    = ".seg"
	// maxRecordBytes limits the data of one record. A larger batch is written as
	// several records, each durable before the next one is written.
	maxRecordBytes = 16 << 20
	// maxKeptBufferBytes is the capacity above which the record buffer is not kept
	// for the next record.
	maxKeptBufferBytes = 1 << 20
)

// segment is one file of the log. Segments are contiguous and do not overlap.
// Records are appended only to the last one.
type segment struct {
	// first is the index of the first entry; the file name contains it.
	first uint64
	// last is the index of the last entry; first-1 while the segment is empty.
	last uint64
	// size is the offset of the end of the last durable record. The file may be
	// longer after a failed write.
	size int64
}

func (seg segment) name() string { return indexName(logPrefix, seg.first, logExt) }

// last returns the index of the last durable entry, or that of the snapshot if
// there are no segments.
func (s *Store[C, F]) last() uint64 {
	if n := len(s.segments); n > 0 {
		return s.segments[n-1].last
	}
	return s.snapshot.Index
}

// append writes a batch of entries as one record and syncs it.
func (s *Store[C, F]) append(batch []raft.Entry) error {
	if err := s.prepareSegment(batch[0].Index); err != nil {
		return err
	}
	s.recordBuf = appendRecord(s.codec, s.recordBuf[:0], batch)
	size := int64(len(s.recordBuf))
	seg := &s.segments[len(s.segments)-1]
	_, err := s.active.WriteAt(s.recordBuf, seg.size)
	if cap(s.recordBuf) > maxKeptBufferBytes {
		s.recordBuf = nil
	}
	if err != nil {
		s.tornWrite = true
		return ioError("append to "+seg.name(), err)
	}
	if err := s.active.Sync(); err != nil {
		s.failedSync = true
		return ioError("sync "+seg.name(), err)
	}
	seg.size += size
	seg.last = batch[len(batch)-1].Index
	return nil
}

// prepareSegment makes the last segment the one to which a record that starts at
// index must be appended, and opens its file. Segments that start above index
// are removed first, because a record replaces entries only within its own
// segment.
func (s *Store[C, F]) prepareSegment(index uint64) error {
	keep := len(s.segments)
	for keep > 0 && s.segments[keep-1].first > index {
		keep--
	}
	s.dropSegmentsFrom(keep)
	if err := s.removeDropped(); err != nil {
		return err
	}
	n := len(s.segments)
	// A new segment is started only for a record that replaces no entries, so
	// that segments never overlap.
	full := n > 0 && s.segments[n-1].size >= s.segmentBytes && index == s.last()+1
	if n == 0 || full {
		return s.startSegment(index)
	}
	if s.active == nil {
		return s.openActive()
	}
	return nil
}

// startSegment creates a new segment. The file name is made durable before a
// record in the file is acknowledged.
func (s *Store[C, F]) startSegment(first uint64) error {
	seg := segment{first: first, last: first - 1}
	f, err := s.files.Open(s.path(seg.name()))
	if err == nil {
		err = f.Truncate(0)
		if err == nil {
			err = s.files.SyncDir(s.dir)
		}
		if err != nil {
			err = errors.Join(err, f.Close())
		}
	}
	if err != nil {
		s.droppedFiles = append(s.droppedFiles, seg.name())
		return ioError("create "+seg.name(), err)
	}
	s.closeActive()
	s.segments = append(s.segments, seg)
	s.active = f
	return nil
}

// openActive opens the file of the last segment.
func (s *Store[C, F]) openActive() error {
	name := s.segments[len(s.segments)-1].name()
	f, err := s.files.Open(s.path(name))
	if err != nil {
		return ioError("open "+name, err)
	}
	s.active = f
	return nil
}

// closeActive closes the file of the last segment. An error of Close is ignored
// because all acknowledged records are durable.
func (s *Store[C, F]) closeActive() {
	if s.active != nil {
		_ = s.active.Close()
		s.active = nil
	}
}

// dropSegmentsFrom drops the segments from position i to the end from the log.
// removeDropped then removes their files, from the last to the first, so that the
// segments on disk never have a gap.
func (s *Store[C, F]) dropSegmentsFrom(i int) {
	for n := len(s.segments) - 1; n >= i; n-- {
		s.closeActive()
		s.tornWrite, s.failedSync = false, false
		s.dropSegment(n)
	}
}

// dropSegment drops the segment at position i from the log; removeDropped
// removes its file.
func (s *Store[C, F]) dropSegment(i int) {
	s.droppedFiles = append(s.droppedFiles, s.segments[i].name())
	s.segments = append(s.segments[:i:i], s.segments[i+1:]...)
}

// dropCoveredSegments drops the segments that the snapshot covers completely, in
// ascending order. The last segment is never dropped.
func (s *Store[C, F]) dropCoveredSegments() {
	for len(s.segments) > 1 && s.segments[0].last <= s.snapshot.Index {
		s.dropSegment(0)
	}
}

// removeDropped removes the files of dropped segments. The removal of each file
// is made durable before the next one: otherwise any of the files could reappear
// after a crash, and an old segment must not follow newer entries. A removal that
// fails is retried before the next write.
func (s *Store[C, F]) removeDropped() error {
	for len(s.droppedFiles) > 0 {
		name := s.droppedFiles[0]
		if err := s.files.Remove(s.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return ioError("remove "+name, err)
		}
		if err := s.files.SyncDir(s.dir); err != nil {
			return ioError("remove "+name, err)
		}
		s.droppedFiles = s.droppedFiles[1:]
	}
	return nil
}

// repairTail truncates the last segment to the end of its last durable record
// after a failed write or sync. After a failed sync, the kernel may have dropped
// the dirty pages and marked them clean, so that a second sync would succeed
// without writing them. The success of a later sync is therefore not trusted:
// the file is reopened, its earlier records are verified, and the failed record
// is truncated; the next Save writes it again.
func (s *Store[C, F]) repairTail() error {
	if len(s.segments) == 0 || (!s.tornWrite && !s.failedSync) {
		return nil
	}
	seg := s.segments[len(s.segments)-1]
	if s.failedSync {
		s.closeActive()
		b, err := s.files.ReadFile(s.path(seg.name()))
		if err != nil {
			return ioError("read "+seg.name(), err)
		}
		if err := checkRecords(seg, b); err != nil {
			return err
		}
	}
	if s.active == nil {
		if err := s.openActive(); err != nil {
			return err
		}
	}
	err := s.active.Truncate(seg.size)
	if err == nil {
		err = s.active.Sync()
	}
	if err != nil {
		s.failedSync = true
		return ioError("truncate "+seg.name(), err)
	}
	s.tornWrite, s.failedSync = false, false
	return nil
}

// checkRecords returns an error if the durable records of a segment, whose file
// content is b, are damaged.
func checkRecords(seg segment, b []byte) error {
	if int64(len(b)) < seg.size {
		return corruptError(seg.name(), int64(len(b)), "the file ends before offset %d", seg.size)
	}
	for off := int64(0); off < seg.size; {
		_, n, ok := parseRecord(b[off:seg.size])
		if !ok {
			return corruptError(seg.name(), off, "the record is damaged")
		}
		off += int64(n)
	}
	return nil
}

func (s *Store[C, F]) path(name string) string { return filepath.Join(s.dir, name) }

// outOfOrderError returns an Error with KindOutOfOrder.
func outOfOrderError(op, format string, args ...any) error {
	return &Error{Op: op, Kind: KindOutOfOrder, Err: fmt.Errorf(format, args...)}
}
