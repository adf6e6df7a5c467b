package raft

import "github.com/juju/errors"

// raftLog is the part of the log that is in memory: the entries after baseIndex, which is at
// or before the snapshot's index.
type raftLog struct {
	snap      Snapshot
	baseIndex uint64
	baseTerm  uint64 // term of the entry at baseIndex
	entries   []Entry
	bytes     int    // size of the data of entries
	stable    uint64 // last index known to be synced to disk
	commit    uint64
	applied   uint64
}

func newLog(snap Snapshot, entries []Entry, commit uint64) (*raftLog, error) {
	l := &raftLog{snap: snap, baseIndex: snap.Index, baseTerm: snap.Term}
	for i, e := range entries {
		if e.Index != snap.Index+1+uint64(i) {
			return nil, errors.Annotatef(ErrInvalidState, "entry %d follows entry %d", e.Index, snap.Index+uint64(i))
		}
	}
	l.entries = append(l.entries, entries...)
	l.bytes = dataBytes(l.entries)
	l.stable = l.lastIndex()
	l.commit = min(max(commit, snap.Index), l.lastIndex())
	l.applied = snap.Index
	return l, nil
}

// dataBytes returns the size of the data of entries.
func dataBytes(entries []Entry) (size int) {
	for _, e := range entries {
		size += len(e.Data)
	}
	return size
}

func (l *raftLog) firstIndex() uint64 { return l.baseIndex + 1 }

func (l *raftLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and whether the log holds that entry.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.baseIndex-1].Term, true
	}
}

func (l *raftLog) matches(index, term uint64) bool {
	have, ok := l.term(index)
	return ok && have == term
}

// slice returns a copy of the entries in [from, to], limited to limit bytes of data but at
// least one entry. A limit of 0 means none.
func (l *raftLog) slice(from, to uint64, limit int) []Entry {
	if from > to {
		return nil
	}
	part := l.entries[from-l.baseIndex-1 : to-l.baseIndex]
	size := 0
	for i, e := range part {
		size += len(e.Data)
		if i > 0 && limit > 0 && size > limit {
			part = part[:i]
			break
		}
	}
	return append([]Entry(nil), part...)
}

// append adds entries after truncating the log before the index of the first one.
func (l *raftLog) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	at := entries[0].Index
	l.bytes += dataBytes(entries) - dataBytes(l.entries[at-l.baseIndex-1:])
	// Overwriting in place is safe because slice returns copies.
	l.entries = append(l.entries[:at-l.baseIndex-1], entries...)
	l.stable = min(l.stable, at-1)
}

// extend adds one entry at the end.
func (l *raftLog) extend(e Entry) {
	l.entries = append(l.entries, e)
	l.bytes += len(e.Data)
}

// firstConflict returns the position in entries of the first one that the log does not hold
// or holds with another term, or len(entries) if there is none.
func (l *raftLog) firstConflict(entries []Entry) int {
	for i, e := range entries {
		if !l.matches(e.Index, e.Term) {
			return i
		}
	}
	return len(entries)
}

// rejectionHint returns Message.Hint for the rejection of an Append at index. It skips all
// uncommitted entries of the conflicting term, so that the leader retries once for each term.
func (l *raftLog) rejectionHint(index uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	bad, ok := l.term(index)
	if !ok {
		return l.commit
	}
	for index > l.commit {
		if term, ok := l.term(index); !ok || term != bad {
			break
		}
		index--
	}
	return index
}

// reset replaces the whole log with a snapshot.
func (l *raftLog) reset(s Snapshot) {
	l.snap = s
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.entries, l.bytes = nil, 0
	l.stable, l.commit, l.applied = s.Index, s.Index, s.Index
}

// compact records a snapshot of applied state and drops entries before it: those beyond the last
// trailingEntries and trailingBytes.
func (l *raftLog) compact(s Snapshot) {
	l.snap = s
	cut, size := s.Index, 0
	for ; cut > l.baseIndex && s.Index-cut < trailingEntries; cut-- {
		if size += len(l.entries[cut-l.baseIndex-1].Data); size > trailingBytes {
			break
		}
	}
	if cut == l.baseIndex {
		return
	}
	term, _ := l.term(cut)
	l.entries = append([]Entry(nil), l.entries[cut-l.baseIndex:]...)
	l.bytes = dataBytes(l.entries)
	l.baseIndex, l.baseTerm = cut, term
}

// isUpToDate reports whether a log that ends with the given entry is at least as up to date
// as this one, as defined by Raft's election rule.
func (l *raftLog) isUpToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || (term == last && index >= l.lastIndex())
}
