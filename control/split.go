package control

import (
	"math"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
	"github.com/zinniapier/zinniapier/state"
)

const (
	// minSplitShare is the load of a partition, as a share of the mean load of a target, from which it is
	// split. Below it, moving whole partitions balances the load well enough.
	minSplitShare = 0.4
	// minOwnerExcess is the load of the owner, as a multiple of the mean, from which a split helps. Where
	// all targets are equally busy, moving parts only delays their requests.
	minOwnerExcess = 1.25
	// minSplitLoad is the minimum load of a partition to split in requests per second. Below it, measured
	// load is mostly noise.
	minSplitLoad = 10.0
	// usualParts is the number of parts of a partition with enough keys, usualPartKeys the least mean number
	// of keys in one of them.
	usualParts    = 16
	usualPartKeys = 4
	// maxParts is the greatest number of parts of one partition.
	maxParts = 32
	// maxPartShare is the load of an average part, as a share of the mean load of a target, above which
	// there are more parts than usual.
	maxPartShare = 0.25
	// maxPartsPerTarget times the targets bounds the parts of a service. One reply then has room for all
	// ranges of a target when half of the targets are away. Parts are never merged.
	maxPartsPerTarget = 32
	// maxSplitsPerPlan bounds the splits of a service in one plan; few are needed, since busy keys are
	// close to one another.
	maxSplitsPerPlan = 8
	// splitMeasureDelay is the time after a split during which each part counts with an equal share of
	// the load, since the nodes have not measured a whole window yet.
	splitMeasureDelay = 1200 * time.Millisecond
)

// recentSplit is a split whose parts have no measured load yet.
type recentSplit struct {
	wholeLoad  float64 // load of the split partition in requests per second
	parts      int
	measuredAt time.Time
	// placed is set once a plan has balanced the parts.
	placed bool
}

// planSplits splits busy partitions of a range-partitioned service, so that their parts can be spread over
// targets. It requires that all targets pull their grants: only those get them as key ranges.
func (p *servicePlan) planSplits(service *api.Service, eligible []placement.Target) {
	if !service.Ranged() || len(eligible) < 2 || !p.allPullGrants(eligible) {
		return
	}
	total := 0.0
	for _, partition := range p.partitions {
		total += partition.Load
	}
	mean := total / float64(len(eligible))
	loads, _, _ := p.targetLoads(eligible)
	threshold := max(minSplitShare*mean, minSplitLoad)
	partsLeft := maxPartsPerTarget*len(eligible) - (service.Count() - service.Partitions)
	for _, partition := range p.partitions {
		parts := partCount(partition.Load, mean, service.Range(partition.Index).Len())
		if partition.Load < threshold || partition.Index >= service.Partitions || parts < 2 || loads[partition.Owner] < minOwnerExcess*mean {
			continue
		}
		if parts > partsLeft || len(p.batch.Splits) >= maxSplitsPerPlan || p.batchFull() {
			return
		}
		partsLeft -= parts
		p.addSplit(partition, parts)
	}
}

// partCount returns the number of parts for a busy partition with the given load and number of keys. mean is
// the mean load of a target in the same unit.
//
// Load pattern: in a fleet of hundreds of targets, a few hundred neighbouring keys get a third of the
// requests. A few of these keys are then more than one target can serve, so a part has to be a single key.
func partCount(load, mean float64, keys int) int {
	needed := int(math.Ceil(load / (maxPartShare * mean)))
	return max(min(usualParts, keys/usualPartKeys), min(needed, maxParts, keys))
}

// addSplit adds the split of a granted partition to the batch.
func (p *servicePlan) addSplit(partition placement.Partition, parts int) {
	ref := p.ref(partition.Index)
	a := assignment(p.view, ref)
	if a.State != api.Granted || p.revokedOrRebound(ref) {
		return
	}
	p.batch.Splits = append(p.batch.Splits, state.SplitRange{Step: state.Step{PartitionRef: ref, Expected: a.Epoch}, Parts: parts})
	p.recentSplits[ref] = &recentSplit{wholeLoad: partition.Load, parts: parts, measuredAt: p.now.Add(splitMeasureDelay)}
	p.log.WithField("service", p.name).WithField("partition", partition.Index).WithField("parts", parts).
		WithField("load", partition.Load).WithField("target", a.Target).Info("Splitting busy partition.")
}

// revokedOrRebound reports whether the batch revokes or rebinds the partition.
func (p *servicePlan) revokedOrRebound(ref api.PartitionRef) bool {
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

// allPullGrants reports whether all targets pull their grants; those report an address.
func (p *servicePlan) allPullGrants(eligible []placement.Target) bool {
	for _, t := range eligible {
		if p.targets[t.ID].Place == "" {
			return false
		}
	}
	return true
}

// updateRecentSplits removes the splits whose parts have been measured, and reports whether there are new
// parts to place.
func (p *servicePlan) updateRecentSplits(service *api.Service) (needPlacement bool) {
	for ref, f := range p.recentSplits {
		if ref.Service != p.name {
			continue
		}
		if !p.now.Before(f.measuredAt) {
			delete(p.recentSplits, ref)
			continue
		}
		if !f.placed && service.IsSplit(ref.Partition) {
			f.placed, needPlacement = true, true
		}
	}
	return needPlacement
}

// estimatedPartLoad returns the estimated load of a part of a recent split in requests per second; 0 for any
// other partition.
func (p *servicePlan) estimatedPartLoad(i int) float64 {
	if p.service == nil || len(p.recentSplits) == 0 || i < p.service.Partitions {
		return 0
	}
	if f := p.recentSplits[p.ref(p.service.BaseOf(i))]; f != nil {
		return f.wholeLoad / float64(f.parts)
	}
	return 0
}
