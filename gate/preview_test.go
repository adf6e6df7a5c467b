package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against a preview that moves the ramp of a cold target, takes a slot, or evicts a waiter.
func TestPreviewChangesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := New(Options{Slots: 16, ColdSlots: 2, RampStep: time.Second, Queue: QueueUrgent, QueueLength: 1, Now: func() time.Time { return now }})
	now = now.Add(time.Second)
	for range 3 {
		p := g.Preview(t.Context(), Request{Organisation: "a"})
		is.True(p.Starts && p.Err == nil)
		is.Equal(p.Stats.Limit, 4) // one step, however often it is asked for
	}
	is.Equal(g.limiter.limit(), 2)
	is.Equal(g.Snapshot().Limit, 4)

	for range 4 {
		_, err := g.Acquire(t.Context(), "a", 1)
		is.NoErr(err)
	}
	go func() { _, _ = g.AcquireFor(t.Context(), Request{Organisation: "a", Priority: 1}) }()
	for g.Requests() < 5 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(g.Preview(t.Context(), Request{Organisation: "a", Priority: 0}).Err, nil) // would evict the waiter
	is.Equal(g.Preview(t.Context(), Request{Organisation: "a", Priority: 2}).Err.Kind, errkind.Overloaded)
	is.Equal(g.Requests(), 5)
}
