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

// consensus is the consensus duty with the product's storage and codec.
type consensus = group.Group[*disk, codec.Codec]

// Sizes of consensus messages, and the entries kept in memory behind a
// snapshot for members that lag a little.
const (
	maxAppendBytes = 512 << 10
	chunkBytes     = 256 << 10
	keepEntries    = 1000
)

// formation is the duty that forms or joins the group and then runs the
// consensus duty.
type formation struct {
	c    *Control
	done chan struct{}
}

func newFormation(c *Control) *formation { return &formation{c: c, done: make(chan struct{})} }

// Run forms or joins the group and drives consensus until Stop.
func (f *formation) Run() error {
	c := f.c
	stored := c.disk.Stored()
	if !initialised(stored) {
		plan, members := boot.AwaitPlan(c.client, c.member.self, c.cfg.Controls, c.clock, f.done)
		switch plan {
		case boot.PlanRetry:
			return nil
		case boot.PlanForm:
			if err := f.form(&stored, members); err != nil {
				return err
			}
		case boot.PlanJoin:
			// Replies to the leader must find it before the member list is known.
			c.senders.SetMembers(members)
			c.record(model.Event{Kind: model.EventRole, Detail: "waits to be added to the group"})
		}
	}
	c.senders.SetMembers(stored.Snapshot.Members)
	d, err := group.New(f.config(), stored, c.disk, codec.Codec{}, c.clock)
	if err != nil {
		return &Error{Op: "start consensus", Kind: KindStore, Err: err}
	}
	c.member.set(d)
	return f.drive(d)
}

// drive runs the duty until Stop.
func (f *formation) drive(d *consensus) error {
	ended := make(chan error, 1)
	go func() { ended <- d.Run() }()
	defer f.c.senders.Stop()
	select {
	case err := <-ended:
		return err
	case <-f.done:
		d.Stop()
		return <-ended
	}
}

// Stop ends Run.
func (f *formation) Stop() { close(f.done) }

// firstIndex is the index of the snapshot that every member of a new group
// writes by itself: the empty state and the first member list.
const firstIndex = 1

// form writes the first snapshot. The term starts at that of the snapshot, so
// that the first leader's term is above it.
func (f *formation) form(stored *raft.StoredState, members []raft.Member) error {
	stored.Snapshot = raft.SnapshotMeta{Index: firstIndex, Term: firstIndex, Members: members}
	stored.Hard = raft.HardState{Term: firstIndex, Commit: firstIndex}
	s := fleet.New()
	s.Index = firstIndex
	err := f.c.disk.Install(stored.Snapshot, codec.Codec{}.EncodeState(s))
	if err == nil {
		err = f.c.disk.Save(&stored.Hard, nil)
	}
	if err != nil {
		return &Error{Op: "form the group", Kind: KindStore, Err: err}
	}
	f.c.record(model.Event{Kind: model.EventRole, Detail: "formed the group"})
	return nil
}

// Sizes of the consensus duty.
const (
	consensusTick clock.Millis = 50
	consensusRing              = 4096
	maxWaiting                 = 4096
	diskRetry     clock.Millis = 500
)

func (f *formation) config() group.Config {
	c := f.c.cfg.Consensus
	h := fnv.New64a()
	_, _ = h.Write([]byte(f.c.cfg.Name))
	return group.Config{
		Raft: raft.Config{
			ElectionTimeout: c.ElectionMillis, HeartbeatInterval: c.HeartbeatMillis,
			MaxAppendBytes: maxAppendBytes, ChunkBytes: chunkBytes, KeepEntries: keepEntries,
			Seed: h.Sum64() + uint64(f.c.clock.Now()),
		},
		TickInterval: consensusTick, RingCapacity: consensusRing, MaxPending: maxWaiting,
		SnapshotEntries: uint64(c.SnapshotEvery), RetryDelay: diskRetry,
		Send: f.c.senders.Send, Observe: f.observe,
	}
}

// observe adds changes of role and disk to the time line. The duty calls it.
func (f *formation) observe(s group.Status) {
	before := f.c.member.last.Load()
	f.c.member.observe(s)
	if before == nil || before.Role != s.Role || before.Term != s.Term {
		f.c.record(model.Event{
			Kind: model.EventRole, Version: model.Version(s.Term),
			Detail: fmt.Sprintf("%s in term %d", s.Role, s.Term),
		})
	}
	if s.DiskError != "" && (before == nil || before.DiskError == "") {
		f.c.record(model.Event{Kind: model.EventRole, Detail: "the disk fails: " + s.DiskError})
	}
}
