package peers

import (
	"context"
	"fmt"
	"sync"

	"camphorridge/core/coord/follow"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/codec"
	"camphorridge/io/proto/wirepb"
)

// Timing of calls to the leader.
const (
	// attemptTimeout bounds one try, so that a frozen member does not use up
	// the time of the whole call.
	attemptTimeout = 1500 * clock.Millis(1)
	// roundWait separates two rounds over all members, as an election takes
	// about a second.
	roundWait clock.Millis = 100
	// silentWait is how long a member that gave no answer is asked last.
	silentWait = 2 * clock.Second
)

// LeaderClient finds the leader of the control group and calls it.
type LeaderClient struct {
	client *Client
	clock  clock.Clock
	mu     sync.Mutex
	// members are asked in turn; at least one.
	members []model.Member
	// last is the address that answered as the leader; empty when unknown.
	last string
	// turn counts the members asked in rotation; it only grows.
	turn int
	// silent holds the time before which an address that gave no answer is
	// asked after all others only.
	silent map[string]clock.Millis
}

// NewLeaderClient returns a caller of the leader among the members.
func NewLeaderClient(c *Client, members []model.Member, clk clock.Clock) *LeaderClient {
	return &LeaderClient{members: members, client: c, clock: clk, silent: map[string]clock.Millis{}}
}

// Propose hands in a change and waits for its result. The change is handed in
// again after a lost answer, so it must carry a request identity or be
// idempotent by itself. An error of KindUnknown or KindUnreachable means that
// the change may have been accepted.
func (l *LeaderClient) Propose(ctx context.Context, c model.Change) (model.Result, error) {
	var r model.Result
	err := l.call(ctx, "propose", func(ctx context.Context, to remote) error {
		resp, err := to.control.Propose(ctx, &wirepb.ProposeRequest{Change: codec.ChangeToWire(c), Stamp: l.client.stamp()})
		if err != nil {
			return err
		}
		l.client.observe(resp.GetStamp())
		r, err = codec.ResultFromWire(resp.GetResult())
		return err
	})
	return r, err
}

// Report sends a report and returns the leader's term.
func (l *LeaderClient) Report(ctx context.Context, r follow.Report) (uint64, error) {
	var term uint64
	err := l.call(ctx, "report", func(ctx context.Context, to remote) error {
		req := reportToWire(r)
		req.Stamp = l.client.stamp()
		resp, err := to.control.Report(ctx, req)
		if err != nil {
			return err
		}
		l.client.observe(resp.GetStamp())
		term = resp.GetTerm()
		return nil
	})
	return term, err
}

// call tries the last known leader, then all members, until one takes the
// call or ctx ends. It follows the address that a member names as the leader.
// A followed address takes no member's turn: the address may be wrong, and the
// member whose turn it is may be the leader.
func (l *LeaderClient) call(ctx context.Context, op string, f func(context.Context, remote) error) error {
	return l.search(ctx, op, attemptTimeout, f)
}

// search is call with a bound of its own on each try.
func (l *LeaderClient) search(ctx context.Context, op string, bound clock.Millis, f func(context.Context, remote) error) error {
	next := l.known()
	var last error
	for n := 1; ; n++ {
		if next == "" {
			next = l.rotate()
		}
		mapped, leader := l.attempt(ctx, op, next, bound, f)
		if mapped == nil {
			l.remember(next)
			return nil
		}
		last = mapped
		if mapped.Kind == KindInvalid {
			return mapped
		}
		asked := next
		next = l.follow(leader, asked)
		if next == "" && l.known() == asked {
			l.remember("")
		}
		// Waiting also bounds the rate at which two members that name each other
		// as the leader are asked.
		if n%len(l.list()) == 0 {
			l.wait(ctx)
		}
		if ctx.Err() != nil {
			return &Error{Op: op, Kind: KindUnknown, Err: fmt.Errorf("%w; last: %w", ctx.Err(), last)}
		}
	}
}

func (l *LeaderClient) attempt(ctx context.Context, op, address string, bound clock.Millis, f func(context.Context, remote) error) (*Error, model.Member) {
	ctx, cancel := context.WithTimeout(ctx, bound.Duration())
	defer cancel()
	err := f(ctx, l.client.remote(address))
	if err == nil {
		return nil, model.Member{}
	}
	mapped, leader := fromTwirp(op, err)
	if mapped.Kind == KindUnreachable || mapped.Kind == KindUnknown {
		l.client.http.CloseIdleConnections()
		l.avoid(address)
	}
	return mapped, leader
}

// rotate returns the address of the member whose turn it is. Members that
// lately gave no answer are passed over while there are others, so that a
// frozen member does not use up the time of call after call.
func (l *LeaderClient) rotate() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for range l.members {
		m := l.members[l.turn%len(l.members)]
		l.turn++
		if l.silent[m.Address] <= now {
			return m.Address
		}
	}
	m := l.members[l.turn%len(l.members)]
	l.turn++
	return m.Address
}

// SetMembers replaces the members that are asked.
func (l *LeaderClient) SetMembers(all []model.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = all
}

func (l *LeaderClient) list() []model.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members
}

// avoid notes that an address gave no answer.
func (l *LeaderClient) avoid(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[address] = l.clock.Now() + silentWait
	if l.last == address {
		l.last = ""
	}
}

// follow returns the address of the leader that a member named, or "" when it
// named none or the one that was just asked.
func (l *LeaderClient) follow(leader model.Member, asked string) string {
	address := leader.Address
	for _, m := range l.list() {
		if m.Name != "" && m.Name == leader.Name {
			address = m.Address
		}
	}
	if address == asked {
		return ""
	}
	return address
}

func (l *LeaderClient) wait(ctx context.Context) {
	select {
	case <-l.clock.After(roundWait):
	case <-ctx.Done():
	}
}

func (l *LeaderClient) known() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

func (l *LeaderClient) remember(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = address
}
