package gateway

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/internal/routematch"
)

// route is one route of a service, prepared for matching.
type route struct {
	service  *api.Service
	name     string
	pattern  routematch.Pattern
	host     string
	prefix   string // as configured
	methods  []string
	open     bool
	priority int
	attempts int
	timeout  time.Duration
	// objective is the latency objective; 0 if none is configured.
	objective time.Duration
	// longestDeadlineMs is the longest deadline in milliseconds that a caller of the route has
	// stated.
	longestDeadlineMs atomic.Int64
	// split holds the weighted services of a route with a split, which replace service.
	split []share
	// idempotentOverride replaces the default by method; nil means the default.
	idempotentOverride *bool
}

// Pattern implements routematch.Patterned.
func (r *route) Pattern() *routematch.Pattern { return &r.pattern }

// share is the fraction of a route's requests that goes to a service.
type share struct {
	service *api.Service
	// cumulative is the sum of the weights up to and including this one, as a fraction of all.
	cumulative float64
}

// pick returns the service for the next request.
func (r *route) pick() *api.Service {
	if len(r.split) == 0 {
		return r.service
	}
	return r.pickAt(rand.Float64())
}

// pickAt returns the service of a request on a route with a split, for a random number in [0, 1).
func (r *route) pickAt(at float64) *api.Service {
	for _, s := range r.split {
		if at < s.cumulative {
			return s.service
		}
	}
	return r.split[len(r.split)-1].service
}

// minElapsedShare is the fraction of the longest deadline that must be missing before a request
// counts as a retry by the caller; less is explained by the time in transit.
const minElapsedShare = 0.05

// elapsed returns how long the caller has waited already: the difference between the longest
// deadline of the route and the stated one.
func (r *route) elapsed(deadlineMs int64) time.Duration {
	longest := r.longestDeadlineMs.Load()
	for deadlineMs > longest {
		if r.longestDeadlineMs.CompareAndSwap(longest, deadlineMs) {
			return 0
		}
		longest = r.longestDeadlineMs.Load()
	}
	return missingTime(longest, deadlineMs)
}

// elapsedSoFar is elapsed for a request that is not to be remembered.
func (r *route) elapsedSoFar(deadlineMs int64) time.Duration {
	return missingTime(max(r.longestDeadlineMs.Load(), deadlineMs), deadlineMs)
}

// missingTime returns by how much a stated deadline is shorter than the longest one, both in milliseconds.
func missingTime(longest, deadlineMs int64) time.Duration {
	missing := longest - deadlineMs
	if float64(missing) < minElapsedShare*float64(longest) {
		return 0
	}
	return time.Duration(missing) * time.Millisecond
}

// attemptsOr returns the limit of attempts, or byDefault if the route has none.
func (r *route) attemptsOr(byDefault int) int {
	if r.attempts > 0 {
		return r.attempts
	}
	return byDefault
}

// routeTable holds the prepared routes of one configuration, longest prefix first.
type routeTable struct {
	configuration *api.Configuration
	routes        []*route
}

// routeCache holds the route table of the last configuration used.
type routeCache struct{ table atomic.Pointer[routeTable] }

func (c *routeCache) get(configuration *api.Configuration) *routeTable {
	t, cached := c.peek(configuration)
	if !cached {
		c.table.Store(t)
	}
	return t
}

// peek is get without keeping a new table. cached is false for a new one.
func (c *routeCache) peek(configuration *api.Configuration) (t *routeTable, cached bool) {
	if t := c.table.Load(); t != nil && t.configuration == configuration {
		return t, true
	}
	t = newRouteTable(configuration)
	t.keepDeadlines(c.table.Load())
	return t, false
}

// keepDeadlines takes over the longest deadlines of the routes that the previous table, which may be nil, has
// too. Without them, the elapsed time of callers that retry is unknown after each change.
func (t *routeTable) keepDeadlines(previous *routeTable) {
	if previous == nil {
		return
	}
	longest := make(map[string]int64)
	for _, r := range previous.routes {
		if ms := r.longestDeadlineMs.Load(); ms > 0 {
			longest[r.pattern.String()] = ms
		}
	}
	for _, r := range t.routes {
		r.longestDeadlineMs.Store(longest[r.pattern.String()])
	}
}

func newRouteTable(configuration *api.Configuration) *routeTable {
	t := &routeTable{configuration: configuration}
	for i := range configuration.Services.Services {
		s := &configuration.Services.Services[i]
		for _, r := range s.Routes {
			t.routes = append(t.routes, &route{
				service:            s,
				name:               r.Name,
				pattern:            routematch.PatternOf(&r),
				host:               r.Host,
				prefix:             r.Prefix,
				methods:            r.Methods,
				open:               r.Open,
				idempotentOverride: r.Idempotent,
				priority:           r.Priority,
				attempts:           r.Attempts,
				timeout:            time.Duration(r.TimeoutMs) * time.Millisecond,
				objective:          time.Duration(r.ObjectiveMs) * time.Millisecond,
				split:              newSplit(configuration, r.Split),
			})
		}
	}
	routematch.Sort(t.routes)
	return t
}

func newSplit(c *api.Configuration, shares []api.RouteShare) []share {
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	var split []share
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
		split = append(split, share{service: c.Services.Find(s.Service), cumulative: sum / total})
	}
	return split
}

// match returns the route of a request, or nil.
func (t *routeTable) match(method, host string, path routematch.Path) *route {
	matched, _ := routematch.Find(t.routes, method, host, path)
	return matched
}

// idempotent reports whether a request with the method may be repeated.
func (r *route) idempotent(method string) bool {
	if r.idempotentOverride != nil {
		return *r.idempotentOverride
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (r *route) deadline() time.Duration {
	if r.timeout > 0 {
		return min(r.timeout, maxDeadline)
	}
	if r.service.DeadlineMs <= 0 {
		return defaultDeadline
	}
	return min(time.Duration(r.service.DeadlineMs)*time.Millisecond, maxDeadline)
}

// keyOf returns the partition key of a request. A missing or repeated key is refused: the target
// might read a different one than the gateway. Errors: BadRequest.
func keyOf(source *api.KeySource, r *http.Request) (string, error) {
	switch {
	case source.PathSegment != nil:
		return pathKey(r.URL, *source.PathSegment)
	case source.Header != "":
		return singleValue("header "+source.Header, r.Header.Values(source.Header))
	default:
		return queryKey(r.URL, source.Query)
	}
}

func pathKey(u *url.URL, index int) (string, error) {
	key, ok := routematch.PathOf(u).Segment(index)
	if !ok || key == "" {
		return "", errkind.New(errkind.BadRequest, "no key in path segment %d", index)
	}
	return key, nil
}

func queryKey(u *url.URL, name string) (string, error) {
	values, err := url.ParseQuery(u.RawQuery)
	if err != nil {
		return "", errkind.New(errkind.BadRequest, "malformed query")
	}
	return singleValue("query parameter "+name, values[name])
}

func singleValue(where string, values []string) (string, error) {
	if len(values) != 1 || values[0] == "" {
		return "", errkind.New(errkind.BadRequest, "exactly one key is required in %s, got %d", where, len(values))
	}
	return values[0], nil
}
