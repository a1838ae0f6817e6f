package peers

import (
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"

	"camphorridge/core/state/model"
)

// Kind classifies the errors of the package.
type Kind int

// The kinds of error.
const (
	// KindUnavailable: the called process responded that it is unavailable, or its
	// response could not be decoded. The request may have been executed;
	// CallRunner, however, uses this kind only for calls that were not.
	KindUnavailable Kind = iota
	// KindNotLeader: the called member is not the leader; nothing was done.
	KindNotLeader
	// KindInvalid: the called process rejected the request as malformed.
	KindInvalid
	// KindOutcomeUnknown: any other failure, such as a timeout or a connection error.
	// The request may or may not have been executed.
	KindOutcomeUnknown
)

// Error is the error type of the package. Op is the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("peers: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// The keys of the Twirp error metadata that name the leader. A caller that has a
// member of that name in its settings uses the address there, because the
// address that reaches the leader may differ between callers.
const (
	leaderNameMeta    = "leader-name"
	leaderAddressMeta = "leader-address"
)

func notLeader(name, address string) error {
	return twirp.NewError(twirp.FailedPrecondition, "this member is not the leader").
		WithMeta(leaderNameMeta, name).WithMeta(leaderAddressMeta, address)
}

// fromTwirp maps the error of a Twirp call. For KindNotLeader, leader is the
// leader that the called member named; it is empty if that member knows none.
func fromTwirp(op string, err error) (mapped *Error, leader model.Member) {
	var te twirp.Error
	if !errors.As(err, &te) {
		return &Error{Op: op, Kind: KindUnavailable, Err: err}, leader
	}
	switch te.Code() {
	case twirp.FailedPrecondition:
		leader.Name, leader.Address = model.Process(te.Meta(leaderNameMeta)), te.Meta(leaderAddressMeta)
		return &Error{Op: op, Kind: KindNotLeader, Err: err}, leader
	case twirp.InvalidArgument, twirp.Malformed, twirp.BadRoute:
		return &Error{Op: op, Kind: KindInvalid, Err: err}, leader
	case twirp.Unavailable:
		return &Error{Op: op, Kind: KindUnavailable, Err: err}, leader
	default:
		return &Error{Op: op, Kind: KindOutcomeUnknown, Err: err}, leader
	}
}

// notLeaderError is implemented by the errors of Group that mean that this member
// is not the leader.
type notLeaderError interface {
	error
	// KnownLeader returns the leader's name and address; empty if unknown.
	KnownLeader() (name, address string)
}
