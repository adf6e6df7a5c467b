package gate

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of latencies behind one median: large enough to be
	// steady, small enough to follow a change of load within a second of traffic.
	windowSize = 64
	// recentSize is the number of latencies that are compared with the earlier ones.
	recentSize = 16
	// jumpRank is the rank among them, from the lowest, that must have jumped. A cold start
	// slows down nearly all requests, a straggling target only a part: when 3 in 10 are slow,
	// 13 of 16 are slow less than once in 10,000 times.
	jumpRank = 3
	// baselineWindows is the number of windows over which the lowest median counts.
	baselineWindows = 8
	// jumpFactor is the ratio to the moving median that signals a cold start.
	jumpFactor = 4
	// jumpFloor keeps scheduling noise of very fast targets from looking like a jump.
	jumpFloor = 2 * time.Millisecond
	// meanShift sets the decay of the mean service time: each sample weighs 1/16.
	meanShift = 16
	// steadyWindow is the number of latencies behind the steady mean. Placement follows it, and each move
	// interrupts a key, so slow moments of a target must not show in it.
	steadyWindow = 256
	// steadyLeast is the number of latencies below which no steady mean is told: by chance, it is within
	// 15 % of the true one then.
	steadyLeast = 64
)

// latencies follows the service times of one target.
type latencies struct {
	window  [windowSize]time.Duration
	filled  int
	recent  [recentSize]time.Duration
	count   int
	medians [baselineWindows]time.Duration
	windows int
	mean    time.Duration
	steady  time.Duration
}

// add records a service time.
func (l *latencies) add(d time.Duration) {
	l.recent[l.count%recentSize] = d
	l.count++
	l.updateMean(d)
	l.steady += (d - l.steady) / time.Duration(min(l.count, steadyWindow))
	l.window[l.filled] = d
	l.filled++
	if l.filled < windowSize {
		return
	}
	l.filled = 0
	l.medians[l.windows%baselineWindows] = median(l.window[:])
	l.windows++
}

func (l *latencies) updateMean(d time.Duration) {
	if l.mean == 0 {
		l.mean = d
		return
	}
	l.mean += (d - l.mean) / meanShift
}

// moving returns the median of the last complete window; zero before the first.
func (l *latencies) moving() time.Duration {
	if l.windows == 0 {
		return 0
	}
	return l.medians[(l.windows-1)%baselineWindows]
}

// baseline returns the lowest median of the last windows; zero before the first.
func (l *latencies) baseline() time.Duration {
	n := min(l.windows, baselineWindows)
	if n == 0 {
		return 0
	}
	return slices.Min(l.medians[:n])
}

// current returns the service time of a rank among the last few; zero when there are too few.
func (l *latencies) current(rank int) time.Duration {
	if l.count < recentSize {
		return 0
	}
	return ranked(l.recent[:], rank)
}

// jumped says whether nearly all of the last few service times are far above the moving median.
func (l *latencies) jumped() bool {
	base := l.moving()
	now := l.current(jumpRank)
	return base > 0 && now > jumpFactor*base && now-base > jumpFloor
}

// raised says whether the last few service times are well above the baseline.
func (l *latencies) raised() bool {
	base := l.baseline()
	now := l.current(recentSize / 2)
	return base > 0 && now > 2*base && now-base > jumpFloor
}

func median(values []time.Duration) time.Duration { return ranked(values, len(values)/2) }

// ranked returns the value of a rank, counted from 0 for the lowest.
func ranked(values []time.Duration, rank int) time.Duration {
	var sorted [windowSize]time.Duration
	n := copy(sorted[:], values)
	slices.Sort(sorted[:n])
	return sorted[rank]
}
