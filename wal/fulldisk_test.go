package wal

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/raft"
)

// fullDisk fails writes after half of their bytes while it is full.
type fullDisk struct{ failures, tries int }

func (d *fullDisk) write(f *os.File, data []byte) error {
	d.tries++
	if d.tries > d.failures {
		return writeAndSync(f, data)
	}
	if _, err := f.Write(data[:len(data)/2]); err != nil {
		return err
	}
	return errors.Annotate(syscall.ENOSPC, "write")
}

// Guards against a member that ends, again and again, while its disk is full, and against a log that is
// corrupt because a write to a full disk was cut short.
func TestFullDiskIsWaitedFor(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _, err := Open(dir)
	is.NoErr(err)
	is.NoErr(l.Save(raft.HardState{Term: 1}, entries(1, 2, 1)))
	disk := &fullDisk{failures: 2}
	l.write = disk.write
	began := time.Now()
	is.NoErr(l.Save(raft.HardState{Term: 1}, entries(3, 4, 1)))
	is.True(time.Since(began) >= 2*fullDiskRetry)
	is.NoErr(l.Save(raft.HardState{Term: 1}, entries(5, 6, 1)))
	l.Close()
	l, got, err := Open(dir)
	is.NoErr(err)
	is.Equal(got.Entries, entries(1, 6, 1))
	l.Close()
}

// Guards against a member with a full disk that cannot be stopped, and against one that goes on with a
// log whose end is unknown.
func TestFullDiskIsInterrupted(t *testing.T) {
	is := is.New(t)
	l, _, err := Open(t.TempDir())
	is.NoErr(err)
	defer l.Close()
	disk := &fullDisk{failures: 1000}
	l.write = disk.write
	time.AfterFunc(50*time.Millisecond, l.Interrupt)
	is.True(errors.Is(l.Save(raft.HardState{Term: 1}, entries(1, 2, 1)), syscall.ENOSPC))
	l.write = writeAndSync
	is.True(l.Save(raft.HardState{Term: 1}, entries(1, 2, 1)) != nil)
}

// Guards against a member that ends because its disk is full just when it begins a new segment.
func TestFullDiskIsWaitedForByANewSegment(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	l, _, err := Open(dir)
	is.NoErr(err)
	l.segmentBytes = 1
	tries := 0
	l.create = func(path string) (*os.File, error) {
		if tries++; tries <= 2 {
			return nil, &os.PathError{Op: "open", Path: path, Err: syscall.ENOSPC}
		}
		return createSegment(path)
	}
	is.NoErr(l.Save(raft.HardState{Term: 1}, entries(1, 2, 1)))
	is.Equal(tries, 3)
	l.Close()
	l, got, err := Open(dir)
	is.NoErr(err)
	is.Equal(got.Entries, entries(1, 2, 1))
	l.Close()
}
