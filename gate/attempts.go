package gate

import (
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/errkind"
)

const (
	// attemptsBound is the number of finished attempts in one generation. At 13,000
	// requests/s and a memory of 20 s a node keeps about 260,000 in two generations.
	attemptsBound = 1 << 17
	// barsBound is the number of bars in one generation; bars only follow failed hops.
	barsBound = 1 << 15
	// barAge outlasts any request that a paused process or a slow link may still deliver.
	barAge = 10 * time.Minute
)

// Attempts remembers which attempts have been started at the targets of a node, so that
// a node that lost its hop can learn whether its request may be routed again. An attempt
// is started at most once, and never after it has been barred. The table is bounded: when
// it had to forget an attempt early, Bar answers "started" for those it does not know.
type Attempts struct {
	mu         sync.Mutex
	now        func() time.Time
	live       map[string]bool // received and not finished; true when started
	finished   generations
	bars       generations
	lossyUntil time.Time
}

// NewAttempts returns a table that remembers finished attempts for at least the longest
// deadline of a request. A nil now means time.Now.
func NewAttempts(longest time.Duration, now func() time.Time) *Attempts {
	if now == nil {
		now = time.Now
	}
	return &Attempts{
		now:      now,
		live:     make(map[string]bool),
		finished: newGenerations(longest, attemptsBound),
		bars:     newGenerations(max(barAge, longest), barsBound),
	}
}

// Receive notes that the request of an attempt has arrived and has not been started.
func (a *Attempts) Receive(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.live[id]; !known {
		a.live[id] = false
	}
}

// Start records that the attempt is about to be sent to its target. Errors:
// DeadlineExceeded when the attempt has been barred, Unknown when it was started before.
func (a *Attempts) Start(id string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if a.bars.has(id, now) {
		return errkind.New(errkind.DeadlineExceeded, "attempt was given up by its first node")
	}
	if a.live[id] || a.finished.has(id, now) {
		return errkind.New(errkind.Unknown, "attempt was started before")
	}
	a.live[id] = true
	return nil
}

// Fence says whether the attempt has been started; if not, it never will be.
func (a *Attempts) Fence(id string) (started bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if a.startedLocked(id, now) {
		return true
	}
	if a.bars.has(id, now) {
		return false
	}
	if a.bars.full(now) {
		return true
	}
	a.bars.add(id, now)
	return false
}

// Peek says whether the attempt's request has arrived and whether it has been started.
func (a *Attempts) Peek(id string) (received, started bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, live := a.live[id]
	started = a.startedLocked(id, a.now())
	return live || started, started
}

func (a *Attempts) startedLocked(id string, now time.Time) bool {
	started, live := a.live[id]
	if live {
		return started
	}
	return a.finished.has(id, now) || now.Before(a.lossyUntil)
}

// Finish notes that the attempt has ended. An attempt that was never started is forgotten.
func (a *Attempts) Finish(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	started := a.live[id]
	delete(a.live, id)
	if !started {
		return
	}
	now := a.now()
	if a.finished.full(now) {
		a.finished.rotate(now)
		a.lossyUntil = now.Add(a.finished.age)
	}
	a.finished.add(id, now)
}

// generations is a set that forgets: members stay for between one and two ages.
type generations struct {
	age     time.Duration
	bound   int
	young   map[string]struct{}
	old     map[string]struct{}
	rotated time.Time
}

func newGenerations(age time.Duration, bound int) generations {
	return generations{age: age, bound: bound, young: make(map[string]struct{})}
}

func (g *generations) expire(now time.Time) {
	if now.Sub(g.rotated) >= g.age {
		g.rotate(now)
	}
}

func (g *generations) rotate(now time.Time) {
	g.old = g.young
	g.young = make(map[string]struct{})
	g.rotated = now
}

func (g *generations) has(id string, now time.Time) bool {
	g.expire(now)
	if _, ok := g.young[id]; ok {
		return true
	}
	_, ok := g.old[id]
	return ok
}

func (g *generations) full(now time.Time) bool {
	g.expire(now)
	return len(g.young) >= g.bound
}

func (g *generations) add(id string, now time.Time) {
	g.expire(now)
	g.young[id] = struct{}{}
}
