package daemon

import (
	"crypto/tls"
	"net"
	"sync"
	"time"
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

// idleConn is a connection that can be closed while it is idle, and only then. http.Server takes a connection
// for idle until it has read the whole header of the next request: closed by the server, the request may still
// be handled, without anywhere to send the response.
type idleConn struct {
	net.Conn

	mu     sync.Mutex
	idle   bool      // nothing has been received since the connection was opened or the last response was sent
	since  time.Time // of idle, once a response has been sent
	closed bool
}

// Read implements net.Conn. What arrives on a connection that has been closed as idle is discarded.
func (c *idleConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.idle = false
	return n, err
}

// NetConn returns the connection below, as that of a tls.Conn.
func (c *idleConn) NetConn() net.Conn { return c.Conn }

// setIdle records that a response has been sent.
func (c *idleConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.since = true, time.Now()
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
