package config

import (
	"github.com/sirupsen/logrus"

	"github.com/zinniapier/zinniapier/internal/connlimit"
)

// Bounds of settings. They catch a wrong unit, such as seconds in a field of milliseconds.
const (
	maxSpanMs       = 600_000
	maxCount        = 1_000_000
	maxAttempts     = 10
	maxBodyBytes    = 1 << 40
	minSnapshot     = 16
	maxControlPeers = 9
	// Clients are told that they may send heads of 16,384 bytes.
	minHeaderBytes = 16 << 10
	maxHeaderBytes = 1 << 20
)

// Check fills in defaults and checks the settings. The error is Invalid and names every wrong field.
func (s *NodeSettings) Check() error {
	s.fill()
	p := &problems{}
	p.name("name", s.Name)
	p.name("availability_zone", s.Zone)
	listeners := []listener{
		{"caller_listen", s.CallerListen, "caller_advertise", s.CallerAdvertise},
		{"internal_listen", s.InternalListen, "internal_advertise", s.InternalAdvertise},
		{"rpc_listen", s.RPCListen, "rpc_advertise", s.RPCAdvertise},
	}
	for _, l := range listeners {
		p.listener(l)
	}
	p.loopback("announce_listen", s.AnnounceListen)
	p.optionalAddress("status_listen", s.StatusListen)
	p.distinct(append(listeners,
		listener{path: "announce_listen", value: s.AnnounceListen},
		listener{path: "status_listen", value: s.StatusListen}))
	p.controlMembers(s.ControlMembers)
	p.timing("timing", s.Timing)
	p.tls("tls", s.TLS)
	p.log("log", s.Log)
	p.plugin("gate.queue", s.Gate.Queue)
	p.between("gate.queue_length", s.Gate.QueueLength, 1, maxCount)
	p.traffic("traffic", s.Traffic)
	p.limits("limits", s.Limits)
	return p.err()
}

// Check fills in defaults and checks the settings. The error is Invalid and names every wrong field.
func (s *ControlSettings) Check() error {
	s.fill()
	p := &problems{}
	p.name("name", s.Name)
	p.name("availability_zone", s.Zone)
	listeners := []listener{
		{"rpc_listen", s.RPCListen, "rpc_advertise", s.RPCAdvertise},
		{"operator_listen", s.OperatorListen, "operator_advertise", s.OperatorAdvertise},
	}
	for _, l := range listeners {
		p.listener(l)
	}
	p.optionalAddress("status_listen", s.StatusListen)
	p.distinct(append(listeners, listener{path: "status_listen", value: s.StatusListen}))
	if s.DataDir == "" {
		p.add("data_dir", "missing")
	}
	p.peers(s)
	p.timing("timing", s.Timing)
	p.tls("tls", s.TLS)
	p.log("log", s.Log)
	p.limits("limits", s.Limits)
	p.between("snapshot_entries", s.SnapshotEntries, minSnapshot, maxCount)
	return p.err()
}

// maxVersionLength is the maximum length of a version in bytes, as in announcements of targets.
const maxVersionLength = 128

// Check fills in defaults and checks the settings. The error is Invalid and names every wrong field.
func (s *TargetSettings) Check() error {
	s.fill()
	p := &problems{}
	p.name("service", s.Service)
	p.name("availability_zone", s.Zone)
	if len(s.Version) > maxVersionLength {
		p.add("version", "%d bytes are not between 0 and %d", len(s.Version), maxVersionLength)
	}
	p.listener(listener{"listen", s.Listen, "advertise", s.Advertise})
	p.loopback("node_announce", s.NodeAnnounce)
	if s.Listen != "" && s.Listen == s.NodeAnnounce {
		p.add("node_announce", "%q is already used by listen", s.NodeAnnounce)
	}
	p.between("slots", s.Slots, 1, maxCount)
	p.between("cold_slots", s.ColdSlots, 1, max(s.Slots, 1))
	p.between("ramp_ms", s.RampMs, 1, maxSpanMs)
	if s.WorkMs < 0 || s.WorkMs > maxSpanMs {
		p.add("work_ms", "%g is not between 0 and %d", s.WorkMs, maxSpanMs)
	}
	p.log("log", s.Log)
	return p.err()
}

func (p *problems) optionalAddress(path, value string) {
	if value != "" {
		p.address(path, value)
	}
}

func (p *problems) controlMembers(members []string) {
	if len(members) == 0 {
		p.add("control_members", "missing")
	}
	seen := make(map[string]bool)
	for i, m := range members {
		path := indexed("control_members", i)
		p.reachable(path, m)
		if seen[m] {
			p.add(path, "%q is listed twice", m)
		}
		seen[m] = true
	}
}

func (p *problems) peers(s *ControlSettings) {
	if len(s.Peers) == 0 {
		// A member without peers forms a group of one.
		return
	}
	if len(s.Peers) > maxControlPeers {
		p.add("peers", "%d members; at most %d take part in one group", len(s.Peers), maxControlPeers)
	}
	names, addresses := make(map[string]bool), make(map[string]bool)
	for i, peer := range s.Peers {
		p.peer(indexed("peers", i), peer, names, addresses)
	}
	self := s.self()
	if self == nil {
		p.add("peers", "%q, the name of this member, is not listed", s.Name)
		return
	}
	if self.RPCAddress != s.RPCAdvertise {
		p.add("rpc_advertise", "%q differs from %q in peers", s.RPCAdvertise, self.RPCAddress)
	}
	if self.OperatorAddress != s.OperatorAdvertise {
		p.add("operator_advertise", "%q differs from %q in peers", s.OperatorAdvertise, self.OperatorAddress)
	}
}

func (p *problems) peer(path string, peer ControlPeer, names, addresses map[string]bool) {
	p.name(path+".name", peer.Name)
	if names[peer.Name] {
		p.add(path+".name", "%q is listed twice", peer.Name)
	}
	names[peer.Name] = true
	p.peerAddress(path+".rpc_address", peer.RPCAddress, addresses)
	p.peerAddress(path+".operator_address", peer.OperatorAddress, addresses)
}

func (p *problems) peerAddress(path, value string, seen map[string]bool) {
	p.reachable(path, value)
	if value != "" && seen[value] {
		p.add(path, "%q is listed twice", value)
	}
	seen[value] = true
}

func (p *problems) log(path string, l Log) {
	switch level, err := logrus.ParseLevel(l.Level); {
	case err != nil, level < logrus.ErrorLevel, level > logrus.DebugLevel:
		p.add(path+".level", "%q is not debug, info, warning or error", l.Level)
	}
}

func (p *problems) traffic(path string, t Traffic) {
	p.between(path+".attempts", t.Attempts, 1, maxAttempts)
	p.share(path+".retry_share", *t.RetryShare)
	p.share(path+".hedge_share", *t.HedgeShare)
	switch t.Limiter {
	case LimiterFleet:
		if t.StaticNodes != 0 {
			p.add(path+".static_nodes", "only the %s limiter uses it", LimiterStatic)
		}
	case LimiterStatic:
		p.between(path+".static_nodes", t.StaticNodes, 1, maxCount)
	default:
		p.add(path+".limiter", "%q is not %s or %s", t.Limiter, LimiterFleet, LimiterStatic)
	}
	if t.MaxBodyBytes < 1 || t.MaxBodyBytes > maxBodyBytes {
		p.add(path+".max_body_bytes", "%d is not between 1 and %d", t.MaxBodyBytes, int64(maxBodyBytes))
	}
	if t.LinkMbps < 0 {
		p.add(path+".link_mbps", "%g is negative", t.LinkMbps)
	}
}

func (p *problems) limits(path string, l Limits) {
	p.between(path+".max_header_bytes", l.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	if l.MaxConnections != 0 {
		p.between(path+".max_connections", l.MaxConnections, connlimit.MinConnections, maxCount)
	}
}

func (p *problems) share(path string, v float64) {
	if v < 0 || v > 1 {
		p.add(path, "%g is not between 0 and 1", v)
	}
}
