package raft

import (
	"encoding/binary"
	"testing"

	"camphorridge/core/state/clock"
)

// byteReader draws numbers from the input of a fuzz test; it draws 0 after its end.
type byteReader []byte

func (r *byteReader) byte() byte {
	if len(*r) == 0 {
		return 0
	}
	b := (*r)[0]
	*r = (*r)[1:]
	return b
}

// number draws a small number, a number near the largest or any.
func (r *byteReader) number() uint64 {
	switch b := r.byte(); {
	case b < 200:
		return uint64(b % 12)
	case b < 220:
		return ^uint64(0) - uint64(b%4)
	}
	var buf [8]byte
	for i := range buf {
		buf[i] = r.byte()
	}
	return binary.LittleEndian.Uint64(buf[:])
}

// message draws a message with members 1 to 3 as sender and receiver and consecutive
// entries, as the decoder guarantees.
func (r *byteReader) message() Message {
	m := Message{
		Kind: MessageKind(r.byte() % byte(MsgLeave+1)), From: MemberID(r.byte()%3 + 1), To: 1, Term: r.number(), Index: r.number(), LogTerm: r.number(),
		Commit: r.number(), Reject: r.byte()%2 == 1, Hint: r.number(), HeartbeatRound: r.number(), Offset: r.number(), Last: r.byte()%2 == 1,
	}
	first := r.number()
	for i := range uint64(r.byte() % 4) {
		e := Entry{Index: first + i, Term: r.number(), Kind: EntryKind(r.byte() % byte(EntryMembers+1)), Data: []byte("x")}
		if e.Kind == EntryMembers {
			e.Members = []Member{{ID: MemberID(r.byte() % 4), Voter: true}}
		}
		m.Entries = append(m.Entries, e)
	}
	if r.byte()%2 == 1 {
		m.Chunk = make([]byte, r.byte())
		m.Snapshot = SnapshotMeta{Index: r.number(), Term: r.number(), Members: []Member{{ID: MemberID(r.byte() % 4), Voter: true}}}
	}
	return m
}

// FuzzStep guards against a message of another member, malformed or of another version,
// that ends the process. The member follows or leads.
func FuzzStep(f *testing.F) {
	f.Add([]byte{}, true)
	f.Add([]byte{byte(MsgAppend), 1, 2, 1, 1, 0, 0, 0, 0, 0, 0, 2, 1, 1, 0}, false)
	f.Add([]byte{byte(MsgAppendReply), 1, 1, 9, 1, 0, 0, 0, 0, 0, 0}, true)
	f.Fuzz(func(_ *testing.T, input []byte, leads bool) {
		members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
		now := clock.Millis(1000)
		n := New(Config{ElectionTimeout: 100, HeartbeatInterval: 20, MaxAppendBytes: 100, ChunkBytes: 10, KeepEntries: 2}, StoredState{
			Self: Member{ID: 1}, Hard: HardState{Term: 1, Commit: 2}, Snapshot: SnapshotMeta{Index: 1, Term: 1, Members: members},
			Entries: []Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}},
		}, now)
		r := byteReader(input)
		step := func(m Message) {
			_ = n.Step(m, now)
			for out := n.Output(); !out.Empty(); out = n.Output() {
				n.ConfirmDurable()
			}
		}
		if leads {
			now += 300
			n.Tick(now)
			for _, kind := range []MessageKind{MsgPreVoteReply, MsgVoteReply} {
				step(Message{Kind: kind, From: 2, To: 1, Term: 2})
			}
		}
		for len(r) > 0 {
			step(r.message())
			now += clock.Millis(r.byte())
			n.Tick(now)
		}
	})
}
