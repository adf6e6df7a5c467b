package capacity

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// fleetLease outlasts the preparation of a replay.
const fleetLease = 5 * time.Second

// heartbeatCost is what a leader spends on a fleet.
type heartbeatCost struct {
	leader    float64 // processor time per heartbeat in microseconds
	share     float64 // leader's processor time as a share of one core
	up, down  float64 // bytes per heartbeat
	heap      float64 // bytes that sessions and connections keep alive, stand-ins included
	transport float64 // processor time of a stand-in per heartbeat in microseconds
}

func startFleetLeader(ctx context.Context, organisations int) (*group, error) {
	g, err := startGroup(ctx, groupOptions{members: 1, tick: longTick, lease: fleetLease})
	if err != nil {
		return nil, err
	}
	for _, o := range sampleOrganisations(organisations) {
		if err := g.members[0].change(ctx, api.Change{Kind: api.PutOrganisation, Organisation: &o}); err != nil {
			g.close()
			return nil, err
		}
	}
	return g, nil
}

// measureFleet runs stand-in nodes against a group of one member with a disk.
func measureFleet(ctx context.Context, z Sizes, nodes, targets, organisations int) (heartbeatCost, error) {
	g, err := startFleetLeader(ctx, organisations)
	if err != nil {
		return heartbeatCost{}, err
	}
	defer g.close()
	m := g.members[0]
	before := liveHeap()
	f, err := newFleet(m.listen.Addr().String(), nodes, targets, organisations)
	if err != nil {
		return heartbeatCost{}, err
	}
	defer f.close()
	if err := f.settle(); err != nil {
		return heartbeatCost{}, err
	}
	heap := liveHeap() - before
	return compareWithTransport(ctx, z, f, heap)
}

func compareWithTransport(ctx context.Context, z Sizes, f fleet, heap float64) (heartbeatCost, error) {
	whole, err := f.replay(z.Window)
	if err != nil {
		return heartbeatCost{}, err
	}
	bare, err := f.transport(ctx, z.Window, whole.received/whole.beats)
	if err != nil {
		return heartbeatCost{}, err
	}
	n := float64(whole.beats)
	own := microseconds(bare.used) / float64(bare.beats) / 2
	leader := microseconds(whole.used)/n - own
	return heartbeatCost{
		leader:    leader,
		share:     leader * n / microseconds(whole.elapsed),
		up:        float64(whole.sent) / n,
		down:      float64(whole.received) / n,
		heap:      heap,
		transport: own,
	}, nil
}

// heartbeatSlopes measures the fleet at each size.
func heartbeatSlopes(x string, sizes []int, measure func(n int) (heartbeatCost, error)) ([]Slope, error) {
	list := []Slope{
		{Name: "leader processor time of heartbeats", Y: "us/heartbeat", Method: MethodProcess},
		{Name: "leader share of a core", Y: "%", Method: MethodProcess},
		{Name: "heartbeat", Y: "bytes", Method: MethodSize},
		{Name: "reply without changes", Y: "bytes", Method: MethodSize},
		{Name: "heap of leader and stand-ins", Y: "KB", Method: MethodHeap},
		{Name: "processor time of a stand-in", Y: "us/heartbeat", Method: MethodProcess},
	}
	for _, n := range sizes {
		c, err := measure(n)
		if err != nil {
			return nil, err
		}
		for i, y := range []float64{c.leader, 100 * c.share, c.up, c.down, c.heap / 1000, c.transport} {
			list[i].X = x
			list[i].add(n, y)
		}
	}
	return list, nil
}

func heartbeatNodes(ctx context.Context, z Sizes) ([]Slope, error) {
	return heartbeatSlopes("nodes", z.Nodes, func(n int) (heartbeatCost, error) {
		return measureFleet(ctx, z, n, 1, 4)
	})
}

func heartbeatTargets(ctx context.Context, z Sizes) ([]Slope, error) {
	return heartbeatSlopes("targets per node", z.Targets, func(n int) (heartbeatCost, error) {
		return measureFleet(ctx, z, z.NodesHeld, n, 4)
	})
}

func heartbeatOrganisations(ctx context.Context, z Sizes) ([]Slope, error) {
	return heartbeatSlopes("active organisations per node", z.Organisations, func(n int) (heartbeatCost, error) {
		return measureFleet(ctx, z, z.NodesHeld, 1, n)
	})
}

// heartbeatLimit measures how many heartbeats a second the leader answers when stand-ins
// in the same process send without pause.
func heartbeatLimit(ctx context.Context, z Sizes) ([]Slope, error) {
	rate := Slope{Name: "heartbeats answered without pause", X: "nodes", Y: "1/s", Method: MethodClock}
	used := Slope{Name: "leader and stand-ins without pause", X: "nodes", Y: "us/heartbeat", Method: MethodProcess}
	for _, n := range z.Nodes {
		l, err := saturate(ctx, n, max(z.Beats/n, 2))
		if err != nil {
			return nil, err
		}
		rate.add(n, float64(l.beats)/l.elapsed.Seconds())
		used.add(n, microseconds(l.used)/float64(l.beats))
	}
	return []Slope{rate, used}, nil
}

func saturate(ctx context.Context, nodes, beats int) (load, error) {
	g, err := startFleetLeader(ctx, 4)
	if err != nil {
		return load{}, err
	}
	defer g.close()
	f, err := newFleet(g.members[0].listen.Addr().String(), nodes, 1, 4)
	if err != nil {
		return load{}, err
	}
	defer f.close()
	if err := f.settle(); err != nil {
		return load{}, err
	}
	return f.replayBeats(beats, 0)
}
