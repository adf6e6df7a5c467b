package gateway

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a transport that writes a request after it was reported as not run, or
// writes the same attempt a second time on another connection.
func TestShotSendsAtMostOnceAndNeverAfterBar(t *testing.T) {
	is := is.New(t)
	write := func(s *shot) error {
		near, far := net.Pipe()
		defer near.Close()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		c := &guardedConn{Conn: near}
		c.shot.Store(s)
		_, err := c.Write([]byte("x"))
		return err
	}
	barred := &shot{check: func() error { return nil }}
	fired, _ := barred.bar()
	is.Equal(fired, false)
	is.True(write(barred) != nil)
	once := &shot{check: func() error { return nil }}
	is.NoErr(write(once))
	is.True(write(once) != nil)
	fired, _ = once.bar()
	is.Equal(fired, true)
}
