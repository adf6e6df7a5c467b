package control

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
	"github.com/zinniapier/zinniapier/state"
)

const (
	// hotShare is the share of the mean load of a target above which a single key gets its
	// own partition. Below it, moving whole partitions evens out the load well enough.
	hotShare = 0.25
	// hotFloor is the least load of a hot key in requests per second; below it, measured
	// load is mostly noise, and overrides are few.
	hotFloor = 10.0
	// overridesPerPlan bounds the overrides of a service in one plan, since each changes
	// the configuration that every node holds.
	overridesPerPlan = 4
	// defaultDeadline is the deadline of requests of a service that does not state one.
	defaultDeadline = 10 * time.Second
)

func overrideOf(view *api.ControlState, ref api.PartitionRef) *api.Override {
	for i := range view.Configuration.Overrides {
		if o := &view.Configuration.Overrides[i]; o.Service == ref.Service && o.Partition == ref.Partition {
			return o
		}
	}
	return nil
}

// held says whether an override must stay with its first owner. Requests for the key may
// still run there under the grant of its hash partition, and releasing the override does
// not wait for them. It may go once that grant has been released, or once all nodes have
// acknowledged the override and the deadline of the requests routed before has passed.
func (p *servicePlan) held(i int, a api.Assignment) bool {
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
	until, ok := p.holds[p.ref(i)]
	if !ok && p.acknowledged(o.Version) {
		until = p.now.Add(deadline(service))
		p.holds[p.ref(i)] = until
		ok = true
	}
	return !ok || p.now.Before(until)
}

// acknowledged says whether every live session holds at least the configuration version.
func (l *leader) acknowledged(version uint64) bool {
	for _, s := range l.sessions {
		if !s.lost && s.last.ConfigVersion < version {
			return false
		}
	}
	return true
}

func deadline(service *api.Service) time.Duration {
	if service.DeadlineMs > 0 {
		return time.Duration(service.DeadlineMs) * time.Millisecond
	}
	return defaultDeadline
}

// planOverrides gives hot keys their own partitions where moving the key would lower the
// load of the target that owns it.
func (p *servicePlan) planOverrides(service *api.Service, eligible []placement.Target) {
	// The partitions of a ranged service are ranges; a single key has none of its own.
	if len(eligible) < 2 || service.Ranged() {
		return
	}
	loads, mean, least := p.targetLoads(eligible)
	known := p.overriddenKeys()
	added := 0
	for _, t := range eligible {
		for _, hot := range p.targets[t.ID].HotKeys {
			if added >= overridesPerPlan || len(known) >= state.MaxOverrides || p.full() {
				return
			}
			lowers := least+hot.Load < loads[t.ID]
			if known[hot.Key] || hot.Load < hotFloor || hot.Load <= hotShare*mean || !lowers {
				continue
			}
			if !p.ownsHash(service, hot.Key, t.ID) {
				continue
			}
			known[hot.Key] = true
			added++
			p.batch.Overrides = append(p.batch.Overrides, state.OverrideKey{Service: p.name, Key: hot.Key})
		}
	}
}

// targetLoads returns the load of each target, their mean and the least.
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

func (p *servicePlan) overriddenKeys() map[string]bool {
	known := make(map[string]bool)
	for _, o := range p.view.Configuration.Overrides {
		if o.Service == p.name {
			known[o.Key] = true
		}
	}
	return known
}

// ownsHash says whether the target holds a standing grant of the key's hash partition.
func (p *servicePlan) ownsHash(service *api.Service, key string, id api.TargetID) bool {
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
