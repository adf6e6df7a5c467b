package gate

import (
	"math"
	"time"
)

// Blocks of a trial.
const (
	// A block lasts blockLatencies times the latency within these bounds. Requests that start in the last part of
	// a block, of guardShare, do not count, since they would run in the next one.
	blockLatencies     = 3
	guardShare         = 1.0 / 3
	minBlock, maxBlock = 250 * time.Millisecond, time.Second
	// blockJitter is the greatest relative deviation of a block from that time, so that periodic slowness of a
	// target does not coincide with one of the limits.
	blockJitter = 0.3
	// minPairs and maxPairs are the numbers of pairs of blocks in a trial. A limit is lowered after lowerPairs at the earliest, and a
	// trial with a higher one ends after raisePairs.
	minPairs, maxPairs     = 2, 8
	lowerPairs, raisePairs = 3, 5
	// minBlockSamples is the number of responses that a block must have to count.
	minBlockSamples = 2
	// minContrast is the difference of the mean concurrencies, relative to that of the limits, below which a trial decides
	// nothing: the target was not busy enough.
	minContrast = 0.6
)

// Rules of decision. The growth of a trial is the growth of latency from the low to the high limit, relative to that of the
// concurrency, both as logarithms: 0 for a constant latency, 1 for a constant throughput.
const (
	// lowerGrowth is the growth above which a limit is lowered: at most an eighth more responses for 1.8 times the concurrency.
	lowerGrowth = 0.8
	// provenGrowth is the growth that must be exceeded by lowerErrors standard errors as well, since trials are many.
	provenGrowth, lowerErrors = 0.35, 3
	// lastLowerErrors takes the place of lowerErrors after the last pair: no later pair can decide by chance.
	lastLowerErrors = 2
	// raiseGrowth is the growth below which a limit is raised, if that of a constant throughput is raiseErrors standard errors away.
	raiseGrowth, raiseErrors = 0.4, 2
	// lastRaiseGrowth is the growth below which a limit is raised at the end of a trial without a clear result: a limit that
	// is too high is found again, one that is too low costs callers responses meanwhile.
	lastRaiseGrowth = 0.6
	// A trial ends early if its growth is a standard error beyond evenGrowth on the side that changes nothing.
	evenGrowth = 0.5
)

// capacityTrial compares two limits, the low one first in limits.
type capacityTrial struct {
	limits      [2]int
	upward      bool
	first       int // limit of the first block
	block       int
	blockEnd    time.Time
	guard       time.Time // requests that start later do not count
	blockLength time.Duration
	blocks      [2*maxPairs + 1]trialBlock
}

// arm returns the limit of a block, 0 for the low one.
func (t *capacityTrial) arm(block int) int { return (t.first + block) % 2 }

// trialBlock sums up the responses to requests that started in one block.
type trialBlock struct {
	count       int
	log, square float64 // sums of the logarithms of the latencies, and of their squares
	concurrency float64
}

func (b *trialBlock) add(other *trialBlock) {
	b.count += other.count
	b.log += other.log
	b.square += other.square
	b.concurrency += other.concurrency
}

func (b *trialBlock) variance() float64 {
	n := float64(b.count)
	return max(b.square-b.log*b.log/n, 0) / (n - 1)
}

// variance returns the variance of at least two values.
func variance(values []float64) float64 {
	var b trialBlock
	for _, x := range values {
		b.add(&trialBlock{count: 1, log: x, square: x * x})
	}
	return b.variance()
}

// judge decides by the first pairs of blocks whether the limit changes. decided is false while the result is not clear.
func (t *capacityTrial) judge(pairs int) (change, decided bool) {
	growth, deviation, ok := t.growth(pairs)
	switch {
	case !ok:
		return false, false
	case t.upward:
		if growth < raiseGrowth && growth+raiseErrors*deviation < 1 || pairs == raisePairs && growth < lastRaiseGrowth {
			return true, true
		}
		return false, growth-deviation > evenGrowth
	}
	errors := float64(lowerErrors)
	if pairs == maxPairs {
		errors = lastLowerErrors
	}
	if pairs >= lowerPairs && growth > lowerGrowth && growth-errors*deviation > provenGrowth {
		return true, true
	}
	return false, growth+deviation < evenGrowth
}

// growth returns the growth of latency over the first pairs of blocks, its standard error, and whether there is enough to tell.
// The error is the greater one of that by responses and that by pairs: slow periods of a target affect whole blocks.
func (t *capacityTrial) growth(pairs int) (growth, deviation float64, ok bool) {
	var arms [2]trialBlock
	var differences []float64
	for i := range pairs {
		low, high := &t.blocks[2*i], &t.blocks[2*i+1]
		if t.first == 1 {
			low, high = high, low
		}
		if low.count < minBlockSamples || high.count < minBlockSamples {
			continue
		}
		differences = append(differences, high.log/float64(high.count)-low.log/float64(low.count))
		arms[0].add(low)
		arms[1].add(high)
	}
	if len(differences) < minPairs {
		return 0, 0, false
	}
	ratio := (arms[1].concurrency / float64(arms[1].count)) / (arms[0].concurrency / float64(arms[0].count))
	if ratio-1 < minContrast*(float64(t.limits[1])/float64(t.limits[0])-1) {
		return 0, 0, false
	}
	scale := math.Log(ratio)
	mean := arms[1].log/float64(arms[1].count) - arms[0].log/float64(arms[0].count)
	byResponse := arms[0].variance()/float64(arms[0].count) + arms[1].variance()/float64(arms[1].count)
	// Few pairs may agree by chance.
	spread := 1 + 1.5/float64(len(differences)-1)
	byPair := spread * spread * variance(differences) / float64(len(differences))
	return mean / scale, math.Sqrt(max(byResponse, byPair)) / scale, true
}
