package gateway

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/zinniapier/zinniapier/errkind"
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

// Guards against an attempt that was abandoned before it was sent and counts as refused: it may be sent elsewhere.
func TestSendOnceTellsARefusalFromAFence(t *testing.T) {
	is := is.New(t)
	abandoned := &sendOnce{check: func() error { return nil }}
	_, _ = abandoned.fence()
	_, refusal := abandoned.fence()
	is.True(refusal == nil)
	refused := &sendOnce{check: func() error { return errkind.New(errkind.StaleEpoch, "moved") }}
	is.True(refused.beginSend() != nil)
	for range 2 {
		_, refusal = refused.fence()
		is.Equal(refusal.Kind, errkind.StaleEpoch)
	}
}
