package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/internal/ports"
	"github.com/zinniapier/zinniapier/rpc"
)

// listFSM is a state machine that keeps the applied data in order.
type listFSM struct {
	mu   sync.Mutex
	list []string
	// lastOnly says that only the last item is kept.
	lastOnly bool
}

func (f *listFSM) Apply(_ uint64, data []byte) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastOnly {
		f.list = nil
	}
	f.list = append(f.list, string(data))
	return len(f.list)
}

func (f *listFSM) Snapshot() ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return json.Marshal(f.list)
}

func (f *listFSM) Restore(data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = nil
	return json.Unmarshal(data, &f.list)
}

func (f *listFSM) content() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.list)
}

// testMember is a member with its RPC server in the test process.
type testMember struct {
	t       testing.TB
	options Options
	listen  string // differs from the address behind a proxy
	fsm     *listFSM
	replica *Replica
	// keepsLast is lastOnly of its state machines.
	keepsLast bool
	// wrapStorage replaces the storage, if set.
	wrapStorage func(storage) storage
	stop        func()
}

type testGroup []*testMember

func newGroup(t testing.TB, names ...string) testGroup {
	var g testGroup
	var peers []Peer
	for _, name := range names {
		peers = append(peers, Peer{Name: name, Address: freeAddress(t)})
	}
	dir := t.TempDir()
	for _, p := range peers {
		g = append(g, &testMember{t: t, listen: p.Address, options: Options{
			Name: p.Name, Address: p.Address, OperatorAddress: "operator-" + p.Name, Peers: peers,
			DataDir: filepath.Join(dir, p.Name), SnapshotEntries: 100,
		}})
	}
	t.Cleanup(func() {
		for _, m := range g {
			m.end()
		}
	})
	return g
}

func freeAddress(t testing.TB) string {
	address, err := ports.FreeAddress()
	is.New(t).NoErr(err)
	return address
}

// start opens and serves the member.
func (m *testMember) start() {
	is := is.New(m.t)
	m.fsm = &listFSM{lastOnly: m.keepsLast}
	m.options.FSM = m.fsm
	var err error
	m.replica, err = Open(m.options)
	is.NoErr(err)
	if m.wrapStorage != nil {
		m.replica.store = m.wrapStorage(m.replica.store)
	}
	server := rpc.NewServer(nil)
	is.NoErr(m.replica.RegisterRPC(server))
	listener, err := net.Listen("tcp", m.listen)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = server.Serve(ctx, listener) })
	wait.Go(func() { _ = m.replica.Serve(ctx) })
	m.stop = func() { cancel(); wait.Wait() }
}

func (m *testMember) end() {
	if m.stop != nil {
		m.stop()
		m.stop = nil
	}
}

func (m *testMember) wipe() {
	m.end()
	is.New(m.t).NoErr(os.RemoveAll(m.options.DataDir))
}

func (g testGroup) start() {
	for _, m := range g {
		m.start()
	}
}

// leader waits for a member that holds the leader's lease.
func (g testGroup) leader(t testing.TB) *testMember {
	var found *testMember
	eventually(t, "no leader", func() bool {
		for _, m := range g {
			if m.stop != nil && m.replica.HoldsLease() {
				found = m
			}
		}
		return found != nil
	})
	return found
}

func (g testGroup) without(gone *testMember) testGroup {
	return slices.DeleteFunc(slices.Clone(g), func(m *testMember) bool { return m == gone })
}

// propose commits n entries concurrently through the leader.
func (g testGroup) propose(t testing.TB, prefix string, n int) {
	leader := g.leader(t)
	var wait sync.WaitGroup
	failed := make(chan error, n)
	for i := range n {
		wait.Go(func() {
			if _, _, err := leader.replica.Propose(t.Context(), fmt.Appendf(nil, "%s-%d", prefix, i)); err != nil {
				failed <- err
			}
		})
	}
	wait.Wait()
	close(failed)
	is.New(t).NoErr(<-failed)
}

// converge waits until all members hold the same list of n items.
func (g testGroup) converge(t testing.TB, n int) {
	eventually(t, "members differ", func() bool {
		for _, m := range g {
			if list := m.fsm.content(); len(list) != n || !slices.Equal(list, g[0].fsm.content()) {
				return false
			}
		}
		return true
	})
}

// eventually waits until f returns true. It fails after a time much longer than any election, for
// slow test machines.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal(what)
}
