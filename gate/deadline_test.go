package gate

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against a request that leaves the queue so late that its deadline cuts off its work: it
// occupies a slot, and its end counts as a failure of the target.
func TestWaitEndsWhenServiceTimeExceedsDeadline(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 1, ColdSlots: 1})
	serveSequentially(t, g, 4, Outcome{Latency: 100 * time.Millisecond})
	running := mustAcquire(t, g)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := g.Acquire(ctx, "o", 1)
	is.Equal(errkind.Of(err), errkind.DeadlineExceeded)
	is.True(errkind.From(err).NotRun)
	is.NoErr(ctx.Err()) // refused before its deadline
	running.Release(Outcome{Latency: 100 * time.Millisecond})
	is.Equal(g.Snapshot().Running, 0)
}

// Guards against short deadlines of callers that lower the limit of a healthy target.
func TestShortDeadlineKeepsLimit(t *testing.T) {
	is := is.New(t)
	c := newClock()
	g := New(Options{Slots: 8, ColdSlots: 8, Now: c.Now})
	serveSequentially(t, g, windowSize, Outcome{Latency: 20 * time.Millisecond})
	for range 10 {
		c.advance(minCutInterval)
		mustAcquire(t, g).Release(Outcome{Failed: true, TimedOutAfter: 30 * time.Millisecond})
	}
	is.Equal(g.Snapshot().Limit, 8)
	c.advance(minCutInterval)
	mustAcquire(t, g).Release(Outcome{Failed: true, TimedOutAfter: 200 * time.Millisecond})
	is.True(g.Snapshot().Limit < 8) // a timeout well above the service time is a failure
}
