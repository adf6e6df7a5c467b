package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gate"
	"github.com/zinniapier/zinniapier/internal/routematch"
)

// call is one request being routed: from a caller, or from another node over a hop.
type call struct {
	routeName      string
	history        attemptHistory
	incoming       *http.Request
	id             string      // request ID for logs
	header         http.Header // headers sent to the target
	body           *body
	service        *api.Service
	open           bool
	idempotent     bool
	digest         api.KeyDigest // of the organisation key; empty on open routes and hops
	org            api.OrganisationID
	limited        bool // the organisation has a rate limit
	weight         float64
	priority       int
	origin         string // service on the host where the request entered; may be empty
	key            string
	ref            api.PartitionRef // partition -1 for a service that is not partitioned
	deadline       time.Time
	objective      time.Time     // latency objective as a point in time; zero for none
	objectiveAfter time.Duration // latency objective, counted from the caller's first request
	attemptsLeft   int           // attempts left, including the next one
	token          heldToken
	offHost        bool // the response leaves over the link of the host
}

// destination is the target of an attempt and the node that it is on.
type destination struct {
	target  api.TargetID
	session api.SessionID
	epoch   api.Epoch
	peer    *api.Peer // nil if the target is on this node
	late    bool      // a large response may miss the objective, since no other target is left
}

// heldToken is the rate-limit token of a call. The zero value holds none.
type heldToken struct {
	token Token
	done  atomic.Bool
}

// settle marks the token as spent; later calls do nothing.
func (h *heldToken) settle() {
	if h.token != nil && h.done.CompareAndSwap(false, true) {
		h.token.Settle()
	}
}

// refund returns the token unless it has been settled.
func (h *heldToken) refund() {
	if h.token != nil && h.done.CompareAndSwap(false, true) {
		h.token.Refund()
	}
}

// newCall validates a caller's request against the view and prepares it for routing. Errors:
// NoLease, BadRequest, NoRoute, Unauthenticated, DependencyDown, TooLarge.
func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, v *api.View) (*call, error) {
	began := time.Now()
	if v.Configuration == nil || v.Index == nil {
		return nil, errNoConfiguration()
	}
	matched, info, err := g.matchRoute(r, g.routes.get(v.Configuration))
	if err != nil {
		return nil, err
	}
	c := g.routedCall(r, matched, info, matched.pick(), began)
	if err := g.prepare(c, v, matched, info, matched.elapsed); err != nil {
		return nil, err
	}
	c.header = g.requestHeader(r.Header)
	return c, c.readBody(w, g.maxBody)
}

func errNoConfiguration() *errkind.Error {
	return errkind.New(errkind.NoLease, "node has no configuration yet")
}

// matchRoute returns the route of a caller's request and what its headers state. Errors: BadRequest, NoRoute.
func (g *Gateway) matchRoute(r *http.Request, routes *routeTable) (*route, RequestInfo, error) {
	if err := routematch.CheckPath(r.URL); err != nil {
		return nil, RequestInfo{}, err
	}
	info, err := g.dialect.ParseRequest(r)
	if err != nil {
		return nil, RequestInfo{}, err
	}
	matched := routes.match(r.Method, r.Host, routematch.PathOf(r.URL))
	if matched == nil {
		return nil, RequestInfo{}, errkind.New(errkind.NoRoute, "no route matches the request")
	}
	return matched, info, nil
}

// routedCall returns the call of a request that arrived on a route and goes to one of its services.
func (g *Gateway) routedCall(r *http.Request, matched *route, info RequestInfo, service *api.Service, began time.Time) *call {
	c := &call{
		incoming: r, id: info.ID, service: service, open: matched.open,
		idempotent: matched.idempotent(r.Method), priority: matched.priority, origin: g.origin,
		routeName: matched.name, offHost: !fromThisHost(r),
	}
	c.history.began = began
	return c
}

// prepare authenticates the call and sets its limits, key and partition. elapsed returns how long a caller that states a
// deadline in milliseconds has waited already. Errors: Unauthenticated, NoLease, DependencyDown, BadRequest.
func (g *Gateway) prepare(c *call, v *api.View, matched *route, info RequestInfo, elapsed func(int64) time.Duration) error {
	if err := c.authenticate(v, info.OrganisationKey); err != nil {
		return err
	}
	if err := checkServing(v, c.service); err != nil {
		return err
	}
	c.setObjective(matched.objective, info, elapsed, len(v.Configuration.Organisations) > 0)
	c.setLimits(info, matched.deadline(), matched.attemptsOr(g.maxAttempts))
	return c.readKey(v)
}

func (c *call) authenticate(v *api.View, organisationKey string) error {
	if c.open {
		return nil
	}
	c.digest = keyDigest(organisationKey)
	org, err := authenticate(v, c.digest)
	if err != nil {
		return err
	}
	c.org = org.ID
	c.weight = org.Weight
	c.limited = org.Limited()
	if org.Priority != nil {
		c.priority = *org.Priority
	}
	return nil
}

// checkServing returns an error if the node may not admit requests or a service that s depends on
// has no serving target. Errors: NoLease, DependencyDown.
func checkServing(v *api.View, s *api.Service) error {
	if !v.Usable(time.Now()) {
		return errkind.New(errkind.NoLease, "session lease has expired")
	}
	for _, needed := range s.DependsOn {
		if len(v.Index.TargetsByService[needed]) == 0 {
			return errkind.New(errkind.DependencyDown, "service %s depends on %s, which has no serving target", s.Name, needed)
		}
	}
	return nil
}

// internalPriority is the priority of calls by targets. These hold a slot while they wait for the response, so their calls go
// before callers.
const internalPriority = -1

// fromTarget reports whether the call is made by a target. It has no organisation; where none is configured, callers have
// none either and cannot be told from targets, so that the priorities of the routes decide.
//
// Load pattern: an overloaded service without organisations. If all of its requests count as calls by targets, they have no
// objective and wait until their deadlines, and less urgent ones take the slots of others.
func (c *call) fromTarget(organisationsConfigured bool) bool {
	return c.org == "" && organisationsConfigured
}

// setObjective sets the priority and the latency objective. A caller that retries after a refusal
// states a shorter deadline than first requests on the route; its objective counts from its first
// request.
func (c *call) setObjective(objective time.Duration, e RequestInfo, elapsed func(int64) time.Duration, organisationsConfigured bool) {
	if c.fromTarget(organisationsConfigured) {
		c.priority = internalPriority
		return
	}
	if objective <= 0 {
		return
	}
	c.objectiveAfter = objective
	began := c.history.began
	if e.DeadlineMs > 0 {
		began = began.Add(-elapsed(e.DeadlineMs))
	}
	c.objective = began.Add(objective)
}

// gateRequest returns what the call asks of a target's gate.
func (c *call) gateRequest(now time.Time) gate.Request {
	req := gate.Request{Organisation: c.org, Weight: c.weight, Priority: c.priority, Objective: c.objective}
	if !c.objective.IsZero() && !c.objective.After(now) {
		req.MaxWait = c.deadline.Sub(now) / lateMaxWaitDivisor
	}
	return req
}

// lateMaxWaitDivisor divides the time left to a request whose objective has passed. A refusal
// within that time leaves the caller time for another action.
const lateMaxWaitDivisor = 8

// setLimits sets the deadline and the number of attempts; the caller's own limits can only lower
// them.
func (c *call) setLimits(e RequestInfo, longest time.Duration, attempts int) {
	// Compared in milliseconds, since a large number would overflow a duration.
	if e.DeadlineMs > 0 && e.DeadlineMs < longest.Milliseconds() {
		longest = time.Duration(e.DeadlineMs) * time.Millisecond
	}
	c.attemptsLeft = attempts
	if e.AttemptsLeft > 0 && e.AttemptsLeft < int64(attempts) {
		c.attemptsLeft = int(e.AttemptsLeft)
	}
	c.deadline = time.Now().Add(longest)
}

func (c *call) readKey(v *api.View) error {
	c.ref = api.PartitionRef{Service: c.service.Name, Partition: -1}
	if !c.service.Divided() {
		return nil
	}
	key, err := keyOf(c.service.Key, c.incoming)
	if err != nil {
		return err
	}
	c.key = key
	c.ref.Partition = v.Partition(c.service, key)
	if c.ref.Partition < 0 {
		return errkind.New(errkind.BadRequest, "%q is not a valid key of service %s", key, c.service.Name)
	}
	return nil
}

// readBody reads a small body within the deadline of the call.
func (c *call) readBody(w http.ResponseWriter, limit int64) error {
	if c.incoming.ContentLength == 0 {
		c.body = &body{}
		return nil
	}
	return c.readInTime(w, func() (err error) {
		c.body, err = readBody(w, c.incoming, limit)
		return err
	})
}

// readInTime reads the body within the deadline of the call.
func (c *call) readInTime(w http.ResponseWriter, read func() error) error {
	control := http.NewResponseController(w)
	// Some writers do not support deadlines; the deadline of the call still applies later.
	_ = control.SetReadDeadline(c.deadline)
	if err := read(); err != nil {
		return err // the deadline stays, or the server would wait for the rest of the body before it responds
	}
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// revalidate checks again, before each attempt, what may have changed while the call waited: the
// lease, the organisation key and the partition of the key. Errors: NoLease, Unauthenticated.
func (c *call) revalidate(v *api.View) *errkind.Error {
	if !v.Usable(time.Now()) {
		return errkind.New(errkind.NoLease, "session lease has expired")
	}
	if !c.open {
		if _, err := authenticate(v, c.digest); err != nil {
			return errkind.From(err)
		}
	}
	if c.service.Divided() {
		// The partitions of the current configuration apply, since a range may have been split.
		if s := v.Configuration.Services.Find(c.service.Name); s != nil && s.Divided() {
			c.ref.Partition = v.Partition(s, c.key)
		}
	}
	return nil
}
