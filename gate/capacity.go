package gate

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minCapacity is the lowest capacity that is learned.
	minCapacity = 2
	// downShare and upShare are the other limit of a trial, relative to the present one. A smaller difference
	// needs more responses than a target gives in a few seconds.
	downShare, upShare = 0.6, 1.5
	// minContrast is the difference of the mean concurrencies, relative to that of the limits, below which a trial decides
	// nothing: the target was not busy enough.
	minContrast = 0.6
	// nearSlots is the share of the slots from which a trial with a higher limit goes up to all of them.
	nearSlots = 0.85
	// maxSingleStep is the greatest limit that is tried with one more.
	maxSingleStep = 4
	// busyShare is the mean share of the limit that must be in use for a trial.
	busyShare = 0.7
	// busyWindow is the time over which that mean is taken.
	busyWindow = time.Second
	// A block of a trial lasts blockLatencies times the latency within these bounds. Requests that start in the last part of
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
	// recentSamples is the number of latencies in a median that follows changes, lightSamples that in one for light load.
	recentSamples, lightSamples = 32, 64
	// sampleInterval is the least time between two of them, so that a slow period of a fast target is not a median.
	sampleInterval = 100 * time.Millisecond
	// minLightSamples is the number of latencies at light load from which they are compared. The blocks of one trial with the
	// low limit give as many.
	minLightSamples = 8
	// minLearnerSamples is the number of latencies before the first trial.
	minLearnerSamples = 16
	// Latencies at a mean concurrency of at most lightShare of the limit, and of at least heavyShare, are compared before
	// a trial with a lower limit.
	lightShare, heavyShare = 0.68, 0.8
	// suspectFactor is the ratio of the two that a trial needs. A target without it responds well with all it runs.
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
	shiftFactor = 1.5
	// reportAfter is the time for which a limit must have stayed the same to be reported: placement moves keys for it, and
	// the measured speed of the target follows a new limit over its last few hundred requests.
	reportAfter      = 15 * time.Second
	minShiftInterval = 5 * time.Second
)

// Rules of decision. The growth of a trial is the growth of latency from the low to the high limit, relative to that of the
// concurrency, both as logarithms: 0 for a constant latency, 1 for a constant throughput.
const (
	// lowerGrowth is the growth above which a limit is lowered: at most an eighth more responses for 1.8 times the concurrency.
	lowerGrowth = 0.8
	// provenGrowth is the growth that must be exceeded by lowerErrors standard errors as well, since trials are many.
	provenGrowth, lowerErrors = 0.35, 3
	// lastLowerErrors takes the place of lowerErrors after the last pair, the only one at which chance gets no second look.
	lastLowerErrors = 2
	// raiseGrowth is the growth below which a limit is raised, if that of a constant throughput is raiseErrors standard errors away.
	raiseGrowth, raiseErrors = 0.4, 2
	// lastRaiseGrowth is the growth below which a limit is raised at the end of a trial without a clear result: a limit that
	// is too high is found again, one that is too low costs callers responses meanwhile.
	lastRaiseGrowth = 0.6
	// A trial ends early if its growth is a standard error beyond evenGrowth on the side that changes nothing.
	evenGrowth = 0.5
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
	suspected bool          // at the last look
	cleared   time.Duration // latency at high load that a trial has found to be no reason for a lower limit
	tried     time.Duration // latency at high load after the last trial with a lower limit
	reference time.Duration // recent latency at the end of the last trial
	lastShift time.Time
	lookedAt  time.Time // when the last trial could have started; medians cost time
	suspended bool
	upTrials  int
	lowered   int // limits lowered and raised since the gate was made
	raised    int
}

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

// trialBlock sums up the responses to requests that started in one block.
type trialBlock struct {
	count       int
	log, square float64 // sums of the logarithms of the latencies, and of their squares
	concurrency float64
}

// startMark is what a request that started notes for its end.
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

// arm returns the limit of a block, 0 for the low one.
func (t *capacityTrial) arm(block int) int { return (t.first + block) % 2 }

// advance notes that running requests ran until now. suspended says that something else limits the target.
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

// measureLoad tells at the end of each window whether the target was busy in it.
func (l *capacityLearner) measureLoad(now time.Time) {
	span := now.Sub(l.windowStart)
	if span < busyWindow {
		return
	}
	mean := (l.integral - l.windowIntegral) / span.Seconds()
	l.busy = mean >= busyShare*float64(l.limit)
	l.windowStart, l.windowIntegral = now, l.integral
}

func (l *capacityLearner) startTrial(now time.Time) {
	if !l.busy || l.suspended || l.recent.count < minLearnerSamples || now.Sub(l.lookedAt) < sampleInterval {
		return
	}
	l.lookedAt = now
	l.noteShift(now)
	worthTrial := l.noteSuspicion(now)
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

// noteShift lets trials begin again after the latency has changed.
func (l *capacityLearner) noteShift(now time.Time) {
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

// noteSuspicion reports whether the target may run more than it does well: its latency is higher than with light load, which a
// trial with a lower limit also tells, or that is not known. Slow periods look the same, so this decides nothing but a trial.
func (l *capacityLearner) noteSuspicion(now time.Time) bool {
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

// latencyRing holds the latest latencies.
type latencyRing struct {
	values [lightSamples]time.Duration
	count  int
	last   time.Time
}

// add adds a latency, unless the one before is more recent than sampleInterval.
func (r *latencyRing) add(now time.Time, d time.Duration) {
	if now.Sub(r.last) < sampleInterval {
		return
	}
	r.last = now
	r.values[r.count%lightSamples] = d
	r.count++
}

// median returns the median of the last n latencies; zero without any.
func (r *latencyRing) median(n int) time.Duration {
	n = min(n, r.count)
	if n == 0 {
		return 0
	}
	var last [lightSamples]time.Duration
	for i := range n {
		last[i] = r.values[(r.count-1-i)%lightSamples]
	}
	return median(last[:n])
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

// end notes the end of a request, after advance. A latency of 0 does not count.
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

// judge tells by the first pairs of blocks whether the limit is to change, and whether the trial has decided.
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

// advanceLearner lets the learner know the time and the running requests. The caller holds the lock.
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
