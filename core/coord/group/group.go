package group

import (
	"math"
	"sync"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/ring"
)

// Storage stores the durable state of the member. Every write must be synced
// when it returns. After an error of Save or InstallSnapshot, the calls for the same
// output of the Raft node are repeated with the same arguments, including a Save that
// succeeded before InstallSnapshot failed. After an error of SaveSnapshot, a snapshot
// of the state at that time is written later.
type Storage interface {
	// Save writes the hard state, unless it is nil, and then replaces all
	// entries with an index of entries[0].Index or higher.
	Save(hard *raft.HardState, entries []raft.Entry) error
	// InstallSnapshot replaces the snapshot and the whole log.
	InstallSnapshot(meta raft.SnapshotMeta, data []byte) error
	// SaveSnapshot writes a snapshot of the local state and removes the entries
	// that it covers.
	SaveSnapshot(meta raft.SnapshotMeta, data []byte) error
	// ReadSnapshot returns the latest snapshot.
	ReadSnapshot() (raft.SnapshotMeta, []byte, error)
}

// Codec encodes and decodes changes and the replicated state.
type Codec interface {
	EncodeChange(model.Change) []byte
	DecodeChange([]byte) (model.Change, error)
	EncodeState(*fleet.State) []byte
	DecodeState([]byte) (*fleet.State, error)
}

// Config configures a Group. New raises values that are too small to the
// smallest valid value.
type Config struct {
	Raft raft.Config
	// Voters is the number of members that vote when the group is complete. With an odd
	// number, any minority of their disks may be lost.
	Voters int
	// TickInterval is the interval at which timeouts are checked. New caps it at
	// half of the heartbeat interval.
	TickInterval clock.Millis
	// RingCapacity is the number of inputs that may be queued for the event loop.
	RingCapacity int
	// MaxPending is the number of proposals that may wait for their commit, and
	// also the number of reads that may wait for their confirmation.
	MaxPending int
	// MaxChangeBytes is the largest size of the encoded change of a proposal. 0 means
	// model.MaxChangeBytes, which is also the largest valid value.
	MaxChangeBytes int
	// SnapshotEntries is the number of applied entries and SnapshotBytes their size
	// between two snapshots; see snapshotDue. New replaces a size of 0 by one without
	// effect.
	SnapshotEntries uint64
	SnapshotBytes   uint64
	// RetryDelay is the delay before a failed write of the log or of a snapshot is
	// retried.
	RetryDelay clock.Millis
	// Send passes messages to the transport. It must not block; a message that
	// does not fit in the transport's buffer is dropped, and Raft sends it again
	// later.
	Send func([]raft.Message)
	// Observe, if set, is called in the event loop after a change of the role,
	// term, leader or member list, when writes begin to fail or succeed again, and on
	// the leader when a member falls silent or answers again. It must not block or call
	// the Group.
	Observe func(Status)
	// Report, if set, is called in the event loop once in reportInterval and, at the next
	// tick, after the transfer of a snapshot has begun or ended. It must not block or
	// call the Group.
	Report func(Status)
}

// reportInterval is the interval of the calls of Report.
const reportInterval = clock.Second

// Group runs the event loop of one member.
type Group[S Storage, C Codec] struct {
	cfg      Config
	clock    clock.Clock
	storage  S
	codec    C
	ring     *ring.Ring[input]
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}

	// The fields below are accessed only by the goroutine of the event loop.
	node  *raft.Node
	state *fleet.State
	// applied is the index of the last applied entry; it never decreases.
	applied uint64
	// snapshotIndex is the index of the latest snapshot on disk; at most applied.
	// appliedBytes is the size of the entries applied since.
	snapshotIndex uint64
	appliedBytes  uint64
	// snapshotRetryAt is the earliest time of the next attempt after a failed write of a
	// local snapshot.
	snapshotRetryAt clock.Millis
	// provided is the state that members in need of a snapshot receive.
	provided providedSnapshot
	// pendingProposals is keyed by log index, and pendingReads by read context.
	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]chan answer
	lastReadContext  uint64
	// pendingJoins holds the calls of Join that wait for their membership changes.
	pendingJoins []input
	// pendingLeaves holds the calls of Leave that wait until this member has no vote.
	pendingLeaves []input
	// leaving is set once a call of Leave was accepted.
	leaving  bool
	watchers []watcher
	observed observedState
	// silent lists, on the leader, the members that were not recently active at the last
	// tick, and observedSilent those of the last call of Observe.
	silent         []raft.MemberID
	observedSilent []raft.MemberID
	// reportedAt is the time of the last call of Report, and reportedTransfers the number
	// of changes of transfers at that time.
	reportedAt        clock.Millis
	reportedTransfers uint64
	// install is the last installation of a received snapshot, and written the last write
	// of a local one.
	install, written SnapshotWrite
	// failedOutput is the output whose last write failed with writeErr; the write
	// is retried from retryAt on. It is nil while writes succeed.
	failedOutput *raft.Output
	writeErr     error
	retryAt      clock.Millis
	counts       Counts
	// terminalErr is the error that ends the event loop.
	terminalErr error
}

// pendingProposal is a proposal that waits for its commit.
type pendingProposal struct {
	op    string
	term  uint64
	reply chan answer
}

// watcher is a call of Watch.
type watcher struct {
	after model.Version
	// fired is closed once the version of the state is above after.
	fired chan struct{}
	// done is closed when the caller no longer watches.
	done <-chan struct{}
}

// Counts holds counters since the start of the member; they never decrease.
type Counts struct {
	// Proposals counts the entries that this member appended for callers as
	// leader, and LogWrites the synced writes of hard states and entries.
	Proposals int64
	LogWrites int64
	// Applied counts the applied entries, without those in an installed snapshot.
	Applied int64
	// WriteFailures counts failed attempts to write an output of the Raft node, whether
	// the disk failed or a received snapshot could not be decoded. SnapshotFailures
	// counts failed writes of local snapshots.
	WriteFailures    int64
	SnapshotFailures int64
	// Snapshots counts the snapshots of the local state that were written, and
	// InstalledSnapshots those received from a leader.
	Snapshots          int64
	InstalledSnapshots int64
	// RefusedInputs counts inputs that were refused because the ring was full, most
	// of them messages from peers. It does not count requests that were refused
	// while only the part of the ring that is reserved for messages was free.
	RefusedInputs int64
	// DroppedMessages counts peer messages that were dropped while the write of an
	// output failed.
	DroppedMessages int64
	// InvalidMessages counts peer messages that contradicted committed entries or
	// named a second leader of a term.
	InvalidMessages int64
	// OutcomesUnknown counts proposals that ended with an unknown outcome.
	OutcomesUnknown int64
}

// Status reports the state of the member.
type Status struct {
	Self raft.MemberID
	Role raft.Role
	Term uint64
	// Leader has the ID 0 if no leader is known.
	Leader raft.Member
	// Commit, Applied and SnapshotIndex are the indexes of the last committed
	// entry, the last applied entry and the latest snapshot on disk.
	Commit        uint64
	Applied       uint64
	SnapshotIndex uint64
	Version       model.Version
	Members       []raft.Member
	// MembersIndex is the index of the entry that set Members.
	MembersIndex uint64
	// Peers is nil unless this member is the leader.
	Peers []raft.PeerStatus
	// PeersAtResignation is the status of the other members when this member last
	// resigned as the leader for want of a quorum; nil if it never did, or has led again
	// since.
	PeersAtResignation []raft.PeerStatus
	// ChangesWait is set on a leader that may not propose a membership change yet, because
	// the change before it or the leader's first entry is not committed. PendingJoins is
	// the number of joins that wait.
	ChangesWait  bool
	PendingJoins int
	// Incoming describes the snapshots that this member received, Install the last
	// installation of one, and Written the last write of a local one.
	Incoming raft.Transfers
	Install  SnapshotWrite
	Written  SnapshotWrite
	// FailedElection is the last election of this member without a result.
	FailedElection   raft.ElectionStatus
	PendingProposals int
	// WriteError is the error of the last failed write of an output while writes
	// fail, and otherwise empty.
	WriteError string
	Counts     Counts
}

// SnapshotWrite describes the installation of a received snapshot or the write of a local
// one.
type SnapshotWrite struct {
	// Number counts the installations or the writes; 0 means none.
	Number int64
	Index  uint64
	Bytes  int
	// Millis is the time taken to decode or encode the snapshot and to write it to the
	// disk. The event loop handles nothing else meanwhile.
	Millis clock.Millis
}

// observedState is the part of the state whose changes are reported to Observe.
type observedState struct {
	role   raft.Role
	term   uint64
	leader raft.MemberID
	// membersIndex is the index of the entry that set the current member list.
	membersIndex uint64
	// writeFailed is set while the write of an output fails, because of the disk or
	// because a received snapshot cannot be decoded.
	writeFailed bool
}

// New returns a Group for a member with the given stored state. The error has
// KindDisk or KindCorrupt.
func New[S Storage, C Codec](cfg Config, stored raft.StoredState, storage S, codec C, clk clock.Clock) (*Group[S, C], error) {
	cfg.RingCapacity = max(cfg.RingCapacity, 16)
	cfg.MaxPending = max(cfg.MaxPending, 1)
	cfg.Voters = max(cfg.Voters, 1)
	if cfg.MaxChangeBytes <= 0 || cfg.MaxChangeBytes > model.MaxChangeBytes {
		cfg.MaxChangeBytes = model.MaxChangeBytes
	}
	cfg.SnapshotEntries = max(cfg.SnapshotEntries, 1)
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = math.MaxInt64
	}
	cfg.TickInterval = min(max(cfg.TickInterval, 1), max(cfg.Raft.HeartbeatInterval/2, 1))
	cfg.RetryDelay = max(cfg.RetryDelay, 1)
	if cfg.Send == nil {
		cfg.Send = func([]raft.Message) {}
	}
	g := &Group[S, C]{
		cfg: cfg, clock: clk, storage: storage, codec: codec,
		ring:             ring.New[input](cfg.RingCapacity),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		state:            fleet.New(),
		applied:          stored.Snapshot.Index,
		snapshotIndex:    stored.Snapshot.Index,
		pendingProposals: map[uint64]pendingProposal{},
		pendingReads:     map[uint64]chan answer{},
	}
	if stored.Snapshot.Index > 0 {
		if err := g.loadSnapshot(stored.Snapshot.Index); err != nil {
			return nil, err
		}
	}
	g.node = raft.New(cfg.Raft, stored, clk.Now())
	return g, nil
}

// loadSnapshot decodes the stored snapshot, which must be at the given index.
func (g *Group[S, C]) loadSnapshot(index uint64) error {
	meta, data, err := g.storage.ReadSnapshot()
	if err != nil {
		return failf("start", KindDisk, "read the stored snapshot: %w", err)
	}
	if meta.Index != index {
		return failf("start", KindCorrupt, "the stored snapshot is at index %d, expected %d", meta.Index, index)
	}
	if g.state, err = g.codec.DecodeState(data); err != nil {
		return failf("start", KindCorrupt, "decode the snapshot at index %d: %w", index, err)
	}
	return nil
}

// Run runs the event loop. It returns nil after Stop. It returns an error with
// KindCorrupt if a committed entry cannot be decoded: if the member skipped the
// entry, its state would diverge from that of the other members.
func (g *Group[S, C]) Run() error {
	defer close(g.done)
	defer g.failAll()
	tick := g.clock.After(g.cfg.TickInterval)
	batch := make([]input, 0, g.cfg.RingCapacity)
	for g.terminalErr == nil {
		select {
		case <-g.stop:
			return nil
		case in := <-g.ring.C():
			batch = g.ring.Drain(append(batch[:0], in), g.cfg.RingCapacity)
			for _, in := range batch {
				g.handle(in)
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

// Stop ends the event loop without waiting for it. It may be called more than
// once.
func (g *Group[S, C]) Stop() { g.stopOnce.Do(func() { close(g.stop) }) }

// Done returns a channel that is closed when the event loop has ended.
func (g *Group[S, C]) Done() <-chan struct{} { return g.done }

// failAll fails all pending and queued requests when the event loop ends.
func (g *Group[S, C]) failAll() {
	g.failPending("the member stopped")
	for _, in := range g.ring.Drain(nil, g.cfg.RingCapacity) {
		in.answer(answer{err: failf(in.op, KindStopped, "the member stopped")})
	}
}
