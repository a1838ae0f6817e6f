package codec

import (
	"google.golang.org/protobuf/proto"

	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/io/proto/wirepb"
)

// Codec turns changes, entries and states into bytes and back. It has no
// state and serves as a type parameter of the parts that store or propose.
type Codec struct{}

// EncodeChange returns the stored form of a change.
func (Codec) EncodeChange(c model.Change) []byte { return encode(ChangeToWire(c)) }

// DecodeChange is the inverse of EncodeChange.
func (Codec) DecodeChange(b []byte) (model.Change, error) {
	return decode("change", b, &wirepb.Change{}, ChangeFromWire)
}

// EncodeEntry returns the stored form of a log entry.
func (Codec) EncodeEntry(e raft.Entry) []byte { return encode(EntryToWire(e)) }

// DecodeEntry is the inverse of EncodeEntry.
func (Codec) DecodeEntry(b []byte) (raft.Entry, error) {
	return decode("log entry", b, &wirepb.LogEntry{}, EntryFromWire)
}

// EncodeState returns the stored form of the replicated state; equal states
// give equal bytes.
func (Codec) EncodeState(s *fleet.State) []byte { return encode(StateToWire(s)) }

// DecodeState is the inverse of EncodeState. The state that it returns
// answers every later change as the encoded one.
func (Codec) DecodeState(b []byte) (*fleet.State, error) {
	return decode("state", b, &wirepb.FleetSnapshot{}, StateFromWire)
}

// encode cannot fail: every string of a message was made valid UTF-8 when it
// was mapped, and no message has a required field.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("codec: a mapped message does not marshal: " + err.Error())
	}
	return b
}

func decode[M proto.Message, V any](op string, b []byte, m M, from func(M) (V, error)) (V, error) {
	if err := proto.Unmarshal(b, m); err != nil {
		var none V
		return none, &Error{Op: op, Kind: KindEncoding, Err: err}
	}
	return from(m)
}
