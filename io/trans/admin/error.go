package admin

// Kind classifies the errors of the package.
type Kind int

// The kinds of error.
const (
	// KindListen: the server could not listen on the address, or failed while it was
	// serving.
	KindListen Kind = iota
	// KindStop: requests were still in progress when the time for a graceful stop was
	// over.
	KindStop
	// KindRegister: a metric of the same name is registered already.
	KindRegister
	// KindFetch: the events of another process could not be fetched.
	KindFetch
)

// Error is the error type of the package. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
