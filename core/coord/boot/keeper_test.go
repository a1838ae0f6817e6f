package boot

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

// fakeGroup is both the group and the other processes as a keeper sees them.
type fakeGroup struct {
	view    View
	asked   int
	removed []raft.MemberID
}

func (f *fakeGroup) Refresh(context.Context) View            { return f.view }
func (f *fakeGroup) Join(context.Context, raft.Member) error { return nil }
func (f *fakeGroup) Remove(_ context.Context, id raft.MemberID) error {
	f.removed = append(f.removed, id)
	return nil
}

type fakeAsker struct{ group *fakeGroup }

func (f fakeAsker) Hello(context.Context, model.Member) (Hello, error) {
	return Hello{}, errors.New("no answer")
}

func (f fakeAsker) Join(context.Context, []model.Member, raft.Member) error {
	f.group.asked++
	return nil
}

func newTestKeeper(size int) (*MembershipManager[fakeAsker, *fakeGroup], *fakeGroup, *clock.Fake) {
	g, c := &fakeGroup{}, clock.NewFake(1000)
	k := NewMembershipManager(Config[fakeAsker, *fakeGroup]{
		Self: Hello{Name: "c4", ID: 4}, Member: raft.Member{ID: 4, Name: "c4"}, MinMembers: size, Asker: fakeAsker{g}, Group: g,
		Clock: c.Clock(), Joined: func(raft.Member) {}, Removed: func(raft.MemberID) {},
	})
	return k, g, c
}

// TestStrangerFormsNoGroup guards against a second group: a process that the
// settings do not name waits for the group that the others form.
func TestStrangerFormsNoGroup(t *testing.T) {
	configured := []model.Member{{Name: "c1"}, {Name: "c2"}}
	answers := []Hello{{Name: "c4", ID: 4}, {Name: "c1", ID: 1}, {Name: "c2", ID: 2}}
	plan, _ := DecidePlan(4, configured, answers)
	assert.Equal(t, plan, PlanRetry)
	plan, members := DecidePlan(1, configured, answers)
	assert.Equal(t, plan, PlanForm)
	assert.Equal(t, len(members), 2)
	answers[1].Initialised = true
	plan, _ = DecidePlan(4, configured, answers)
	assert.Equal(t, plan, PlanJoin)
}

// TestStrangerAsksToJoin guards against a machine with an empty disk at a new
// address that nobody adds, and against a removed member that never comes back.
func TestStrangerAsksToJoin(t *testing.T) {
	k, g, _ := newTestKeeper(3)
	g.view = View{Members: []raft.Member{{ID: 1}, {ID: 2}}, HasLeader: true}
	k.look()
	assert.Equal(t, g.asked, 1)
	g.view = View{Members: []raft.Member{{ID: 1}, {ID: 4}}, HasLeader: true}
	k.look()
	assert.Equal(t, g.asked, 1, "it is a member")
	g.view.HasLeader = false
	for range aloneLooks {
		k.look()
	}
	assert.Equal(t, g.asked, 2, "it hears no leader")
}

// TestSilentMemberIsRetired guards against a group that grows with each
// replaced machine until the dead members take its quorum, and against one
// that shrinks below what the loss of disks calls for.
func TestSilentMemberIsRetired(t *testing.T) {
	for _, c := range []struct{ size, want int }{{3, 1}, {4, 0}} {
		k, g, clk := newTestKeeper(c.size)
		g.view = View{Members: []raft.Member{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}}, IsLeader: true, Silent: []raft.MemberID{3}}
		k.look()
		clk.Advance(silentMillis - 1)
		k.look()
		assert.Equal(t, len(g.removed), 0)
		clk.Advance(1)
		k.look()
		assert.Equal(t, len(g.removed), c.want)
	}
}
