package target

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/wait"
	"github.com/zinniapier/zinniapier/telemetry"
)

// Defaults of a sample target.
const (
	DefaultSlots     = 20
	DefaultColdSlots = 2
	DefaultRamp      = 2 * time.Second
	// leaveLimit bounds the graceful leave of a sample target.
	leaveLimit = 10 * time.Second
)

// SampleOptions configure a Sample.
type SampleOptions struct {
	// ID is the instance id. Default: random.
	ID   api.TargetID
	Name string
	Zone string
	// Service is the service that the target belongs to.
	Service string
	// Version is that of the software; empty for none.
	Version string
	// Listen is host:port. Default 127.0.0.1:0.
	Listen string
	// Advertise is the address that the node reaches the target under. Default: the listener's.
	Advertise string
	// Node is host:port of the node's announce listener; empty means no announcements.
	Node      string
	Slots     int           // default DefaultSlots
	ColdSlots int           // default DefaultColdSlots
	Ramp      time.Duration // default DefaultRamp
	// ChecksGrants makes the target refuse divided work without a current grant.
	ChecksGrants bool
	// NoEcho leaves the attempt id out of the answers.
	NoEcho bool
	// Warm starts the target outside the cold state.
	Warm bool
	// Started is called, when set, for each request whose work starts. It must not block.
	Started func(org api.OrganisationID)
	// Behaviour is the initial behaviour.
	Behaviour Behaviour
}

func (o *SampleOptions) setDefaults() {
	if o.ID == "" {
		o.ID = api.TargetID(api.NewID())
	}
	if o.Listen == "" {
		o.Listen = "127.0.0.1:0"
	}
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.ColdSlots <= 0 {
		o.ColdSlots = DefaultColdSlots
	}
	if o.Ramp <= 0 {
		o.Ramp = DefaultRamp
	}
}

// Sample is a target that echoes its requests as JSON.
type Sample struct {
	o         SampleOptions
	listener  net.Listener
	server    *http.Server
	grants    *Grants
	cold      *coldState
	freeze    freezer
	counters  *counters
	load      loadHistory
	behaviour atomic.Pointer[Behaviour]
}

// NewSample opens the listener of a sample target. Errors: the behaviour is invalid or the
// address cannot be opened.
func NewSample(o SampleOptions) (*Sample, error) {
	o.setDefaults()
	s := &Sample{
		o:        o,
		counters: newCounters(string(o.ID)),
		cold:     &coldState{slots: o.Slots, coldSlots: o.ColdSlots, ramp: o.Ramp},
	}
	s.grants = NewGrants(o.ID, s.counters.runningNow)
	if !o.Warm {
		s.cold.restart()
	}
	if err := s.SetBehaviour(o.Behaviour); err != nil {
		return nil, errors.Trace(err)
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Annotate(err, "sample target")
	}
	s.listener = l
	s.server = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}
	return s, nil
}

// ID returns the instance id.
func (s *Sample) ID() api.TargetID { return s.o.ID }

// Address returns host:port of the listener.
func (s *Sample) Address() string { return s.listener.Addr().String() }

func (s *Sample) advertised() string {
	if s.o.Advertise != "" {
		return s.o.Advertise
	}
	return s.Address()
}

// Counters returns a copy of the counts.
func (s *Sample) Counters() Counters {
	c := s.counters.snapshot()
	c.Overruns = s.cold.overrunCount()
	return c
}

// Handler serves the target protocol, the control endpoints and the requests.
func (s *Sample) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(api.PathOrders, s.grants)
	mux.HandleFunc(api.PathLoad, s.serveLoad)
	mux.HandleFunc("/", s.serveWork)
	frozen := s.freezing(mux)
	outer := http.NewServeMux()
	// The control endpoints answer while the target is frozen.
	outer.HandleFunc(PathBehaviour, s.serveBehaviour)
	outer.HandleFunc(PathCounters, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) })
	outer.Handle("/", frozen)
	return outer
}

func (s *Sample) freezing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.freeze.wait()
		next.ServeHTTP(w, r)
	})
}

// Announcement returns what the target announces now.
func (s *Sample) Announcement() api.Announcement {
	return api.Announcement{
		ID:            s.o.ID,
		Service:       s.o.Service,
		Version:       s.o.Version,
		Address:       s.advertised(),
		Slots:         s.o.Slots,
		ColdSlots:     s.o.ColdSlots,
		RampMs:        int(s.o.Ramp.Milliseconds()),
		ChecksGrants:  s.o.ChecksGrants,
		EchoesAttempt: !s.o.NoEcho,
		ClockMs:       s.grants.ClockMs(),
	}
}

// Serve announces the target and serves until ctx ends; it then leaves the node and finishes
// what still runs. It returns nil after a graceful end.
func (s *Sample) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.server.Serve(s.listener) }()
	background, stop := context.WithCancel(ctx)
	defer stop()
	go s.sampleLoad(background)
	announcer := &Announcer{Node: s.o.Node, Announcement: s.Announcement}
	if s.o.Node != "" {
		go s.announceUnfrozen(background, announcer)
	}
	select {
	case err := <-failed:
		return errors.Annotate(err, "sample target")
	case <-ctx.Done():
	}
	return s.leave(announcer)
}

func (s *Sample) announceUnfrozen(ctx context.Context, a *Announcer) {
	inner := a.Announcement
	a = &Announcer{Node: a.Node, Announcement: func() api.Announcement {
		// A frozen process does not announce itself either.
		s.freeze.wait()
		return inner()
	}}
	// The error is that of ctx.
	_ = a.Serve(ctx)
}

func (s *Sample) leave(a *Announcer) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	defer cancel()
	if a.Node != "" {
		if err := a.Leave(ctx); err != nil {
			telemetry.Logger("target").WithError(err).Warn("The target stops without having left its node.")
		}
	}
	return errors.Annotate(s.server.Shutdown(ctx), "sample target")
}

// Kill closes the listener and every connection at once, like the death of the process.
func (s *Sample) Kill() error { return errors.Trace(s.server.Close()) }

func (s *Sample) currentLoad() api.LoadReport {
	running := s.counters.runningNow()
	return api.LoadReport{
		Running: running,
		Load:    float64(running) / float64(s.o.Slots),
		Cold:    s.cold.cold(),
	}
}

func (s *Sample) sampleLoad(ctx context.Context) {
	for wait.For(ctx, loadSampleInterval) {
		s.load.add(s.currentLoad())
	}
}

func (s *Sample) serveLoad(w http.ResponseWriter, _ *http.Request) {
	lag := milliseconds(s.behaviour.Load().LoadLagMs)
	if lag == 0 {
		writeJSON(w, s.currentLoad())
		return
	}
	writeJSON(w, s.load.before(lag))
}
