package gateway

import (
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/hangup"
)

// sendOnce lets one attempt be sent at most once. Its check runs immediately before the first byte,
// on a connection that is already open. If the check fails, or the attempt was fenced before,
// nothing is sent. It holds however often the transport retries, so an attempt never reaches a
// target twice.
type sendOnce struct {
	check func() error
	// requestID is the id that all attempts of the request have; empty if there is none.
	requestID string

	mu   sync.Mutex
	sent bool
	err  *errkind.Error // why nothing was or will be sent
	// refusal is err where the check returned it.
	refusal *errkind.Error
	conn    atomic.Pointer[guardedConn]
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
		s.refusal = errkind.From(err)
		s.err = s.refusal
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
	if s.err == nil {
		s.err = errkind.New(errkind.DeadlineExceeded, "attempt was abandoned")
	}
	return false, s.refusal
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

// recordRefusal notes that the target has refused the attempt on its connection, which then carries no other attempt of
// the request.
func (s *sendOnce) recordRefusal() {
	if c := s.conn.Load(); c != nil && s.requestID != "" {
		c.recordRefused(s.requestID)
	}
}

// maxRefusedIDs limits the refused requests that a connection remembers; those before them have reached their deadlines.
const maxRefusedIDs = 64

// guardedConn consults the sendOnce of the current attempt before it writes the first byte of a
// request.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[sendOnce]
	// closed records the end of the connection; nil where connections are not counted.
	closed func()

	mu      sync.Mutex
	refused []string // ids of the requests whose attempts the target has refused on this connection, oldest first
}

func (c *guardedConn) recordRefused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.refused) == maxRefusedIDs {
		c.refused = c.refused[1:]
	}
	c.refused = append(c.refused, id)
}

func (c *guardedConn) hasRefused(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.refused, id)
}

// Close implements net.Conn. Bytes of an attempt that have not arrived are dropped, so that its receiver learns of the end.
func (c *guardedConn) Close() error {
	if c.closed != nil {
		defer c.closed()
	}
	hangup.ResetIfUndelivered(c.Conn)
	return c.Conn.Close()
}

// Write implements net.Conn. If the attempt must not be sent, it writes nothing. Neither does it for a request that the
// target has refused on this connection: a target may write a refusal once more.
func (c *guardedConn) Write(p []byte) (int, error) {
	if s := c.guard.Swap(nil); s != nil {
		if c.hasRefused(s.requestID) {
			return 0, errkind.New(errkind.TargetUnreachable, "the connection has carried a refusal of the request")
		}
		if err := s.beginSend(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
