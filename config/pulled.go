package config

import "time"

// Spans of the control protocol where targets pull their grants.
const (
	// PulledHeartbeatMs bounds the time until a configuration is in force on a node.
	PulledHeartbeatMs = 250
	// PulledLeaseMs is how long a node and its target keep what they own without a heartbeat. It
	// outlives the election of a leader and the restart of a node; a host that is lost without
	// a trace costs its keys as long.
	PulledLeaseMs = 5000
	// PulledDriftMarginMs covers the difference of clocks over one lease.
	PulledDriftMarginMs = 200
	// PulledElectionMinMs outlasts a pause of a busy host with a fraction of a core.
	PulledElectionMinMs = 350
	PulledElectionMaxMs = 700
	// PulledRaftBeatMs fits three times into the shortest election timeout.
	PulledRaftBeatMs = 110
)

// PulledTiming returns the timing of a deployment whose targets pull their grants and hold them
// for at most longestHold.
func PulledTiming(longestHold time.Duration) Timing {
	return Timing{
		HeartbeatMs:   PulledHeartbeatMs,
		LeaseMs:       min(PulledLeaseMs, int(longestHold.Milliseconds())),
		DriftMarginMs: PulledDriftMarginMs,
		ElectionMinMs: PulledElectionMinMs,
		ElectionMaxMs: PulledElectionMaxMs,
		RaftBeatMs:    PulledRaftBeatMs,
	}
}

// pulledRetryShare of the ratio that a deployment allows is what nodes use: the rest covers calls
// that targets make again when they run a request again.
const pulledRetryShare = 0.5

// FillPulledTraffic sets the request path of a node whose target pulls its grants: the most
// urgent requests first, no cold-start ramp, since targets state their cold start, and no
// hedges, which count as repeats.
func FillPulledTraffic(s *NodeSettings, retryRatio float64) {
	off, hedges, retries := false, 0.0, retryRatio*pulledRetryShare
	s.Gate.Queue = "urgent"
	s.Gate.ColdStart = &off
	s.Traffic.HedgeShare = &hedges
	s.Traffic.RetryShare = &retries
	s.fill()
}
