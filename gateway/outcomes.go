package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// maxOutcomeRoutes is the maximum number of routes that are counted separately for a target; the others are
	// counted under the empty name. It bounds heartbeats and memory.
	maxOutcomeRoutes = 32
	// maxOutcomeTargets is the maximum number of targets that are counted at once. Targets that crash and start again
	// during a roll-out have a new ID each time.
	maxOutcomeTargets = 64
)

// Events of the counting.
const (
	// eventOutcomes and eventOutcomeFailures count the outcomes and the failures among them.
	eventOutcomes        = "rollout_outcomes"
	eventOutcomeFailures = "rollout_outcome_failures"
	// eventOutcomesDropped counts outcomes beyond maxOutcomeTargets.
	eventOutcomesDropped = "rollout_outcomes_dropped"
)

// attemptOutcome describes how a request ended at a target.
type attemptOutcome struct {
	rollout, service string
	target           api.TargetID
	version          string
	route            string
	failed           bool
	// latency is zero without a response, and for a response that was sent during a cold start.
	latency time.Duration
}

// outcomeCounts counts how requests end at the targets of this node while roll-outs of their services run. The counts
// of a target are cumulative and end with the roll-out. It is safe for concurrent use.
//
// Load pattern: two versions of a service under load, one of which fails or answers slowly, perhaps on one route only.
type outcomeCounts struct {
	mu      sync.Mutex
	targets map[api.TargetID]*targetCounts
}

type targetCounts struct {
	rollout, service, version string
	routes                    map[string]*api.RouteOutcome
}

// add counts an outcome. Counts of an earlier roll-out of the target's service are replaced.
func (c *outcomeCounts) add(o attemptOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.targets[o.target]
	if t == nil && len(c.targets) >= maxOutcomeTargets {
		telemetry.CountEvent(eventOutcomesDropped, 1)
		return
	}
	if t == nil || t.rollout != o.rollout {
		t = &targetCounts{rollout: o.rollout, service: o.service, version: o.version, routes: make(map[string]*api.RouteOutcome)}
		if c.targets == nil {
			c.targets = make(map[api.TargetID]*targetCounts)
		}
		c.targets[o.target] = t
	}
	r := t.route(o.route)
	r.Responses++
	telemetry.CountEvent(eventOutcomes, 1)
	if o.failed {
		r.Failures++
		telemetry.CountEvent(eventOutcomeFailures, 1)
	}
	if o.latency > 0 {
		r.Latencies[api.LatencyBucket(o.latency)]++
	}
}

// route returns the counts of a route, or those under the empty name beyond maxOutcomeRoutes. The entry for the empty
// name is one of them, so one place is kept for it.
func (t *targetCounts) route(name string) *api.RouteOutcome {
	if r := t.routes[name]; r != nil {
		return r
	}
	limit := maxOutcomeRoutes
	if t.routes[""] == nil {
		limit--
	}
	if len(t.routes) >= limit {
		name = ""
	}
	r := t.routes[name]
	if r == nil {
		r = &api.RouteOutcome{Route: name}
		t.routes[name] = r
	}
	return r
}

// current returns the counts of the roll-outs that run by the configuration, ordered by target and route, and drops
// the others.
func (c *outcomeCounts) current(configuration *api.Configuration) []api.TargetOutcomes {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []api.TargetOutcomes
	for id, t := range c.targets {
		r := configuration.RunningRollout(t.service)
		if r == nil || r.ID != t.rollout {
			delete(c.targets, id)
			continue
		}
		list = append(list, t.outcomes(id))
	}
	slices.SortFunc(list, func(x, y api.TargetOutcomes) int { return cmp.Compare(x.Target, y.Target) })
	return list
}

func (t *targetCounts) outcomes(id api.TargetID) api.TargetOutcomes {
	o := api.TargetOutcomes{Rollout: t.rollout, Target: id, Version: t.version, Routes: make([]api.RouteOutcome, 0, len(t.routes))}
	for _, r := range t.routes {
		o.Routes = append(o.Routes, *r)
	}
	slices.SortFunc(o.Routes, func(x, y api.RouteOutcome) int { return cmp.Compare(x.Route, y.Route) })
	return o
}
