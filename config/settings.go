// Package config parses and checks the JSON settings of each program and the services file.
package config

// TLSFiles name the files for mutual TLS between the processes of the system.
// All three are set, or none; none means plain TCP.
type TLSFiles struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	Authority   string `json:"authority,omitempty"`
}

// Log says what a process logs.
type Log struct {
	// Level is debug, info, warning or error. Default info.
	Level string `json:"level,omitempty"`
}

// Timing holds the spans of the control protocol, in milliseconds. All processes of a
// deployment must use the same values.
type Timing struct {
	HeartbeatMs   int `json:"heartbeat_ms,omitempty"`      // default 100
	LeaseMs       int `json:"lease_ms,omitempty"`          // default 700
	DriftMarginMs int `json:"drift_margin_ms,omitempty"`   // default 50
	ElectionMinMs int `json:"election_min_ms,omitempty"`   // default 150
	ElectionMaxMs int `json:"election_max_ms,omitempty"`   // default 300
	RaftBeatMs    int `json:"raft_heartbeat_ms,omitempty"` // default 30
	DrainLimitMs  int `json:"drain_limit_ms,omitempty"`    // default 2,000
}

// Limits bound what the peers of a process can occupy.
type Limits struct {
	// MaxHeaderBytes bounds the head of a request. Default 32,768.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// MaxConnections bounds the open connections of all listeners. Default 0: derived from the memory and the descriptors of
	// the process.
	MaxConnections int `json:"max_connections,omitempty"`
}

// NodeSettings are the settings of zinnia-node.
type NodeSettings struct {
	Name string `json:"name"`
	Zone string `json:"availability_zone"`
	// Listeners, host:port by IP number.
	CallerListen   string `json:"caller_listen"`
	InternalListen string `json:"internal_listen"`
	RPCListen      string `json:"rpc_listen"`
	AnnounceListen string `json:"announce_listen"` // loopback
	StatusListen   string `json:"status_listen,omitempty"`
	// Advertised addresses, when other hosts reach the listeners under another one.
	InternalAdvertise string `json:"internal_advertise,omitempty"`
	RPCAdvertise      string `json:"rpc_advertise,omitempty"`
	CallerAdvertise   string `json:"caller_advertise,omitempty"`
	// ControlMembers are the rpc addresses of the control members.
	ControlMembers []string `json:"control_members"`
	Timing         Timing   `json:"timing,omitempty"`
	TLS            TLSFiles `json:"tls,omitempty"`
	Log            Log      `json:"log,omitempty"`
	Gate           Gate     `json:"gate,omitempty"`
	Traffic        Traffic  `json:"traffic,omitempty"`
	Limits         Limits   `json:"limits,omitempty"`
}

// Gate holds the settings of admission at the target.
type Gate struct {
	// Queue names the queue plug-in: fair (default) or fifo.
	Queue string `json:"queue,omitempty"`
	// QueueLength is the greatest number of waiting requests for each target. Default 256.
	QueueLength int `json:"queue_length,omitempty"`
	// ColdStart switches the ramp of cold targets. Default true.
	ColdStart *bool `json:"cold_start,omitempty"`
	// LearnCapacity limits a target to the number of running requests beyond which it does not respond to more of them
	// per second. Default false, and true on the users' platform.
	LearnCapacity *bool `json:"learn_capacity,omitempty"`
}

// Traffic holds the settings of the request path.
type Traffic struct {
	// Attempts is the greatest number of attempts for a request. Default 3.
	Attempts int `json:"attempts,omitempty"`
	// RetryShare is the share of requests that may be retried, in 0..1. Default 0.1.
	RetryShare *float64 `json:"retry_share,omitempty"`
	// HedgeShare is the share of requests that may be hedged, in 0..1; 0 switches hedging off. Default 0.05.
	HedgeShare *float64 `json:"hedge_share,omitempty"`
	// Limiter is "fleet" (default) or "static": the baseline that splits rates evenly over nodes.
	Limiter string `json:"limiter,omitempty"`
	// StaticNodes is the number of nodes that the static limiter splits by.
	StaticNodes int `json:"static_nodes,omitempty"`
	// MaxBodyBytes bounds a request body. Default 64 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// LinkMbps is the speed of the host's network link in Mbit/s. Large bodies that other nodes send
	// to this one are spaced so that they leave a quarter of it, and large responses that leave over it are paced.
	// Default 0: neither is done.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// ControlSettings are the settings of zinnia-control.
type ControlSettings struct {
	Name string `json:"name"`
	Zone string `json:"availability_zone"`
	// RPCListen serves nodes and other members; OperatorListen serves zinniactl.
	RPCListen         string `json:"rpc_listen"`
	RPCAdvertise      string `json:"rpc_advertise,omitempty"`
	OperatorListen    string `json:"operator_listen"`
	OperatorAdvertise string `json:"operator_advertise,omitempty"`
	StatusListen      string `json:"status_listen,omitempty"`
	DataDir           string `json:"data_dir"`
	// Peers are all initial members, this one included.
	Peers  []ControlPeer `json:"peers"`
	Timing Timing        `json:"timing,omitempty"`
	TLS    TLSFiles      `json:"tls,omitempty"`
	Log    Log           `json:"log,omitempty"`
	Limits Limits        `json:"limits,omitempty"`
	// SnapshotEntries is the number of log entries between snapshots. Default 4,096.
	SnapshotEntries int `json:"snapshot_entries,omitempty"`
}

// ControlPeer is one member of the control group.
type ControlPeer struct {
	Name            string `json:"name"`
	RPCAddress      string `json:"rpc_address"`
	OperatorAddress string `json:"operator_address"`
}

// TargetSettings are the settings of zinnia-target, the sample target.
type TargetSettings struct {
	Service string `json:"service"`
	// Version is that of the software of the target, which roll-outs tell targets apart by. Default none.
	Version string `json:"version,omitempty"`
	Zone    string `json:"availability_zone"`
	Listen  string `json:"listen"`
	// Advertise is the address that the node reaches the target under. Default Listen.
	Advertise string `json:"advertise,omitempty"`
	// NodeAnnounce is the announce address of the node on the same host.
	NodeAnnounce string `json:"node_announce"`
	Slots        int    `json:"slots,omitempty"`      // default 20
	ColdSlots    int    `json:"cold_slots,omitempty"` // default 2
	RampMs       int    `json:"ramp_ms,omitempty"`    // default 2,000
	// ChecksGrants makes the target refuse work without a current grant. Default true.
	ChecksGrants *bool `json:"checks_grants,omitempty"`
	// WorkMs is the mean time of a request in milliseconds. Default 0.
	WorkMs float64 `json:"work_ms,omitempty"`
	Log    Log     `json:"log,omitempty"`
}
