package capacity

import (
	"context"
	"fmt"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
)

const (
	// partitionsPerTarget is about that of 65,536 partitions on 18,000 targets.
	partitionsPerTarget = 4
	// lostZones of the zones lose their targets in the measured plan.
	lostZones = 1
)

// placements measures the placement of the partitions of a lost availability zone, one in
// ten of all.
func placements(_ context.Context, z Sizes) ([]Slope, error) {
	lost := Slope{Name: "placement after the loss of a zone", X: "targets", Y: "us", Method: MethodLoop}
	perPartition := Slope{Name: "placement of one unowned partition", X: "targets", Y: "us", Method: MethodLoop}
	for _, n := range z.PlanTargets {
		partitions, targets, unowned := afterZoneLoss(n)
		each, err := repeat(z.Loop, func() error {
			placement.Balanced{}.Plan(serviceName, partitions, targets, 0)
			return nil
		})
		if err != nil {
			return nil, err
		}
		lost.add(n, each.microseconds)
		perPartition.add(n, each.microseconds/float64(max(unowned, 1)))
	}
	return []Slope{lost, perPartition}, nil
}

func afterZoneLoss(n int) (ps []placement.Partition, ts []placement.Target, unowned int) {
	for i := range n {
		if i%zones >= lostZones {
			ts = append(ts, placement.Target{
				ID: api.TargetID(fmt.Sprintf("target-%05d", i)), Zone: zone(i), Capacity: slots, Eligible: true,
			})
		}
	}
	for i := range n * partitionsPerTarget {
		p := placement.Partition{Index: i, Load: 1}
		if t := i % n; t%zones >= lostZones {
			p.Owner = api.TargetID(fmt.Sprintf("target-%05d", t))
		} else {
			unowned++
		}
		ps = append(ps, p)
	}
	return ps, ts, unowned
}
