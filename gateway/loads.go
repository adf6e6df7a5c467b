package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// maxTrackedTargets is the number of targets whose load is recorded. Beyond it the table is
	// cleared, which balances less evenly until it has refilled.
	maxTrackedTargets = 16384
	// latencyHalfLife is the time in which the latency of an unused target halves, so that a target
	// that was slow for a moment is tried again.
	latencyHalfLife = time.Second
)

// loadTable holds the load of targets as known to this node.
type loadTable struct {
	mu       sync.RWMutex
	byTarget map[api.TargetID]*load
}

// load is the observed and reported load of one target.
type load struct {
	outstanding atomic.Int64

	mu      sync.Mutex
	latency time.Duration
	at      time.Time
	last    loadReport
}

// loadReport is the load that a target's node reports with a response.
type loadReport struct {
	expected time.Duration // of one more request
	bodyWait time.Duration // until the node's link is free for a large body
	linkWait time.Duration // until the node's link is free for a large response
	at       time.Time     // when it arrived
}

// loadReportMaxAge is how long a load report is used. Slow periods of a target last some hundred
// milliseconds.
const loadReportMaxAge = 500 * time.Millisecond

// recordReport stores the latest report of the target's node.
func (l *load) recordReport(s loadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = s
}

// recentReport returns the last report if it is no older than loadReportMaxAge, or the zero value.
func (l *load) recentReport(now time.Time) loadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last.at) > loadReportMaxAge {
		return loadReport{}
	}
	return l.last
}

// find returns the load of a target; nil if none is recorded.
func (t *loadTable) find(id api.TargetID) *load {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byTarget[id]
}

// get returns the load of a target, which is recorded from now on.
func (t *loadTable) get(id api.TargetID) *load {
	if l := t.find(id); l != nil {
		return l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.byTarget[id]; l != nil {
		return l
	}
	if t.byTarget == nil || len(t.byTarget) >= maxTrackedTargets {
		t.byTarget = make(map[api.TargetID]*load)
	}
	l := new(load)
	t.byTarget[id] = l
	return l
}

// observe adds a latency to the decaying mean; each sample weighs 1/4.
func (l *load) observe(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latency == 0 {
		l.latency = d
	} else {
		l.latency += (d - l.latency) / 4
	}
	l.at = now
}

func (l *load) decayedLatency(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	halvings := min(now.Sub(l.at)/latencyHalfLife, 30)
	return l.latency >> max(halvings, 0)
}

const (
	percentileWindow   = 256 // latencies per percentile
	percentileInterval = 32  // latencies between two computations of the percentile
	meanWindow         = 32  // latencies in the mean
	// minPercentileSamples is the number of latencies required for a percentile.
	minPercentileSamples = 32
	// maxP95ToMedian limits the 95th percentile as a multiple of the median. If more than 1 request
	// in 20 is a straggler, the percentile is the latency of the stragglers, and a hedge that waits
	// for it comes too late; the hedge budget still limits the number of hedges.
	maxP95ToMedian = 3
)

// serviceLatencies holds the latency statistics by service.
type serviceLatencies struct{ byService sync.Map }

func (s *serviceLatencies) get(service string) *latencyStats {
	if p, ok := s.byService.Load(service); ok {
		return p.(*latencyStats)
	}
	p, _ := s.byService.LoadOrStore(service, new(latencyStats))
	return p.(*latencyStats)
}

// find is get without adding a service.
func (s *serviceLatencies) find(service string) *latencyStats {
	if p, ok := s.byService.Load(service); ok {
		return p.(*latencyStats)
	}
	return new(latencyStats)
}

// latencyStats tracks the 95th percentile of recent latencies and their decaying mean.
type latencyStats struct {
	p95  atomic.Int64
	mean atomic.Int64

	mu     sync.Mutex
	values [percentileWindow]time.Duration
	count  int
}

func (p *latencyStats) add(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[p.count%percentileWindow] = d
	p.count++
	mean := time.Duration(p.mean.Load())
	p.mean.Store(int64(mean + (d-mean)/time.Duration(min(p.count, meanWindow))))
	if p.count < minPercentileSamples || p.count%percentileInterval != 0 {
		return
	}
	sorted := p.values
	n := min(p.count, percentileWindow)
	slices.Sort(sorted[:n])
	p.p95.Store(int64(min(sorted[n*95/100], maxP95ToMedian*sorted[n/2])))
}

// p95Latency returns the 95th percentile, at most maxP95ToMedian medians; zero while there are too
// few latencies.
func (p *latencyStats) p95Latency() time.Duration { return time.Duration(p.p95.Load()) }

// meanLatency returns the decaying mean; zero before the first latency.
func (p *latencyStats) meanLatency() time.Duration { return time.Duration(p.mean.Load()) }

// expected returns the time in which a request is likely responded to; zero before the first latency.
func (p *latencyStats) expected() time.Duration { return max(p.p95Latency(), p.meanLatency()) }
