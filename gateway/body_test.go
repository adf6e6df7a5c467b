package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/config"
)

// Guards against uploads that take the memory of the host, and against memory that is never returned: beyond the limit they
// are streamed.
func TestMemoryForUploadsIsLimitedAndReturned(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	a := newNode(t, "a", target.addr(), config.Traffic{})
	connect(nil, a)
	upload := strings.Repeat("x", 2*maxSmallBody)
	is.Equal(a.call(t, "POST", "/orders/k", upload).body, "ok"+upload)
	release, ok := a.bodyMemory.reserve(maxBodyMemory - 1)
	is.True(ok)
	is.Equal(a.call(t, "POST", "/orders/k", upload).body, "ok"+upload)
	is.Equal(a.bodyMemory.used.Load(), int64(maxBodyMemory-1))
	release()
	l := sendAndStay(t, a, "/orders/k", 2*maxSmallBody+1, "chunked")
	_ = l.SetReadDeadline(time.Now().Add(time.Second))
	_, err := l.Read(make([]byte, 100))
	is.NoErr(err)
	for begin := time.Now(); a.bodyMemory.used.Load() != 0 && time.Since(begin) < time.Second; {
		time.Sleep(time.Millisecond)
	}
	is.Equal(a.bodyMemory.used.Load(), int64(0))
}
