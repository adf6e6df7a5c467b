package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/raft"
)

// CorruptionError reports stored data that was valid once and is not any more. The member
// must not continue with it; an operator wipes the disk and lets the member join anew.
type CorruptionError struct {
	File   string
	Offset int64 // in bytes
	Reason string
}

// Error implements the error interface.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("damaged file %s at offset %d: %s", e.File, e.Offset, e.Reason)
}

// RecoveredState is what was found on disk.
type RecoveredState struct {
	HardState raft.HardState
	Snapshot  raft.Snapshot
	Entries   []raft.Entry // directly after Snapshot
}

// replay rebuilds the state from the segments, in order.
type replay struct {
	hs      raft.HardState
	entries []raft.Entry
	// base is the index before entries; known after the first entry or reset.
	base      uint64
	baseKnown bool
}

func (r *replay) apply(typ recordType, payload []byte) error {
	switch typ {
	case segmentRecord:
		if len(payload) != 4 || order.Uint32(payload) != formatVersion {
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
		return errors.Errorf("entry %d follows %d", first, last)
	}
	if first <= r.base {
		// These entries replace all that is left: the first replaced one stood in a segment
		// removed since.
		r.base, r.entries = first-1, nil
	}
	r.entries = append(r.entries[:first-r.base-1], entries...)
	return nil
}

// after returns the entries that continue the snapshot, and whether the stored log must
// be reset because it does not hold the snapshot's last entry.
func (r *replay) after(s raft.Snapshot) (entries []raft.Entry, reset bool, err error) {
	last := r.base + uint64(len(r.entries))
	switch {
	case !r.baseKnown || last == s.Index && len(r.entries) == 0:
		return nil, !r.baseKnown && s.Index > 0, nil
	case r.base > s.Index:
		return nil, false, errors.Errorf("log starts after %d, but the snapshot ends at %d", r.base, s.Index)
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

// readSegment replays one segment and returns the size of its valid part. Only the last
// segment may end in a torn record.
func (r *replay) readSegment(path string, last bool) (size int64, lastIndex uint64, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	at := 0
	for at < len(b) {
		typ, payload, n, err := readRecord(b[at:])
		if err != nil {
			if last && !validAfter(b, at) {
				break
			}
			return 0, 0, &CorruptionError{File: path, Offset: int64(at), Reason: "broken record before valid ones"}
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

// validAfter says whether any valid record starts after offset at. Then the broken one
// is not a torn tail.
func validAfter(b []byte, at int) bool {
	for at++; at+headerBytes <= len(b); at++ {
		if _, _, _, err := readRecord(b[at:]); err == nil {
			return true
		}
	}
	return false
}

// lastIndexOf returns the index of the last entry of a batch, or 0.
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
