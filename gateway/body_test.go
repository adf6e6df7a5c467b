package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/config"
	"github.com/zinniapier/zinniapier/errkind"
)

// Guards against uploads that have to arrive before they are refused.
func TestUploadThatCannotBeServedIsRefusedBeforeItIsIn(t *testing.T) {
	reasons := map[errkind.Kind]func(*testNode){
		errkind.RateLimited:  func(n *testNode) { n.tokens.refuses = true },
		errkind.ShuttingDown: func(n *testNode) { n.Leave(time.Now(), 0) },
	}
	for kind, prepare := range reasons {
		is := is.New(t)
		a := newNode(t, "a", newTarget(t, echoOK).addr(), config.Traffic{})
		connect(nil, a)
		prepare(a)
		conn, err := net.Dial("tcp", a.peer.CallerAddr)
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "POST /orders/k HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			orgKey, maxBufferedBody, strings.Repeat("x", 2*maxSmallBody))
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(errkind.Kind(resp.Header.Get(errkind.HeaderKind)), kind)
		_ = conn.Close()
	}
}

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
