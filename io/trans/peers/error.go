package peers

import (
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"

	"camphorridge/core/state/model"
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

// The twirp metadata that name the leader. A caller that has the leader in
// its settings goes by the name, as addresses may differ from place to place.
const (
	leaderNameMeta    = "leader-name"
	leaderAddressMeta = "leader-address"
)

func notLeader(name, address string) error {
	return twirp.NewError(twirp.FailedPrecondition, "this member is not the leader").
		WithMeta(leaderNameMeta, name).WithMeta(leaderAddressMeta, address)
}

// fromTwirp maps an error of a twirp call; leader is what a member that does
// not lead said of the leader.
func fromTwirp(op string, err error) (mapped *Error, leader model.Member) {
	var te twirp.Error
	if !errors.As(err, &te) {
		return &Error{Op: op, Kind: KindUnreachable, Err: err}, leader
	}
	switch te.Code() {
	case twirp.FailedPrecondition:
		leader.Name, leader.Address = model.Process(te.Meta(leaderNameMeta)), te.Meta(leaderAddressMeta)
		return &Error{Op: op, Kind: KindNotLeader, Err: err}, leader
	case twirp.InvalidArgument, twirp.Malformed, twirp.BadRoute:
		return &Error{Op: op, Kind: KindInvalid, Err: err}, leader
	case twirp.Unavailable:
		return &Error{Op: op, Kind: KindUnreachable, Err: err}, leader
	default:
		return &Error{Op: op, Kind: KindUnknown, Err: err}, leader
	}
}

// leaderError is an error that says that this member does not lead.
type leaderError interface {
	error
	// KnownLeader names the member that leads; empty when unknown.
	KnownLeader() (name, address string)
}
