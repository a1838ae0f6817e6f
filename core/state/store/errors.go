package store

import (
	"errors"
	"fmt"
	"syscall"
)

// Kind tells the reasons of a failure apart.
type Kind int

// The kinds of error.
const (
	// KindIO: the file system failed.
	KindIO Kind = iota
	// KindDiskFull: no space is left; the call may be made again later.
	KindDiskFull
	// KindLocked: another process uses the folder.
	KindLocked
	// KindCorrupt: a file's content contradicts its checksum or its
	// neighbours.
	KindCorrupt
	// KindGap: log entries are missing.
	KindGap
	// KindNoMeta: the folder has data but no meta file.
	KindNoMeta
	// KindOutOfOrder: the call does not fit what is stored.
	KindOutOfOrder
	// KindClosed: the store was closed.
	KindClosed
)

var kindNames = [...]string{"file system", "disk full", "locked", "corrupt", "gap", "no meta file", "out of order", "closed"}

// String returns the name used in messages.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Error is returned by every operation of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("store: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ioError wraps a failure of the file system.
func ioError(op string, err error) error {
	kind := KindIO
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		kind = KindDiskFull
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// corrupt names the file and the offset of damaged content.
func corrupt(name string, offset int64, format string, args ...any) error {
	return &Error{Op: "open", Kind: KindCorrupt, Err: fmt.Errorf("%s, offset %d: %w", name, offset, fmt.Errorf(format, args...))}
}
