package control

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against sending the full list of nodes to every node when one changes, which filled the links of
// hosts.
func TestChangeOfOneNodeIsSentAlone(t *testing.T) {
	is := is.New(t)
	peers := make([]api.Peer, 100)
	for i := range peers {
		peers[i] = api.Peer{Session: api.SessionID(fmt.Sprintf("s-%03d", i))}
	}
	p := newPeerList(3)
	p.update(slices.Clone(peers))
	var first, same, second api.HeartbeatReply
	_ = p.fill(&first, 0)
	is.True(first.PeersFull)
	is.Equal(len(first.Peers.List), 100)
	p.update(slices.Clone(peers))
	_ = p.fill(&same, first.PeersVersion)
	is.Equal(same, api.HeartbeatReply{PeersBase: first.PeersVersion, PeersVersion: first.PeersVersion})
	peers[7].Zone = "b"
	p.update(slices.Delete(slices.Clone(peers), 9, 10))
	_ = p.fill(&second, first.PeersVersion)
	is.True(!second.PeersFull)
	is.Equal(second.Peers.List, peers[7:8])
	is.Equal(second.PeersGone, []api.SessionID{"s-009"})
	var shared api.HeartbeatReply
	_ = p.fill(&shared, first.PeersVersion)
	is.Equal(&shared.Peers.List[0], &second.Peers.List[0]) // encoded once for nodes with one version
}

// Guards against a node whose list differs from the leader's after missed changes, and against a leader
// that takes a version of another term for its own.
func TestPeerListReachesEveryNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPeerList(2)
		held := map[uint64][]api.Peer{0: nil, 1<<32 + 5: {{Session: "s-0"}}, 3<<32 + 1: {{Session: "s-1"}}}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			var peers []api.Peer
			for i := range 5 {
				if rapid.Bool().Draw(t, "present") {
					zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
					peers = append(peers, api.Peer{Session: api.SessionID(fmt.Sprintf("s-%d", i)), Zone: zone})
				}
			}
			p.update(peers)
			held[p.version] = peers
			for version, list := range held {
				var r api.HeartbeatReply
				_ = p.fill(&r, version)
				got := api.MergePeers(list, &r)
				if !slices.EqualFunc(got, p.peers, func(x, y api.Peer) bool { return x.Session == y.Session && x.Zone == y.Zone }) {
					t.Fatalf("from %d: got %v, want %v", version, got, p.peers)
				}
			}
		}
	})
}

// Guards against a node that keeps a removed peer because the leader no longer keeps that change.
func TestOldPeerListIsReplaced(t *testing.T) {
	is := is.New(t)
	p := newPeerList(1)
	p.update([]api.Peer{{Session: "old"}})
	start := p.version
	for i := range maxPeerChanges + 10 {
		p.update([]api.Peer{{Session: api.SessionID(fmt.Sprint("s-", i))}})
	}
	var r api.HeartbeatReply
	_ = p.fill(&r, start)
	is.True(r.PeersFull)
	is.True(len(p.changes) <= maxPeerChanges)
	is.True(slices.IsSortedFunc(p.changes, func(x, y peerChange) int { return cmp.Compare(x.version, y.version) }))
}
