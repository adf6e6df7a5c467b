package gate

import "time"

const (
	// firstPause is the pause after the first refusal by a cold target; each further refusal doubles
	// it. Sending without a pause would lose one request per refusal: a request that the target has
	// seen may not be retried.
	firstPause = 25 * time.Millisecond
	// maxPause bounds how long a target that has already recovered stays idle.
	maxPause = 100 * time.Millisecond
)

// allows reports whether that many requests may run at once. After a refusal in a cold start,
// one request at a time probes the target until it serves one.
func (l *limiter) allows(running int) bool {
	if l.paused {
		return false
	}
	if l.lastPause > 0 {
		return running <= 1
	}
	return running <= l.limit()
}

// startPause stops admission and returns the length of the pause; 0 when a pause is already
// running or the cold-start ramp is off.
func (l *limiter) startPause() time.Duration {
	if l.noRamp || l.paused {
		return 0
	}
	l.paused = true
	l.lastPause = min(max(2*l.lastPause, firstPause), maxPause)
	return l.lastPause
}
