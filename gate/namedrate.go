package gate

import "time"

const (
	// namedRateBurst is how far starts may run ahead of an even spacing by the named rate.
	namedRateBurst = 250 * time.Millisecond
	// minNamedRate is the lowest rate in use, in requests per second: only a response tells that the target
	// takes more again.
	minNamedRate = 0.5
)

// namedRateLimiter spaces the requests to a target that names how many it takes per second.
//
// Load pattern: a target in need names half of what it usually takes, for seconds, while callers go on as before.
// What exceeds it would slow the target down for all.
type namedRateLimiter struct {
	interval time.Duration // between two starts; 0 means no limit
	due      time.Time     // when the next start is on schedule
}

// set changes the limit to rate requests per second; a negative rate ends it. A new limit starts without a burst,
// since what was started just before is not known.
func (l *namedRateLimiter) set(now time.Time, rate float64) {
	if rate < 0 {
		*l = namedRateLimiter{}
		return
	}
	fresh := l.interval == 0
	l.interval = time.Duration(float64(time.Second) / max(rate, minNamedRate))
	if latest := now.Add(namedRateBurst + l.interval); fresh || l.due.After(latest) {
		l.due = latest
	}
}

// wait returns how long the start of the n-th request from now has to wait; 0 means that it may start now.
func (l *namedRateLimiter) wait(now time.Time, n int) time.Duration {
	if l.interval == 0 {
		return 0
	}
	due := l.due
	if due.Before(now) {
		due = now
	}
	return max(due.Add(time.Duration(n-1)*l.interval-namedRateBurst).Sub(now), 0)
}

// record adds a start.
func (l *namedRateLimiter) record(now time.Time) {
	if l.interval == 0 {
		return
	}
	if l.due.Before(now) {
		l.due = now
	}
	l.due = l.due.Add(l.interval)
}

// NamedRate returns the limit in use, in requests per second; 0 for none.
func (g *Gate) NamedRate() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.namedRate.perSecond()
}

// perSecond returns the limit in requests per second; 0 for none.
func (l *namedRateLimiter) perSecond() float64 {
	if l.interval == 0 {
		return 0
	}
	return float64(time.Second) / float64(l.interval)
}

// SetNamedRate limits the target to the rate of requests per second that a response has named; a negative rate means
// that the response named none. Any response ends the limit of Options.FirstSlots.
func (g *Gate) SetNamedRate(rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.firstSlots = 0
	g.namedRate.set(g.now(), rate)
	g.admitWaiting()
}
