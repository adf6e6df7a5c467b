package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// maxExplainBytes bounds the body of an explain request: the head of a request, as JSON.
const maxExplainBytes = 64 << 10

// explainReadTimeout bounds how long the body of an explain request may take to arrive, so that a client that sends none
// does not keep its connection.
const explainReadTimeout = 5 * time.Second

// TokenPreviewer is implemented by Tokens that can say what Take would do without doing it.
type TokenPreviewer interface {
	// Preview reports whether Take would have to wait now. Errors: as Take.
	Preview(org api.OrganisationID) (waits bool, err error)
}

// ExplainHandler answers where a request would be routed now. It reveals the state of the node and is meant for operators
// only.
func (g *Gateway) ExplainHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Some writers do not support deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainReadTimeout))
		var q api.ExplainRequest
		if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes)).Decode(&q) != nil {
			// The decoder's message might quote an organisation key.
			errkind.WriteHTTP(w, errkind.New(errkind.BadRequest, "body is not an explain request"))
			return
		}
		x, err := g.Explain(q)
		if err != nil {
			errkind.WriteHTTP(w, errkind.From(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// Fails only if the operator has disconnected.
		_ = json.NewEncoder(w).Encode(x)
	})
}

// Explain returns where the request would be routed now, and why, by the functions that decide for callers' requests. It
// sends nothing, takes no token and changes no state. Errors: BadRequest if the description is not one of a request.
func (g *Gateway) Explain(q api.ExplainRequest) (*api.Explanation, error) {
	r, err := explainedRequest(q)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	x := &explainer{
		Gateway: g, v: g.view(), r: r, now: now,
		random: rand.New(rand.NewPCG(uint64(now.UnixNano()), 0)),
		out:    new(api.Explanation),
	}
	x.describeNode()
	if err := x.run(); err != nil {
		x.out.Refusal = errkind.From(err)
	}
	return x.out, nil
}

// explainedRequest returns the request as the caller listener would receive it.
func explainedRequest(q api.ExplainRequest) (*http.Request, error) {
	u, err := url.ParseRequestURI(q.Path)
	if err != nil || !strings.HasPrefix(q.Path, "/") {
		return nil, errkind.New(errkind.BadRequest, "path must begin with a slash and be a valid request target")
	}
	if q.BodyBytes < 0 {
		return nil, errkind.New(errkind.BadRequest, "body length %d is negative", q.BodyBytes)
	}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	r := &http.Request{Method: q.Method, Host: q.Host, URL: u, Header: make(http.Header), Body: http.NoBody, ContentLength: q.BodyBytes}
	for name, values := range q.Header {
		for _, value := range values {
			r.Header.Add(name, value)
		}
	}
	return r, nil
}

// explainer follows the path of one request through the decisions of the gateway.
type explainer struct {
	*Gateway
	v      *api.View
	r      *http.Request
	now    time.Time
	random *rand.Rand
	c      *call
	out    *api.Explanation
}

func (x *explainer) describeNode() {
	x.out.Zone, x.out.MapVersion = x.v.Zone, x.v.MapVersion
	if x.v.Configuration != nil {
		x.out.ConfigurationVersion = x.v.Configuration.Version
	}
	if x.v.Index != nil && x.v.Index.Peers[x.v.Session] != nil {
		x.out.Node = x.v.Index.Peers[x.v.Session].Name
	}
}

func (x *explainer) chance(format string, args ...any) {
	x.out.Chance = append(x.out.Chance, fmt.Sprintf(format, args...))
}

func (x *explainer) note(text string) { x.out.Notes = append(x.out.Notes, text) }

// run takes the steps of serveCaller and returns the refusal of the request or of its first attempt.
func (x *explainer) run() error {
	if x.closing.Load() {
		return errkind.New(errkind.ShuttingDown, "node is shutting down")
	}
	if x.isMapRequest(x.r) {
		x.note("the node answers this path itself")
		return nil
	}
	if x.v.Configuration == nil || x.v.Index == nil {
		return errNoConfiguration()
	}
	if err := x.prepareCall(); err != nil {
		return err
	}
	x.describeLimits()
	if err := x.token(); err != nil {
		return err
	}
	if e := x.checkLeave(x.c.deadline, x.latencies.find(x.c.service.Name).expected); e != nil {
		return e
	}
	if e := x.attemptFirst(); e != nil {
		return e
	}
	return nil
}

// prepareCall matches the route and makes the call of the request. Errors: as matchRoute and prepare, TooLarge.
func (x *explainer) prepareCall() error {
	routes, _ := x.routes.peek(x.v.Configuration)
	matched, info, err := x.matchRoute(x.r, routes)
	if err != nil {
		return err
	}
	x.c = x.routedCall(x.r, matched, info, x.service(matched), x.now)
	x.c.offHost = true // a caller on the node's own host would need no link
	x.c.body = &body{length: x.r.ContentLength}
	x.describeRoute(matched)
	err = x.prepare(x.c, x.v, matched, info, matched.elapsedSoFar)
	x.out.Organisation = x.c.org
	if err != nil && x.c.key != "" && x.keyIsPrivate() {
		return errkind.New(errkind.Of(err), "key of the request is not valid")
	}
	if err != nil {
		return err
	}
	return checkBodyLength(x.r.ContentLength, x.maxBody)
}

// service returns the service with the largest share of the route's requests.
func (x *explainer) service(matched *route) *api.Service {
	if len(matched.split) == 0 {
		return matched.service
	}
	from, largest, at := 0.0, 0.0, 0.0
	for _, s := range matched.split {
		if s.cumulative-from > largest {
			largest, at = s.cumulative-from, (s.cumulative+from)/2
		}
		from = s.cumulative
	}
	return matched.pickAt(at)
}

func (x *explainer) describeRoute(matched *route) {
	out := &api.ExplainedRoute{
		Name: matched.name, Host: matched.host, Prefix: matched.prefix, Methods: matched.methods,
		Open: matched.open, Idempotent: x.c.idempotent,
	}
	from := 0.0
	for _, s := range matched.split {
		out.Split = append(out.Split, api.ExplainedShare{Service: s.service.Name, Share: s.cumulative - from})
		from = s.cumulative
	}
	if len(out.Split) > 0 {
		x.chance("the weights of the route select one of %d services; explained is %s, which has the largest share", len(out.Split), x.c.service.Name)
	}
	x.out.Route, x.out.Service = out, x.c.service.Name
	if r := x.v.Configuration.FindRollout(x.c.service.Name); r != nil {
		x.out.Rollout = &api.ExplainedRollout{Version: r.Version, Phase: r.Phase, Canary: r.Canary, Retired: r.Retired}
	}
}

func (x *explainer) describeLimits() {
	l := &api.ExplainedLimits{Priority: x.c.priority, DeadlineMs: inMs(x.c.deadline.Sub(x.now)), Attempts: x.c.attemptsLeft}
	if !x.c.objective.IsZero() {
		l.ObjectiveMs = inMs(x.c.objective.Sub(x.now))
	}
	x.out.Limits = l
}

// token reports whether a rate-limit token is free. Errors: as Tokens.Take.
func (x *explainer) token() error {
	x.out.Token = &api.ExplainedToken{Needed: x.c.needsToken()}
	if !x.c.needsToken() {
		return nil
	}
	p, ok := x.tokens.(TokenPreviewer)
	if !ok {
		x.out.Token.State = "unknown"
		return nil
	}
	waits, err := p.Preview(x.c.org)
	switch {
	case err != nil:
		x.out.Token.State = "refused"
	case waits:
		x.out.Token.State = "waits"
	default:
		x.out.Token.State = "free"
	}
	return err
}

// keyIsPrivate reports whether the key comes from a header that may hold the organisation key.
func (x *explainer) keyIsPrivate() bool {
	source := x.c.service.Key
	return source.Header != "" && x.dialect.IsPrivateHeader(http.CanonicalHeaderKey(source.Header))
}

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
