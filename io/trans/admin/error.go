package admin

// Kind tells the errors of the package apart.
type Kind int

// The kinds of error.
const (
	// KindListen: the address cannot be listened on, or listening failed.
	KindListen Kind = iota
	// KindStop: requests were still running at the end of the bound on a stop.
	KindStop
	// KindRegister: a metric of that name exists.
	KindRegister
	// KindFetch: another process did not answer with its events.
	KindFetch
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
