package gate

import (
	"math"
	"time"
)

// startRateLimiter bounds the requests started within any second while a target is cold.
type startRateLimiter struct {
	rate  float64   // starts per second; 0 means no limit
	until time.Time // end of the cold start
	// starts is a ring buffer of the times of the latest starts, recorded while warm as well.
	starts []time.Time
	next   int
}

// wait returns how long the next start has to wait; 0 means that it may start now.
func (c *startRateLimiter) wait(now time.Time) time.Duration {
	if c.rate <= 0 || !now.Before(c.until) {
		return 0
	}
	c.init()
	oldest := c.starts[c.next]
	if oldest.IsZero() {
		return 0
	}
	return max(oldest.Add(time.Second).Sub(now), 0)
}

// record adds a start.
func (c *startRateLimiter) record(now time.Time) {
	if c.rate <= 0 {
		return
	}
	c.init()
	c.starts[c.next] = now
	c.next = (c.next + 1) % len(c.starts)
}

func (c *startRateLimiter) init() {
	if c.starts == nil {
		c.starts = make([]time.Time, max(int(math.Floor(c.rate)), 1))
	}
}

// SetColdRate limits the target to rate request starts per second for the duration d. A d of 0
// ends the limit, and a rate of 0 means no limit.
func (g *Gate) SetColdRate(d time.Duration, rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rate != g.startRate.rate {
		g.startRate = startRateLimiter{rate: rate}
	}
	g.startRate.until = g.now().Add(d)
	g.admitWaiting()
}

// admitWaitingAfter admits waiting requests again after the given time. The caller holds the lock.
func (g *Gate) admitWaitingAfter(wait time.Duration) {
	at := g.now().Add(wait)
	pending := !g.startTimerAt.IsZero()
	if pending && !at.Before(g.startTimerAt) {
		return
	}
	if pending {
		g.startTimer.Stop()
	}
	g.startTimerAt = at
	g.startTimer = time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.startTimerAt = time.Time{}
		g.admitWaiting()
	})
}
