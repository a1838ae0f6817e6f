package roles

import (
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

// consensusGroup is the consensusGroup duty with the product's storage and codec.
type consensusGroup = group.Group[*diskStore, codec.Codec]

// Sizes of consensus messages, and the entries kept in memory behind a
// snapshot for members that lag a little.
const (
	maxAppendBytes     = 512 << 10
	snapshotChunkBytes = 256 << 10
	keptEntries        = 1000
)

// groupRunner is the duty that forms or joins the group and then runs the
// consensus duty.
type groupRunner struct {
	ctrl *Control
	done chan struct{}
}

func newGroupRunner(c *Control) *groupRunner { return &groupRunner{ctrl: c, done: make(chan struct{})} }

// Run forms or joins the group and drives consensus until Stop.
func (f *groupRunner) Run() error {
	c := f.ctrl
	stored := c.disk.Stored()
	if !initialised(stored) {
		plan, members := boot.AwaitPlan(c.client, c.member.self, c.cfg.Controls, c.clock, f.done)
		switch plan {
		case boot.PlanRetry:
			return nil
		case boot.PlanForm:
			if err := f.formGroup(&stored, members); err != nil {
				return err
			}
		case boot.PlanJoin:
			// Replies to the leader must find it before the member list is known.
			c.senders.Members(members)
			c.record(model.Event{Kind: model.EventRole, Detail: "waits to be added to the group"})
		}
	}
	c.senders.Members(stored.Snapshot.Members)
	d, err := group.New(f.groupConfig(), stored, c.disk, codec.Codec{}, c.clock)
	if err != nil {
		return &Error{Op: "start consensus", Kind: KindStore, Err: err}
	}
	c.member.setConsensus(d)
	return f.runConsensus(d)
}

// runConsensus runs the duty until Stop.
func (f *groupRunner) runConsensus(d *consensusGroup) error {
	ended := make(chan error, 1)
	go func() { ended <- d.Run() }()
	defer f.ctrl.senders.Stop()
	select {
	case err := <-ended:
		return err
	case <-f.done:
		d.Stop()
		return <-ended
	}
}

// Stop ends Run.
func (f *groupRunner) Stop() { close(f.done) }

// initialIndex is the index of the snapshot that every member of a new group
// writes by itself: the empty state and the first member list.
const initialIndex = 1

// formGroup writes the first snapshot. The term starts at that of the snapshot, so
// that the first leader's term is above it.
func (f *groupRunner) formGroup(stored *raft.StoredState, members []raft.Member) error {
	stored.Snapshot = raft.SnapshotMeta{Index: initialIndex, Term: initialIndex, Members: members}
	stored.Hard = raft.HardState{Term: initialIndex, Commit: initialIndex}
	s := fleet.New()
	s.Index = initialIndex
	err := f.ctrl.disk.Install(stored.Snapshot, codec.Codec{}.EncodeState(s))
	if err == nil {
		err = f.ctrl.disk.Save(&stored.Hard, nil)
	}
	if err != nil {
		return &Error{Op: "form the group", Kind: KindStore, Err: err}
	}
	f.ctrl.record(model.Event{Kind: model.EventRole, Detail: "formed the group"})
	return nil
}

// Sizes of the consensus duty.
const (
	consensusTickInterval clock.Millis = 50
	consensusRingCapacity              = 4096
	maxPendingProposals                = 4096
	diskRetryDelay        clock.Millis = 500
)

func (f *groupRunner) groupConfig() group.Config {
	c := f.ctrl.cfg.Consensus
	h := fnv.New64a()
	_, _ = h.Write([]byte(f.ctrl.cfg.Name))
	return group.Config{
		Raft: raft.Config{
			ElectionTimeout: c.ElectionMillis, HeartbeatInterval: c.HeartbeatMillis,
			MaxAppendBytes: maxAppendBytes, ChunkBytes: snapshotChunkBytes, KeepEntries: keptEntries,
			Seed: h.Sum64() + uint64(f.ctrl.clock.Now()),
		},
		TickInterval: consensusTickInterval, RingCapacity: consensusRingCapacity, MaxPending: maxPendingProposals,
		SnapshotEntries: uint64(c.SnapshotEvery), RetryDelay: diskRetryDelay,
		Send: f.ctrl.senders.Send, Observe: f.observe,
	}
}

// observe adds changes of role and disk to the time line. The duty calls it.
func (f *groupRunner) observe(s group.Status) {
	before := f.ctrl.member.lastStatus.Load()
	f.ctrl.member.updateStatus(s)
	if before == nil || before.Role != s.Role || before.Term != s.Term {
		f.ctrl.record(model.Event{
			Kind: model.EventRole, Version: model.Version(s.Term),
			Detail: fmt.Sprintf("%s in term %d", s.Role, s.Term),
		})
	}
	if s.DiskError != "" && (before == nil || before.DiskError == "") {
		f.ctrl.record(model.Event{Kind: model.EventRole, Detail: "the disk fails: " + s.DiskError})
	}
}
