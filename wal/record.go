package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/raft"
)

// A record consists of the payload's length (uint32), the CRC-32C of type and payload (uint32),
// the type (uint8) and the payload. Numbers are little-endian.
const (
	headerBytes = 9
	// maxRecordBytes is the maximum size of a payload; a greater length means corruption.
	maxRecordBytes = 64 << 20
)

type recordType uint8

const (
	// segmentRecord is the first record of a segment: the format version (uint32).
	segmentRecord recordType = iota + 1
	// batchRecord is a hard state and the entries synced with it. With one record per sync, a
	// partly written batch is a single invalid record at the end of the log.
	batchRecord
	// resetRecord discards all entries before it. It holds the index and term of the snapshot
	// that the log continues from.
	resetRecord
)

const (
	formatVersion    = 1
	hardStateBytes   = 24
	entryHeaderBytes = 21
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	byteOrder  = binary.LittleEndian
)

// errInvalidRecord is returned for bytes that are not a valid record or payload.
const errInvalidRecord = errors.ConstError("invalid record")

// checksum returns the CRC-32C of type and payload.
func checksum(typ recordType, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum([]byte{byte(typ)}, castagnoli), castagnoli, payload)
}

func appendRecord(b []byte, typ recordType, payload []byte) []byte {
	b = byteOrder.AppendUint32(b, uint32(len(payload)))
	b = byteOrder.AppendUint32(b, checksum(typ, payload))
	b = append(b, byte(typ))
	return append(b, payload...)
}

// readRecord returns the record at the start of b and its total size in bytes, or
// errInvalidRecord. payload is a part of b.
func readRecord(b []byte) (typ recordType, payload []byte, size int, err error) {
	if len(b) < headerBytes {
		return 0, nil, 0, errInvalidRecord
	}
	length := int(byteOrder.Uint32(b))
	typ = recordType(b[8])
	if typ < segmentRecord || typ > resetRecord || length > maxRecordBytes || length > len(b)-headerBytes {
		return 0, nil, 0, errInvalidRecord
	}
	payload = b[headerBytes : headerBytes+length]
	if checksum(typ, payload) != byteOrder.Uint32(b[4:]) {
		return 0, nil, 0, errInvalidRecord
	}
	return typ, payload, headerBytes + length, nil
}

func encodeBatch(hs raft.HardState, entries []raft.Entry) []byte {
	b := byteOrder.AppendUint64(nil, hs.Term)
	b = byteOrder.AppendUint64(b, hs.Vote)
	b = byteOrder.AppendUint64(b, hs.Commit)
	for _, e := range entries {
		b = byteOrder.AppendUint64(b, e.Index)
		b = byteOrder.AppendUint64(b, e.Term)
		b = append(b, byte(e.Type))
		b = byteOrder.AppendUint32(b, uint32(len(e.Data)))
		b = append(b, e.Data...)
	}
	return b
}

func decodeBatch(b []byte) (hs raft.HardState, entries []raft.Entry, err error) {
	if len(b) < hardStateBytes {
		return hs, nil, errInvalidRecord
	}
	hs = raft.HardState{Term: byteOrder.Uint64(b), Vote: byteOrder.Uint64(b[8:]), Commit: byteOrder.Uint64(b[16:])}
	for b = b[hardStateBytes:]; len(b) > 0; {
		if len(b) < entryHeaderBytes {
			return hs, nil, errInvalidRecord
		}
		length := int(byteOrder.Uint32(b[17:]))
		e := raft.Entry{Index: byteOrder.Uint64(b), Term: byteOrder.Uint64(b[8:]), Type: raft.EntryType(b[16])}
		b = b[entryHeaderBytes:]
		if length > len(b) {
			return hs, nil, errInvalidRecord
		}
		e.Data = append([]byte(nil), b[:length]...)
		entries = append(entries, e)
		b = b[length:]
	}
	return hs, entries, nil
}

func encodeReset(index, term uint64) []byte {
	return byteOrder.AppendUint64(byteOrder.AppendUint64(nil, index), term)
}

func decodeReset(b []byte) (index, term uint64, err error) {
	if len(b) != 16 {
		return 0, 0, errInvalidRecord
	}
	return byteOrder.Uint64(b), byteOrder.Uint64(b[8:]), nil
}
