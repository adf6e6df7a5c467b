package target

import (
	"math"
	"sync"
	"time"
)

// collapseTime is how long a cold target that got too much answers nothing but 503.
const collapseTime = 200 * time.Millisecond

// coldState models a cold start: the bearable concurrency starts at cold slots and doubles
// each ramp. More makes the target collapse for collapseTime and start over.
type coldState struct {
	slots, coldSlots int
	ramp             time.Duration

	mu        sync.Mutex
	since     time.Time
	collapsed time.Time // end of the collapse
	overruns  int64
}

func (c *coldState) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = time.Now()
}

func (c *coldState) bearable(now time.Time) int {
	n := float64(c.coldSlots) * math.Exp2(float64(now.Sub(c.since))/float64(c.ramp))
	return int(min(n, float64(c.slots)))
}

// cold reports whether the target still bears less than its slots.
func (c *coldState) cold() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bearable(time.Now()) < c.slots
}

// admit reports the state at the arrival of a request that makes running requests run.
func (c *coldState) admit(running int) (ok, cold bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	limit := c.bearable(now)
	cold = limit < c.slots
	if now.Before(c.collapsed) {
		return false, cold
	}
	if cold && running > limit {
		c.overruns++
		c.since = now
		c.collapsed = now.Add(collapseTime)
		return false, cold
	}
	return true, cold
}

func (c *coldState) overrunCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overruns
}
