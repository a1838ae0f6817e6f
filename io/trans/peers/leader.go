package peers

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"camphorridge/core/coord/follow"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/wirepb"
)

// The timing of calls to the leader.
const (
	// attemptTimeout bounds one attempt, so that an unresponsive member does
	// not use up the time of the whole call.
	attemptTimeout = 1500 * clock.Millis(1)
	// roundDelay is the time between two rounds of attempts. Without it, the
	// rounds would be too frequent during an election, which takes about a
	// second.
	roundDelay clock.Millis = 100
	// avoidDuration is the time for which the rotation skips a member that did
	// not respond or was unavailable, unless all members are to be skipped.
	avoidDuration = 2 * clock.Second
)

// LeaderClient finds the leader of the control group and calls it. It is safe
// for concurrent use.
type LeaderClient struct {
	client *Client
	clock  clock.Clock
	mu     sync.Mutex
	// members are tried in rotation.
	members []model.Member
	// leaderTime is the leader's time in the latest answer to a call of CallRunner; 0
	// if unknown.
	leaderTime clock.Millis
	// leaderAddress is the address that last responded as the leader; empty if
	// unknown.
	leaderAddress string
	// nextMemberIndex, modulo the number of members, is the index of the next
	// member in rotation. It never decreases.
	nextMemberIndex int
	// avoidUntil holds, for each address that did not respond or was
	// unavailable, the time until which the rotation skips it.
	avoidUntil map[string]clock.Millis
}

// NewLeaderClient returns a client that looks for the leader among members. While there
// are none, calls fail with KindNotLeader.
func NewLeaderClient(c *Client, members []model.Member, clk clock.Clock) *LeaderClient {
	return &LeaderClient{members: members, client: c, clock: clk, avoidUntil: map[string]clock.Millis{}}
}

// Propose proposes a change and waits for its result. It proposes the change
// again if the response is lost, so the change must carry a request ID or be
// idempotent. After an *Error of KindOutcomeUnknown the change may have been accepted.
func (l *LeaderClient) Propose(ctx context.Context, c model.Change) (model.Result, error) {
	var r model.Result
	err := l.call(ctx, "propose", func(ctx context.Context, member remote) error {
		resp, err := member.control.Propose(ctx, &wirepb.ProposeRequest{Change: codec.ChangeToWire(c), Stamp: l.client.stamp()})
		if err != nil {
			return err
		}
		l.client.observe(resp.GetStamp())
		if resp.GetResult() == nil {
			// The zero values of a missing result would be read as success.
			return &Error{Op: "propose", Kind: KindOutcomeUnknown, Err: errors.New("the response has no result")}
		}
		r, err = codec.ResultFromWire(resp.GetResult())
		return err
	})
	return r, err
}

// Report sends a report to the leader and returns the leader's term.
func (l *LeaderClient) Report(ctx context.Context, r follow.Report) (uint64, error) {
	var term uint64
	err := l.call(ctx, "report", func(ctx context.Context, member remote) error {
		req := reportToWire(r)
		req.Stamp = l.client.stamp()
		resp, err := member.control.Report(ctx, req)
		if err != nil {
			return err
		}
		l.client.observe(resp.GetStamp())
		term = resp.GetTerm()
		return nil
	})
	return term, err
}

// call runs f with the clients of the last known leader, then with those of the
// members in rotation, until f succeeds, an attempt is rejected as malformed, or
// ctx ends. If a member names another address as the leader's, call tries that
// address next. Doing so does not use
// up a member's turn in the rotation: the address may be wrong, and the member
// whose turn it is may be the leader.
func (l *LeaderClient) call(ctx context.Context, op string, f func(context.Context, remote) error) error {
	return l.callWithTimeout(ctx, op, attemptTimeout, f)
}

// callWithTimeout is call with the given timeout for each attempt. Its error is
// an *Error of KindInvalid if an attempt was rejected as malformed, and of
// KindOutcomeUnknown if ctx ended.
func (l *LeaderClient) callWithTimeout(ctx context.Context, op string, timeout clock.Millis, f func(context.Context, remote) error) error {
	next := l.KnownLeader()
	var failures memberFailures
	for attempts := 1; ; attempts++ {
		if next == "" {
			next = l.nextMember()
		}
		if next == "" {
			// The delay bounds the rate at which callers repeat the call.
			l.waitRound(ctx)
			return &Error{Op: op, Kind: KindNotLeader, Err: errors.New("no control process is known")}
		}
		mapped, leader := l.attempt(ctx, op, next, timeout, f)
		if mapped == nil {
			l.setKnownLeader(next)
			return nil
		}
		failures.set(next, mapped)
		if mapped.Kind == KindInvalid {
			return mapped
		}
		tried := next
		next = l.redirectAddress(leader, tried)
		if next == "" && l.KnownLeader() == tried {
			l.setKnownLeader("")
		}
		// The delay also limits the rate of attempts at two members that name
		// each other as the leader.
		if attempts%max(len(l.currentMembers()), 1) == 0 {
			l.waitRound(ctx)
		}
		if ctx.Err() != nil {
			return &Error{Op: op, Kind: KindOutcomeUnknown, Err: fmt.Errorf("%w; latest failures: %w", ctx.Err(), failures)}
		}
	}
}

// memberFailures holds the latest failure of each address that a call has tried. One
// member that refuses connections must not hide that the others have no leader.
type memberFailures []memberFailure

type memberFailure struct {
	address string
	err     error
}

// set replaces the failure of an address.
func (f *memberFailures) set(address string, err error) {
	*f = slices.DeleteFunc(*f, func(m memberFailure) bool { return m.address == address })
	*f = append(*f, memberFailure{address, err})
}

// Error lists the failures, the latest last.
func (f memberFailures) Error() string {
	texts := make([]string, len(f))
	for i, m := range f {
		texts[i] = m.address + ": " + m.err.Error()
	}
	return strings.Join(texts, "; ")
}

// attempt runs f once with the clients for an address. If the error is of
// KindNotLeader, the member returned is the leader that the called process named.
// After an error of KindUnavailable or KindOutcomeUnknown the address is avoided for
// avoidDuration.
func (l *LeaderClient) attempt(ctx context.Context, op, address string, timeout clock.Millis, f func(context.Context, remote) error) (*Error, model.Member) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	err := f(ctx, l.client.remote(address))
	if err == nil {
		return nil, model.Member{}
	}
	mapped, leader := fromTwirp(op, err)
	if mapped.Kind == KindUnavailable || mapped.Kind == KindOutcomeUnknown {
		l.client.http.CloseIdleConnections()
		l.avoid(address)
	}
	return mapped, leader
}

// nextMember returns the address of the next member in rotation, or an empty string if
// there are no members. It skips avoided members as long as there are others, so that
// an unresponsive member does not use up the time of one call after another.
func (l *LeaderClient) nextMember() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.members) == 0 {
		return ""
	}
	now := l.clock.Now()
	for range l.members {
		m := l.members[l.nextMemberIndex%len(l.members)]
		l.nextMemberIndex++
		if l.avoidUntil[m.Address] <= now {
			return m.Address
		}
	}
	m := l.members[l.nextMemberIndex%len(l.members)]
	l.nextMemberIndex++
	return m.Address
}

// SetMembers replaces the members that are tried.
func (l *LeaderClient) SetMembers(all []model.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = all
}

func (l *LeaderClient) currentMembers() []model.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members
}

// avoid makes nextMember skip an address for avoidDuration, and forgets the known
// leader if that is its address.
func (l *LeaderClient) avoid(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidUntil[address] = l.clock.Now() + avoidDuration
	if l.leaderAddress == address {
		l.leaderAddress = ""
	}
}

// redirectAddress returns the address at which to try the leader that a member
// named: the address in the list of members if the leader is in it, otherwise the
// one that the member gave. It returns "" if there is none or if it equals tried,
// the address of the attempt that just failed.
func (l *LeaderClient) redirectAddress(leader model.Member, tried string) string {
	address := leader.Address
	for _, m := range l.currentMembers() {
		if m.Name != "" && m.Name == leader.Name {
			address = m.Address
		}
	}
	if address == tried {
		return ""
	}
	return address
}

func (l *LeaderClient) waitRound(ctx context.Context) {
	select {
	case <-l.clock.After(roundDelay):
	case <-ctx.Done():
	}
}

// KnownLeader returns the address that last responded as the leader; empty if
// unknown.
func (l *LeaderClient) KnownLeader() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaderAddress
}

// LeaderTime returns the leader's time in the latest answer of CallRunner; 0 if unknown.
func (l *LeaderClient) LeaderTime() clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaderTime
}

// observeLeaderTime stores the leader's time of an answer; 0 stands for none.
func (l *LeaderClient) observeLeaderTime(t clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t != 0 {
		l.leaderTime = t
	}
}

func (l *LeaderClient) setKnownLeader(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaderAddress = address
}
