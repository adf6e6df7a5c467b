package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/raft"
)

// CorruptionError reports stored data that was written completely and is now missing or
// invalid. The member must not start with it: an operator wipes its data directory, after
// which it joins the group as a new member.
type CorruptionError struct {
	File   string
	Offset int64 // position in File, in bytes
	Reason string
}

// Error implements the error interface.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("corrupt file %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// RecoveredState is the state that Open read from disk.
type RecoveredState struct {
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry // the entries after Snapshot
}

// replay rebuilds the hard state and the entries from the segments, which are read in order.
type replay struct {
	hs      raft.HardState
	entries []raft.Entry
	// base is the index before entries. It is known after the first entry or reset record.
	base      uint64
	baseKnown bool
}

func (r *replay) apply(typ recordType, payload []byte) error {
	switch typ {
	case segmentRecord:
		if len(payload) != 4 || byteOrder.Uint32(payload) != formatVersion {
			return errors.New("unknown format version")
		}
		return nil
	case resetRecord:
		index, _, err := decodeReset(payload)
		r.base, r.baseKnown, r.entries = index, true, nil
		return err
	default:
		return r.applyBatch(payload)
	}
}

func (r *replay) applyBatch(payload []byte) error {
	hs, entries, err := decodeBatch(payload)
	if err != nil {
		return err
	}
	r.hs = hs
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if !r.baseKnown {
		r.base, r.baseKnown = first-1, true
	}
	last := r.base + uint64(len(r.entries))
	if first > last+1 {
		return errors.Errorf("entry %d follows entry %d", first, last)
	}
	if first <= r.base {
		// These entries replace all remaining ones. The first entry that they replaced was in
		// a segment that has been removed.
		r.base, r.entries = first-1, nil
	}
	r.entries = append(r.entries[:first-r.base-1], entries...)
	return nil
}

// entriesAfter returns the entries after the snapshot, and whether the stored log must be reset
// to the snapshot because it does not hold the snapshot's last entry. It returns an error if
// entries between the snapshot and the log are missing.
func (r *replay) entriesAfter(s raft.Snapshot) (entries []raft.Entry, reset bool, err error) {
	last := r.base + uint64(len(r.entries))
	switch {
	case !r.baseKnown || last == s.Index && len(r.entries) == 0:
		return nil, !r.baseKnown && s.Index > 0, nil
	case r.base > s.Index:
		return nil, false, errors.Errorf("log starts after index %d, but the snapshot ends at index %d", r.base, s.Index)
	case r.base == s.Index:
		return r.entries, false, nil
	case last < s.Index || r.entries[s.Index-r.base-1].Term != s.Term:
		return nil, true, nil
	default:
		return append([]raft.Entry(nil), r.entries[s.Index-r.base:]...), false, nil
	}
}

// segmentFiles returns the paths of all segments, oldest first.
func segmentFiles(dir string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+segmentExtension))
	sort.Strings(paths)
	return paths, errors.Trace(err)
}

// readSegment replays one segment. It returns the size of its valid part in bytes and the
// greatest index of an entry in it. Only the last segment may end in a torn record.
func (r *replay) readSegment(path string, last bool) (size int64, lastIndex uint64, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	at := 0
	for at < len(b) {
		typ, payload, n, err := readRecord(b[at:])
		if err != nil {
			if last && !hasValidRecordAfter(b, at) {
				break
			}
			return 0, 0, &CorruptionError{File: path, Offset: int64(at), Reason: "invalid record before valid ones"}
		}
		if err := r.apply(typ, payload); err != nil {
			return 0, 0, &CorruptionError{File: path, Offset: int64(at), Reason: err.Error()}
		}
		lastIndex = max(lastIndex, lastIndexOf(typ, payload))
		at += n
	}
	if at == 0 && !last {
		return 0, 0, &CorruptionError{File: path, Reason: "empty segment"}
	}
	return int64(at), lastIndex, nil
}

// hasValidRecordAfter reports whether a valid record starts after offset at. If so, the invalid
// record at that offset is not the torn end of the log.
func hasValidRecordAfter(b []byte, at int) bool {
	for at++; at+headerBytes <= len(b); at++ {
		if _, _, _, err := readRecord(b[at:]); err == nil {
			return true
		}
	}
	return false
}

// lastIndexOf returns the index of the last entry in a batch record, or 0 if there is none.
func lastIndexOf(typ recordType, payload []byte) uint64 {
	if typ != batchRecord {
		return 0
	}
	_, entries, err := decodeBatch(payload)
	if err != nil || len(entries) == 0 {
		return 0
	}
	return entries[len(entries)-1].Index
}
