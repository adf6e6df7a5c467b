package daemon

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnusedConnectionDoesNotDelayShutdown guards against a stop that waits 5 s for a request
// on a connection that another process of the system dialled and never used.
func TestUnusedConnectionDoesNotDelayShutdown(t *testing.T) {
	is := is.New(t)
	l, err := Listen("test", "127.0.0.1:0", 64<<10)
	is.NoErr(err)
	s := NewInternalHTTPService("test", l, http.NotFoundHandler())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	time.Sleep(50 * time.Millisecond) // until the server has accepted
	began := time.Now()
	stop()
	<-done
	is.True(time.Since(began) < 2*time.Second)
}
