package local

import (
	"context"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/target"
)

// DemoKey is the organisation key of the demonstration's sample organisation.
const DemoKey = "demo-key-sample"

const (
	demoOrganisation = "sample"
	demoRate         = 200 // requests per second
	demoBurst        = 200
)

// DemoOptions returns one control member, two nodes in two availability zones and a sample
// target beside each. The targets serve every service of the demonstration.
func DemoOptions(dataDir, callerListen, operatorListen string) Options {
	return Options{
		Members:        1,
		OperatorListen: operatorListen,
		DataDir:        dataDir,
		Hosts: []Host{
			{Zone: "a", CallerListen: callerListen, Targets: demoTargets("target-1")},
			{Zone: "b", Targets: demoTargets("target-2")},
		},
	}
}

// demoTargets returns one target for each service: a target belongs to one service.
func demoTargets(name string) []target.SampleOptions {
	services := DemoServices().Services
	list := make([]target.SampleOptions, 0, len(services))
	for _, s := range services {
		list = append(list, target.SampleOptions{Name: name, Service: s.Name, ChecksGrants: true})
	}
	return list
}

// DemoServices returns the services of the demonstration: quotes divided by key, orders that
// may not be repeated, and routes open to all.
func DemoServices() *api.Services {
	segment := 1
	once := false
	return &api.Services{Services: []api.Service{
		{
			Name:       "quotes",
			Key:        &api.KeySource{PathSegment: &segment},
			Partitions: 64,
			Routes:     []api.Route{{Prefix: "/quotes"}},
		},
		{
			Name:      "orders",
			Routes:    []api.Route{{Prefix: "/orders", Methods: []string{"POST"}, Idempotent: &once}},
			DependsOn: []string{"quotes"},
		},
		{
			Name:   "open",
			Routes: []api.Route{{Prefix: "/open", Open: true}},
		},
	}}
}

// SetUpDemo applies the services, the sample organisation and its key, unless the control
// state has them from an earlier run.
func (d *Deployment) SetUpDemo(ctx context.Context) error {
	current, err := d.operator.Configuration(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if len(current.Services.Services) > 0 {
		return nil
	}
	if err := d.Change(ctx, api.Change{Kind: api.ApplyServices, Services: DemoServices()}); err != nil {
		return err
	}
	org := api.Organisation{ID: demoOrganisation, Rate: demoRate, Burst: demoBurst, Weight: 1}
	if err := d.Change(ctx, api.Change{Kind: api.PutOrganisation, Organisation: &org}); err != nil {
		return err
	}
	return d.GrantKey(ctx, demoOrganisation, DemoKey)
}
