package store_test

import (
	"io/fs"
	"path/filepath"
	"sort"
	"syscall"

	"pgregory.net/rapid"

	"camphorridge/core/state/store"
)

// blockSize is the size in bytes of the blocks in which a crash of the fake disk
// keeps or loses unsynced data.
const blockSize = 16

// inode is a file. data is the content that a process reads, synced is the
// content that is certain to survive a crash, and dirty is the set of blocks that
// the next sync writes.
type inode struct {
	data, synced []byte
	dirty        map[int]bool
}

// memDisk is a file system in memory that fails on demand. In a crash, each
// unsynced block and each unsynced file name is kept or lost independently.
type memDisk struct {
	// names maps the paths that a process sees to their files. durable maps the
	// paths that are certain to survive a crash.
	names, durable map[string]*inode
	locked         bool
	// countdown is the number of write operations up to and including the one
	// that fails; 0 means that none fails. With powerCut set, every later
	// operation fails as well.
	countdown int
	powerCut  bool
	failure   error
}

func newDisk() *memDisk {
	return &memDisk{names: map[string]*inode{}, durable: map[string]*inode{}}
}

// nextFailure counts an operation that may modify the disk and returns the error that
// is injected into the operation, if any.
func (d *memDisk) nextFailure() error {
	if d.countdown == 0 {
		return nil
	}
	if d.countdown > 1 {
		d.countdown--
		return nil
	}
	if !d.powerCut {
		d.countdown = 0
	}
	return d.failure
}

func (d *memDisk) MakeDir(string) error { return nil }

func (d *memDisk) List(string) ([]string, error) {
	var names []string
	for path := range d.names {
		names = append(names, filepath.Base(path))
	}
	sort.Strings(names)
	return names, nil
}

func (d *memDisk) Open(path string) (store.File, error) {
	if err := d.nextFailure(); err != nil {
		return nil, err
	}
	if d.names[path] == nil {
		d.names[path] = &inode{dirty: map[int]bool{}}
	}
	return &memFile{disk: d, node: d.names[path]}, nil
}

func (d *memDisk) ReadFile(path string) ([]byte, error) {
	if n := d.names[path]; n != nil {
		return append([]byte(nil), n.data...), nil
	}
	return nil, fs.ErrNotExist
}

func (d *memDisk) Size(path string) (int64, error) {
	b, err := d.ReadFile(path)
	return int64(len(b)), err
}

func (d *memDisk) Rename(from, to string) error {
	if err := d.nextFailure(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

func (d *memDisk) Remove(path string) error {
	if err := d.nextFailure(); err != nil {
		return err
	}
	if d.names[path] == nil {
		return fs.ErrNotExist
	}
	delete(d.names, path)
	return nil
}

func (d *memDisk) SyncDir(string) error {
	if err := d.nextFailure(); err != nil {
		return err
	}
	d.durable = map[string]*inode{}
	for path, n := range d.names {
		d.durable[path] = n
	}
	return nil
}

func (d *memDisk) Lock(string) (func() error, error) {
	if d.locked {
		return nil, syscall.EWOULDBLOCK
	}
	d.locked = true
	return func() error { d.locked = false; return nil }, nil
}

// crash simulates a crash of the process or, if machine is set, of the machine.
// In a crash of the machine, each unsynced name and block is kept or lost at
// random.
func (d *memDisk) crash(t *rapid.T, machine bool) {
	d.locked, d.powerCut, d.countdown = false, false, 0
	if !machine {
		return
	}
	keep := func() bool { return rapid.Bool().Draw(t, "kept") }
	var paths []string
	for path := range d.names {
		paths = append(paths, path)
	}
	for path := range d.durable {
		if d.names[path] == nil {
			paths = append(paths, path)
		}
	}
	sort.Strings(paths)
	kept := map[string]*inode{}
	for _, path := range paths {
		before, now := d.durable[path], d.names[path]
		if before != now && keep() {
			before = now
		}
		if before != nil {
			kept[path] = before
		}
	}
	for _, path := range paths {
		n := kept[path]
		if n == nil {
			continue
		}
		data := append([]byte(nil), n.synced...)
		for b := 0; b*blockSize < len(n.data); b++ {
			if n.dirty[b] && keep() {
				end := min((b+1)*blockSize, len(n.data))
				data = append(data, make([]byte, max(0, end-len(data)))...)
				copy(data[b*blockSize:end], n.data[b*blockSize:end])
			}
		}
		n.data, n.synced, n.dirty = data, append([]byte(nil), data...), map[int]bool{}
	}
	d.names, d.durable = kept, map[string]*inode{}
	for path, n := range kept {
		d.durable[path] = n
	}
}

type memFile struct {
	disk *memDisk
	node *inode
}

// WriteAt writes half of the bytes when it fails, as may happen on a full disk.
func (f *memFile) WriteAt(p []byte, off int64) (int, error) {
	err := f.disk.nextFailure()
	if err != nil {
		p = p[:len(p)/2]
	}
	n := f.node
	n.data = append(n.data, make([]byte, max(0, int(off)+len(p)-len(n.data)))...)
	copy(n.data[off:], p)
	for b := int(off) / blockSize; b*blockSize < int(off)+len(p); b++ {
		n.dirty[b] = true
	}
	return len(p), err
}

func (f *memFile) Truncate(size int64) error {
	if err := f.disk.nextFailure(); err != nil {
		return err
	}
	f.node.data = f.node.data[:min(size, int64(len(f.node.data)))]
	f.node.dirty[int(size)/blockSize] = true
	return nil
}

// Sync writes the dirty blocks. When it fails, they are marked clean although
// they are not written, as on Linux.
func (f *memFile) Sync() error {
	n := f.node
	if err := f.disk.nextFailure(); err != nil {
		if !f.disk.powerCut {
			n.dirty = map[int]bool{}
		}
		return err
	}
	synced := append([]byte(nil), n.synced[:min(len(n.synced), len(n.data))]...)
	synced = append(synced, make([]byte, len(n.data)-len(synced))...)
	for b := range n.dirty {
		if lo := b * blockSize; lo < len(n.data) {
			copy(synced[lo:], n.data[lo:min(lo+blockSize, len(n.data))])
		}
	}
	n.synced, n.dirty = synced, map[int]bool{}
	return nil
}

func (f *memFile) Close() error { return nil }
