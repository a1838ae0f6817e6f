package codec

import (
	"google.golang.org/protobuf/proto"

	"camphorridge/core/state/fleet"
	"camphorridge/core/state/model"
	"camphorridge/core/state/raft"
	"camphorridge/io/proto/wirepb"
)

// Codec encodes changes, log entries and replicated states as bytes and decodes
// them. It holds no data; components that store entries or propose changes take
// it as a type parameter.
type Codec struct{}

// EncodeChange returns the stored form of a change.
func (Codec) EncodeChange(c model.Change) []byte { return encode(ChangeToWire(c)) }

// DecodeChange is the inverse of EncodeChange.
func (Codec) DecodeChange(b []byte) (model.Change, error) {
	return decode("change", b, &wirepb.Change{}, ChangeFromWire)
}

// EncodeEntry returns the stored form of a log entry.
func (Codec) EncodeEntry(e raft.Entry) []byte { return encode(LogEntryToWire(e)) }

// DecodeEntry is the inverse of EncodeEntry.
func (Codec) DecodeEntry(b []byte) (raft.Entry, error) {
	return decode("log entry", b, &wirepb.LogEntry{}, LogEntryFromWire)
}

// EncodeState returns the stored form of the replicated state. Equal states give
// equal bytes.
func (Codec) EncodeState(s *fleet.State) []byte { return encode(StateToWire(s)) }

// DecodeState is the inverse of EncodeState. Every later change has the same
// result on the decoded state as on the encoded one, because the times at which
// results and claims expire and their order are restored too.
func (Codec) DecodeState(b []byte) (*fleet.State, error) {
	return decode("state", b, &wirepb.FleetSnapshot{}, StateFromWire)
}

// encode returns the deterministic protobuf encoding of m. Marshalling does not
// fail, because the ToWire functions make every string valid UTF-8 and no message
// has a required field.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic("codec: cannot marshal a converted message: " + err.Error())
	}
	return b
}

// decode parses b into m and converts m to a value with from. If b cannot be
// parsed, the error has op as its Op; errors of from are returned unchanged.
func decode[M proto.Message, V any](op string, b []byte, m M, from func(M) (V, error)) (V, error) {
	if err := proto.Unmarshal(b, m); err != nil {
		var zero V
		return zero, &Error{Op: op, Kind: KindEncoding, Err: err}
	}
	return from(m)
}
