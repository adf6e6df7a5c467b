package gate

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a target that counts as warm during a cold start that it has stated, and against waiting requests
// that are left out of the number of requests at a target.
func TestColdStartAndRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := New(Options{Slots: 1, NoColdStart: true, Now: func() time.Time { return now }})
	is.True(!g.ColdStart())
	g.SetColdRate(3*time.Second, 9.3)
	is.True(g.ColdStart())
	now = now.Add(3 * time.Second)
	is.True(!g.ColdStart())
	is.True(New(Options{Slots: 4}).ColdStart()) // the ramp

	slot, err := g.Acquire(t.Context(), "a", 1)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() {
		_, _ = g.Acquire(ctx, "a", 1)
		close(done)
	}()
	for g.Snapshot().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(g.Requests(), 2)
	cancel()
	<-done
	slot.Release(Outcome{})
	is.Equal(g.Requests(), 0)
}
