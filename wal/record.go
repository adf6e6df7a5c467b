package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/raft"
)

// A record is: length of the payload (uint32), CRC-32C of type and payload (uint32),
// type (uint8), payload. Numbers are little-endian.
const (
	headerBytes = 9
	// maxRecordBytes bounds the payload; a length beyond it is damage.
	maxRecordBytes = 64 << 20
)

type recordType uint8

const (
	// segmentRecord opens a segment: format version (uint32).
	segmentRecord recordType = iota + 1
	// batchRecord is a hard state and the entries synced with it. One record for each
	// sync makes a half-written batch a single broken record at the end of the log.
	batchRecord
	// resetRecord voids all entries before it: index and term of the snapshot that the
	// log continues from.
	resetRecord
)

const (
	formatVersion    = 1
	hardStateBytes   = 24
	entryHeaderBytes = 21
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	order      = binary.LittleEndian
)

// errBroken says that no valid record starts at an offset.
const errBroken = errors.ConstError("broken record")

func checksum(typ recordType, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(typ)}, castagnoli), castagnoli, payload)
}

func appendRecord(b []byte, typ recordType, payload []byte) []byte {
	b = order.AppendUint32(b, uint32(len(payload)))
	b = order.AppendUint32(b, checksum(typ, payload))
	b = append(b, byte(typ))
	return append(b, payload...)
}

// readRecord returns the record at the start of b and its size in bytes, or errBroken.
func readRecord(b []byte) (typ recordType, payload []byte, size int, err error) {
	if len(b) < headerBytes {
		return 0, nil, 0, errBroken
	}
	length := int(order.Uint32(b))
	typ = recordType(b[8])
	if typ < segmentRecord || typ > resetRecord || length > maxRecordBytes || length > len(b)-headerBytes {
		return 0, nil, 0, errBroken
	}
	payload = b[headerBytes : headerBytes+length]
	if checksum(typ, payload) != order.Uint32(b[4:]) {
		return 0, nil, 0, errBroken
	}
	return typ, payload, headerBytes + length, nil
}

func encodeBatch(hs raft.HardState, entries []raft.Entry) []byte {
	b := order.AppendUint64(nil, hs.Term)
	b = order.AppendUint64(b, hs.Vote)
	b = order.AppendUint64(b, hs.Commit)
	for _, e := range entries {
		b = order.AppendUint64(b, e.Index)
		b = order.AppendUint64(b, e.Term)
		b = append(b, byte(e.Type))
		b = order.AppendUint32(b, uint32(len(e.Data)))
		b = append(b, e.Data...)
	}
	return b
}

func decodeBatch(b []byte) (hs raft.HardState, entries []raft.Entry, err error) {
	if len(b) < hardStateBytes {
		return hs, nil, errBroken
	}
	hs = raft.HardState{Term: order.Uint64(b), Vote: order.Uint64(b[8:]), Commit: order.Uint64(b[16:])}
	for b = b[hardStateBytes:]; len(b) > 0; {
		if len(b) < entryHeaderBytes {
			return hs, nil, errBroken
		}
		length := int(order.Uint32(b[17:]))
		e := raft.Entry{Index: order.Uint64(b), Term: order.Uint64(b[8:]), Type: raft.EntryType(b[16])}
		b = b[entryHeaderBytes:]
		if length > len(b) {
			return hs, nil, errBroken
		}
		e.Data = append([]byte(nil), b[:length]...)
		entries = append(entries, e)
		b = b[length:]
	}
	return hs, entries, nil
}

func encodeReset(index, term uint64) []byte {
	return order.AppendUint64(order.AppendUint64(nil, index), term)
}

func decodeReset(b []byte) (index, term uint64, err error) {
	if len(b) != 16 {
		return 0, 0, errBroken
	}
	return order.Uint64(b), order.Uint64(b[8:]), nil
}
