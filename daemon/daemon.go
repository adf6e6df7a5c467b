// Package daemon holds what the processes of the system share: supervision, signals
// and HTTP listeners that end gracefully.
package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"

	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// supervisorTimeout bounds how long a supervisor waits for a part to stop.
	supervisorTimeout = 15 * time.Second
	// readHeaderTimeout closes connections whose request header does not arrive.
	readHeaderTimeout = 10 * time.Second
	// shutdownTimeout bounds how long a listener waits for running requests.
	shutdownTimeout = 12 * time.Second
)

// NewSupervisor returns a supervisor that logs the failures of its services under its name.
func NewSupervisor(name string) *suture.Supervisor {
	log := telemetry.Logger(name)
	return suture.New(name, suture.Spec{
		EventHook: func(e suture.Event) { log.Warning(e.String()) },
		Timeout:   supervisorTimeout,
	})
}

// SignalContext returns a context that ends with SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Exit ends the process: status 0 for nil or a cancelled context, else 1 with the error on stderr.
func Exit(err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		os.Exit(0)
	}
	_, _ = os.Stderr.WriteString(err.Error() + "\n")
	os.Exit(1)
}

// HTTPService serves a handler on a listener as a suture service.
type HTTPService struct {
	name     string
	listener net.Listener
	server   *http.Server
}

// NewHTTPService returns a service that owns the listener.
func NewHTTPService(name string, listener net.Listener, handler http.Handler) *HTTPService {
	return &HTTPService{
		name:     name,
		listener: listener,
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
	}
}

// String names the service in the supervisor's log.
func (s *HTTPService) String() string { return s.name }

// Serve accepts until ctx ends, then refuses new connections and waits for running requests.
func (s *HTTPService) Serve(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.server.Serve(s.listener) }()
	select {
	case err := <-done:
		return errors.Annotatef(err, "serve %s", s.name)
	case <-ctx.Done():
	}
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := s.server.Shutdown(drain); err != nil {
		telemetry.Logger(s.name).WithError(err).Warning("Closing with requests still running.")
		_ = s.server.Close()
	}
	return ctx.Err()
}

// Service adapts a function to a named suture service.
type Service struct {
	Name string
	Run  func(ctx context.Context) error
}

// String names the service in the supervisor's log.
func (s Service) String() string { return s.Name }

// Serve runs the function.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// Listen opens a TCP listener; the error names what the listener is for.
func Listen(purpose, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Annotatef(err, "%s listener", purpose)
}

// ListenTLS is Listen with TLS; a nil configuration means plain TCP.
func ListenTLS(purpose, address string, config *tls.Config) (net.Listener, error) {
	l, err := Listen(purpose, address)
	if err != nil || config == nil {
		return l, err
	}
	return tls.NewListener(l, config), nil
}
