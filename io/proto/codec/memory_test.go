package codec

import (
	"bytes"
	"runtime"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"gotest.tools/v3/assert"

	"camphorridge/io/proto/wirepb"
)

// TestDecodingStaysWithinDecodedBytes guards against messages that take more memory than
// is reserved for decoding them, for each list of each message: many empty elements.
func TestDecodingStaysWithinDecodedBytes(t *testing.T) {
	messages := wirepb.File_wire_proto.Messages()
	for i := range messages.Len() {
		m := messages.Get(i)
		for j := range m.Fields().Len() {
			f := m.Fields().Get(j)
			if !f.IsList() {
				continue
			}
			const elements = 20_000
			tag := protowire.AppendTag(nil, f.Number(), protowire.BytesType)
			body := bytes.Repeat(append(tag, 0), elements)
			if f.IsPacked() {
				body = protowire.AppendBytes(tag, make([]byte, elements))
			}
			x := newMessage(t, m)
			used := allocated(func() { assert.NilError(t, proto.Unmarshal(body, x)) })
			limit, ok := DecodedBytes(m, body)
			assert.Check(t, ok)
			if used > limit/2+int64(len(body)) {
				t.Errorf("%s: %d bytes, limit %d for this and the conversion", f.FullName(), used, limit)
			}
		}
	}
}

// newMessage returns an empty message of the generated type.
func newMessage(t *testing.T, d protoreflect.MessageDescriptor) proto.Message {
	t.Helper()
	m, err := protoregistry.GlobalTypes.FindMessageByName(d.FullName())
	assert.NilError(t, err)
	return m.New().Interface()
}

// allocated returns the memory that f allocates.
func allocated(f func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// TestManyPackedPartsAreRefused guards against a message that takes quadratic time to
// decode: each part of a packed field copies the elements of the earlier ones.
func TestManyPackedPartsAreRefused(t *testing.T) {
	d := (&wirepb.JobStep{}).ProtoReflect().Descriptor()
	f := d.Fields().ByName("after")
	part := protowire.AppendBytes(protowire.AppendTag(nil, f.Number(), protowire.BytesType), []byte{0})
	_, ok := DecodedBytes(d, bytes.Repeat(part, 1000))
	assert.Check(t, !ok)
	job, err := proto.Marshal(&wirepb.JobStep{After: make([]int64, 1000)})
	assert.NilError(t, err)
	_, ok = DecodedBytes(d, job)
	assert.Check(t, ok)
}
