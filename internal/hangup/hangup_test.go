package hangup

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	b, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = a.Close()
		_ = b.Close()
	})
	return a.(*net.TCPConn), b.(*net.TCPConn)
}

// ends are the ways in which a peer ends its side.
var ends = map[string]func(*net.TCPConn){
	"close":      func(c *net.TCPConn) { _ = c.Close() },
	"half-close": func(c *net.TCPConn) { _ = c.CloseWrite() },
	"reset":      func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() },
}

type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

// Guards against a close that is not noticed because nothing reads the bytes before it.
func TestCloseIsSeenBehindUnreadBytes(t *testing.T) {
	for name, end := range ends {
		for _, unread := range []int{0, 1, 20_000} {
			is := is.New(t)
			client, server := connect(t)
			ctx := ConnContext(context.Background(), wrapped{server})
			_, err := client.Write(make([]byte, unread))
			is.NoErr(err)
			is.True(!Closed(ctx)) // open
			end(client)
			deadline := time.Now().Add(time.Second)
			for !Closed(ctx) && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if !Closed(ctx) {
				t.Errorf("%s behind %d bytes is not seen", name, unread)
			}
		}
	}
}

// Guards against requests that end because it can't be told whether their connections are open.
func TestConnectionWithoutSocketCountsAsOpen(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	_ = a.Close()
	is.True(!Closed(ConnContext(context.Background(), b)))
	is.True(!Closed(context.Background()))
}

// Guards against a peer that does not learn of the end of a connection, since it does not read the bytes before it, and against
// a reset that takes bytes from a peer that has them.
func TestEndOvertakesUndeliveredBytes(t *testing.T) {
	for _, size := range []int{0, 1000, 8_000_000} {
		is := is.New(t)
		client, server := connect(t)
		is.NoErr(client.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
		written, _ := client.Write(make([]byte, size))
		is.Equal(written < size, size > 1000) // the peer reads nothing
		ResetIfUndelivered(client)
		_ = client.Close()
		time.Sleep(50 * time.Millisecond)
		is.True(Closed(ConnContext(context.Background(), server)))
		got, err := io.ReadAll(server)
		is.Equal(err != nil, size > 1000)
		is.Equal(len(got) == size, size <= 1000)
	}
}
