package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinniapier/zinniapier/api"
)

const (
	// loadsBound is the number of targets whose load is remembered; beyond it the table
	// starts afresh, which costs some unevenness for a moment.
	loadsBound = 16384
	// latencyHalfLife is the time in which the latency of an unused target halves, so
	// that one that was slow for a moment is tried again.
	latencyHalfLife = time.Second
)

// loadTable is what this node knows of the load of targets.
type loadTable struct {
	mu       sync.RWMutex
	byTarget map[api.TargetID]*load
}

// load is the observed load of one target.
type load struct {
	outstanding atomic.Int64

	mu      sync.Mutex
	latency time.Duration
	at      time.Time
	last    statement
}

// statement is what a target's node says of its load.
type statement struct {
	expected time.Duration // time of one more request
	bodyWait time.Duration // until the node's link is free for a large body
	at       time.Time     // when it arrived
}

// statementLife is how long a stated time is used. Slow moments of a target last some hundred
// milliseconds.
const statementLife = 500 * time.Millisecond

// state notes what the target's node states.
func (l *load) state(s statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = s
}

// stated returns what the target's node stated of late, or the zero value.
func (l *load) stated(now time.Time) statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last.at) > statementLife {
		return statement{}
	}
	return l.last
}

func (t *loadTable) get(id api.TargetID) *load {
	t.mu.RLock()
	l := t.byTarget[id]
	t.mu.RUnlock()
	if l != nil {
		return l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.byTarget[id]; l != nil {
		return l
	}
	if t.byTarget == nil || len(t.byTarget) >= loadsBound {
		t.byTarget = make(map[api.TargetID]*load)
	}
	l = new(load)
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

func (l *load) current(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	halvings := min(now.Sub(l.at)/latencyHalfLife, 30)
	return l.latency >> max(halvings, 0)
}

const (
	timesWindow = 256 // latencies behind one percentile
	timesStep   = 32  // latencies between two computations of it
	meanWindow  = 32  // latencies behind the mean
	// timesLeast is the number of latencies below which no percentile is known.
	timesLeast = 32
	// tailFactor bounds the 95th percentile by the median. When more than 1 request in 20
	// straggles, the percentile is the straggling itself, and a hedge that waits for it
	// comes too late; the hedge budget still bounds the number.
	tailFactor = 3
)

// serviceTimes holds the observed latencies by service.
type serviceTimes struct{ byService sync.Map }

func (s *serviceTimes) get(service string) *percentile {
	if p, ok := s.byService.Load(service); ok {
		return p.(*percentile)
	}
	p, _ := s.byService.LoadOrStore(service, new(percentile))
	return p.(*percentile)
}

// percentile follows the 95th percentile of the last latencies, and their decaying mean.
type percentile struct {
	p95  atomic.Int64
	mean atomic.Int64

	mu     sync.Mutex
	values [timesWindow]time.Duration
	count  int
}

func (p *percentile) add(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[p.count%timesWindow] = d
	p.count++
	mean := time.Duration(p.mean.Load())
	p.mean.Store(int64(mean + (d-mean)/time.Duration(min(p.count, meanWindow))))
	if p.count < timesLeast || p.count%timesStep != 0 {
		return
	}
	sorted := p.values
	n := min(p.count, timesWindow)
	slices.Sort(sorted[:n])
	p.p95.Store(int64(min(sorted[n*95/100], tailFactor*sorted[n/2])))
}

// get returns the 95th percentile, at most tailFactor medians; zero while there are too few
// latencies.
func (p *percentile) get() time.Duration { return time.Duration(p.p95.Load()) }

// usual returns the mean; zero before the first latency.
func (p *percentile) usual() time.Duration { return time.Duration(p.mean.Load()) }
