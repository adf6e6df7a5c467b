package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/telemetry"
)

// Events of the choice between versions.
const (
	// eventCanaryChosen counts the requests whose first attempt goes to a canary target.
	eventCanaryChosen = "rollout_canary_chosen"
	// eventNoAdmittedTarget counts the requests without a target whose version the roll-out admits.
	eventNoAdmittedTarget = "rollout_no_admitted_target"
)

// versionTargets returns the targets from which an attempt at a service that is not partitioned is chosen: the
// canary targets for their share of the first attempts, else those of the versions that the roll-out admits in full.
// draw is a random number in [0, 1).
//
// The canary targets never replace the others, since a version that is not yet judged may get only its share;
// without another target the request is refused. Neither do targets of a version that the roll-out does not admit:
// those are stopped without draining once no request is left at them.
//
// Load pattern: a service at high load whose targets are all replaced by a version that may be bad. A request that
// fails at a canary target is repeated at a target of the old version, so that retries do not add to the share.
func versionTargets(x *api.ViewIndex, service string, first bool, draw float64) []api.TargetAt {
	targets, canary := admittedTargets(x, service, first, draw)
	if canary {
		telemetry.CountEvent(eventCanaryChosen, 1)
	}
	return targets
}

// admittedTargets is versionTargets without counting; canary is true if the targets are the canary targets.
func admittedTargets(x *api.ViewIndex, service string, first bool, draw float64) (targets []api.TargetAt, canary bool) {
	if c := x.Canaries[service]; c != nil && first && draw < c.Share {
		return c.Targets, true
	}
	return x.TargetsByService[service], false
}

// isCanary reports whether the target gets a share of the requests of the service only.
func isCanary(x *api.ViewIndex, service string, id api.TargetID) bool {
	c := x.Canaries[service]
	return c != nil && slices.ContainsFunc(c.Targets, func(at api.TargetAt) bool { return at.Target.ID == id })
}

// noTarget returns the error of a request without a target to choose from, and counts it during a roll-out.
func noTarget(v *api.View, service string) *errkind.Error {
	if v.Configuration.FindRollout(service) != nil {
		telemetry.CountEvent(eventNoAdmittedTarget, 1)
	}
	return errNoTarget(v, service)
}

func errNoTarget(v *api.View, service string) *errkind.Error {
	r := v.Configuration.FindRollout(service)
	if r == nil {
		return errkind.New(errkind.NoTarget, "%s has no serving target", service)
	}
	return errkind.New(errkind.NoTarget, "%s has no serving target that its roll-out to %s in phase %s admits in full",
		service, r.Version, r.Phase)
}

// Outcomes returns the counts of the targets of this node whose service has a running roll-out.
func (g *Gateway) Outcomes() []api.TargetOutcomes {
	return g.outcomes.current(g.view().Configuration)
}

// runningRollout returns the roll-out of the service of the attempt, or nil if none is running.
func (r *localAttempt) runningRollout() *api.Rollout {
	return r.gateway.view().Configuration.RunningRollout(r.call.ref.Service)
}

// countOutcome counts the end of the attempt at the target if a roll-out of its service is running.
func (r *localAttempt) countOutcome(failed bool) {
	rollout := r.runningRollout()
	if rollout == nil {
		return
	}
	o := attemptOutcome{
		rollout: rollout.ID, service: rollout.Service, target: r.dest.target, version: r.target.Info().Version,
		route: r.call.routeName, failed: failed,
	}
	if !r.cold {
		o.latency = r.outcome.Latency
	}
	r.gateway.outcomes.add(o)
}

// trackBody makes the end of the response count for the roll-out of the service, if one is running.
func (r *localAttempt) trackBody(ctx context.Context, resp *http.Response) {
	if r.runningRollout() == nil {
		return
	}
	b := &trackedBody{ReadCloser: resp.Body, ctx: ctx}
	resp.Body = b
	r.ended = func() { r.countOutcome(resp.StatusCode >= http.StatusInternalServerError || b.failed.Load()) }
}

// maxUnread is the time without a read after which the end of a response says nothing about its target, which may
// cut off a response that remains unread for some seconds.
const maxUnread = time.Second

// trackedBody is the body of a response of a target. It records whether the target ended it early or late.
type trackedBody struct {
	io.ReadCloser
	ctx      context.Context
	lastRead time.Time
	unread   bool // the caller did not read for longer than maxUnread
	failed   atomic.Bool
}

// Read implements io.Reader. A read that begins after the deadline says that the caller reads slowly.
func (b *trackedBody) Read(p []byte) (int, error) {
	inTime := b.ctx.Err() == nil
	if !b.lastRead.IsZero() && time.Since(b.lastRead) > maxUnread {
		b.unread = true
	}
	n, err := b.ReadCloser.Read(p)
	b.lastRead = time.Now()
	if err != nil && !errors.Is(err, io.EOF) && inTime && !b.unread && b.ctx.Err() != context.Canceled {
		b.failed.Store(true)
	}
	return n, err
}
