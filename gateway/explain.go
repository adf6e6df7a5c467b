package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
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

// Steps that follow the refusal of a first attempt.
const (
	thenWaitForOwner = "the request waits within its deadline for another owner, or tries this one again"
	thenFailOver     = "the request goes to another target; that costs no attempt"
	thenRetry        = "the request goes to another target if the retry budget allows it"
)

// TokenPreviewer is implemented by Tokens that can say what Take would do without doing it.
type TokenPreviewer interface {
	// Preview reports whether Take would have to wait now. Errors: as Take.
	Preview(org api.OrganisationID) (waits bool, err error)
}

// beginChecker is implemented by local targets that can say whether Begin would succeed without counting an attempt.
type beginChecker interface {
	CheckBegin(ref api.PartitionRef, epoch api.Epoch) error
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
		// The operator may have gone; there is nobody left to tell.
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
	if x.r.URL.Path == api.PathMap {
		x.note("the node answers this path itself")
		return nil
	}
	if x.v.Configuration == nil || x.v.Index == nil {
		return errNoConfiguration()
	}
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
	if err := checkBodyLength(x.r.ContentLength, x.maxBody); err != nil {
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
		Name: matched.name, Host: matched.host, Prefix: "/" + strings.Join(matched.segments, "/"), Methods: matched.methods,
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

// attemptFirst explains the first attempt.
func (x *explainer) attemptFirst() *errkind.Error {
	if x.c.service.Divided() {
		return x.attemptAtOwner()
	}
	p, e := x.chooseTarget()
	if e != nil {
		return e
	}
	p.late = lastTarget(x.v, x.c, nil)
	e = x.explainAttempt(p)
	switch tried := []api.TargetID{p.target}; {
	case e == nil:
	case x.mayFailOver(context.Background(), x.v, x.c, e, tried):
		x.out.Then = thenFailOver
	case mayRetry(context.Background(), x.c, e):
		x.out.Then = thenRetry
	}
	return e
}

func (x *explainer) attemptAtOwner() *errkind.Error {
	owner := x.v.Owner(x.c.ref)
	out := &api.ExplainedPartition{Partition: x.c.ref.Partition, State: owner.State, Owner: owner.Target, Epoch: owner.Epoch}
	if !x.keyIsPrivate() {
		out.Key = x.c.key
	}
	x.out.Partition = out
	p, e := ownerDestination(x.v, x.c.ref, owner)
	if e == nil {
		e = x.explainAttempt(p)
	}
	if e != nil && mayRetryOwner(e) {
		x.out.Then = thenWaitForOwner
	}
	return e
}

// keyIsPrivate reports whether the key comes from a header that may hold the organisation key.
func (x *explainer) keyIsPrivate() bool {
	source := x.c.service.Key
	return source.Header != "" && x.dialect.IsPrivateHeader(http.CanonicalHeaderKey(source.Header))
}

// chooseTarget explains the selection of a target, by the roll-out and by the target choice, and returns the likeliest.
// Errors: NoTarget, Internal.
func (x *explainer) chooseTarget() (destination, *errkind.Error) {
	name := x.c.service.Name
	share := 0.0
	if canaries := x.v.Index.Canaries[name]; canaries != nil {
		share = min(canaries.Share, 1)
	}
	type side struct {
		draw, share float64
	}
	sides := []side{{math.Nextafter(1, 0), 1 - share}, {0, share}}
	if share > 0.5 {
		slices.Reverse(sides)
	}
	if share > 0 && share < 1 {
		x.chance("a share of %.3f of first attempts goes to the canary targets of the roll-out", share)
	}
	var likeliest *destination
	for i, s := range sides {
		if s.share <= 0 {
			continue
		}
		targets, canary := admittedTargets(x.v.Index, name, true, s.draw)
		out, at, e := x.explainChoice(targets)
		if e != nil {
			return destination{}, e
		}
		out.Canary, out.Share = canary, s.share
		x.out.Choices = append(x.out.Choices, out)
		if i == 0 && at != nil {
			p := destinationOf(x.v, *at)
			likeliest = &p
		}
	}
	if likeliest == nil {
		return destination{}, errNoTarget(x.v, name)
	}
	return *likeliest, nil
}

// explainChoice lets the policy of the service select from the targets. It returns nil without targets. Errors: Internal.
func (x *explainer) explainChoice(targets []api.TargetAt) (out api.ExplainedChoice, selected *api.TargetAt, e *errkind.Error) {
	out.Policy = x.targetChoiceOf(x.c.service)
	policy, err := targetChoice(out.Policy)
	if err != nil {
		return out, nil, errkind.New(errkind.Internal, "%v", err)
	}
	if len(targets) == 0 {
		return out, nil, nil
	}
	candidates := x.candidates(x.v, x.c, targets, nil)
	candidates.preview = &choicePreview{random: x.random, costs: make(map[int]float64)}
	i := policy.Choose(candidates)
	selected = &candidates.targets[i]
	out.Targets, out.SameZone, out.Selected = candidates.Len(), candidates.SameZone(), selected.Target.ID
	out.Compared = candidates.compared()
	x.chanceOf(out)
	return out, selected, nil
}

// chanceOf says what the target choice leaves to chance.
func (x *explainer) chanceOf(out api.ExplainedChoice) {
	least := 0
	for _, c := range out.Compared {
		if c.Cost == out.Compared[0].Cost {
			least++
		}
	}
	switch n := len(out.Compared); {
	case out.Targets <= 1:
	case n == 0:
		x.chance("target choice %s selects one of %d targets at random", out.Policy, out.Targets)
	case n < out.Targets:
		x.chance("target choice %s compares a random sample of %d of %d targets", out.Policy, n, out.Targets)
	case least > 1:
		x.chance("target choice %s finds the same cost for %d targets and selects one by a random order", out.Policy, least)
	}
}

// compared returns the candidates that a previewed choice has compared, the least cost first.
func (c Candidates) compared() []api.ExplainedCandidate {
	var list []api.ExplainedCandidate
	for i, cost := range c.preview.costs {
		at := c.At(i)
		list = append(list, api.ExplainedCandidate{
			Target: at.Endpoint.Target.ID, Node: at.Endpoint.Peer.Name, Zone: at.Endpoint.Peer.Zone, Version: at.Endpoint.Target.Version,
			SameZone: at.SameZone, Slots: at.Endpoint.Target.Slots, Outstanding: at.Outstanding,
			LatencyMs: inMs(at.Latency), ReportedMs: inMs(at.ReportedLatency), ServiceMs: inMs(at.ServiceLatency),
			BodyWaitMs: inMs(at.BodyWait), LinkWaitMs: inMs(at.LinkWait), Cost: cost,
		})
	}
	slices.SortFunc(list, func(a, b api.ExplainedCandidate) int {
		if a.Cost != b.Cost {
			return int(math.Copysign(1, a.Cost-b.Cost))
		}
		return strings.Compare(string(a.Target), string(b.Target))
	})
	return list
}

// explainAttempt explains an attempt at a destination and returns its refusal.
func (x *explainer) explainAttempt(p destination) *errkind.Error {
	x.describeTarget(p)
	t, e := x.checkDestination(p)
	if e != nil {
		return e
	}
	if t == nil {
		x.note("the target's node decides on grant, gate and link; ask it for their state")
		return nil
	}
	return x.dispatchLocally(p, t)
}

func (x *explainer) describeTarget(p destination) {
	out := &api.ExplainedTarget{ID: p.target, Local: p.peer == nil}
	peer := p.peer
	if peer == nil {
		peer = x.v.Index.Peers[x.v.Session]
	}
	if peer != nil {
		out.Node, out.Zone = peer.Name, peer.Zone
		for _, t := range peer.Targets {
			if t.ID == p.target {
				out.Version = t.Version
			}
		}
	}
	x.out.Target = out
}

// dispatchLocally takes the steps of dispatchReserved before an attempt begins.
func (x *explainer) dispatchLocally(p destination, t LocalTarget) *errkind.Error {
	if err := checkGrant(x.v, x.c.ref, p.epoch, x.c.key); err != nil {
		return errkind.From(err)
	}
	linkRefusal := x.link(p, t)
	gateRefusal := x.gate(t)
	switch {
	case linkRefusal != nil:
		return linkRefusal
	case gateRefusal != nil:
		return gateRefusal
	}
	if e := x.checkStart(x.c.deadline, t.Gate().MeanLatency); e != nil {
		return e
	}
	if checker, ok := t.(beginChecker); ok {
		if err := checker.CheckBegin(x.c.ref, p.epoch); err != nil {
			return errkind.From(err)
		}
	}
	return nil
}

// link describes the link of the host and returns the refusal of a response that would leave too late.
func (x *explainer) link(p destination, t LocalTarget) *errkind.Error {
	if x.egress == nil {
		return nil
	}
	out := &api.ExplainedLink{Large: x.usesLink(x.c), WaitMs: inMs(x.egress.LargeWait())}
	out.MeanBytes, out.TailBytes = x.sizes.Expected(x.c.ref.Service, x.c.routeName)
	x.out.Link = out
	if !out.Large {
		return nil
	}
	now := time.Now()
	d := x.linkDemand(now, x.c, p, t)
	took, ok := x.egress.Check(d)
	out.SentAfterMs, out.LimitMs = inMs(took), inMs(d.Latest.Sub(now))
	if !ok {
		return errLinkBusy(now, took, d)
	}
	return nil
}

// gate describes the gate of a local target and returns its refusal.
func (x *explainer) gate(t LocalTarget) *errkind.Error {
	ctx, cancel := context.WithDeadline(context.Background(), x.c.deadline)
	defer cancel()
	p := t.Gate().Preview(ctx, x.c.gateRequest(time.Now()))
	out := &api.ExplainedGate{
		Running: p.Stats.Running, Queued: p.Stats.Queued, Limit: p.Stats.Limit, Cold: p.Stats.Cold,
		Ahead: p.Ahead, WaitMs: inMs(p.Wait), ServiceMs: inMs(p.Mean), NamedRate: p.NamedRate,
	}
	switch {
	case p.Err != nil:
		out.Decision = "refused"
	case p.Starts:
		out.Decision = "starts"
	default:
		out.Decision = "waits"
	}
	x.out.Gate = out
	return p.Err
}

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
