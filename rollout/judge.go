package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// minEvents is the least number of failures, or slow responses, of a bad version.
	minEvents = 8
	// minOldResponses is the least number of responses of the old version to compare with.
	minOldResponses = 20
	// minFailureExcess and minSlowExcess are the least differences of the proportions.
	minFailureExcess = 0.05
	minSlowExcess    = 0.2
	// minErrors is the least difference in standard errors.
	minErrors = 4
	// switchingFactor multiplies minEvents, minFailureExcess and minSlowExcess during the switch, when there are no
	// old responses of the same time to compare with, and the keys of a partitioned service are moving.
	switchingFactor = 2
	// slowBuckets above the bucket of the median, a response has taken about three times the median: 1.5^2.7 is 3.
	slowBuckets = 3
	// maxDispersion bounds the dispersion, so that a few faulty old targets cannot hide a bad version.
	maxDispersion = 9.0
)

// byTarget holds counts by target and route.
type byTarget map[api.TargetID]map[string]api.RouteOutcome

// Verdict says whether a version is bad, and why.
type Verdict struct {
	Bad    bool
	Reason string
}

// Judge compares the new targets with the old ones over the same time, for several lengths of time. It returns a bad
// verdict only if the counts show it: too few requests to tell are not bad. newTargets is the number of new targets
// that get requests.
//
// Load pattern: a bad version fails part of its requests or responds several times more slowly, at once or later, on all
// routes or one. On a bad day old and new targets fail alike, a target is several times slower for some hundred
// milliseconds at a time, and a single target is faulty.
func (c *Counts) Judge(now time.Time, phase api.RolloutPhase, newTargets int) Verdict {
	switch phase {
	case api.RolloutCanary:
		return c.judgeCanary(now, newTargets)
	case api.RolloutSwitching:
		// Old targets get no new requests, so their counts since the canary phase began are the comparison.
		oldCounts := c.since(c.canaryBegan, false)
		for _, s := range []*sample{c.switchBegan, c.before(now, c.short)} {
			if s == nil || c.switchBegan != nil && s.at.Before(c.switchBegan.at) {
				continue
			}
			if v := judge(c.since(s, true), oldCounts, newTargets, switchingFactor); v.Bad {
				v.Reason += fmt.Sprintf(" in %v of the switch", now.Sub(s.at).Round(time.Millisecond))
				return v
			}
		}
	}
	return Verdict{}
}

func (c *Counts) judgeCanary(now time.Time, newTargets int) Verdict {
	starts := []*sample{c.canaryBegan}
	for _, w := range []time.Duration{c.short, longWindow} {
		if s := c.before(now, w); s != nil && c.canaryBegan != nil && s.at.After(c.canaryBegan.at) {
			starts = append(starts, s)
		}
	}
	for _, s := range starts {
		if v := judge(c.since(s, true), c.since(s, false), newTargets, 1); v.Bad {
			if s != nil {
				v.Reason += fmt.Sprintf(" in %v", now.Sub(s.at).Round(time.Millisecond))
			}
			return v
		}
	}
	return Verdict{}
}

// judge compares counts of the same time, over all routes and by route.
func judge(newCounts, oldCounts byTarget, newTargets int, factor float64) Verdict {
	for _, m := range []measure{failures(oldCounts, factor), slowness(oldCounts, factor)} {
		routes := m.routes()
		if v := m.compare("", routes, newCounts, oldCounts, newTargets); v.Bad {
			return v
		}
		for _, route := range routes {
			if v := m.compare(route, []string{route}, newCounts, oldCounts, newTargets); v.Bad {
				return v
			}
		}
	}
	return Verdict{}
}

// measure is a property of responses whose proportion is compared.
type measure struct {
	name      string
	minEvents float64
	minExcess float64
	// proportions are those of the old targets by route; a route with too few old responses has none.
	proportions map[string]float64
	// count returns the responses that tell about the property, and those that have it.
	count func(route string, o api.RouteOutcome) (n, events float64)
}

func failures(oldCounts byTarget, factor float64) measure {
	m := measure{name: "failures", minEvents: minEvents * factor, minExcess: minFailureExcess * factor}
	m.count = func(_ string, o api.RouteOutcome) (n, events float64) {
		return float64(o.Responses), float64(o.Failures)
	}
	m.learn(oldCounts)
	return m
}

// slowness is the measure of responses that take about three times the median of the old ones on the same route. Where
// the histogram has no such bucket, the route has no proportion.
func slowness(oldCounts byTarget, factor float64) measure {
	m := measure{name: "slow responses", minEvents: minEvents * factor, minExcess: minSlowExcess * factor}
	histograms := make(map[string][api.LatencyBuckets]uint64)
	for _, routes := range oldCounts {
		for route, o := range routes {
			h := histograms[route]
			for i, n := range o.Latencies {
				h[i] += n
			}
			histograms[route] = h
		}
	}
	m.count = func(route string, o api.RouteOutcome) (n, events float64) {
		first := medianBucket(histograms[route]) + slowBuckets
		if first >= api.LatencyBuckets {
			return 0, 0
		}
		for i, count := range o.Latencies {
			n += float64(count)
			if i >= first {
				events += float64(count)
			}
		}
		return n, events
	}
	m.learn(oldCounts)
	return m
}

func medianBucket(h [api.LatencyBuckets]uint64) int {
	sum, below := uint64(0), uint64(0)
	for _, n := range h {
		sum += n
	}
	for i, n := range h {
		if below += n; 2*below >= sum {
			return i
		}
	}
	return api.LatencyBuckets - 1
}

// learn sets the proportions of the old targets.
func (m *measure) learn(oldCounts byTarget) {
	n, events := make(map[string]float64), make(map[string]float64)
	for _, routes := range oldCounts {
		for route, o := range routes {
			more, have := m.count(route, o)
			n[route] += more
			events[route] += have
		}
	}
	m.proportions = make(map[string]float64)
	for route := range n {
		if n[route] >= minOldResponses {
			m.proportions[route] = events[route] / n[route]
		}
	}
}

func (m *measure) routes() []string { return slices.Sorted(maps.Keys(m.proportions)) }

// tally is what one target has on some routes.
type tally struct {
	n, events float64
	// expected and variance of events, at the proportions of the old targets.
	expected, variance float64
}

func (t *tally) add(o tally) {
	t.n, t.events = t.n+o.n, t.events+o.events
	t.expected, t.variance = t.expected+o.expected, t.variance+o.variance
}

func (m *measure) tally(routes []string, counts map[string]api.RouteOutcome) (t tally) {
	for _, route := range routes {
		n, events := m.count(route, counts[route])
		p := m.proportions[route]
		t.add(tally{n, events, n * p, n * p * (1 - p)})
	}
	return t
}

// compare judges the new targets on the routes; name is the route, or empty for all.
func (m *measure) compare(name string, routes []string, newCounts, oldCounts byTarget, newTargets int) Verdict {
	oldN, dispersion := m.dispersion(routes, oldCounts)
	var list []tally
	for _, counts := range newCounts {
		if t := m.tally(routes, counts); t.n > 0 {
			list = append(list, t)
		}
	}
	all := sum(list)
	if !m.isBad(all, oldN, dispersion) {
		return Verdict{}
	}
	if newTargets >= minCanaries {
		// A single faulty target says nothing about its version.
		slices.SortFunc(list, func(a, b tally) int { return cmp.Compare(b.events-b.expected, a.events-a.expected) })
		worst := (len(list) + 4) / 5
		if !m.isBad(sum(list[worst:]), oldN, dispersion) {
			return Verdict{}
		}
	}
	where := "on all routes"
	if name != "" {
		where = fmt.Sprintf("on route %q", name)
	}
	return Verdict{Bad: true, Reason: fmt.Sprintf("%s %s: %.0f of %.0f responses at %d new targets, expected %.1f from %.0f old responses, dispersion %.1f",
		m.name, where, all.events, all.n, len(list), all.expected, oldN, dispersion)}
}

func sum(list []tally) (all tally) {
	for _, t := range list {
		all.add(t)
	}
	return all
}

// dispersion returns the responses of the old targets, and by how much the variance between them exceeds that of
// independent responses. A target that is slow for a while is so for all its requests. The most extreme tenth of the
// targets is left out, since a faulty old target says nothing about the others.
func (m *measure) dispersion(routes []string, oldCounts byTarget) (n, dispersion float64) {
	var squares []float64
	for _, counts := range oldCounts {
		t := m.tally(routes, counts)
		n += t.n
		if t.variance > 0 {
			squares = append(squares, (t.events-t.expected)*(t.events-t.expected)/t.variance)
		}
	}
	slices.Sort(squares)
	squares = squares[:len(squares)-(len(squares)+9)/10]
	total := 0.0
	for _, s := range squares {
		total += s
	}
	if len(squares) < 2 {
		return n, 1
	}
	return n, min(max(total/float64(len(squares)-1), 1), maxDispersion)
}

// isBad reports whether the events of new targets exceed the expected ones by more than chance and minExcess.
func (m *measure) isBad(t tally, oldN, dispersion float64) bool {
	if t.events < m.minEvents || oldN < minOldResponses {
		return false
	}
	p, expected := t.events/t.n, t.expected/t.n
	oldVariance := expected * (1 - expected)
	variance := max(p*(1-p), oldVariance)/t.n + oldVariance/oldN
	excess := p - expected
	return excess >= m.minExcess && excess > minErrors*math.Sqrt(dispersion*variance)
}
