package config

// Default values of the settings.
const (
	DefaultHeartbeatMs     = 100
	DefaultLeaseMs         = 700
	DefaultDriftMarginMs   = 50
	DefaultElectionMinMs   = 150
	DefaultElectionMaxMs   = 300
	DefaultRaftBeatMs      = 30
	DefaultDrainLimitMs    = 2000
	DefaultLogLevel        = "info"
	DefaultQueue           = "fair"
	DefaultQueueLength     = 256
	DefaultAttempts        = 3
	DefaultRetryShare      = 0.1
	DefaultHedgeShare      = 0.05
	DefaultLimiter         = LimiterFleet
	DefaultMaxBodyBytes    = 64 << 20
	DefaultMaxHeaderBytes  = 32 << 10
	DefaultSnapshotEntries = 4096
	DefaultSlots           = 20
	DefaultColdSlots       = 2
	DefaultRampMs          = 2000
	DefaultPartitions      = 64
	DefaultDeadlineMs      = 10000
	DefaultPlacement       = "balanced"
)

// Limiters of Traffic.Limiter.
const (
	LimiterFleet  = "fleet"
	LimiterStatic = "static"
)

// DefaultNodeSettings returns node settings with every default; names and addresses are empty.
func DefaultNodeSettings() NodeSettings {
	var s NodeSettings
	s.fill()
	return s
}

// DefaultControlSettings returns control settings with every default; names and addresses are empty.
func DefaultControlSettings() ControlSettings {
	var s ControlSettings
	s.fill()
	return s
}

// DefaultTargetSettings returns target settings with every default; names and addresses are empty.
func DefaultTargetSettings() TargetSettings {
	var s TargetSettings
	s.fill()
	return s
}

// setDefault replaces the zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// setPointer replaces a nil pointer; it serves fields whose zero value has a meaning.
func setPointer[T any](field **T, value T) {
	if *field == nil {
		*field = &value
	}
}

func (t *Timing) fill() {
	setDefault(&t.HeartbeatMs, DefaultHeartbeatMs)
	setDefault(&t.LeaseMs, DefaultLeaseMs)
	setDefault(&t.DriftMarginMs, DefaultDriftMarginMs)
	setDefault(&t.ElectionMinMs, DefaultElectionMinMs)
	setDefault(&t.ElectionMaxMs, DefaultElectionMaxMs)
	setDefault(&t.RaftBeatMs, DefaultRaftBeatMs)
	setDefault(&t.DrainLimitMs, DefaultDrainLimitMs)
}

func (s *NodeSettings) fill() {
	setDefault(&s.InternalAdvertise, s.InternalListen)
	setDefault(&s.RPCAdvertise, s.RPCListen)
	setDefault(&s.CallerAdvertise, s.CallerListen)
	s.Timing.fill()
	setDefault(&s.Log.Level, DefaultLogLevel)
	setDefault(&s.Gate.Queue, DefaultQueue)
	setDefault(&s.Gate.QueueLength, DefaultQueueLength)
	setPointer(&s.Gate.ColdStart, true)
	setDefault(&s.Traffic.Attempts, DefaultAttempts)
	setPointer(&s.Traffic.RetryShare, DefaultRetryShare)
	setPointer(&s.Traffic.HedgeShare, DefaultHedgeShare)
	setDefault(&s.Traffic.Limiter, DefaultLimiter)
	setDefault(&s.Traffic.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&s.Limits.MaxHeaderBytes, DefaultMaxHeaderBytes)
}

func (s *ControlSettings) fill() {
	self := s.self()
	if self != nil {
		setDefault(&s.RPCAdvertise, self.RPCAddress)
		setDefault(&s.OperatorAdvertise, self.OperatorAddress)
	}
	setDefault(&s.RPCAdvertise, s.RPCListen)
	setDefault(&s.OperatorAdvertise, s.OperatorListen)
	s.Timing.fill()
	setDefault(&s.Log.Level, DefaultLogLevel)
	setDefault(&s.Limits.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&s.SnapshotEntries, DefaultSnapshotEntries)
}

// self returns the entry of this member in Peers, or nil.
func (s *ControlSettings) self() *ControlPeer {
	for i := range s.Peers {
		if s.Peers[i].Name == s.Name {
			return &s.Peers[i]
		}
	}
	return nil
}

func (s *TargetSettings) fill() {
	setDefault(&s.Advertise, s.Listen)
	setDefault(&s.Slots, DefaultSlots)
	setDefault(&s.ColdSlots, min(DefaultColdSlots, s.Slots))
	setDefault(&s.RampMs, DefaultRampMs)
	setPointer(&s.ChecksGrants, true)
	setDefault(&s.Log.Level, DefaultLogLevel)
}
