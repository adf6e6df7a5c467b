package replica

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/wal"
)

// Guards against a log that outgrows the memory of its host before a snapshot follows: hundreds of
// changes of a large configuration.
func TestLogOfLargeEntriesStaysSmall(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	const bound = 64 << 20 // a quarter of the memory of a control host
	// Packed configurations of 16 MiB take 7 s of processor time to apply, and a control host has half a core.
	const replayBound = 4 << 20
	for _, m := range g {
		m.keepsLast, m.options.SnapshotEntries = true, DefaultSnapshotEntries
	}
	g.start()
	leader := g.leader(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for range 320 {
		_, _, err := leader.replica.Propose(ctx, make([]byte, 500<<10))
		is.NoErr(err)
	}
	for _, m := range g {
		t.Logf("%d MB of log in memory, %d MB on disk", m.replica.status().LogBytes>>20, folderBytes(t, m.options.DataDir)>>20)
		is.True(m.replica.status().LogBytes < bound)
		is.True(folderBytes(t, m.options.DataDir) < 2*bound)
	}
	for _, m := range g {
		m.end()
	}
	for _, m := range g {
		log, recovered, err := wal.Open(m.options.DataDir)
		is.NoErr(err)
		log.Close()
		size := 0
		for _, e := range recovered.Entries {
			size += len(e.Data)
		}
		t.Logf("%d MB of entries to apply at the next start", size>>20)
		is.True(size < replayBound)
	}
}

func folderBytes(t *testing.T, dir string) (size int64) {
	err := filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			size += info.Size()
		}
		return err
	})
	is.New(t).NoErr(err)
	return size
}
