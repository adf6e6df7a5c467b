package api

import (
	"slices"
	"time"
)

// RolloutPhase says how far a roll-out is.
type RolloutPhase string

// Phases of a roll-out.
const (
	// RolloutStarting: the new version gets no requests yet.
	RolloutStarting RolloutPhase = "starting"
	// RolloutCanary: Share of the requests go to the canary targets.
	RolloutCanary RolloutPhase = "canary"
	// RolloutSwitching: all requests go to the new version, and the old targets finish their work.
	RolloutSwitching RolloutPhase = "switching"
	// RolloutCompleted: only the new version gets requests.
	RolloutCompleted RolloutPhase = "completed"
	// RolloutRolledBack: the new version gets no requests any more.
	RolloutRolledBack RolloutPhase = "rolled_back"
)

// Ended reports whether the phase is final.
func (p RolloutPhase) Ended() bool { return p == RolloutCompleted || p == RolloutRolledBack }

// Rollout moves the requests of a service to targets of another version.
type Rollout struct {
	// ID is unique: the log index of the order, as text.
	ID      string `json:"id"`
	Service string `json:"service"`
	// Version is the version of the targets that the requests are to move to.
	Version string `json:"version"`
	// DurationMs is the time from the order to the deadline in milliseconds.
	DurationMs int64        `json:"duration_ms"`
	Phase      RolloutPhase `json:"phase"`
	// Share is the share of the service's requests that go to Canary in the phase RolloutCanary, from 0 to 1.
	Share float64 `json:"share,omitempty"`
	// Canary are the targets that get requests in the phase RolloutCanary.
	Canary []TargetID `json:"canary,omitempty"`
	// Retired are versions that get no requests: those that earlier roll-outs moved the requests away from or rolled
	// back, and in the phase RolloutCompleted the versions that the targets had before.
	Retired []string `json:"retired,omitempty"`
	// Reason says why the roll-out was rolled back.
	Reason string `json:"reason,omitempty"`
}

// Duration returns the time from the order to the deadline.
func (r *Rollout) Duration() time.Duration { return time.Duration(r.DurationMs) * time.Millisecond }

// Admits reports whether targets of the version may get requests of the service. A canary target may get only its
// share.
func (r *Rollout) Admits(id TargetID, version string) bool {
	isNew := version == r.Version
	switch {
	case !isNew:
		return r.Phase != RolloutSwitching && !slices.Contains(r.Retired, version)
	case r.Phase == RolloutCanary:
		return r.IsCanary(id)
	}
	return r.Phase == RolloutSwitching || r.Phase == RolloutCompleted
}

// IsCanary reports whether the target gets the canary share.
func (r *Rollout) IsCanary(id TargetID) bool {
	return r.Phase == RolloutCanary && slices.Contains(r.Canary, id)
}

// FindRollout returns the last roll-out of the service, or nil. A nil configuration has none.
func (c *Configuration) FindRollout(service string) *Rollout {
	if c == nil {
		return nil
	}
	for i := range c.Rollouts {
		if c.Rollouts[i].Service == service {
			return &c.Rollouts[i]
		}
	}
	return nil
}

// RunningRollout returns the last roll-out of the service unless it has ended, or nil.
func (c *Configuration) RunningRollout(service string) *Rollout {
	if r := c.FindRollout(service); r != nil && !r.Phase.Ended() {
		return r
	}
	return nil
}

// Latency histogram of a RouteOutcome.
const (
	// LatencyBuckets is the number of buckets; the last one has no upper bound. With 12, up to 577 ms, three times the
	// median of a route of 290 ms would lie beyond the last bound.
	LatencyBuckets = 16
	// firstLatencyBound is the upper bound of the first bucket; the others are latencyBoundFactor apart, up to 2.9 s.
	firstLatencyBound  = 10 * time.Millisecond
	latencyBoundFactor = 1.5
)

// LatencyBucket returns the bucket of a latency.
func LatencyBucket(d time.Duration) int {
	bound := float64(firstLatencyBound)
	for i := range LatencyBuckets - 1 {
		if float64(d) <= bound {
			return i
		}
		bound *= latencyBoundFactor
	}
	return LatencyBuckets - 1
}

// RouteOutcome counts how the requests of one route ended at one target since the node first saw the roll-out.
type RouteOutcome struct {
	Route string
	// Responses is the number of requests that ended, failures included.
	Responses uint64
	// Failures is the number of failures: responses with a status of 500 or above that are no refusals, broken
	// connections, and timeouts.
	Failures uint64
	// Latencies counts the latencies of responses, without those of a cold target.
	Latencies [LatencyBuckets]uint64
}

// TargetOutcomes are the counts of one target during a roll-out. Routes holds those that have changed since the last
// heartbeat that was answered.
type TargetOutcomes struct {
	Rollout string // Rollout.ID
	Target  TargetID
	Version string
	Routes  []RouteOutcome
}
