package client

import (
	"net/http"
	"slices"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/routematch"
)

// routing is the map in a form that finds the owner's node of a request.
type routing struct {
	public *api.PublicMap
	routes []*clientRoute // longest prefix first
	nodes  []string       // those of the map, then those that the client was given
}

type clientRoute struct {
	api.Route
	service *api.PublicService
	pattern routematch.Pattern
}

// Pattern implements routematch.Patterned.
func (r *clientRoute) Pattern() *routematch.Pattern { return &r.pattern }

func newRouting(m *api.PublicMap, given []string) *routing {
	r := &routing{public: m, nodes: slices.Concat(m.Nodes, given)}
	for i := range m.Services {
		s := &m.Services[i]
		for _, route := range s.Routes {
			r.routes = append(r.routes, &clientRoute{Route: route, service: s, pattern: routematch.PatternOf(&route)})
		}
	}
	routematch.Sort(r.routes)
	return r
}

// match returns the route of a request, or nil.
func (r *routing) match(req *http.Request) *clientRoute {
	route, _ := routematch.Find(r.routes, req.Method, req.Host, routematch.PathOf(req.URL))
	return route
}

// idempotent reports whether a request may be repeated. Without a known route it may not:
// the services file may declare even a GET as non-idempotent.
func (r *routing) idempotent(req *http.Request) bool {
	route := r.match(req)
	if route == nil {
		return false
	}
	if route.Idempotent != nil {
		return *route.Idempotent
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// owner returns the address of the owner's node; empty when it is not known. The node
// that receives the request looks up the key itself, so a wrong guess costs one hop.
func (r *routing) owner(req *http.Request) string {
	route := r.match(req)
	if route == nil || route.service.Key == nil {
		return ""
	}
	s := route.service
	key := keyOf(s.Key, req)
	if key == "" || s.Partitions <= 0 || len(s.Owners) < s.Partitions {
		return ""
	}
	node := s.Owners[api.PartitionOf(key, s.Partitions)]
	if node < 0 || node >= len(r.public.Nodes) {
		return ""
	}
	return r.public.Nodes[node]
}

func keyOf(source *api.KeySource, req *http.Request) string {
	switch {
	case source.PathSegment != nil:
		key, _ := routematch.PathOf(req.URL).Segment(*source.PathSegment)
		return key
	case source.Header != "":
		return req.Header.Get(source.Header)
	}
	return req.URL.Query().Get(source.Query)
}
