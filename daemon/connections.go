package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/internal/hangup"
)

type connectionKey struct{}

func connContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = hangup.ConnContext(ctx, conn)
	if c := unwrap(conn); c != nil {
		ctx = context.WithValue(ctx, connectionKey{}, c)
	}
	return ctx
}

func (s *HTTPService) trackConnection(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.unused[conn] = struct{}{}
		return
	case http.StateClosed, http.StateHijacked:
		s.open--
		if c := unwrap(conn); c != nil {
			c.release()
		}
		select {
		case s.closed <- struct{}{}:
		default:
		}
	}
	delete(s.unused, conn)
	s.trackIdle(conn, state)
}

// trackIdle keeps the connections that are idle, or closes them once closing has begun. The caller holds s.mu.
func (s *HTTPService) trackIdle(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	if c == nil {
		return
	}
	if state == http.StateActive {
		c.headEnds()
	}
	if state != http.StateIdle {
		delete(s.idle, c)
		return
	}
	c.setIdle()
	s.idle[c] = struct{}{}
	if s.closing {
		s.closeOnceIdle(c)
	}
}

// closeIdle closes the connections that are idle, now and later.
func (s *HTTPService) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.idle {
		s.closeOnceIdle(c)
	}
}

// closeOnceIdle closes a connection that has been idle for drainTime: the response to a request that began before the
// drain did not announce the end of its connection, so that its caller may send the next one.
func (s *HTTPService) closeOnceIdle(c *idleConn) {
	if s.requests.Err() != nil {
		c.closeIfIdle()
		return
	}
	time.AfterFunc(drainTime-c.idleTime(), c.closeIfIdle)
}

func (s *HTTPService) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.unused {
		if c, ok := conn.(*idleConn); ok {
			c.closeIfIdle() // a request may be arriving
		} else {
			_ = conn.Close()
		}
	}
}

// awaitClosed waits until no connection is open, or returns the error of ctx.
func (s *HTTPService) awaitClosed(ctx context.Context) error {
	for {
		s.mu.Lock()
		open := s.open
		s.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-s.closed:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d connections open", open)
		}
	}
}
