package gate

import (
	"math"
	"time"
)

// coldPace bounds the requests started within any second while a target is cold.
type coldPace struct {
	rate  float64   // starts per second; 0 means no bound
	until time.Time // end of the cold start
	// starts is a ring of the times of the latest starts, in a cold start or not.
	starts []time.Time
	next   int
	// timer says that a wake-up is pending.
	timer bool
}

// wait returns how long the next start has to wait.
func (c *coldPace) wait(now time.Time) time.Duration {
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

func (c *coldPace) note(now time.Time) {
	if c.rate <= 0 {
		return
	}
	c.init()
	c.starts[c.next] = now
	c.next = (c.next + 1) % len(c.starts)
}

func (c *coldPace) init() {
	if c.starts == nil {
		c.starts = make([]time.Time, max(int(math.Floor(c.rate)), 1))
	}
}

// SetColdRate says for how much longer the target bears only rate requests per second; a duration
// of 0 ends that, and a rate of 0 means no bound.
func (g *Gate) SetColdRate(d time.Duration, rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rate != g.cold.rate {
		g.cold = coldPace{rate: rate, timer: g.cold.timer}
	}
	g.cold.until = g.now().Add(d)
	g.pump()
}

// resumeAfter pumps again once a cold target bears the next start. The caller holds the lock.
func (g *Gate) resumeAfter(wait time.Duration) {
	if g.cold.timer {
		return
	}
	g.cold.timer = true
	time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.cold.timer = false
		g.pump()
	})
}
