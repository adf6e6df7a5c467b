package control

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
	"github.com/zinniapier/zinniapier/state"
)

const (
	// minHotKeyShare is the load of a key, as a share of the mean load of a target, above which
	// it gets its own partition. Below it, moving whole partitions balances the load well enough.
	minHotKeyShare = 0.25
	// minHotKeyLoad is the minimum load of a hot key in requests per second. Below it, measured
	// load is mostly noise, and the number of overrides is limited.
	minHotKeyLoad = 10.0
	// maxOverridesPerPlan bounds the new overrides of a service in one plan, since each changes
	// the configuration that every node holds.
	maxOverridesPerPlan = 4
	// defaultRequestDeadline applies to services without a configured deadline.
	defaultRequestDeadline = 10 * time.Second
)

// overrideOf returns the override that the partition belongs to, or nil.
func overrideOf(view *api.ControlState, ref api.PartitionRef) *api.Override {
	for i := range view.Configuration.Overrides {
		if o := &view.Configuration.Overrides[i]; o.Service == ref.Service && o.Partition == ref.Partition {
			return o
		}
	}
	return nil
}

// overrideHeld reports whether partition i is an override that must stay with its first owner.
// Requests for its key may still be in flight there under the grant of the key's hash partition,
// and releasing the override does not wait for them. The override may move once that grant has
// been released, or once all nodes have acknowledged the override and the deadline of earlier
// requests has passed.
func (p *servicePlan) overrideHeld(i int, a api.Assignment) bool {
	service := p.view.Configuration.Services.Find(p.name)
	if service == nil || i < service.Partitions {
		return false
	}
	o := overrideOf(p.view, p.ref(i))
	if o == nil || uint64(a.Epoch) != o.Version {
		return false
	}
	hash := p.view.Assignments[p.name][api.PartitionOf(o.Key, service.Partitions)]
	if hash.State == api.Unassigned || uint64(hash.Epoch) > o.Version {
		return false
	}
	until, ok := p.overridesHeldUntil[p.ref(i)]
	if !ok && p.acknowledgedByAll(o.Version) {
		until = p.now.Add(requestDeadline(service))
		p.overridesHeldUntil[p.ref(i)] = until
		ok = true
	}
	return !ok || p.now.Before(until)
}

// acknowledgedByAll reports whether every live session holds at least the configuration version.
func (l *leader) acknowledgedByAll(version uint64) bool {
	for _, s := range l.sessions {
		if !s.lost && s.last.ConfigVersion < version {
			return false
		}
	}
	return true
}

// requestDeadline returns the time limit of requests to the service.
func requestDeadline(service *api.Service) time.Duration {
	if service.DeadlineMs > 0 {
		return time.Duration(service.DeadlineMs) * time.Millisecond
	}
	return defaultRequestDeadline
}

// planOverrides gives hot keys their own partitions if the least loaded target would, with the
// key, still have less load than the key's present owner.
func (p *servicePlan) planOverrides(service *api.Service, eligible []placement.Target) {
	// A range-partitioned service cannot give a single key its own partition.
	if len(eligible) < 2 || service.Ranged() {
		return
	}
	loads, mean, least := p.targetLoads(eligible)
	known := p.overriddenKeys()
	added := 0
	for _, t := range eligible {
		for _, hot := range p.targets[t.ID].HotKeys {
			if added >= maxOverridesPerPlan || len(known) >= state.MaxOverrides || p.batchFull() {
				return
			}
			lowers := least+hot.Load < loads[t.ID]
			if known[hot.Key] || hot.Load < minHotKeyLoad || hot.Load <= minHotKeyShare*mean || !lowers {
				continue
			}
			if !p.ownsHashPartition(service, hot.Key, t.ID) {
				continue
			}
			known[hot.Key] = true
			added++
			p.batch.Overrides = append(p.batch.Overrides, state.OverrideKey{Service: p.name, Key: hot.Key})
		}
	}
}

// targetLoads returns the load of each eligible target, their mean and their minimum, in requests
// per second.
func (p *servicePlan) targetLoads(eligible []placement.Target) (loads map[api.TargetID]float64, mean, least float64) {
	loads = make(map[api.TargetID]float64)
	sum := 0.0
	for i, t := range eligible {
		for _, load := range p.targets[t.ID].PartitionLoad {
			loads[t.ID] += load
		}
		sum += loads[t.ID]
		if i == 0 || loads[t.ID] < least {
			least = loads[t.ID]
		}
	}
	return loads, sum / float64(len(eligible)), least
}

// overriddenKeys returns the keys of the service that have an override.
func (p *servicePlan) overriddenKeys() map[string]bool {
	known := make(map[string]bool)
	for _, o := range p.view.Configuration.Overrides {
		if o.Service == p.name {
			known[o.Key] = true
		}
	}
	return known
}

// ownsHashPartition reports whether the target holds a grant of the key's hash partition that this
// batch does not revoke.
func (p *servicePlan) ownsHashPartition(service *api.Service, key string, id api.TargetID) bool {
	i := api.PartitionOf(key, service.Partitions)
	a := p.view.Assignments[p.name][i]
	if a.State != api.Granted || a.Target != id {
		return false
	}
	for _, s := range p.batch.Revokes {
		if s.PartitionRef == p.ref(i) {
			return false
		}
	}
	return true
}
