package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strconv"
	"strings"

	"camphorridge/core/state/raft"
)

const (
	snapPrefix = "snap-"
	snapExt    = ".bin"
	// snapMagic identifies the file format and its version.
	snapMagic = "crsnap01"
	// snapHeaderSize is the size in bytes of the magic, the checksum of all
	// bytes after the checksum, and the length of the description.
	snapHeaderSize = len(snapMagic) + 4 + 4
)

// indexName returns the name of the file for an index. The index is padded with
// zeros, so that file names sort in the order of the indexes.
func indexName(prefix string, index uint64, ext string) string {
	return fmt.Sprintf("%s%020d%s", prefix, index, ext)
}

// parseIndex returns the index in a file name created by indexName. ok is false
// for other names.
func parseIndex(name, prefix, ext string) (index uint64, ok bool) {
	digits, found := strings.CutPrefix(name, prefix)
	digits, cut := strings.CutSuffix(digits, ext)
	if !found || !cut || len(digits) != 20 {
		return 0, false
	}
	index, err := strconv.ParseUint(digits, 10, 64)
	return index, err == nil && index > 0
}

// snapshotHeader returns the header that precedes the data in a snapshot file.
// The description of the snapshot is encoded as a log entry of kind
// EntryMembers, because it has the same fields.
func snapshotHeader[C EntryCodec](codec C, meta raft.SnapshotMeta, data []byte) []byte {
	desc := codec.EncodeEntry(raft.Entry{Index: meta.Index, Term: meta.Term, Kind: raft.EntryMembers, Members: meta.Members})
	b := append([]byte(snapMagic), 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(desc)))
	b = append(b, desc...)
	sum := crc32.Update(crc32.Checksum(b[len(snapMagic)+4:], castagnoli), castagnoli, data)
	binary.LittleEndian.PutUint32(b[len(snapMagic):], sum)
	return b
}

func parseSnapshot[C EntryCodec](codec C, name string, b []byte) (raft.SnapshotMeta, []byte, error) {
	if len(b) < snapHeaderSize || string(b[:len(snapMagic)]) != snapMagic {
		return raft.SnapshotMeta{}, nil, corruptError(name, 0, "found %d bytes, expected at least %d bytes that start with %q", len(b), snapHeaderSize, snapMagic)
	}
	rest := b[len(snapMagic)+4:]
	sum := binary.LittleEndian.Uint32(b[len(snapMagic):])
	if got := crc32.Checksum(rest, castagnoli); got != sum {
		return raft.SnapshotMeta{}, nil, corruptError(name, 0, "checksum %08x, expected %08x", got, sum)
	}
	n := int64(binary.LittleEndian.Uint32(rest))
	if n > int64(len(rest)-4) {
		return raft.SnapshotMeta{}, nil, corruptError(name, 0, "the description length of %d bytes exceeds the file size of %d bytes", n, len(b))
	}
	desc, err := codec.DecodeEntry(rest[4 : 4+n])
	if err != nil {
		return raft.SnapshotMeta{}, nil, corruptError(name, int64(snapHeaderSize), "%w", err)
	}
	if want := indexName(snapPrefix, desc.Index, snapExt); want != name {
		return raft.SnapshotMeta{}, nil, corruptError(name, int64(snapHeaderSize), "the file contains the snapshot of index %d", desc.Index)
	}
	return raft.SnapshotMeta{Index: desc.Index, Term: desc.Term, Members: desc.Members}, rest[4+n:], nil
}

// ReadSnapshot returns the latest snapshot, or a zero description and no data if
// there is none. The error has KindIO or KindCorrupt.
func (s *Store[C, F]) ReadSnapshot() (raft.SnapshotMeta, []byte, error) {
	if s.snapshot.Index == 0 {
		return raft.SnapshotMeta{}, nil, nil
	}
	name := indexName(snapPrefix, s.snapshot.Index, snapExt)
	b, err := s.files.ReadFile(filepath.Join(s.dir, name))
	if err != nil {
		return raft.SnapshotMeta{}, nil, ioError("read snapshot", err)
	}
	return parseSnapshot(s.codec, name, b)
}

// SaveSnapshot writes a snapshot of the member's own state and removes the
// segments that it covers completely. The entry at the snapshot's index must be
// stored. After an error the call may be repeated.
func (s *Store[C, F]) SaveSnapshot(meta raft.SnapshotMeta, data []byte) error {
	if err := s.prepareWrite("snapshot"); err != nil {
		return err
	}
	if !sameSnapshot(meta, s.snapshot) {
		if meta.Index <= s.snapshot.Index || meta.Index > s.last() {
			return outOfOrderError("snapshot", "index %d must be above the snapshot index %d and at most %d", meta.Index, s.snapshot.Index, s.last())
		}
		if err := s.writeSnapshot(meta, data); err != nil {
			return err
		}
	}
	s.dropCoveredSegments()
	return s.removeReplaced()
}

// InstallSnapshot replaces the state and the log with a snapshot received from
// another member. After an error the call may be repeated. If the error occurs
// before the snapshot is durable, nothing has changed; after a later error the log
// is empty, and its files are removed before the next write.
func (s *Store[C, F]) InstallSnapshot(meta raft.SnapshotMeta, data []byte) error {
	if err := s.prepareWrite("install"); err != nil {
		return err
	}
	if !sameSnapshot(meta, s.snapshot) {
		if low := max(s.snapshot.Index, s.hard.Commit); meta.Index <= low {
			return outOfOrderError("install", "index %d must be above the committed index %d", meta.Index, low)
		}
		if err := s.writeSnapshot(meta, data); err != nil {
			return err
		}
		s.dropSegmentsFrom(0)
		s.commit = max(s.commit, meta.Index)
	}
	return s.removeReplaced()
}

// sameSnapshot reports whether a and b describe the same snapshot. A call for the
// snapshot that is already durable repeats a call that failed afterwards.
func sameSnapshot(a, b raft.SnapshotMeta) bool { return a.Index == b.Index && a.Term == b.Term }

func (s *Store[C, F]) writeSnapshot(meta raft.SnapshotMeta, data []byte) error {
	name := indexName(snapPrefix, meta.Index, snapExt)
	if err := s.replaceFile(name, snapshotHeader(s.codec, meta, data), data); err != nil {
		return ioError("write snapshot", err)
	}
	s.snapshot = meta
	return nil
}

// removeReplaced removes the segments and snapshots that a durable snapshot has
// replaced.
func (s *Store[C, F]) removeReplaced() error {
	if err := s.removeDropped(); err != nil {
		return err
	}
	return s.removeOldSnapshots()
}

// removeOldSnapshots removes all snapshots before the latest one. After a failed
// removal it continues with the other files and then returns the error. A file that is
// left only uses space, because Open loads the latest snapshot and removes the others.
func (s *Store[C, F]) removeOldSnapshots() error {
	names, err := s.files.List(s.dir)
	if err != nil {
		return ioError("list", err)
	}
	var errs []error
	for _, name := range names {
		if index, ok := parseIndex(name, snapPrefix, snapExt); ok && index < s.snapshot.Index {
			errs = append(errs, s.files.Remove(filepath.Join(s.dir, name)))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return ioError("remove old snapshots", err)
	}
	return nil
}
