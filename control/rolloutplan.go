package control

import (
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/placement"
)

// canaryRollout returns the roll-out of the service if it is in the canary phase, or nil.
func (p *servicePlan) canaryRollout() *api.Rollout {
	if r := p.view.Configuration.FindRollout(p.name); r != nil && r.Phase == api.RolloutCanary {
		return r
	}
	return nil
}

// limitCanaries lowers the capacities of the canary targets, so that they get about their share of the load of the
// service.
func (p *servicePlan) limitCanaries(list []placement.Target) []placement.Target {
	r := p.canaryRollout()
	if r == nil {
		return list
	}
	old, canaries := 0.0, 0
	for _, t := range list {
		if r.IsCanary(t.ID) {
			canaries++
		} else {
			old += t.Capacity
		}
	}
	if canaries == 0 {
		return list
	}
	// Without old targets it is 0: canary targets keep their partitions and get no others.
	capacity := r.Share / (1 - r.Share) * old / float64(canaries)
	if capacity <= 0 {
		return p.withoutCanaries(list)
	}
	for i := range list {
		if t := &list[i]; r.IsCanary(t.ID) {
			t.Capacity = min(t.Capacity, capacity)
		}
	}
	return list
}

// withoutCanaries returns the targets that may get more than the canary share, and so take a hot key.
func (p *servicePlan) withoutCanaries(list []placement.Target) []placement.Target {
	r := p.canaryRollout()
	if r == nil {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(t placement.Target) bool { return r.IsCanary(t.ID) })
}

// canariesNeedPartitions reports whether to plan by load now, so that canary targets soon have their share.
func (p *servicePlan) canariesNeedPartitions() bool {
	r := p.canaryRollout()
	if r == nil {
		return false
	}
	a := p.activeRollout(p.view, r, p.now)
	if p.now.Sub(a.since) >= canaryPlacement || p.now.Before(a.nextCanaryPlan) {
		return false
	}
	a.nextCanaryPlan = p.now.Add(canaryPlanInterval)
	return true
}
