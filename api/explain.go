package api

import (
	"net/http"

	"github.com/zinniapier/zinniapier/errkind"
)

// PathExplain is where the status listener of a node answers an ExplainRequest with an Explanation.
const PathExplain = "/v1/explain"

// ExplainRequest describes a caller's request whose route is asked for. The request itself is not sent.
type ExplainRequest struct {
	// Method is GET if empty.
	Method string `json:"method,omitempty"`
	Host   string `json:"host"`
	// Path begins with a slash and may have a query.
	Path string `json:"path"`
	// Header may hold the organisation key, which is neither logged nor returned.
	Header http.Header `json:"header,omitempty"`
	// BodyBytes is the length of the request body.
	BodyBytes int64 `json:"body_bytes,omitempty"`
}

// Explanation says where a node would route a request now, and why. Parts that the decision did not reach are left out.
// All times are in milliseconds.
type Explanation struct {
	// Node and Zone are the name and the availability zone of the node that answers.
	Node string `json:"node"`
	Zone string `json:"zone"`
	// ConfigurationVersion and MapVersion are the versions that the node decides by.
	ConfigurationVersion uint64 `json:"configuration_version"`
	MapVersion           uint64 `json:"map_version"`

	Route   *ExplainedRoute `json:"route,omitempty"`
	Service string          `json:"service,omitempty"`
	// Organisation is the one that the organisation key belongs to; empty on open routes.
	Organisation OrganisationID      `json:"organisation,omitempty"`
	Limits       *ExplainedLimits    `json:"limits,omitempty"`
	Token        *ExplainedToken     `json:"token,omitempty"`
	Rollout      *ExplainedRollout   `json:"rollout,omitempty"`
	Partition    *ExplainedPartition `json:"partition,omitempty"`
	// Choices are the sets of targets that a request to a service without a key may be routed to, the likeliest first.
	Choices []ExplainedChoice `json:"choices,omitempty"`
	// Target is where the first attempt would go; with several choices, that of the likeliest.
	Target *ExplainedTarget `json:"target,omitempty"`
	// Gate and Link are only known for a target on the node's own host.
	Gate *ExplainedGate `json:"gate,omitempty"`
	Link *ExplainedLink `json:"link,omitempty"`
	// Refusal is the refusal of the request or of its first attempt; nil if there is none.
	Refusal *errkind.Error `json:"refusal,omitempty"`
	// Then says what follows the refusal of the first attempt; empty if the caller gets the refusal.
	Then string `json:"then,omitempty"`
	// Chance lists the steps that random numbers decide.
	Chance []string `json:"chance,omitempty"`
	// Notes lists what this node does not decide or does not know.
	Notes []string `json:"notes,omitempty"`
}

// ExplainedRoute is the route that matches.
type ExplainedRoute struct {
	Name    string   `json:"name,omitempty"`
	Host    string   `json:"host,omitempty"`
	Prefix  string   `json:"prefix"`
	Methods []string `json:"methods,omitempty"`
	Open    bool     `json:"open"`
	// Idempotent is true if the request may be repeated.
	Idempotent bool `json:"idempotent"`
	// Split holds the services of a route with weights; the explanation goes on with the one of the largest share.
	Split []ExplainedShare `json:"split,omitempty"`
}

// ExplainedShare is the share of a route's requests, from 0 to 1, that goes to a service.
type ExplainedShare struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
}

// ExplainedLimits are the limits under which the request would run.
type ExplainedLimits struct {
	Priority    int     `json:"priority"`
	DeadlineMs  float64 `json:"deadline_ms"`
	ObjectiveMs float64 `json:"objective_ms,omitempty"` // negative if it has passed
	Attempts    int     `json:"attempts"`
}

// ExplainedToken says whether the request needs a rate-limit token. None is taken.
type ExplainedToken struct {
	Needed bool `json:"needed"`
	// State is "free", "waits", "refused" or "unknown"; empty if none is needed.
	State string `json:"state,omitempty"`
}

// ExplainedRollout is the last roll-out of the service.
type ExplainedRollout struct {
	Version string       `json:"version"`
	Phase   RolloutPhase `json:"phase"`
	Canary  []TargetID   `json:"canary,omitempty"`
	Retired []string     `json:"retired,omitempty"`
}

// ExplainedPartition is the partition of the key and its owner.
type ExplainedPartition struct {
	// Key is left out if it was read from a header that may hold the organisation key.
	Key       string          `json:"key,omitempty"`
	Partition int             `json:"partition"`
	State     AssignmentState `json:"state"`
	Owner     TargetID        `json:"owner,omitempty"`
	Epoch     Epoch           `json:"epoch,omitempty"`
}

// ExplainedChoice is one selection by the target choice policy.
type ExplainedChoice struct {
	Policy string `json:"policy"`
	// Canary is true for the canary targets of a roll-out.
	Canary bool `json:"canary,omitempty"`
	// Share is the share of first attempts, from 0 to 1, that select from these targets.
	Share float64 `json:"share"`
	// Targets is the number of targets, SameZone that of those in the zone of the node.
	Targets  int `json:"targets"`
	SameZone int `json:"same_zone"`
	// Compared are the candidates that the policy compared, at most a few in each zone.
	Compared []ExplainedCandidate `json:"compared,omitempty"`
	Selected TargetID             `json:"selected,omitempty"`
}

// ExplainedCandidate is a target with the figures that decide, as known to this node.
type ExplainedCandidate struct {
	Target   TargetID `json:"target"`
	Node     string   `json:"node"`
	Zone     string   `json:"zone"`
	Version  string   `json:"version,omitempty"`
	SameZone bool     `json:"same_zone"`
	Slots    int      `json:"slots"`
	// Outstanding is the number of requests that this node has in flight there.
	Outstanding int64 `json:"outstanding"`
	// LatencyMs is the mean of the observed latencies, ReportedMs the expected latency that the target's node reported,
	// ServiceMs the mean latency of the service; 0 if not known.
	LatencyMs  float64 `json:"latency_ms"`
	ReportedMs float64 `json:"reported_ms"`
	ServiceMs  float64 `json:"service_ms"`
	// BodyWaitMs and LinkWaitMs are the waits for the link of the target's node, where body or response are large.
	BodyWaitMs float64 `json:"body_wait_ms"`
	LinkWaitMs float64 `json:"link_wait_ms"`
	// Cost is the figure of the policy; the least one is selected. Its unit is that of the policy.
	Cost float64 `json:"cost"`
}

// ExplainedTarget is the destination of the first attempt.
type ExplainedTarget struct {
	ID      TargetID `json:"id"`
	Node    string   `json:"node"`
	Zone    string   `json:"zone"`
	Version string   `json:"version,omitempty"`
	// Local is true for a target on the host of the answering node.
	Local bool `json:"local"`
}

// ExplainedGate is the state of the gate of a local target and what it would do with the request.
type ExplainedGate struct {
	// Decision is "starts", "waits" or "refused".
	Decision string `json:"decision"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	Limit    int    `json:"limit"`
	Cold     bool   `json:"cold"`
	// Ahead is the number of waiting requests that would be served before it, WaitMs its estimated wait.
	Ahead  int     `json:"ahead"`
	WaitMs float64 `json:"wait_ms"`
	// ServiceMs is the mean service time; 0 if not known.
	ServiceMs float64 `json:"service_ms"`
	// NamedRate is the limit in requests per second that the target has named; 0 for none.
	NamedRate float64 `json:"named_rate,omitempty"`
}

// ExplainedLink is the state of the link of the node's host and what the response would ask of it. The caller is taken
// to be on another host.
type ExplainedLink struct {
	// Large is true if the response is expected to be large, so that it must fit.
	Large     bool  `json:"large"`
	MeanBytes int64 `json:"mean_bytes"` // 0 if not known
	TailBytes int64 `json:"tail_bytes"`
	// WaitMs is how long one more large response waits for the link.
	WaitMs float64 `json:"wait_ms"`
	// SentAfterMs is when a large response is expected to have been sent, LimitMs when it must have been.
	SentAfterMs float64 `json:"sent_after_ms,omitempty"`
	LimitMs     float64 `json:"limit_ms,omitempty"`
}
