package api

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against assignments that change on their way to a node, and against replies that outgrow the
// links of small hosts.
func TestAssignmentUpdatesKeepTheirContent(t *testing.T) {
	is := is.New(t)
	var sent struct{ Map AssignmentUpdates }
	for p := range 2048 {
		owner := fmt.Sprintf("i-%010d@1788993209366", p%63)
		sent.Map.List = append(sent.Map.List, AssignmentUpdate{PartitionRef{"quote-portal", p}, Assignment{
			State: Granted, Target: TargetID(owner), Session: SessionID(fmt.Sprintf("%032d", p%63)),
			Place: "sidecar-" + owner, Epoch: Epoch(1000 + p/63), Handover: "",
		}})
	}
	sent.Map.List[7].Handover, sent.Map.List[8].State = "token", Releasing
	var wire bytes.Buffer
	is.NoErr(gob.NewEncoder(&wire).Encode(sent))
	is.True(wire.Len() < 40_000)
	got := sent
	got.Map = AssignmentUpdates{}
	is.NoErr(gob.NewDecoder(&wire).Decode(&got))
	is.Equal(got.Map.List, sent.Map.List)
}

// Guards against a node that fails or allocates without limit because of damaged data.
func TestDamagedAssignmentUpdatesAreRefused(t *testing.T) {
	whole, err := AssignmentUpdates{List: []AssignmentUpdate{{PartitionRef{"q", 1}, Assignment{State: Granted, Epoch: 5}}}}.GobEncode()
	if err != nil {
		t.Fatal(err)
	}
	for n := range whole {
		if new(AssignmentUpdates).GobDecode(whole[:n]) == nil {
			t.Fatalf("the first %d of %d bytes are accepted", n, len(whole))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		_ = new(AssignmentUpdates).GobDecode(rapid.SliceOf(rapid.Byte()).Draw(t, "data"))
	})
}

// sampleNodes returns nodes as a large fleet names them.
func sampleNodes(n int) []Peer {
	random := rand.New(rand.NewPCG(7, 7))
	var nodes []Peer
	for i := range n {
		address := fmt.Sprintf("10.%d.0.%d", i%6+1, i/6)
		nodes = append(nodes, Peer{
			Session: SessionID(fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())), Name: fmt.Sprintf("sidecar-wien-a-%d", i), Zone: "wien-a",
			InternalAddr: address + ":7780", FateAddr: address + ":7781", CallerAddr: address + ":8365",
			Targets: []PeerTarget{{ID: TargetID(fmt.Sprintf("i-%010x@17906364%05d", random.Uint32(), i)), Service: "quotes", Version: "v1", Slots: 16, State: TargetServing, Out: i%7 == 0}},
		})
	}
	return nodes
}

// Guards against nodes that change on their way, and against a start of a fleet in which the list of nodes
// takes most of the bytes between zones: 500 changes of it took 69 KB for each node.
func TestPeerUpdatesKeepTheirContent(t *testing.T) {
	is := is.New(t)
	nodes := sampleNodes(300)
	nodes[3].Targets = nil
	packed, err := PackPeers(nodes)
	is.NoErr(err)
	sent := struct{ Peers PeerUpdates }{packed}
	var wire bytes.Buffer
	is.NoErr(gob.NewEncoder(&wire).Encode(sent))
	is.True(wire.Len() < 300*69)
	got := sent
	got.Peers = PeerUpdates{}
	is.NoErr(gob.NewDecoder(&wire).Decode(&got))
	is.Equal(got.Peers.List, nodes)
}

// Guards against a node that fails or allocates without limit because of a damaged list of nodes.
func TestDamagedPeerUpdatesAreRefused(t *testing.T) {
	for _, count := range []int{1, 20} { // sent as it is, and deflated
		whole, err := PeerUpdates{List: sampleNodes(count)}.GobEncode()
		if err != nil {
			t.Fatal(err)
		}
		for n := range whole {
			if new(PeerUpdates).GobDecode(whole[:n]) == nil {
				t.Fatalf("the first %d of %d bytes of %d nodes are accepted", n, len(whole), count)
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		_ = new(PeerUpdates).GobDecode(rapid.SliceOf(rapid.Byte()).Draw(t, "data"))
	})
}

// BenchmarkInflate measures the unpacking of the short lists of most replies.
func BenchmarkInflate(b *testing.B) {
	packed, err := Deflate(bytes.Repeat([]byte("partition "), 40))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Inflate(packed); err != nil {
			b.Fatal(err)
		}
	}
}
