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
	// maxBatch bounds the data of one record; a larger batch becomes several
	// records, each synced before the next one.
	maxBatch = 16 << 20
	// keepBuffer is the largest buffer that is kept for the next record.
	keepBuffer = 1 << 20
)

// segment is one file of the log. Segments follow on each other without a
// gap or an overlap; records are appended to the last one only.
type segment struct {
	first uint64
	// last is first-1 while the segment is empty.
	last uint64
	// size is the end of the last record that was synced. The file may be
	// longer after a failed write.
	size int64
}

func (g segment) name() string { return indexName(logPrefix, g.first, logExt) }

// last is the index of the last durable entry, or of the snapshot.
func (s *Store[C, F]) last() uint64 {
	if n := len(s.segments); n > 0 {
		return s.segments[n-1].last
	}
	return s.snap.Index
}

// append writes one record and syncs it.
func (s *Store[C, F]) append(batch []raft.Entry) error {
	if err := s.place(batch[0].Index); err != nil {
		return err
	}
	s.buf = appendRecord(s.codec, s.buf[:0], batch)
	size := int64(len(s.buf))
	g := &s.segments[len(s.segments)-1]
	_, err := s.active.WriteAt(s.buf, g.size)
	if cap(s.buf) > keepBuffer {
		s.buf = nil
	}
	if err != nil {
		s.torn = true
		return ioError("append to "+g.name(), err)
	}
	if err := s.active.Sync(); err != nil {
		s.unknown = true
		return ioError("sync "+g.name(), err)
	}
	g.size += size
	g.last = batch[len(batch)-1].Index
	return nil
}

// place makes the last segment the one that takes a record from index on.
// Segments that start above the index are removed first: a record replaces
// entries of its own segment only.
func (s *Store[C, F]) place(index uint64) error {
	keep := len(s.segments)
	for keep > 0 && s.segments[keep-1].first > index {
		keep--
	}
	s.doomFrom(keep)
	if err := s.removeDoomed(); err != nil {
		return err
	}
	n := len(s.segments)
	// Only a record that replaces nothing starts a new segment, so that
	// segments never overlap.
	full := n > 0 && s.segments[n-1].size >= s.segmentBytes && index == s.last()+1
	if n == 0 || full {
		return s.roll(index)
	}
	if s.active == nil {
		return s.reopen()
	}
	return nil
}

// roll starts a new segment. Its name is made durable before a record in it
// is acknowledged.
func (s *Store[C, F]) roll(first uint64) error {
	g := segment{first: first, last: first - 1}
	f, err := s.files.Open(s.path(g.name()))
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
		s.doomed = append(s.doomed, g.name())
		return ioError("create "+g.name(), err)
	}
	s.closeActive()
	s.segments = append(s.segments, g)
	s.active = f
	return nil
}

func (s *Store[C, F]) reopen() error {
	name := s.segments[len(s.segments)-1].name()
	f, err := s.files.Open(s.path(name))
	if err != nil {
		return ioError("open "+name, err)
	}
	s.active = f
	return nil
}

// closeActive closes the file of the last segment. The error of the close is
// of no use: all records that count were synced.
func (s *Store[C, F]) closeActive() {
	if s.active != nil {
		_ = s.active.Close()
		s.active = nil
	}
}

// doomFrom takes the segments from position i on out of the log, the last one
// first, so that what is left on disk never has a gap.
func (s *Store[C, F]) doomFrom(i int) {
	for n := len(s.segments) - 1; n >= i; n-- {
		s.closeActive()
		s.torn, s.unknown = false, false
		s.doom(n)
	}
}

// doom takes one segment out of the log; removeDoomed removes its file.
func (s *Store[C, F]) doom(i int) {
	s.doomed = append(s.doomed, s.segments[i].name())
	s.segments = append(s.segments[:i:i], s.segments[i+1:]...)
}

// trim takes the segments that the snapshot covers as a whole out of the log,
// the first one first.
func (s *Store[C, F]) trim() {
	for len(s.segments) > 1 && s.segments[0].last <= s.snap.Index {
		s.doom(0)
	}
}

// removeDoomed removes the files that are no longer part of the log, each
// durably before the next: the file system may otherwise keep any of them
// over a crash, and an old segment must not follow on newer entries. Files
// that could not be removed are tried again before anything is written.
func (s *Store[C, F]) removeDoomed() error {
	for len(s.doomed) > 0 {
		name := s.doomed[0]
		if err := s.files.Remove(s.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return ioError("remove "+name, err)
		}
		if err := s.files.SyncDir(s.dir); err != nil {
			return ioError("remove "+name, err)
		}
		s.doomed = s.doomed[1:]
	}
	return nil
}

// repair brings the last segment back to its last good offset after a failed
// write or sync. After a failed sync the kernel may have dropped the dirty
// pages and marked them clean, so that a second sync would succeed without
// writing them: the file is opened anew, its earlier records are checked, and
// the failed record is cut off and written again by the next Save, never
// trusted because a later sync succeeded.
func (s *Store[C, F]) repair() error {
	if len(s.segments) == 0 || (!s.torn && !s.unknown) {
		return nil
	}
	g := s.segments[len(s.segments)-1]
	if s.unknown {
		s.closeActive()
		b, err := s.files.ReadFile(s.path(g.name()))
		if err != nil {
			return ioError("read "+g.name(), err)
		}
		if err := checkRecords(g, b); err != nil {
			return err
		}
	}
	if s.active == nil {
		if err := s.reopen(); err != nil {
			return err
		}
	}
	err := s.active.Truncate(g.size)
	if err == nil {
		err = s.active.Sync()
	}
	if err != nil {
		s.unknown = true
		return ioError("truncate "+g.name(), err)
	}
	s.torn, s.unknown = false, false
	return nil
}

// checkRecords fails when a segment's synced records are not intact.
func checkRecords(g segment, b []byte) error {
	if int64(len(b)) < g.size {
		return corrupt(g.name(), int64(len(b)), "the file ends before offset %d", g.size)
	}
	for off := int64(0); off < g.size; {
		_, n, ok := cutRecord(b[off:g.size])
		if !ok {
			return corrupt(g.name(), off, "the record is damaged")
		}
		off += int64(n)
	}
	return nil
}

func (s *Store[C, F]) path(name string) string { return filepath.Join(s.dir, name) }

func orderError(op, format string, args ...any) error {
	return &Error{Op: op, Kind: KindOutOfOrder, Err: fmt.Errorf(format, args...)}
}
