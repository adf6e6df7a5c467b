// Package rpc wraps net/rpc for the links between the processes of the system:
// deadlines on each call, mutual TLS, typed errors, and a new connection in place
// of one that has gone silent.
package rpc

import (
	"context"
	"crypto/tls"
	"net"
	netrpc "net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/connlimit"
)

// defaultMaxMessage bounds a message where the owner of the server names no bound.
const defaultMaxMessage = 64 << 20

// Server serves registered receivers to any number of connections.
type Server struct {
	rpc *netrpc.Server
	tls *tls.Config

	connections *connlimit.Group
	maxMessage  int

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// Option is an option of NewServer.
type Option func(*Server)

// WithConnections bounds the connections and the memory of messages that arrive.
func WithConnections(g *connlimit.Group) Option { return func(s *Server) { s.connections = g } }

// WithMaxMessage bounds the bytes of a message. The default is 64 MiB.
func WithMaxMessage(n int) Option { return func(s *Server) { s.maxMessage = n } }

// NewServer returns a server; a nil TLS configuration means plain TCP.
func NewServer(tlsConfig *tls.Config, options ...Option) *Server {
	s := &Server{
		rpc: netrpc.NewServer(), tls: tlsConfig, maxMessage: defaultMaxMessage, conns: make(map[net.Conn]struct{}),
	}
	for _, option := range options {
		option(s)
	}
	if s.connections == nil {
		s.connections = connlimit.Unlimited().Group("rpc", 0)
	}
	return s
}

// Register publishes the receiver's methods under the name, by the rules of net/rpc.
func (s *Server) Register(name string, receiver any) error {
	return errors.Trace(s.rpc.RegisterName(name, receiver))
}

// Serve accepts connections until ctx ends, then closes the listener and all connections. When descriptors are short, it retries
// after a pause.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeConns()
	})
	defer stop()
	var pause connlimit.AcceptPause
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			d, ok := pause.After(err, s.connections)
			if !ok {
				return errors.Annotate(err, "accept")
			}
			time.Sleep(d)
			continue
		}
		pause.Reset()
		s.accept(conn)
	}
}

// accept serves a connection, or closes it if there is no room for it.
func (s *Server) accept(conn net.Conn) {
	raw := conn
	if s.tls != nil {
		conn = tls.Server(raw, s.tls)
	}
	c := &codec{raw: raw, conn: conn}
	if c.slot = s.connections.Open(c.evict); c.slot == nil {
		_ = raw.Close()
		return
	}
	c.init(s.maxMessage)
	s.track(raw)
	go func() {
		defer s.untrack(raw)
		defer c.slot.Release()
		s.rpc.ServeCodec(c)
	}()
}

func (s *Server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Client calls one server over one connection, which it dials on need. It is safe
// for concurrent use.
type Client struct {
	address string
	tls     *tls.Config

	// received counts the bytes read over all connections.
	received atomic.Int64

	mu     sync.Mutex
	client *netrpc.Client
}

// NewClient returns a client; a nil TLS configuration means plain TCP.
func NewClient(address string, tlsConfig *tls.Config) *Client {
	return &Client{address: address, tls: tlsConfig}
}

// Address returns the address that the client dials.
func (c *Client) Address() string { return c.address }

// Received returns the number of bytes that have been read over all connections; while it grows, a
// reply is on its way.
func (c *Client) Received() int64 { return c.received.Load() }

// countedConn counts the bytes that are read.
type countedConn struct {
	net.Conn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Call calls "Receiver.Method". When ctx ends first, the connection is closed, since it may
// have gone silent, and the next call dials a new one. Errors that the receiver returned
// as *errkind.Error come back as such; a failed dial is NodeUnreachable and any other
// failure of the link is Unknown.
func (c *Client) Call(ctx context.Context, method string, args, reply any) error {
	client, err := c.connect(ctx)
	if err != nil {
		return errkind.New(errkind.NodeUnreachable, "dial %s: %v", c.address, err)
	}
	call := client.Go(method, args, reply, make(chan *netrpc.Call, 1))
	select {
	case <-ctx.Done():
		c.discard(client)
		return errkind.New(errkind.Unknown, "%s on %s: %v", method, c.address, ctx.Err())
	case <-call.Done:
		return c.result(client, method, call.Error)
	}
}

func (c *Client) result(client *netrpc.Client, method string, err error) error {
	if err == nil {
		return nil
	}
	var remote netrpc.ServerError
	if errors.As(err, &remote) {
		return parse(string(remote))
	}
	c.discard(client)
	return errkind.New(errkind.Unknown, "%s on %s: %v", method, c.address, err)
}

// parse restores a typed error from the text that net/rpc carries.
func parse(text string) error {
	name, message, found := strings.Cut(text, ": ")
	if kind := errkind.Kind(name); found && kind.Valid() {
		return errkind.New(kind, "%s", message)
	}
	return errkind.New(errkind.Internal, "%s", text)
}

func (c *Client) connect(ctx context.Context) (*netrpc.Client, error) {
	c.mu.Lock()
	client := c.client
	c.mu.Unlock()
	if client != nil {
		return client, nil
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		_ = conn.Close()
		return c.client, nil
	}
	c.client = netrpc.NewClient(countedConn{conn, &c.received})
	return c.client, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	if c.tls != nil {
		d := tls.Dialer{Config: c.tls}
		return d.DialContext(ctx, "tcp", c.address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", c.address)
}

func (c *Client) discard(client *netrpc.Client) {
	c.mu.Lock()
	if c.client == client {
		c.client = nil
	}
	c.mu.Unlock()
	_ = client.Close()
}

// Close closes the connection; a later call dials again.
func (c *Client) Close() {
	c.mu.Lock()
	client := c.client
	c.client = nil
	c.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}
