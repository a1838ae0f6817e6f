package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"camphorridge/core/state/raft"
)

// EntryCodec gives the stored form of log entries.
type EntryCodec interface {
	EncodeEntry(raft.Entry) []byte
	DecodeEntry([]byte) (raft.Entry, error)
}

// A record is the length of its payload (4 bytes), a checksum of the length
// and the payload (4 bytes), and the payload: the entries of one batch, each
// with its own length (4 bytes) in front. All numbers are little endian.
//
// The checksum covers the length because a file that was extended but not
// written reads as zeros, and an empty payload with checksum 0 would be valid.
const (
	recordHeader = 8
	entryHeader  = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends the record of a batch to b.
func appendRecord[C EntryCodec](codec C, b []byte, batch []raft.Entry) []byte {
	start := len(b)
	b = append(b, make([]byte, recordHeader)...)
	for _, e := range batch {
		p := codec.EncodeEntry(e)
		b = binary.LittleEndian.AppendUint32(b, uint32(len(p)))
		b = append(b, p...)
	}
	payload := b[start+recordHeader:]
	binary.LittleEndian.PutUint32(b[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[start+4:], recordSum(b[start:start+4], payload))
	return b
}

func recordSum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// cutRecord returns the payload of the record at the start of b and the size
// of the record; ok is false when there is no whole, undamaged record.
func cutRecord(b []byte) (payload []byte, size int, ok bool) {
	if len(b) < recordHeader {
		return nil, 0, false
	}
	n := binary.LittleEndian.Uint32(b)
	if n == 0 || int64(n) > int64(len(b)-recordHeader) {
		return nil, 0, false
	}
	size = recordHeader + int(n)
	payload = b[recordHeader:size]
	// The lengths of the entries are checked first: they refuse nearly every
	// wrong offset at once when a damaged file is searched for records.
	if !wellFormed(payload) || recordSum(b[:4], payload) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, false
	}
	return payload, size, true
}

// wellFormed reports whether the entries' lengths add up to the payload.
func wellFormed(payload []byte) bool {
	for len(payload) > 0 {
		if len(payload) < entryHeader {
			return false
		}
		n := binary.LittleEndian.Uint32(payload)
		if n == 0 || int64(n) > int64(len(payload)-entryHeader) {
			return false
		}
		payload = payload[entryHeader+int(n):]
	}
	return true
}

// holdsRecord reports whether an undamaged record starts anywhere in b.
func holdsRecord(b []byte) bool {
	for off := range b {
		if _, _, ok := cutRecord(b[off:]); ok {
			return true
		}
	}
	return false
}

// decodeBatch returns the entries of a payload that cutRecord returned. Their
// indexes must grow by 1.
func decodeBatch[C EntryCodec](codec C, payload []byte) ([]raft.Entry, error) {
	var batch []raft.Entry
	for len(payload) > 0 {
		n := int(binary.LittleEndian.Uint32(payload))
		e, err := codec.DecodeEntry(payload[entryHeader : entryHeader+n])
		if err != nil {
			return nil, err
		}
		if k := len(batch); k > 0 && e.Index != batch[k-1].Index+1 {
			return nil, fmt.Errorf("entry %d follows on entry %d", e.Index, batch[k-1].Index)
		}
		batch = append(batch, e)
		payload = payload[entryHeader+n:]
	}
	return batch, nil
}
