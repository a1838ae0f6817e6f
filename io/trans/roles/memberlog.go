package roles

import (
	"fmt"
	"slices"
	"strings"

	"github.com/charmbracelet/log"

	"camphorridge/core/coord/boot"
	"camphorridge/core/coord/group"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/raft"
)

// memberLog writes log lines about the members of the control group: the member list,
// the silence of members as the leader sees it, and the way of this process into the
// group. It writes a line only when something has changed.
type memberLog struct {
	log   *log.Logger
	clock clock.Clock
	self  boot.Hello
	// startedAt is the time when the process started.
	startedAt clock.Millis
	// before is the status that was observed last; nil before the first.
	before *group.Status
	// lastContact holds, on the leader, the time of the last reply of each member that
	// is silent.
	lastContact map[raft.MemberID]clock.Millis
}

func newMemberLog(l *log.Logger, c clock.Clock, self boot.Hello) *memberLog {
	return &memberLog{log: l, clock: c, self: self, startedAt: c.Now(), lastContact: map[raft.MemberID]clock.Millis{}}
}

// observe logs what has changed since the status before. The event loop of the member
// calls it.
func (l *memberLog) observe(s group.Status) {
	before := l.before
	if before == nil {
		before = &group.Status{}
	}
	if !slices.Equal(s.Members, before.Members) {
		voters := describeMembers(s.Members, func(m raft.Member) bool { return m.Voter })
		standbys := describeMembers(s.Members, func(m raft.Member) bool { return !m.Voter })
		oldVoters := describeMembers(s.Members, func(m raft.Member) bool { return m.OldVoter })
		l.log.Info("members-changed", "index", s.MembersIndex, "term", s.Term, "voters", voters, "standbys", standbys, "old-voters", oldVoters)
	}
	// A process that was in a group before it started may be a voter from the outset.
	restarted := l.before == nil && l.self.Initialised
	if !restarted && l.isVoter(s.Members) && !l.isVoter(before.Members) {
		l.log.Info("became-voter", "since-start-ms", l.clock.Now()-l.startedAt, "index", s.MembersIndex)
	}
	l.logSilence(s)
	if before.Role == raft.RoleLeader && s.Role != raft.RoleLeader && len(s.PeersAtResignation) > 0 {
		l.log.Warn("quorum-lost", "term", before.Term, "silent-voters", describeSilentVoters(s.PeersAtResignation), "answering-voters", describeAnsweringVoters(s))
	}
	l.before = &s
}

// logSilence logs the members that fell silent or answer again. Only the leader knows
// them.
func (l *memberLog) logSilence(s group.Status) {
	if s.Role != raft.RoleLeader {
		clear(l.lastContact)
		return
	}
	now := l.clock.Now()
	for _, p := range s.Peers {
		last, wasSilent := l.lastContact[p.Member.ID]
		switch {
		case !p.RecentlyActive && !wasSilent:
			l.lastContact[p.Member.ID] = now - p.SilentMillis
			l.log.Warn("member-silent", "member", describeMember(p.Member), "voter", p.Member.Voter, "silent-ms", p.SilentMillis)
		case p.RecentlyActive && wasSilent:
			delete(l.lastContact, p.Member.ID)
			l.log.Info("member-answers", "member", describeMember(p.Member), "voter", p.Member.Voter, "silent-ms", now-last)
		}
	}
}

// asked logs the outcome of a request for membership of this process.
func (l *memberLog) asked(a boot.JoinAttempt) {
	sinceStart := l.clock.Now() - l.startedAt
	if a.Err != "" {
		l.log.Warn("join-failed", "since-start-ms", sinceStart, "err", a.Err)
		return
	}
	l.log.Info("join-answered", "address", a.Address, "since-start-ms", sinceStart)
}

func (l *memberLog) isVoter(members []raft.Member) bool {
	return slices.ContainsFunc(members, func(m raft.Member) bool { return m.ID == l.self.ID && m.Voter })
}

// describeMember returns the name and the ID of a member. A process that lost its disk
// has the same name and another ID.
func describeMember(m raft.Member) string { return fmt.Sprintf("%s/%x", m.Name, m.ID) }

// describeMembers describes the members in a set, separated by commas.
func describeMembers(members []raft.Member, inSet func(raft.Member) bool) string {
	var all []string
	for _, m := range members {
		if inSet(m) {
			all = append(all, describeMember(m))
		}
	}
	return strings.Join(all, ",")
}

// describeAnsweringVoters describes the voters that still answered when this member
// resigned, itself included.
func describeAnsweringVoters(s group.Status) string {
	return describeMembers(s.Members, func(m raft.Member) bool {
		active := func(p raft.PeerStatus) bool { return p.Member.ID == m.ID && p.RecentlyActive }
		return (m.Voter || m.OldVoter) && (m.ID == s.Self || slices.ContainsFunc(s.PeersAtResignation, active))
	})
}

// describeSilentVoters describes the voters that are not recently active and for how
// many milliseconds each has been silent.
func describeSilentVoters(peers []raft.PeerStatus) string {
	var all []string
	for _, p := range peers {
		if (p.Member.Voter || p.Member.OldVoter) && !p.RecentlyActive {
			all = append(all, fmt.Sprintf("%s:%d", describeMember(p.Member), p.SilentMillis))
		}
	}
	return strings.Join(all, ",")
}
