package hangup

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a close that wakes nobody: behind bytes that nothing reads, before the watch, and on a connection that has
// been watched before.
func TestWatchEndsWithTheConnection(t *testing.T) {
	for name, end := range ends {
		for _, before := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/before=%t", name, before), func(t *testing.T) {
				is := is.New(t)
				client, server := connect(t)
				raw := rawConn(server)
				for range 3 {
					watchConn(raw, func() { t.Error("an open connection counts as closed") })()
				}
				_, err := client.Write(make([]byte, 1000))
				is.NoErr(err)
				if before {
					end(client)
				}
				closed := make(chan struct{})
				defer watchConn(raw, func() { close(closed) })()
				if !before {
					time.Sleep(10 * time.Millisecond)
					end(client)
				}
				select {
				case <-closed:
				case <-time.After(time.Second):
					t.Error("the close is not noticed")
				}
			})
		}
	}
}

// Guards against a watch that ends another request, after its own has ended and its connection has been closed.
func TestWatchThatHasEndedCallsNothing(t *testing.T) {
	var clients sync.WaitGroup
	for range 200 {
		client, server := connect(t)
		stop := watchConn(rawConn(server), func() { t.Error("called after the end of the watch") })
		stop()
		clients.Go(func() { _ = client.Close() })
		_ = server.Close()
	}
	clients.Wait()
	time.Sleep(10 * time.Millisecond)
}

// Guards against a request that waits for its deadline since its connection is closed by the process itself.
func TestWatchOfAClosedConnection(t *testing.T) {
	is := is.New(t)
	_, server := connect(t)
	raw := rawConn(server)
	_ = server.Close()
	closed := false
	watchConn(raw, func() { closed = true })()
	is.True(closed)
}
