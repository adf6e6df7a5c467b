package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// initialOwnerBackoff is the first wait before the same owner is tried again; it doubles. A new
	// connection takes about 1 ms, so a transient fault is over by then.
	initialOwnerBackoff = 25 * time.Millisecond
	// maxOwnerBackoff limits the wait, and so the delay after an owner has received its grant.
	maxOwnerBackoff = 200 * time.Millisecond
	// viewPollInterval is the interval at which waiting requests check the view if no publication
	// wakes them.
	viewPollInterval = 50 * time.Millisecond
)

// route makes attempts until one gets a response or the call may not be routed again.
func (g *Gateway) route(ctx context.Context, c *call) (*response, *errkind.Error) {
	g.retries.deposit()
	if c.service.Divided() {
		return g.routeByKey(ctx, c)
	}
	return g.routeToAnyTarget(ctx, c)
}

// routeByKey sends the call to the owner of its key. A call that has not run waits within its
// deadline for another owner; that costs no attempt, since each owner is tried once.
func (g *Gateway) routeByKey(ctx context.Context, c *call) (*response, *errkind.Error) {
	backoff := initialOwnerBackoff
	for {
		v := g.view()
		if e := c.revalidate(v); e != nil {
			return nil, e
		}
		if e := g.checkLeave(c.deadline, g.latencies.get(c.service.Name).expected); e != nil {
			return nil, e
		}
		owner := v.Owner(c.ref)
		a, e := g.attemptOwner(ctx, v, c, owner)
		if e == nil {
			return a, nil
		}
		if !mayRetryOwner(e) || !c.body.replayable() {
			return nil, e
		}
		if !g.waitForOwner(ctx, c, owner, e, &backoff) {
			return nil, e
		}
		telemetry.CountRetry(e.Kind)
	}
}

func (g *Gateway) attemptOwner(ctx context.Context, v *api.View, c *call, owner api.Assignment) (*response, *errkind.Error) {
	p, e := ownerDestination(v, c.ref, owner)
	if e != nil {
		return nil, e
	}
	return g.attempt(ctx, v, c, p)
}

// ownerDestination returns where a request for the partition goes. Errors: NoOwner, NodeUnreachable.
func ownerDestination(v *api.View, ref api.PartitionRef, owner api.Assignment) (destination, *errkind.Error) {
	if !owner.Serves() {
		return destination{}, errkind.New(errkind.NoOwner, "partition %d of %s has no owner", ref.Partition, ref.Service)
	}
	p := destination{target: owner.Target, session: owner.Session, epoch: owner.Epoch, late: true}
	if owner.Session != v.Session {
		p.peer = v.Index.Peers[owner.Session]
		if p.peer == nil {
			return destination{}, errkind.New(errkind.NodeUnreachable, "address of the owner's node is unknown")
		}
	}
	return p, nil
}

// mayRetryOwner reports whether the call has not run and may succeed at another owner, or at the
// same one later.
func mayRetryOwner(e *errkind.Error) bool {
	return e.NotRun && e.Kind.Answer().Retryable && e.Kind != errkind.Overloaded
}

// waitForOwner waits until the partition has another owner or the same one may be tried again. It
// reports whether to make another attempt.
func (g *Gateway) waitForOwner(ctx context.Context, c *call, tried api.Assignment, e *errkind.Error, backoff *time.Duration) bool {
	again := time.NewTimer(*backoff)
	defer again.Stop()
	*backoff = min(2**backoff, maxOwnerBackoff)
	for {
		changed := *g.viewChanged.Load()
		v := g.view()
		if v.Owner(c.ref) != tried || !v.Usable(time.Now()) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-time.After(viewPollInterval):
		case <-again.C:
			if tried.Serves() && g.chargeOwnerRetry(c, e) {
				return true
			}
			again.Reset(*backoff)
		}
	}
}

// chargeOwnerRetry reports whether a call may go to the same owner again, and charges the attempt
// and the retry budget. A call that was not sent to the target costs nothing: its node may not have
// received the grant yet or may be restarting, and the target has seen nothing.
func (g *Gateway) chargeOwnerRetry(c *call, e *errkind.Error) bool {
	if !e.Sent {
		return true
	}
	if c.attemptsLeft <= 1 || !g.retries.withdraw() {
		return false
	}
	c.attemptsLeft--
	return true
}

// routeToAnyTarget sends the call to any serving target. A call that has not run, or is idempotent,
// goes to another target within the limit of attempts and the retry budget.
func (g *Gateway) routeToAnyTarget(ctx context.Context, c *call) (*response, *errkind.Error) {
	var tried []api.TargetID
	g.hedges.deposit()
	for {
		v := g.view()
		if e := c.revalidate(v); e != nil {
			return nil, e
		}
		if e := g.checkLeave(c.deadline, g.latencies.get(c.service.Name).expected); e != nil {
			return nil, e
		}
		p, e := g.choose(v, c, tried)
		if e != nil {
			return nil, e
		}
		p.late = lastTarget(v, c, tried)
		a, used, e := g.attemptHedged(ctx, v, c, p, tried)
		if e == nil {
			return a, nil
		}
		tried = append(tried, used...)
		if !g.mayFailOver(ctx, v, c, e, tried) && !g.chargeRetry(ctx, c, e) {
			return nil, e
		}
		telemetry.CountRetry(e.Kind)
	}
}

// maxFailovers limits the targets that a call fails over to without having been sent to any.
const maxFailovers = 3

// mayFailOver reports whether a call that was not sent to its target may be tried at another one.
// That costs no attempt and no retry, since no target has seen the call.
func (g *Gateway) mayFailOver(ctx context.Context, v *api.View, c *call, e *errkind.Error, tried []api.TargetID) bool {
	if !e.NotRun || e.Sent || !e.Kind.Answer().Retryable || ctx.Err() != nil || !c.body.replayable() || len(tried) > maxFailovers {
		return false
	}
	return len(untried(v.Index.TargetsByService[c.service.Name], tried)) > 0
}

// chargeRetry reports whether a failed attempt may be followed by another, and charges the attempt
// and the retry budget.
func (g *Gateway) chargeRetry(ctx context.Context, c *call, e *errkind.Error) bool {
	if !mayRetry(ctx, c, e) || !g.retries.withdraw() {
		return false
	}
	c.attemptsLeft--
	return true
}

// mayRetry reports whether a failed attempt may be followed by another if the retry budget allows it.
func mayRetry(ctx context.Context, c *call, e *errkind.Error) bool {
	allowed := e.NotRun && e.Kind.Answer().Retryable || !e.NotRun && c.idempotent && e.Kind != errkind.TooLarge
	return allowed && c.attemptsLeft > 1 && ctx.Err() == nil && c.body.replayable()
}

// choose selects a target by the service's policy, an untried one if possible. Errors: NoTarget,
// Internal.
func (g *Gateway) choose(v *api.View, c *call, tried []api.TargetID) (destination, *errkind.Error) {
	targets := versionTargets(v.Index, c.service.Name, len(tried) == 0, rand.Float64())
	if len(targets) == 0 {
		return destination{}, noTarget(v, c.service.Name)
	}
	policy, err := targetChoice(g.targetChoiceOf(c.service))
	if err != nil {
		return destination{}, errkind.New(errkind.Internal, "%v", err)
	}
	candidates, i := g.selectTarget(policy, g.candidates(v, c, targets, tried))
	return destinationOf(v, candidates.targets[i]), nil
}

// targetChoiceOf returns the name of the policy that selects the targets of a service.
func (g *Gateway) targetChoiceOf(s *api.Service) string {
	return cmp.Or(s.TargetChoice, g.targetChoice, DefaultTargetChoice)
}

// candidates returns what the policy selects from: the untried targets, or all if none is untried.
func (g *Gateway) candidates(v *api.View, c *call, targets []api.TargetAt, tried []api.TargetID) Candidates {
	if fresh := untried(targets, tried); len(fresh) > 0 {
		targets = fresh
	}
	return Candidates{
		targets: targets, loads: &g.loads, now: time.Now(), zone: v.Zone,
		large: c.body.large(), largeResponse: g.largeResponse(c), serviceLatency: g.latencies.find(c.service.Name).meanLatency(),
	}
}

// selectTarget returns the index of the target that the policy selects, and the candidates that it refers to: those that leave are
// dropped if one is selected and another is left. Most requests select none, so that the candidates need not be searched.
func (g *Gateway) selectTarget(policy TargetChoice, c Candidates) (Candidates, int) {
	i := policy.Choose(c)
	if !g.departures.over(c.targets[i].Target.ID, c.now) {
		return c, i
	}
	stay := slices.DeleteFunc(slices.Clone(c.targets), func(at api.TargetAt) bool { return g.departures.over(at.Target.ID, c.now) })
	if len(stay) == 0 {
		return c, i
	}
	c.targets = stay
	if c.preview != nil {
		clear(c.preview.costs)
	}
	return c, policy.Choose(c)
}

func targetChoice(name string) (TargetChoice, error) { return TargetChoices.Get(name) }

// untried returns the targets that have not been tried.
func untried(targets []api.TargetAt, tried []api.TargetID) []api.TargetAt {
	if len(tried) == 0 {
		return targets
	}
	var fresh []api.TargetAt
	for _, t := range targets {
		if !slices.Contains(tried, t.Target.ID) {
			fresh = append(fresh, t)
		}
	}
	return fresh
}

func destinationOf(v *api.View, at api.TargetAt) destination {
	p := destination{target: at.Target.ID, session: at.Peer.Session}
	if at.Peer.Session != v.Session {
		p.peer = at.Peer
	}
	return p
}

// checkDestination returns the target if it is on this node, and nil for a target of another node. Errors: WrongOwner if
// no request goes there.
func (g *Gateway) checkDestination(p destination) (LocalTarget, *errkind.Error) {
	if g.departures.over(p.target, time.Now()) {
		return nil, errkind.New(errkind.WrongOwner, "target %s has said that it leaves", p.target)
	}
	if p.peer != nil {
		return nil, nil
	}
	t := g.targets.Lookup(p.target)
	if t == nil {
		return nil, errkind.New(errkind.WrongOwner, "target %s is not on this node", p.target)
	}
	return t, nil
}

// attempt makes one attempt at a destination and records its latency.
func (g *Gateway) attempt(ctx context.Context, v *api.View, c *call, p destination) (*response, *errkind.Error) {
	l := g.loads.get(p.target)
	l.outstanding.Add(1)
	defer l.outstanding.Add(-1)
	begin := time.Now()
	a, e := g.attemptAt(ctx, v, c, p)
	took := time.Since(begin)
	c.history.record(p, took, e)
	if e == nil || !e.NotRun {
		l.observe(took, time.Now())
	}
	if e == nil {
		g.latencies.get(c.service.Name).add(took)
	}
	return a, e
}

func (g *Gateway) attemptAt(ctx context.Context, v *api.View, c *call, p destination) (*response, *errkind.Error) {
	id := api.NewID()
	t, e := g.checkDestination(p)
	if e != nil {
		return nil, e
	}
	if t == nil {
		return g.hop(ctx, c, p, id)
	}
	defer func() {
		g.loads.get(p.target).recordReport(loadReport{expected: t.Gate().ExpectedLatency(), at: time.Now()})
	}()
	return g.dispatchReserved(ctx, v, c, p, t, id, false)
}
