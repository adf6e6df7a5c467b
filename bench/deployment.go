// Package bench generates load against a deployment of the router and measures what
// callers get: latency, refusals, fairness, repeated runs and overshoot of rates.
package bench

import (
	"time"

	"github.com/zinniapier/zinniapier/api"
)

// Deployment describes the emulated back ends and their organisations.
type Deployment struct {
	Name     string          `json:"name"`
	Zones    int             `json:"availability_zones"`
	Services []ServicePool   `json:"services"`
	Tenants  []OfferedTenant `json:"organisations"`
}

// ServicePool is a service and the targets that serve it.
type ServicePool struct {
	Service api.Service `json:"service"`
	Targets int         `json:"targets"`
	Slots   int         `json:"slots"`
	// Work is the mean time of one request at a target.
	Work time.Duration `json:"work_ns"`
	// Share is the part of all requests that go to this service, in 0..1.
	Share float64 `json:"share"`
	// Method and Path form a request; "{key}" in the path is replaced by the key.
	Method string `json:"method"`
	Path   string `json:"path"`
}

// OfferedTenant is an organisation and the rate at which it sends.
type OfferedTenant struct {
	Organisation api.Organisation `json:"organisation"`
	// Offered is the rate sent, in requests per second.
	Offered float64 `json:"offered"`
	// Keys is the number of distinct keys that it uses.
	Keys int `json:"keys"`
	// KeyExponent skews the popularity of the keys by Zipf's law; 0 means all are equal.
	KeyExponent float64 `json:"key_exponent,omitempty"`
	// FirstServiceOnly restricts the organisation to the first service.
	FirstServiceOnly bool `json:"first_service_only,omitempty"`
}

const (
	largeTenants    = 3
	smallTenants    = 5
	excessiveFactor = 4
	// usualShare is the part of its rate that an organisation sends.
	usualShare = 0.8
)

// tenants returns eight organisations, three of them large; the first large one sends several
// times its rate. total is the rate of all organisations together, in requests per second.
func tenants(total float64) []OfferedTenant {
	const largeShare = 0.75
	list := make([]OfferedTenant, 0, largeTenants+smallTenants)
	for i := range largeTenants + smallTenants {
		rate := total * (1 - largeShare) / smallTenants
		if i < largeTenants {
			rate = total * largeShare / largeTenants
		}
		offered := rate * usualShare
		if i == 0 {
			offered = rate * excessiveFactor
		}
		list = append(list, OfferedTenant{
			Organisation: api.Organisation{
				ID:     api.OrganisationID("org-" + string(rune('a'+i))),
				Rate:   rate,
				Burst:  rate / 2,
				Weight: 1,
			},
			Offered: offered,
			Keys:    200,
		})
	}
	return list
}

func keyedService(name, prefix string) api.Service {
	segment := 1
	return api.Service{
		Name:       name,
		Key:        &api.KeySource{PathSegment: &segment},
		Partitions: 64,
		Routes:     []api.Route{{Prefix: prefix}},
	}
}

func sharedService(name, prefix string) api.Service {
	return api.Service{Name: name, Routes: []api.Route{{Prefix: prefix}}}
}

// Lichtwerk returns the deployment of a quoting portal divided by key and an ordering service.
func Lichtwerk() Deployment {
	return Deployment{
		Name:  "lichtwerk",
		Zones: 4,
		Services: []ServicePool{
			{Service: keyedService("quotes", "/quotes"), Targets: 7, Slots: 20, Work: 5 * time.Millisecond,
				Share: 0.7, Method: "GET", Path: "/quotes/{key}"},
			{Service: sharedService("estimates", "/estimates"), Targets: 4, Slots: 20, Work: 5 * time.Millisecond,
				Share: 0.2, Method: "GET", Path: "/estimates"},
			{Service: sharedService("orders", "/orders"), Targets: 4, Slots: 20, Work: 5 * time.Millisecond,
				Share: 0.1, Method: "POST", Path: "/orders"},
		},
		Tenants: tenants(2000),
	}
}

// Board returns the deployment of an entry portal divided by key and a catalogue service.
func Board() Deployment {
	return Deployment{
		Name:  "board",
		Zones: 3,
		Services: []ServicePool{
			{Service: keyedService("entries", "/entries"), Targets: 6, Slots: 10, Work: 5 * time.Millisecond,
				Share: 0.7, Method: "POST", Path: "/entries/{key}"},
			{Service: sharedService("catalogue", "/catalogue"), Targets: 3, Slots: 10, Work: 5 * time.Millisecond,
				Share: 0.3, Method: "GET", Path: "/catalogue"},
		},
		Tenants: tenants(1000),
	}
}

// Deployments returns the emulated deployments by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{"lichtwerk": Lichtwerk(), "board": Board()}
}
