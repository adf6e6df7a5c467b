package gate

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minCapacity is the lowest capacity that is learned.
	minCapacity = 2
	// busyShare is the mean share of the limit that must be in use for a trial.
	busyShare = 0.7
	// busyWindow is the time over which that mean is taken.
	busyWindow = time.Second
	// Latencies at a mean concurrency of at most lightShare of the limit, and of at least heavyShare, are compared before
	// a trial with a lower limit.
	lightShare, heavyShare = 0.68, 0.8
	// reportAfter is the time for which a limit must have stayed the same to be reported: placement moves keys for it, and
	// the measured speed of the target follows a new limit over its last few hundred requests.
	reportAfter = 15 * time.Second
)

// capacityLearner learns how many requests a target runs well at once: the concurrency beyond which latency grows without more
// responses per second. It alternates between two limits and compares the responses of both, so that slowness which does
// not depend on the limit has no effect.
//
// Load pattern: a busy target that slows down before all its slots are in use. Slow inner calls, slow periods and a slow link
// look the same to any rule that compares latency with an earlier one.
//
// The caller serialises all calls.
type capacityLearner struct {
	slots     int
	limit     int
	known     bool      // a trial has decided
	changedAt time.Time // of the limit, or of the first decision
	steady    int       // last capacity that was the same for reportAfter
	rng       *rand.Rand

	last     time.Time
	integral float64 // of the running requests over time, in seconds

	windowStart    time.Time
	windowIntegral float64
	busy           bool // in the last window

	trial     *capacityTrial
	down, up  trialSchedule
	recent    latencyRing // at any load
	light     latencyRing
	heavy     latencyRing
	lightAt   time.Time     // of the last latency at light load
	suspected bool          // at the last check
	cleared   time.Duration // latency at high load that a trial has found to be no reason for a lower limit
	tried     time.Duration // latency at high load after the last trial with a lower limit
	reference time.Duration // recent latency at the end of the last trial
	lastShift time.Time
	checkedAt time.Time // when the last trial could have started; medians cost time
	suspended bool
	upTrials  int
	lowered   int // limits lowered and raised since the gate was made
	raised    int
}

// startMark is the state at the start of a request, which its end needs.
type startMark struct {
	at       time.Time
	integral float64
	trial    *capacityTrial // nil if the request does not count for one
	block    int
}

// newCapacityLearner returns nil if the target has too few slots for anything to be learned.
func newCapacityLearner(slots int, seed uint64) *capacityLearner {
	if slots <= minCapacity {
		return nil
	}
	l := &capacityLearner{slots: slots, limit: slots, rng: rand.New(rand.NewPCG(seed, uint64(slots)))}
	l.down = trialSchedule{interval: minDownInterval, shortest: minDownInterval, longest: maxDownInterval, factor: downBackoff}
	l.up = trialSchedule{interval: minUpInterval, shortest: minUpInterval, longest: maxUpInterval, factor: upBackoff}
	return l
}

// allowed returns the number of requests that may run now. A nil learner has no limit.
func (l *capacityLearner) allowed() int {
	switch {
	case l == nil:
		return math.MaxInt
	case l.trial != nil:
		return l.trial.limits[l.trial.arm(l.trial.block)]
	}
	return l.limit
}

// settled returns the learned limit, without that of a running trial.
func (l *capacityLearner) settled() int {
	if l == nil {
		return math.MaxInt
	}
	return l.limit
}

// capacity returns the learned capacity; 0 when it is not known.
func (l *capacityLearner) capacity() int {
	if l == nil || !l.known {
		return 0
	}
	return l.limit
}

// steadyCapacity returns the last capacity that has stayed the same for reportAfter; 0 before the first.
func (l *capacityLearner) steadyCapacity(now time.Time) int {
	if l == nil || !l.known {
		return 0
	}
	if now.Sub(l.changedAt) >= reportAfter {
		l.steady = l.limit
	}
	return l.steady
}

// advance records that running requests ran until now. suspended is true if something else limits the target.
func (l *capacityLearner) advance(now time.Time, running int, suspended bool) {
	if l == nil {
		return
	}
	if l.last.IsZero() {
		l.windowStart = now
		l.down.next, l.up.next = now.Add(l.jitter(l.down.interval)), now.Add(l.jitter(l.up.interval))
	} else {
		l.integral += float64(running) * now.Sub(l.last).Seconds()
	}
	l.last, l.suspended = now, suspended
	if suspended && l.trial != nil {
		l.trial = nil
		l.down.restart(now)
		l.up.restart(now)
	}
	l.steadyCapacity(now)
	l.measureLoad(now)
	if l.trial != nil {
		l.advanceTrial(now)
		return
	}
	l.startTrial(now)
}

// measureLoad determines at the end of each window whether the target was busy in it.
func (l *capacityLearner) measureLoad(now time.Time) {
	span := now.Sub(l.windowStart)
	if span < busyWindow {
		return
	}
	mean := (l.integral - l.windowIntegral) / span.Seconds()
	l.busy = mean >= busyShare*float64(l.limit)
	l.windowStart, l.windowIntegral = now, l.integral
}

// start returns the mark of a request that starts now, after advance.
func (l *capacityLearner) start(now time.Time) startMark {
	if l == nil {
		return startMark{}
	}
	m := startMark{at: now, integral: l.integral}
	if t := l.trial; t != nil && now.Before(t.guard) {
		m.trial, m.block = t, t.block
	}
	return m
}

// end records the end of a request, after advance. A latency of 0 does not count.
func (l *capacityLearner) end(now time.Time, m startMark, latency time.Duration) {
	if l == nil || latency <= 0 {
		return
	}
	l.recent.add(now, latency)
	span := now.Sub(m.at).Seconds()
	if span <= 0 {
		return
	}
	concurrency := (l.integral - m.integral) / span
	switch {
	case concurrency <= lightShare*float64(l.limit):
		l.light.add(now, latency)
		l.lightAt = now
	case concurrency >= heavyShare*float64(l.limit):
		l.heavy.add(now, latency)
	}
	if m.trial == nil || m.trial != l.trial {
		return
	}
	b := &m.trial.blocks[m.block]
	x := math.Log(latency.Seconds())
	b.count++
	b.log += x
	b.square += x * x
	b.concurrency += concurrency
}

// advanceLearner passes the time and the running requests to the learner. The caller holds the lock.
func (g *Gate) advanceLearner(now time.Time) {
	former := g.learner.settled()
	g.learner.advance(now, g.running, g.limiter.limit() < g.limiter.slots || g.limiter.paused)
	if limit := g.learner.settled(); limit != former && g.capacityChanged != nil {
		g.capacityChanged(former, limit)
	}
}

// allows reports whether that many requests may run at once. The caller holds the lock.
func (g *Gate) allows(l *limiter, running int) bool {
	return l.allows(running) && running <= g.learner.allowed()
}

// settledLimit returns the limit of running requests, without that of a trial. The caller holds the lock.
func (g *Gate) settledLimit(l *limiter) int { return min(l.limit(), g.learner.settled()) }

// Capacity returns the learned number of requests that the target runs well at once, once it has been the same for a while; 0
// when it is not known.
func (g *Gate) Capacity() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.learner.steadyCapacity(g.now()))
}

// workTime returns the time that the target took for a request, as far as the outcome shows it; else zero.
func (o Outcome) workTime() time.Duration {
	switch {
	case o.Shed || o.Cold || o.BodyAwaited:
		return 0
	case o.Failed:
		return o.TimedOutAfter
	}
	return o.Latency
}
