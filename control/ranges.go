package control

import (
	"context"
	"slices"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// leastRanges is the number of partitions of a small ranged service. One target that is left alone
	// can still be told of all of them in one reply.
	leastRanges = 128
	// mostRanges bounds the map that every node holds; a partition then has 32 keys of 65,536.
	mostRanges = 2048
	// rangesPerTarget is the number of ranges that a target can hold while three quarters of the targets
	// are away and still be told of them in one reply.
	rangesPerTarget = 36
)

// sizeRanges sets the number of partitions of the ranged services that a replacement adds without
// one, by the number of nodes that will have a target of the service. More partitions spread
// neighbouring keys that are busy over more targets.
func (c *Control) sizeRanges(ctx context.Context, change *api.Change) *api.Change {
	if change.Kind != api.Replace || change.Replacement == nil {
		return change
	}
	hosts := c.hostsByService(ctx)
	replacement := *change.Replacement
	replacement.Services.Services = slices.Clone(replacement.Services.Services)
	for i := range replacement.Services.Services {
		s := &replacement.Services.Services[i]
		if s.Ranged() && s.Partitions == 0 {
			s.Partitions = rangesFor(hosts[s.Name])
		}
	}
	sized := *change
	sized.Replacement = &replacement
	return &sized
}

// rangesFor doubles the partitions while each target has enough of them.
func rangesFor(targets int) int {
	n := leastRanges
	for 2*n <= mostRanges && 2*n <= rangesPerTarget*targets {
		n *= 2
	}
	return n
}

// hostsByService counts the nodes in contact by the service of their target. It returns nothing when
// this member does not lead or ctx ends first.
func (c *Control) hostsByService(ctx context.Context) map[string]int {
	hosts, _ := onLoop(ctx, c, func() map[string]int {
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
	return hosts
}
