package group

import (
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
)

var errFull = errors.New("no space left on device")

// memory is a storage without a disk; broken makes all writes fail.
type memory struct {
	mu      sync.Mutex
	broken  atomic.Bool
	stored  raft.StoredState
	data    []byte
	largest int
}

func (m *memory) change(f func()) error {
	if m.broken.Load() {
		return errFull
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
	return nil
}

func (m *memory) Save(hard *raft.HardState, entries []raft.Entry) error {
	return m.change(func() {
		m.largest = max(m.largest, len(entries))
		if hard != nil {
			m.stored.Hard = *hard
		}
		if len(entries) > 0 {
			keep := entries[0].Index - m.stored.Snapshot.Index - 1
			m.stored.Entries = append(slices.Clone(m.stored.Entries[:keep]), entries...)
		}
	})
}

func (m *memory) Install(meta raft.SnapshotMeta, data []byte) error {
	return m.change(func() { m.stored.Snapshot, m.stored.Entries, m.data = meta, nil, data })
}

func (m *memory) Snapshot(meta raft.SnapshotMeta, data []byte) error {
	return m.change(func() {
		m.stored.Entries = slices.Clone(m.stored.Entries[meta.Index-m.stored.Snapshot.Index:])
		m.stored.Snapshot, m.data = meta, data
	})
}

func (m *memory) ReadSnapshot() (raft.SnapshotMeta, []byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stored.Snapshot, m.data, nil
}

// plain is a codec for the parts of the state that the tests use.
type plain struct{}

type plainState struct {
	Index, Version model.Version
	Contracts      map[model.Customer]model.Contract
	Results        map[model.RequestID]model.Result
}

func (plain) EncodeChange(c model.Change) []byte {
	b, _ := json.Marshal(c)
	return b
}

func (plain) DecodeChange(b []byte) (c model.Change, err error) {
	err = json.Unmarshal(b, &c)
	return c, err
}

func (plain) EncodeState(s *fleet.State) []byte {
	p := plainState{Index: s.Index, Version: s.Version, Contracts: s.Contracts, Results: map[model.RequestID]model.Result{}}
	s.Results.Each(func(k model.RequestID, r model.Result, _ clock.Millis) { p.Results[k] = r })
	b, _ := json.Marshal(p)
	return b
}

func (plain) DecodeState(b []byte) (*fleet.State, error) {
	s := fleet.New()
	var p plainState
	if err := json.Unmarshal(b, &p); err != nil {
		return nil, err
	}
	s.Index, s.Version, s.Contracts = p.Index, p.Version, p.Contracts
	for k, r := range p.Results {
		s.Results.Put(k, r, s.Time)
	}
	return s, nil
}

// links joins the members in memory; a member that is cut off neither sends
// nor receives.
type links struct {
	mu   sync.Mutex
	to   map[raft.MemberID]*Group[*memory, plain]
	cuts map[raft.MemberID]bool
}

func (l *links) send(messages []raft.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range messages {
		if to := l.to[m.To]; to != nil && !l.cuts[m.From] && !l.cuts[m.To] {
			to.Step([]raft.Message{m})
		}
	}
}

func (l *links) cut(id raft.MemberID, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[id] = cut
}

// cluster is a group of members in one process on a fake clock.
type cluster struct {
	t     *testing.T
	fake  *clock.Fake
	links *links
	disks map[raft.MemberID]*memory
}

// newCluster starts a group of the first n of three members.
func newCluster(t *testing.T, n int) *cluster {
	c := &cluster{
		t: t, fake: clock.NewFake(1_000_000), disks: map[raft.MemberID]*memory{},
		links: &links{to: map[raft.MemberID]*Group[*memory, plain]{}, cuts: map[raft.MemberID]bool{}},
	}
	first := []raft.Member{{ID: 1, Name: "one", Voter: true}, {ID: 2, Name: "two", Voter: true}, {ID: 3, Name: "three", Voter: true}}[:n]
	for _, m := range first {
		c.start(m, &memory{stored: raft.StoredState{Self: m, Snapshot: raft.SnapshotMeta{Members: first}}})
	}
	return c
}

func (c *cluster) start(m raft.Member, disk *memory) *Group[*memory, plain] {
	cfg := Config{
		Raft:         raft.Config{ElectionTimeout: 200, HeartbeatInterval: 40, MaxAppendBytes: 4096, ChunkBytes: 200, Seed: 7},
		TickInterval: 10, RingCapacity: 256, MaxPending: 200, SnapshotEntries: 20, RetryDelay: 50, Send: c.links.send,
	}
	g, err := New(cfg, disk.stored, disk, plain{}, c.fake.Clock())
	assert.NilError(c.t, err)
	c.links.mu.Lock()
	c.links.to[m.ID] = g
	c.links.mu.Unlock()
	c.disks[m.ID] = disk
	go func() { _ = g.Run() }()
	c.t.Cleanup(func() {
		g.Stop()
		<-g.Done()
	})
	return g
}

// until moves the clock in small steps until the condition holds.
func (c *cluster) until(what string, f func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(time.Minute); !f(); c.fake.Advance(2) {
		assert.Assert(c.t, time.Now().Before(deadline), "%s: not within a minute", what)
		time.Sleep(time.Millisecond / 2)
	}
}

func (c *cluster) group(id raft.MemberID) *Group[*memory, plain] {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	return c.links.to[id]
}

func (c *cluster) status(id raft.MemberID) Status {
	s, err := c.group(id).Status(c.t.Context())
	assert.NilError(c.t, err)
	return s
}

// leader waits for a leader among the given members.
func (c *cluster) leader(ids ...raft.MemberID) (lead raft.MemberID) {
	c.t.Helper()
	c.until("a leader", func() bool {
		for _, id := range ids {
			if s := c.status(id); s.Role == raft.RoleLeader && s.Commit > 0 {
				lead = id
			}
		}
		return lead != 0
	})
	return lead
}
