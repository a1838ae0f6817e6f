package group

import (
	"errors"
	"slices"

	"camphorridge/core/state/raft"
)

// take handles one input. Inputs whose caller has left are skipped.
func (g *Group[S, C]) take(in input) {
	if in.gone() {
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
	if g.failed != nil {
		g.refuse(in)
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
		g.joins = append(g.joins, in)
		g.repair()
	case inputRemove:
		g.changeMembers(in, raft.MemberChange{Kind: raft.RemoveMember, Member: in.member})
	}
}

// refuse turns an input away while the disk fails.
func (g *Group[S, C]) refuse(in input) {
	if in.kind == inputMessages {
		g.counts.DroppedMessages += int64(len(in.messages))
		return
	}
	in.answer(answer{err: failf(in.op, KindDisk, "%w", g.failure)})
}

func (g *Group[S, C]) propose(in input) {
	now := g.clock.Now()
	if g.node.Role() != raft.RoleLeader {
		in.answer(answer{err: g.notLeader(in.op)})
		return
	}
	if len(g.waiting) >= g.cfg.MaxPending {
		in.answer(answer{err: failf(in.op, KindBusy, "%d proposals wait for their commit", len(g.waiting))})
		return
	}
	in.change.Time = now
	index, term, err := g.node.Propose(g.codec.EncodeChange(in.change), now)
	g.await(in, index, term, err)
}

// changeMembers proposes one membership change.
func (g *Group[S, C]) changeMembers(in input, c raft.MemberChange) {
	index, term, err := g.node.ChangeMembers(c, g.clock.Now())
	g.await(in, index, term, err)
}

// await notes who waits for an index, or answers with the error.
func (g *Group[S, C]) await(in input, index, term uint64, err error) {
	if err != nil {
		in.answer(answer{err: g.translate(in.op, err)})
		return
	}
	g.counts.Proposals++
	g.waiting[index] = waiter{op: in.op, term: term, reply: in.reply}
}

func (g *Group[S, C]) read(in input) {
	if len(g.reads) >= g.cfg.MaxPending {
		in.answer(answer{err: failf(in.op, KindBusy, "%d reads wait for their confirmation", len(g.reads))})
		return
	}
	g.lastRead++
	if err := g.node.ReadIndex(g.lastRead, g.clock.Now()); err != nil {
		in.answer(answer{err: g.translate(in.op, err)})
		return
	}
	g.reads[g.lastRead] = in.reply
}

func (g *Group[S, C]) step(messages []raft.Message) {
	now := g.clock.Now()
	for _, m := range messages {
		if g.node.Step(m, now) != nil {
			g.counts.InvalidMessages++
		}
	}
}

// tick passes the time on, or tries the failed write again.
func (g *Group[S, C]) tick() {
	now := g.clock.Now()
	g.watchers = slices.DeleteFunc(g.watchers, func(w watcher) bool { return isClosed(w.done) })
	g.joins = slices.DeleteFunc(g.joins, func(in input) bool { return in.gone() })
	if g.failed == nil {
		g.node.Tick(now)
		g.repair()
		return
	}
	if now >= g.retryAt {
		out := g.failed
		g.failed = nil
		g.perform(out)
	}
}

func (g *Group[S, C]) notLeader(op string) error {
	leader := g.member(g.node.Leader())
	err := failf(op, KindNotLeader, "member %x is a %s and follows %q", g.node.Self(), g.node.Role(), leader.Name).(*Error)
	err.Leader = leader
	return err
}

// translate maps errors of the consensus.
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
		Commit: g.node.Commit(), Applied: g.applied, SnapshotIndex: g.snapped, Version: g.state.Version,
		Members: slices.Clone(g.node.Members()), Peers: g.node.Peers(), PendingProposals: len(g.waiting), Counts: g.counts,
	}
	s.Counts.RefusedInputs = g.ring.Refused()
	if g.failed != nil {
		s.DiskError = g.failure.Error()
	}
	return s
}

// failWaiting ends what waits for a leadership that is over. Proposals may
// still be committed by the next leader.
func (g *Group[S, C]) failWaiting(reason string) {
	for index, w := range g.waiting {
		g.counts.OutcomesUnknown++
		w.reply <- answer{err: failf(w.op, KindOutcomeUnknown, "%s before entry %d was committed", reason, index)}
	}
	clear(g.waiting)
	for _, reply := range g.reads {
		reply <- answer{err: g.notLeader("read")}
	}
	clear(g.reads)
	for _, in := range g.joins {
		in.answer(answer{err: failf(in.op, KindOutcomeUnknown, "%s", reason)})
	}
	g.joins = nil
}

// fireWatchers wakes those who wait for a version below the current one.
func (g *Group[S, C]) fireWatchers() {
	g.watchers = slices.DeleteFunc(g.watchers, func(w watcher) bool {
		fire := g.state.Version > w.after
		if fire {
			close(w.fire)
		}
		return fire
	})
}
