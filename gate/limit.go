package gate

import "time"

const (
	// shedFactor lowers the adaptive limit when the target sheds load or fails.
	shedFactor = 0.7
	// slowFactor lowers the adaptive limit when latency has risen.
	slowFactor = 0.9
	// cutInterval is the least time between two cuts, so that the answers to one burst
	// cut the limit once.
	cutInterval = 100 * time.Millisecond
)

// limiter computes how many requests may run at a target at once: the lowest of the
// announced slots, the cold-start ramp and the adaptive limit; never below 1.
type limiter struct {
	slots     int
	coldSlots int
	ramp      time.Duration
	noRamp    bool

	cold     bool
	rampSize int       // limit of the ramp while cold
	rampAt   time.Time // start of the present step
	adaptive float64
	fixed    bool // the adaptive limit is off
	cutAt    time.Time
	times    latencies

	paused bool          // nothing is sent for the moment
	pause  time.Duration // length of the last pause; zero once the target has served

	detected, stated int // cold starts since the gate was made
}

func (l *limiter) limit() int {
	n := l.slots
	if !l.fixed {
		n = min(n, int(l.adaptive))
	}
	if l.cold {
		n = min(n, l.rampSize)
	}
	return max(n, 1)
}

// startCold puts the ramp back to its first step.
func (l *limiter) startCold(now time.Time) {
	if l.noRamp {
		return
	}
	l.cold = true
	l.rampSize = max(l.coldSlots, 1)
	l.rampAt = now
}

// advance moves the ramp on when a step has passed and latency holds. One call moves it by
// one step at most: after an idle time the target has proved no larger step.
func (l *limiter) advance(now time.Time) {
	if !l.cold || now.Sub(l.rampAt) < l.ramp {
		return
	}
	l.rampAt = now
	if l.times.raised() {
		return
	}
	l.rampSize *= 2
	if l.rampSize >= l.slots {
		l.cold = false
	}
}

// observe adjusts the limit to the outcome of a request that ran while running others did.
func (l *limiter) observe(now time.Time, o Outcome, running int) {
	if o.Cold {
		l.stated++
		l.startCold(now)
		return
	}
	if o.Failed && l.tooShort(o.TimedOutAfter) {
		return
	}
	if o.Shed || o.Failed {
		l.cut(now, shedFactor)
		l.holdRamp(now, o.Shed)
		return
	}
	if o.Latency <= 0 {
		return
	}
	l.pause = 0
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

// tooShort says that a time allowed by the caller's deadline was within the usual spread of service
// times, so that a timeout says nothing about the target.
func (l *limiter) tooShort(allowed time.Duration) bool {
	return allowed > 0 && allowed < jumpFactor*l.times.moving()
}

// detectColdStart starts the ramp again after a jump of latency.
func (l *limiter) detectColdStart(now time.Time) {
	atFirstStep := l.cold && l.rampSize <= l.coldSlots
	if !atFirstStep && l.times.jumped() {
		l.detected++
		l.startCold(now)
	}
}

// holdRamp starts the present step again when the target sheds load during it.
func (l *limiter) holdRamp(now time.Time, shed bool) {
	if l.cold && shed {
		l.rampAt = now
	}
}

func (l *limiter) cut(now time.Time, factor float64) {
	if now.Sub(l.cutAt) < cutInterval {
		return
	}
	l.cutAt = now
	l.adaptive = max(l.adaptive*factor, 1)
}
