package bench

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/local"
	"github.com/zinniapier/zinniapier/target"
)

const (
	startLimit     = 30 * time.Second
	requestTimeout = 5 * time.Second
)

// Run describes one measured run.
type Run struct {
	Deployment Deployment
	Variant    Variant
	// Scenario names the disturbance; see ScenarioNames.
	Scenario string
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
}

func (r *recorder) record(org api.OrganisationID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.start.IsZero() {
		r.admitted[org] = append(r.admitted[org], time.Since(r.start))
	}
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
			o.Hosts = append(o.Hosts, local.Host{
				Zone: zoneName(len(o.Hosts) % r.Deployment.Zones),
				Targets: []target.SampleOptions{{
					Service:      p.Service.Name,
					Slots:        p.Slots,
					ChecksGrants: true,
					Behaviour:    behaviour(p),
					Warm:         true,
					Started:      rec.record,
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
	return keys, d.AwaitReady(ctx)
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
	go func() { disturbed <- scenario(ctx, d, r.Deployment.Services[0], r.Duration) }()
	samples := load.Run(ctx)
	elapsed := time.Since(start)
	if err := <-disturbed; err != nil {
		return Report{}, errors.Annotatef(err, "scenario %s", r.Scenario)
	}
	return NewReport(r.Variant.Name, r.Deployment, elapsed, samples, collect(d, rec)), nil
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
