// Package wal stores the log, the hard state and the snapshots of a raft member on disk.
//
// The log is a sequence of segment files of checksummed records. Open cuts off an incomplete or
// invalid last record, which cannot hold acknowledged data, and fails with a CorruptionError on
// corruption anywhere else.
package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/raft"
)

const (
	segmentExtension = ".segment"
	lockName         = "lock"
	// segmentBytes is the size of a segment after which Save starts a new one.
	segmentBytes = 8 << 20
	// maxBatchBytes is the maximum size of the entries in one batch record, unless a single entry
	// is larger. It is below maxRecordBytes by more than an entry of raft.MaxEntryBytes and the
	// headers of many small entries.
	maxBatchBytes = 8 << 20
)

// segment is one file of the log.
type segment struct {
	path      string
	sequence  uint64
	lastIndex uint64 // greatest index of an entry in it
}

// Log is an open log. Save, InstallSnapshot, Prune and Close must not be called concurrently.
type Log struct {
	dir          string
	lock         *os.File
	file         *os.File
	size         int64
	segmentBytes int64
	segments     []segment // the last one is open for writing
	reappeared   []string  // removed segments that reappeared after a power loss
	hs           raft.HardState
	writeErr     error
	// write writes and syncs; tests replace it.
	write func(*os.File, []byte) error
	// create creates the file of a segment; tests replace it.
	create func(path string) (*os.File, error)
	// interrupt ends the wait for space on a full disk.
	interrupt     chan struct{}
	interruptOnce sync.Once
}

// Open locks the directory, which it creates if it does not exist, and reads the stored state.
// It returns a *CorruptionError if stored data is corrupt, and another error if the directory is
// in use by another process.
func Open(dir string) (*Log, RecoveredState, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, RecoveredState{}, errors.Trace(err)
	}
	lock, err := lockDir(dir)
	if err != nil {
		return nil, RecoveredState{}, err
	}
	l := &Log{dir: dir, lock: lock, segmentBytes: segmentBytes, write: writeAndSync, create: createSegment, interrupt: make(chan struct{})}
	recovered, err := l.recover()
	if err != nil {
		l.Close()
		return nil, RecoveredState{}, err
	}
	return l, recovered, nil
}

// lockDir takes the lock that prevents two processes from using one directory.
func lockDir(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Annotatef(err, "%s is in use by another process", dir)
	}
	return f, nil
}

// recover reads the stored state and makes the log ready for Save.
func (l *Log) recover() (RecoveredState, error) {
	if err := removeTempFiles(l.dir); err != nil {
		return RecoveredState{}, err
	}
	snap, err := latestSnapshot(l.dir)
	if err != nil {
		return RecoveredState{}, err
	}
	var r replay
	if err := l.readSegments(&r); err != nil {
		return RecoveredState{}, err
	}
	entries, reset, err := r.entriesAfter(snap)
	if err != nil {
		return RecoveredState{}, &CorruptionError{File: l.dir, Reason: err.Error()}
	}
	for _, path := range l.reappeared {
		if err := os.Remove(path); err != nil {
			return RecoveredState{}, errors.Trace(err)
		}
	}
	l.hs = r.hs
	if l.hs.Term < snap.Term {
		// The process stopped after it had stored the snapshot and before the term.
		l.hs.Term, l.hs.Vote = snap.Term, 0
	}
	l.hs.Commit = min(max(l.hs.Commit, snap.Index), snap.Index+uint64(len(entries)))
	if reset {
		if err := l.append(resetRecord, encodeReset(snap.Index, snap.Term)); err != nil {
			return RecoveredState{}, err
		}
	}
	// A crash may have left the last segment without the hard state that it must repeat before
	// older segments can be removed.
	if err := l.append(batchRecord, encodeBatch(l.hs, nil)); err != nil {
		return RecoveredState{}, err
	}
	return RecoveredState{HardState: l.hs, Snapshot: snap, Entries: entries}, nil
}

func removeTempFiles(dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+tempExtension))
	if err != nil {
		return errors.Trace(err)
	}
	for _, path := range paths {
		if err := os.Remove(path); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (l *Log) readSegments(r *replay) error {
	paths, err := segmentFiles(l.dir)
	if err != nil {
		return err
	}
	for i, path := range paths {
		s := segment{path: path}
		if _, err := fmt.Sscanf(filepath.Base(path), "%016x", &s.sequence); err != nil {
			return &CorruptionError{File: path, Reason: "malformed segment name"}
		}
		if n := len(l.segments); n > 0 && s.sequence != l.segments[n-1].sequence+1 {
			// Segments are removed oldest first. After a power loss, some removed segments may
			// reappear: those before the gap. If a needed segment is missing instead, the log does
			// not continue the snapshot, and recover returns an error.
			for _, old := range l.segments {
				l.reappeared = append(l.reappeared, old.path)
			}
			l.segments, *r = nil, replay{}
		}
		if l.size, s.lastIndex, err = r.readSegment(path, i == len(paths)-1); err != nil {
			return err
		}
		l.segments = append(l.segments, s)
	}
	if len(paths) == 0 {
		return l.rotate()
	}
	return l.openLast()
}

// openLast opens the last segment for writing and cuts off a torn record at its end.
func (l *Log) openLast() error {
	path := l.currentSegment().path
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return errors.Trace(err)
	}
	l.file = f
	if err := f.Truncate(l.size); err != nil {
		return errors.Trace(err)
	}
	if _, err := f.Seek(l.size, 0); err != nil {
		return errors.Trace(err)
	}
	if err := f.Sync(); err != nil {
		return errors.Trace(err)
	}
	if l.size == 0 {
		return l.append(segmentRecord, byteOrder.AppendUint32(nil, formatVersion))
	}
	return nil
}

func (l *Log) currentSegment() *segment { return &l.segments[len(l.segments)-1] }

// rotate starts a new segment. It repeats the hard state, so that older segments can be removed.
func (l *Log) rotate() error {
	next := segment{sequence: 1}
	if len(l.segments) > 0 {
		next.sequence = l.currentSegment().sequence + 1
	}
	next.path = filepath.Join(l.dir, fmt.Sprintf("%016x%s", next.sequence, segmentExtension))
	var f *os.File
	err := l.retryWhileFull(func() (err error) {
		f, err = l.create(next.path)
		return err
	})
	if err != nil {
		return errors.Trace(err)
	}
	if l.file != nil {
		_ = l.file.Close() // already synced after each write
	}
	l.file, l.size = f, 0
	l.segments = append(l.segments, next)
	if err := l.append(segmentRecord, byteOrder.AppendUint32(nil, formatVersion)); err != nil {
		return err
	}
	if err := l.append(batchRecord, encodeBatch(l.hs, nil)); err != nil {
		return err
	}
	return l.retryWhileFull(func() error { return syncDir(l.dir) })
}

// append writes and syncs one record. On a full disk it waits for space: a member that ended instead
// could not start again either. After another error the contents of the file are unknown, so every
// later call returns the same error.
func (l *Log) append(typ recordType, payload []byte) error {
	if l.writeErr != nil {
		return l.writeErr
	}
	b := appendRecord(nil, typ, payload)
	repeated := false
	err := l.retryWhileFull(func() error {
		if repeated { // a part of the record may have been written
			if err := l.rewind(); err != nil {
				return err
			}
		}
		repeated = true
		return l.write(l.file, b)
	})
	if err != nil {
		l.writeErr = errors.Annotatef(err, "write %s", l.currentSegment().path)
		return l.writeErr
	}
	l.size += int64(len(b))
	return nil
}

// Save stores and syncs the hard state and entries. The entries replace all stored entries at
// and after the index of the first one. More than maxBatchBytes are split over several syncs.
func (l *Log) Save(hs raft.HardState, entries []raft.Entry) error {
	for {
		part := firstBatch(entries)
		if err := l.saveBatch(hs, part); err != nil {
			return err
		}
		if entries = entries[len(part):]; len(entries) == 0 {
			return nil
		}
	}
}

// firstBatch returns the first entries that fit into one batch record, at least one.
func firstBatch(entries []raft.Entry) []raft.Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data) + entryHeaderBytes
		if size > maxBatchBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (l *Log) saveBatch(hs raft.HardState, entries []raft.Entry) error {
	if l.size >= l.segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	if err := l.append(batchRecord, encodeBatch(hs, entries)); err != nil {
		return err
	}
	l.hs = hs
	if n := len(entries); n > 0 {
		l.currentSegment().lastIndex = max(l.currentSegment().lastIndex, entries[n-1].Index)
	}
	return nil
}

// InstallSnapshot stores a snapshot from the leader and replaces the whole log with it.
func (l *Log) InstallSnapshot(s raft.Snapshot) error {
	if err := l.retryWhileFull(func() error { return l.WriteSnapshot(s) }); err != nil {
		return err
	}
	if err := l.append(resetRecord, encodeReset(s.Index, s.Term)); err != nil {
		return err
	}
	return l.Prune(s.Index)
}

// Prune removes older snapshots than the one at index, which must be stored, and segments that
// hold no entries after it.
func (l *Log) Prune(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].lastIndex <= index {
		if err := os.Remove(l.segments[0].path); err != nil {
			return errors.Trace(err)
		}
		l.segments = l.segments[1:]
	}
	if err := removeSnapshots(l.dir, index); err != nil {
		return err
	}
	return syncDir(l.dir)
}

// Close closes the files and releases the lock. All saved data is durable already.
func (l *Log) Close() {
	if l.file != nil {
		_ = l.file.Close()
	}
	_ = l.lock.Close()
}
