package client

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/zinniapier/zinniapier/api"
)

// routing is the map in a form that finds the owner's node of a request.
type routing struct {
	public *api.PublicMap
	routes []clientRoute // longest prefix first
	nodes  []string      // those of the map, then those that the client was given
}

type clientRoute struct {
	api.Route
	service  *api.PublicService
	segments []string
}

func newRouting(m *api.PublicMap, given []string) *routing {
	r := &routing{public: m, nodes: slices.Concat(m.Nodes, given)}
	for i := range m.Services {
		s := &m.Services[i]
		for _, route := range s.Routes {
			r.routes = append(r.routes, clientRoute{Route: route, service: s, segments: split(route.Prefix)})
		}
	}
	slices.SortStableFunc(r.routes, func(a, b clientRoute) int { return len(b.segments) - len(a.segments) })
	return r
}

func split(path string) []string {
	path = strings.Trim(path, "/")
	if path == "" {
		return nil
	}
	return strings.Split(path, "/")
}

func (r *routing) match(req *http.Request) *clientRoute {
	path := strings.Split(strings.TrimPrefix(req.URL.Path, "/"), "/")
	for i := range r.routes {
		route := &r.routes[i]
		if len(route.Methods) > 0 && !slices.Contains(route.Methods, req.Method) {
			continue
		}
		if len(path) >= len(route.segments) && slices.Equal(path[:len(route.segments)], route.segments) {
			return route
		}
	}
	return nil
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
		parts := strings.Split(strings.TrimPrefix(req.URL.EscapedPath(), "/"), "/")
		if *source.PathSegment >= len(parts) {
			return ""
		}
		key, err := url.PathUnescape(parts[*source.PathSegment])
		if err != nil {
			return ""
		}
		return key
	case source.Header != "":
		return req.Header.Get(source.Header)
	}
	return req.URL.Query().Get(source.Query)
}
