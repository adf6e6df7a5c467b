package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against hedges that wait as long as the stragglers that they are meant to avoid.
func TestStragglersDoNotDelayHedges(t *testing.T) {
	is := is.New(t)
	var p latencyStats
	for i := range percentileWindow {
		latency := 5 * time.Millisecond
		if i%10 == 0 {
			latency = 200 * time.Millisecond
		}
		p.add(latency)
	}
	is.Equal(p.p95Latency(), maxP95ToMedian*5*time.Millisecond)
}

// Guards against traffic between zones to targets that look fast because they received nothing
// recently.
func TestUnusedTargetIsNotAssumedFast(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	at := func(id, zone string) api.TargetAt {
		return api.TargetAt{Target: api.PeerTarget{ID: api.TargetID(id), Slots: 10}, Peer: &api.Peer{Zone: zone}}
	}
	loads := &loadTable{}
	loads.get("near").observe(100*time.Millisecond, now)
	loads.get("far").observe(100*time.Millisecond, now.Add(-5*time.Second))
	loads.get("slow").observe(2*time.Second, now.Add(-5*time.Second))
	choose := func(near, far string) string {
		c := Candidates{targets: []api.TargetAt{at(near, "a"), at(far, "b")}, loads: loads, now: now, zone: "a", serviceLatency: 100 * time.Millisecond}
		return string(c.targets[nearChoice{}.Choose(c)].Target.ID)
	}
	is.Equal(choose("near", "far"), "near")
	is.Equal(choose("slow", "far"), "slow") // its high latency was observed long ago
	loads.get("slow").observe(2*time.Second, now)
	is.Equal(choose("slow", "far"), "far")
}
