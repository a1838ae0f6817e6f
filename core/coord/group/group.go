package group

import (
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/ring"
)

// Storage keeps the member's durable state. Every write is synced on return
// and is repeated with the same arguments after an error.
type Storage interface {
	// Save writes the hard state, when given, and then replaces all entries
	// from entries[0].Index on.
	Save(hard *raft.HardState, entries []raft.Entry) error
	// Install replaces the snapshot and the whole log.
	Install(meta raft.SnapshotMeta, data []byte) error
	// Snapshot writes a snapshot of the local state and drops the entries that
	// it contains.
	Snapshot(meta raft.SnapshotMeta, data []byte) error
	// ReadSnapshot returns the latest snapshot.
	ReadSnapshot() (raft.SnapshotMeta, []byte, error)
}

// Codec maps changes and the state to bytes and back.
type Codec interface {
	EncodeChange(model.Change) []byte
	DecodeChange([]byte) (model.Change, error)
	EncodeState(*fleet.State) []byte
	DecodeState([]byte) (*fleet.State, error)
}

// Config sets up the duty. Values below 1 take the smallest sensible value.
type Config struct {
	Raft raft.Config
	// TickInterval is the time between two looks at the clock; at most half of the
	// heartbeat interval.
	TickInterval clock.Millis
	// RingCapacity is the number of inputs that may wait.
	RingCapacity int
	// MaxPending is the number of proposals that may wait for their commit,
	// and of reads that may wait for their confirmation.
	MaxPending int
	// SnapshotEntries is the number of applied entries between two snapshots.
	SnapshotEntries uint64
	// RetryDelay is the time between two tries on a failing disk.
	RetryDelay clock.Millis
	// Send passes messages on to the senders. It must not wait: a message that
	// finds no room is dropped and repeated later.
	Send func([]raft.Message)
	// Observe, when set, is called inside the duty after a change of role,
	// term, leader, member list or disk state. It must not wait and must not
	// call the group.
	Observe func(Status)
}

// Group is the duty of one member.
type Group[S Storage, C Codec] struct {
	cfg     Config
	clock   clock.Clock
	storage S
	codec   C
	ring    *ring.Ring[input]
	stop    chan struct{}
	once    sync.Once
	done    chan struct{}

	// What follows is touched by the duty's goroutine alone.
	node  *raft.Node
	state *fleet.State
	// applied is the index of the last entry applied; it only grows.
	applied uint64
	// snapped is the index of the latest snapshot on disk; at most applied.
	snapped     uint64
	nextSnap    clock.Millis
	waiting     map[uint64]waiter
	reads       map[uint64]chan answer
	lastRead    uint64
	joins       []input
	watchers    []watcher
	seen        view
	failed      *raft.Output
	failure     error
	retryAt     clock.Millis
	counts      Counts
	terminalErr error
}

// waiter is a proposal that waits for its commit.
type waiter struct {
	op    string
	term  uint64
	reply chan answer
}

type watcher struct {
	after model.Version
	fire  chan struct{}
	done  <-chan struct{}
}

// Counts are counters since the start; they only grow.
type Counts struct {
	// Proposals were appended on this member as leader, and Saves is the
	// number of synced writes that carried them and all else.
	Proposals int64
	LogWrites int64
	Applied   int64
	// DiskFailures counts failed writes, and SnapshotFailures failed local
	// snapshots and failed reads of one.
	DiskFailures       int64
	SnapshotFailures   int64
	Snapshots          int64
	InstalledSnapshots int64
	// RefusedInputs counts inputs that found the ring full.
	RefusedInputs int64
	// DroppedMessages counts peer messages that were ignored while the disk failed.
	DroppedMessages int64
	// InvalidMessages counts peer messages that contradicted committed entries.
	InvalidMessages int64
	// OutcomesUnknown counts proposals that ended with an unknown outcome.
	OutcomesUnknown int64
}

// Status is a report of the member.
type Status struct {
	Self raft.MemberID
	Role raft.Role
	Term uint64
	// Leader has the ID 0 when no leader is known.
	Leader        raft.Member
	Commit        uint64
	Applied       uint64
	SnapshotIndex uint64
	Version       model.Version
	Members       []raft.Member
	// Peers is set on the leader.
	Peers            []raft.PeerStatus
	PendingProposals int
	// DiskError is the error of the last failed write while the disk fails.
	DiskError string
	Counts    Counts
}

// view is what the duty last reported and acted on.
type view struct {
	role   raft.Role
	term   uint64
	leader raft.MemberID
	// members is the index of the member list in force.
	members uint64
	failed  bool
}

// New returns the duty for a member with the given stored state. The error is
// of kind disk or corrupt.
func New[S Storage, C Codec](cfg Config, stored raft.StoredState, storage S, codec C, clk clock.Clock) (*Group[S, C], error) {
	cfg.RingCapacity = max(cfg.RingCapacity, 16)
	cfg.MaxPending = max(cfg.MaxPending, 1)
	cfg.SnapshotEntries = max(cfg.SnapshotEntries, 1)
	cfg.TickInterval = min(max(cfg.TickInterval, 1), max(cfg.Raft.HeartbeatInterval/2, 1))
	cfg.RetryDelay = max(cfg.RetryDelay, 1)
	if cfg.Send == nil {
		cfg.Send = func([]raft.Message) {}
	}
	g := &Group[S, C]{
		cfg: cfg, clock: clk, storage: storage, codec: codec,
		ring:    ring.New[input](cfg.RingCapacity),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		state:   fleet.New(),
		applied: stored.Snapshot.Index,
		snapped: stored.Snapshot.Index,
		waiting: map[uint64]waiter{},
		reads:   map[uint64]chan answer{},
	}
	if stored.Snapshot.Index > 0 {
		if err := g.loadSnapshot(stored.Snapshot.Index); err != nil {
			return nil, err
		}
	}
	g.node = raft.New(cfg.Raft, stored, clk.Now())
	return g, nil
}

func (g *Group[S, C]) loadSnapshot(index uint64) error {
	meta, data, err := g.storage.ReadSnapshot()
	if err != nil {
		return failf("start", KindDisk, "read the snapshot: %w", err)
	}
	if meta.Index != index {
		return failf("start", KindCorrupt, "the snapshot is at index %d, not %d", meta.Index, index)
	}
	if g.state, err = g.codec.DecodeState(data); err != nil {
		return failf("start", KindCorrupt, "decode the snapshot at index %d: %w", index, err)
	}
	return nil
}

// Run is the duty. It returns nil after Stop, or an error of kind corrupt when
// a committed entry cannot be decoded: a member that skipped it would differ
// from the others.
func (g *Group[S, C]) Run() error {
	defer close(g.done)
	defer g.abandon()
	tick := g.clock.After(g.cfg.TickInterval)
	batch := make([]input, 0, g.cfg.RingCapacity)
	for g.terminalErr == nil {
		select {
		case <-g.stop:
			return nil
		case in := <-g.ring.C():
			batch = g.ring.Drain(append(batch[:0], in), g.cfg.RingCapacity)
			for _, in := range batch {
				g.take(in)
			}
			clear(batch)
		case <-tick:
			tick = g.clock.After(g.cfg.TickInterval)
			g.tick()
		}
		g.flush()
	}
	return g.terminalErr
}

// Stop ends the duty; it does not wait. It may be called more than once.
func (g *Group[S, C]) Stop() { g.once.Do(func() { close(g.stop) }) }

// Done is closed when the duty has ended.
func (g *Group[S, C]) Done() <-chan struct{} { return g.done }

// abandon answers everyone who still waits.
func (g *Group[S, C]) abandon() {
	g.failWaiting("the member stopped")
	for _, in := range g.ring.Drain(nil, g.cfg.RingCapacity) {
		in.answer(answer{err: failf(in.op, KindStopped, "the member stopped")})
	}
}
