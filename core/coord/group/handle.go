package group

import (
	"errors"
	"slices"

	"camphorridge/core/state/raft"
)

// handle handles one input. Inputs whose caller no longer waits are skipped.
func (g *Group[S, C]) handle(in input) {
	if in.abandoned() {
		return
	}
	switch in.kind {
	case inputQuery:
		in.query(g.state)
		in.answer(answer{})
		return
	case inputStatus:
		in.answer(answer{status: g.status()})
		return
	case inputWatch:
		g.watchers = append(g.watchers, in.watch)
		in.answer(answer{})
		return
	}
	if g.failedOutput != nil {
		g.failOnWriteError(in)
		return
	}
	switch in.kind {
	case inputPropose:
		g.propose(in)
	case inputMessages:
		g.step(in.messages)
	case inputRead:
		g.read(in)
	case inputJoin:
		g.pendingJoins = append(g.pendingJoins, in)
		g.reconcileMembers()
	case inputLeave:
		g.leave(in)
	}
}

// failOnWriteError answers an input with the error of the failed write, or drops it
// and counts its messages when it comes from a peer.
func (g *Group[S, C]) failOnWriteError(in input) {
	if in.kind == inputMessages {
		g.counts.DroppedMessages += int64(len(in.messages))
		return
	}
	in.answer(answer{err: failf(in.op, KindDisk, "%w", g.writeErr)})
}

// propose appends a change to the log. Its caller is answered when it is applied.
func (g *Group[S, C]) propose(in input) {
	now := g.clock.Now()
	if g.node.Role() != raft.RoleLeader {
		in.answer(answer{err: g.notLeader(in.op)})
		return
	}
	if len(g.pendingProposals) >= g.cfg.MaxPending {
		in.answer(answer{err: failf(in.op, KindBusy, "%d proposals wait for commit; at most %d may wait", len(g.pendingProposals), g.cfg.MaxPending)})
		return
	}
	in.change.Time = now
	data := g.codec.EncodeChange(in.change)
	if len(data) > g.cfg.MaxChangeBytes {
		in.answer(answer{err: failf(in.op, KindTooLarge, "the encoded change has %d bytes; allowed: at most %d", len(data), g.cfg.MaxChangeBytes)})
		return
	}
	index, term, err := g.node.Propose(data, now)
	g.addPending(in, index, term, err)
}

// addPending registers the caller that waits for the entry at index, or answers
// with err if it is not nil.
func (g *Group[S, C]) addPending(in input, index, term uint64, err error) {
	if err != nil {
		in.answer(answer{err: g.translate(in.op, err)})
		return
	}
	g.counts.Proposals++
	g.pendingProposals[index] = pendingProposal{op: in.op, term: term, reply: in.reply}
}

// read requests a read. Its caller is answered when a quorum has confirmed it.
func (g *Group[S, C]) read(in input) {
	if len(g.pendingReads) >= g.cfg.MaxPending {
		in.answer(answer{err: failf(in.op, KindBusy, "%d reads wait for confirmation; at most %d may wait", len(g.pendingReads), g.cfg.MaxPending)})
		return
	}
	g.lastReadContext++
	if err := g.node.ReadIndex(g.lastReadContext, g.clock.Now()); err != nil {
		in.answer(answer{err: g.translate(in.op, err)})
		return
	}
	g.pendingReads[g.lastReadContext] = in.reply
}

// step passes messages of other members to the Raft node.
func (g *Group[S, C]) step(messages []raft.Message) {
	now := g.clock.Now()
	for _, m := range messages {
		if g.node.Step(m, now) != nil {
			g.counts.InvalidMessages++
		}
	}
	if g.leaving {
		// The reply to a new leader says that this member is active, so that the leader
		// must learn at the same time that it leaves.
		g.advanceLeave()
	}
}

// tick calls Report if that is due and removes the watchers and joins whose caller no
// longer waits. Then it advances the time of the Raft node and makes membership changes
// or, while writes fail, retries the failed write when that is due.
func (g *Group[S, C]) tick() {
	now := g.clock.Now()
	g.report(now)
	g.watchers = slices.DeleteFunc(g.watchers, func(w watcher) bool { return isClosed(w.done) })
	g.pendingJoins = slices.DeleteFunc(g.pendingJoins, func(in input) bool { return in.abandoned() })
	if g.failedOutput == nil {
		g.node.Tick(now)
		g.silent = silentMembers(g.node.Peers())
		g.releaseSnapshot()
		// A change of reconcileMembers would delay that of a leader that leaves.
		g.repeatLeaves()
		g.reconcileMembers()
		return
	}
	if now >= g.retryAt {
		out := g.failedOutput
		g.failedOutput = nil
		g.perform(out)
	}
}

// notLeader returns an error with KindNotLeader that contains the current leader.
func (g *Group[S, C]) notLeader(op string) error {
	leader := g.member(g.node.Leader())
	err := failf(op, KindNotLeader, "member %x is a %s; the leader is %q", g.node.Self(), g.node.Role(), leader.Name).(*Error)
	err.Leader = leader
	return err
}

// translate converts an error of the Raft node to an *Error of this package.
func (g *Group[S, C]) translate(op string, err error) error {
	var e *raft.Error
	if errors.As(err, &e) {
		switch e.Kind {
		case raft.KindNotLeader:
			return g.notLeader(op)
		case raft.KindPending:
			return failf(op, KindPending, "%w", err)
		}
	}
	return failf(op, KindInvalid, "%w", err)
}

// member returns the member with the given ID. If the ID is not in the member list,
// only the ID of the result is set.
func (g *Group[S, C]) member(id raft.MemberID) raft.Member {
	for _, m := range g.node.Members() {
		if m.ID == id {
			return m
		}
	}
	return raft.Member{ID: id}
}

func (g *Group[S, C]) status() Status {
	s := Status{
		Self: g.node.Self(), Role: g.node.Role(), Term: g.node.Term(), Leader: g.member(g.node.Leader()),
		Commit: g.node.Commit(), Applied: g.applied, SnapshotIndex: g.snapshotIndex, Version: g.state.Version,
		Members: slices.Clone(g.node.Members()), MembersIndex: g.node.MembersIndex(),
		Peers: g.node.Peers(), PeersAtResignation: g.node.PeersAtResignation(),
		ChangesWait: g.node.ChangesWait(), PendingJoins: len(g.pendingJoins),
		Incoming: g.node.Incoming(), Install: g.install, Written: g.written, FailedElection: g.node.FailedElection(),
		PendingProposals: len(g.pendingProposals), Counts: g.counts,
	}
	s.Counts.RefusedInputs = g.ring.Refused()
	if g.failedOutput != nil {
		s.WriteError = g.writeErr.Error()
	}
	return s
}

// failPending fails all pending proposals, reads and joins, because this member no
// longer leads or has stopped. Proposals and joins fail with KindOutcomeUnknown,
// because the next leader may still commit them, and reads with KindNotLeader.
func (g *Group[S, C]) failPending(reason string) {
	for index, p := range g.pendingProposals {
		g.counts.OutcomesUnknown++
		p.reply <- answer{err: failf(p.op, KindOutcomeUnknown, "%s before entry %d was committed", reason, index)}
	}
	clear(g.pendingProposals)
	for _, reply := range g.pendingReads {
		reply <- answer{err: g.notLeader("read")}
	}
	clear(g.pendingReads)
	for _, in := range g.pendingJoins {
		in.answer(answer{err: failf(in.op, KindOutcomeUnknown, "%s", reason)})
	}
	g.pendingJoins = nil
}

// fireWatchers fires and removes the watchers that wait for a version that the state
// has reached.
func (g *Group[S, C]) fireWatchers() {
	g.watchers = slices.DeleteFunc(g.watchers, func(w watcher) bool {
		fire := g.state.Version > w.after
		if fire {
			close(w.fired)
		}
		return fire
	})
}
