package control

import (
	"context"
	"slices"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// minRanges is the number of partitions of a small range-partitioned service. One reply has room
	// for all of them, so that a single remaining target can own them all.
	minRanges = 128
	// maxRanges bounds the map that every node holds; a partition then has 32 keys of 65,536.
	maxRanges = 2048
	// rangesPerTarget is the even share of a target such that, with three quarters of the targets
	// away, one reply still has room for all ranges of a remaining target.
	rangesPerTarget = 36
)

// setRangeCounts returns the change with the partition counts set of those range-partitioned services
// in a replacement that have none. The count depends on the number of nodes with a target of the
// service: more partitions spread busy neighbouring keys over more targets.
func (c *Control) setRangeCounts(ctx context.Context, change *api.Change) *api.Change {
	if change.Kind != api.Replace || change.Replacement == nil {
		return change
	}
	nodes := c.nodesByService(ctx)
	replacement := *change.Replacement
	replacement.Services.Services = slices.Clone(replacement.Services.Services)
	for i := range replacement.Services.Services {
		s := &replacement.Services.Services[i]
		if s.Ranged() && s.Partitions == 0 {
			s.Partitions = rangeCount(nodes[s.Name])
		}
	}
	sized := *change
	sized.Replacement = &replacement
	return &sized
}

// rangeCount returns the greatest power of two from minRanges to maxRanges that gives each target at
// most rangesPerTarget ranges, or minRanges if there is none.
func rangeCount(targets int) int {
	n := minRanges
	for 2*n <= maxRanges && 2*n <= rangesPerTarget*targets {
		n *= 2
	}
	return n
}

// nodesByService counts the nodes with a live session by the service of their target. The result is
// empty when this member does not lead, and nil when ctx ends first.
func (c *Control) nodesByService(ctx context.Context) map[string]int {
	nodes, _ := runOnLoop(ctx, c, func() map[string]int {
		counts := make(map[string]int)
		if c.leader != nil {
			for _, s := range c.leader.sessions {
				if !s.lost {
					counts[s.last.Hosts]++
				}
			}
		}
		return counts
	})
	return nodes
}
