package control

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/api"
	"github.com/zinniapier/zinniapier/errkind"
	"github.com/zinniapier/zinniapier/rollout"
	"github.com/zinniapier/zinniapier/state"
	"github.com/zinniapier/zinniapier/telemetry"
)

const (
	// rolloutInterval is the time between two decisions on running roll-outs. A judgement of 122 targets with five routes
	// takes 2 ms.
	rolloutInterval = 200 * time.Millisecond
	// elapsedInterval is the time between two commits of the elapsed time. A member that restarts loses as much at
	// most.
	elapsedInterval = time.Second
	// resendTime is the time after the end of a roll-out in which the same order counts as a resend. An order may wait
	// in a frozen member; a resend that started the roll-out again would give a bad version requests twice.
	resendTime = 15 * time.Second
	// rolloutContact is the time without a heartbeat after which the targets of a node do not count as serving.
	rolloutContact = 2 * time.Second
	// canaryPlacement is the time from the beginning of the canary phase, and canaryPlanInterval the time between two
	// plans in it, in which partitions move to the canary targets. A plan moves few partitions at once to each target,
	// and plans by load are up to 3 s apart.
	canaryPlacement    = 3 * time.Second
	canaryPlanInterval = 500 * time.Millisecond
)

// activeRollout is the volatile state of a roll-out at the leader.
type activeRollout struct {
	counts *rollout.Counts
	phase  api.RolloutPhase
	since  time.Time // when this leader first saw the phase
	// version is that of the configuration at since.
	version uint64
	// quietSince is when the old targets were first seen to have finished; zero while they have not.
	quietSince time.Time
	// elapsedDue is when the elapsed time is to be committed again.
	elapsedDue time.Time
	// oldVersions are the versions of old targets that have been seen.
	oldVersions []string
	// nextCanaryPlan is when partitions may move to canary targets again.
	nextCanaryPlan time.Time
}

// activeRollout returns the volatile state of the roll-out in its present phase.
func (l *leader) activeRollout(view *api.ControlState, r *api.Rollout, now time.Time) *activeRollout {
	a := l.rollouts[r.ID]
	if a == nil {
		a = &activeRollout{counts: rollout.NewCounts(r.Version, l.o.RolloutLimits), elapsedDue: now.Add(elapsedInterval)}
		l.rollouts[r.ID] = a
	}
	if a.phase != r.Phase {
		a.phase, a.since, a.version, a.quietSince = r.Phase, now, view.Configuration.Version, time.Time{}
	}
	if r.Phase.Ended() {
		a.counts = nil
	}
	return a
}

// recordOutcomes adds the counts that a node sends of its targets during a roll-out.
func (l *leader) recordOutcomes(view *api.ControlState, req *api.HeartbeatRequest, now time.Time) {
	rollouts := view.Configuration.Rollouts
	for i := range req.Outcomes {
		o := &req.Outcomes[i]
		// The node may no longer report the target, which has crashed.
		r := slices.IndexFunc(rollouts, func(r api.Rollout) bool { return r.ID == o.Rollout })
		if r < 0 || rollouts[r].Phase.Ended() {
			continue
		}
		l.activeRollout(view, &rollouts[r], now).counts.Record(o)
	}
}

// planRollouts adds to the batch the steps of roll-outs that are due.
func (l *leader) planRollouts(view *api.ControlState, now time.Time, batch *state.Batch) {
	rollouts := view.Configuration.Rollouts
	if len(rollouts) == 0 && len(l.rollouts) == 0 || now.Before(l.nextRollouts) {
		return
	}
	l.nextRollouts = now.Add(rolloutInterval)
	l.rolloutClock.observe(view, now)
	for id := range l.rollouts {
		if !slices.ContainsFunc(rollouts, func(r api.Rollout) bool { return r.ID == id }) {
			delete(l.rollouts, id)
		}
	}
	var targets map[api.TargetID]*targetInfo
	for i := range rollouts {
		r := &rollouts[i]
		if r.Phase.Ended() {
			l.forgetRollout(view, r, now, batch)
			continue
		}
		if targets == nil {
			targets = l.targets(&view.Configuration)
			keepLatestPerAddress(targets)
		}
		l.planRollout(view, r, targets, now, batch)
	}
}

// forgetRollout removes the elapsed time of an ended roll-out after resendTime; from then on, the same order starts another one.
func (l *leader) forgetRollout(view *api.ControlState, r *api.Rollout, now time.Time, batch *state.Batch) {
	if _, kept := view.RolloutElapsed[r.ID]; !kept {
		delete(l.rollouts, r.ID)
		return
	}
	if now.Sub(l.activeRollout(view, r, now).since) >= resendTime {
		batch.Rollouts = append(batch.Rollouts, state.RolloutStep{ID: r.ID, Service: r.Service, Expected: r.Phase, Forget: true})
	}
}

// planRollout decides on a running roll-out.
func (l *leader) planRollout(view *api.ControlState, r *api.Rollout, targets map[api.TargetID]*targetInfo, now time.Time, batch *state.Batch) {
	a := l.activeRollout(view, r, now)
	in := l.rolloutInput(view, r, targets, now)
	for _, t := range in.Targets {
		if t.Version != r.Version && !slices.Contains(a.oldVersions, t.Version) {
			a.oldVersions = append(a.oldVersions, t.Version)
		}
	}
	in.OldVersions = a.oldVersions
	behind := l.nodesBehind(a.version, now)
	in.Quiet = l.quietTime(a, &in, len(behind), targets, now)
	a.counts.Observe(now, r.Phase)
	in.Verdict = a.counts.Judge(now, r.Phase, comparedTargets(&in))
	d := rollout.Decide(&in)
	due := !now.Before(a.elapsedDue)
	if d == nil && !due {
		return
	}
	a.elapsedDue = now.Add(elapsedInterval)
	step := state.RolloutStep{ID: r.ID, Service: r.Service, Expected: r.Phase, ElapsedMs: in.Elapsed.Milliseconds()}
	line := rolloutLine(&in).WithField("nodes_behind", len(behind))
	if d == nil {
		line.Info("Roll-out is running.")
	} else {
		step.Change = &state.RolloutChange{Phase: d.Phase, Share: d.Share, Canary: d.Canary, Retired: d.Retired, Reason: d.Reason}
		line.WithField("next", d.Phase).WithField("share", d.Share).WithField("canary", d.Canary).
			WithField("retired", d.Retired).WithField("reason", d.Reason).Info("Roll-out decided.")
	}
	batch.Rollouts = append(batch.Rollouts, step)
}

// quietTime returns the time for which the old targets have been finished and no node in contact has lacked the phase.
func (l *leader) quietTime(a *activeRollout, in *rollout.Input, behind int, targets map[api.TargetID]*targetInfo, now time.Time) time.Duration {
	switch {
	case in.Rollout.Phase != api.RolloutSwitching || behind > 0 || !in.Finished():
		a.quietSince = time.Time{}
	case a.quietSince.IsZero():
		a.quietSince = now
	case l.oldTargetsReportedAfter(in.Rollout, targets, a.quietSince, now):
		return now.Sub(a.quietSince)
	}
	return 0
}

// oldTargetsReportedAfter reports whether the nodes in contact have reported all old targets after a time. An earlier
// report may be from before the last requests arrived.
func (l *leader) oldTargetsReportedAfter(r *api.Rollout, targets map[api.TargetID]*targetInfo, since, now time.Time) bool {
	for _, t := range targets {
		if t.Service != r.Service || t.Version == r.Version || slices.Contains(r.Retired, t.Version) {
			continue
		}
		if last := l.lastHeartbeat(l.sessions[t.session]); !last.After(since) && now.Sub(last) < contactTimeout {
			return false
		}
	}
	return true
}

// comparedTargets returns the number of new targets that get requests.
func comparedTargets(in *rollout.Input) int {
	if in.Rollout.Phase == api.RolloutCanary {
		return len(in.Rollout.Canary)
	}
	n := 0
	for _, t := range in.Targets {
		if t.Version == in.Rollout.Version {
			n++
		}
	}
	return n
}

// rolloutInput describes a roll-out and the targets of its service.
func (l *leader) rolloutInput(view *api.ControlState, r *api.Rollout, targets map[api.TargetID]*targetInfo, now time.Time) rollout.Input {
	in := rollout.Input{
		Rollout:  r,
		Limits:   l.o.RolloutLimits,
		Elapsed:  l.rolloutClock.elapsed(r.ID, now),
		InPhase:  now.Sub(l.rollouts[r.ID].since),
		Informed: !now.Before(l.firstPlanAt) || !l.tokensWithheld,
	}
	if s := view.Configuration.Services.Find(r.Service); s != nil {
		in.Divided = s.Divided()
		in.LongestTimeout = longestTimeout(&view.Configuration, s)
	}
	owned := make(map[api.TargetID]int)
	for _, a := range view.Assignments[r.Service] {
		if a.State != api.Unassigned {
			owned[a.Target]++
		}
	}
	for id, t := range targets {
		if t.Service != r.Service || slices.Contains(r.Retired, t.Version) {
			continue
		}
		silent := now.Sub(l.lastHeartbeat(l.sessions[t.session]))
		x := rollout.Target{
			ID: id, Zone: t.zone, Version: t.Version, Slots: t.Slots, Cold: t.Cold || t.Warming, Partitions: owned[id],
			Serving: t.serving && silent < rolloutContact,
		}
		if silent < contactTimeout {
			x.Running = t.Running
		}
		in.Targets = append(in.Targets, x)
	}
	slices.SortFunc(in.Targets, func(x, y rollout.Target) int { return compareTargetIDs(x.ID, y.ID) })
	return in
}

// longestTimeout returns the longest timeout of the routes that lead to the service.
func longestTimeout(c *api.Configuration, service *api.Service) (longest time.Duration) {
	for i := range c.Services.Services {
		s := &c.Services.Services[i]
		for _, route := range s.Routes {
			leads := len(route.Split) == 0 && s.Name == service.Name ||
				slices.ContainsFunc(route.Split, func(x api.RouteShare) bool { return x.Service == service.Name })
			if !leads {
				continue
			}
			timeout := time.Duration(route.TimeoutMs) * time.Millisecond
			if timeout == 0 {
				timeout = requestDeadline(s)
			}
			longest = max(longest, timeout)
		}
	}
	if longest == 0 {
		return requestDeadline(service)
	}
	return longest
}

// rolloutLine returns a log line with the figures of a decision.
func rolloutLine(in *rollout.Input) *logrus.Entry {
	r := in.Rollout
	running, partitions := in.Unfinished()
	newSlots, oldSlots, ready := in.Slots()
	return telemetry.Logger("rollout").WithField("rollout", r.ID).WithField("service", r.Service).WithField("version", r.Version).
		WithField("phase", r.Phase).WithField("elapsed_ms", in.Elapsed.Milliseconds()).WithField("duration_ms", r.DurationMs).
		WithField("new_slots", newSlots).WithField("old_slots", oldSlots).WithField("ready", ready).
		WithField("old_running", running).WithField("old_partitions", partitions)
}

// logRolloutSteps counts and logs the phase changes of a committed batch.
func logRolloutSteps(b *state.Batch, result *state.BatchResult) {
	rejected := func(service string) bool {
		return slices.ContainsFunc(result.Rejected, func(r state.Rejection) bool { return r.Ref == api.PartitionRef{Service: service} })
	}
	for _, s := range b.Rollouts {
		if s.Change == nil || rejected(s.Service) {
			continue
		}
		telemetry.CountEvent("rollout_"+string(s.Change.Phase), 1)
		telemetry.Logger("rollout").WithField("rollout", s.ID).WithField("service", s.Service).WithField("phase", s.Change.Phase).
			WithField("reason", s.Change.Reason).Info("Roll-out phase committed.")
	}
}

// checkRolloutOrder refuses an order of the version that all targets of the service have: none of them would get
// requests until the switch. The state cannot tell, since reports of targets are not in the log.
func (c *Control) checkRolloutOrder(ctx context.Context, change *api.Change) *errkind.Error {
	o := change.Rollout
	if change.Kind != api.StartRollout || o == nil {
		return nil
	}
	inForce, _ := runOnLoop(ctx, c, func() bool { return c.leader != nil && c.leader.allHaveVersion(o, time.Now()) })
	if inForce {
		return errkind.New(errkind.Invalid, "all targets of service %q have version %q", o.Service, o.Version)
	}
	return nil
}

// allHaveVersion reports whether the service has targets that may get requests and all of them have the version, without
// an earlier roll-out to it.
func (l *leader) allHaveVersion(o *api.RolloutOrder, now time.Time) bool {
	c := &l.o.Machine.View().Configuration
	last := c.FindRollout(o.Service)
	if last != nil && last.Version == o.Version || now.Before(l.firstPlanAt) {
		return false
	}
	found := false
	for _, t := range l.targets(c) {
		if t.Service != o.Service || last != nil && !last.Admits(t.ID, t.Version) {
			continue
		}
		if t.Version != o.Version {
			return false
		}
		found = true
	}
	return found
}
