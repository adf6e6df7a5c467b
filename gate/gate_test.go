package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// clock is a manual clock.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func mustAcquire(t *testing.T, g *Gate) *Slot {
	t.Helper()
	s, err := g.Acquire(context.Background(), "o", 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// serveSequentially runs n requests one after another, each with the outcome.
func serveSequentially(t *testing.T, g *Gate, n int, o Outcome) {
	t.Helper()
	for range n {
		mustAcquire(t, g).Release(o)
	}
}

// serveFlood queues 60 requests of a flooding organisation and then 4 of a small one, and returns
// how many of the first 8 served belong to the small one.
func serveFlood(t *testing.T, policy string) int {
	g := New(Options{Slots: 1, NoColdStart: true, Queue: policy})
	holder := mustAcquire(t, g)
	order := make(chan api.OrganisationID, 64)
	queue := func(org api.OrganisationID, n int) {
		for range n {
			before := g.Snapshot().Queued
			go func() {
				s, err := g.Acquire(context.Background(), org, 1)
				if err != nil {
					t.Error(err)
					return
				}
				order <- org
				s.Release(Outcome{Latency: time.Millisecond})
			}()
			for g.Snapshot().Queued == before {
				time.Sleep(50 * time.Microsecond)
			}
		}
	}
	queue("flood", 60)
	queue("small", 4)
	holder.Release(Outcome{})
	small := 0
	for range 8 {
		if <-order == "small" {
			small++
		}
	}
	for range 56 {
		<-order
	}
	return small
}

// Guards against a flood of requests of one organisation that delays the others.
func TestFairQueueServesSmallOrganisationAmidFlood(t *testing.T) {
	is := is.New(t)
	is.Equal(serveFlood(t, "fair"), 4)
	is.Equal(serveFlood(t, "fifo"), 0) // the baseline shows the failure
}

// Guards against shares that ignore the weights of the organisations.
func TestFairQueueFollowsWeights(t *testing.T) {
	is := is.New(t)
	q := newFairQueue()
	for range 40 {
		q.Push(&Waiter{Request: Request{Organisation: "heavy", Weight: 3}})
		q.Push(&Waiter{Request: Request{Organisation: "light", Weight: 1}})
	}
	heavy := 0
	for range 40 {
		if q.Pop().Organisation == "heavy" {
			heavy++
		}
	}
	is.Equal(heavy, 30)
}

// Guards against a flood that fills the queue and blocks all other organisations.
func TestFullQueueEvictsFlood(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 1, NoColdStart: true, QueueLength: 4})
	defer mustAcquire(t, g).Release(Outcome{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	errs := make(chan error, 8)
	acquire := func(org api.OrganisationID) {
		_, err := g.Acquire(ctx, org, 1)
		errs <- err
	}
	for range 4 {
		go acquire("flood")
	}
	for g.Snapshot().Queued < 4 {
		time.Sleep(time.Millisecond)
	}
	_, err := g.Acquire(ctx, "flood", 1)
	is.Equal(errkind.Of(err), errkind.Overloaded) // no eviction within an organisation
	go acquire("small")
	is.Equal(errkind.Of(<-errs), errkind.Overloaded) // one of the flood
	is.Equal(g.Snapshot().Queued, 4)
}

// Guards against more running requests than the announced cold slots, and against a ramp that skips steps.
func TestColdStartRampBoundsRunning(t *testing.T) {
	is := is.New(t)
	c := newClock()
	g := New(Options{Slots: 20, ColdSlots: 2, RampStep: time.Second, Now: c.Now})
	var limits []int
	for range 6 {
		limits = append(limits, g.Snapshot().Limit)
		c.advance(time.Second)
	}
	is.Equal(limits, []int{2, 4, 8, 16, 20, 20})
	g.RestartRamp()
	c.advance(time.Hour)
	is.Equal(g.Snapshot().Limit, 4) // an idle hour advances one step only
}

// Guards against full load on a target that turned cold without a new instance id.
func TestUnannouncedColdStartIsDetected(t *testing.T) {
	is := is.New(t)
	for name, outcome := range map[string]Outcome{
		"cold refusal": {Cold: true},
		"latency jump": {Latency: 50 * time.Millisecond},
	} {
		c := newClock()
		g := New(Options{Slots: 20, ColdSlots: 2, RampStep: time.Second, Now: c.Now})
		for range 5 {
			c.advance(time.Second)
			g.Snapshot()
		}
		serveSequentially(t, g, 2*windowSize, Outcome{Latency: 5 * time.Millisecond})
		serveSequentially(t, g, 1, Outcome{Latency: 100 * time.Millisecond})
		is.Equal(g.Snapshot().Cold, false) // a single slow request is not a cold start
		serveSequentially(t, g, recentSize, outcome)
		is.Equal(g.Snapshot().Limit, 2) // either sign restarts the ramp
		t.Log(name)
	}
}

// Guards against a straggling target, some of whose requests are slow, that is treated as cold and
// loses most of its slots.
func TestStragglerIsNotDetectedAsColdStart(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	g := New(Options{Slots: 20, NoColdStart: true})
	g.limiter.noRamp = false
	serveSequentially(t, g, 2*windowSize, Outcome{Latency: 5 * time.Millisecond})
	for range 10_000 {
		o := Outcome{Latency: 5 * time.Millisecond}
		if rng.Float64() < 0.3 {
			o.Latency = 200 * time.Millisecond
		}
		serveSequentially(t, g, 1, o)
	}
	is.Equal(g.Snapshot().ColdStartsDetected, 0)
	is.True(g.Snapshot().Limit >= 10)
}

// Guards against requests sent one after another to a target that refuses them all, and against a
// pause that never ends.
func TestRefusalInColdStartPausesAdmission(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 20})
	serveSequentially(t, g, 1, Outcome{Cold: true})
	ctx, cancel := context.WithTimeout(context.Background(), firstPause/2)
	defer cancel()
	_, err := g.Acquire(ctx, "a", 1)
	is.Equal(errkind.Of(err), errkind.DeadlineExceeded)
	probe := mustAcquire(t, g) // after the pause
	is.Equal(g.limiter.allows(2), false)
	probe.Release(Outcome{Latency: time.Millisecond})
	is.Equal(g.limiter.allows(2), true)
}

// Guards against a limit that load shedding lowers to zero, from which it could not recover.
func TestSheddingKeepsLimitAboveZero(t *testing.T) {
	is := is.New(t)
	c := newClock()
	g := New(Options{Slots: 20, NoColdStart: true, Now: c.Now})
	for range 50 {
		c.advance(minCutInterval)
		serveSequentially(t, g, 1, Outcome{Shed: true})
	}
	is.Equal(g.Snapshot().Limit, 1)
	for range 300 {
		slots := make([]*Slot, g.Snapshot().Limit)
		for i := range slots {
			slots[i] = mustAcquire(t, g)
		}
		for _, s := range slots {
			s.Release(Outcome{Latency: time.Millisecond})
		}
	}
	is.Equal(g.Snapshot().Limit, 20) // recovers under use
}

// Guards against a waiter that stays queued, or gets a slot that is never released, after its context ended.
func TestWaitEndsWithContext(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 1, NoColdStart: true})
	holder := mustAcquire(t, g)
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_, err := g.Acquire(ctx, "o", 1)
		cancel()
		is.Equal(errkind.Of(err), errkind.DeadlineExceeded)
	}
	is.Equal(g.Snapshot().Queued, 0)
	holder.Release(Outcome{})
	holder.Release(Outcome{})
	is.Equal(g.Snapshot().Running, 0)
}

// Guards against queueing a request whose deadline will pass in the queue.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 1, NoColdStart: true})
	serveSequentially(t, g, 10, Outcome{Latency: 10 * time.Second})
	defer mustAcquire(t, g).Release(Outcome{})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	begin := time.Now()
	_, err := g.Acquire(ctx, "o", 1)
	is.Equal(errkind.Of(err), errkind.DeadlineExceeded)
	is.True(time.Since(begin) < time.Second)
}

// Guards against reporting "not run" for an attempt that ran or will run.
func TestAttemptIsEitherStartedOrFenced(t *testing.T) {
	is := is.New(t)
	c := newClock()
	a := NewAttempts(time.Minute, c.Now)
	is.Equal(a.Fence("fenced"), false)
	c.advance(9 * time.Minute)
	is.Equal(errkind.Of(a.Start("fenced")), errkind.DeadlineExceeded)
	is.NoErr(a.Start("ran"))
	is.True(a.Start("ran") != nil) // the same attempt twice
	c.advance(time.Hour)
	is.True(a.Fence("ran")) // still running
	a.Finish("ran")
	c.advance(time.Minute)
	is.True(a.Fence("ran"))
	a.Receive("queued")
	a.Finish("queued")
	is.Equal(a.Fence("queued"), false)
}

// Guards against a wrong "not run" after the bounded table has dropped attempts.
func TestFullAttemptTableReportsStarted(t *testing.T) {
	is := is.New(t)
	a := NewAttempts(time.Minute, newClock().Now)
	a.finished.maxPerGeneration = 10
	a.fenced.maxPerGeneration = 3
	for i := range 25 {
		id := fmt.Sprint(i)
		is.NoErr(a.Start(id))
		a.Finish(id)
	}
	is.True(a.Fence("0")) // dropped, and so not fenced
	b := NewAttempts(time.Minute, newClock().Now)
	b.fenced.maxPerGeneration = 1
	is.Equal(b.Fence("x"), false)
	is.Equal(b.Fence("y"), true) // no space to fence it
}
