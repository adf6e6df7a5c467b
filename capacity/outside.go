package capacity

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
)

// outsideMessages measures the JSON that goes to caller libraries and to operators.
func outsideMessages(_ context.Context, z Sizes) ([]Slope, error) {
	publicMap, err := jsonSlopes(z, "map for the caller library", func(n int) any {
		m := &api.PublicMap{Version: 1_000_000}
		service := api.PublicService{Name: serviceName, Partitions: n * partitionsPerTarget}
		for i, p := range samplePeers(n) {
			m.Nodes = append(m.Nodes, p.CallerAddr)
			for range partitionsPerTarget {
				service.Owners = append(service.Owners, i)
			}
		}
		m.Services = append(m.Services, service)
		return m
	})
	if err != nil {
		return nil, err
	}
	status, err := jsonSlopes(z, "status for operators", func(n int) any {
		s := &api.Status{}
		for _, p := range samplePeers(n) {
			s.Nodes = append(s.Nodes, api.NodeStatus{
				Session: p.Session, Name: p.Name, Zone: p.Zone, InternalAddr: p.InternalAddr,
				Targets: []api.TargetReport{{
					ID: p.Targets[0].ID, Service: serviceName, Zone: p.Zone, Slots: slots, State: api.TargetServing,
				}},
			})
		}
		return s
	})
	return append(publicMap, status...), err
}

func jsonSlopes(z Sizes, what string, build func(n int) any) ([]Slope, error) {
	size := Slope{Name: what, X: "nodes", Y: "bytes", Method: MethodSize}
	encoding := Slope{Name: what + ", encoding", X: "nodes", Y: "us", Method: MethodLoop}
	for _, n := range z.Peers {
		v := build(n)
		text, err := json.Marshal(v)
		if err != nil {
			return nil, errors.Trace(err)
		}
		each, err := repeat(z.Loop, func() error { _, err := json.Marshal(v); return err })
		if err != nil {
			return nil, err
		}
		size.add(n, float64(len(text)))
		encoding.add(n, each.microseconds)
	}
	return []Slope{size, encoding}, nil
}
