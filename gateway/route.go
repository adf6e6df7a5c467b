package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// ownerBackoff is the first wait before the same owner is tried again; it doubles.
	// A new connection takes about 1 ms, so a passing fault is over by then.
	ownerBackoff = 25 * time.Millisecond
	// longestOwnerBackoff bounds the wait once an owner has learnt of its grant.
	longestOwnerBackoff = 200 * time.Millisecond
	// viewPoll is the interval at which waiting requests look at the view when no
	// publication wakes them.
	viewPoll = 50 * time.Millisecond
)

// route makes attempts until one is answered or the call may not be routed again.
func (g *Gateway) route(ctx context.Context, c *call) (*answer, *errkind.Error) {
	g.retries.earn()
	if c.service.Divided() {
		return g.routeByKey(ctx, c)
	}
	return g.routeAnywhere(ctx, c)
}

// routeByKey sends the call to the owner of its key. A call that has not run waits within
// its deadline for another owner; that costs no attempt, since each owner is tried once.
func (g *Gateway) routeByKey(ctx context.Context, c *call) (*answer, *errkind.Error) {
	backoff := ownerBackoff
	for {
		v := g.view()
		if e := c.recheck(v); e != nil {
			return nil, e
		}
		owner := v.Owner(c.ref)
		a, e := g.attemptOwner(ctx, v, c, owner)
		if e == nil {
			return a, nil
		}
		if !mayChangeOwner(e) || !c.body.replayable() {
			return nil, e
		}
		if !g.waitForOwner(ctx, c, owner, e, &backoff) {
			return nil, e
		}
		telemetry.CountRetry(e.Kind)
	}
}

func (g *Gateway) attemptOwner(ctx context.Context, v *api.View, c *call, owner api.Assignment) (*answer, *errkind.Error) {
	if !owner.Serves() {
		return nil, errkind.New(errkind.NoOwner, "partition %d of %s has no owner", c.ref.Partition, c.ref.Service)
	}
	p := place{target: owner.Target, session: owner.Session, epoch: owner.Epoch, left: c.left}
	if owner.Session != v.Session {
		p.peer = v.Index.Peers[owner.Session]
		if p.peer == nil {
			return nil, errkind.New(errkind.NodeUnreachable, "address of the owner's node is not known")
		}
	}
	return g.attempt(ctx, v, c, p)
}

// mayChangeOwner says whether the call has not run and another owner, or the same one a
// little later, may take it.
func mayChangeOwner(e *errkind.Error) bool {
	return e.NotRun && e.Kind.Answer().Retryable && e.Kind != errkind.Overloaded
}

// waitForOwner waits until the partition has another owner, or until the same one may be
// tried again. It says whether to go on.
func (g *Gateway) waitForOwner(ctx context.Context, c *call, tried api.Assignment, e *errkind.Error, backoff *time.Duration) bool {
	again := time.NewTimer(*backoff)
	defer again.Stop()
	*backoff = min(2**backoff, longestOwnerBackoff)
	for {
		changed := *g.changed.Load()
		v := g.view()
		if v.Owner(c.ref) != tried || !v.Usable(time.Now()) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-time.After(viewPoll):
		case <-again.C:
			if tried.Serves() && g.mayTryAgain(c, e) {
				return true
			}
			again.Reset(*backoff)
		}
	}
}

// mayTryAgain decides whether a call goes to the same owner again, and pays for it. A call that was
// not sent to the target costs nothing: its node may not know of the grant yet, or is being
// restarted, and the target has seen nothing.
func (g *Gateway) mayTryAgain(c *call, e *errkind.Error) bool {
	if !e.Sent {
		return true
	}
	if c.left <= 1 || !g.retries.spend() {
		return false
	}
	c.left--
	return true
}

// routeAnywhere sends the call to any serving target. A call that has not run, or may be
// repeated, goes to another target under the attempt and retry budgets.
func (g *Gateway) routeAnywhere(ctx context.Context, c *call) (*answer, *errkind.Error) {
	var tried []api.TargetID
	g.hedges.earn()
	for {
		v := g.view()
		if e := c.recheck(v); e != nil {
			return nil, e
		}
		p, e := g.choose(v, c, tried)
		if e != nil {
			return nil, e
		}
		a, used, e := g.attemptHedged(ctx, v, c, p, tried)
		if e == nil {
			return a, nil
		}
		tried = append(tried, used...)
		if !g.mayTurn(ctx, v, c, e, tried) && !g.mayRepeat(ctx, c, e) {
			return nil, e
		}
		telemetry.CountRetry(e.Kind)
	}
}

// maxTurns bounds the targets that a call is turned to without having been sent to any.
const maxTurns = 3

// mayTurn says whether a call that was not sent to its target may be tried at another one. That
// costs no attempt and no retry, since no target has seen it.
func (g *Gateway) mayTurn(ctx context.Context, v *api.View, c *call, e *errkind.Error, tried []api.TargetID) bool {
	if !e.NotRun || e.Sent || !e.Kind.Answer().Retryable || ctx.Err() != nil || !c.body.replayable() || len(tried) > maxTurns {
		return false
	}
	return len(untried(v.Index.TargetsByService[c.service.Name], tried)) > 0
}

// mayRepeat decides whether a failed attempt is followed by another, and pays for it.
func (g *Gateway) mayRepeat(ctx context.Context, c *call, e *errkind.Error) bool {
	allowed := e.NotRun && e.Kind.Answer().Retryable || !e.NotRun && c.idempotent && e.Kind != errkind.TooLarge
	if !allowed || c.left <= 1 || ctx.Err() != nil || !c.body.replayable() {
		return false
	}
	if !g.retries.spend() {
		return false
	}
	c.left--
	return true
}

// choose selects a target by the service's policy, an untried one when there is one.
func (g *Gateway) choose(v *api.View, c *call, tried []api.TargetID) (place, *errkind.Error) {
	targets := v.Index.TargetsByService[c.service.Name]
	if len(targets) == 0 {
		return place{}, errkind.New(errkind.NoTarget, "%s has no serving target", c.service.Name)
	}
	policy, err := targetChoice(cmp.Or(c.service.TargetChoice, g.targetChoice))
	if err != nil {
		return place{}, errkind.New(errkind.Internal, "%v", err)
	}
	if fresh := untried(targets, tried); len(fresh) > 0 {
		targets = fresh
	}
	i := policy.Choose(Candidates{
		targets: targets, loads: &g.loads, now: time.Now(), zone: v.Zone,
		large: c.body.large(), usual: g.times.get(c.service.Name).usual(),
	})
	p := placeAt(v, targets[i])
	p.left = c.left
	return p, nil
}

func targetChoice(name string) (TargetChoice, error) {
	if name == "" {
		name = DefaultTargetChoice
	}
	return TargetChoices.Get(name)
}

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

func placeAt(v *api.View, at api.TargetAt) place {
	p := place{target: at.Target.ID, session: at.Peer.Session}
	if at.Peer.Session != v.Session {
		p.peer = at.Peer
	}
	return p
}

// attempt makes one attempt at a place and observes its latency.
func (g *Gateway) attempt(ctx context.Context, v *api.View, c *call, p place) (*answer, *errkind.Error) {
	l := g.loads.get(p.target)
	l.outstanding.Add(1)
	defer l.outstanding.Add(-1)
	begin := time.Now()
	a, e := g.attemptAt(ctx, v, c, p)
	took := time.Since(begin)
	c.track.note(p, took, e)
	if e == nil || !e.NotRun {
		l.observe(took, time.Now())
	}
	if e == nil {
		g.times.get(c.service.Name).add(took)
	}
	return a, e
}

func (g *Gateway) attemptAt(ctx context.Context, v *api.View, c *call, p place) (*answer, *errkind.Error) {
	id := api.NewID()
	if p.peer != nil {
		return g.hop(ctx, c, p, id)
	}
	t := g.targets.Lookup(p.target)
	if t == nil {
		return nil, errkind.New(errkind.WrongOwner, "target %s is not on this node", p.target)
	}
	defer func() { g.loads.get(p.target).state(statement{expected: t.Gate().ExpectedLatency(), at: time.Now()}) }()
	return g.dispatch(ctx, v, c, p, t, id, false)
}
