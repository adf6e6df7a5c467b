package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// readHeaderTimeout closes connections whose request header does not arrive.
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout bounds how long a listener waits for running requests.
	shutdownTimeout = 12 * time.Second
	// drainTime is how long a listener goes on serving at shutdown while each response asks its caller
	// to close the connection. net/http closes idle connections at once, and with them requests that
	// have arrived and are not read yet.
	drainTime = 300 * time.Millisecond
	// unusedGrace is how long a listener for the system's own processes waits at shutdown for
	// the first request on a connection. net/http waits 5 s, which callers get in full.
	unusedGrace = 200 * time.Millisecond
)

// HTTPService serves a handler on a listener as a suture service.
type HTTPService struct {
	name     string
	listener net.Listener
	server   *http.Server
	// drainSince is when draining began; nil before. Its monotonic reading counts, as the time of day
	// may jump.
	drainSince atomic.Pointer[time.Time]

	mu sync.Mutex
	// unused holds the connections without a request so far; nil for callers' listeners.
	unused map[net.Conn]struct{}
}

// NewHTTPService returns a service that owns the listener.
func NewHTTPService(name string, listener net.Listener, handler http.Handler) *HTTPService {
	s := &HTTPService{name: name, listener: listener}
	s.server = &http.Server{Handler: s.closeWhileDraining(handler), ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// closeWhileDraining makes each response end its connection once draining has begun.
func (s *HTTPService) closeWhileDraining(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.drainSince.Load() != nil {
			w.Header().Set("Connection", "close")
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

// NewInternalHTTPService is NewHTTPService for a listener that only processes of the system
// use. They dial connections ahead of need and may leave one unused, so a shutdown closes
// such connections instead of waiting 5 s for a request that will not come.
func NewInternalHTTPService(name string, listener net.Listener, handler http.Handler) *HTTPService {
	s := NewHTTPService(name, listener, handler)
	s.unused = make(map[net.Conn]struct{})
	s.server.ConnState = s.trackUnused
	return s
}

func (s *HTTPService) trackUnused(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[conn] = struct{}{}
		return
	}
	delete(s.unused, conn)
}

func (s *HTTPService) closeUnused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.unused {
		_ = conn.Close()
	}
}

// String names the service in the supervisor's log.
func (s *HTTPService) String() string { return s.name }

// Serve accepts until ctx ends and callers have been drained, then refuses new connections and waits for
// running requests.
func (s *HTTPService) Serve(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.server.Serve(s.listener) }()
	select {
	case err := <-done:
		return errors.Annotatef(err, "serve %s", s.name)
	case <-ctx.Done():
	}
	s.awaitDrain()
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	timer := time.AfterFunc(unusedGrace, s.closeUnused)
	defer timer.Stop()
	if err := s.server.Shutdown(drain); err != nil {
		telemetry.Logger(s.name).WithError(err).Warning("Closing with requests still running.")
		_ = s.server.Close()
	}
	return ctx.Err()
}
