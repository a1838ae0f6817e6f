package peers

import (
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"
)

// Kind tells the errors of the package apart.
type Kind int

// The kinds of error.
const (
	// KindUnreachable means that nobody answered in time; a change may have
	// been accepted.
	KindUnreachable Kind = iota
	// KindNotLeader means that the member asked does not lead; nothing was
	// done.
	KindNotLeader
	// KindInvalid means that the answer or the request is malformed.
	KindInvalid
	// KindUnknown means that the change may or may not have been accepted.
	KindUnknown
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("peers: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// leaderMeta is the twirp metadata that carries the leader's address.
const leaderMeta = "leader-address"

func notLeader(address string) error {
	return twirp.NewError(twirp.FailedPrecondition, "this member is not the leader").WithMeta(leaderMeta, address)
}

// fromTwirp maps an error of a twirp call; leader is the address that a
// member which does not lead named.
func fromTwirp(op string, err error) (mapped *Error, leader string) {
	var te twirp.Error
	if !errors.As(err, &te) {
		return &Error{Op: op, Kind: KindUnreachable, Err: err}, ""
	}
	switch te.Code() {
	case twirp.FailedPrecondition:
		return &Error{Op: op, Kind: KindNotLeader, Err: err}, te.Meta(leaderMeta)
	case twirp.InvalidArgument, twirp.Malformed, twirp.BadRoute:
		return &Error{Op: op, Kind: KindInvalid, Err: err}, ""
	case twirp.Unavailable:
		return &Error{Op: op, Kind: KindUnreachable, Err: err}, ""
	default:
		return &Error{Op: op, Kind: KindUnknown, Err: err}, ""
	}
}
