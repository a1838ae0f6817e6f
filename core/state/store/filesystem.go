package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// File is a file that is open for writing.
type File interface {
	WriteAt(p []byte, off int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// FileSystem is the set of file system operations that the store uses. Tests pass
// an implementation that fails on demand.
type FileSystem interface {
	// MakeDir creates a folder, if it is missing, and makes its name durable.
	MakeDir(dir string) error
	// List returns the names of the files in a folder in any order.
	List(dir string) ([]string, error)
	// Open opens a file for writing and creates it if it is missing.
	Open(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	Size(path string) (int64, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the creation, renaming and removal of files in a folder
	// durable.
	SyncDir(dir string) error
	// Lock acquires a lock that is released when the process ends. It fails with
	// syscall.EWOULDBLOCK if another holder has the lock.
	Lock(path string) (release func() error, err error)
}

// OSFileSystem is the FileSystem of the operating system.
type OSFileSystem struct{}

// MakeDir creates a folder, if it is missing, and makes its name durable. Missing
// parents are created too, but their names are not made durable.
func (OSFileSystem) MakeDir(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	return OSFileSystem{}.SyncDir(filepath.Dir(dir))
}

// List returns the names of the files in a folder.
func (OSFileSystem) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Open opens a file for writing and creates it if it is missing.
func (OSFileSystem) Open(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE, 0o640)
}

// ReadFile returns the content of a file.
func (OSFileSystem) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Size returns the size of a file in bytes.
func (OSFileSystem) Size(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Rename renames a file and replaces an existing file of the new name.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the creation, renaming and removal of files in a folder durable.
func (OSFileSystem) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock acquires an exclusive advisory lock on a file, which it creates if it is
// missing. The kernel releases the lock when the process ends, so that no stale
// lock survives a crash.
func (OSFileSystem) Lock(path string) (release func() error, err error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("lock %s: %w", path, err), f.Close())
	}
	return f.Close, nil
}
