package codec

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Memory that decoding takes beyond the bytes of the encoded message, with the
// conversion to domain types.
const (
	// messageBytes is for a nested message, which may be encoded in two bytes.
	messageBytes = 1024
	// elementBytes is for an element of a repeated field that is no message.
	elementBytes = 256
)

// maxPackedParts is the largest number of parts of the packed fields of one message, for
// each of its fields. An encoder writes one for each field. Decoding copies the elements
// of all earlier parts for each part.
const maxPackedParts = 16

// DecodedBytes returns the memory that decoding an encoded message takes at most beyond
// its bytes, which are copied. It returns false for a message whose packed fields have too many parts. It stops where
// the message is malformed, as decoding does.
func DecodedBytes(d protoreflect.MessageDescriptor, b []byte) (n int64, ok bool) {
	n = messageBytes
	fields := d.Fields()
	parts := 0
	for len(b) > 0 {
		number, kind, k := protowire.ConsumeTag(b)
		if k < 0 {
			return n, true
		}
		size := protowire.ConsumeFieldValue(number, kind, b[k:])
		if size < 0 {
			return n, true
		}
		value := b[k : k+size]
		b = b[k+size:]
		f := fields.ByNumber(number)
		switch {
		case f == nil:
		case kind == protowire.BytesType && f.Message() != nil:
			nested, _ := protowire.ConsumeBytes(value)
			more, ok := DecodedBytes(f.Message(), nested)
			if n += more; !ok {
				return n, false
			}
		case kind == protowire.BytesType && f.IsPacked():
			// Each byte of a packed field may be an element.
			n += elementBytes * int64(len(value))
			if parts++; parts > maxPackedParts*fields.Len() {
				return n, false
			}
		case f.IsList():
			n += elementBytes
		}
	}
	return n, true
}
