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
	// metaMagic names the format and its version.
	metaMagic = "crmeta01"
	metaSize  = len(metaMagic) + 4*8 + 4
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
		return metaState{}, corrupt(metaName, 0, "%d bytes that are not a meta file of this version", len(b))
	}
	sum := binary.LittleEndian.Uint32(b[metaSize-4:])
	if got := crc32.Checksum(b[:metaSize-4], castagnoli); got != sum {
		return metaState{}, corrupt(metaName, 0, "checksum %08x, expected %08x", got, sum)
	}
	field := func(i int) uint64 { return binary.LittleEndian.Uint64(b[len(metaMagic)+8*i:]) }
	m := metaState{
		id:   raft.MemberID(field(0)),
		hard: raft.HardState{Term: field(1), Vote: raft.MemberID(field(2)), Commit: field(3)},
	}
	if m.id == 0 {
		return metaState{}, corrupt(metaName, int64(len(metaMagic)), "the identity is 0")
	}
	return m, nil
}

// newIdentity returns a random identity other than 0.
func newIdentity() (raft.MemberID, error) {
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

// replaceFile writes a file under a temporary name and puts it in the place
// of the old one once it is durable, so that a crash leaves either of them.
func (s *Store[C, F]) replaceFile(name string, parts ...[]byte) error {
	path := filepath.Join(s.dir, name)
	if err := s.writeTemp(path+tempExt, parts); err != nil {
		// The space matters on a full disk; Open removes what is left.
		_ = s.files.Remove(path + tempExt)
		return err
	}
	if err := s.files.Rename(path+tempExt, path); err != nil {
		return fmt.Errorf("rename to %s: %w", name, err)
	}
	return s.files.SyncDir(s.dir)
}

func (s *Store[C, F]) writeTemp(path string, parts [][]byte) error {
	f, err := s.files.Open(path)
	if err != nil {
		return err
	}
	// A temporary file of an earlier attempt may be longer.
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

// writeMeta stores a term and a vote, with the commit index as far as the log
// is durable. A recorded commit index beyond the end of the log is therefore a
// sign of lost entries.
func (s *Store[C, F]) writeMeta(hard raft.HardState, durable uint64) error {
	stored := hard
	stored.Commit = min(hard.Commit, durable)
	if err := s.replaceFile(metaName, encodeMeta(metaState{id: s.id, hard: stored})); err != nil {
		return ioError("write meta", err)
	}
	s.hard, s.commit = stored, hard.Commit
	return nil
}
