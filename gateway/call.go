package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/gate"
)

// call is one request on its way: of a caller, or of another node over a hop.
type call struct {
	routeName  string
	track      track
	in         *http.Request
	id         string      // of the request, for logs
	header     http.Header // what goes to the target
	body       *body
	service    *api.Service
	open       bool
	idempotent bool
	digest     api.KeyDigest // of the organisation key; empty on open routes and hops
	org        api.OrganisationID
	limited    bool // the organisation has a rate
	weight     float64
	priority   int
	origin     string // service that runs where the request began
	key        string
	ref        api.PartitionRef // partition -1 for a service that is not divided by key
	deadline   time.Time
	objective  time.Time     // when the answer loses most of its worth; zero for no objective
	span       time.Duration // the objective as a time from the first request
	left       int           // attempts left, the next one included
	token      heldToken
}

// place is where an attempt goes.
type place struct {
	target  api.TargetID
	session api.SessionID
	epoch   api.Epoch
	peer    *api.Peer // nil when the target is local
	left    int       // attempts left when this one was chosen, itself included
}

// heldToken is the token of a call. The zero value holds none.
type heldToken struct {
	token Token
	done  atomic.Bool
}

// settle spends the token; later calls do nothing.
func (h *heldToken) settle() {
	if h.token != nil && h.done.CompareAndSwap(false, true) {
		h.token.Settle()
	}
}

// refund gives the token back unless it has been settled.
func (h *heldToken) refund() {
	if h.token != nil && h.done.CompareAndSwap(false, true) {
		h.token.Refund()
	}
}

// accept checks a caller's request by the view and prepares it for routing. Errors:
// NoLease, BadRequest, NoRoute, Unauthenticated, DependencyDown, TooLarge.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, v *api.View) (*call, error) {
	began := time.Now()
	if v.Configuration == nil || v.Index == nil {
		return nil, errkind.New(errkind.NoLease, "node has no configuration yet")
	}
	if err := checkPath(r.URL); err != nil {
		return nil, err
	}
	envelope, err := g.dialect.ParseRequest(r)
	if err != nil {
		return nil, err
	}
	matched := g.routes.get(v.Configuration).match(r.Method, r.Host, r.URL.Path)
	if matched == nil {
		return nil, errkind.New(errkind.NoRoute, "no service has this route")
	}
	c := &call{
		in: r, id: envelope.ID, service: matched.pick(), open: matched.open,
		idempotent: matched.idempotent(r.Method), priority: matched.priority, origin: g.origin,
		routeName: matched.name,
	}
	c.track.began = began
	if err := c.authenticate(v, envelope.OrganisationKey); err != nil {
		return nil, err
	}
	if err := checkServing(v, c.service); err != nil {
		return nil, err
	}
	c.setObjective(matched, envelope)
	c.setLimits(envelope, matched.deadline(), matched.attemptsOr(g.attempts))
	if err := c.readKey(v); err != nil {
		return nil, err
	}
	c.header = g.requestHeader(r.Header)
	return c, c.readBody(w, g.maxBody)
}

func (c *call) authenticate(v *api.View, organisationKey string) error {
	if c.open {
		return nil
	}
	c.digest = credential(organisationKey)
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

// checkServing refuses when the node may not admit work, or when a service that this one
// needs has no serving target.
func checkServing(v *api.View, s *api.Service) error {
	if !v.Usable(time.Now()) {
		return errkind.New(errkind.NoLease, "session lease has expired")
	}
	for _, needed := range s.DependsOn {
		if len(v.Index.TargetsByService[needed]) == 0 {
			return errkind.New(errkind.DependencyDown, "%s needs %s, which has no serving target", s.Name, needed)
		}
	}
	return nil
}

// callPriority ranks requests without an organisation among callers that have one: they come from
// targets at work, whose slots wait for the answer.
const callPriority = -1

// setObjective sets the objective. A caller that comes back after a refusal states less time than
// callers of the route do at first; its objective counts from its first request.
func (c *call) setObjective(r *route, e RequestInfo) {
	if c.org == "" {
		c.priority = callPriority
		return
	}
	if r.objective <= 0 {
		return
	}
	c.span = r.objective
	began := c.track.began
	if e.DeadlineMs > 0 {
		began = began.Add(-r.elapsed(e.DeadlineMs))
	}
	c.objective = began.Add(r.objective)
}

// claim is what the call wants at the gate of a target.
func (c *call) claim(now time.Time) gate.Request {
	claim := gate.Request{Organisation: c.org, Weight: c.weight, Priority: c.priority, Objective: c.objective}
	if !c.objective.IsZero() && !c.objective.After(now) {
		claim.MaxWait = c.deadline.Sub(now) / patienceShare
	}
	return claim
}

// patienceShare divides the time that is left to a request whose objective has passed: a refusal
// within it leaves the caller time for something else.
const patienceShare = 8

// setLimits sets the deadline and the attempts; the caller's own limits only lower them.
func (c *call) setLimits(e RequestInfo, longest time.Duration, attempts int) {
	// Compared in milliseconds, since a large number would overflow a duration.
	if e.DeadlineMs > 0 && e.DeadlineMs < longest.Milliseconds() {
		longest = time.Duration(e.DeadlineMs) * time.Millisecond
	}
	c.left = attempts
	if e.AttemptsLeft > 0 && e.AttemptsLeft < int64(attempts) {
		c.left = int(e.AttemptsLeft)
	}
	c.deadline = time.Now().Add(longest)
}

func (c *call) readKey(v *api.View) error {
	c.ref = api.PartitionRef{Service: c.service.Name, Partition: -1}
	if !c.service.Divided() {
		return nil
	}
	key, err := keyOf(c.service.Key, c.in)
	if err != nil {
		return err
	}
	c.key = key
	c.ref.Partition = v.Partition(c.service, key)
	if c.ref.Partition < 0 {
		return errkind.New(errkind.BadRequest, "%q is not a key of %s", key, c.service.Name)
	}
	return nil
}

// readBody reads a small body within the deadline of the call.
func (c *call) readBody(w http.ResponseWriter, limit int64) error {
	if c.in.ContentLength == 0 {
		c.body = &body{}
		return nil
	}
	control := http.NewResponseController(w)
	// Not all writers know deadlines; the request's own deadline still holds later.
	_ = control.SetReadDeadline(c.deadline)
	var err error
	c.body, err = readBody(w, c.in, limit)
	_ = control.SetReadDeadline(time.Time{})
	return err
}

// recheck looks again, before each attempt, at what may have changed while the call waited:
// the lease, the organisation key, and the partition of the key.
func (c *call) recheck(v *api.View) *errkind.Error {
	if !v.Usable(time.Now()) {
		return errkind.New(errkind.NoLease, "session lease has expired")
	}
	if !c.open {
		if _, err := authenticate(v, c.digest); err != nil {
			return errkind.From(err)
		}
	}
	if c.service.Divided() {
		// The service of the present configuration says how its keys are divided now.
		if s := v.Configuration.Services.Find(c.service.Name); s != nil && s.Divided() {
			c.ref.Partition = v.Partition(s, c.key)
		}
	}
	return nil
}
