package gate

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against a target that gets more requests than it has said that it takes, and against one that is kept
// from work for longer than it says so.
func TestNamedRate(t *testing.T) {
	is := is.New(t)
	c := newClock()
	g := New(Options{Slots: 18, NoColdStart: true, FixedLimit: true, Now: c.Now})
	serveSequentially(t, g, 20, Outcome{Latency: 100 * time.Millisecond})
	// started counts the starts in the span, with a caller that always waits.
	started := func(span time.Duration) (n int) {
		for end := c.Now().Add(span); c.Now().Before(end); c.advance(10 * time.Millisecond) {
			g.mu.Lock()
			for g.startWait(c.Now()) == 0 {
				g.start(c.Now())
				g.running--
				if n++; n > 10_000 {
					break
				}
			}
			g.mu.Unlock()
		}
		return n
	}
	for _, rate := range []float64{26.7, 8, 0.9, 0} {
		g.SetNamedRate(rate)
		allowed := 4*rate*1.5 + 5
		for range 3 {
			n := started(4 * time.Second)
			is.True(float64(n) <= allowed)
			is.True(float64(n) >= max(4*rate, 2)-1) // a rate of 0 is probed
		}
	}
	c.advance(time.Minute) // an idle time saves up no burst
	g.SetNamedRate(8)
	is.True(started(time.Second) <= 11)
	g.SetNamedRate(-1)
	is.True(started(10*time.Millisecond) > 10_000)
}

// Guards against requests that wait for a target whose named rate cannot serve them in time.
func TestNamedRateRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 18, NoColdStart: true, FixedLimit: true})
	serveSequentially(t, g, 20, Outcome{Latency: 100 * time.Millisecond})
	g.SetNamedRate(2)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	began := time.Now()
	refused := 0
	results := make(chan error, 20)
	for range cap(results) {
		go func() {
			slot, err := g.Acquire(ctx, "o", 1)
			if err == nil {
				slot.Release(Outcome{Latency: 100 * time.Millisecond})
			}
			results <- err
		}()
	}
	for time.Since(began) < 200*time.Millisecond {
		select {
		case err := <-results:
			if err != nil {
				is.True(errkind.From(err).NotRun)
				refused++
			}
		case <-time.After(10 * time.Millisecond):
		}
	}
	is.True(refused >= 14) // about 6 fit into 3 s
	is.True(g.ExpectedLatency() > time.Second)
}

// Guards against a burst at a target that has named a low rate to the former process of its node.
func TestFirstSlots(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 18, NoColdStart: true, FixedLimit: true, FirstSlots: 4})
	is.Equal(g.Snapshot().Limit, 4)
	first := mustAcquire(t, g)
	first.Release(Outcome{Failed: true})
	is.Equal(g.Snapshot().Limit, 4)
	g.SetNamedRate(-1)
	is.Equal(g.Snapshot().Limit, 18)
}
