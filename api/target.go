package api

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
	HeaderTarget       = "Zinnia-Target"
	HeaderKey          = "Zinnia-Key"
	HeaderDeadlineMs   = "Zinnia-Deadline-Ms"
	HeaderAttemptsLeft = "Zinnia-Attempts-Left"
	HeaderHop          = "Zinnia-Hop"
	HeaderIdempotent   = "Zinnia-Idempotent"
	HeaderCold         = "Zinnia-Cold"
	HeaderShed         = "Zinnia-Shed"
)

// HeaderPrefix starts every internal header; all are stripped from callers.
const HeaderPrefix = "Zinnia-"

// Announcement is sent by a target to the node on its host, every second.
type Announcement struct {
	ID      TargetID `json:"id"`
	Service string   `json:"service"`
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
