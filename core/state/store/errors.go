package store

import (
	"errors"
	"fmt"
	"syscall"
)

// Kind classifies an Error.
type Kind int

// The kinds of error.
const (
	// KindIO means that a file system operation failed.
	KindIO Kind = iota
	// KindDiskFull means that no disk space or quota is left; the call may be
	// retried later.
	KindDiskFull
	// KindLocked means that another process uses the folder.
	KindLocked
	// KindCorrupt means that the content of a file contradicts its checksum, its
	// name or the other files.
	KindCorrupt
	// KindGap means that log entries are missing.
	KindGap
	// KindNoMeta means that the folder contains data but no meta file.
	KindNoMeta
	// KindOutOfOrder means that the arguments of the call contradict the stored
	// state, such as entries that would leave a gap.
	KindOutOfOrder
	// KindClosed means that the store is closed.
	KindClosed
)

var kindNames = [...]string{"file system", "disk full", "locked", "corrupt", "gap", "no meta file", "out of order", "closed"}

// String returns the name of the kind as used in error messages.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "unknown"
	}
	return kindNames[k]
}

// Error is the type of all errors of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("store: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ioError returns an Error for a failed file system operation. Its kind is
// KindDiskFull if no space or quota is left and KindIO otherwise.
func ioError(op string, err error) error {
	kind := KindIO
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		kind = KindDiskFull
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// corruptError returns an Error with KindCorrupt for damaged content at an offset
// of a file.
func corruptError(name string, offset int64, format string, args ...any) error {
	return &Error{Op: "open", Kind: KindCorrupt, Err: fmt.Errorf("%s, offset %d: %w", name, offset, fmt.Errorf(format, args...))}
}
