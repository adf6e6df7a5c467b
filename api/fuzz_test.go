package api

import (
	"bytes"
	"testing"
)

// Guards against a hop header that stops a node, or whose content changes when it is passed on.
func FuzzParseHop(f *testing.F) {
	f.Add(Hop{Service: "quotes", Partition: -1, Key: "k|é", DeadlineMs: 10, Idempotent: true}.String())
	f.Fuzz(func(t *testing.T, value string) {
		h, err := ParseHop(value)
		if err != nil {
			return
		}
		if again, err := ParseHop(h.String()); err != nil || again != h {
			t.Fatalf("%+v became %+v, %v", h, again, err)
		}
	})
}

// Guards against lists from other processes that stop a process or make it allocate without limit.
func FuzzListsFromPeers(f *testing.F) {
	assignments, err := AssignmentUpdates{List: []AssignmentUpdate{{PartitionRef{"q", 1}, Assignment{State: Granted, Epoch: 5}}}}.GobEncode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(assignments)
	f.Add(append([]byte{plainData}, bytes.Repeat([]byte{0xff}, 12)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		var a AssignmentUpdates
		if a.GobDecode(data) == nil && len(a.List) > mostInflated {
			t.Fatal("more elements than bytes")
		}
		var p PeerUpdates
		if p.GobDecode(data) == nil && len(p.List) > mostInflated {
			t.Fatal("more elements than bytes")
		}
	})
}
