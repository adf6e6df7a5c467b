package rpc

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	netrpc "net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/internal/connlimit"
)

const (
	// firstMessageTimeout closes connections on which no whole message has arrived.
	firstMessageTimeout = 10 * time.Second
	// messageTimeout bounds the time for a message that has begun, and for a response. 4 MB take 7 s at 4.8 Mbit/s.
	messageTimeout = 30 * time.Second
	// maxPending bounds the calls of one connection that are at work; further ones are not read.
	maxPending = 256
	// maxTypes bounds the type definitions on one connection, which gob keeps as long as it is open. The services of a control
	// member use some 50.
	maxTypes = 1000
	// messageByteMemory is what a byte of a message takes with the value that is decoded from it.
	messageByteMemory = 2
)

var (
	errTooLarge  = errors.New("message too large")
	errTooMany   = errors.New("too many type definitions")
	errNoMemory  = errors.New("too much memory taken by incomplete messages")
	errBadLength = errors.New("message length is not a number")
)

// framedConn checks the lengths of the gob messages that are read, before gob allocates memory for them.
type framedConn struct {
	net.Conn
	slot       *connlimit.Slot
	maxMessage uint64

	// left is the number of bytes until the end of the message; begun is false between two messages.
	left  uint64
	begun bool
	// lengthLeft is the number of bytes until the end of the message's length.
	lengthLeft int
	// idLeft is the number of bytes until the end of the number at the start of a message, which is negative for the definition
	// of a type; -1 before the first one and 0 after it.
	idLeft int
	types  int
	// complete is set once a whole message has arrived.
	complete bool
}

// Read implements net.Conn.
func (c *framedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	begun := c.begun
	if scanErr := c.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	switch {
	case !c.begun && c.complete:
		_ = c.SetReadDeadline(time.Time{})
	case c.begun && !begun && c.complete:
		_ = c.SetReadDeadline(time.Now().Add(messageTimeout))
	}
	return n, err
}

func (c *framedConn) scan(p []byte) error {
	for len(p) > 0 {
		if c.begun && c.lengthLeft == 0 {
			n := min(uint64(len(p)), c.left)
			if err := c.scanBody(p[:n]); err != nil {
				return err
			}
			p = p[n:]
			continue
		}
		if err := c.scanLength(p[0]); err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

// scanLength takes a byte of a length: one below 128, or the negated number of bytes that follow, highest first.
func (c *framedConn) scanLength(b byte) error {
	switch {
	case c.begun:
		c.left = c.left<<8 | uint64(b)
		c.lengthLeft--
	case b < 0x80:
		c.begun, c.left = true, uint64(b)
	default:
		c.begun, c.left, c.lengthLeft = true, 0, 256-int(b)
		if c.lengthLeft > 8 {
			return errBadLength
		}
	}
	if c.lengthLeft > 0 {
		return nil
	}
	if c.left > c.maxMessage {
		return errTooLarge
	}
	if !c.slot.Receive(int64(c.left) * messageByteMemory) {
		return errNoMemory
	}
	c.idLeft = -1
	if c.left == 0 {
		c.end()
	}
	return nil
}

func (c *framedConn) scanBody(p []byte) error {
	for _, b := range p {
		if c.idLeft == 0 {
			break
		}
		switch {
		case c.idLeft > 0:
			c.idLeft--
		case b < 0x80:
			c.idLeft = 0
		default:
			c.idLeft = 256 - int(b)
			continue
		}
		if c.idLeft > 0 || b&1 == 0 {
			continue
		}
		if c.types++; c.types > maxTypes {
			return errTooMany
		}
	}
	if c.left -= uint64(len(p)); c.left == 0 {
		c.end()
	}
	return nil
}

func (c *framedConn) end() {
	c.begun, c.complete = false, true
	c.slot.Received()
}

// codec is the gob codec of net/rpc with bounds.
type codec struct {
	// raw is the connection that conn encrypts, or conn.
	raw    net.Conn
	conn   net.Conn
	slot   *connlimit.Slot
	dec    *gob.Decoder
	enc    *gob.Encoder
	buffer *bufio.Writer
	// room holds a value for each call at work.
	room chan struct{}

	mu      sync.Mutex
	pending int
	closed  bool
}

func (c *codec) init(maxMessage int) {
	_ = c.conn.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	c.buffer = bufio.NewWriter(c.conn)
	c.dec = gob.NewDecoder(&framedConn{Conn: c.conn, slot: c.slot, maxMessage: uint64(maxMessage)})
	c.enc = gob.NewEncoder(c.buffer)
	c.room = make(chan struct{}, maxPending)
}

// ReadRequestHeader implements net/rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *netrpc.Request) error {
	c.room <- struct{}{}
	if err := c.dec.Decode(r); err != nil {
		<-c.room
		if err == io.EOF {
			return err // net/rpc tells the end of a connection by this value
		}
		return io.ErrUnexpectedEOF // the connection ends; net/rpc logs other errors for each connection
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending++
	c.slot.Working()
	return nil
}

// ReadRequestBody implements net/rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements net/rpc.ServerCodec; net/rpc calls it for one response at a time.
func (c *codec) WriteResponse(r *netrpc.Response, body any) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(messageTimeout))
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buffer.Flush()
	}
	if err != nil {
		_ = c.Close() // a part of the response may have been sent
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending--; c.pending == 0 {
		c.slot.Answered()
	}
	<-c.room
	return err
}

// Close implements net/rpc.ServerCodec.
func (c *codec) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	return c.raw.Close() // that of a TLS connection may wait for its peer
}

// evict closes the connection, one with calls at work only by force.
func (c *codec) evict(force bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.pending > 0 && !force {
		return false
	}
	c.closed = true
	_ = c.raw.Close()
	return true
}
