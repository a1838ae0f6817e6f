package roles

import (
	"context"
	"fmt"
	"hash/fnv"

	"camphorridge/core/coord/boot"
	"camphorridge/core/coord/group"
	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/io/proto/codec"
)

// raftMember is this process's member of the control group, with the storage and
// the codec that are used in production.
type raftMember = group.Group[*diskStore, codec.Codec]

const (
	// maxAppendBytes is the maximum size of the entries in one Raft message,
	// snapshotChunkBytes that of one part of a snapshot, and maxInflightBytes that of all
	// messages to one member without a reply.
	maxAppendBytes     = 128 << 10
	snapshotChunkBytes = 64 << 10
	maxInflightBytes   = 512 << 10
	// snapshotBytes is the size of the log after which a snapshot is written, so that
	// large changes fill neither the disk nor the memory.
	snapshotBytes = 16 << 20
	// keptEntries and keptBytes limit the log before the snapshot that is kept in memory,
	// so that a member that lags slightly doesn't need the snapshot, and heldEntries and
	// heldBytes the log before that which is kept for a member that catches up.
	keptEntries = 1000
	keptBytes   = 8 << 20
	heldEntries = 9000
	heldBytes   = 32 << 20
)

// groupRunner is the component that forms or joins the control group and then runs
// this process's member of it.
type groupRunner struct {
	ctrl *Control
	done chan struct{}
}

func newGroupRunner(c *Control) *groupRunner { return &groupRunner{ctrl: c, done: make(chan struct{})} }

// Run forms or joins the group and runs the member until Stop is called.
func (r *groupRunner) Run() error {
	c := r.ctrl
	stored := c.disk.Stored()
	if !initialised(stored) {
		mode, members := boot.AwaitJoinMode(c.client, c.member.self, c.membership.Configured, !c.cfg.JoinOnly, c.clock, r.done)
		switch mode {
		case boot.JoinModeRetry:
			// AwaitJoinMode returns JoinModeRetry only if r.done is closed, that is, after
			// Stop; Run then ends without an error.
			return nil
		case boot.JoinModeFounder:
			if err := r.formGroup(&stored, members); err != nil {
				return err
			}
		case boot.JoinModeExisting:
			// This process must be able to reply to the leader before it receives the
			// member list.
			c.senders.AddMembers(members)
			c.record(model.Event{Kind: model.EventRole, Detail: "waiting to be added to the group"})
		}
	}
	c.senders.AddMembers(stored.Snapshot.Members)
	member, err := group.New(r.groupConfig(), stored, c.disk, codec.Codec{}, c.clock)
	if err != nil {
		return &Error{Op: "start consensus", Kind: KindStore, Err: err}
	}
	c.member.setMember(member)
	return r.runMember(member)
}

// runMember runs the member until Stop is called or the member's event loop fails,
// and then stops the senders.
func (r *groupRunner) runMember(member *raftMember) error {
	ended := make(chan error, 1)
	go func() { ended <- member.Run() }()
	defer r.ctrl.senders.Stop()
	select {
	case err := <-ended:
		return err
	case <-r.done:
		member.Stop()
		return <-ended
	}
}

// Stop ends Run. It must be called at most once.
func (r *groupRunner) Stop() { close(r.done) }

// initialIndexAndTerm is both the index and the term of the initial snapshot, which
// holds the empty state and the initial member list. Every founder of a group writes
// the same snapshot on its own.
const initialIndexAndTerm = 1

// formGroup writes the initial snapshot and Raft state to the data folder, and sets
// both in stored. The member's term is that of the snapshot, so that the term of the
// first leader is higher.
func (r *groupRunner) formGroup(stored *raft.StoredState, members []raft.Member) error {
	stored.Snapshot = raft.SnapshotMeta{Index: initialIndexAndTerm, Term: initialIndexAndTerm, Members: members}
	stored.Hard = raft.HardState{Term: initialIndexAndTerm, Commit: initialIndexAndTerm}
	s := fleet.New()
	s.Index = initialIndexAndTerm
	err := r.ctrl.disk.InstallSnapshot(stored.Snapshot, codec.Codec{}.EncodeState(s))
	if err == nil {
		err = r.ctrl.disk.Save(&stored.Hard, nil)
	}
	if err != nil {
		return &Error{Op: "form the group", Kind: KindStore, Err: err}
	}
	r.ctrl.record(model.Event{Kind: model.EventRole, Detail: "formed the group"})
	return nil
}

const (
	// raftTickInterval is the interval of the Raft clock.
	raftTickInterval clock.Millis = 50
	// memberRingCapacity is the maximum number of inputs that wait for the event
	// loop of the member.
	memberRingCapacity  = 4096
	maxPendingProposals = 4096
	// diskRetryDelay is the time after which a failed write is tried again.
	diskRetryDelay clock.Millis = 500
)

func (r *groupRunner) groupConfig() group.Config {
	c := r.ctrl.cfg.Consensus
	voters := r.ctrl.cfg.GroupSize
	if voters == 0 {
		voters = len(r.ctrl.cfg.Controls)
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.ctrl.cfg.Name))
	return group.Config{
		Voters: voters,
		Raft: raft.Config{
			ElectionTimeout: c.ElectionMillis, HeartbeatInterval: c.HeartbeatMillis,
			MaxAppendBytes: maxAppendBytes, ChunkBytes: snapshotChunkBytes, MaxInflightBytes: maxInflightBytes,
			KeepEntries: keptEntries, KeepBytes: keptBytes, HoldEntries: heldEntries, HoldBytes: heldBytes,
			Seed: h.Sum64() + uint64(r.ctrl.clock.Now()),
		},
		TickInterval: raftTickInterval, RingCapacity: memberRingCapacity, MaxPending: maxPendingProposals,
		SnapshotEntries: uint64(c.SnapshotEvery), SnapshotBytes: snapshotBytes, RetryDelay: diskRetryDelay,
		Send: r.ctrl.senders.Send, Observe: r.observe, Report: r.report,
	}
}

// report writes the log lines about replication. The event loop of the member calls it.
func (r *groupRunner) report(s group.Status) {
	r.ctrl.replicationLog.report(s, r.ctrl.senders.Status())
}

// observe updates the status, and records changes of the role and the term and the
// start of a disk failure in the event log. Both use EventRole, because there is no
// kind of event for disk failures, and the version of an event about the role is the
// term. The event loop of the member calls observe.
func (r *groupRunner) observe(s group.Status) {
	before := r.ctrl.member.lastStatus.Load()
	r.ctrl.member.updateStatus(s)
	r.ctrl.memberLog.observe(s)
	r.report(s)
	if before == nil || before.Role != s.Role || before.Term != s.Term {
		r.ctrl.record(model.Event{
			Kind: model.EventRole, Version: model.Version(s.Term),
			Detail: fmt.Sprintf("%s in term %d", s.Role, s.Term),
		})
	}
	if s.WriteError != "" && (before == nil || before.WriteError == "") {
		r.ctrl.record(model.Event{Kind: model.EventRole, Detail: "writing to the disk fails: " + s.WriteError})
	}
}

// leaveTimeout is the time for which the stop of a voter waits until a standby votes in
// its place. The change takes several syncs of the leader's disk, and may have to wait for
// another change or for a new leader. The users' platform kills a process 6 s after
// SIGTERM, and the rest of that time is for the components that stop later.
const leaveTimeout = 4 * clock.Second

// leaver is the component that, when the process stops, makes a standby a voter in its
// place, so that the group can lose another disk at once. It must stop before all other
// components: a leader goes on to lead and to handle calls until it is replaced, and the
// members exchange their messages through the server for the other control processes.
type leaver struct {
	ctrl *Control
	done chan struct{}
}

func newLeaver(c *Control) *leaver { return &leaver{ctrl: c, done: make(chan struct{})} }

// Run returns after Stop.
func (l *leaver) Run() error {
	<-l.done
	return nil
}

// Stop replaces this process as a voter if a standby can take its place. It must be
// called at most once.
func (l *leaver) Stop() {
	defer close(l.done)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout.Duration())
	defer cancel()
	err := l.ctrl.member.Leave(ctx)
	l.ctrl.log.Info("member-left", "err", err)
}
