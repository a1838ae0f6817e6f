package store

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"camphorridge/core/state/raft"
)

const (
	metaName = "meta"
	lockName = "lock"
	tempExt  = ".tmp"
	// metaMagic identifies the file format and its version.
	metaMagic = "crmeta01"
	// metaSize is the size of the meta file in bytes: the magic, four fields of 8
	// bytes and a checksum of 4 bytes.
	metaSize = len(metaMagic) + 4*8 + 4
)

// metaState is the content of the meta file.
type metaState struct {
	id   raft.MemberID
	hard raft.HardState
}

func encodeMeta(m metaState) []byte {
	b := make([]byte, 0, metaSize)
	b = append(b, metaMagic...)
	for _, v := range []uint64{uint64(m.id), m.hard.Term, uint64(m.hard.Vote), m.hard.Commit} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeMeta(b []byte) (metaState, error) {
	if len(b) != metaSize || string(b[:len(metaMagic)]) != metaMagic {
		return metaState{}, corruptError(metaName, 0, "found %d bytes, expected %d bytes that start with %q", len(b), metaSize, metaMagic)
	}
	sum := binary.LittleEndian.Uint32(b[metaSize-4:])
	if got := crc32.Checksum(b[:metaSize-4], castagnoli); got != sum {
		return metaState{}, corruptError(metaName, 0, "checksum %08x, expected %08x", got, sum)
	}
	field := func(i int) uint64 { return binary.LittleEndian.Uint64(b[len(metaMagic)+8*i:]) }
	m := metaState{
		id:   raft.MemberID(field(0)),
		hard: raft.HardState{Term: field(1), Vote: raft.MemberID(field(2)), Commit: field(3)},
	}
	if m.id == 0 {
		return metaState{}, corruptError(metaName, int64(len(metaMagic)), "found member ID 0, expected any other")
	}
	return m, nil
}

// newMemberID returns a random member ID other than 0.
func newMemberID() (raft.MemberID, error) {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			return 0, ioError("identity", err)
		}
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return raft.MemberID(id), nil
		}
	}
}

// replaceFile writes a file under a temporary name and renames it to name once
// it is durable, so that a crash leaves either the old or the new file.
func (s *Store[C, F]) replaceFile(name string, parts ...[]byte) error {
	path := filepath.Join(s.dir, name)
	if err := s.writeTemp(path+tempExt, parts); err != nil {
		// Free the space in case the disk is full. If the removal fails, the
		// next Open removes the file.
		_ = s.files.Remove(path + tempExt)
		return err
	}
	if err := s.files.Rename(path+tempExt, path); err != nil {
		return fmt.Errorf("rename to %s: %w", name, err)
	}
	return s.files.SyncDir(s.dir)
}

// writeTemp writes and syncs a temporary file that consists of the given parts.
func (s *Store[C, F]) writeTemp(path string, parts [][]byte) error {
	f, err := s.files.Open(path)
	if err != nil {
		return err
	}
	// A temporary file left by an earlier attempt may be longer.
	err = f.Truncate(0)
	var off int64
	for _, p := range parts {
		if err != nil {
			break
		}
		_, err = f.WriteAt(p, off)
		off += int64(len(p))
	}
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return err
}

// writeMeta writes the term, the vote and the commit index to the meta file. The
// commit index is limited to lastDurable, the index up to which the log is durable.
// A stored commit index beyond the end of the log therefore means that entries were
// lost. The commit index in memory is not limited.
func (s *Store[C, F]) writeMeta(hard raft.HardState, lastDurable uint64) error {
	stored := hard
	stored.Commit = min(hard.Commit, lastDurable)
	if err := s.replaceFile(metaName, encodeMeta(metaState{id: s.id, hard: stored})); err != nil {
		return ioError("write meta", err)
	}
	s.hard, s.commit = stored, hard.Commit
	return nil
}
