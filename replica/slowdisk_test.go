package replica

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/raft"
)

// slowStorage delays each sync.
type slowStorage struct {
	storage
	delay *atomic.Int64 // time.Duration
}

func (s slowStorage) Save(hs raft.HardState, entries []raft.Entry) error {
	time.Sleep(time.Duration(s.delay.Load()))
	return s.storage.Save(hs, entries)
}

// slowDisk makes each further sync of the member take the returned delay. It is called before start.
func (m *testMember) slowDisk() *atomic.Int64 {
	delay := new(atomic.Int64)
	m.wrapStorage = func(s storage) storage { return slowStorage{s, delay} }
	return delay
}

// Guards against a leader that loses its lease because the disks take longer for a sync than an election
// takes: heartbeats and their responses must not wait for syncs.
func TestSlowDisksKeepTheLeader(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	var delays []*atomic.Int64
	for _, m := range g {
		delays = append(delays, m.slowDisk())
	}
	g.start()
	leader := g.leader(t)
	g.propose(t, "before", 10)
	term := leader.replica.published.Load().status.Term
	for _, d := range delays {
		d.Store(int64(2 * DefaultElectionMax))
	}
	for i := range 4 {
		done := make(chan error, 1)
		go func() {
			_, _, err := leader.replica.Propose(t.Context(), fmt.Appendf(nil, "slow %d", i))
			done <- err
		}()
		for finished := false; !finished; {
			select {
			case err := <-done:
				is.NoErr(err)
				finished = true
			case <-time.After(10 * time.Millisecond):
				is.True(leader.replica.HoldsLease())
			}
		}
	}
	is.Equal(leader.replica.published.Load().status.Term, term)
	g.converge(t, 14)
}

// Guards against a leader with a stuck disk that keeps the lead over members whose disks work.
func TestStuckDiskOfTheLeader(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	delays := map[*testMember]*atomic.Int64{}
	for _, m := range g {
		delays[m] = m.slowDisk()
	}
	g.start()
	stuck := g.leader(t)
	delays[stuck].Store(int64(3 * time.Second))
	go func() { _, _, _ = stuck.replica.Propose(t.Context(), []byte("first")) }()
	began := time.Now()
	rest := g.without(stuck)
	eventually(t, "no other leader", func() bool {
		for _, m := range rest {
			if m.replica.HoldsLease() {
				_, _, err := m.replica.Propose(t.Context(), []byte("second"))
				return err == nil
			}
		}
		return false
	})
	is.True(time.Since(began) < time.Second)
	eventually(t, "members differ", func() bool {
		list := stuck.fsm.content()
		return slices.Contains(list, "second") && slices.Equal(list, rest[0].fsm.content()) && slices.Equal(list, rest[1].fsm.content())
	})
}
