package bench

import (
	"slices"
	"time"
)

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

// admit reports whether one central bucket would have admitted an arrival at the given time.
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

// span is the time between the arrival of a request and the end of its answer.
type span struct{ arrival, end time.Duration }

// certainOvershoot is like overshoot but counts in a window only the requests that arrived
// and ended in it, and so were admitted in it. Overshoot at the targets may also come from
// admitted requests that waited and then started together. Spans must be in order of arrival.
func certainOvershoot(rate, burst float64, served []span) float64 {
	worst := 0.0
	var ends []time.Duration // of the requests that arrived since the start of the window
	for i := len(served) - 1; i >= 0; i-- {
		at, _ := slices.BinarySearch(ends, served[i].end)
		ends = slices.Insert(ends, at, served[i].end)
		for n, end := range ends {
			worst = max(worst, float64(n+1)-burst-rate*(end-served[i].arrival).Seconds())
		}
	}
	return worst
}
