package gateway

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a transport that writes a request after it was reported as not run, or writes the
// same attempt again on another connection.
func TestSendOnceSendsAtMostOnceAndNeverAfterFence(t *testing.T) {
	is := is.New(t)
	write := func(s *sendOnce) error {
		near, far := net.Pipe()
		defer near.Close()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		c := &guardedConn{Conn: near}
		c.guard.Store(s)
		_, err := c.Write([]byte("x"))
		return err
	}
	fenced := &sendOnce{check: func() error { return nil }}
	sent, _ := fenced.fence()
	is.Equal(sent, false)
	is.True(write(fenced) != nil)
	once := &sendOnce{check: func() error { return nil }}
	is.NoErr(write(once))
	is.True(write(once) != nil)
	sent, _ = once.fence()
	is.Equal(sent, true)
}
