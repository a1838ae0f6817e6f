package roles

import (
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
		plan, members := boot.Wait(c.client, c.member.self, c.cfg.Controls, c.clock, f.done)
		switch plan {
		case boot.PlanAskAgain:
			return nil
		case boot.PlanForm:
			if err := f.form(&stored, members); err != nil {
				return err
			}
		case boot.PlanJoin:
			// Replies to the leader must find it before the member list is known.
			c.senders.Members(members)
			c.record(model.Event{Kind: model.EventRole, Detail: "waits to be added to the group"})
		}
	}
	c.senders.Members(stored.Snapshot.Members)
	d, err := group.New(c.disk, codec.Codec{}, stored, f.config(), c.cfg.Consensus.SnapshotEvery, c.clock, f.send)
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
func (f *formation) form(stored *raft.Stored, members []raft.Member) error {
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

func (f *formation) config() raft.Config {
	c := f.c.cfg.Consensus
	h := fnv.New64a()
	_, _ = h.Write([]byte(f.c.cfg.Name))
	return raft.Config{
		ElectionTimeout: c.ElectionMillis, HeartbeatInterval: c.HeartbeatMillis,
		MaxAppendBytes: maxAppendBytes, ChunkBytes: chunkBytes, KeepEntries: keepEntries,
		Seed: h.Sum64() + uint64(clock.Real().Now()),
	}
}

func (f *formation) send(all []raft.Message, members []raft.Member) {
	f.c.senders.Members(members)
	f.c.senders.Send(all)
}
