package group

import (
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

// flush does all that the consensus asks for.
func (g *Group[S, C]) flush() {
	for g.failed == nil && g.terminalErr == nil {
		out := g.node.Output()
		if out.Empty() {
			break
		}
		g.perform(&out)
	}
	g.snapshot()
	g.fireWatchers()
	g.notice()
}

// perform writes an output and then does what may follow on the write.
// Nothing is sent, applied or answered unless the write was synced.
func (g *Group[S, C]) perform(out *raft.Output) {
	if err := g.write(out); err != nil {
		g.fault(out, err)
		return
	}
	g.node.Persisted()
	if len(out.Messages) > 0 {
		g.cfg.Send(out.Messages)
	}
	for _, e := range out.Committed {
		if err := g.apply(e); err != nil {
			g.terminalErr = err
			return
		}
	}
	for _, r := range out.Reads {
		if reply, ok := g.reads[r.Context]; ok {
			delete(g.reads, r.Context)
			reply <- answer{}
		}
	}
	if len(out.NeedSnapshot) > 0 {
		g.provide(out.NeedSnapshot)
	}
}

func (g *Group[S, C]) write(out *raft.Output) error {
	if out.Hard != nil || len(out.Append) > 0 {
		if err := g.storage.Save(out.Hard, out.Append); err != nil {
			return failf("save", KindDisk, "%w", err)
		}
		g.counts.LogWrites++
	}
	if out.Install == nil {
		return nil
	}
	state, err := g.codec.DecodeState(out.InstallData)
	if err != nil {
		return failf("install", KindCorrupt, "decode the snapshot at index %d: %w", out.Install.Index, err)
	}
	if err := g.storage.Install(*out.Install, out.InstallData); err != nil {
		return failf("install", KindDisk, "%w", err)
	}
	g.state = state
	g.applied = out.Install.Index
	g.snapped = out.Install.Index
	g.counts.InstalledSnapshots++
	return nil
}

// fault keeps an output whose write failed for the next try. The member gives
// up leadership and takes no part in the group until the write succeeds, so
// that the others elect a leader whose disk works.
func (g *Group[S, C]) fault(out *raft.Output, err error) {
	g.counts.DiskFailures++
	g.failed = out
	g.failure = err
	g.retryAt = g.clock.Now() + g.cfg.RetryDelay
	g.node.StepDown()
}

// apply applies a committed entry and answers who waits for it.
func (g *Group[S, C]) apply(e raft.Entry) error {
	r := model.Result{Version: model.Version(e.Index)}
	if e.Kind == raft.EntryChange {
		c, err := g.codec.DecodeChange(e.Data)
		if err != nil {
			return failf("apply", KindCorrupt, "decode entry %d: %w", e.Index, err)
		}
		r = g.state.Apply(model.Version(e.Index), c)
	}
	g.applied = e.Index
	g.counts.Applied++
	if w, ok := g.waiting[e.Index]; ok && w.term == e.Term {
		delete(g.waiting, e.Index)
		w.reply <- answer{result: r}
	}
	return nil
}

// provide answers a request for a snapshot. After a read error the consensus
// asks again.
func (g *Group[S, C]) provide(to []raft.MemberID) {
	meta, data, err := g.storage.ReadSnapshot()
	if err != nil {
		g.counts.SnapshotFailures++
		return
	}
	for _, id := range to {
		g.node.ProvideSnapshot(id, meta, data)
	}
}

// snapshot writes a local snapshot when enough was applied since the last. A
// failure only keeps the log longer; it is tried again after a delay.
func (g *Group[S, C]) snapshot() {
	now := g.clock.Now()
	if g.failed != nil || g.terminalErr != nil || g.applied-g.snapped < g.cfg.SnapshotEntries || now < g.nextSnap {
		return
	}
	meta, ok := g.node.SnapshotMetaAt(g.applied)
	if !ok {
		return
	}
	if err := g.storage.Snapshot(meta, g.codec.EncodeState(g.state)); err != nil {
		g.counts.SnapshotFailures++
		g.nextSnap = now + g.cfg.RetryDelay
		return
	}
	g.snapped = meta.Index
	g.counts.Snapshots++
	g.node.Compact(meta)
}

// notice acts on a change of role, term, leader, member list or disk state.
func (g *Group[S, C]) notice() {
	v := view{
		role: g.node.Role(), term: g.node.Term(), leader: g.node.Leader(),
		members: g.node.MembersIndex(), failed: g.failed != nil,
	}
	if v == g.seen {
		return
	}
	led := g.seen.role == raft.RoleLeader
	if led && (v.role != raft.RoleLeader || v.term != g.seen.term) {
		g.failWaiting("the leader lost its term")
	}
	g.seen = v
	if g.cfg.Observe != nil {
		g.cfg.Observe(g.status())
	}
}
