package gateway

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/zinniapier/zinniapier/errkind"
)

// sendOnce lets one attempt be sent at most once. Its check runs immediately before the first byte,
// on a connection that is already open. If the check fails, or the attempt was fenced before,
// nothing is sent. It holds however often the transport retries, so an attempt never reaches a
// target twice.
type sendOnce struct {
	check func() error

	mu   sync.Mutex
	sent bool
	err  *errkind.Error // why nothing was or will be sent
	conn atomic.Pointer[guardedConn]
	// reused is true if the connection had carried a request before.
	reused atomic.Bool
}

// beginSend permits the attempt to be sent, or returns why it must not be. The connection calls it
// before the first byte.
func (s *sendOnce) beginSend() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if s.sent {
		return errkind.New(errkind.Unknown, "attempt was already sent")
	}
	if err := s.check(); err != nil {
		s.err = errkind.From(err)
		return s.err
	}
	s.sent = true
	return nil
}

// fence prevents a later send and reports whether the attempt had been sent already. If not,
// refusal is the error of its check, nil if the check was not reached.
func (s *sendOnce) fence() (sent bool, refusal *errkind.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent {
		return true, nil
	}
	refusal = s.err
	if s.err == nil {
		s.err = errkind.New(errkind.DeadlineExceeded, "attempt was abandoned")
	}
	return false, refusal
}

// trace attaches the sendOnce to the connection that the transport selects.
func (s *sendOnce) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*guardedConn); ok {
			s.reused.Store(info.Reused)
			s.conn.Store(c)
			c.guard.Store(s)
		}
	}}
}

// closeConn closes the connection that the attempt used, so that it is not reused.
func (s *sendOnce) closeConn() {
	if c := s.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// guardedConn consults the sendOnce of the current attempt before it writes the first byte of a
// request.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[sendOnce]
}

// Write implements net.Conn. If the attempt must not be sent, it writes nothing.
func (c *guardedConn) Write(p []byte) (int, error) {
	if s := c.guard.Swap(nil); s != nil {
		if err := s.beginSend(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
