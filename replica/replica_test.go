package replica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/raft"
	"github.com/zinniapier/zinniapier/wal"
)

// Guards against a group without a new leader after its leader has stopped, a restarted member that
// does not catch up, and a follower that does not know the leader's operator address.
func TestLeaderStops(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.start()
	g.propose(t, "first", 50)
	old := g.leader(t)
	old.end()
	_, _, err := old.replica.Propose(t.Context(), []byte("late"))
	is.True(err != nil)
	rest := g.without(old)
	rest.propose(t, "second", 50)
	old.start()
	g.converge(t, 100)
	leader := g.leader(t)
	follower := g.without(leader)[0]
	m, self := follower.replica.LeaderMember()
	is.True(!self)
	is.Equal(m.OperatorAddress, "operator-"+leader.options.Name)
	_, _, err = follower.replica.Propose(t.Context(), []byte("wrong"))
	is.Equal(errkind.Of(err), errkind.NotLeader)
}

// Guards against the loss of acknowledged entries when all members restart after hundreds of entries,
// with snapshots and removed segments.
func TestRestartOfAllMembers(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.start()
	for round := range 3 {
		g.propose(t, fmt.Sprint(round), 300)
		g.converge(t, 300*(round+1))
		for _, m := range g {
			m.end()
		}
		files, err := filepath.Glob(filepath.Join(g[0].options.DataDir, "*.snapshot"))
		is.NoErr(err)
		is.True(len(files) > 0)
		g.start()
		g.converge(t, 300*(round+1))
	}
}

// Guards against a host with a wiped disk that joins under its old id, is never promoted, or whose
// old id stays a member. After its promotion, the group must tolerate the failure of another host.
func TestWipedDisk(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.start()
	g.propose(t, "before", 250)
	leader := g.leader(t)
	wiped := g.without(leader)[0]
	oldID := wiped.replica.ID()
	wiped.wipe()
	g.without(wiped).propose(t, "during", 10)
	wiped.start()
	is.True(wiped.replica.ID() != oldID)
	eventually(t, "wiped member is not a voter in place of its old id", func() bool {
		members := leader.replica.Members()
		for _, m := range members {
			if m.ID == oldID || !m.Voter {
				return false
			}
		}
		return len(members) == 3
	})
	g.converge(t, 260)
	g.without(wiped)[0].end()
	var rest testGroup
	for _, m := range g {
		if m.stop != nil {
			rest = append(rest, m)
		}
	}
	rest.propose(t, "after", 10)
	rest.converge(t, 270)
}

// Guards against a member that has lost its log but not its identity and votes again under its old
// id.
func TestMissingLogIsRejected(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a")
	g.start()
	g.propose(t, "entry", 3)
	g[0].end()
	files, err := os.ReadDir(g[0].options.DataDir)
	is.NoErr(err)
	for _, f := range files {
		if f.Name() != identityName {
			is.NoErr(os.RemoveAll(filepath.Join(g[0].options.DataDir, f.Name())))
		}
	}
	_, err = Open(g[0].options)
	var corruption *wal.CorruptionError
	is.True(errors.As(err, &corruption))
}

// Guards against a leader without a quorum that keeps its lease or acknowledges a proposal.
func TestNoQuorum(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.start()
	leader := g.leader(t)
	for _, m := range g.without(leader) {
		m.end()
	}
	time.Sleep(DefaultElectionMin)
	is.True(!leader.replica.HoldsLease())
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, _, err := leader.replica.Propose(ctx, []byte("lost"))
	kind := errkind.Of(err)
	is.True(kind == errkind.NoQuorum || kind == errkind.NotLeader)
	eventually(t, "leader does not step down", func() bool {
		_, _, err := leader.replica.Propose(t.Context(), nil)
		return errkind.Of(err) == errkind.NotLeader
	})
}

// Guards against a single member that does not found its group, or loses its state in a restart.
func TestSingleMember(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "alone")
	for round := range 2 {
		g.start()
		result, _, err := g.leader(t).replica.Propose(t.Context(), []byte("x"))
		is.NoErr(err)
		is.Equal(result, round+1)
		g[0].end()
	}
}

// Guards against unknown hosts that join without an operator, removed ids that join again, and
// snapshots that do not fit into one call.
func TestAddAndRemove(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c", "new")
	added := g[3]
	for _, m := range g[:3] {
		m.options.Peers = m.options.Peers[:3]
		m.start()
	}
	old := g[:3]
	leader := old.leader(t)
	large := strings.Repeat("x", 900<<10)
	for range 4 {
		_, _, err := leader.replica.Propose(t.Context(), []byte(large))
		is.NoErr(err)
	}
	old.propose(t, "small", 150)
	added.start()
	time.Sleep(3 * joinInterval)
	is.Equal(len(leader.replica.Members()), 3) // not added yet
	peer := Peer{Name: "new", Address: added.options.Address}
	leader = old.leader(t)
	is.NoErr(leader.replica.AddMember(t.Context(), peer))
	voters := func(n int) func() bool {
		return func() bool {
			members := old.leader(t).replica.Members()
			for _, m := range members {
				if !m.Voter {
					return false
				}
			}
			return len(members) == n
		}
	}
	eventually(t, "added member is not a voter", voters(4))
	g.converge(t, 154)
	leader = old.leader(t)
	is.NoErr(leader.replica.RemoveMember(t.Context(), added.replica.ID()))
	is.Equal(errkind.Of(leader.replica.RemoveMember(t.Context(), added.replica.ID())), errkind.NotFound)
	eventually(t, "removed member is still there", voters(3))
	err := leader.replica.AddMember(t.Context(), peer)
	is.Equal(errkind.Of(err), errkind.UnknownMember)
	old.propose(t, "end", 1)
}

// Guards against a removal that leaves the group without a quorum in contact.
func TestRemovalKeepsQuorum(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	g.start()
	leader := g.leader(t)
	rest := g.without(leader)
	rest[0].end()
	time.Sleep(2 * DefaultElectionMax)
	err := leader.replica.RemoveMember(t.Context(), rest[1].replica.ID())
	is.Equal(errkind.Of(err), errkind.Conflict)
	is.NoErr(leader.replica.RemoveMember(t.Context(), rest[0].replica.ID()))
}

// Guards against the acceptance of messages to another group, or to an id that the host had before
// its disk was wiped.
func TestWrongRecipient(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a")
	g.start()
	r := g.leader(t).replica
	b := Batch{Cluster: r.self().Cluster, From: 7, To: r.ID() + 1, Messages: []raft.Message{{Type: raft.Vote, From: 7}}}
	is.Equal(errkind.Of(r.deliver(b)), errkind.UnknownMember)
	b.To, b.Cluster = r.ID(), b.Cluster+1
	is.Equal(errkind.Of(r.deliver(b)), errkind.UnknownMember)
}

// Guards against members that wait for ever on connections that no longer carry data.
func TestUnresponsiveConnections(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a", "b", "c")
	var proxies []*blackholeProxy
	for _, m := range g {
		proxies = append(proxies, startProxy(t, m))
	}
	g.start()
	g.propose(t, "before", 10)
	for _, p := range proxies {
		p.blackholeOpen()
	}
	began := time.Now()
	eventually(t, "no commit after the connections stopped carrying data", func() bool {
		_, _, err := g.leader(t).replica.Propose(t.Context(), []byte("after"))
		return err == nil
	})
	is.True(time.Since(began) < 3*time.Second) // one call timeout and a few elections
}

// BenchmarkPropose measures commits by three members over loopback, with 8 concurrent callers per
// processor: 64 on 8 processors.
func BenchmarkPropose(b *testing.B) {
	g := newGroup(b, "a", "b", "c")
	for _, m := range g {
		m.options.SnapshotEntries = DefaultSnapshotEntries
	}
	g.start()
	leader := g.leader(b)
	b.SetParallelism(8) // concurrent callers per processor
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, _, err := leader.replica.Propose(b.Context(), make([]byte, 100)); err != nil {
				b.Error(err)
			}
		}
	})
}
