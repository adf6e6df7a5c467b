package daemon

import (
	"bytes"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/zinniapier/zinniapier/internal/connlimit"
	"github.com/zinniapier/zinniapier/telemetry"
)

// idleListener wraps the connections that it accepts in idleConns.
type idleListener struct{ net.Listener }

// Accept implements net.Listener.
func (l idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if _, encrypted := conn.(*tls.Conn); err != nil || encrypted {
		return conn, err // http.Server knows a TLS connection by its type; ListenTLS has wrapped what it reads
	}
	return &idleConn{Conn: conn, idle: true}, nil
}

// limitedListener counts the connections that it accepts against the limits of the process.
type limitedListener struct {
	idleListener
	service *HTTPService
}

// Accept implements net.Listener. Connections for which there is no room are closed; when descriptors are short, it retries
// after a pause.
func (l limitedListener) Accept() (net.Conn, error) {
	var pause connlimit.AcceptPause
	for {
		conn, err := l.idleListener.Accept()
		if err != nil {
			d, ok := pause.After(err, l.service.connections)
			if !ok {
				return nil, err
			}
			time.Sleep(d)
			continue
		}
		pause.Reset()
		c := unwrap(conn)
		if c == nil || c.open(l.service) {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// unwrap returns the idleConn of a connection, also of an encrypted one; nil if there is none.
func unwrap(conn net.Conn) *idleConn {
	if encrypted, ok := conn.(*tls.Conn); ok {
		conn = encrypted.NetConn()
	}
	c, _ := conn.(*idleConn)
	return c
}

// idleConn is a connection that can be closed while it is idle, and only then. http.Server takes a connection
// for idle until it has read the whole header of the next request: closed by the server, the request may still
// be handled, without anywhere to send the response.
type idleConn struct {
	net.Conn

	mu     sync.Mutex
	idle   bool      // nothing has been received since the connection was opened or the last response was sent
	since  time.Time // of idle, once a response has been sent
	closed bool
	// working is set from the end of the head of a request, where the handler holds the body whole from the end of the body,
	// until its response is sent.
	working bool
	// head is the number of bytes that have been received of the head of a request. headRead is set once net/http has read
	// the head or refused it, begun once the request is handled.
	head            int
	headRead, begun bool

	slot    *connlimit.Slot
	service *HTTPService
}

const (
	// headLineMemory and headByteMemory are what a line and a byte of a head take once they are parsed.
	headLineMemory = 128
	headByteMemory = 2
	// bodyByteMemory is what a byte of a body takes that a handler reads whole into a growing buffer.
	bodyByteMemory = 3
)

// Names of events that are counted.
const (
	// eventHeadTooLarge counts heads beyond the limit, eventHeadUnfinished connections that ended within a head.
	eventHeadTooLarge   = "head_too_large"
	eventHeadUnfinished = "head_unfinished"
)

// open counts the connection against the limits; false if there is no room for it.
func (c *idleConn) open(s *HTTPService) bool {
	c.service = s
	c.slot = s.connections.Open(c.evict)
	return c.slot != nil
}

// evict closes the connection, one with a request at work only by force.
func (c *idleConn) evict(force bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.working && !force || c.closed {
		return false
	}
	c.closed = true
	_ = c.Conn.Close()
	return true
}

// charge accounts for what has been received of a request; false if the connection is to be closed.
func (c *idleConn) charge(received []byte, head, working bool) bool {
	switch {
	case c.slot == nil:
		return true
	case head:
		return c.slot.Receive(int64(headByteMemory*len(received) + headLineMemory*bytes.Count(received, []byte{'\n'})))
	case c.service.wholeBodies && !working:
		return c.slot.Receive(int64(bodyByteMemory * len(received)))
	default:
		return true
	}
}

// begin records that a request is about to be handled; false if the connection has been closed by this process.
func (c *idleConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
	return !c.closed
}

// headEnds records that net/http has read the head of a request, or has refused it.
func (c *idleConn) headEnds() {
	c.mu.Lock()
	c.headRead = true
	c.working = !c.service.wholeBodies
	working := c.working
	c.mu.Unlock()
	if c.slot != nil && working {
		c.slot.Working()
	}
}

// hold accounts for a body that is to be held whole; false if the connection is closed for it.
func (c *idleConn) hold(bytes int64) bool {
	c.mu.Lock()
	c.working = false
	c.mu.Unlock()
	if c.slot == nil {
		return true
	}
	c.slot.Unready()
	return c.slot.Receive(bytes)
}

// requestRead records that the body of a request is complete, too.
func (c *idleConn) requestRead() {
	c.mu.Lock()
	already := c.working
	c.working = true
	c.mu.Unlock()
	if c.slot != nil && !already {
		c.slot.Working()
	}
}

// release frees what the connection counts against the limits.
func (c *idleConn) release() {
	c.mu.Lock()
	head, begun := c.head, c.begun
	c.mu.Unlock()
	switch {
	case begun:
	case head > c.service.server.MaxHeaderBytes:
		telemetry.CountEvent(eventHeadTooLarge, 1)
	case head > 0:
		telemetry.CountEvent(eventHeadUnfinished, 1)
	}
	if c.slot != nil {
		c.slot.Release()
	}
}

// Read implements net.Conn. What arrives on a connection that has been closed as idle is discarded.
func (c *idleConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	c.idle = false
	head, working := !c.headRead, c.working
	if head {
		c.head += n
	}
	c.mu.Unlock()
	charged := c.charge(p[:n], head, working)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !charged && !c.closed {
		c.closed = true
		_ = c.Conn.Close()
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	return n, err
}

// NetConn returns the connection below, as that of a tls.Conn.
func (c *idleConn) NetConn() net.Conn { return c.Conn }

// setIdle records that a response has been sent.
func (c *idleConn) setIdle() {
	c.mu.Lock()
	c.idle, c.since = true, time.Now()
	c.working, c.headRead, c.begun, c.head = false, false, false, 0
	c.mu.Unlock()
	if c.slot != nil {
		c.slot.Idle()
	}
}

// idleTime returns how long ago the last response was sent.
func (c *idleConn) idleTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.since)
}

// closeIfIdle closes the connection unless a request is arriving or at work.
func (c *idleConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && !c.closed {
		c.closed = true
		_ = c.Conn.Close()
	}
}

// CloseWrite ends the sending side. http.Server uses it where a request body was not read whole: closing at once
// could take the response from the caller.
func (c *idleConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
