package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/internal/connlimit"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// readHeaderTimeout closes connections whose request header does not arrive. Clients may leave a connection unused for 15 s
	// and take 3 s for a head; net/http counts both for the first request of a connection.
	readHeaderTimeout = 20 * time.Second
	// DefaultMaxHeaderBytes bounds the head of a request. Clients may send 16,384 bytes. net/http reads 4,096 bytes more
	// before it answers 431.
	DefaultMaxHeaderBytes = 32 << 10
	// wholeBodyTimeout bounds the time for a request and its response on a listener whose handlers read whole bodies.
	wholeBodyTimeout = 30 * time.Second
	// wholeBodyIdleTimeout is longer than any client of such a listener keeps a connection that it does not use.
	wholeBodyIdleTimeout = 5 * time.Minute
	// shutdownTimeout bounds how long a listener waits for running requests.
	shutdownTimeout = 12 * time.Second
	// drainTime is how long a listener goes on serving at shutdown while each response asks its caller
	// to close the connection, and how long a connection stays open after a response that did not. Connections
	// that are idle after it are closed, and with them requests that have arrived and are not read yet.
	drainTime = 300 * time.Millisecond
	// unusedGrace is how long a listener for callers waits at shutdown for the first request on a connection. A
	// caller that has just connected sends it at once; others turn to a new connection.
	unusedGrace = time.Second
	// internalUnusedGrace is unusedGrace for listeners that only processes of the system use: they dial
	// connections ahead of need and may leave one unused.
	internalUnusedGrace = 200 * time.Millisecond
)

// HTTPService serves a handler on a listener as a suture service.
type HTTPService struct {
	name     string
	listener net.Listener
	server   *http.Server
	// drainSince is when draining began; nil before. Its monotonic reading counts, as the time of day
	// may jump.
	drainSince atomic.Pointer[time.Time]

	unusedGrace time.Duration

	// connections limits the connections of the listener.
	connections *connlimit.Group
	// wholeBodies is true if handlers read bodies whole, so that what has been received of a body stays in memory.
	wholeBodies bool
	// heldBody is the greatest body in bytes that handlers hold whole where wholeBodies is false.
	heldBody int64

	// requests is the context from which those of all requests descend; cancelRequests ends it.
	requests       context.Context
	cancelRequests context.CancelCauseFunc

	mu sync.Mutex
	// open is the number of connections.
	open int
	// unused holds the connections without a request so far, idle those whose last request is answered.
	unused map[net.Conn]struct{}
	idle   map[*idleConn]struct{}
	// closing is true once connections are closed when they become idle.
	closing bool
	// closed wakes the wait for the end of all connections.
	closed chan struct{}
}

// NewHTTPService returns a service that owns the listener.
func NewHTTPService(name string, listener net.Listener, handler http.Handler, options ...HTTPOption) *HTTPService {
	s := &HTTPService{
		name:        name,
		listener:    listener,
		unusedGrace: unusedGrace,
		unused:      make(map[net.Conn]struct{}),
		idle:        make(map[*idleConn]struct{}),
		closed:      make(chan struct{}, 1),
	}
	s.requests, s.cancelRequests = context.WithCancelCause(context.Background())
	s.server = &http.Server{
		BaseContext:       func(net.Listener) context.Context { return s.requests },
		Handler:           s.closeWhileDraining(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         s.trackConnection,
		ConnContext:       connContext,
		MaxHeaderBytes:    DefaultMaxHeaderBytes,
	}
	for _, option := range options {
		option(s)
	}
	if s.connections == nil {
		s.connections = connlimit.Unlimited().Group(name, 0)
	}
	return s
}

// NewInternalHTTPService is NewHTTPService for a listener that only processes of the system use; its
// shutdown does not wait long for connections that they leave unused.
func NewInternalHTTPService(name string, listener net.Listener, handler http.Handler, options ...HTTPOption) *HTTPService {
	s := NewHTTPService(name, listener, handler, options...)
	s.unusedGrace = internalUnusedGrace
	return s
}

// closeWhileDraining makes each response end its connection once draining has begun.
func (s *HTTPService) closeWhileDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.drainSince.Load() != nil {
			w.Header().Set("Connection", "close")
		}
		if !s.begin(r) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

// Drain makes callers turn to other listeners: each response from now on ends its connection. It is
// meant for a process that will stop, some time before the context of Serve ends.
func (s *HTTPService) Drain() {
	now := time.Now()
	s.drainSince.CompareAndSwap(nil, &now)
}

// awaitDrain returns once draining has lasted for drainTime.
func (s *HTTPService) awaitDrain() {
	s.Drain()
	time.Sleep(time.Until(s.drainSince.Load().Add(drainTime)))
}

// GiveUp ends the contexts of all requests, now and later, with a cause, so that their handlers respond to them
// before the process ends. Connections without a request are closed.
func (s *HTTPService) GiveUp(cause error) {
	s.Drain()
	s.cancelRequests(cause)
	s.closeIdle()
	s.closeUnused()
}

func (s *HTTPService) closeListener() { _ = s.listener.Close() }

// String names the service in the supervisor's log.
func (s *HTTPService) String() string { return s.name }

// Serve accepts until ctx ends and callers have been drained, then refuses new connections and waits for
// running requests.
func (s *HTTPService) Serve(ctx context.Context) error {
	listener, end := s.listener, s.closeListener
	if tcp, ok := s.listener.(*net.TCPListener); ok {
		pending := &pendingListener{TCPListener: tcp}
		listener, end = pending, pending.end
	}
	done := make(chan error, 1)
	go func() { done <- s.server.Serve(limitedListener{idleListener{listener}, s}) }()
	select {
	case err := <-done:
		return errors.Annotatef(err, "serve %s", s.name)
	case <-ctx.Done():
	}
	s.awaitDrain()
	// http.Server.Shutdown drops requests that are read after its start, so accepting ends here, and each
	// connection that was accepted ends with a response.
	end()
	<-done
	s.closeIdle()
	timer := time.AfterFunc(s.unusedGrace, s.closeUnused)
	defer timer.Stop()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := s.awaitClosed(limit); err != nil {
		telemetry.Logger(s.name).WithError(err).Warning("Closing with requests still running.")
	}
	_ = s.server.Close()
	return ctx.Err()
}
