package peers

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/io/proto/wirepb"
)

// fakeMember is a control process that answers Status calls. If leads is false,
// it names a leader at leaderAddress.
type fakeMember struct {
	wirepb.Control
	leads         bool
	leaderAddress string
}

func (m fakeMember) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	if !m.leads {
		return nil, notLeader("c3", m.leaderAddress)
	}
	return &wirepb.StatusResponse{Member: "c3", Leader: "c3", Role: "leader"}, nil
}

func serveMember(t *testing.T, m fakeMember) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wirepb.ControlPathPrefix, wirepb.NewControlServer(m))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// closedAddress returns an address at which no process listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

type zeroStamps struct{}

func (zeroStamps) Next() model.Stamp   { return model.Stamp{} }
func (zeroStamps) Observe(model.Stamp) {}

// TestLeaderBehindWrongAddress guards against a client that never tries the
// leader, although the leader is one of its members. One member knows no leader,
// and another names the leader at an address that the client cannot reach; the
// attempts at that address must not use up the leader's turn in the rotation.
func TestLeaderBehindWrongAddress(t *testing.T) {
	wrong := closedAddress(t)
	members := []model.Member{
		{Address: serveMember(t, fakeMember{})},
		{Address: serveMember(t, fakeMember{leaderAddress: wrong})},
		{Address: serveMember(t, fakeMember{leads: true})},
	}
	l := NewLeaderClient(NewClient("test", zeroStamps{}), members, clock.Real())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	v, err := l.Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, v.Status.Member, model.Process("c3"))
}

// TestLeaderAfterSilentMember guards against calls that all use up their timeout
// on an unresponsive member that comes first in the rotation.
func TestLeaderAfterSilentMember(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	members := []model.Member{{Address: l.Addr().String()}, {Address: serveMember(t, fakeMember{leads: true})}}
	caller := NewLeaderClient(NewClient("test", zeroStamps{}), members, clock.Real())
	for n := range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err = caller.Status(ctx)
		cancel()
		// The first call may use up its timeout on the unresponsive member.
		if n == 1 {
			assert.NilError(t, err)
		}
	}
}

// TestLeaderNamedByConfiguredAddress guards against a member that names the
// leader at the address that the founder of the group uses, which callers in
// another availability zone may not be able to reach. The address in the member's
// own settings takes precedence.
func TestLeaderNamedByConfiguredAddress(t *testing.T) {
	s := &ControlServer[fakeGroup, Mover]{
		Controls: []model.Member{{Name: "c3", Address: "127.0.0.3:7000"}},
		Group:    fakeGroup{},
	}
	_, leader := fromTwirp("status", s.requireLeader())
	assert.Equal(t, leader.Address, "127.0.0.3:7000")
}

// fakeGroup is a group whose member list has another address for the leader than
// the settings.
type fakeGroup struct{ Group }

func (fakeGroup) Status() GroupStatus {
	st := GroupStatus{}
	st.Leader.ID, st.Leader.Name, st.Leader.Address = 3, "c3", "127.0.0.9:7000"
	return st
}

// TestFailureNamesEachMember guards against an error in which a member that refuses
// connections hides that the others have no leader.
func TestFailureNamesEachMember(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	// The call goes on until the client has read an answer of the follower, so that
	// the test does not depend on the speed of the machine.
	dead, follower := closedAddress(t), serveMember(t, fakeMember{})
	l := NewLeaderClient(NewClient("test", zeroStamps{}), []model.Member{{Address: dead}, {Address: follower}}, clock.Real())
	answers := 0
	err := l.call(ctx, "status", func(ctx context.Context, member remote) error {
		_, err := member.control.Status(ctx, &wirepb.StatusRequest{})
		if mapped, _ := fromTwirp("status", err); mapped.Kind == KindNotLeader {
			if answers++; answers > 1 {
				cancel()
			}
		}
		return err
	})
	for _, want := range []string{dead, follower, "connection refused", "not the leader"} {
		assert.ErrorContains(t, err, want)
	}
}
