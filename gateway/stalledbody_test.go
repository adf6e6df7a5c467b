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
)

// Guards against slots that are held beyond the deadline, and against a target that counts as slow,
// because the sender of a body has stalled.
func TestStalledBodyEndsWithItsDeadline(t *testing.T) {
	// Always buffered, buffered while there is memory, and streamed.
	for _, size := range []int{maxSmallBody, 4 * maxSmallBody, 4 * maxBufferedBody} {
		testStalledBody(t, size)
	}
}

func testStalledBody(t *testing.T, size int) {
	is := is.New(t)
	target := newTarget(t, echoOK)
	a := newNode(t, "a", target.addr(), config.Traffic{})
	connect(nil, a)
	conn, err := net.Dial("tcp", a.peer.CallerAddr)
	is.NoErr(err)
	defer conn.Close()
	began := time.Now()
	_, err = fmt.Fprintf(conn, "POST /orders/k HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nZinnia-Deadline-Ms: 300\r\nContent-Length: %d\r\n\r\n%s",
		orgKey, size, strings.Repeat("x", size/2))
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(began.Add(3 * time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(began) < time.Second)
	is.Equal(a.local.gate.Snapshot().Running, 0)
	is.Equal(a.local.gate.Snapshot().Limit, 8)
}
