package api

import "time"

// Paths of the target protocol.
const (
	PathAnnounce = "/v1/announce" // target to node
	PathLeave    = "/v1/leave"    // target to node
	PathOrders   = "/zinnia/orders"
	PathLoad     = "/zinnia/load"
)

// Headers of the request hop and of requests to targets.
const (
	HeaderOrganisation = "Zinnia-Organisation"
	HeaderAttempt      = "Zinnia-Attempt"
	HeaderEpoch        = "Zinnia-Epoch"
	HeaderPartition    = "Zinnia-Partition"
	HeaderService      = "Zinnia-Service"
	HeaderDeadlineMs   = "Zinnia-Deadline-Ms"
	HeaderAttemptsLeft = "Zinnia-Attempts-Left"
	// HeaderHop carries a Hop, HeaderExpected, HeaderBodyWaitMs and HeaderLinkWaitMs the response to it: the time
	// in which the target would respond to one more request, and the times until the link of its node is free for a
	// large body and for a large response, in milliseconds.
	HeaderHop        = "Zinnia-Hop"
	HeaderExpected   = "Zinnia-Expected-Ms"
	HeaderBodyWaitMs = "Zinnia-Body-Wait-Ms"
	HeaderLinkWaitMs = "Zinnia-Link-Wait-Ms"
	HeaderCold       = "Zinnia-Cold"
	HeaderShed       = "Zinnia-Shed"
)

// HeaderPrefix starts every internal header; all are stripped from callers.
const HeaderPrefix = "Zinnia-"

// Announcement is sent by a target to the node on its host, every second.
type Announcement struct {
	ID      TargetID `json:"id"`
	Service string   `json:"service"`
	// Version is that of the software of the target.
	Version string `json:"version,omitempty"`
	// Address is host:port of the target's HTTP listener.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// MaxConnections is the greatest number of connections from the node. Default 100.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdSlots is the number of slots that a cold target bears. Default 2.
	ColdSlots int `json:"cold_slots,omitempty"`
	// RampMs is the time in milliseconds after which a cold target bears twice as much. Default 2,000.
	RampMs int `json:"ramp_ms,omitempty"`
	// ChecksGrants says that the target refuses work without a current grant.
	ChecksGrants bool `json:"checks_grants"`
	// EchoesAttempt says that the target repeats HeaderAttempt in its answers.
	EchoesAttempt bool `json:"echoes_attempt"`
	// ClockMs is the target's monotonic clock in milliseconds.
	ClockMs int64 `json:"clock_ms"`
	// Instance is how the target names itself in requests and answers, where that is not its ID.
	Instance string `json:"instance,omitempty"`
	// StartedMs orders the instances at one address: the Unix time in milliseconds of their start.
	StartedMs int64 `json:"started_ms,omitempty"`
	// Pulls says that the target takes its grants from the replies to its announcements, or by calls of
	// the node if its service has GrantsByCall.
	Pulls bool `json:"pulls,omitempty"`
}

// Pull is what a target that pulls its grants says in an announcement.
type Pull struct {
	// Sequence grows with each announcement of the instance.
	Sequence uint64
	Draining bool
	// ColdFor is how much longer the target is in its cold start.
	ColdFor time.Duration
	// Holds are the ranges that the target holds or still works on.
	Holds []RangeGrant
	// Released are the ranges that it has released since its last acknowledged announcement.
	Released []RangeGrant
}

// RangeGrant is a grant of a range of numeric keys.
type RangeGrant struct {
	KeyRange
	Epoch Epoch
	// Handover is the token of a release, or the one that a new owner gets; empty for none.
	Handover string
}

// PullReply is the complete set of grants of a target.
type PullReply struct {
	// Renews says that the reply carries grants; without a lease a node has none to give.
	Renews bool
	Grants []RangeGrant
	// Hold is how long the grants are valid, counted by the target from when it sent the announcement.
	Hold time.Duration
}

// AnnouncementReply answers an announcement or a leave.
type AnnouncementReply struct {
	Accepted bool `json:"accepted"`
	// Left says that a leaving target owns nothing and runs nothing.
	Left bool `json:"left"`
}

// TargetGrant is a grant as it is handed to a target.
type TargetGrant struct {
	Partition int   `json:"partition"`
	Epoch     Epoch `json:"epoch"`
}

// Orders is the complete set of grants of a target. It replaces the previous set.
type Orders struct {
	Target TargetID `json:"target"`
	// Sequence grows with each order; a target ignores a lower one.
	Sequence uint64        `json:"sequence"`
	Grants   []TargetGrant `json:"grants"`
	// ExpiresClockMs is on the target's own clock; the grants end then unless renewed.
	ExpiresClockMs int64 `json:"expires_clock_ms"`
	// Renew says that Grants is empty because nothing changed: only the expiry moves.
	Renew bool `json:"renew,omitempty"`
}

// OrdersReply acknowledges orders.
type OrdersReply struct {
	ClockMs int64 `json:"clock_ms"`
	// Sequence is the greatest sequence that the target has accepted.
	Sequence uint64 `json:"sequence"`
	// Instance is the id of the target process that answered.
	Instance TargetID `json:"instance"`
	Running  int      `json:"running"`
}

// LoadReport is a target's answer at PathLoad. It may be late or wrong.
type LoadReport struct {
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	Load    float64 `json:"load"`
	Cold    bool    `json:"cold"`
}
