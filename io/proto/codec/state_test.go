package codec

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"camphorridge/core/state/clock"
	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/io/proto/wirepb"
)

// entriesOf returns the keys, values and times of m, oldest first, as text.
func entriesOf[K comparable, V any](m *fleet.ExpiringMap[K, V]) []string {
	var out []string
	m.Each(func(k K, v V, t clock.Millis) { out = append(out, fmt.Sprintf("%q %+v %d", fmt.Sprint(k), v, t)) })
	return out
}

// anyState generates a state. Incarnations and GoneProcesses stay empty.
func anyState(t *rapid.T) *fleet.State {
	s := fleet.New()
	s.Index, s.Version, s.Time = 900, 800, 70_000
	for _, c := range upToThree(t, anyContract) {
		s.Contracts[c.Customer] = c
	}
	for _, i := range upToThree(t, anyInstance) {
		s.Instances[i.ID] = i
	}
	s.Maintenance["m"] = model.Maintenance{
		Name: "m", Selector: model.Selector{Pool: "p", Zone: "z", Rack: "r", Instance: "i"}, DeclaredAt: 1, Deadline: 2, Version: 3,
	}
	for n := range rapid.IntRange(0, 5).Draw(t, "remembered") {
		s.Results.Put(model.RequestID(fmt.Sprint("r", n%3)), anyResult(t), clock.Millis(n))
		s.Released.Put(fmt.Sprint("t", n%3), struct{}{}, clock.Millis(n))
		s.Claims.Put(anyClaimKey(t), fleet.ClaimRecord{Token: "t", State: model.ClaimDone, Status: 200 + n}, clock.Millis(n))
	}
	s.Outages = []model.Outage{{Instance: "i", Pool: "p", From: 1, To: 2}, {Instance: "i", From: 3, To: 4}}
	s.Authors["contract x"] = fleet.Author{Name: "ana", Version: 7}
	s.TableChanges = []fleet.TableChange{{Version: 7, Contract: "x"}, {Version: 8, Instance: "i"}}
	s.Jobs.Apply(upToThree(t, anyOp), 70_000)
	return s
}

// TestStateRoundTrip checks that a snapshot keeps every part of the state that
// anyState generates, including the times at which results and claims expire and
// their order.
func TestStateRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := anyState(t)
		b := Codec{}.EncodeState(s)
		got, err := Codec{}.DecodeState(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, entriesOf(got.Results), entriesOf(s.Results))
		assert.DeepEqual(t, entriesOf(got.Claims), entriesOf(s.Claims))
		assert.DeepEqual(t, entriesOf(got.Released), entriesOf(s.Released))
		assert.Assert(t, bytes.Equal(b, Codec{}.EncodeState(got)))
		assert.DeepEqual(t, got.Jobs, s.Jobs, cmpopts.EquateEmpty())
		got.Results, got.Claims, got.Released, got.Jobs = s.Results, s.Claims, s.Released, s.Jobs
		assert.Equal(t, fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", s))
	})
}

// anyEntry generates a log entry whose content matches its kind.
func anyEntry(t *rapid.T) raft.Entry {
	e := raft.Entry{Index: rapid.Uint64Min(1).Draw(t, "index"), Term: rapid.Uint64().Draw(t, "term")}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		e.Data = Codec{}.EncodeChange(anyChange(t))
	case 1:
		e.Kind = raft.EntryNoOp
	case 2:
		e.Kind = raft.EntryMembers
		e.Members = []raft.Member{{ID: 9, Name: "c1", Zone: "z", Address: "127.0.0.1:1", Voter: true}, {ID: 10, OldVoter: true}}
	}
	if len(e.Data) == 0 {
		e.Data = nil
	}
	return e
}

// TestRaftRoundTrip checks that no field of Raft messages, log entries and the
// durable Raft state is lost. It also checks that messages with a gap between
// entries or without a sender are rejected.
func TestRaftRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := anyEntry(t)
		e2, err := Codec{}.DecodeEntry(Codec{}.EncodeEntry(e))
		assert.NilError(t, err)
		assert.DeepEqual(t, e2, e)

		next := e
		next.Index++
		m := raft.Message{
			Kind: raft.MsgSnapshot, From: 1, To: 2, Term: 3, Index: 4, LogTerm: 5, Commit: 6, Reject: true, Hint: 7, HeartbeatRound: 8,
			Offset: 9, Chunk: []byte{1}, Last: true,
			Snapshot: raft.SnapshotMeta{Index: 1, Term: 2, Members: []raft.Member{{ID: 3, Voter: true}}},
		}
		if next.Index > e.Index {
			m.Entries = []raft.Entry{e, next}
		}
		m2, err := RaftMessageFromWire(RaftMessageToWire(m))
		assert.NilError(t, err)
		assert.DeepEqual(t, m2, m)

		h := rapid.Make[raft.HardState]().Draw(t, "hard")
		assert.Equal(t, HardStateFromWire(HardStateToWire(h)), h)
	})
	m := raft.Message{Kind: raft.MsgAppend, From: 1, To: 2, Entries: []raft.Entry{{Index: 3}, {Index: 5}}}
	_, err := RaftMessageFromWire(RaftMessageToWire(m))
	assert.ErrorContains(t, err, "entry 5 follows entry 3")
	_, err = RaftMessageFromWire(nil)
	assert.ErrorContains(t, err, "from 0 to 0")
}

// fuzzDecoder passes arbitrary bytes to dec. It fails on a panic, on an error that
// is not an *Error, and if a decoded value has another encoding after it is encoded
// and decoded once more. Each seed is used whole and cut in half.
func fuzzDecoder[V any](f *testing.F, seeds [][]byte, enc func(V) []byte, dec func([]byte) (V, error)) {
	for _, s := range seeds {
		f.Add(s)
		f.Add(s[:len(s)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		v, err := dec(b)
		var e *Error
		if err != nil {
			assert.Assert(t, errors.As(err, &e), "%T", err)
			return
		}
		stored := enc(v)
		again, err := dec(stored)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(enc(again), stored))
	})
}

// exampleSeeds returns encoded values of the generator gen as fuzzing seeds. The
// values are the same in each run, so that a failing seed can be reproduced.
func exampleSeeds[V any](gen func(*rapid.T) V, enc func(V) []byte) [][]byte {
	var out [][]byte
	for n := range 12 {
		out = append(out, enc(rapid.Custom(gen).Example(n)))
	}
	return out
}

func FuzzChange(f *testing.F) {
	c := Codec{}
	fuzzDecoder(f, exampleSeeds(anyChange, c.EncodeChange), c.EncodeChange, c.DecodeChange)
}

func FuzzEntry(f *testing.F) {
	c := Codec{}
	fuzzDecoder(f, exampleSeeds(anyEntry, c.EncodeEntry), c.EncodeEntry, c.DecodeEntry)
}

func FuzzState(f *testing.F) {
	c := Codec{}
	fuzzDecoder(f, exampleSeeds(anyState, c.EncodeState), c.EncodeState, c.DecodeState)
}

func FuzzMessage(f *testing.F) {
	gen := func(t *rapid.T) raft.Message {
		return raft.Message{Kind: raft.MsgAppend, From: 1, To: 2, Entries: []raft.Entry{anyEntry(t)}}
	}
	enc := func(m raft.Message) []byte { return encode(RaftMessageToWire(m)) }
	fuzzDecoder(f, exampleSeeds(gen, enc), enc, func(b []byte) (raft.Message, error) {
		return decode("raft message", b, &wirepb.RaftMessage{}, RaftMessageFromWire)
	})
}

func FuzzDelta(f *testing.F) {
	gen := func(t *rapid.T) model.Delta {
		return model.Delta{To: 5, Contracts: upToThree(t, anyContract), Instances: upToThree(t, anyInstance), RemovedContracts: []model.Customer{"c"}}
	}
	enc := func(d model.Delta) []byte { return encode(DeltaToWire(d)) }
	fuzzDecoder(f, exampleSeeds(gen, enc), enc, func(b []byte) (model.Delta, error) {
		return decode("delta", b, &wirepb.Delta{}, DeltaFromWire)
	})
}

func FuzzAnnouncement(f *testing.F) {
	enc := func(a model.Announcement) []byte { return encode(AnnouncementToWire(a)) }
	seed := enc(model.Announcement{Instance: "i", Zone: "z", Pool: "p", Address: "127.0.0.1:1", Incarnation: 3})
	fuzzDecoder(f, [][]byte{seed}, enc, func(b []byte) (model.Announcement, error) {
		return decode("announcement", b, &wirepb.Announcement{}, AnnouncementFromWire)
	})
}

func FuzzResult(f *testing.F) {
	enc := func(r model.Result) []byte { return encode(ResultToWire(r)) }
	fuzzDecoder(f, exampleSeeds(anyResult, enc), enc, func(b []byte) (model.Result, error) {
		return decode("result", b, &wirepb.Result{}, ResultFromWire)
	})
}
