package gate

import "time"

const (
	// firstPause is the wait after the first refusal of a target in a cold start; it doubles
	// with each further one. Sending on at once costs one request for each refusal, and these
	// may not be repeated once the target has seen them.
	firstPause = 25 * time.Millisecond
	// longestPause bounds what an already recovered target is left idle.
	longestPause = 100 * time.Millisecond
)

// bears says whether that many requests may run at once. After a refusal in a cold start,
// one at a time probes the target until it serves one.
func (l *limiter) bears(running int) bool {
	if l.paused {
		return false
	}
	if l.pause > 0 {
		return running <= 1
	}
	return running <= l.limit()
}

// startPause returns for how long to send nothing; 0 when the gate pauses already or does
// not handle cold starts.
func (l *limiter) startPause() time.Duration {
	if l.noRamp || l.paused {
		return 0
	}
	l.paused = true
	l.pause = min(max(2*l.pause, firstPause), longestPause)
	return l.pause
}
