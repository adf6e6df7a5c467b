// Package capacity measures how the cost of each part of the system grows with its size.
// Each runner takes a few points on this machine and fits a line; docs/CAPACITY.md
// extrapolates from the lines.
package capacity

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Ways in which a figure is taken.
const (
	// MethodProcess is the processor time of the whole process by getrusage during a window.
	MethodProcess = "process"
	// MethodLoop is the processor time of the process while it repeats one operation.
	MethodLoop = "loop"
	// MethodSize is a count of bytes or connections.
	MethodSize = "size"
	// MethodHeap is the growth of the live heap after garbage collection.
	MethodHeap = "heap"
	// MethodClock is elapsed time.
	MethodClock = "clock"
)

// Slope is one measured relation.
type Slope struct {
	Runner string  `json:"runner"`
	Name   string  `json:"name"`
	X      string  `json:"x"`
	Y      string  `json:"y"`
	Method string  `json:"method"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Sizes are the numbers at which the runners measure. Each list needs at least three.
type Sizes struct {
	Nodes         []int // stand-in nodes of one leader
	NodesHeld     int   // nodes while something else varies
	Targets       []int // targets of each node
	Organisations []int // organisations with a report in each heartbeat
	Partitions    []int
	PlanTargets   []int // targets in the leader's plan
	Updates       []int // changed assignments in a delta
	Peers         []int
	Entries       []int // organisations and organisation keys in the configuration
	Steps         []int // steps of a grant batch
	Requests      []int
	Members       []int // control members
	Hosts         []int // whole nodes with a sample target
	Beats         int   // heartbeats sent without pause, all nodes together
	Connections   []int // idle connections of the request hop
	// Window is the time of one measurement under load.
	Window time.Duration
	// Loop is the least time of a repeated operation.
	Loop time.Duration
	// PlanLease is the session lease while planning is measured, which sends no heartbeats.
	PlanLease time.Duration
	// Commits is the number of commits behind one latency.
	Commits int
}

// DefaultSizes returns the sizes behind docs/CAPACITY.md.
func DefaultSizes() Sizes {
	return Sizes{
		Nodes: []int{50, 100, 200, 400}, NodesHeld: 100,
		Targets:       []int{1, 4, 8, 16},
		Organisations: []int{0, 4, 16, 64},
		Partitions:    []int{1024, 4096, 16384, 65536},
		PlanTargets:   []int{64, 256, 1024, 4096},
		Updates:       []int{1, 16, 256, 2048},
		Peers:         []int{100, 1000, 6000, 18000},
		Entries:       []int{100, 1000, 5000, 20000},
		Steps:         []int{1, 64, 512, 2000},
		Requests:      []int{1000, 2000, 4000, 8000},
		Members:       []int{1, 3, 5},
		Hosts:         []int{2, 4, 8},
		Beats:         60_000,
		Connections:   []int{100, 400, 1600},
		Window:        3 * time.Second,
		Loop:          200 * time.Millisecond,
		PlanLease:     4 * time.Second,
		Commits:       200,
	}
}

// Runner measures some slopes.
type Runner struct {
	Name string
	run  func(ctx context.Context, z Sizes) ([]Slope, error)
}

// Runners returns all runners in the order of the page.
func Runners() []Runner {
	return []Runner{
		{"heartbeat-nodes", heartbeatNodes},
		{"heartbeat-targets", heartbeatTargets},
		{"heartbeat-organisations", heartbeatOrganisations},
		{"heartbeat-limit", heartbeatLimit},
		{"plan-partitions", planPartitions},
		{"plan-targets", planTargets},
		{"placement", placements},
		{"map-full", mapFull},
		{"map-delta", mapDelta},
		{"peers", peersList},
		{"configuration", configurationSize},
		{"log-changes", logChanges},
		{"log-grants", logGrants},
		{"snapshot", snapshots},
		{"memory-leader", leaderMemory},
		{"view", nodeView},
		{"outside", outsideMessages},
		{"spread", spread},
		{"node-idle", idleNodes},
		{"connections", connections},
		{"request", requests},
	}
}

// Names returns the names of the runners.
func Names() []string {
	var names []string
	for _, r := range Runners() {
		names = append(names, r.Name)
	}
	return names
}

// Run executes one runner, or all of them when name is empty.
func Run(ctx context.Context, name string, z Sizes) ([]Slope, error) {
	var slopes []Slope
	if name != "" && !slices.Contains(Names(), name) {
		return nil, errors.NotFoundf("slope %q", name)
	}
	for _, r := range Runners() {
		if name != "" && r.Name != name {
			continue
		}
		list, err := r.run(ctx, z)
		if err != nil {
			return slopes, errors.Annotatef(err, "slope %s", r.Name)
		}
		for i := range list {
			list[i].Runner = r.Name
			list[i].Fit = FitLine(list[i].Points)
		}
		slopes = append(slopes, list...)
	}
	return slopes, nil
}

// add appends a point.
func (s *Slope) add(x int, y float64) {
	s.Points = append(s.Points, Point{X: float64(x), Y: y})
}
