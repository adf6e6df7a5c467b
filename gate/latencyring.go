package gate

import "time"

const (
	// recentSamples is the number of latencies in a median that follows changes, lightSamples that in one for light load.
	recentSamples, lightSamples = 32, 64
	// sampleInterval is the least time between two of them, so that a slow period of a fast target is not a median.
	sampleInterval = 100 * time.Millisecond
)

// latencyRing holds the latest latencies.
type latencyRing struct {
	values [lightSamples]time.Duration
	count  int
	last   time.Time
}

// add adds a latency, unless the one before is more recent than sampleInterval.
func (r *latencyRing) add(now time.Time, d time.Duration) {
	if now.Sub(r.last) < sampleInterval {
		return
	}
	r.last = now
	r.values[r.count%lightSamples] = d
	r.count++
}

// median returns the median of the last n latencies; zero without any.
func (r *latencyRing) median(n int) time.Duration {
	n = min(n, r.count)
	if n == 0 {
		return 0
	}
	var last [lightSamples]time.Duration
	for i := range n {
		last[i] = r.values[(r.count-1-i)%lightSamples]
	}
	return median(last[:n])
}
