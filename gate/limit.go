package gate

import "time"

const (
	// shedFactor reduces the adaptive limit when the target sheds load or fails.
	shedFactor = 0.7
	// slowFactor reduces the adaptive limit when latency is raised.
	slowFactor = 0.9
	// minCutInterval is the minimum time between two reductions of the adaptive limit, so that the
	// responses to one burst reduce it once.
	minCutInterval = 100 * time.Millisecond
)

// limiter computes how many requests may run at a target at once: the lowest of the announced
// slots, the cold-start ramp and the adaptive limit; never below 1.
type limiter struct {
	slots     int
	coldSlots int
	rampStep  time.Duration
	noRamp    bool

	cold      bool
	rampLimit int       // limit while cold
	stepStart time.Time // start of the present step
	adaptive  float64
	fixed     bool // the adaptive limit is off
	// firstSlots limits the running requests until the target has responded; 0 means no limit.
	firstSlots int
	cutAt      time.Time
	times      latencyStats

	paused    bool          // no request is admitted
	lastPause time.Duration // zero once the target has served a request

	coldDetected, coldReported int // cold starts since the gate was made
}

func (l *limiter) limit() int {
	n := l.slots
	if !l.fixed {
		n = min(n, int(l.adaptive))
	}
	if l.cold {
		n = min(n, l.rampLimit)
	}
	if l.firstSlots > 0 {
		n = min(n, l.firstSlots)
	}
	return max(n, 1)
}

// startCold returns the ramp to its first step.
func (l *limiter) startCold(now time.Time) {
	if l.noRamp {
		return
	}
	l.cold = true
	l.rampLimit = max(l.coldSlots, 1)
	l.stepStart = now
}

// advance moves the ramp to its next step when the present one has lasted long enough and latency
// is not raised. One call moves at most one step: an idle target has not shown that it can take more.
func (l *limiter) advance(now time.Time) {
	if !l.cold || now.Sub(l.stepStart) < l.rampStep {
		return
	}
	l.stepStart = now
	if l.times.raised() {
		return
	}
	l.rampLimit *= 2
	if l.rampLimit >= l.slots {
		l.cold = false
	}
}

// observe adjusts the limit to the outcome of a request. running is the number of requests at its
// end, including itself.
func (l *limiter) observe(now time.Time, o Outcome, running int) {
	if o.Cold {
		l.coldReported++
		l.startCold(now)
		return
	}
	if o.Failed && l.isShortTimeout(o.TimedOutAfter) {
		return
	}
	if o.Shed || o.Failed {
		l.cut(now, shedFactor)
		l.restartRampStep(now, o.Shed)
		return
	}
	if o.Latency <= 0 {
		return
	}
	l.lastPause = 0
	l.times.add(o.Latency)
	l.detectColdStart(now)
	if l.times.raised() {
		l.cut(now, slowFactor)
		return
	}
	if 2*running >= int(l.adaptive) {
		l.adaptive = min(l.adaptive+1/l.adaptive, float64(l.slots))
	}
}

// isShortTimeout reports whether the time allowed by the deadline of the caller was within the typical
// spread of service times, so that a timeout does not show a failure of the target.
func (l *limiter) isShortTimeout(allowed time.Duration) bool {
	return allowed > 0 && allowed < jumpFactor*l.times.lastMedian()
}

// detectColdStart restarts the ramp after a jump in latency.
func (l *limiter) detectColdStart(now time.Time) {
	atFirstStep := l.cold && l.rampLimit <= l.coldSlots
	if !atFirstStep && l.times.jumped() {
		l.coldDetected++
		l.startCold(now)
	}
}

// restartRampStep restarts the present step when the target sheds load during it.
func (l *limiter) restartRampStep(now time.Time, shed bool) {
	if l.cold && shed {
		l.stepStart = now
	}
}

// cut multiplies the adaptive limit by factor, at most once in minCutInterval.
func (l *limiter) cut(now time.Time, factor float64) {
	if now.Sub(l.cutAt) < minCutInterval {
		return
	}
	l.cutAt = now
	l.adaptive = max(l.adaptive*factor, 1)
}
