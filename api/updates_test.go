package api

import (
	"bytes"
	"encoding/gob"
	"fmt"
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
		sent.Map = append(sent.Map, AssignmentUpdate{PartitionRef{"quote-portal", p}, Assignment{
			State: Granted, Target: TargetID(owner), Session: SessionID(fmt.Sprintf("%032d", p%63)),
			Place: "sidecar-" + owner, Epoch: Epoch(1000 + p/63), Handover: "",
		}})
	}
	sent.Map[7].Handover, sent.Map[8].State = "token", Releasing
	var wire bytes.Buffer
	is.NoErr(gob.NewEncoder(&wire).Encode(sent))
	is.True(wire.Len() < 40_000)
	got := sent
	got.Map = nil
	is.NoErr(gob.NewDecoder(&wire).Decode(&got))
	is.Equal(got.Map, sent.Map)
}

// Guards against a node that fails or allocates without limit because of damaged data.
func TestDamagedAssignmentUpdatesAreRefused(t *testing.T) {
	whole, err := AssignmentUpdates{{PartitionRef{"q", 1}, Assignment{State: Granted, Epoch: 5}}}.GobEncode()
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
