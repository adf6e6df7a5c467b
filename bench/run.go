package bench

import (
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/wait"
	"github.com/zinniapier/zinniapier/local"
	"github.com/zinniapier/zinniapier/target"
)

const (
	startLimit     = 30 * time.Second
	requestTimeout = 5 * time.Second
	// coldRamp is short enough for a run to cover the whole ramp of a cold target.
	coldRamp = 500 * time.Millisecond
)

// Run describes one measured run.
type Run struct {
	Deployment Deployment
	Variant    Variant
	// Scenario names the disturbance; see ScenarioNames.
	Scenario string
	// Load is "over" or "within".
	Load     string
	Duration time.Duration
	Seed     uint64
	// Members is the number of control members. Default 1.
	Members int
}

// recorder notes when each organisation's requests started at the targets.
type recorder struct {
	start time.Time

	mu       sync.Mutex
	admitted map[api.OrganisationID][]time.Duration
	// firstZone holds the starts at targets of the first availability zone.
	firstZone []time.Duration
}

// record returns the function that notes the starts at targets of a zone.
func (r *recorder) record(zone string) func(org api.OrganisationID) {
	return func(org api.OrganisationID) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.start.IsZero() {
			return
		}
		at := time.Since(r.start)
		r.admitted[org] = append(r.admitted[org], at)
		if zone == zoneName(0) {
			r.firstZone = append(r.firstZone, at)
		}
	}
}

func (r *recorder) inFirstZone() []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.firstZone)
}

func (r *recorder) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start = now
}

// Execute starts the deployment in this process, sends the load, and returns the measures.
func (r Run) Execute(ctx context.Context) (Report, error) {
	scenario, ok := scenarios[r.Scenario]
	if !ok {
		return Report{}, errors.NotFoundf("scenario %q", r.Scenario)
	}
	r.Deployment = r.Deployment.shaped(r.Load, r.Scenario)
	folder, err := os.MkdirTemp("", "zinnia-bench-")
	if err != nil {
		return Report{}, errors.Trace(err)
	}
	defer os.RemoveAll(folder)
	rec := &recorder{admitted: make(map[api.OrganisationID][]time.Duration)}
	d, err := local.New(r.options(folder, rec))
	if err != nil {
		return Report{}, errors.Trace(err)
	}
	serving, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- d.Serve(serving) }()
	defer func() {
		stop()
		<-done
	}()
	keys, err := r.prepare(ctx, d)
	if err != nil {
		return Report{}, err
	}
	return r.measure(ctx, d, scenario, keys, rec)
}

func (r Run) options(folder string, rec *recorder) local.Options {
	o := local.Options{
		Members: r.members(),
		DataDir: folder,
		Gate:    r.Variant.Gate,
		Traffic: r.Variant.Traffic,
	}
	for _, p := range r.Deployment.Services {
		for range p.Targets {
			zone := zoneName(len(o.Hosts) % r.Deployment.Zones)
			o.Hosts = append(o.Hosts, local.Host{
				Zone: zone,
				Targets: []target.SampleOptions{{
					Service:      p.Service.Name,
					Slots:        p.Slots,
					ChecksGrants: true,
					Behaviour:    behaviour(p),
					Warm:         true,
					Ramp:         coldRamp,
					Started:      rec.record(zone),
				}},
			})
		}
	}
	return o
}

// members returns the number of control members. A failover needs a majority that goes on.
func (r Run) members() int {
	if r.Scenario == scenarioFailover {
		return max(r.Members, failoverMembers)
	}
	return r.Members
}

// services returns the services with the plug-ins of the variant.
func (r Run) services() *api.Services {
	list := &api.Services{}
	for _, p := range r.Deployment.Services {
		s := p.Service
		s.TargetChoice = r.Variant.TargetChoice
		if s.Divided() {
			s.TargetChoice = ""
			s.Placement = r.Variant.Placement
		}
		list.Services = append(list.Services, s)
	}
	return list
}

func (r Run) prepare(ctx context.Context, d *local.Deployment) (map[api.OrganisationID]string, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := d.Change(ctx, api.Change{Kind: api.ApplyServices, Services: r.services()}); err != nil {
		return nil, err
	}
	keys := make(map[api.OrganisationID]string)
	for _, t := range r.Deployment.Tenants {
		secret, err := d.AddOrganisation(ctx, t.Organisation)
		if err != nil {
			return nil, err
		}
		keys[t.Organisation.ID] = secret
	}
	if err := d.AwaitReady(ctx); err != nil {
		return nil, err
	}
	return keys, awaitWarm(ctx, d)
}

// awaitWarm waits until the gates have ended the ramp with which they start. A run that
// begins earlier measures that ramp instead of its scenario.
func awaitWarm(ctx context.Context, d *local.Deployment) error {
	for !warm(d) {
		if !wait.For(ctx, watchInterval) {
			return errors.Annotate(ctx.Err(), "gates are still cold")
		}
	}
	return nil
}

func warm(d *local.Deployment) bool {
	for _, n := range d.Nodes {
		for _, stats := range n.Gates() {
			if stats.Cold {
				return false
			}
		}
	}
	return true
}

func (r Run) measure(ctx context.Context, d *local.Deployment, scenario Scenario, keys map[api.OrganisationID]string, rec *recorder) (Report, error) {
	load := Load{
		Deployment: r.Deployment,
		Nodes:      d.Callers(),
		Keys:       keys,
		Duration:   r.Duration,
		Seed:       r.Seed,
		Timeout:    requestTimeout,
		Skew:       r.Scenario == scenarioSkew,
	}
	disturbed := make(chan error, 1)
	start := time.Now()
	rec.begin(start)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	w := newWatcher(d, start)
	watched := make(chan struct{})
	go func() {
		w.run(watching, r.Duration/2)
		close(watched)
	}()
	go func() { disturbed <- scenario(ctx, d, r.Deployment.Services[0], r.Duration) }()
	samples := load.Run(ctx)
	elapsed := time.Since(start)
	stop()
	<-watched
	if err := <-disturbed; err != nil {
		return Report{}, errors.Annotatef(err, "scenario %s", r.Scenario)
	}
	report := NewReport(r.Variant.Name, r.Deployment, elapsed, samples, collect(d, rec))
	report.PolicyReport = newPolicyReport(r.Deployment, samples, w, rec.inFirstZone())
	return report, nil
}

func collect(d *local.Deployment, rec *recorder) TargetCounters {
	rec.mu.Lock()
	total := TargetCounters{Runs: make(map[string]int), Admitted: rec.admitted}
	rec.mu.Unlock()
	for _, t := range d.Targets {
		c := t.Counters()
		for id, n := range c.RunsByRequest {
			total.Runs[id] += n
		}
		total.MaxCold = max(total.MaxCold, c.MaxConcurrencyCold)
		total.Overruns += int(c.Overruns)
	}
	return total
}
