package gate

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of latencies in one median: enough for a stable median, few enough to
	// follow a change of load within a second of traffic.
	windowSize = 64
	// recentSize is the number of latest latencies that are compared with earlier medians.
	recentSize = 16
	// jumpRank is the rank, from the lowest, of the recent latency that must have jumped. A cold start
	// slows down nearly all requests, a straggling target only some: when 3 in 10 are slow, 13 of 16
	// are slow less than once in 10,000 times.
	jumpRank = 3
	// baselineWindows is the number of windows whose lowest median is the baseline.
	baselineWindows = 8
	// jumpFactor is the ratio to the last median that indicates a cold start.
	jumpFactor = 4
	// minJump is the smallest increase that counts, so that scheduling noise at very fast targets does not.
	minJump = 2 * time.Millisecond
	// meanSamples sets the decay of the mean service time: each sample weighs 1/16.
	meanSamples = 16
	// steadySamples is the number of latencies in the steady mean. Placement uses it, and each move
	// interrupts a key, so short slow periods of a target must not affect it.
	steadySamples = 256
	// minSteadySamples is the number of latencies below which no steady mean is reported. At this number,
	// its sampling error is within 15 %.
	minSteadySamples = 64
)

// latencyStats keeps statistics of the service times of one target.
type latencyStats struct {
	window     [windowSize]time.Duration
	filled     int
	recent     [recentSize]time.Duration
	count      int
	medians    [baselineWindows]time.Duration
	windows    int
	mean       time.Duration
	steadyMean time.Duration
}

// add records a service time.
func (l *latencyStats) add(d time.Duration) {
	l.recent[l.count%recentSize] = d
	l.count++
	l.updateMean(d)
	l.steadyMean += (d - l.steadyMean) / time.Duration(min(l.count, steadySamples))
	l.window[l.filled] = d
	l.filled++
	if l.filled < windowSize {
		return
	}
	l.filled = 0
	l.medians[l.windows%baselineWindows] = median(l.window[:])
	l.windows++
}

func (l *latencyStats) updateMean(d time.Duration) {
	if l.mean == 0 {
		l.mean = d
		return
	}
	l.mean += (d - l.mean) / meanSamples
}

// lastMedian returns the median of the last complete window; zero before the first.
func (l *latencyStats) lastMedian() time.Duration {
	if l.windows == 0 {
		return 0
	}
	return l.medians[(l.windows-1)%baselineWindows]
}

// baseline returns the lowest median of the last windows; zero before the first.
func (l *latencyStats) baseline() time.Duration {
	n := min(l.windows, baselineWindows)
	if n == 0 {
		return 0
	}
	return slices.Min(l.medians[:n])
}

// recentAtRank returns the value at a rank among the recent service times; zero when there are too few.
func (l *latencyStats) recentAtRank(rank int) time.Duration {
	if l.count < recentSize {
		return 0
	}
	return valueAtRank(l.recent[:], rank)
}

// jumped reports whether nearly all recent service times are far above the last median.
func (l *latencyStats) jumped() bool {
	base := l.lastMedian()
	now := l.recentAtRank(jumpRank)
	return base > 0 && now > jumpFactor*base && now-base > minJump
}

// raised reports whether the median of the recent service times is well above the baseline.
func (l *latencyStats) raised() bool {
	base := l.baseline()
	now := l.recentAtRank(recentSize / 2)
	return base > 0 && now > 2*base && now-base > minJump
}

func median(values []time.Duration) time.Duration { return valueAtRank(values, len(values)/2) }

// valueAtRank returns the value at a rank, counted from 0 for the lowest, of at most windowSize values.
func valueAtRank(values []time.Duration, rank int) time.Duration {
	var sorted [windowSize]time.Duration
	n := copy(sorted[:], values)
	slices.Sort(sorted[:n])
	return sorted[rank]
}
