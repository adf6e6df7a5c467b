package control

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
	"github.com/zinniapier/zinniapier/state"
)

const (
	// splitShare is the share of the mean load of a target above which a partition is divided. Below it,
	// moving whole partitions evens out the load well enough.
	splitShare = 0.4
	// splitExcess is the load of the owner, as a multiple of the mean, from which a split helps: where all
	// targets are as busy, parts that move only cost their requests the time of the move.
	splitExcess = 1.25
	// splitFloor is the least load of such a partition in requests per second; below it, measured load
	// is mostly noise.
	splitFloor = 10.0
	// mostParts bounds the parts of one partition, leastPartKeys their length.
	mostParts     = 16
	leastPartKeys = 4
	// partsPerTarget bounds the parts of a service, so that a target can be told of all that it owns
	// when half of the targets are away. Parts are never joined again.
	partsPerTarget = 32
	// splitsPerPlan bounds the splits of a service in one plan: busy keys are close to one another.
	splitsPerPlan = 8
	// splitSettles is the time after a split in which the parts count with equal shares of its load:
	// until then the nodes have not measured a whole window.
	splitSettles = 1200 * time.Millisecond
)

// freshSplit is a split whose parts have not been measured.
type freshSplit struct {
	load  float64 // of the whole, in requests per second
	parts int
	until time.Time
	// balanced says that the parts have been placed.
	balanced bool
}

// planSplits divides the partitions that carry much of what a target can, so that their parts can be
// spread. Only targets that pull their grants know them by their keys; for others a partition stays whole.
func (p *servicePlan) planSplits(service *api.Service, eligible []placement.Target) {
	if !service.Ranged() || len(eligible) < 2 || !p.allPull(eligible) {
		return
	}
	total := 0.0
	for _, partition := range p.partitions {
		total += partition.Load
	}
	mean := total / float64(len(eligible))
	loads, _, _ := p.targetLoads(eligible)
	threshold := max(splitShare*mean, splitFloor)
	room := partsPerTarget*len(eligible) - (service.Count() - service.Partitions)
	for _, partition := range p.partitions {
		parts := min(mostParts, service.Range(partition.Index).Len()/leastPartKeys)
		if partition.Load < threshold || partition.Index >= service.Partitions || parts < 2 || loads[partition.Owner] < splitExcess*mean {
			continue
		}
		if parts > room || len(p.batch.Splits) >= splitsPerPlan || p.full() {
			return
		}
		room -= parts
		p.splitInto(partition, parts)
	}
}

func (p *servicePlan) splitInto(partition placement.Partition, parts int) {
	ref := p.ref(partition.Index)
	a := assignment(p.view, ref)
	if a.State != api.Granted || p.inBatch(ref) {
		return
	}
	p.batch.Splits = append(p.batch.Splits, state.SplitRange{Step: state.Step{PartitionRef: ref, Expected: a.Epoch}, Parts: parts})
	p.fresh[ref] = &freshSplit{load: partition.Load, parts: parts, until: p.now.Add(splitSettles)}
	p.log.WithField("service", p.name).WithField("partition", partition.Index).WithField("parts", parts).
		WithField("load", partition.Load).WithField("target", a.Target).Info("Busy partition is divided.")
}

// inBatch says whether the batch revokes or rebinds the partition.
func (p *servicePlan) inBatch(ref api.PartitionRef) bool {
	for _, s := range p.batch.Revokes {
		if s.PartitionRef == ref {
			return true
		}
	}
	for _, g := range p.batch.Rebinds {
		if g.PartitionRef == ref {
			return true
		}
	}
	return false
}

func (p *servicePlan) allPull(eligible []placement.Target) bool {
	for _, t := range eligible {
		if p.targets[t.ID].Place == "" {
			return false
		}
	}
	return true
}

// takeFresh forgets splits that have been measured, and says whether there are parts to be placed.
func (p *servicePlan) takeFresh(service *api.Service) (place bool) {
	for ref, f := range p.fresh {
		if ref.Service != p.name {
			continue
		}
		if !p.now.Before(f.until) {
			delete(p.fresh, ref)
			continue
		}
		if !f.balanced && service.IsSplit(ref.Partition) {
			f.balanced, place = true, true
		}
	}
	return place
}

// estimate is the load of a part of a fresh split, else 0.
func (p *servicePlan) estimate(i int) float64 {
	if p.service == nil || len(p.fresh) == 0 || i < p.service.Partitions {
		return 0
	}
	if f := p.fresh[p.ref(p.service.BaseOf(i))]; f != nil {
		return f.load / float64(f.parts)
	}
	return 0
}
