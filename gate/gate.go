// Package gate controls admission to one target: it limits the number of running requests, raises
// the limit step by step after a cold start, and queues the rest fairly between organisations. It
// also records which attempts have been started, so that none is run twice.
package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Outcome describes how a request ended at the target.
type Outcome struct {
	// Latency is the time from the first byte sent to the headers of the response; zero without a
	// response.
	Latency time.Duration
	Shed    bool // the target refused the request to shed load
	Cold    bool // the target refused the request because it is in a cold start
	Failed  bool // the target timed out or broke the connection
	// TimedOutAfter is the time that the target had to respond when it timed out, else zero.
	TimedOutAfter time.Duration
	// BodyAwaited says that the latency contains the arrival of the request body, which is no work of the target.
	BodyAwaited bool
}

// Stats describes a gate at one moment.
type Stats struct {
	Running int
	Queued  int
	Limit   int
	Cold    bool
	// ColdStartsDetected counts the cold starts detected by a jump in latency, ColdStartsReported
	// those reported by a refusal of the target.
	ColdStartsDetected int
	ColdStartsReported int
	// Capacity is the learned number of requests that the target runs well at once; 0 when it is not known.
	Capacity int
}

// Gate admits requests to one target. It is safe for concurrent use.
type Gate struct {
	now         func() time.Time
	queueLength int

	mu        sync.Mutex
	queue     Queue
	running   int
	limiter   limiter
	load      loadAverage
	startRate startRateLimiter
	namedRate namedRateLimiter
	learner   *capacityLearner // nil when no capacity is learned
	// capacityChanged is that of Options.
	capacityChanged func(former, capacity int)
	// startTimer admits waiting requests again at startTimerAt, for the limits on starts; zero when it is not
	// pending.
	startTimer   *time.Timer
	startTimerAt time.Time
}

// New returns a gate whose target is in a cold start. It panics when the queue policy is not
// registered; see Options.Check.
func New(o Options) *Gate {
	o = o.withDefaults()
	newQueue, err := Queues.Get(o.Queue)
	if err != nil {
		panic(err)
	}
	g := &Gate{now: o.Now, queueLength: o.QueueLength, queue: newQueue()}
	g.limiter = limiter{
		slots:     o.Slots,
		coldSlots: o.ColdSlots,
		rampStep:  o.RampStep,
		noRamp:    o.NoColdStart,
		adaptive:  float64(o.Slots),
		fixed:     o.FixedLimit,

		firstSlots: o.FirstSlots,
	}
	g.limiter.startCold(g.now())
	if o.LearnCapacity {
		g.capacityChanged = o.CapacityChanged
		g.learner = newCapacityLearner(o.Slots, rand.Uint64())
	}
	return g
}

// Slot is the permission to run one request at the target. It must be released.
type Slot struct {
	gate    *Gate
	once    sync.Once
	started startMark
}

// Acquire waits for a slot until ctx ends. A weight that is not positive counts as 1.
// Errors: Overloaded when the queue is full, DeadlineExceeded when ctx ends first or the
// deadline of ctx cannot be met; both mean that nothing has run.
func (g *Gate) Acquire(ctx context.Context, org api.OrganisationID, weight float64) (*Slot, error) {
	return g.AcquireFor(ctx, Request{Organisation: org, Weight: weight})
}

// AcquireFor is Acquire for a request with a priority, an objective or a maximum wait.
func (g *Gate) AcquireFor(ctx context.Context, r Request) (*Slot, error) {
	if ctx.Err() != nil {
		return nil, errkind.New(errkind.DeadlineExceeded, "request ended before admission: %v", ctx.Err())
	}
	if r.Weight <= 0 {
		r.Weight = 1
	}
	s, w, err := g.admit(ctx, r)
	if err != nil || s != nil {
		return s, err
	}
	ctx, cancel := withLatestStart(ctx, w.mean, w.latestStart)
	defer cancel()
	if err := g.wait(ctx, w); err != nil {
		return nil, err
	}
	return &Slot{gate: g, started: w.started}, nil
}

// admit takes a slot at once, or returns the queued waiter.
func (g *Gate) admit(ctx context.Context, r Request) (*Slot, *Waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.limiter.advance(now)
	g.advanceLearner(now)
	if g.startsAtOnce(now, &g.limiter) {
		return &Slot{gate: g, started: g.start(now)}, nil, nil
	}
	if err := g.checkDeadline(ctx, now, &g.limiter, r); err != nil {
		return nil, nil, err
	}
	if err := g.ensureQueueSpace(r); err != nil {
		return nil, nil, err
	}
	w := &Waiter{Request: r, ready: make(chan struct{}), mean: g.limiter.times.mean}
	if latestStart := r.LatestStart(now, w.mean); !latestStart.IsZero() {
		// The estimated wait may be too short by part of a service time; a slot that comes slightly
		// late is still better than a refusal after the wait.
		w.latestStart = latestStart.Add(w.mean / 2)
	}
	g.queue.Push(w)
	g.admitWaiting()
	return nil, w, nil
}

// startsAtOnce reports whether a request that arrives now gets a slot without a wait. The caller holds the lock.
func (g *Gate) startsAtOnce(now time.Time, l *limiter) bool {
	return g.queue.Len() == 0 && g.allows(l, g.running+1) && g.startWait(now) == 0
}

// ensureQueueSpace evicts a waiter when the queue is full, or returns Overloaded. The caller holds
// the lock.
func (g *Gate) ensureQueueSpace(r Request) error {
	if err := g.checkQueueSpace(r); err != nil || g.queue.Len() < g.queueLength {
		return err
	}
	w := g.queue.Evict(r)
	w.err = errkind.New(errkind.Overloaded, "evicted from a full queue")
	close(w.ready)
	return nil
}

// checkQueueSpace returns Overloaded when the queue is full and no waiter would be evicted. The caller holds the lock.
func (g *Gate) checkQueueSpace(r Request) error {
	if g.queue.Len() >= g.queueLength && !g.queue.CanEvict(r) {
		return errkind.New(errkind.Overloaded, "queue of %d is full", g.queueLength)
	}
	return nil
}

// wait returns when the waiter has a slot, was evicted or ctx ends.
func (g *Gate) wait(ctx context.Context, w *Waiter) error {
	select {
	case <-w.ready:
		return w.err
	case <-ctx.Done():
	}
	g.mu.Lock()
	queued := g.queue.Remove(w)
	g.mu.Unlock()
	if !queued {
		// The waiter got a slot or was evicted while ctx ended.
		<-w.ready
		if w.err != nil {
			return w.err
		}
		g.release(w.started, Outcome{})
	}
	return errkind.New(errkind.DeadlineExceeded, "request ended in the queue: %v", ctx.Err())
}

// admitWaiting gives free slots to waiting requests. The caller holds the lock.
func (g *Gate) admitWaiting() {
	for g.allows(&g.limiter, g.running+1) {
		now := g.now()
		if wait := g.startWait(now); wait > 0 && g.queue.Len() > 0 {
			g.admitWaitingAfter(wait)
			return
		}
		w := g.queue.Pop()
		if w == nil {
			return
		}
		w.started = g.start(now)
		close(w.ready)
	}
}

// start counts a request as running. The caller holds the lock.
func (g *Gate) start(now time.Time) startMark {
	g.load.advance(now, g.running)
	g.advanceLearner(now)
	g.running++
	g.startRate.record(now)
	g.namedRate.record(now)
	return g.learner.start(now)
}

// startWait returns how long the limits on starts delay the next one. The caller holds the lock.
func (g *Gate) startWait(now time.Time) time.Duration {
	return max(g.startRate.wait(now), g.namedRate.wait(now, 1))
}

// Release returns the slot and records how the request ended. Only the first call has an effect.
func (s *Slot) Release(o Outcome) {
	s.once.Do(func() { s.gate.release(s.started, o) })
}

func (g *Gate) release(m startMark, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.limiter.observe(now, o, g.running)
	g.limiter.advance(now)
	g.load.advance(now, g.running)
	g.advanceLearner(now)
	g.learner.end(now, m, o.workTime())
	g.running--
	if o.Cold {
		g.pauseAdmission()
	}
	g.admitWaiting()
}

// pauseAdmission stops admission for a while after the target refused a request in a cold start. The
// caller holds the lock.
func (g *Gate) pauseAdmission() {
	if span := g.limiter.startPause(); span > 0 {
		time.AfterFunc(span, g.resume)
	}
}

func (g *Gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.paused = false
	g.admitWaiting()
}

// RestartRamp restarts the cold-start ramp, as for a new instance of the target.
func (g *Gate) RestartRamp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.startCold(g.now())
	if g.learner != nil {
		g.learner = newCapacityLearner(g.limiter.slots, rand.Uint64())
	}
}

// Snapshot returns the present state of the gate.
func (g *Gate) Snapshot() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.advance(g.now())
	g.admitWaiting()
	return g.stats(&g.limiter)
}

// stats describes the gate under a limiter. The caller holds the lock.
func (g *Gate) stats(l *limiter) Stats {
	return Stats{
		Running: g.running,
		Queued:  g.queue.Len(),
		Limit:   g.settledLimit(l),
		Cold:    l.cold,

		ColdStartsDetected: l.coldDetected,
		ColdStartsReported: l.coldReported,

		Capacity: g.learner.capacity(),
	}
}
