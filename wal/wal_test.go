package wal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/zinniapier/zinniapier/raft"
)

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

func entries(from, to, term uint64) (es []raft.Entry) {
	for i := from; i <= to; i++ {
		es = append(es, entry(i, term))
	}
	return es
}

func lastSegment(t *testing.T, dir string) string {
	paths, err := segmentFiles(dir)
	is.New(t).NoErr(err)
	return paths[len(paths)-1]
}

func flipBit(t *testing.T, path string, offset int64) {
	is := is.New(t)
	b, err := os.ReadFile(path)
	is.NoErr(err)
	b[offset] ^= 0x40
	is.NoErr(os.WriteFile(path, b, fileMode))
}

// Guards against a member that cannot start after a crash during a write, and against one that
// drops more than the incomplete write.
func TestTornLastRecord(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _, err := Open(dir)
	is.NoErr(err)
	is.NoErr(l.Save(raft.HardState{Term: 1}, entries(1, 5, 1)))
	whole := l.size
	is.NoErr(l.Save(raft.HardState{Term: 2, Vote: 7}, entries(6, 9, 2)))
	end := l.size
	l.Close()
	content, err := os.ReadFile(lastSegment(t, dir))
	is.NoErr(err)
	for cut := whole; cut < end; cut++ {
		is.NoErr(os.WriteFile(lastSegment(t, dir), content[:cut], fileMode))
		l, got, err := Open(dir)
		is.NoErr(err)
		is.Equal(got.Entries, entries(1, 5, 1))
		is.Equal(got.HardState, raft.HardState{Term: 1})
		l.Close()
	}
	is.NoErr(os.WriteFile(lastSegment(t, dir), content, fileMode))
	flipBit(t, lastSegment(t, dir), end-1)
	l, got, err := Open(dir)
	is.NoErr(err)
	is.Equal(len(got.Entries), 5)
	is.NoErr(l.Save(raft.HardState{Term: 3}, entries(6, 6, 3)))
	l.Close()
	l, got, err = Open(dir)
	is.NoErr(err)
	is.Equal(got.Entries, append(entries(1, 5, 1), entry(6, 3)))
	l.Close()
}

// Guards against synced entries that are dropped silently because the record before them is
// corrupt.
func TestCorruptRecordBeforeValidOnes(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _, err := Open(dir)
	is.NoErr(err)
	at := l.size
	is.NoErr(l.Save(raft.HardState{Term: 1}, entries(1, 5, 1)))
	end := l.size
	is.NoErr(l.Save(raft.HardState{Term: 1}, entries(6, 9, 1)))
	l.Close()
	for offset := at; offset < end; offset++ {
		flipBit(t, lastSegment(t, dir), offset)
		_, _, err = Open(dir)
		var corruption *CorruptionError
		is.True(errors.As(err, &corruption))
		is.Equal(corruption.File, lastSegment(t, dir))
		is.Equal(corruption.Offset, at)
		flipBit(t, lastSegment(t, dir), offset)
	}
}

// Guards against a log that opens although a closed segment is corrupt or missing, or a snapshot
// is corrupt.
func TestCorruptFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _, err := Open(dir)
	is.NoErr(err)
	l.segmentBytes = 200
	for i := uint64(1); i <= 20; i++ {
		is.NoErr(l.Save(raft.HardState{Term: 1}, entries(i, i, 1)))
	}
	is.NoErr(l.WriteSnapshot(raft.Snapshot{Index: 3, Term: 1, Data: []byte("state")}))
	snapshot := filepath.Join(dir, snapshotName(3))
	closed := l.segments[1].path
	is.True(len(l.segments) > 3)
	l.Close()
	content, err := os.ReadFile(closed)
	is.NoErr(err)
	var corruption *CorruptionError

	flipBit(t, closed, int64(len(content)-1)) // the last record of a closed segment cannot be torn
	_, _, err = Open(dir)
	is.True(errors.As(err, &corruption))
	is.NoErr(os.Remove(closed))
	_, _, err = Open(dir)
	is.True(errors.As(err, &corruption))
	is.NoErr(os.WriteFile(closed, content, fileMode))
	flipBit(t, snapshot, 20)
	_, _, err = Open(dir)
	is.True(errors.As(err, &corruption))
	is.Equal(corruption.File, snapshot)
	flipBit(t, snapshot, 20)
	l, got, err := Open(dir)
	is.NoErr(err)
	is.Equal(got.Entries, entries(4, 20, 1))
	is.Equal(got.Snapshot.Data, []byte("state"))
	_, _, err = Open(dir)
	is.True(err != nil) // the directory is in use
	l.Close()
}

// Guards against the rejection of a valid log whose oldest segment holds only replaced entries,
// where the replacing batch starts with an entry of a segment that has been removed. TestModel
// found this case.
func TestReplacedEntriesInOldestSegment(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _, err := Open(dir)
	is.NoErr(err)
	l.segmentBytes = 1 // one segment for each batch
	is.NoErr(l.Save(raft.HardState{Term: 1}, entries(1, 1, 1)))
	is.NoErr(l.Save(raft.HardState{Term: 1}, entries(2, 2, 1)))
	is.NoErr(l.Save(raft.HardState{Term: 2, Commit: 2}, entries(1, 3, 2)))
	is.NoErr(l.WriteSnapshot(raft.Snapshot{Index: 1, Term: 2}))
	is.NoErr(l.Prune(1))
	l.Close()
	l, got, err := Open(dir)
	is.NoErr(err)
	is.Equal(got.Entries, entries(2, 3, 2))
	l.Close()
}

// model is the state that a correct log must return.
type model struct {
	hs   raft.HardState
	snap raft.Snapshot
	es   []raft.Entry
}

func (m *model) last() uint64 { return m.snap.Index + uint64(len(m.es)) }

func (m *model) check(t *rapid.T, got RecoveredState) {
	want := m.hs
	want.Commit = max(want.Commit, m.snap.Index)
	want.Term = max(want.Term, m.snap.Term)
	if got.HardState != want || got.Snapshot.Index != m.snap.Index || !bytes.Equal(got.Snapshot.Data, m.snap.Data) {
		t.Fatalf("got %+v, snapshot %d; want %+v, snapshot %d", got.HardState, got.Snapshot.Index, want, m.snap.Index)
	}
	if fmt.Sprint(got.Entries) != fmt.Sprint(m.es) {
		t.Fatalf("got entries %v; want %v", got.Entries, m.es)
	}
}

// Guards against sequences of appends, overwrites, snapshots, installed snapshots, segment
// rotations, crashes and torn writes after which the log returns other data than was saved.
func TestModel(t *testing.T) {
	base := t.TempDir()
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		dir := filepath.Join(base, fmt.Sprint(run))
		defer os.RemoveAll(dir)
		var m model
		var l *Log
		open := func(t *rapid.T) {
			if l != nil {
				l.Close()
			}
			opened, got, err := Open(dir)
			must(t, err)
			l = opened
			l.segmentBytes = 300
			m.check(t, got)
		}
		open(t)
		t.Repeat(map[string]func(*rapid.T){
			"save": func(t *rapid.T) {
				m.hs.Term += uint64(rapid.IntRange(0, 1).Draw(t, "term"))
				m.hs.Term = max(m.hs.Term, m.snap.Term, 1)
				from := rapid.Uint64Range(max(m.hs.Commit, m.snap.Index)+1, m.last()+1).Draw(t, "from")
				es := entries(from, from+rapid.Uint64Range(0, 5).Draw(t, "n"), m.hs.Term)
				m.es = append(m.es[:from-m.snap.Index-1:from-m.snap.Index-1], es...)
				m.hs.Commit = rapid.Uint64Range(max(m.hs.Commit, m.snap.Index), m.last()).Draw(t, "commit")
				must(t, l.Save(m.hs, es))
			},
			"snapshot": func(t *rapid.T) {
				if m.hs.Commit <= m.snap.Index {
					return
				}
				at := rapid.Uint64Range(m.snap.Index+1, m.hs.Commit).Draw(t, "at")
				e := m.es[at-m.snap.Index-1]
				m.es = m.es[at-m.snap.Index:]
				m.snap = raft.Snapshot{Index: at, Term: e.Term, Data: e.Data}
				must(t, l.WriteSnapshot(m.snap))
				if rapid.Bool().Draw(t, "prune") {
					must(t, l.Prune(at))
				}
			},
			"install": func(t *rapid.T) {
				term := max(m.hs.Term, m.snap.Term) + 1
				at := rapid.Uint64Range(max(m.hs.Commit, m.snap.Index)+1, m.last()+5).Draw(t, "at")
				m.snap = raft.Snapshot{Index: at, Term: term, Data: []byte("installed")}
				m.es = nil
				if !rapid.Bool().Draw(t, "crash") {
					must(t, l.InstallSnapshot(m.snap))
					return
				}
				must(t, l.WriteSnapshot(m.snap)) // without the reset of the log
				open(t)
				m.hs = l.hs
			},
			"reopen": open,
			"torn": func(t *rapid.T) {
				b := appendRecord(nil, batchRecord, encodeBatch(m.hs, entries(m.last()+1, m.last()+3, m.hs.Term+1)))
				b = b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]
				_, err := l.file.Write(b)
				must(t, err)
				open(t)
			},
		})
		l.Close()
	})
}

func must(t interface{ Fatal(...any) }, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// BenchmarkSave measures the synced write of a single entry.
func BenchmarkSave(b *testing.B) {
	l, _, err := Open(b.TempDir())
	must(b, err)
	defer l.Close()
	for i := uint64(1); b.Loop(); i++ {
		must(b, l.Save(raft.HardState{Term: 1}, entries(i, i, 1)))
	}
}
