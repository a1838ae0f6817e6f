package store_test

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/raft"
	"camphorridge/core/state/store"
)

// fill saves the entries with the indexes from to to, each with its own call.
func fill[S interface {
	Save(*raft.HardState, []raft.Entry) error
}](t *testing.T, s S, from, to uint64) {
	for i := from; i <= to; i++ {
		assert.NilError(t, s.Save(&raft.HardState{Term: 1, Vote: 2}, []raft.Entry{{Index: i, Term: 1, Data: []byte("0123456789")}}))
	}
}

const (
	firstSegment  = "log-00000000000000000001.seg"
	secondSegment = "log-00000000000000000005.seg"
	thirdSegment  = "log-00000000000000000009.seg"
	snapshotFile  = "snap-00000000000000000002.bin"
)

// TestOpenDamaged guards against a folder that opens although data is missing or
// modified, and against a folder that fails to open although a crash can have
// left it in that state. Each record has 28 bytes. The first two segments have
// four records and the third has three.
func TestOpenDamaged(t *testing.T) {
	flip := func(name string, at int) func(*testing.T, string) {
		return func(t *testing.T, dir string) {
			path := filepath.Join(dir, name)
			b, err := os.ReadFile(path)
			assert.NilError(t, err)
			b[at] ^= 1
			assert.NilError(t, os.WriteFile(path, b, 0o600))
		}
	}
	cut := func(name string, size int64) func(*testing.T, string) {
		return func(t *testing.T, dir string) { assert.NilError(t, os.Truncate(filepath.Join(dir, name), size)) }
	}
	add := func(name, content string) func(*testing.T, string) {
		return func(t *testing.T, dir string) {
			f, err := os.OpenFile(filepath.Join(dir, name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
			assert.NilError(t, err)
			_, err = f.WriteString(content)
			assert.NilError(t, err)
			assert.NilError(t, f.Close())
		}
	}
	remove := func(name string) func(*testing.T, string) {
		return func(t *testing.T, dir string) { assert.NilError(t, os.Remove(filepath.Join(dir, name))) }
	}
	// loseCommitted removes entry 9 after it was stored as committed.
	loseCommitted := func(t *testing.T, dir string) {
		s, err := open(dir, store.OSFileSystem{}, 100)
		assert.NilError(t, err)
		assert.NilError(t, s.Save(&raft.HardState{Term: 1, Vote: 2, Commit: 9}, nil))
		assert.NilError(t, s.Close())
		remove(thirdSegment)(t, dir)
	}
	cases := []struct {
		name   string
		damage func(*testing.T, string)
		// last is the index of the last recovered entry; 0 means that Open fails
		// with kind and a message that contains text.
		last uint64
		kind store.Kind
		text string
	}{
		{"no damage", func(*testing.T, string) {}, 11, 0, ""},
		{"last record cut in its header", cut(thirdSegment, 2*28+3), 10, 0, ""},
		{"last record cut in its payload", cut(thirdSegment, 3*28-1), 10, 0, ""},
		{"payload of the last record damaged", flip(thirdSegment, 2*28+20), 10, 0, ""},
		{"length of the last record damaged", flip(thirdSegment, 2*28+1), 10, 0, ""},
		{"zeros after the last record", add(thirdSegment, string(make([]byte, 4096))), 11, 0, ""},
		{"first record of the last segment cut", cut(thirdSegment, 9), 8, 0, ""},
		{"last segment empty", cut(thirdSegment, 0), 8, 0, ""},
		{"new segment empty", add("log-00000000000000000012.seg", ""), 11, 0, ""},
		{"temporary file left", add("meta.tmp", "part"), 11, 0, ""},
		{"payload of an earlier record damaged", flip(thirdSegment, 28+20), 0, store.KindCorrupt, thirdSegment + ", offset 28"},
		{"length of an earlier record damaged", flip(thirdSegment, 28), 0, store.KindCorrupt, thirdSegment + ", offset 28"},
		{"record of an earlier segment damaged", flip(firstSegment, 3*28+20), 0, store.KindCorrupt, firstSegment + ", offset 84"},
		{"last record of an earlier segment cut", cut(secondSegment, 3*28+5), 0, store.KindCorrupt, secondSegment + ", offset 84"},
		{"last record of an earlier segment missing", cut(secondSegment, 3*28), 0, store.KindGap, thirdSegment},
		{"middle segment missing", remove(secondSegment), 0, store.KindGap, thirdSegment},
		{"middle segment empty", cut(secondSegment, 0), 0, store.KindGap, thirdSegment},
		{"first segment missing", remove(firstSegment), 0, store.KindGap, secondSegment},
		{"committed entries missing", loseCommitted, 0, store.KindGap, "ends at entry 8, but 9"},
		{"meta file missing", remove("meta"), 0, store.KindNoMeta, "no meta file"},
		{"meta file damaged", flip("meta", 20), 0, store.KindCorrupt, "meta, offset 0"},
		{"meta file cut", cut("meta", 20), 0, store.KindCorrupt, "meta, offset 0"},
		{"snapshot damaged", flip(snapshotFile, 40), 0, store.KindCorrupt, snapshotFile},
		{"snapshot cut", cut(snapshotFile, 3), 0, store.KindCorrupt, snapshotFile},
	}
	origin := filepath.Join(t.TempDir(), "data")
	s, err := open(origin, store.OSFileSystem{}, 100)
	assert.NilError(t, err)
	id, hard := s.Stored().Self.ID, raft.HardState{Term: 1, Vote: 2, Commit: 8}
	fill(t, s, 1, 11)
	assert.NilError(t, s.SaveSnapshot(raft.SnapshotMeta{Index: 2, Term: 1, Members: members}, []byte("state")))
	assert.NilError(t, s.Save(&hard, nil))
	assert.NilError(t, s.Close())
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "copy")
			assert.NilError(t, os.CopyFS(dir, os.DirFS(origin)))
			c.damage(t, dir)
			s, err := open(dir, store.OSFileSystem{}, 100)
			if c.last == 0 {
				assertKind(t, err, c.kind)
				assert.ErrorContains(t, err, c.text)
				return
			}
			assert.NilError(t, err)
			got := s.Stored()
			assert.Equal(t, got.Self.ID, id)
			assert.Equal(t, got.Hard, hard)
			assert.Equal(t, got.Entries[0].Index, uint64(3))
			assert.Equal(t, got.Entries[len(got.Entries)-1].Index, c.last)
			fill(t, s, c.last+1, c.last+1)
			assert.NilError(t, s.Close())
		})
	}
}

// TestLock guards against two processes that use one folder.
func TestLock(t *testing.T) {
	dir := t.TempDir()
	s, err := open(dir, store.OSFileSystem{}, 0)
	assert.NilError(t, err)
	_, err = open(dir, store.OSFileSystem{}, 0)
	assertKind(t, err, store.KindLocked)
	assert.NilError(t, s.Close())
	assertKind(t, s.Save(nil, nil), store.KindClosed)
	s, err = open(dir, store.OSFileSystem{}, 0)
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
}

// TestFailedSync guards against further writes, after a failed sync, to a file
// whose earlier records are damaged, and against remains of the failed record
// after the next record.
func TestFailedSync(t *testing.T) {
	disk := newDisk()
	s, err := open("d", disk, 0)
	assert.NilError(t, err)
	fill(t, s, 1, 2)
	long := []raft.Entry{{Index: 3, Term: 1, Data: make([]byte, 500)}}
	disk.countdown, disk.failure = 2, syscall.ENOSPC
	assertKind(t, s.Save(nil, long), store.KindDiskFull)
	fill(t, s, 3, 3)
	file := disk.names[filepath.Join("d", firstSegment)]
	assert.Equal(t, len(file.data), 3*28)

	disk.countdown, disk.failure = 2, syscall.EIO
	assertKind(t, s.Save(nil, []raft.Entry{{Index: 4, Term: 1}}), store.KindIO)
	file.data[40] ^= 1
	err = s.Save(nil, []raft.Entry{{Index: 4, Term: 1}})
	assertKind(t, err, store.KindCorrupt)
	assert.ErrorContains(t, err, firstSegment+", offset 28")
}

// TestOrder guards against calls that would leave a gap in the log, lower the
// term, or replace committed entries.
func TestOrder(t *testing.T) {
	s, err := open("d", newDisk(), 0)
	assert.NilError(t, err)
	fill(t, s, 1, 4)
	assert.NilError(t, s.Save(&raft.HardState{Term: 2, Commit: 3}, nil))
	for _, batch := range [][]raft.Entry{{{Index: 6}}, {{Index: 3}}, {{Index: 4}, {Index: 6}}} {
		assertKind(t, s.Save(nil, batch), store.KindOutOfOrder)
	}
	assertKind(t, s.Save(&raft.HardState{Term: 1}, nil), store.KindOutOfOrder)
	assertKind(t, s.SaveSnapshot(raft.SnapshotMeta{Index: 5, Term: 2}, nil), store.KindOutOfOrder)
	assertKind(t, s.InstallSnapshot(raft.SnapshotMeta{Index: 3, Term: 2}, nil), store.KindOutOfOrder)
	assert.NilError(t, s.InstallSnapshot(raft.SnapshotMeta{Index: 9, Term: 2}, []byte("state")))
	assert.NilError(t, s.InstallSnapshot(raft.SnapshotMeta{Index: 9, Term: 2}, []byte("state")), "a repeated call")
	assert.NilError(t, s.Save(nil, []raft.Entry{{Index: 10, Term: 2}}))
	meta, data, err := s.ReadSnapshot()
	assert.NilError(t, err)
	assert.Equal(t, meta.Index, uint64(9))
	assert.Equal(t, string(data), "state")
}

// FuzzSegment guards against a panic, or an error of another type than Error,
// when a segment or snapshot has arbitrary content.
func FuzzSegment(f *testing.F) {
	disk := newDisk()
	s, err := open("d", disk, 0)
	assert.NilError(f, err)
	assert.NilError(f, s.Save(nil, []raft.Entry{{Index: 1, Term: 1, Data: []byte("a")}, {Index: 2, Term: 1}}))
	assert.NilError(f, s.SaveSnapshot(raft.SnapshotMeta{Index: 1, Term: 1, Members: members}, []byte("state")))
	seed := disk.names[filepath.Join("d", firstSegment)].data
	snapshot := "snap-00000000000000000001.bin"
	f.Add(seed, disk.names[filepath.Join("d", snapshot)].data)
	f.Add(seed[:len(seed)-1], []byte("crsnap01"))
	meta := disk.names[filepath.Join("d", "meta")]
	f.Fuzz(func(t *testing.T, segment, snap []byte) {
		disk := newDisk()
		disk.names = map[string]*inode{
			filepath.Join("d", "meta"):       meta,
			filepath.Join("d", firstSegment): {data: segment, dirty: map[int]bool{}},
			filepath.Join("d", snapshot):     {data: snap, dirty: map[int]bool{}},
		}
		s, err := open("d", disk, 0)
		if err != nil {
			var e *store.Error
			assert.Assert(t, errors.As(err, &e), "%T", err)
			return
		}
		assert.NilError(t, s.Close())
	})
}
