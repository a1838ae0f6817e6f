package group

import (
	"slices"

	"camphorridge/core/state/raft"
)

// repair makes the next membership change that joins or caught-up members
// call for. The consensus allows one at a time; the rest follows with the next
// ticks.
func (g *Group[S, C]) repair() {
	if g.node.Role() != raft.RoleLeader {
		g.refuseJoins()
		return
	}
	if g.node.MembersPending() {
		return
	}
	g.joins = slices.DeleteFunc(g.joins, g.join)
	for _, p := range g.node.Peers() {
		if !p.Member.Voter && p.CaughtUp && g.tryChange(raft.PromoteMember, p.Member) == nil {
			return
		}
	}
}

func (g *Group[S, C]) refuseJoins() {
	for _, in := range g.joins {
		in.answer(answer{err: g.notLeader(in.op)})
	}
	g.joins = nil
}

// join takes one step of a join and reports whether it is answered. The old
// identity of a member that lost its disk is removed before the new one is
// added: with three members the group then needs the same two disks all along.
func (g *Group[S, C]) join(in input) bool {
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
		in.answer(answer{err: failf(in.op, KindInvalid, "the leader %x has the name %q", self.ID, self.Name)})
		return true
	}
	change, member := raft.AddMember, in.member
	if old, ok := g.replaced(in.member); ok {
		if old.RecentlyActive {
			return false
		}
		change, member = raft.RemoveMember, old.Member
	}
	err := g.translatePending(g.tryChange(change, member))
	if err != nil {
		in.answer(answer{err: err})
	}
	return err != nil
}

// replaced returns the listed member whose name the new one carries.
func (g *Group[S, C]) replaced(m raft.Member) (raft.PeerStatus, bool) {
	for _, p := range g.node.Peers() {
		if p.Member.Name == m.Name && p.Member.ID != m.ID {
			return p, true
		}
	}
	return raft.PeerStatus{}, false
}

func (g *Group[S, C]) tryChange(kind raft.ChangeKind, m raft.Member) error {
	_, _, err := g.node.ChangeMembers(raft.MemberChange{Kind: kind, Member: m}, g.clock.Now())
	return err
}

// translatePending maps an error of the consensus and drops one that says to
// try again later.
func (g *Group[S, C]) translatePending(err error) error {
	if err == nil {
		return nil
	}
	e := g.translate("join", err).(*Error)
	if e.Kind == KindPending {
		return nil
	}
	return e
}
