package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file that is written at given offsets.
type File interface {
	WriteAt(p []byte, off int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// FileSystem is the part of a file system that the store uses. Tests give one that
// fails on demand.
type FileSystem interface {
	MakeDir(dir string) error
	// List returns the names in a folder, in any order.
	List(dir string) ([]string, error)
	// Open opens a file for writing and creates it when it is missing.
	Open(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	Size(path string) (int64, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(dir string) error
	// Lock takes a lock that ends with the process; it fails with
	// syscall.EWOULDBLOCK when another holder has it.
	Lock(path string) (release func() error, err error)
}

// OSFileSystem is the machine's file system.
type OSFileSystem struct{}

// MakeDir creates a folder and makes its name durable.
func (OSFileSystem) MakeDir(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	return OSFileSystem{}.SyncDir(filepath.Dir(dir))
}

// List returns the names in a folder.
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

// Open opens or creates a file for writing.
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

// Rename replaces to by from.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the names in a folder durable.
func (OSFileSystem) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock takes an exclusive advisory lock on a file. The kernel releases it
// when the process ends, so that no stale lock survives a crash.
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
