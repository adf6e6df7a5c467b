package gate

import (
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/errkind"
)

const (
	// maxFinishedPerGeneration bounds the finished attempts in one generation. At 13,000
	// requests/s and a retention of 20 s, two generations hold about 260,000 attempts.
	maxFinishedPerGeneration = 1 << 17
	// maxFencedPerGeneration bounds the fenced attempts in one generation; an attempt is fenced
	// only after its hop failed.
	maxFencedPerGeneration = 1 << 15
	// fenceLifetime is longer than a paused process or a slow link can delay a request.
	fenceLifetime = 10 * time.Minute
)

// Attempts records which attempts have been started at the targets of a node. A node that
// lost the connection of a hop asks it whether the request may be routed again. An attempt is
// started at most once, and never after it has been fenced. The table is bounded: after it had
// to drop finished attempts early, it reports every attempt that it does not know as started.
// It is safe for concurrent use.
type Attempts struct {
	mu              sync.Mutex
	now             func() time.Time
	inFlight        map[string]bool // received and not finished; true when started
	finished        expiringSet
	fenced          expiringSet
	incompleteUntil time.Time
}

// NewAttempts returns a table that keeps finished attempts for at least maxDeadline, the longest
// deadline of a request. A nil now means time.Now.
func NewAttempts(maxDeadline time.Duration, now func() time.Time) *Attempts {
	if now == nil {
		now = time.Now
	}
	return &Attempts{
		now:      now,
		inFlight: make(map[string]bool),
		finished: newExpiringSet(maxDeadline, maxFinishedPerGeneration),
		fenced:   newExpiringSet(max(fenceLifetime, maxDeadline), maxFencedPerGeneration),
	}
}

// Receive records that the request of an attempt has arrived and has not been started.
func (a *Attempts) Receive(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.inFlight[id]; !known {
		a.inFlight[id] = false
	}
}

// Start records that the attempt is about to be sent to its target. Errors: DeadlineExceeded
// when the attempt has been fenced, Unknown when it was started before.
func (a *Attempts) Start(id string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if a.fenced.has(id, now) {
		return errkind.New(errkind.DeadlineExceeded, "attempt was fenced by the node that first sent it")
	}
	if a.inFlight[id] || a.finished.has(id, now) {
		return errkind.New(errkind.Unknown, "attempt was already started")
	}
	a.inFlight[id] = true
	return nil
}

// Fence reports whether the attempt has been started. If it has not, later calls of Start fail.
// It also reports true when there is no space for another fenced attempt.
func (a *Attempts) Fence(id string) (started bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if a.startedLocked(id, now) {
		return true
	}
	if a.fenced.has(id, now) {
		return false
	}
	if a.fenced.full(now) {
		return true
	}
	a.fenced.add(id, now)
	return false
}

// Peek reports whether the request of the attempt has arrived and whether it has been started.
// It does not fence the attempt.
func (a *Attempts) Peek(id string) (received, started bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, inFlight := a.inFlight[id]
	started = a.startedLocked(id, a.now())
	return inFlight || started, started
}

func (a *Attempts) startedLocked(id string, now time.Time) bool {
	started, inFlight := a.inFlight[id]
	if inFlight {
		return started
	}
	return a.finished.has(id, now) || now.Before(a.incompleteUntil)
}

// Finish records that the attempt has ended. An attempt that was never started is dropped.
func (a *Attempts) Finish(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	started := a.inFlight[id]
	delete(a.inFlight, id)
	if !started {
		return
	}
	now := a.now()
	if a.finished.full(now) {
		a.finished.rotate(now)
		a.incompleteUntil = now.Add(a.finished.age)
	}
	a.finished.add(id, now)
}

// expiringSet is a set whose members expire between one and two ages after they were added.
type expiringSet struct {
	age              time.Duration
	maxPerGeneration int
	current          map[string]struct{}
	previous         map[string]struct{}
	rotated          time.Time
}

func newExpiringSet(age time.Duration, maxPerGeneration int) expiringSet {
	return expiringSet{age: age, maxPerGeneration: maxPerGeneration, current: make(map[string]struct{})}
}

func (g *expiringSet) expire(now time.Time) {
	if now.Sub(g.rotated) >= g.age {
		g.rotate(now)
	}
}

func (g *expiringSet) rotate(now time.Time) {
	g.previous = g.current
	g.current = make(map[string]struct{})
	g.rotated = now
}

func (g *expiringSet) has(id string, now time.Time) bool {
	g.expire(now)
	if _, ok := g.current[id]; ok {
		return true
	}
	_, ok := g.previous[id]
	return ok
}

func (g *expiringSet) full(now time.Time) bool {
	g.expire(now)
	return len(g.current) >= g.maxPerGeneration
}

func (g *expiringSet) add(id string, now time.Time) {
	g.expire(now)
	g.current[id] = struct{}{}
}
