package raft

import (
	"cmp"
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
)

// standbyRemovalDelay is the silence after which a standby is removed. A machine that
// is gone for good must not stay listed, and one that returns later joins again.
const standbyRemovalDelay = 30 * clock.Second

// candidate is a member that could be a voter.
type candidate struct {
	Member
	// responsive is set for the leader and for members that have replied within the
	// election timeout, are not replaced and are not about to stop.
	responsive bool
	// replaced is set if its process is also listed under a newer ID: the disk with the
	// older one is lost.
	replaced bool
}

// NextChange returns the membership change that the leader should propose next, if
// there is one. The group should have size voters, all of them responsive, in as many
// zones as possible. A silent voter whose disk may be intact is replaced only by a standby
// that has caught up, in one change, so that the number of such disks never falls below
// size.
func (n *Node) NextChange(size int) (MemberChange, bool) {
	if n.role != RoleLeader || !n.mayChangeMembers() {
		return MemberChange{}, false
	}
	if voters := chooseVoters(n.candidates(), n.self, size); !n.areVoters(voters) {
		return MemberChange{Kind: SetVoters, Voters: voters}, true
	}
	for _, m := range n.Members() {
		if !m.Voter && n.removable(m) {
			return MemberChange{Kind: RemoveMember, Member: m}, true
		}
	}
	return MemberChange{}, false
}

// candidates returns the voters and the standbys that have caught up. A voter whose disk
// is known to be lost is not among them: it never answers again, so that a quorum without
// it needs at most as many of the others.
func (n *Node) candidates() []candidate {
	var all []candidate
	for _, m := range n.Members() {
		replaced := n.replaced(m)
		if replaced && !n.recentlyActive(m.ID) {
			continue
		}
		if m.Voter || n.caughtUp(m.ID) {
			all = append(all, candidate{Member: m, responsive: n.recentlyActive(m.ID) && !replaced && !n.leaves(m.ID), replaced: replaced})
		}
	}
	return all
}

// replaced reports whether the process of a member is listed again under an ID that was
// added later.
func (n *Node) replaced(m Member) bool {
	list := n.Members()
	at := slices.IndexFunc(list, func(x Member) bool { return x.ID == m.ID })
	return m.Name != "" && slices.ContainsFunc(list[at+1:], func(x Member) bool { return x.Name == m.Name })
}

// areVoters reports whether the given members are exactly the current voters.
func (n *Node) areVoters(ids []MemberID) bool {
	voters := 0
	for _, m := range n.Members() {
		if m.Voter {
			voters++
		}
		if m.Voter && !slices.Contains(ids, m.ID) {
			return false
		}
	}
	return voters == len(ids)
}

// removable reports whether a standby is gone: it has been silent for
// standbyRemovalDelay, or its process runs under a new ID because its disk was lost.
func (n *Node) removable(standby Member) bool {
	p := n.peers[standby.ID]
	return n.replaced(standby) || (p != nil && n.now-p.lastContact >= standbyRemovalDelay)
}

// chooseVoters returns the IDs of the best voters, at most size of them. The leader is
// always one of them; then come responsive candidates before silent ones, those whose
// disk may be intact before those whose disk is lost, those in the zone with the fewest
// chosen voters first, and current voters before standbys.
func chooseVoters(all []candidate, leader MemberID, size int) []MemberID {
	perZone := map[model.Zone]int{}
	rank := func(a, b candidate) int {
		return cmp.Or(
			compareSet(a.ID == leader, b.ID == leader),
			compareSet(a.responsive, b.responsive),
			compareSet(!a.replaced, !b.replaced),
			cmp.Compare(perZone[a.Zone], perZone[b.Zone]),
			compareSet(a.Voter, b.Voter),
			cmp.Compare(a.ID, b.ID),
		)
	}
	rest := slices.Clone(all)
	var chosen []MemberID
	for len(chosen) < size && len(rest) > 0 {
		best := slices.MinFunc(rest, rank)
		rest = slices.DeleteFunc(rest, func(c candidate) bool { return c.ID == best.ID })
		perZone[best.Zone]++
		chosen = append(chosen, best.ID)
	}
	return chosen
}

// compareSet orders a set flag before one that is not set.
func compareSet(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
