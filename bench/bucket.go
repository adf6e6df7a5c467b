package bench

import "time"

// bucket is the central token bucket that the fleet-wide limiter is compared with.
type bucket struct {
	rate  float64 // tokens per second
	burst float64
	level float64
	last  time.Duration
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst}
}

// admit says whether one central bucket would have admitted an arrival at the given time.
// Arrivals must come in order.
func (b *bucket) admit(at time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// overshoot returns by how many requests the admissions exceed burst + rate x t in the
// worst window, or 0. Times must be in order.
//
// The excess over all windows that end now follows a leaky bucket, so one pass suffices.
func overshoot(rate, burst float64, admitted []time.Duration) float64 {
	var level, worst float64
	var last time.Duration
	for _, at := range admitted {
		level = max(0, level-rate*(at-last).Seconds()) + 1
		last = at
		worst = max(worst, level-burst)
	}
	return worst
}
