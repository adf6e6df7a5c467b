package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against bodies that cross zones in a large fleet because the sample of targets had none in the
// zone of the node, and against staying in a zone whose targets are all slow.
func TestNearChoiceInLargeFleet(t *testing.T) {
	is := is.New(t)
	v := &api.View{Zone: "z2"}
	for i := range 66 {
		id := fmt.Sprint("t", i)
		v.Peers = append(v.Peers, api.Peer{Session: api.SessionID(id), Zone: fmt.Sprint("z", i%6), Targets: []api.PeerTarget{
			{ID: api.TargetID(id), Service: "orders", Slots: 10, State: api.TargetServing},
		}})
	}
	now := time.Now()
	candidates := Candidates{targets: api.NewViewIndex(v).TargetsByService["orders"], loads: &loadTable{}, now: now, zone: v.Zone, large: true}
	is.Equal(candidates.SameZone(), 11)
	used := make(map[int]bool)
	for range 300 {
		i := nearChoice{}.Choose(candidates)
		is.Equal(candidates.targets[i].Peer.Zone, "z2")
		used[i] = true
	}
	is.Equal(len(used), 11)

	for _, target := range candidates.targets {
		expected := 20 * time.Millisecond
		if target.Peer.Zone == "z2" {
			expected = time.Second
		}
		candidates.loads.get(target.Target.ID).recordReport(loadReport{expected: expected, at: now})
	}
	is.True(candidates.targets[nearChoice{}.Choose(candidates)].Peer.Zone != "z2")
}
