package gate

import (
	"math"
	"time"
)

// loadWindow is the time constant of the moving average of running requests.
const loadWindow = time.Second

// loadAverage is an exponential moving average of a count, weighted by time.
type loadAverage struct {
	value float64
	last  time.Time
}

// advance adds the time since the last call, during which the count was current, and returns the average.
func (a *loadAverage) advance(now time.Time, current int) float64 {
	if !a.last.IsZero() {
		kept := math.Exp(-now.Sub(a.last).Seconds() / loadWindow.Seconds())
		a.value = kept*a.value + (1-kept)*float64(current)
	}
	a.last = now
	return a.value
}

// ExpectedLatency returns the time in which the target would respond to one more request: its mean
// service time plus the wait for a slot and for the named rate. It is 0 before the first response.
func (g *Gate) ExpectedLatency() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	mean := g.limiter.times.mean
	limit := g.settledLimit(&g.limiter)
	over := max(g.running+g.queue.Len()+1-limit, 0)
	return mean + max(mean*time.Duration(over)/time.Duration(limit), g.namedRate.wait(g.now(), g.queue.Len()+1))
}

// MeanLatency returns the mean time in which the target responds once it has been sent a request; 0 before the first
// response.
func (g *Gate) MeanLatency() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.times.mean
}

// ServiceTime returns the mean service time of the target over its last few hundred requests; 0 when
// there were too few.
func (g *Gate) ServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limiter.times.count < minSteadySamples {
		return 0
	}
	return g.limiter.times.steadyMean
}

// Load returns the moving average of running requests, and reports whether the target is in its
// cold-start ramp.
func (g *Gate) Load() (load float64, cold bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.limiter.advance(now)
	return g.load.advance(now, g.running), g.limiter.cold
}

// ColdStart reports whether the target is in its cold-start ramp, or in a cold start that it has stated.
func (g *Gate) ColdStart() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.limiter.advance(now)
	return g.limiter.cold || now.Before(g.startRate.until)
}

// Requests returns the number of requests that run or wait.
func (g *Gate) Requests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running + g.queue.Len()
}
