package group

import (
	"slices"

	"camphorridge/core/state/raft"
)

// reconcileMembers makes at most one membership change: the addition of a member that
// joins, or the change that the Raft node asks for. Raft allows one change at a time;
// the next ticks make the others.
func (g *Group[S, C]) reconcileMembers() {
	if g.node.Role() != raft.RoleLeader {
		g.refuseJoins()
		return
	}
	if g.node.MembersPending() {
		return
	}
	g.pendingJoins = slices.DeleteFunc(g.pendingJoins, g.advanceJoin)
	if c, ok := g.node.NextChange(g.cfg.Voters); ok {
		// An error means that the change must wait, and a later tick repeats it.
		_, _, _ = g.node.ChangeMembers(c, g.clock.Now())
	}
}

// leave begins to replace this member as a voter. Without a standby there is nothing to
// wait for.
func (g *Group[S, C]) leave(in input) {
	if g.node.Votes() && !g.node.HasStandby() {
		in.answer(answer{err: failf(in.op, KindInvalid, "member %x is a %s, and the group has no standby", g.node.Self(), g.node.Role())})
		return
	}
	g.leaving = true
	g.pendingLeaves = append(g.pendingLeaves, in)
	g.advanceLeave()
}

// repeatLeaves drops the calls of Leave whose caller no longer waits and, if this member
// leaves, repeats what leave began: messages may be lost, the leader may have changed, and
// another membership change may have been in progress. It does so also after this member
// has left, because the leader would make it a voter again while it runs, for example if
// its zone has no other.
func (g *Group[S, C]) repeatLeaves() {
	g.pendingLeaves = slices.DeleteFunc(g.pendingLeaves, func(in input) bool { return in.abandoned() })
	if g.leaving {
		g.advanceLeave()
	}
}

// advanceLeave proposes, on the leader, the change that replaces this member as a voter,
// unless it must wait, and asks the leader for it on a follower.
func (g *Group[S, C]) advanceLeave() {
	if c, ok := g.node.LeaveChange(g.cfg.Voters); ok {
		// An error means that the change must wait, and a later tick repeats it.
		_, _, _ = g.node.ChangeMembers(c, g.clock.Now())
	}
	g.node.RequestLeave(g.clock.Now())
}

// answerLeaves answers the calls of Leave once this member is no longer a voter.
func (g *Group[S, C]) answerLeaves() {
	if len(g.pendingLeaves) == 0 || g.node.Votes() {
		return
	}
	for _, in := range g.pendingLeaves {
		in.answer(answer{})
	}
	g.pendingLeaves = nil
}

// refuseJoins answers all pending joins with an error, because this member does
// not lead.
func (g *Group[S, C]) refuseJoins() {
	for _, in := range g.pendingJoins {
		in.answer(answer{err: g.notLeader(in.op)})
	}
	g.pendingJoins = nil
}

// advanceJoin performs the next step of a join and reports whether the join has
// been answered. The old ID of a process that lost its disk stays a voter until the new
// one has caught up and takes its place.
func (g *Group[S, C]) advanceJoin(in input) bool {
	if g.node.MembersPending() {
		return false
	}
	for _, m := range g.node.Members() {
		if m.ID == in.member.ID {
			in.answer(answer{status: g.status()})
			return true
		}
	}
	if self := g.member(g.node.Self()); self.Name == in.member.Name {
		in.answer(answer{err: failf(in.op, KindInvalid, "the leader %x already has the name %q", self.ID, self.Name)})
		return true
	}
	_, _, err := g.node.ChangeMembers(raft.MemberChange{Kind: raft.AddMember, Member: in.member}, g.clock.Now())
	if err = g.joinError(err); err != nil {
		in.answer(answer{err: err})
	}
	return err != nil
}

// joinError translates an error of the Raft node and returns nil for one that
// allows a later retry.
func (g *Group[S, C]) joinError(err error) error {
	if err == nil {
		return nil
	}
	e := g.translate("join", err).(*Error)
	if e.Kind == KindPending {
		return nil
	}
	return e
}
