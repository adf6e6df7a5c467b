// Package daemon holds what the processes of the system share: supervision, signals
// and HTTP listeners that end gracefully.
package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"

	"github.com/zinniapier/zinniapier/telemetry"
)

// supervisorTimeout bounds how long a supervisor waits for a part to stop.
const supervisorTimeout = 15 * time.Second

// NamedService is a service with a name for logs, which String returns. suture prints a service without a name
// with all that it holds, and keeps that text.
type NamedService interface {
	suture.Service
	fmt.Stringer
}

// Supervisor runs services and restarts those that fail.
type Supervisor struct{ s *suture.Supervisor }

// NewSupervisor returns a supervisor that logs the failures of its services under its name.
func NewSupervisor(name string) *Supervisor {
	log := telemetry.Logger(name)
	return &Supervisor{suture.New(name, suture.Spec{
		EventHook: func(e suture.Event) { log.Warning(e.String()) },
		Timeout:   supervisorTimeout,
	})}
}

// Add adds a service.
func (s *Supervisor) Add(service NamedService) { s.s.Add(service) }

// Serve runs the services until ctx ends.
func (s *Supervisor) Serve(ctx context.Context) error { return s.s.Serve(ctx) }

// ServeBackground is Serve on a goroutine of its own. The channel receives its result.
func (s *Supervisor) ServeBackground(ctx context.Context) <-chan error {
	return s.s.ServeBackground(ctx)
}

// SignalContext returns a context that ends with SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// OnReload calls f after each SIGHUP for as long as the process runs. Without it SIGHUP ends the
// process, also one that is still answering its last requests after SIGTERM.
func OnReload(f func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			f()
		}
	}()
}

// Exit ends the process: status 0 for nil or a cancelled context, else 1 with the error on stderr.
func Exit(err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		telemetry.Logger("daemon").WithError(err).Error("Process ends.")
	}
	telemetry.Flush()
	if err == nil || errors.Is(err, context.Canceled) {
		os.Exit(0)
	}
	_, _ = os.Stderr.WriteString(err.Error() + "\n")
	os.Exit(1)
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

// Listen opens a TCP listener; the error names what the listener is for. receiveBuffer bounds what arrives at each of its
// connections and is not read, in bytes. The system holds it for the process, and would let it grow to some megabytes.
func Listen(purpose, address string, receiveBuffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			// The system doubles the value, and fills all of it with long segments. Accepted connections inherit it.
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer/2)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	return l, errors.Annotatef(err, "%s listener", purpose)
}

// ListenTLS is Listen with TLS; a nil configuration means plain TCP.
func ListenTLS(purpose, address string, receiveBuffer int, config *tls.Config) (net.Listener, error) {
	l, err := Listen(purpose, address, receiveBuffer)
	if err != nil || config == nil {
		return l, err
	}
	return tls.NewListener(idleListener{l}, config), nil
}

// PlatformOptions are the options of a process that reads the settings of a platform.
type PlatformOptions struct {
	// ListenIP is the IP number to listen on for other hosts; empty means the one in the settings.
	ListenIP string
	// LearnCapacity lets a node learn the capacities of its targets.
	LearnCapacity bool
}

// Main runs a program that reads either its own settings or those of a platform, and ends the
// process with the result.
func Main(name, help string, run func(settings string) error, onPlatform func(ctx context.Context, o PlatformOptions) error) {
	app := kingpin.New(name, help)
	path := app.Flag("settings", "Path of the JSON settings.").String()
	platform := app.Flag("platform", "Read the platform's settings instead.").Bool()
	var o PlatformOptions
	app.Flag("listen-ip", "With --platform: IP number to listen on for other hosts, where it is not the one that they dial, "+
		"as behind a port forwarder.").StringVar(&o.ListenIP)
	app.Flag("learn-capacity", "With --platform: learn how many requests each target runs well at once.").BoolVar(&o.LearnCapacity)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	switch {
	case *platform:
		Exit(runOnPlatform(func(ctx context.Context) error { return onPlatform(ctx, o) }))
	case *path == "":
		app.Fatalf("required flag --settings or --platform not provided")
	default:
		Exit(run(*path))
	}
}

func runOnPlatform(run func(context.Context) error) error {
	if err := telemetry.Start(os.Stdout, platformLogLevel); err != nil {
		return err
	}
	ctx, stop := SignalContext()
	defer stop()
	return run(ctx)
}

// platformLogLevel is the level of logs on a platform, whose settings state none.
const platformLogLevel = "info"
