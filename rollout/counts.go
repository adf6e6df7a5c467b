package rollout

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// sampleInterval is the time between two samples of the counts.
	sampleInterval = 500 * time.Millisecond
	// MaxRoutes bounds the routes that are counted for one target.
	MaxRoutes = 32
)

// shortWindow and longWindow are the times over which versions are compared, beside the time since the canary phase
// began. A version that turns bad late shows in the short one, and a service with few requests in the longer ones.
const (
	shortWindow = 3 * time.Second
	longWindow  = 6 * time.Second
	// shortWindowShare of Limits.Rollback is the bound of the short window: the rest is for the heartbeats, the commit
	// and the distribution of the decision.
	shortWindowShare = 0.6
)

// cellKey names the counts of one route at one target.
type cellKey struct {
	target api.TargetID
	route  string
}

// cell holds the counts of one route at one target.
type cell struct {
	isNew bool
	// last are the counts as last received, total those over all node processes.
	last, total api.RouteOutcome
}

// sample holds the counts at a time.
type sample struct {
	at     time.Time
	totals map[cellKey]api.RouteOutcome
}

// Counts holds what nodes have counted during one roll-out, by target and route.
type Counts struct {
	version string
	short   time.Duration
	cells   map[cellKey]*cell
	routes  map[api.TargetID]int
	samples []sample // the last longest window, by time
	// canaryBegan and switchBegan are the samples at the beginning of the phases; empty before, and zero at a leader
	// that took over later.
	canaryBegan, switchBegan *sample
}

// NewCounts returns empty counts of a roll-out to the version.
func NewCounts(version string, limits Limits) *Counts {
	short := min(shortWindow, time.Duration(shortWindowShare*float64(limits.Rollback)))
	return &Counts{version: version, short: short, cells: make(map[cellKey]*cell), routes: make(map[api.TargetID]int)}
}

// Record adds the counts of a target. A count below the last one comes from another process of the node, which
// started from zero.
func (c *Counts) Record(o *api.TargetOutcomes) {
	for _, r := range o.Routes {
		key := cellKey{o.Target, r.Route}
		have := c.cells[key]
		if have == nil {
			if c.routes[o.Target] >= MaxRoutes {
				continue
			}
			c.routes[o.Target]++
			have = &cell{isNew: o.Version == c.version}
			c.cells[key] = have
		}
		if r.Responses < have.last.Responses {
			have.last = api.RouteOutcome{}
		}
		have.total = add(have.total, subtract(r, have.last))
		have.last = r
	}
}

// Observe takes a sample when one is due. Call it at each decision.
func (c *Counts) Observe(now time.Time, phase api.RolloutPhase) {
	switch {
	case phase == api.RolloutCanary && c.canaryBegan == nil:
		c.canaryBegan = c.sample(now)
	case phase == api.RolloutSwitching && c.switchBegan == nil:
		c.switchBegan = c.sample(now)
	}
	if n := len(c.samples); n > 0 && now.Sub(c.samples[n-1].at) < sampleInterval {
		return
	}
	c.samples = append(c.samples, *c.sample(now))
	for len(c.samples) > 1 && now.Sub(c.samples[1].at) >= longWindow+sampleInterval {
		c.samples = c.samples[1:]
	}
}

func (c *Counts) sample(now time.Time) *sample {
	s := &sample{at: now, totals: make(map[cellKey]api.RouteOutcome, len(c.cells))}
	for key, cell := range c.cells {
		s.totals[key] = cell.total
	}
	return s
}

// before returns the latest sample that is at least as old as the window, or nil.
func (c *Counts) before(now time.Time, window time.Duration) *sample {
	for i := len(c.samples) - 1; i >= 0; i-- {
		if now.Sub(c.samples[i].at) >= window {
			return &c.samples[i]
		}
	}
	return nil
}

// since returns the counts of the new or old targets after the sample; nil stands for all counts.
func (c *Counts) since(s *sample, isNew bool) byTarget {
	list := make(byTarget)
	for key, cell := range c.cells {
		if cell.isNew != isNew {
			continue
		}
		counts := cell.total
		if s != nil {
			counts = subtract(counts, s.totals[key])
		}
		if counts.Responses == 0 {
			continue
		}
		if list[key.target] == nil {
			list[key.target] = make(map[string]api.RouteOutcome)
		}
		list[key.target][key.route] = counts
	}
	return list
}

func subtract(a, b api.RouteOutcome) api.RouteOutcome {
	a.Responses -= min(b.Responses, a.Responses)
	a.Failures -= min(b.Failures, a.Failures)
	for i := range a.Latencies {
		a.Latencies[i] -= min(b.Latencies[i], a.Latencies[i])
	}
	return a
}

func add(a, b api.RouteOutcome) api.RouteOutcome {
	a.Route = b.Route
	a.Responses += b.Responses
	a.Failures += b.Failures
	for i := range a.Latencies {
		a.Latencies[i] += b.Latencies[i]
	}
	return a
}
