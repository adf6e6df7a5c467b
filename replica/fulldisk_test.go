package replica

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/raft"
)

// fullStorage is a storage whose disk may be full: the log waits for space, snapshots fail.
type fullStorage struct {
	storage
	full *atomic.Bool
}

func (s fullStorage) await() {
	for s.full.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (s fullStorage) Save(hs raft.HardState, entries []raft.Entry) error {
	s.await()
	return s.storage.Save(hs, entries)
}

func (s fullStorage) InstallSnapshot(snap raft.Snapshot) error {
	s.await()
	return s.storage.InstallSnapshot(snap)
}

func (s fullStorage) WriteSnapshot(snap raft.Snapshot) error {
	if s.full.Load() {
		return syscall.ENOSPC
	}
	return s.storage.WriteSnapshot(snap)
}

// Guards against a group that commits nothing more after the disks of its members were full one after another, never two
// at once.
func TestFullDisksInTurnEndNoService(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	full := make([]atomic.Bool, len(g))
	for i, m := range g {
		m.options.SnapshotEntries = 20
		m.wrapStorage = func(s storage) storage { return fullStorage{s, &full[i]} }
	}
	g.start()
	g.propose(t, "before", 5)
	stop := make(chan struct{})
	var writers sync.WaitGroup
	var committed, refused atomic.Int64
	for w := range 4 {
		writers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				for _, m := range g {
					if m.replica.HoldsLease() {
						if _, _, err := m.replica.Propose(ctx, fmt.Appendf(nil, "%d-%d", w, n)); err == nil {
							committed.Add(1)
						} else {
							refused.Add(1)
						}
						break
					}
				}
				cancel()
			}
		})
	}
	for range 2 {
		for i := range g {
			full[i].Store(true)
			time.Sleep(1200 * time.Millisecond)
			full[i].Store(false)
		}
	}
	close(stop)
	writers.Wait()
	t.Logf("%d committed, %d refused meanwhile", committed.Load(), refused.Load())
	is.True(committed.Load() > refused.Load())
	for n := range 20 {
		began := time.Now()
		g.propose(t, fmt.Sprint("after-", n), 1)
		is.True(time.Since(began) < 2*time.Second)
	}
	eventually(t, "members differ", func() bool {
		for _, m := range g {
			if len(m.fsm.content()) != len(g[0].fsm.content()) {
				return false
			}
		}
		return true
	})
}
