// Package gate admits requests to one target: it bounds how many run at once, ramps up
// a target in a cold start, and queues the rest fairly between organisations. It also
// keeps the table of attempts that says whether a request has been started.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Defaults of Options.
const (
	DefaultSlots       = 20
	DefaultColdSlots   = 2
	DefaultRampStep    = 2 * time.Second
	DefaultQueueLength = 256
)

// Options configure a gate. Zero values mean the defaults.
type Options struct {
	// Slots is the greatest number of requests that the target runs at once.
	Slots int
	// ColdSlots is the same for a target in a cold start.
	ColdSlots int
	// RampStep is the time after which a cold target bears twice as much.
	RampStep time.Duration
	// Queue names the queue policy.
	Queue string
	// QueueLength is the greatest number of waiting requests.
	QueueLength int
	// NoColdStart switches the cold-start ramp off.
	NoColdStart bool
	// FixedLimit switches the adaptive limit off: the target may run as many as it has slots.
	FixedLimit bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Outcome says how a request ended at the target.
type Outcome struct {
	// Latency is the time from the first byte sent to the answer's headers; zero when
	// there was no answer.
	Latency time.Duration
	Shed    bool // the target refused it to shed load
	Cold    bool // the target said that it is in a cold start
	Failed  bool // the target did not answer in time or broke the connection
	// TimedOutAfter is the time that the target had when it did not answer in time, else zero.
	TimedOutAfter time.Duration
}

// Stats describes a gate at one moment.
type Stats struct {
	Running int
	Queued  int
	Limit   int
	Cold    bool
	// ColdStartsDetected counts the cold starts inferred from a jump of latency, Stated those that the
	// target itself signalled by a refusal.
	ColdStartsDetected int
	ColdStartsReported int
}

// Gate admits requests to one target. It is safe for concurrent use.
type Gate struct {
	now         func() time.Time
	queueLength int

	mu      sync.Mutex
	queue   Queue
	running int
	limiter limiter
	load    loadAverage
	cold    coldPace
}

// New returns a gate whose target is in a cold start. It panics when the queue policy is
// not registered; Check tells beforehand.
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
		ramp:      o.RampStep,
		noRamp:    o.NoColdStart,
		adaptive:  float64(o.Slots),
		fixed:     o.FixedLimit,
	}
	g.limiter.startCold(g.now())
	return g
}

// Check returns an error when the options cannot be used.
func (o Options) Check() error {
	_, err := Queues.Get(o.withDefaults().Queue)
	return errors.Trace(err)
}

func (o Options) withDefaults() Options {
	o.Slots = defaultInt(o.Slots, DefaultSlots)
	o.ColdSlots = defaultInt(o.ColdSlots, DefaultColdSlots)
	o.QueueLength = defaultInt(o.QueueLength, DefaultQueueLength)
	if o.RampStep <= 0 {
		o.RampStep = DefaultRampStep
	}
	if o.Queue == "" {
		o.Queue = DefaultQueue
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

func defaultInt(n, byDefault int) int {
	if n <= 0 {
		return byDefault
	}
	return n
}

// Slot is the right to run one request at the target. It must be released once.
type Slot struct {
	gate *Gate
	once sync.Once
}

// Acquire waits for a slot until ctx ends. A weight that is not positive counts as 1.
// Errors: Overloaded when the queue is full, DeadlineExceeded when ctx ends first or the
// deadline of ctx cannot be met; both mean that nothing has run.
func (g *Gate) Acquire(ctx context.Context, org api.OrganisationID, weight float64) (*Slot, error) {
	return g.AcquireFor(ctx, Request{Organisation: org, Weight: weight})
}

// AcquireFor is Acquire with a priority, which the queue policy may use.
func (g *Gate) AcquireFor(ctx context.Context, c Request) (*Slot, error) {
	if ctx.Err() != nil {
		return nil, errkind.New(errkind.DeadlineExceeded, "ended before admission: %v", ctx.Err())
	}
	if c.Weight <= 0 {
		c.Weight = 1
	}
	w, err := g.admit(ctx, c)
	if err != nil {
		return nil, err
	}
	if w != nil {
		ctx, cancel := withLatestStart(ctx, w.mean, w.latest)
		defer cancel()
		if err := g.wait(ctx, w); err != nil {
			return nil, err
		}
	}
	return &Slot{gate: g}, nil
}

// admit takes a slot at once, or returns the queued waiter.
func (g *Gate) admit(ctx context.Context, c Request) (*Waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.limiter.advance(now)
	if g.queue.Len() == 0 && g.limiter.bears(g.running+1) && g.cold.wait(now) == 0 {
		g.start(now)
		return nil, nil
	}
	if err := g.checkDeadline(ctx, now, c); err != nil {
		return nil, err
	}
	if err := g.makeRoom(c); err != nil {
		return nil, err
	}
	w := &Waiter{Request: c, ready: make(chan struct{}), mean: g.limiter.times.mean}
	if latest := c.LatestStart(now, w.mean); !latest.IsZero() {
		// The estimate may be short by a part of one service time; a slot that comes a little later
		// is still better than a refusal after the wait.
		w.latest = latest.Add(w.mean / 2)
	}
	g.queue.Push(w)
	g.pump()
	return w, nil
}

func (g *Gate) makeRoom(c Request) error {
	if g.queue.Len() < g.queueLength {
		return nil
	}
	w := g.queue.Evict(c)
	if w == nil {
		return errkind.New(errkind.Overloaded, "queue of %d is full", g.queueLength)
	}
	w.err = errkind.New(errkind.Overloaded, "displaced from a full queue")
	close(w.ready)
	return nil
}

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
		// The slot was handed over, or the waiter displaced, while ctx ended.
		<-w.ready
		if w.err != nil {
			return w.err
		}
		g.release(Outcome{})
	}
	return errkind.New(errkind.DeadlineExceeded, "ended in the queue: %v", ctx.Err())
}

// pump hands free slots to waiters. The caller holds the lock.
func (g *Gate) pump() {
	for g.limiter.bears(g.running + 1) {
		now := g.now()
		if wait := g.cold.wait(now); wait > 0 && g.queue.Len() > 0 {
			g.resumeAfter(wait)
			return
		}
		w := g.queue.Pop()
		if w == nil {
			return
		}
		g.start(now)
		close(w.ready)
	}
}

// start counts a request as running. The caller holds the lock.
func (g *Gate) start(now time.Time) {
	g.load.advance(now, g.running)
	g.running++
	g.cold.note(now)
}

// Release gives the slot back and reports how the request ended. Only the first call counts.
func (s *Slot) Release(o Outcome) {
	s.once.Do(func() { s.gate.release(o) })
}

func (g *Gate) release(o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.limiter.observe(now, o, g.running)
	g.limiter.advance(now)
	g.load.advance(now, g.running)
	g.running--
	if o.Cold {
		g.pause()
	}
	g.pump()
}

// pause sends nothing for a while to a target that refused a request in a cold start. The
// caller holds the lock.
func (g *Gate) pause() {
	if span := g.limiter.startPause(); span > 0 {
		time.AfterFunc(span, g.resume)
	}
}

func (g *Gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.paused = false
	g.pump()
}

// RestartRamp starts the cold-start ramp again, as for a new instance of the target.
func (g *Gate) RestartRamp() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.startCold(g.now())
}

// Snapshot describes the gate now.
func (g *Gate) Snapshot() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.advance(g.now())
	g.pump()
	return Stats{
		Running: g.running,
		Queued:  g.queue.Len(),
		Limit:   g.limiter.limit(),
		Cold:    g.limiter.cold,

		ColdStartsDetected: g.limiter.detected,
		ColdStartsReported: g.limiter.stated,
	}
}
