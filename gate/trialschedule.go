package gate

import (
	"math"
	"time"
)

// When trials start, and with which limits.
const (
	// downShare and upShare are the other limit of a trial, relative to the present one. A smaller difference
	// needs more responses than a target gives in a few seconds.
	downShare, upShare = 0.6, 1.5
	// nearSlots is the share of the slots from which a trial with a higher limit goes up to all of them.
	nearSlots = 0.85
	// maxSingleStep is the greatest limit that is tried with one more.
	maxSingleStep = 4
	// minLightSamples is the number of latencies at light load from which they are compared. The blocks of one trial with the
	// low limit give as many.
	minLightSamples = 8
	// minLearnerSamples is the number of latencies before the first trial.
	minLearnerSamples = 16
	// suspectFactor is the ratio of latency at high load to that at light load that a trial with a lower limit needs. A target
	// without it responds well with all it runs.
	suspectFactor = 1.4
	// lightLifetime is the time after which latencies at light load are no longer comparable.
	lightLifetime = time.Minute
	// Trials that change nothing follow each other after these intervals, which grow each time. A trial with a lower limit costs a
	// saturated target a fifth of its throughput while it lasts, so that they become rare.
	downBackoff, upBackoff           = 4, 2
	minDownInterval, maxDownInterval = 8 * time.Second, 64 * time.Second
	minUpInterval, maxUpInterval     = time.Second, 8 * time.Second
	// shiftFactor is the change of latency after which trials begin again at their shortest intervals, at most
	// every minShiftInterval.
	shiftFactor      = 1.5
	minShiftInterval = 5 * time.Second
)

// trialSchedule is when the next trial in one direction may start.
type trialSchedule struct {
	interval, shortest, longest time.Duration
	factor                      time.Duration
	next                        time.Time
}

func (s *trialSchedule) restart(now time.Time) {
	s.interval = s.shortest
	s.next = now.Add(s.interval)
}

func (s *trialSchedule) backOff(now time.Time) {
	s.next = now.Add(s.interval)
	s.interval = min(s.factor*s.interval, s.longest)
}

func (l *capacityLearner) startTrial(now time.Time) {
	if !l.busy || l.suspended || l.recent.count < minLearnerSamples || now.Sub(l.checkedAt) < sampleInterval {
		return
	}
	l.checkedAt = now
	l.restartAfterShift(now)
	worthTrial := l.suspectsOverload(now)
	switch {
	case l.limit < l.slots && !now.Before(l.up.next):
		l.begin(now, l.limit, l.higher(), true)
	case l.limit > minCapacity && !now.Before(l.down.next) && worthTrial:
		low := int(math.Round(downShare * float64(l.limit)))
		l.begin(now, max(low, minCapacity), l.limit, false)
	}
}

// higher returns the limit above the learned one for the next trial. Low limits are also tried with one more, since the best one
// may be between the two.
func (l *capacityLearner) higher() int {
	l.upTrials++
	if l.upTrials%2 == 0 && l.limit <= maxSingleStep {
		return l.limit + 1
	}
	high := int(math.Round(upShare * float64(l.limit)))
	if float64(high) >= nearSlots*float64(l.slots) {
		return l.slots
	}
	return high
}

func (l *capacityLearner) begin(now time.Time, low, high int, upward bool) {
	length := min(max(blockLatencies*l.recent.median(recentSamples), minBlock), maxBlock)
	l.trial = &capacityTrial{limits: [2]int{low, high}, upward: upward, first: l.rng.IntN(2), blockLength: length}
	l.beginBlock(now)
}

func (l *capacityLearner) beginBlock(now time.Time) {
	t := l.trial
	length := l.jitter(t.blockLength)
	t.blockEnd = now.Add(length)
	t.guard = t.blockEnd.Add(-time.Duration(guardShare * float64(t.blockLength)))
}

func (l *capacityLearner) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + blockJitter*(2*l.rng.Float64()-1)))
}

// restartAfterShift restarts the intervals of trials after the latency has changed.
func (l *capacityLearner) restartAfterShift(now time.Time) {
	recent := l.recent.median(recentSamples)
	if l.reference == 0 || now.Sub(l.lastShift) < minShiftInterval {
		return
	}
	if ratio := recent.Seconds() / l.reference.Seconds(); ratio > shiftFactor || ratio < 1/shiftFactor {
		l.lastShift, l.reference = now, recent
		l.down.restart(now)
		l.up.restart(now)
		l.down.next, l.up.next = now, now
	}
}

// suspectsOverload reports whether the target may run more requests than it runs well: its latency at high load is above that at
// light load, or the latter is not known. Slow periods look the same, so this only allows a trial with a lower limit.
func (l *capacityLearner) suspectsOverload(now time.Time) bool {
	if l.light.count < minLightSamples || l.heavy.count < minLearnerSamples || now.Sub(l.lightAt) > lightLifetime {
		return true
	}
	heavy := l.heavy.median(recentSamples).Seconds()
	suspected := heavy > suspectFactor*l.light.median(lightSamples).Seconds() && heavy > suspectFactor*l.cleared.Seconds()
	if suspected && !l.suspected && heavy > suspectFactor*l.tried.Seconds() {
		l.down.restart(now)
		l.down.next = now
	}
	l.suspected = suspected
	return suspected
}

func (l *capacityLearner) advanceTrial(now time.Time) {
	t := l.trial
	if now.Before(t.blockEnd) {
		return
	}
	if now.Sub(t.blockEnd) > t.blockLength {
		l.trial = nil // no requests for a while, so that the blocks are not neighbours
		return
	}
	t.block++
	// Requests of the last block may still run, so the pairs before it are judged.
	if done := (t.block - 1) / 2; t.block%2 == 1 && done >= minPairs {
		if verdict, decided := t.judge(done); decided || done == maxPairs || t.upward && done == raisePairs {
			l.conclude(now, verdict, decided)
			return
		}
	}
	l.beginBlock(now)
}

// conclude ends the trial. change says that the other limit is the better one.
func (l *capacityLearner) conclude(now time.Time, change, decided bool) {
	t := l.trial
	l.trial = nil
	if decided && !l.known {
		l.known, l.changedAt = true, now
	}
	if change {
		l.changedAt = now
	}
	switch {
	case change && t.upward:
		l.limit = t.limits[1]
		l.raised++
		l.reference, l.cleared, l.tried, l.heavy = 0, 0, 0, latencyRing{}
		l.down.restart(now)
		l.up.restart(now)
		l.up.next = now
	case change:
		l.limit = t.limits[0]
		l.lowered++
		l.reference, l.cleared, l.tried, l.heavy = 0, 0, 0, latencyRing{}
		l.down.restart(now)
		l.up.restart(now)
		l.down.next = l.up.next
	default:
		l.reference = l.recent.median(recentSamples)
		if t.upward {
			l.up.backOff(now)
		} else {
			l.down.backOff(now)
			l.tried = l.heavy.median(recentSamples)
			if decided {
				l.cleared = l.tried
			}
		}
	}
}
