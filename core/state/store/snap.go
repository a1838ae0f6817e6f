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
	// snapMagic names the format and its version.
	snapMagic = "crsnap01"
	// snapHeader is the magic, the checksum of all that follows, and the
	// length of the description.
	snapHeader = len(snapMagic) + 4 + 4
)

// indexName gives the name of a file that starts with an index; the digits
// are padded so that names sort like the indexes.
func indexName(prefix string, index uint64, ext string) string {
	return fmt.Sprintf("%s%020d%s", prefix, index, ext)
}

// parseIndex returns the index in a name; ok is false for other names.
func parseIndex(name, prefix, ext string) (index uint64, ok bool) {
	digits, found := strings.CutPrefix(name, prefix)
	digits, cut := strings.CutSuffix(digits, ext)
	if !found || !cut || len(digits) != 20 {
		return 0, false
	}
	index, err := strconv.ParseUint(digits, 10, 64)
	return index, err == nil && index > 0
}

// snapFrame returns what precedes the data in a snapshot file. The
// description is stored in the form of a log entry that sets the members,
// because it has the same fields.
func snapFrame[C EntryCodec](codec C, meta raft.SnapshotMeta, data []byte) []byte {
	desc := codec.EncodeEntry(raft.Entry{Index: meta.Index, Term: meta.Term, Kind: raft.EntryMembers, Members: meta.Members})
	b := append([]byte(snapMagic), 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(desc)))
	b = append(b, desc...)
	sum := crc32.Update(crc32.Checksum(b[len(snapMagic)+4:], castagnoli), castagnoli, data)
	binary.LittleEndian.PutUint32(b[len(snapMagic):], sum)
	return b
}

func parseSnap[C EntryCodec](codec C, name string, b []byte) (raft.SnapshotMeta, []byte, error) {
	if len(b) < snapHeader || string(b[:len(snapMagic)]) != snapMagic {
		return raft.SnapshotMeta{}, nil, corrupt(name, 0, "%d bytes that are not a snapshot of this version", len(b))
	}
	rest := b[len(snapMagic)+4:]
	sum := binary.LittleEndian.Uint32(b[len(snapMagic):])
	if got := crc32.Checksum(rest, castagnoli); got != sum {
		return raft.SnapshotMeta{}, nil, corrupt(name, 0, "checksum %08x, expected %08x", got, sum)
	}
	n := int64(binary.LittleEndian.Uint32(rest))
	if n > int64(len(rest)-4) {
		return raft.SnapshotMeta{}, nil, corrupt(name, 0, "a description of %d bytes in a file of %d", n, len(b))
	}
	desc, err := codec.DecodeEntry(rest[4 : 4+n])
	if err != nil {
		return raft.SnapshotMeta{}, nil, corrupt(name, int64(snapHeader), "%w", err)
	}
	if want := indexName(snapPrefix, desc.Index, snapExt); want != name {
		return raft.SnapshotMeta{}, nil, corrupt(name, int64(snapHeader), "it is the snapshot of index %d", desc.Index)
	}
	return raft.SnapshotMeta{Index: desc.Index, Term: desc.Term, Members: desc.Members}, rest[4+n:], nil
}

// ReadSnapshot returns the latest snapshot, or a zero description and no data
// when there is none. Its errors have KindIO or KindCorrupt.
func (s *Store[C, F]) ReadSnapshot() (raft.SnapshotMeta, []byte, error) {
	if s.snap.Index == 0 {
		return raft.SnapshotMeta{}, nil, nil
	}
	name := indexName(snapPrefix, s.snap.Index, snapExt)
	b, err := s.files.ReadFile(filepath.Join(s.dir, name))
	if err != nil {
		return raft.SnapshotMeta{}, nil, ioError("read snapshot", err)
	}
	return parseSnap(s.codec, name, b)
}

// Snapshot stores a snapshot of the member's own state and removes the
// segments that it covers as a whole. The index must be stored. After an
// error the call may be repeated.
func (s *Store[C, F]) Snapshot(meta raft.SnapshotMeta, data []byte) error {
	if err := s.ready("snapshot"); err != nil {
		return err
	}
	if !sameSnap(meta, s.snap) {
		if meta.Index <= s.snap.Index || meta.Index > s.last() {
			return orderError("snapshot", "index %d is not above the snapshot %d and at most %d", meta.Index, s.snap.Index, s.last())
		}
		if err := s.writeSnap(meta, data); err != nil {
			return err
		}
	}
	s.trim()
	return s.tidy()
}

// Install stores a snapshot that another member sent in place of the state
// and the log. After an error the call may be repeated. An error before the
// snapshot is durable changes nothing; after a later one the log is empty and
// its files are removed before anything else is written.
func (s *Store[C, F]) Install(meta raft.SnapshotMeta, data []byte) error {
	if err := s.ready("install"); err != nil {
		return err
	}
	if !sameSnap(meta, s.snap) {
		if low := max(s.snap.Index, s.hard.Commit); meta.Index <= low {
			return orderError("install", "index %d is not above %d, which is committed", meta.Index, low)
		}
		if err := s.writeSnap(meta, data); err != nil {
			return err
		}
		s.doomFrom(0)
		s.commit = max(s.commit, meta.Index)
	}
	return s.tidy()
}

// sameSnap reports whether a call repeats one whose snapshot became durable.
func sameSnap(a, b raft.SnapshotMeta) bool { return a.Index == b.Index && a.Term == b.Term }

func (s *Store[C, F]) writeSnap(meta raft.SnapshotMeta, data []byte) error {
	name := indexName(snapPrefix, meta.Index, snapExt)
	if err := s.replaceFile(name, snapFrame(s.codec, meta, data), data); err != nil {
		return ioError("write snapshot", err)
	}
	s.snap = meta
	return nil
}

// tidy removes what a durable snapshot replaced.
func (s *Store[C, F]) tidy() error {
	if err := s.removeDoomed(); err != nil {
		return err
	}
	return s.removeOldSnaps()
}

// removeOldSnaps removes the snapshots below the one in force. A file that
// stays behind only takes space: Open uses the latest one and removes the
// others.
func (s *Store[C, F]) removeOldSnaps() error {
	names, err := s.files.List(s.dir)
	if err != nil {
		return ioError("list", err)
	}
	var errs []error
	for _, name := range names {
		if index, ok := parseIndex(name, snapPrefix, snapExt); ok && index < s.snap.Index {
			errs = append(errs, s.files.Remove(filepath.Join(s.dir, name)))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return ioError("remove old snapshots", err)
	}
	return nil
}
