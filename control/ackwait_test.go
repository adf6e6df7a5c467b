package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/api"
)

// Guards against a change that is acknowledged before nodes in contact have it, and against an
// acknowledgement that waits for nodes that are out of contact.
func TestAcknowledgementWaitsForNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestCluster(t, 3)
		w.control.o.AckWait = 600 * time.Millisecond
		w.run(time.Second)
		submit := func(name string) <-chan time.Duration {
			took := make(chan time.Duration, 1)
			began := time.Now()
			go func() {
				result, err := w.control.Submit(t.Context(), &api.Change{
					ID: name, Kind: api.ZoneOut, Name: name, Unconditional: true,
				})
				if err != nil || result.Error != nil {
					t.Error(err, result)
				}
				took <- time.Since(began)
			}()
			return took
		}
		took := submit("x")
		w.run(time.Second)
		quick := <-took
		is.True(quick > 0 && quick < 400*time.Millisecond) // two heartbeats of 100 ms

		w.nodes = w.nodes[:2] // the third node stops sending heartbeats
		took = submit("y")
		w.run(time.Second)
		is.True(<-took >= 600*time.Millisecond)
		took = submit("z") // the third node has been unresponsive for a second
		w.run(time.Second)
		is.True(<-took < 400*time.Millisecond)
	})
}
