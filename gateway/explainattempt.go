package gateway

import (
	"context"
	"time"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
)

// Steps that follow the refusal of a first attempt.
const (
	thenWaitForOwner = "the request waits within its deadline for another owner, or tries this one again"
	thenFailOver     = "the request goes to another target; that costs no attempt"
	thenRetry        = "the request goes to another target if the retry budget allows it"
)

// beginChecker is implemented by local targets that can say whether Begin would succeed without counting an attempt.
type beginChecker interface {
	CheckBegin(ref api.PartitionRef, epoch api.Epoch) error
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
