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

// member answers status calls: it leads, or it names the leader at an address.
type member struct {
	wirepb.Control
	leads         bool
	leaderAddress string
}

func (m member) Status(context.Context, *wirepb.StatusRequest) (*wirepb.StatusResponse, error) {
	if !m.leads {
		return nil, notLeader("c3", m.leaderAddress)
	}
	return &wirepb.StatusResponse{Member: "c3", Leader: "c3", Role: "leader"}, nil
}

func serveMember(t *testing.T, m member) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(wirepb.ControlPathPrefix, wirepb.NewControlServer(m))
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// closedAddress is an address at which nobody listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

type noStamps struct{}

func (noStamps) Next() model.Stamp   { return model.Stamp{} }
func (noStamps) Observe(model.Stamp) {}

// TestLeaderBehindWrongAddress guards against a caller that never asks the
// leader although it knows its address: one member knows no leader, the next
// one names the leader at an address that the caller cannot reach, and each
// try of that address used to take the leader's turn in the rotation.
func TestLeaderBehindWrongAddress(t *testing.T) {
	wrong := closedAddress(t)
	members := []model.Member{
		{Address: serveMember(t, member{})},
		{Address: serveMember(t, member{leaderAddress: wrong})},
		{Address: serveMember(t, member{leads: true})},
	}
	l := NewLeaderClient(NewClient("test", noStamps{}), members, clock.Real())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	o, err := l.Status(ctx)
	assert.NilError(t, err)
	assert.Equal(t, o.Status.Member, model.Process("c3"))
}

// TestLeaderAfterSilentMember guards against calls that each spend their whole
// time on a frozen member that comes first in the rotation.
func TestLeaderAfterSilentMember(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	members := []model.Member{{Address: l.Addr().String()}, {Address: serveMember(t, member{leads: true})}}
	caller := NewLeaderClient(NewClient("test", noStamps{}), members, clock.Real())
	for n := range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err = caller.Status(ctx)
		cancel()
		if n == 1 {
			assert.NilError(t, err)
		}
	}
}

// TestLeaderNamedByOwnAddress guards against a member that names the leader at
// the address that the founder of the group used, which callers of another
// availability zone may not reach: its own settings go first.
func TestLeaderNamedByOwnAddress(t *testing.T) {
	s := &ControlServer[fakeGroup, Mover]{
		Controls: []model.Member{{Name: "c3", Address: "127.0.0.3:7000"}},
		Group:    fakeGroup{},
	}
	_, leader := fromTwirp("status", s.leader())
	assert.Equal(t, leader.Address, "127.0.0.3:7000")
}

// fakeGroup follows a leader whose address in the member list is another one.
type fakeGroup struct{ Group }

func (fakeGroup) Status() GroupStatus {
	st := GroupStatus{}
	st.Leader.ID, st.Leader.Name, st.Leader.Address = 3, "c3", "127.0.0.9:7000"
	return st
}
