package node

import (
	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/telemetry"
)

// learnsCapacity reports whether the node learns the capacities of its targets.
func (n *Node) learnsCapacity() bool {
	set := n.settings.Gate.LearnCapacity
	return set != nil && *set
}

// noteCapacity logs and counts a change of the learned capacity of a target.
func noteCapacity(id api.TargetID, former, capacity int) {
	event := "capacity_lowered"
	if capacity > former {
		event = "capacity_raised"
	}
	telemetry.CountEvent(event, 1)
	telemetry.Logger("gate").WithField("target", id).WithField("former", former).WithField("capacity", capacity).
		Info("Learned capacity of target changed.")
}

// capacities returns the learned capacities of the local targets, as far as they are known.
func (n *Node) capacities() map[string]int64 {
	known := make(map[string]int64)
	for id, stats := range n.Gates() {
		if stats.Capacity > 0 {
			known[string(id)] = int64(stats.Capacity)
		}
	}
	return known
}
