package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowListener accepts connections whose reads return some time after the data has arrived, as in a process that
// does not get the processor.
type slowListener struct{ net.Listener }

type slowConn struct{ net.Conn }

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(5 * time.Millisecond)
	return n, err
}

// Guards against a request that is handled although its connection has been closed as idle: it runs, and its
// caller gets no answer. Found on a loaded host whose process took 78 ms to read a request.
func TestStopHandlesNoRequestOfAClosedConnection(t *testing.T) {
	is := is.New(t)
	var handled, answered atomic.Int64
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		ctx, stop := context.WithCancel(t.Context())
		s := NewHTTPService("test", slowListener{l}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }))
		began := time.Now().Add(-drainTime)
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(ctx) }()
		conns := make([]net.Conn, 40)
		for i := range conns {
			conns[i], err = net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			answered.Add(exchange(conns[i]))
		}
		s.drainSince.Store(&began) // the drain has passed, and these connections are idle
		for i, conn := range conns {
			time.AfterFunc(time.Duration(i)*100*time.Microsecond, func() { answered.Add(exchange(conn)) })
		}
		time.Sleep(2 * time.Millisecond)
		stop()
		<-ended
		time.Sleep(20 * time.Millisecond)
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(handled.Load(), answered.Load())
}

// exchange sends a request and returns the number of complete responses, 0 or 1.
func exchange(conn net.Conn) int64 {
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0
	}
	return 1
}

// Guards against a caller that waits for the end of a connection on which its body was refused: the server ends
// its sending side with the response, and closes the connection half a second later.
func TestRefusedBodyEndsTheConnectionAtOnce(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := NewHTTPService("test", l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	go func() { _ = s.Serve(t.Context()) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1000000000\r\n\r\nx")
	is.NoErr(err)
	began := time.Now()
	_, err = io.ReadAll(conn)
	is.NoErr(err)
	is.True(time.Since(began) < 400*time.Millisecond)
}
