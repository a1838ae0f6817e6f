package raft

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"camphorridge/core/state/clock"
)

// disk is the state of a host that survives a crash.
type disk struct {
	hard    HardState
	snap    SnapshotMeta
	data    []byte
	entries []Entry
}

func (d *disk) last() uint64 { return d.snap.Index + uint64(len(d.entries)) }

// write stores the hard state and the entries of an output, or the part of them
// that was written before a crash.
func (d *disk) write(hard *HardState, entries []Entry) {
	if hard != nil {
		d.hard = *hard
	}
	if len(entries) > 0 {
		keep := entries[0].Index - d.snap.Index - 1
		d.entries = append(slices.Clone(d.entries[:keep]), entries...)
	}
}

// host is a machine with a disk. node is nil while the host is down.
type host struct {
	self Member
	// wanted is set if the host should be a member of the group.
	wanted bool
	// partition is the side of a network partition that the host is on; only
	// hosts on the same side can communicate.
	partition int
	node      *Node
	disk      disk
	// writing is the output whose write is in progress, and writeDue is the time
	// at which that write completes.
	writing  *Output
	writeDue clock.Millis
	slowDisk bool
	// frozen is set while the process is paused and gets no processor time.
	frozen bool
	// value, applied and commit are the volatile state of the running node.
	value   int64
	applied uint64
	commit  uint64
	// pendingWrites holds the unanswered writes by log index, and pendingReads
	// the positions of the unanswered reads in the history by read context.
	pendingWrites map[uint64]pendingWrite
	pendingReads  map[uint64]int
}

// pendingWrite is the term of a proposed write and its position in the history.
type pendingWrite struct {
	term uint64
	op   int
}

// inFlight is a message that is delivered at due.
type inFlight struct {
	m   Message
	due clock.Millis
}

// world is a simulation of a group: hosts with disks, a network and a clock. It
// checks election safety, leader completeness, log matching and state machine
// safety, and that terms, votes and acknowledged entries are on disk before a
// message reports them.
type world struct {
	random  *rand.Rand
	now     clock.Millis
	hosts   []*host
	network []inFlight
	lastID  MemberID
	cfg     Config
	// snapshotInterval is the number of applied entries between two snapshots.
	snapshotInterval uint64
	lossPercent      int
	duplicatePercent int
	// maxDelay is the maximum delay of a message in milliseconds; a duplicate may
	// take four times as long.
	maxDelay int
	// leaders holds the leader of each term.
	leaders map[uint64]MemberID
	// committed lists the entries that any host has applied; the entry with
	// index i is at i-1.
	committed []Entry
	history   []porcupine.Operation
	// operationClock orders the calls and returns in history.
	operationClock int64
	// installs counts the installed snapshots, and wipes the lost disks.
	installs int
	wipes    int
	// err is the first failure.
	err error
}

// request is a client operation on the replicated register.
type request struct {
	kind     byte
	old, new int64
}

// The kinds of request. Tests choose one by its position in "wcr".
const (
	opWrite          = 'w'
	opCompareAndSwap = 'c'
	opRead           = 'r'
	// noReturn is the return time of an operation without an answer.
	noReturn = int64(1) << 62
)

// register is the sequential model of the register. The output of a read is the
// value, and the output of a compare-and-swap is 1 if it replaced the value and 0
// otherwise. An output of -1 means that the client has not received the outcome.
var register = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		value, in, out := state.(int64), input.(request), output.(int64)
		switch in.kind {
		case opRead:
			return out == value, value
		case opWrite:
			return true, in.new
		}
		swapped := value == in.old
		if out >= 0 && (out == 1) != swapped {
			return false, value
		}
		if swapped {
			return true, in.new
		}
		return true, value
	},
}

func newWorld(seed uint64, hosts, wanted int) *world {
	r := rand.New(rand.NewPCG(seed, 1))
	w := &world{
		random: r, now: 1000, leaders: map[uint64]MemberID{}, snapshotInterval: uint64(4 + r.IntN(20)), maxDelay: 10,
		cfg: Config{ElectionTimeout: 100, HeartbeatInterval: 20, MaxAppendBytes: 60 + r.IntN(400), ChunkBytes: 4 + r.IntN(30), KeepEntries: uint64(r.IntN(6)), Seed: seed},
	}
	var first []Member
	for i := range hosts {
		h := &host{wanted: i < wanted, self: w.newMember()}
		w.hosts = append(w.hosts, h)
		if h.wanted {
			m := h.self
			m.Voter = true
			first = append(first, m)
		}
	}
	for _, h := range w.hosts {
		if h.wanted {
			h.disk.snap.Members = first
		}
		w.start(h)
	}
	return w
}

func (w *world) newMember() Member {
	w.lastID++
	return Member{ID: w.lastID}
}

func (w *world) failf(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %d ms: %w", w.now, fmt.Errorf(format, args...))
	}
}

func (w *world) start(h *host) {
	h.node = New(w.cfg, StoredState{Self: h.self, Hard: h.disk.hard, Snapshot: h.disk.snap, Entries: slices.Clone(h.disk.entries)}, w.now)
	h.load(h.disk.snap, h.disk.data)
	h.commit = 0
	h.pendingWrites, h.pendingReads, h.writing = map[uint64]pendingWrite{}, map[uint64]int{}, nil
}

func (h *host) load(meta SnapshotMeta, data []byte) {
	h.value, h.applied = 0, meta.Index
	if len(data) >= 8 {
		h.value = int64(binary.BigEndian.Uint64(data))
	}
}

// crash stops a host. A write in progress is lost, or a random part of it is
// kept.
func (w *world) crash(h *host) {
	if out := h.writing; out != nil && w.random.IntN(2) == 0 {
		hard := []*HardState{out.Hard, nil}[w.random.IntN(2)]
		h.disk.write(hard, out.Append[:w.random.IntN(len(out.Append)+1)])
	}
	h.node, h.writing, h.frozen = nil, nil, false
}

// wipe crashes a host and restarts it with an empty disk and a new member ID.
func (w *world) wipe(h *host) {
	w.crash(h)
	w.wipes++
	h.self, h.disk = w.newMember(), disk{}
	w.start(h)
}

func (w *world) byID(id MemberID) *host {
	for _, h := range w.hosts {
		if h.self.ID == id {
			return h
		}
	}
	return nil
}

// run advances the time by step, delivers the messages that are due and lets
// every host tick and process its output.
func (w *world) run(step clock.Millis) {
	w.now += step
	due := w.network[:0:0]
	rest := w.network[:0:0]
	for _, f := range w.network {
		to := w.byID(f.m.To)
		if f.due <= w.now && (to == nil || !to.frozen) {
			due = append(due, f)
		} else {
			rest = append(rest, f)
		}
	}
	w.network = rest
	for _, f := range due {
		w.deliver(f.m)
	}
	for _, h := range w.hosts {
		if h.node != nil && !h.frozen {
			h.node.Tick(w.now)
			w.process(h)
		}
	}
}

func (w *world) deliver(m Message) {
	h, from := w.byID(m.To), w.byID(m.From)
	if h == nil || h.node == nil || (from != nil && from.partition != h.partition) {
		return
	}
	if err := h.node.Step(m, w.now); err != nil {
		w.failf("host %d: %w", m.To, err)
	}
	w.process(h)
}

// process completes a write that is due and starts the next one, until a write is
// in progress or the node has no more output.
func (w *world) process(h *host) {
	for h.node != nil && w.err == nil {
		w.check(h)
		if h.writing == nil {
			out := h.node.Output()
			if out.Empty() {
				return
			}
			w.checkHard(h, out.Hard)
			h.writing, h.writeDue = &out, w.now
			if len(out.Append) > 0 || out.Hard != nil {
				h.writeDue += clock.Millis(w.random.IntN(3))
				if h.slowDisk {
					h.writeDue += clock.Millis(w.random.IntN(150))
				}
			}
		}
		if h.writeDue > w.now {
			return
		}
		w.completeWrite(h)
	}
}

// completeWrite completes the write in progress and then sends the messages,
// applies the entries and answers the reads of the output.
func (w *world) completeWrite(h *host) {
	out := h.writing
	h.writing = nil
	h.disk.write(out.Hard, out.Append)
	if out.Install != nil {
		h.disk.snap, h.disk.data, h.disk.entries = *out.Install, out.InstallData, nil
		h.load(*out.Install, out.InstallData)
		w.installs++
	}
	h.node.Persisted()
	for _, m := range out.Messages {
		w.checkSynced(h, m)
		w.sendMessage(m)
	}
	for _, e := range out.Committed {
		w.apply(h, e)
	}
	for _, r := range out.Reads {
		w.answerRead(h, r)
	}
	for _, id := range out.NeedSnapshot {
		h.node.ProvideSnapshot(id, h.disk.snap, h.disk.data)
	}
	if h.applied >= h.disk.snap.Index+w.snapshotInterval {
		w.snapshot(h)
	}
}

func (w *world) snapshot(h *host) {
	meta, ok := h.node.SnapshotMetaAt(h.applied)
	if !ok {
		// The log was replaced by a snapshot while these entries were written.
		if h.node.install == nil {
			w.failf("host %d has no snapshot description for applied index %d", h.self.ID, h.applied)
		}
		return
	}
	h.disk.entries = slices.Clone(h.disk.entries[meta.Index-h.disk.snap.Index:])
	h.disk.snap = meta
	h.disk.data = binary.BigEndian.AppendUint64(nil, uint64(h.value))
	h.disk.data = append(h.disk.data, make([]byte, 30)...)
	h.node.Compact(meta)
}

func (w *world) sendMessage(m Message) {
	if w.random.IntN(100) < w.lossPercent {
		return
	}
	w.network = append(w.network, inFlight{m, w.now + clock.Millis(1+w.random.IntN(w.maxDelay))})
	if w.random.IntN(100) < w.duplicatePercent {
		w.network = append(w.network, inFlight{m, w.now + clock.Millis(1+w.random.IntN(4*w.maxDelay))})
	}
}

// apply applies an entry, checks state machine safety and answers the client.
func (w *world) apply(h *host, e Entry) {
	if e.Index != h.applied+1 {
		w.failf("host %d applied entry %d after entry %d", h.self.ID, e.Index, h.applied)
	}
	h.applied = e.Index
	switch known := uint64(len(w.committed)); {
	case e.Index == known+1:
		w.committed = append(w.committed, e)
	case e.Index > known+1:
		w.failf("host %d applied entry %d before any host applied entry %d", h.self.ID, e.Index, known+1)
	case w.committed[e.Index-1].Term != e.Term || string(w.committed[e.Index-1].Data) != string(e.Data):
		w.failf("host %d applied a different entry at index %d", h.self.ID, e.Index)
	}
	result := int64(0)
	if e.Kind == EntryChange {
		result = h.change(decodeRequest(e.Data))
	}
	if wait, ok := h.pendingWrites[e.Index]; ok && wait.term == e.Term {
		w.reply(wait.op, result)
	}
	delete(h.pendingWrites, e.Index)
}

func (h *host) change(q request) int64 {
	if q.kind == opCompareAndSwap && h.value != q.old {
		return 0
	}
	h.value = q.new
	return 1
}

func (q request) encode() []byte {
	b := binary.BigEndian.AppendUint64([]byte{q.kind}, uint64(q.old))
	return binary.BigEndian.AppendUint64(b, uint64(q.new))
}

func decodeRequest(b []byte) request {
	return request{b[0], int64(binary.BigEndian.Uint64(b[1:])), int64(binary.BigEndian.Uint64(b[9:]))}
}

// submit submits a request to a host, which may be a stale leader. A frozen
// process resumes with the request, before its clock has advanced.
func (w *world) submit(h *host, q request) {
	h.frozen = false
	if h.node == nil {
		return
	}
	op := len(w.history)
	w.operationClock++
	record := porcupine.Operation{ClientId: op, Input: q, Call: w.operationClock, Output: int64(-1), Return: noReturn}
	if q.kind == opRead {
		if h.node.ReadIndex(uint64(op), w.now) != nil {
			return
		}
		h.pendingReads[uint64(op)] = op
	} else {
		index, term, err := h.node.Propose(q.encode(), w.now)
		if err != nil {
			return
		}
		h.pendingWrites[index] = pendingWrite{term, op}
	}
	w.history = append(w.history, record)
	w.process(h)
}

func (w *world) reply(op int, result int64) {
	w.operationClock++
	w.history[op].Output, w.history[op].Return = result, w.operationClock
}

func (w *world) answerRead(h *host, r ReadReady) {
	if r.Index > h.applied {
		w.failf("host %d answers a read at index %d, but has applied entries only up to index %d", h.self.ID, r.Index, h.applied)
	}
	if op, ok := h.pendingReads[r.Context]; ok {
		w.reply(op, h.value)
		delete(h.pendingReads, r.Context)
	}
}

// linearizable reports whether the client history is linearizable. Reads without
// an answer do not constrain the history and are left out.
func (w *world) linearizable() bool {
	done := slices.DeleteFunc(slices.Clone(w.history), func(o porcupine.Operation) bool {
		return o.Input.(request).kind == opRead && o.Return == noReturn
	})
	return porcupine.CheckOperations(register, done)
}

// leader returns the leader with the highest term, or nil if there is none.
func (w *world) leader() *host {
	var best *host
	for _, h := range w.hosts {
		if h.node != nil && h.node.Role() == RoleLeader && (best == nil || h.node.Term() > best.node.Term()) {
			best = h
		}
	}
	return best
}

// reconcile makes at most one membership change towards the wanted hosts.
func (w *world) reconcile() {
	l := w.leader()
	if l == nil {
		return
	}
	change := func(k ChangeKind, m Member) bool {
		_, _, err := l.node.ChangeMembers(MemberChange{Kind: k, Member: m}, w.now)
		if err == nil && l.node.termAt(l.node.commit) != l.node.term {
			w.failf("leader %d changed the members before it committed an entry of its term", l.self.ID)
		}
		return err == nil
	}
	for _, m := range l.node.Members() {
		if h := w.byID(m.ID); (h == nil || !h.wanted) && change(RemoveMember, m) {
			return
		}
	}
	for _, h := range w.hosts {
		m, ok := l.node.member(h.self.ID)
		if h.wanted && ((!ok && change(AddMember, h.self)) || (ok && !m.Voter && change(PromoteMember, m))) {
			return
		}
	}
}
