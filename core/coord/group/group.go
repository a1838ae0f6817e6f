package group

import (
	"context"
	"fmt"
	"sync/atomic"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/core/state/ring"
)

// Storage keeps the log of a member; each method is durable on return.
type Storage interface {
	Save(hard *raft.HardState, entries []raft.Entry) error
	Install(meta raft.SnapshotMeta, data []byte) error
	Snapshot(meta raft.SnapshotMeta, data []byte) error
	ReadSnapshot() (raft.SnapshotMeta, []byte, error)
}

// Codec encodes what the log and the snapshots hold.
type Codec interface {
	EncodeChange(model.Change) []byte
	DecodeChange([]byte) (model.Change, error)
	EncodeState(*fleet.State) []byte
	DecodeState([]byte) (*fleet.State, error)
}

// Kind tells the errors of the package apart.
type Kind int

// The kinds of error.
const (
	KindNotLeader Kind = iota
	KindUnknown
	KindStopped
	KindFull
)

// Error is the error type of the package.
type Error struct {
	Op     string
	Kind   Kind
	Err    error
	Leader raft.Member
}

func (e *Error) Error() string { return fmt.Sprintf("group: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Status is the state of consensus in this member.
type Status struct {
	Role    raft.Role
	Term    uint64
	Commit  uint64
	Leader  raft.Member
	Members []raft.Member
	Peers   []raft.PeerStatus
}

const (
	ringSize  int          = 4096
	batchSize int          = 512
	tick      clock.Millis = 20
)

type input struct {
	messages []raft.Message
	change   *model.Change
	result   chan<- outcome
	query    func(*fleet.State)
	member   *raft.MemberChange
	read     bool
	await    bool
	version  model.Version
}

type outcome struct {
	result model.Result
	err    error
}

type pending struct {
	term   uint64
	result chan<- outcome
}

// Group is the duty.
type Group[S Storage, C Codec] struct {
	storage S
	codec   C
	clock   clock.Clock
	send    func([]raft.Message, []raft.Member)
	every   uint64
	in      *ring.Ring[input]
	done    chan struct{}
	ended   chan struct{}
	status  atomic.Pointer[Status]

	node     *raft.Node
	state    *fleet.State
	proposed map[uint64]pending
	reads    map[uint64]chan<- outcome
	ready    []raft.ReadReady
	waiters  []input
	context  uint64
	snapshot uint64
}

// New returns the duty of a member.
func New[S Storage, C Codec](s S, c C, stored raft.Stored, cfg raft.Config, every int, clk clock.Clock, send func([]raft.Message, []raft.Member)) (*Group[S, C], error) {
	g := &Group[S, C]{
		storage: s, codec: c, clock: clk, send: send, every: uint64(every),
		in: ring.New[input](ringSize), done: make(chan struct{}), ended: make(chan struct{}),
		state: fleet.New(), proposed: map[uint64]pending{}, reads: map[uint64]chan<- outcome{},
	}
	if stored.Snapshot.Index > 0 {
		_, data, err := s.ReadSnapshot()
		if err != nil {
			return nil, err
		}
		if g.state, err = c.DecodeState(data); err != nil {
			return nil, err
		}
		g.snapshot = stored.Snapshot.Index
	}
	g.node = raft.New(cfg, stored, clk.Now())
	g.publish()
	return g, nil
}

func (g *Group[S, C]) publish() {
	s := Status{
		Role: g.node.Role(), Term: g.node.Term(), Commit: g.node.Commit(),
		Members: g.node.Members(), Peers: g.node.Peers(),
	}
	for _, m := range s.Members {
		if m.ID == g.node.Leader() {
			s.Leader = m
		}
	}
	g.status.Store(&s)
}

// Status returns the state of consensus.
func (g *Group[S, C]) Status() Status { return *g.status.Load() }

// Run drives the member until Stop.
func (g *Group[S, C]) Run() error {
	defer close(g.ended)
	timer := g.clock.After(tick)
	var buf []input
	for {
		select {
		case i := <-g.in.C():
			buf = g.in.Drain(append(buf[:0], i), batchSize)
			for _, i := range buf {
				g.handle(i)
			}
		case <-timer:
			timer = g.clock.After(tick)
			g.node.Tick(g.clock.Now())
		case <-g.done:
			return nil
		}
		if err := g.drive(); err != nil {
			return err
		}
		g.publish()
	}
}

// Stop ends Run.
func (g *Group[S, C]) Stop() { close(g.done) }

func (g *Group[S, C]) handle(i input) {
	now := g.clock.Now()
	switch {
	case i.messages != nil:
		for _, m := range i.messages {
			_ = g.node.Step(m, now)
		}
	case i.change != nil:
		c := *i.change
		c.Time = now
		index, term, err := g.node.Propose(g.codec.EncodeChange(c), now)
		if err != nil {
			i.result <- outcome{err: g.notLeader("propose", err)}
			return
		}
		g.proposed[index] = pending{term: term, result: i.result}
	case i.member != nil:
		_, _, err := g.node.ChangeMembers(*i.member, now)
		i.result <- outcome{err: err}
	case i.query != nil:
		i.query(g.state)
		i.result <- outcome{}
	case i.read:
		g.context++
		if err := g.node.Read(g.context, now); err != nil {
			i.result <- outcome{err: g.notLeader("read", err)}
			return
		}
		g.reads[g.context] = i.result
	case i.await:
		g.waiters = append(g.waiters, i)
	}
}

func (g *Group[S, C]) notLeader(op string, err error) error {
	return &Error{Op: op, Kind: KindNotLeader, Err: err, Leader: g.Status().Leader}
}

func (g *Group[S, C]) drive() error {
	for {
		out := g.node.Output()
		if out.Empty() {
			break
		}
		if out.Install != nil {
			if err := g.storage.Install(*out.Install, out.InstallData); err != nil {
				return err
			}
			s, err := g.codec.DecodeState(out.InstallData)
			if err != nil {
				return err
			}
			g.state = s
			g.snapshot = out.Install.Index
		}
		if out.Hard != nil || len(out.Append) > 0 {
			if err := g.storage.Save(out.Hard, out.Append); err != nil {
				return err
			}
		}
		g.node.Persisted()
		g.send(out.Messages, g.node.Members())
		for _, e := range out.Committed {
			g.apply(e)
		}
		g.ready = append(g.ready, out.Reads...)
		for _, id := range out.NeedSnapshot {
			if meta, data, err := g.storage.ReadSnapshot(); err == nil {
				g.node.ProvideSnapshot(id, meta, data)
			}
		}
	}
	g.settle()
	return g.compact()
}

func (g *Group[S, C]) apply(e raft.Entry) {
	var r model.Result
	if e.Kind == raft.EntryChange {
		if c, err := g.codec.DecodeChange(e.Data); err == nil {
			r = g.state.Apply(model.Version(e.Index), c)
		}
	}
	g.state.Index = model.Version(e.Index)
	if p, ok := g.proposed[e.Index]; ok {
		delete(g.proposed, e.Index)
		if p.term == e.Term {
			p.result <- outcome{result: r}
		} else {
			p.result <- outcome{err: &Error{Op: "propose", Kind: KindUnknown, Err: fmt.Errorf("another leader's change took its place")}}
		}
	}
}

func (g *Group[S, C]) settle() {
	if g.node.Role() != raft.RoleLeader {
		for i, p := range g.proposed {
			delete(g.proposed, i)
			p.result <- outcome{err: &Error{Op: "propose", Kind: KindUnknown, Err: fmt.Errorf("the leader lost its term")}}
		}
		for i, r := range g.reads {
			delete(g.reads, i)
			r <- outcome{err: g.notLeader("read", fmt.Errorf("the leader lost its term"))}
		}
	}
	for _, r := range g.ready {
		if ch, ok := g.reads[r.Context]; ok {
			delete(g.reads, r.Context)
			ch <- outcome{}
		}
	}
	g.ready = nil
	kept := g.waiters[:0]
	for _, w := range g.waiters {
		if g.state.Version > w.version {
			w.result <- outcome{}
			continue
		}
		kept = append(kept, w)
	}
	g.waiters = kept
}

func (g *Group[S, C]) compact() error {
	index := uint64(g.state.Index)
	if index < g.snapshot+g.every {
		return nil
	}
	meta, ok := g.node.Meta(index)
	if !ok {
		return nil
	}
	if err := g.storage.Snapshot(meta, g.codec.EncodeState(g.state)); err != nil {
		return err
	}
	g.node.Compact(meta)
	g.snapshot = index
	return nil
}

func (g *Group[S, C]) call(ctx context.Context, op string, i input) (model.Result, error) {
	ch := make(chan outcome, 1)
	i.result = ch
	if !g.in.Put(i) {
		return model.Result{}, &Error{Op: op, Kind: KindFull, Err: fmt.Errorf("%d requests wait", ringSize)}
	}
	select {
	case o := <-ch:
		return o.result, o.err
	case <-ctx.Done():
		return model.Result{}, &Error{Op: op, Kind: KindUnknown, Err: ctx.Err()}
	case <-g.ended:
		return model.Result{}, &Error{Op: op, Kind: KindStopped, Err: fmt.Errorf("the duty has ended")}
	}
}

// Propose hands in a change and waits until it was applied.
func (g *Group[S, C]) Propose(ctx context.Context, c model.Change) (model.Result, error) {
	return g.call(ctx, "propose", input{change: &c})
}

// Read returns once a read that starts now may be answered.
func (g *Group[S, C]) Read(ctx context.Context) error {
	_, err := g.call(ctx, "read", input{read: true})
	return err
}

// Query runs f on the state.
func (g *Group[S, C]) Query(ctx context.Context, f func(*fleet.State)) error {
	_, err := g.call(ctx, "query", input{query: f})
	return err
}

// Await returns once the table's version is above v or ctx has ended.
func (g *Group[S, C]) Await(ctx context.Context, v model.Version) {
	_, _ = g.call(ctx, "await", input{await: true, version: v})
}

// Step passes messages of other members on.
func (g *Group[S, C]) Step(ctx context.Context, all []raft.Message) error {
	if !g.in.Put(input{messages: all}) {
		return &Error{Op: "step", Kind: KindFull, Err: fmt.Errorf("%d requests wait", ringSize)}
	}
	return nil
}

// ChangeMembers makes one change of the member list.
func (g *Group[S, C]) ChangeMembers(ctx context.Context, c raft.MemberChange) error {
	_, err := g.call(ctx, "change members", input{member: &c})
	return err
}
