package config

import (
	"net/http"
	"slices"
	"strings"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/internal/routematch"
)

// Bounds of a services file.
const (
	maxPartitions  = 65536
	maxPathSegment = 31
)

// methods are the request methods that a route may list.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// CheckServices fills in defaults and checks services from a file or from an operator's change.
// The error is Invalid and names every wrong field.
func CheckServices(s *api.Services) error {
	p := &problems{}
	names := make(map[string]int)
	if s.Services == nil {
		s.Services = []api.Service{} // null is refused when the file is written back
	}
	for i := range s.Services {
		service := &s.Services[i]
		fillService(service)
		path := indexed("services", i)
		p.service(path, service)
		if _, exists := names[service.Name]; exists {
			p.add(path+".name", "%q is the name of two services", service.Name)
			continue
		}
		names[service.Name] = i
	}
	p.dependencies(s, names)
	p.splits(s, names)
	p.routeConflicts(s)
	return p.err()
}

// MaxDeadlineMs bounds the deadline of a service in milliseconds. Nodes remember attempts for
// longer than that, so that a barred attempt can never start.
const MaxDeadlineMs = 60_000

func fillService(s *api.Service) {
	setDefault(&s.DeadlineMs, DefaultDeadlineMs)
	if s.Divided() {
		setDefault(&s.Partitions, DefaultPartitions)
		setDefault(&s.Placement, DefaultPlacement)
	}
}

func (p *problems) service(path string, s *api.Service) {
	p.name(path+".name", s.Name)
	p.between(path+".deadline_ms", s.DeadlineMs, 1, MaxDeadlineMs)
	p.plugin(path+".target_choice", s.TargetChoice)
	p.plugin(path+".placement", s.Placement)
	if s.Divided() {
		p.divided(path, s)
	} else {
		p.undivided(path, s)
	}
	if s.GrantsByCall && !s.Ranged() {
		p.add(path+".grants_by_call", "only a service whose key has a span grants ranges")
	}
	if len(s.Routes) == 0 {
		p.add(path+".routes", "missing")
	}
	if len(s.Splits) > 0 {
		p.add(path+".splits", "only the control leader divides ranges")
	}
	for i := range s.Routes {
		p.route(indexed(path+".routes", i), &s.Routes[i])
	}
}

func (p *problems) divided(path string, s *api.Service) {
	p.between(path+".partitions", s.Partitions, 1, maxPartitions)
	if s.TargetChoice != "" {
		p.add(path+".target_choice", "a service divided by key has one owner to choose")
	}
	p.keySource(path+".key", s.Key)
}

func (p *problems) undivided(path string, s *api.Service) {
	if s.Partitions != 0 {
		p.add(path+".partitions", "only a service with a key has partitions")
	}
	if s.Placement != "" {
		p.add(path+".placement", "only a service with a key is placed")
	}
}

func (p *problems) keySource(path string, k *api.KeySource) {
	set := 0
	if k.PathSegment != nil {
		set++
		p.between(path+".path_segment", *k.PathSegment, 0, maxPathSegment)
	}
	if k.Header != "" {
		set++
		p.keyHeader(path+".header", k.Header)
	}
	if k.Query != "" {
		set++
	}
	if set != 1 {
		p.add(path, "set exactly one of path_segment, header and query")
	}
}

func (p *problems) keyHeader(path, header string) {
	canonical := http.CanonicalHeaderKey(header)
	switch {
	case strings.ContainsAny(header, " \t\r\n:,;()<>@\\\"/[]?={}"):
		p.add(path, "%q is not a header name", header)
	case strings.HasPrefix(canonical, api.HeaderPrefix), canonical == "Authorization":
		p.add(path, "%q is not passed on from callers", header)
	}
}

func (p *problems) route(path string, r *api.Route) {
	p.prefix(path+".prefix", r.Prefix)
	for i, m := range r.Methods {
		at := indexed(path+".methods", i)
		if !slices.Contains(methods, m) {
			p.add(at, "%q is not one of %s", m, strings.Join(methods, ", "))
		}
		if slices.Contains(r.Methods[:i], m) {
			p.add(at, "%q is listed twice", m)
		}
	}
}

func (p *problems) prefix(path, prefix string) {
	switch {
	case prefix == "":
		p.add(path, "missing")
	case !strings.HasPrefix(prefix, "/"):
		p.add(path, "%q does not start with /", prefix)
	case prefix != "/" && strings.HasSuffix(prefix, "/"):
		p.add(path, "%q ends with /; a prefix matches whole path segments without it", prefix)
	case strings.Contains(prefix, "//"), strings.ContainsAny(prefix, "?#%*{} \t\r\n"):
		p.add(path, "%q is not a plain path", prefix)
	case slices.Contains(strings.Split(prefix, "/"), "."), slices.Contains(strings.Split(prefix, "/"), ".."):
		p.add(path, "%q has a relative segment", prefix)
	}
}

// splits refuses splits that name an unknown service or have no weight. names maps a service to its index.
func (p *problems) splits(s *api.Services, names map[string]int) {
	for i := range s.Services {
		for j, route := range s.Services[i].Routes {
			path := indexed(indexed("services", i)+".routes", j) + ".split"
			sum := 0.0
			for k, share := range route.Split {
				at := indexed(path, k)
				if _, known := names[share.Service]; !known {
					p.add(at+".service", "there is no service %q", share.Service)
				}
				if share.Weight < 0 {
					p.add(at+".weight", "%g is negative", share.Weight)
				}
				sum += share.Weight
			}
			if len(route.Split) > 0 && sum <= 0 {
				p.add(path, "the weights sum to nothing")
			}
		}
	}
}

// routeConflicts refuses two routes of which neither is preferred for some request.
func (p *problems) routeConflicts(s *api.Services) {
	type entry struct {
		path    string
		pattern routematch.Pattern
	}
	byHostPrefix := make(map[string][]entry)
	for i := range s.Services {
		for j := range s.Services[i].Routes {
			route := &s.Services[i].Routes[j]
			path := indexed(indexed("services", i)+".routes", j)
			pattern := routematch.PatternOf(route)
			for _, other := range byHostPrefix[pattern.HostPrefix()] {
				if pattern.Conflicts(&other.pattern) {
					p.add(path+".prefix", "%q overlaps with %s", route.Prefix, other.path)
					break
				}
			}
			byHostPrefix[pattern.HostPrefix()] = append(byHostPrefix[pattern.HostPrefix()], entry{path, pattern})
		}
	}
}
