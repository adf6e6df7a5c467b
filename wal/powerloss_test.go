package wal

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/zinniapier/zinniapier/raft"
)

// sectorBytes is the unit in which an unsynced write reaches the disk or is lost.
const sectorBytes = 512

// Guards against a member that cannot start, or has lost acknowledged entries, after a power loss
// during a write: any sector of the write may be missing, zero or complete.
func TestPowerLossDuringWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "wal-power-")
		must(t, err)
		defer os.RemoveAll(dir)
		l, _, err := Open(dir)
		must(t, err)
		next := uint64(1)
		for range rapid.IntRange(0, 5).Draw(t, "saves") {
			n := uint64(rapid.IntRange(0, 40).Draw(t, "entries"))
			must(t, l.Save(raft.HardState{Term: 1}, entries(next, next+n-1, 1)))
			next += n
		}
		path, durable := l.currentSegment().path, l.size
		last := uint64(rapid.IntRange(1, 60).Draw(t, "unsynced"))
		must(t, l.Save(raft.HardState{Term: 2}, entries(next, next+last-1, 2)))
		l.Close()
		tearWrite(t, path, durable)

		l, got, err := Open(dir)
		must(t, err)
		defer l.Close()
		if uint64(len(got.Entries)) != next-1 && uint64(len(got.Entries)) != next-1+last {
			t.Fatalf("%d entries; %d were acknowledged", len(got.Entries), next-1)
		}
		must(t, l.Save(raft.HardState{Term: 3}, entries(next, next, 3)))
	})
}

// tearWrite truncates the file at a random place after its durable part and clears random sectors
// there, as a power loss does to an unsynced write.
func tearWrite(t *rapid.T, path string, durable int64) {
	b, err := os.ReadFile(path)
	must(t, err)
	b = b[:rapid.IntRange(int(durable), len(b)).Draw(t, "length")]
	for at := int(durable); at < len(b); at += sectorBytes - at%sectorBytes {
		if rapid.Bool().Draw(t, "missing") {
			clear(b[at:min(len(b), at+sectorBytes-at%sectorBytes)])
		}
	}
	must(t, os.WriteFile(path, b, fileMode))
}

// Guards against a member that cannot start after a power loss during the removal of old
// segments: any of the removed files may reappear without the others.
func TestPowerLossDuringPrune(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _, err := Open(dir)
	is.NoErr(err)
	l.segmentBytes = 1 // a segment for each save
	for i := uint64(1); i <= 5; i++ {
		is.NoErr(l.Save(raft.HardState{Term: 1, Commit: i - 1}, entries(i, i, 1)))
	}
	paths, err := segmentFiles(dir)
	is.NoErr(err)
	first, err := os.ReadFile(paths[1])
	is.NoErr(err)
	is.NoErr(l.WriteSnapshot(raft.Snapshot{Index: 4, Term: 1}))
	is.NoErr(l.Prune(4))
	l.Close()
	left, err := segmentFiles(dir)
	is.NoErr(err)
	is.True(len(left) < len(paths)-2)                 // more than one was removed
	is.NoErr(os.WriteFile(paths[1], first, fileMode)) // one of them reappears
	l, got, err := Open(dir)
	is.NoErr(err)
	is.Equal(got.Snapshot.Index, uint64(4))
	is.Equal(got.Entries, entries(5, 5, 1))
	is.NoErr(l.Save(raft.HardState{Term: 1}, entries(6, 6, 1)))
	l.Close()
	_, err = os.Stat(paths[1])
	is.True(os.IsNotExist(err))
}

// Guards against an interrupted Erase that leaves a directory that Open reports as corrupt.
func TestInterruptedErase(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _, err := Open(dir)
	is.NoErr(err)
	is.NoErr(l.Save(raft.HardState{Term: 1}, entries(1, 3, 1)))
	l.Close()
	is.NoErr(WriteFileAtomic(filepath.Join(dir, "identity.json"), []byte("x")))
	is.NoErr(WriteFileAtomic(filepath.Join(dir, eraseMarkerName), nil))
	is.NoErr(os.Remove(filepath.Join(dir, "identity.json"))) // the process stops here
	is.NoErr(FinishErase(dir))
	l, got, err := Open(dir)
	is.NoErr(err)
	defer l.Close()
	is.Equal(len(got.Entries), 0)
	is.Equal(got.HardState, raft.HardState{})
}
