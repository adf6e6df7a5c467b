package config

import "fmt"

// timing checks each span and the relations on which the safety of leases rests.
func (p *problems) timing(path string, t Timing) {
	before := len(p.list)
	for _, span := range []struct {
		name  string
		value int
	}{
		{"heartbeat_ms", t.HeartbeatMs},
		{"lease_ms", t.LeaseMs},
		{"drift_margin_ms", t.DriftMarginMs},
		{"election_min_ms", t.ElectionMinMs},
		{"election_max_ms", t.ElectionMaxMs},
		{"raft_heartbeat_ms", t.RaftBeatMs},
		{"drain_limit_ms", t.DrainLimitMs},
	} {
		p.between(path+"."+span.name, span.value, 1, maxSpanMs)
	}
	if len(p.list) > before {
		return
	}
	p.relations(path, t)
}

func (p *problems) relations(path string, t Timing) {
	if t.ElectionMaxMs <= t.ElectionMinMs {
		p.add(path+".election_max_ms", "%d is not longer than election_min_ms %d", t.ElectionMaxMs, t.ElectionMinMs)
	}
	// Two beats must fit into the shortest election timeout, or one lost message starts an election.
	if 2*t.RaftBeatMs > t.ElectionMinMs {
		p.add(path+".raft_heartbeat_ms", "%d is longer than half of election_min_ms %d", t.RaftBeatMs, t.ElectionMinMs)
	}
	// A session has to outlive one election and the heartbeat after it.
	if t.LeaseMs <= t.ElectionMaxMs+t.HeartbeatMs {
		p.add(path+".lease_ms", "%d is not longer than election_max_ms %d and heartbeat_ms %d together",
			t.LeaseMs, t.ElectionMaxMs, t.HeartbeatMs)
	}
	if t.DriftMarginMs >= t.LeaseMs {
		p.add(path+".drift_margin_ms", "%d is not shorter than lease_ms %d", t.DriftMarginMs, t.LeaseMs)
	}
}

func indexed(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }
