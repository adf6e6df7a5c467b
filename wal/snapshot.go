package wal

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/raft"
)

// snapshotPattern matches snapshot files. A snapshot file consists of the CRC-32C of the rest
// (uint32), the length of the JSON header (uint32), the header and the state.
const snapshotPattern = "*.snapshot"

type snapshotHeader struct {
	Index      uint64          `json:"index"`
	Term       uint64          `json:"term"`
	Membership raft.Membership `json:"membership"`
}

func snapshotName(index uint64) string { return fmt.Sprintf("%016x.snapshot", index) }

// WriteSnapshot stores a snapshot durably. It is safe to call while another goroutine uses the
// log.
func (l *Log) WriteSnapshot(s raft.Snapshot) error {
	header, err := json.Marshal(snapshotHeader{s.Index, s.Term, s.Membership})
	if err != nil {
		return errors.Trace(err)
	}
	body := byteOrder.AppendUint32(make([]byte, 4, 8+len(header)+len(s.Data)), uint32(len(header)))
	body = append(body, header...)
	body = append(body, s.Data...)
	byteOrder.PutUint32(body, checksum(0, body[4:]))
	return WriteFileAtomic(filepath.Join(l.dir, snapshotName(s.Index)), body)
}

func readSnapshot(path string) (s raft.Snapshot, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Trace(err)
	}
	if len(b) < 8 || checksum(0, b[4:]) != byteOrder.Uint32(b) {
		return s, &CorruptionError{File: path, Reason: "snapshot checksum does not match"}
	}
	length := int(byteOrder.Uint32(b[4:]))
	var header snapshotHeader
	if length > len(b)-8 || json.Unmarshal(b[8:8+length], &header) != nil {
		return s, &CorruptionError{File: path, Offset: 4, Reason: "malformed snapshot header"}
	}
	return raft.Snapshot{Index: header.Index, Term: header.Term, Membership: header.Membership, Data: b[8+length:]}, nil
}

// snapshotFiles returns the paths of all snapshots, oldest first.
func snapshotFiles(dir string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(dir, snapshotPattern))
	sort.Strings(paths)
	return paths, errors.Trace(err)
}

// latestSnapshot returns the snapshot with the greatest index, or an empty one if there is none.
func latestSnapshot(dir string) (s raft.Snapshot, err error) {
	paths, err := snapshotFiles(dir)
	if err != nil || len(paths) == 0 {
		return s, err
	}
	return readSnapshot(paths[len(paths)-1])
}

// removeSnapshots removes the snapshots with an index below the given one.
func removeSnapshots(dir string, index uint64) error {
	paths, err := snapshotFiles(dir)
	if err != nil {
		return err
	}
	for _, path := range paths {
		if filepath.Base(path) < snapshotName(index) {
			if err := os.Remove(path); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}
