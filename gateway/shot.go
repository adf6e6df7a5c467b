package gateway

import (
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/zinniapier/zinniapier/errkind"
)

// shot is one attempt to send a request over a connection. Its check runs immediately
// before the first byte, on a connection that is already open; a check that fails, or a
// shot that was barred before, sends nothing. It fires at most once, whatever the
// transport does, so an attempt is never sent twice.
type shot struct {
	check func() error

	mu    sync.Mutex
	fired bool
	err   *errkind.Error // why nothing was or will be sent
	conn  atomic.Pointer[guardedConn]
	// reused says that the connection had carried a request before.
	reused atomic.Bool
}

// fire is called by the connection before the first byte.
func (s *shot) fire() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if s.fired {
		return errkind.New(errkind.Unknown, "attempt has been sent before")
	}
	if err := s.check(); err != nil {
		s.err = errkind.From(err)
		return s.err
	}
	s.fired = true
	return nil
}

// bar ends the shot and says whether it had been fired. If not, it never will be, and
// refusal is the error of its check, nil when the check was not reached.
func (s *shot) bar() (fired bool, refusal *errkind.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fired {
		return true, nil
	}
	refusal = s.err
	if s.err == nil {
		s.err = errkind.New(errkind.DeadlineExceeded, "attempt was given up")
	}
	return false, refusal
}

// trace attaches the shot to the connection that the transport selects.
func (s *shot) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*guardedConn); ok {
			s.reused.Store(info.Reused)
			s.conn.Store(c)
			c.shot.Store(s)
		}
	}}
}

// closeConn closes the connection that the shot used, so that nobody uses it again.
func (s *shot) closeConn() {
	if c := s.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// guardedConn asks the current shot before it sends the first byte of a request.
type guardedConn struct {
	net.Conn
	shot atomic.Pointer[shot]
}

// Write implements net.Conn. When the shot refuses, no byte is sent.
func (c *guardedConn) Write(p []byte) (int, error) {
	if s := c.shot.Swap(nil); s != nil {
		if err := s.fire(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
