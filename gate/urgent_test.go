package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a less urgent request that is served before, or evicts, a more urgent one.
func TestUrgentQueue(t *testing.T) {
	is := is.New(t)
	q := new(urgentQueue)
	for _, p := range []int{2, 0, 1, 0} {
		q.Push(&Waiter{Request: Request{Organisation: "o", Weight: 1, Priority: p}})
	}
	is.Equal(q.Ahead(Request{Organisation: "o", Weight: 1, Priority: 1}), 3)
	is.Equal(q.Evict(Request{Organisation: "x", Weight: 1, Priority: 2}), (*Waiter)(nil)) // fair within its class
	is.Equal(q.Evict(Request{Organisation: "x", Weight: 1, Priority: 0}).Priority, 2)
	is.Equal(q.Evict(Request{Organisation: "x", Weight: 1, Priority: 0}).Priority, 1)
	is.Equal(q.Len(), 2)
	is.Equal(q.Pop().Priority, 0)
	last := &Waiter{Request: Request{Organisation: "o", Weight: 1, Priority: 3}}
	q.Push(last)
	is.True(q.Remove(last))
	is.Equal(q.Pop().Priority, 0)
	is.Equal(q.Pop(), (*Waiter)(nil))
	is.Equal(q.Len(), 0)
}

// Guards against a cold target that gets more than its rate in any second, also when it turns cold
// under load, and against requests that stay queued after the limit allows them.
func TestColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 10
		g := New(Options{Slots: 1000, NoColdStart: true, FixedLimit: true})
		g.SetColdRate(3*time.Second, rate)
		var starts []time.Time
		started := make(chan time.Time, 200)
		for range 60 {
			go func() {
				slot, err := g.Acquire(context.Background(), "o", 1)
				if err != nil {
					t.Error(err)
					return
				}
				started <- time.Now()
				slot.Release(Outcome{Latency: time.Millisecond})
			}()
		}
		for range 60 {
			starts = append(starts, <-started)
		}
		for i := rate; i < len(starts) && starts[i].Before(starts[0].Add(3*time.Second)); i++ {
			if starts[i].Sub(starts[i-rate]) < time.Second {
				t.Fatalf("start %d came %v after start %d", i, starts[i].Sub(starts[i-rate]), i-rate)
			}
		}
		if took := starts[59].Sub(starts[0]); took > 3200*time.Millisecond {
			t.Fatalf("the last request started after %v", took)
		}
	})
}
