package group

import (
	"slices"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

// flush performs the outputs of the Raft node until none is left or an error
// occurs. It then writes a local snapshot if one is due, and notifies the watchers
// and Observe of changes.
func (g *Group[S, C]) flush() {
	for g.failedOutput == nil && g.terminalErr == nil {
		out := g.node.Output()
		if out.Empty() {
			break
		}
		g.perform(&out)
	}
	g.snapshot()
	g.answerLeaves()
	g.fireWatchers()
	g.observeChanges()
}

// perform writes an output and then sends its messages, applies its entries and
// answers its reads. None of these happens before the write is synced.
func (g *Group[S, C]) perform(out *raft.Output) {
	if err := g.write(out); err != nil {
		g.onWriteError(out, err)
		return
	}
	g.node.ConfirmDurable()
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
		if reply, ok := g.pendingReads[r.Context]; ok {
			delete(g.pendingReads, r.Context)
			reply <- answer{}
		}
	}
	if len(out.NeedSnapshot) > 0 {
		g.provideSnapshot(out.NeedSnapshot)
	}
}

// write saves the hard state and the entries of an output and installs its
// snapshot. The error has KindDisk or KindCorrupt.
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
	start := g.clock.Now()
	state, err := g.codec.DecodeState(out.InstallData)
	if err != nil {
		return failf("install", KindCorrupt, "decode the snapshot at index %d: %w", out.Install.Index, err)
	}
	if err := g.storage.InstallSnapshot(*out.Install, out.InstallData); err != nil {
		return failf("install", KindDisk, "%w", err)
	}
	g.state = state
	g.applied = out.Install.Index
	g.snapshotIndex, g.appliedBytes = out.Install.Index, 0
	g.counts.InstalledSnapshots++
	g.install = SnapshotWrite{
		Number: g.counts.InstalledSnapshots, Index: out.Install.Index, Bytes: len(out.InstallData), Millis: g.clock.Now() - start,
	}
	return nil
}

// onWriteError keeps an output whose write failed so that it can be retried. The
// cause is a disk error or a received snapshot that cannot be decoded. The member
// steps down and ignores all messages until the write succeeds, so that the others
// elect a leader that can write.
func (g *Group[S, C]) onWriteError(out *raft.Output, err error) {
	g.counts.WriteFailures++
	g.failedOutput = out
	g.writeErr = err
	g.retryAt = g.clock.Now() + g.cfg.RetryDelay
	g.node.StepDown()
}

// apply applies a committed entry and answers the proposal that waits for it.
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
	g.appliedBytes += uint64(len(e.Data))
	g.counts.Applied++
	if p, ok := g.pendingProposals[e.Index]; ok && p.term == e.Term {
		delete(g.pendingProposals, e.Index)
		p.reply <- answer{result: r}
	}
	return nil
}

// maxProvidedLag is the number of applied entries after which an encoded state is too old
// to be sent to another member, or to the same one again.
const maxProvidedLag = 1000

// providedSnapshot is a state that was encoded for members that need a snapshot.
type providedSnapshot struct {
	meta raft.SnapshotMeta
	// data is nil while no member needs a snapshot.
	data []byte
}

// provideSnapshot passes a snapshot of the current state to the Raft node for the given
// members. The latest snapshot on disk would be older, and thousands of entries would
// follow it. A member that needs the snapshot again soon receives the same one, because
// the event loop handles nothing else while it encodes a large state.
func (g *Group[S, C]) provideSnapshot(to []raft.MemberID) {
	if !g.mayProvideAgain() {
		meta, ok := g.node.SnapshotMetaAt(g.applied)
		if !ok {
			// A received snapshot has just replaced the log. The node asks again.
			return
		}
		g.provided = providedSnapshot{meta: meta, data: g.codec.EncodeState(g.state)}
	}
	for _, id := range to {
		g.node.ProvideSnapshot(id, g.provided.meta, g.provided.data)
	}
}

// mayProvideAgain reports whether the encoded state is recent and the log has the entries
// after it.
func (g *Group[S, C]) mayProvideAgain() bool {
	_, held := g.node.SnapshotMetaAt(g.provided.meta.Index)
	return g.provided.data != nil && held && g.applied-g.provided.meta.Index <= maxProvidedLag
}

// releaseSnapshot frees the encoded state once no member needs a snapshot.
func (g *Group[S, C]) releaseSnapshot() {
	if g.provided.data != nil && !g.node.SendsSnapshots() {
		g.provided = providedSnapshot{}
	}
}

// snapshotDue reports whether a local snapshot is due: SnapshotEntries entries or
// SnapshotBytes bytes after the last one, and up to half as many more by the member's
// place in the list. If all members wrote theirs at the same entry, no quorum would answer
// meanwhile.
func (g *Group[S, C]) snapshotDue() bool {
	members, self := g.node.Members(), g.node.Self()
	place := max(slices.IndexFunc(members, func(m raft.Member) bool { return m.ID == self }), 0)
	parts, shift := uint64(2*max(len(members), 1)), uint64(place)
	due := func(limit uint64) uint64 { return limit + limit*shift/parts }
	return g.applied-g.snapshotIndex >= due(g.cfg.SnapshotEntries) || g.appliedBytes >= due(g.cfg.SnapshotBytes)
}

// snapshot writes a local snapshot if one is due. A failed write only makes the log
// longer; it is retried after RetryDelay.
func (g *Group[S, C]) snapshot() {
	now := g.clock.Now()
	if g.failedOutput != nil || g.terminalErr != nil || !g.snapshotDue() || now < g.snapshotRetryAt {
		return
	}
	meta, ok := g.node.SnapshotMetaAt(g.applied)
	if !ok {
		// The log stays as it is, and the next flush tries again.
		return
	}
	data := g.codec.EncodeState(g.state)
	if err := g.storage.SaveSnapshot(meta, data); err != nil {
		g.counts.SnapshotFailures++
		g.snapshotRetryAt = now + g.cfg.RetryDelay
		return
	}
	g.snapshotIndex, g.appliedBytes = meta.Index, 0
	g.counts.Snapshots++
	g.written = SnapshotWrite{Number: g.counts.Snapshots, Index: meta.Index, Bytes: len(data), Millis: g.clock.Now() - now}
	g.node.Compact(meta)
}

// observeChanges reports a change of the role, term, leader or member list, that writes
// began to fail or succeed again, or that a member fell silent or answers again. It
// fails the pending requests when the leadership was lost.
func (g *Group[S, C]) observeChanges() {
	v := observedState{
		role: g.node.Role(), term: g.node.Term(), leader: g.node.Leader(),
		membersIndex: g.node.MembersIndex(), writeFailed: g.failedOutput != nil,
	}
	if v == g.observed && slices.Equal(g.silent, g.observedSilent) {
		return
	}
	led := g.observed.role == raft.RoleLeader
	if led && (v.role != raft.RoleLeader || v.term != g.observed.term) {
		g.failPending("the member lost the leadership")
	}
	g.observed, g.observedSilent = v, g.silent
	if g.cfg.Observe != nil {
		g.cfg.Observe(g.status())
	}
}

// report calls Report if that is due.
func (g *Group[S, C]) report(now clock.Millis) {
	changes := g.node.TransferChanges()
	if g.cfg.Report == nil || (now-g.reportedAt < reportInterval && changes == g.reportedTransfers) {
		return
	}
	g.reportedAt, g.reportedTransfers = now, changes
	g.cfg.Report(g.status())
}

// silentMembers returns the IDs of the members that are not recently active.
func silentMembers(peers []raft.PeerStatus) []raft.MemberID {
	var silent []raft.MemberID
	for _, p := range peers {
		if !p.RecentlyActive {
			silent = append(silent, p.Member.ID)
		}
	}
	return silent
}
