package roles

import (
	"github.com/charmbracelet/log"

	"camphorridge/core/coord/group"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/raft"
	"camphorridge/io/trans/peers"
)

const (
	// replicationLineInterval is the minimum time between two lines about the same
	// standby, transfer, pending change or failed election.
	replicationLineInterval = 2 * clock.Second
	// pendingChangeDelay is the time after which a membership change that is not
	// committed is logged.
	pendingChangeDelay = clock.Second
)

// replicationLog writes log lines about the way of snapshots and of the log to the
// members of the control group, and about what holds it up.
type replicationLog struct {
	log   *log.Logger
	clock clock.Clock
	self  raft.MemberID
	// before is the status that was reported last.
	before group.Status
	// standbys, on the leader, and sends have an item for each member; outgoing and
	// incoming describe the transfers whose begin was logged.
	standbys map[raft.MemberID]standbyLine
	sends    map[raft.MemberID]sendLine
	outgoing map[raft.MemberID]transferLine
	incoming transferLine
	// waitsSince is the time since when the leader may propose no membership change, or 0.
	waitsSince clock.Millis
	// waitLoggedAt, electionLoggedAt and inputsLoggedAt are the times of the last line of
	// their kind; waitLoggedAt is 0 if there is none about the current wait.
	waitLoggedAt, electionLoggedAt, inputsLoggedAt clock.Millis
	electionLogged                                 uint64
	inputsLogged                                   int64
}

// standbyLine is what was logged about a standby.
type standbyLine struct {
	// since is the time when the standby was first seen, and at that of the last line.
	since, at clock.Millis
	caughtUp  bool
	last      standbyState
}

// standbyState is the part of a standby's status whose changes are logged.
type standbyState struct {
	state         string
	match, commit uint64
	silent        bool
	needsList     bool
}

// transferLine is what was logged about the transfers with one member.
type transferLine struct {
	// begun and ended are the numbers of the last transfers whose begin and end were
	// logged; at and offset are those of the last line.
	begun, ended uint64
	at           clock.Millis
	offset       uint64
}

// sendLine is what was logged about the messages to a member.
type sendLine struct {
	last peers.SendStatus
	// failingSince is 0 while messages pass; before is the status before the failures.
	failingSince clock.Millis
	before       peers.SendStatus
}

func newReplicationLog(l *log.Logger, c clock.Clock, self raft.MemberID) *replicationLog {
	return &replicationLog{
		log: l, clock: c, self: self,
		standbys: map[raft.MemberID]standbyLine{}, sends: map[raft.MemberID]sendLine{}, outgoing: map[raft.MemberID]transferLine{},
	}
}

// report logs what has changed since the status before. The event loop of the member
// calls it.
func (l *replicationLog) report(s group.Status, sends []peers.SendStatus) {
	now := l.clock.Now()
	if s.Role != raft.RoleLeader || s.Term != l.before.Term {
		clear(l.standbys)
		clear(l.outgoing)
		l.waitsSince = 0
	}
	for _, p := range s.Peers {
		l.outgoing[p.Member.ID] = l.transfers("snapshot-send", s.Members, p.Transfers, l.outgoing[p.Member.ID], now)
		l.standby(s, p, now)
	}
	l.incoming = l.transfers("snapshot-receive", s.Members, s.Incoming, l.incoming, now)
	if s.Install.Number != l.before.Install.Number {
		_, listed := findMember(s.Members, l.self)
		l.log.Info("snapshot-installed", "index", s.Install.Index, "bytes", s.Install.Bytes, "ms", s.Install.Millis, "listed", listed)
	}
	if w := s.Written; w.Number != l.before.Written.Number {
		l.log.Info("snapshot-written", "index", w.Index, "bytes", w.Bytes, "ms", w.Millis)
	}
	l.changes(s, now)
	l.election(s.FailedElection, now)
	l.inputs(s.Counts, now)
	for _, st := range sends {
		l.send(s.Members, st, now)
	}
	l.before = s
}

// transfers logs the begin, progress and end of the transfers with one member.
func (l *replicationLog) transfers(name string, members []raft.Member, t raft.Transfers, line transferLine, now clock.Millis) transferLine {
	begin := func(x raft.Transfer) {
		if x.Number > line.begun {
			l.log.Info(name+"-begun", "member", nameOf(members, x.Peer), "number", x.Number, "index", x.Index, "bytes", x.Bytes)
			line.begun, line.at, line.offset = x.Number, now, 0
		}
	}
	begin(t.Last)
	if x := t.Last; x.Number > line.ended {
		l.log.Info(name+"-ended", "member", nameOf(members, x.Peer), "number", x.Number, "index", x.Index, "bytes", x.Bytes, "acknowledged", x.Offset, "ms", x.EndedAt-x.StartedAt, "outcome", x.Outcome)
		line.ended = x.Number
	}
	begin(t.Running)
	if x := t.Running; x.Number != 0 && now-line.at >= replicationLineInterval && x.Offset != line.offset {
		l.log.Info(name+"-progress", "member", nameOf(members, x.Peer), "number", x.Number, "index", x.Index, "bytes", x.Bytes, "acknowledged", x.Offset, "ms", now-x.StartedAt)
		line.at, line.offset = now, x.Offset
	}
	return line
}

// standby logs why a standby has not caught up, and that it has.
func (l *replicationLog) standby(s group.Status, p raft.PeerStatus, now clock.Millis) {
	line, seen := l.standbys[p.Member.ID]
	if !seen {
		line = standbyLine{since: now, caughtUp: p.Member.Voter}
	}
	state := standbyState{state: p.State, match: p.Match, commit: s.Commit, silent: !p.RecentlyActive, needsList: p.Match < s.MembersIndex}
	lag := s.Commit - min(p.Match, s.Commit)
	switch {
	case p.Member.Voter || p.CaughtUp:
		if !line.caughtUp {
			l.log.Info("standby-caught-up", "member", describeMember(p.Member), "match", p.Match, "lag", lag, "ms", now-line.since)
			line.at = now
		}
		line.caughtUp = true
	case (line.at == 0 || now-line.at >= replicationLineInterval) && state != line.last:
		l.log.Info("standby-behind", "member", describeMember(p.Member), "state", p.State, "match", p.Match, "lag", lag,
			"silent-ms", p.SilentMillis, "silent", state.silent, "needs-list", state.needsList, "list-index", s.MembersIndex, "ms", now-line.since)
		line.at, line.last, line.caughtUp = now, state, false
	}
	l.standbys[p.Member.ID] = line
}

// changes logs a membership change that stays pending, and its end.
func (l *replicationLog) changes(s group.Status, now clock.Millis) {
	switch {
	case !s.ChangesWait:
		if l.waitsSince != 0 && l.waitLoggedAt != 0 {
			l.log.Info("members-not-pending", "index", s.MembersIndex, "commit", s.Commit, "ms", now-l.waitsSince)
		}
		l.waitsSince, l.waitLoggedAt = 0, 0
	case l.waitsSince == 0:
		l.waitsSince, l.waitLoggedAt = now, 0
	case now-l.waitsSince >= pendingChangeDelay && now-l.waitLoggedAt >= replicationLineInterval:
		missing := describeMembers(s.Members, func(m raft.Member) bool {
			p, ok := findPeer(s.Peers, m.ID)
			return ok && (m.Voter || m.OldVoter) && p.Match <= s.Commit
		})
		l.log.Warn("members-pending", "index", s.MembersIndex, "commit", s.Commit, "ms", now-l.waitsSince, "joins-waiting", s.PendingJoins, "voters-without-next-entry", missing)
		l.waitLoggedAt = now
	}
}

// election logs the answers of the voters in an election without a result.
func (l *replicationLog) election(e raft.ElectionStatus, now clock.Millis) {
	if e.Number == l.electionLogged || (l.electionLoggedAt != 0 && now-l.electionLoggedAt < replicationLineInterval) {
		return
	}
	all := func(raft.Member) bool { return true }
	l.log.Warn("election-failed", "term", e.Term, "pre-vote", e.PreVote, "elections", e.Number-l.electionLogged, "last-index", e.LastIndex,
		"granted", describeMembers(e.Granted, all), "refused", describeMembers(e.Refused, all), "unanswered", describeMembers(e.Unanswered, all))
	l.electionLogged, l.electionLoggedAt = e.Number, now
}

// inputs logs messages from other members that were lost in this process.
func (l *replicationLog) inputs(c group.Counts, now clock.Millis) {
	lost := c.RefusedInputs + c.DroppedMessages + c.InvalidMessages
	if lost == l.inputsLogged || (l.inputsLoggedAt != 0 && now-l.inputsLoggedAt < replicationLineInterval) {
		return
	}
	l.log.Warn("inputs-lost", "refused", c.RefusedInputs, "dropped", c.DroppedMessages, "invalid", c.InvalidMessages)
	l.inputsLogged, l.inputsLoggedAt = lost, now
}

// send logs that messages to a member begin to fail, and that they pass again.
func (l *replicationLog) send(members []raft.Member, st peers.SendStatus, now clock.Millis) {
	line := l.sends[st.Member]
	write := func(f func(msg any, keyvals ...any), msg string) {
		from, cause := line.before, ""
		if st.FailedRequests != from.FailedRequests {
			cause = st.LastError
		}
		f(msg, "member", nameOf(members, st.Member), "address", st.Address, "ms", now-line.failingSince,
			"requests", st.FailedRequests-from.FailedRequests, "messages", st.FailedMessages-from.FailedMessages, "bytes", st.FailedBytes-from.FailedBytes,
			"ring-full", st.Refused-from.Refused, "no-address", st.Unaddressed-from.Unaddressed, "err", cause)
	}
	lost := st.FailedRequests != line.last.FailedRequests || st.Refused != line.last.Refused || st.Unaddressed != line.last.Unaddressed
	switch {
	case lost && line.failingSince == 0:
		line.failingSince, line.before = now, line.last
		write(l.log.Warn, "messages-failing")
	case lost && line.last.LastError == "" && st.LastError != "":
		// The failures began without a request.
		write(l.log.Warn, "messages-failing")
	case !lost && line.failingSince != 0 && st.Requests != line.last.Requests:
		write(l.log.Info, "messages-pass")
		line.failingSince = 0
	}
	line.last = st
	l.sends[st.Member] = line
}

func findMember(members []raft.Member, id raft.MemberID) (raft.Member, bool) {
	for _, m := range members {
		if m.ID == id {
			return m, true
		}
	}
	return raft.Member{ID: id}, false
}

func findPeer(all []raft.PeerStatus, id raft.MemberID) (raft.PeerStatus, bool) {
	for _, p := range all {
		if p.Member.ID == id {
			return p, true
		}
	}
	return raft.PeerStatus{}, false
}

// nameOf describes a member by its ID. The name is empty if the list lacks the member.
func nameOf(members []raft.Member, id raft.MemberID) string {
	m, _ := findMember(members, id)
	return describeMember(m)
}
