package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"camphorridge/core/state/raft"
)

// EntryCodec encodes and decodes log entries for storage.
type EntryCodec interface {
	EncodeEntry(raft.Entry) []byte
	DecodeEntry([]byte) (raft.Entry, error)
}

// A record consists of the length of its payload (4 bytes), a CRC-32C checksum
// of the length and the payload (4 bytes), and the payload. The payload contains
// the entries of one batch, each preceded by its length (4 bytes). All numbers
// are little-endian.
//
// The checksum covers the length because a file that was extended but not
// written reads as zeros: otherwise, eight zeros would be a valid record with an
// empty payload and checksum 0.
const (
	recordHeaderSize = 8
	entryHeaderSize  = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends the record of a batch of entries to b.
func appendRecord[C EntryCodec](codec C, b []byte, batch []raft.Entry) []byte {
	start := len(b)
	b = append(b, make([]byte, recordHeaderSize)...)
	for _, e := range batch {
		p := codec.EncodeEntry(e)
		b = binary.LittleEndian.AppendUint32(b, uint32(len(p)))
		b = append(b, p...)
	}
	payload := b[start+recordHeaderSize:]
	binary.LittleEndian.PutUint32(b[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(b[start+4:], recordSum(b[start:start+4], payload))
	return b
}

func recordSum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// parseRecord returns the payload of the record at the start of b and the size
// of the record in bytes. ok is false if there is no complete and undamaged
// record.
func parseRecord(b []byte) (payload []byte, size int, ok bool) {
	if len(b) < recordHeaderSize {
		return nil, 0, false
	}
	n := binary.LittleEndian.Uint32(b)
	if n == 0 || int64(n) > int64(len(b)-recordHeaderSize) {
		return nil, 0, false
	}
	size = recordHeaderSize + int(n)
	payload = b[recordHeaderSize:size]
	// The entry lengths are checked first because that is cheap: it rejects
	// nearly every wrong offset when a damaged file is searched for records.
	if !validEntryLengths(payload) || recordSum(b[:4], payload) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, false
	}
	return payload, size, true
}

// validEntryLengths reports whether the entry lengths add up to the size of the
// payload.
func validEntryLengths(payload []byte) bool {
	for len(payload) > 0 {
		if len(payload) < entryHeaderSize {
			return false
		}
		n := binary.LittleEndian.Uint32(payload)
		if n == 0 || int64(n) > int64(len(payload)-entryHeaderSize) {
			return false
		}
		payload = payload[entryHeaderSize+int(n):]
	}
	return true
}

// containsRecord reports whether an undamaged record starts anywhere in b.
func containsRecord(b []byte) bool {
	for off := range b {
		if _, _, ok := parseRecord(b[off:]); ok {
			return true
		}
	}
	return false
}

// decodeBatch decodes the entries of a payload returned by parseRecord. It fails
// if their indexes do not increase by 1.
func decodeBatch[C EntryCodec](codec C, payload []byte) ([]raft.Entry, error) {
	var batch []raft.Entry
	for len(payload) > 0 {
		n := int(binary.LittleEndian.Uint32(payload))
		e, err := codec.DecodeEntry(payload[entryHeaderSize : entryHeaderSize+n])
		if err != nil {
			return nil, err
		}
		if k := len(batch); k > 0 && e.Index != batch[k-1].Index+1 {
			return nil, fmt.Errorf("entry %d follows entry %d", e.Index, batch[k-1].Index)
		}
		batch = append(batch, e)
		payload = payload[entryHeaderSize+n:]
	}
	return batch, nil
}
